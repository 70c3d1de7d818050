package dispatch

import "time"

const (
	// degradedFailureRate is the share of failed calls from which half the window and a bounded rate hold.
	degradedFailureRate = 0.3
	// outageFailureRate is the share of failed calls that is an outage.
	outageFailureRate = 0.65
	// maxFailureThreshold is the number of failures in a row that are an outage, where as many calls come
	// in an overload window.
	maxFailureThreshold = 8
	// minFailureThreshold is that number where hardly any come.
	minFailureThreshold = 2
	// probeInterval is the least time between two probes.
	probeInterval = 300 * time.Millisecond
)

// circuitState is the state of a route's circuit breaker. Its values are handed over and must not change.
type circuitState uint8

const (
	healthy     circuitState = iota
	unavailable              // the circuit is open in an outage: single probes, at the rate of a recovery
	warmingUp                // it has recovered: slow start
)

// circuitBreaker keeps traffic from a route in an outage, and lets it return by a slow start.
type circuitBreaker struct {
	state               circuitState
	since               time.Duration // of the state
	failureRate         float64       // recent mean share of failed calls
	consecutiveFailures int           // calls in a row that were not served
	outageStartedAt     time.Duration
	rateBefore          float64       // our calls a second before the outage
	announcedEndAt      time.Duration // announced end of the outage, 0 if there is none
	probesInFlight      int           // calls in flight that were sent during this outage
	lastProbeAt         time.Duration
}

// acceptsCall reports whether r may get a call now. If it may later, a batch comes then. It brings the
// state of r's circuit up to date.
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

// updateCircuit ends a slow start in time, and begins an outage where calls go unanswered.
func (d *Dispatcher) updateCircuit(r *route) {
	if r.breaker.state == warmingUp && d.now-r.breaker.since > d.settings.SlowStartDuration {
		d.setState(r, healthy)
	}
	if r.breaker.state == healthy && d.isSilent(r, min(maxFailureThreshold/2, d.failureThreshold(r))-1) {
		d.openCircuit(r)
	}
}

// checkOutage begins an outage after a call that was not served, if there have been enough of them.
// Rejections come in a row where a rate limit is met, too: there it takes a while without a call served.
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

// failureThreshold is how many failures in a row are an outage: as many calls as we make in an overload
// window, for a sender with few there would not see eight fail before it is over; and more where senders
// are few.
func (d *Dispatcher) failureThreshold(r *route) int {
	callsInWindow := int(d.smoothedRate(r.traffic.sentCalls) * d.settings.OverloadWindow.Seconds())
	threshold := max(minFailureThreshold+callsInWindow, fleetProbeBudget/max(1, d.settings.Senders))
	return min(maxFailureThreshold, threshold)
}

// openCircuit begins an outage. Before a second one our own slow start held the rate down, so the rate before
// the first is kept.
func (d *Dispatcher) openCircuit(r *route) {
	b := &r.breaker
	if b.state == healthy {
		b.rateBefore = max(d.smoothedRate(r.traffic.servedCalls), d.fairShare(r.limiter.limit))
		if r.traffic.recentServed > maxFailureThreshold { // enough of them to go by the last seconds
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

// setState puts the circuit of r into another state, which is to be persisted at the end of the batch.
func (d *Dispatcher) setState(r *route, to circuitState) {
	r.breaker.state, r.breaker.since = to, d.now
	for _, changed := range d.changedRoutes {
		if changed == r {
			return
		}
	}
	d.changedRoutes = append(d.changedRoutes, r)
}
