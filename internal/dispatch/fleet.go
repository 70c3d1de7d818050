package dispatch

import (
	"math"
)

// This file adapts decisions to the size of the fleet, the number of senders of the deployment. The
// senders share no state, so each decides by its own part of the traffic. What one sender does must be
// harmless even if all senders do it at once, and one of many senders sees too few calls to find a limit
// by itself.

// smallFleetSize is the number of senders up to which each sender sees enough calls to every endpoint by
// itself.
const smallFleetSize = 4

// trafficSparsity returns how small a part of an endpoint's traffic one sender sees, by the number of
// senders: 0 for up to smallFleetSize senders, towards 1 for many.
func (d *Dispatcher) trafficSparsity() float64 {
	return 1 - smallFleetSize/float64(max(smallFleetSize, d.settings.Senders))
}

// fairShare returns this sender's equal share of a limit.
func (d *Dispatcher) fairShare(limit float64) float64 {
	return limit / float64(max(1, d.settings.Senders))
}

// initialPace returns the pace with which this sender begins: its fair share of the limit. Among many senders
// that share is far below one call a second, and only few of them have messages for the route at the same
// time, so then the pace is up to one call in backoffMax, the span over which limits are counted.
func (d *Dispatcher) initialPace(limit float64) float64 {
	senders := float64(max(1, d.settings.Senders))
	return min(limit, max(d.fairShare(limit), min(1, senders/fleetProbeBudget)/backoffMax.Seconds()))
}

// smoothedRate returns the rate (a second) of what counter has counted at a route over arrivalSpan. It adds
// one to the count, and to the span the mean time in which a route gets one message, so that the rate is not
// misleading when this sender has seen little yet.
func (d *Dispatcher) smoothedRate(counter decayingCounter) float64 {
	observed := arrivalSpan.Seconds() * (1 - math.Exp(-(d.now-d.startedAt).Seconds()/arrivalSpan.Seconds()))
	expectedArrivals := d.arrivals.at(d.now) + 1
	timePerMessage := float64(max(1, len(d.routes))) * (observed + 1) / expectedArrivals
	return (counter.at(d.now) + 1) / (observed + timePerMessage)
}

// hasEnoughOwnCalls reports whether this sender makes enough calls to r to judge r by them alone, and so
// large a part of all calls that r allows that only a few senders can do the same. The second condition is
// needed because such a sender keeps idle connections for the full time, and an endpoint accepts only few
// connections: one idle connection of each of eighty senders uses them all up.
func (d *Dispatcher) hasEnoughOwnCalls(r *route) bool {
	limit := r.limiter.limit
	hasLargeShare := limit > 0 && smallFleetSize*d.smoothedRate(r.traffic.sentCalls) >= limit
	isMajorSender := d.settings.Senders <= smallFleetSize || hasLargeShare
	return isMajorSender && d.failureThreshold(r) >= maxFailureThreshold/2
}
