package dispatch

// The window and the health of a route, which is a destination, or one endpoint where routes are apart.

import (
	"math"
	"time"
)

const (
	destinationCallShare = 0.75 // share of the slots that one destination stays under (design)
	degradedFailureRate  = 0.3  // share of failed calls from which half the cap and a pace hold
	outageFailureRate    = 0.65 // share of failed calls that is an outage
	// failures in a row that are an outage, where as many calls come in an overload span
	maxFailureThreshold = 8
	minFailureThreshold = 2    // and where hardly any come
	latencySmoothing    = 0.1  // weight of the newest call in the recent latency
	failureSmoothing    = 0.06 // weight of the newest call in the mean of failures
	// age of unanswered calls over the middle latency, from which slots are taken back
	overdueFactor = 8
	windowDecay   = 0.25 // of the window, by call served while less than half of it is in use
	slowFactor    = 3    // recent latency over the usual, from which a destination is slow
)

// most is how many calls one destination may have out at the most (design).
func (b *Dispatcher) maxCallsPerDestination() float64 {
	return math.Ceil(destinationCallShare*float64(b.settings.MaxConcurrentCalls)) - 1
}

// cap is how many calls r may have out. A failing, slow or silent one keeps half.
func (b *Dispatcher) concurrencyLimit(r *route) int {
	most := b.maxCallsPerDestination()
	if r.failureRate > degradedFailureRate || r.latency > slowFactor*r.mean && r.mean > 0 ||
		b.isSilent(r, 1) {
		most = math.Floor(most / 2)
	}
	return max(1, int(min(most, r.window)))
}

// silent: nothing was served since the oldest of n or more calls went out, long ago.
func (b *Dispatcher) isSilent(r *route, n int) bool {
	if len(r.unanswered) < n {
		return false
	}
	c := r.unanswered[0]
	return r.lastServedAt <= c.sentAt && b.now-c.sentAt > r.silenceTimeout()
}

// stuck: all calls that r has out are overdue. One that may not be repeated holds its place to its deadline,
// and at an endpoint that hangs a few of them would keep all others out of the destination. One call may go
// beside them, to an endpoint that has none.
func (b *Dispatcher) allCallsOverdue(r *route) bool {
	for _, c := range r.unanswered {
		if over := c.sentAt + b.overdueAfter(c); b.now < over {
			b.wakeAt(over)
			return false
		}
	}
	return r.inFlight < int(b.maxCallsPerDestination())
}

// halve cuts the window, once for all calls that were out at the last cut.
func (b *Dispatcher) halveWindow(r *route, sent time.Duration) {
	if sent >= r.halvedAt {
		r.window, r.halvedAt = max(1, r.window/2), b.now
	}
}

// rate is how many calls a second r may get now, and how many at once. A window alone does not bound
// the rate of quick failures, and a cold destination bears few calls, refused ones too.
func (b *Dispatcher) allowedRate(r *route) (rate, burst float64) {
	rate, burst = math.Inf(1), math.Inf(1)
	if r.limit > 0 {
		rate, burst = r.pace, max(1, r.pace)
		// calls of one message each would use up the count: those that wait go together
		if r.maxBatchSize > 1 {
			burst = 1
		}
	}
	switch {
	case r.state == unavailable:
		rate, burst = min(rate, b.recoveryRate(r), 1/probeInterval.Seconds()), 1
	case r.state == warmingUp:
		rate, burst = min(rate, b.recoveryRate(r)), 1
	case r.failureRate > degradedFailureRate:
		rate, burst = min(rate, max(1, 1.5*r.servedRate())), 1
	}
	return rate, burst
}

// full: r has as many calls out as its window and its state allow; in an outage probes are counted instead.
func (b *Dispatcher) isFull(r *route) bool {
	return r.state != unavailable && r.inFlight >= b.concurrencyLimit(r)
}

// open reports whether r may get a call now; if not but later, the alarm is set for then.
func (b *Dispatcher) acceptsCall(r *route) bool {
	if r.state == warmingUp && b.now-r.stateSince > b.settings.SlowStartDuration {
		b.setState(r, healthy)
	}
	if r.state == healthy && b.isSilent(r, min(maxFailureThreshold/2, b.failureThreshold(r))-1) {
		b.openCircuit(r)
	}
	if b.now < r.backoffUntil {
		b.wakeAt(r.backoffUntil)
		return false
	}
	if r.state == unavailable && r.reopensAt > 0 {
		// There is room now, as told: a probe would only cost those that wait its time. But all were told the
		// same, and one call each at once may be more than a cold destination bears.
		b.startSlowStart(r, 1-b.sparsity()*(b.jitter()+0.5))
		r.consecutiveFailures = 0
	}
	if r.state == unavailable && r.probesInFlight > 0 && b.now-r.lastProbeAt < r.silenceTimeout() {
		b.wakeAt(r.lastProbeAt + r.silenceTimeout())
		return false
	}
	if b.isFull(r) && !b.allCallsOverdue(r) {
		return false
	}
	b.refill(r)
	if r.tokens < 1 {
		rate, _ := b.allowedRate(r)
		b.wakeAt(b.now + time.Duration((1-r.tokens)/rate*float64(time.Second)) + time.Millisecond)
		return false
	}
	return true
}

// goOut begins an outage. Before a second one the rate was held down by us, so the higher is kept.
func (b *Dispatcher) openCircuit(r *route) {
	if r.state == healthy {
		r.rateBefore = max(b.smoothedRate(r.servedCalls), b.fairShare(r.limit))
		if r.recentServed > maxFailureThreshold { // enough of them to go by the last seconds
			r.rateBefore = max(r.rateBefore, r.servedRate())
		}
		r.outageStartedAt = b.now
	}
	b.setState(r, unavailable)
	r.probesInFlight, r.tokens, r.refilledAt = 0, b.jitter(), b.now
	r.window, r.reopensAt = 1, 0
	b.logRoute(r, "out: calls fail, are refused or go unanswered; one call at a time")
}
