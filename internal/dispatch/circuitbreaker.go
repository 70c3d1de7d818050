package dispatch

import "time"

const (
	// degradedFailureRate is the share of failed calls above which a route may have only half as many calls
	// in flight, and its rate is bounded.
	degradedFailureRate = 0.3
	// outageFailureRate is the share of failed calls above which a route is in an outage.
	outageFailureRate = 0.65
	// maxFailureThreshold is the number of failures in a row that mean an outage, on a route that gets about
	// as many calls or more in an overload window.
	maxFailureThreshold = 8
	// minFailureThreshold is that number on a route that gets hardly any calls.
	minFailureThreshold = 2
	// probeInterval is the least time between two probes.
	probeInterval = 300 * time.Millisecond
)

// circuitState is the state of a route's circuit breaker. Its values are part of the hand-over and must not
// change.
type circuitState uint8

const (
	healthy     circuitState = iota
	unavailable              // outage: the circuit is open; only single probes are sent, at the recovery rate
	warmingUp                // the outage is over: slow start
)

// circuitBreaker blocks calls to a route in an outage, and lets their rate rise slowly after it.
type circuitBreaker struct {
	state               circuitState
	since               time.Duration // when the state began
	failureRate         float64       // recent mean share of failed calls
	consecutiveFailures int           // calls in a row that were not served
	outageStartedAt     time.Duration
	rateBefore          float64       // this sender's calls a second before the outage
	announcedEndAt      time.Duration // announced end of the outage, 0 if there is none
	probesInFlight      int           // calls in flight that were sent during this outage
	lastProbeAt         time.Duration
}

// acceptsCall reports whether r may get a call now. If it may get one at a known later time, it schedules a
// step for then. It updates the state of r's circuit first.
func (d *Dispatcher) acceptsCall(r *route) bool {
	d.updateCircuit(r)
	if d.now < r.backoff.until {
		d.wakeAt(r.backoff.until)
		return false
	}
	if r.breaker.state == unavailable && r.breaker.announcedEndAt > 0 {
		d.endOutageAsAnnounced(r)
	}
	if r.breaker.state == unavailable && r.breaker.probesInFlight > 0 {
		if next := r.breaker.lastProbeAt + r.silenceTimeout(); d.now < next {
			d.wakeAt(next)
			return false
		}
	}
	if d.isFull(r) && !d.mayExceedWindow(r) {
		return false
	}
	return d.hasToken(r)
}

// updateCircuit ends a slow start after its duration, and begins an outage if calls go unanswered.
func (d *Dispatcher) updateCircuit(r *route) {
	if r.breaker.state == warmingUp && d.now-r.breaker.since > d.settings.SlowStartDuration {
		d.setState(r, healthy)
	}
	if r.breaker.state == healthy && d.isSilent(r, min(maxFailureThreshold/2, d.failureThreshold(r))-1) {
		d.openCircuit(r)
	}
}

// checkOutage begins an outage after a call that was not served, if enough calls have failed. A rate limit
// causes rejections in a row, too, so rejections in a row begin an outage only if no call was served for half
// an overload window.
func (d *Dispatcher) checkOutage(r *route, outcome Outcome) {
	b := &r.breaker
	threshold := d.failureThreshold(r)
	isOutcomeOfOutage := outcome != Rejected || d.now-r.traffic.lastServedAt > d.settings.OverloadWindow/2
	isOutage := b.consecutiveFailures >= threshold && isOutcomeOfOutage || b.failureRate > outageFailureRate
	isRelapse := b.consecutiveFailures >= threshold/2+1 && isOutcomeOfOutage
	if b.state == healthy && isOutage || b.state == warmingUp && isRelapse {
		d.openCircuit(r)
	}
}

// failureThreshold returns how many failures in a row mean an outage. It grows with the calls that this
// sender makes to r in an overload window, as a sender with few calls would not see eight of them fail before
// the outage is over. It is higher with few senders, and at most maxFailureThreshold.
func (d *Dispatcher) failureThreshold(r *route) int {
	callsInWindow := int(d.smoothedRate(r.traffic.sentCalls) * d.settings.OverloadWindow.Seconds())
	threshold := max(minFailureThreshold+callsInWindow, fleetProbeBudget/max(1, d.settings.Senders))
	return min(maxFailureThreshold, threshold)
}

// openCircuit begins an outage. If an outage begins again before the route was healthy, the slow start has
// kept this sender's rate low, so the rate before the first outage is kept.
func (d *Dispatcher) openCircuit(r *route) {
	b := &r.breaker
	if b.state == healthy {
		b.rateBefore = max(d.smoothedRate(r.traffic.servedCalls), d.fairShare(r.limiter.limit))
		if r.traffic.recentServed > maxFailureThreshold { // the rate of the last seconds is reliable
			b.rateBefore = max(b.rateBefore, r.traffic.servedRate())
		}
		b.outageStartedAt = d.now
	}
	d.setState(r, unavailable)
	b.probesInFlight, b.announcedEndAt = 0, 0
	r.limiter.set(d.jitter(), d.now)
	r.window.size = 1
	d.logRoute(r, "circuit open: calls fail, are rejected or go unanswered; only probes are sent")
}

// setState changes the state of r's circuit, and marks it to be persisted at the end of the step.
func (d *Dispatcher) setState(r *route, to circuitState) {
	r.breaker.state, r.breaker.since = to, d.now
	for _, changed := range d.changedRoutes {
		if changed == r {
			return
		}
	}
	d.changedRoutes = append(d.changedRoutes, r)
}
