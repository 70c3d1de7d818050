package dispatch

import (
	"math"
)

// What follows from the number of senders. They share no state, so each goes by its own part of what all
// do: what is harmless from one must be so from all at once, and one of many sees too little to find out
// by itself.

// smallFleet is the number of senders up to which each sees enough of every endpoint by itself.
const smallFleet = 4

// trafficSparsity returns how small a part of an endpoint's traffic one sender sees, by the number of
// senders: 0 for up to smallFleet senders, towards 1 for many.
func (d *Dispatcher) trafficSparsity() float64 {
	return 1 - smallFleet/float64(max(smallFleet, d.settings.Senders))
}

// fairShare is our equal share of a limit.
func (d *Dispatcher) fairShare(limit float64) float64 {
	return limit / float64(max(1, d.settings.Senders))
}

// initialPace is the pace at which we begin: our fair share of a limit; among many senders, where that is
// far below one call and few have messages there at a time, up to a call in the span that limits are
// counted over.
func (d *Dispatcher) initialPace(limit float64) float64 {
	senders := float64(max(1, d.settings.Senders))
	return min(limit, max(d.fairShare(limit), min(1, senders/fleetProbeBudget)/backoffMax.Seconds()))
}

// smoothedRate is the rate of what was counted at a route over arrivalSpan: that, and one more in the time
// that a route takes to get one in the mean, so that a sender that has seen few yet is not misled by them.
func (d *Dispatcher) smoothedRate(counter decayingCounter) float64 {
	observed := arrivalSpan.Seconds() * (1 - math.Exp(-(d.now-d.startedAt).Seconds()/arrivalSpan.Seconds()))
	expectedArrivals := d.arrivals.at(d.now) + 1
	timePerMessage := float64(max(1, len(d.routes))) * (observed + 1) / expectedArrivals
	return (counter.at(d.now) + 1) / (observed + timePerMessage)
}

// hasEnoughOwnCalls reports whether r gets enough of our calls to judge it by them alone, and so large a part
// of all that it takes that only a few senders can say so. Places for connections are scarce: eighty idle
// ones fill them.
func (d *Dispatcher) hasEnoughOwnCalls(r *route) bool {
	limit := r.limiter.limit
	hasLargeShare := limit > 0 && smallFleet*d.smoothedRate(r.traffic.sentCalls) >= limit
	isMajorSender := d.settings.Senders <= smallFleet || hasLargeShare
	return isMajorSender && d.failureThreshold(r) >= maxFailureThreshold/2
}
