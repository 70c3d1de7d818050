package dispatch

import "math"

const (
	// fleetProbeBudget is the number of calls that all senders together may send anywhere in the time of a
	// slow start: any destination bears so few.
	fleetProbeBudget = 24
	// informedLoadShare is the load that the senders that saw failures may add to that of the others, as a
	// share.
	informedLoadShare = 0.3
	// minInformedRatio keeps that share finite at the very start of an outage.
	minInformedRatio = 1e-9
)

// startSlowStart ends an outage: r recovers from now on.
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

// recoveryRate is our part of the calls a second that r bears in an outage, when it may recover at any
// moment, and during its slow start. A sender's part is that of its usual traffic, whatever the number of
// senders. Where we usually get no message in such a time, most other senders have seen no failure and
// send as ever: the few who have may together send a share of that. Any destination bears a few calls from
// all of us.
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
