package dispatch

import "math"

const (
	// fleetProbeBudget is the number of calls that all senders together may send to any destination in the
	// time of a slow start: every destination can handle so few.
	fleetProbeBudget = 24
	// informedLoadShare is the load that all senders that saw failures may add together, as a share of the
	// load of the other senders.
	informedLoadShare = 0.3
	// minInformedRatio is the least ratio of senders that saw failures to the other senders that is assumed.
	// It keeps the quotient finite when an outage has just begun.
	minInformedRatio = 1e-9
)

// startSlowStart ends an outage and starts the slow start of r, with the given number of tokens.
func (d *Dispatcher) startSlowStart(r *route, tokens float64) {
	d.setState(r, warmingUp)
	r.window.size = 1
	r.limiter.set(tokens, d.now)
	r.breaker.announcedEndAt = 0
	r.breaker.failureRate = min(r.breaker.failureRate, degradedFailureRate)
	d.logRoute(r, "calls are served again; slow start")
}

// endOutageAsAnnounced ends an outage at the end that the destination announced, without a probe, which would
// only delay the waiting messages. All senders may have received the same end, and one call from each at the
// same time may be more than a recovering destination can handle, so among many senders each begins with a
// random part of a token.
func (d *Dispatcher) endOutageAsAnnounced(r *route) {
	d.startSlowStart(r, 1-d.trafficSparsity()*(d.jitter()+0.5))
	r.breaker.consecutiveFailures = 0
}

// recoveryRate returns the calls a second that this sender may send to r in an outage, when r may recover at
// any moment, and during its slow start. It is the sender's usual rate times the load that r can take at its
// present capacity, so it does not depend on the number of senders.
//
// If this sender usually sends few calls in the time since the outage began, most other senders have not seen
// a failure yet and send as usual. The senders that have seen one may together add informedLoadShare of that
// load. If expectedCalls is the number of calls that a sender usually makes in that time, and they come at
// random, the ratio of senders that saw a failure to the others is e^expectedCalls - 1.
//
// Every destination can handle a few calls from all senders together, so the rate has a lower bound.
func (d *Dispatcher) recoveryRate(r *route) float64 {
	b := &r.breaker
	capacity := d.settings.SlowStartCapacity
	duration := d.settings.SlowStartDuration.Seconds()
	if b.state == warmingUp && d.settings.SlowStartDuration > 0 {
		capacity += (1 - capacity) * min(1, (d.now-b.since).Seconds()/duration)
	}
	expectedCalls := b.rateBefore * (d.now - b.outageStartedAt).Seconds()
	informedShare := informedLoadShare / max(math.Expm1(expectedCalls), minInformedRatio)
	lowestRate := fleetProbeBudget / max(duration, 1) / float64(max(1, d.settings.Senders))
	return max(lowestRate, b.rateBefore*max(max(1, d.settings.CollapseLoadFactor)*capacity, informedShare))
}
