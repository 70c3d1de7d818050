package dispatch

import "time"

const (
	// retryBackoff is the first backoff of a message after a failed attempt; it doubles with each further
	// one.
	retryBackoff = 150 * time.Millisecond
	// retryBackoffDoublings is the maximum number of times that this backoff doubles.
	retryBackoffDoublings = 4
)

// handleResult applies the result of an attempt to its message, its call, and what is known of the route and
// the endpoint.
func (d *Dispatcher) handleResult(result AttemptResult) {
	m, a := d.findAttempt(result)
	if a == nil || a.ended {
		return
	}
	a.ended = true
	a.outcomeUnknown = result.Outcome == TimedOut || result.Outcome == ConnectionBroken
	result.Elapsed = max(0, result.Elapsed)
	m.inFlight--
	if a.call.pendingResults--; a.call.pendingResults == 0 {
		d.finishCall(a.call, result.Outcome)
	}
	d.applyLimits(m.destination, a.call.route, result)
	dropped := isDroppedConnection(a.call.route, result)
	mayHaveRun := result.Outcome != NotSent && result.Outcome != NotStarted
	if !a.call.healthRecorded && mayHaveRun && !dropped {
		a.call.healthRecorded = true
		d.recordHealth(m, a.call, result)
	}
	d.updateEstimators(a, result)
	d.updateMayHaveRun(m, result.Outcome)
	if result.Final || m.closed {
		m.served = result.Outcome == Served
		d.closeMessage(m)
		return
	}
	if m.inFlight == 0 {
		d.requeue(m, result.Outcome, dropped)
	}
}

// findAttempt returns the attempt that a result belongs to and its message, nil if they are not known.
func (d *Dispatcher) findAttempt(result AttemptResult) (*message, *attempt) {
	m := d.messages[result.Message]
	if m == nil || result.Attempt < 0 || result.Attempt >= len(m.attempts) {
		return nil, nil
	}
	return m, &m.attempts[result.Attempt]
}

// applyLimits applies the rate limit and the Retry-After that came with an answer. It runs for each result of
// a shared call, as a later one may give a longer delay.
func (d *Dispatcher) applyLimits(dest *destination, r *route, result AttemptResult) {
	if result.HasLoadReport && isPositiveFinite(result.RateLimit) {
		d.updateRateLimit(r, result.RateLimit)
	}
	if result.RetryAfter > 0 {
		d.applyRetryAfter(dest, r, result.RetryAfter)
	}
}

// requeue puts m back among the waiting messages. The next attempt is delayed by a backoff, unless the last
// one timed out, which took long enough, or its outcome says nothing about the destination.
func (d *Dispatcher) requeue(m *message, outcome Outcome, dropped bool) {
	m.destination.waiting = append(m.destination.waiting, m)
	m.connectFailed = outcome == ConnectFailed
	if outcome != TimedOut && outcome != NotStarted && !dropped {
		m.notBefore = d.now + retryBackoff<<min(len(m.attempts)-1, retryBackoffDoublings)
	}
}

// isDroppedConnection reports whether a call failed because its connection had been dropped while idle: the
// connection broke sooner than any call was served. This says nothing about the destination, so the call is
// not counted as a failure. It may have run, but its repeat needs no backoff.
func isDroppedConnection(r *route, result AttemptResult) bool {
	return result.Outcome == ConnectionBroken && result.ConnectionIdle > 0 &&
		result.Elapsed < r.estimator.minLatency
}

// finishCall releases the slot and the connection of a call when all its messages have their results.
func (d *Dispatcher) finishCall(c *call, outcome Outcome) {
	d.callsInFlight--
	c.route.window.inFlight--
	if c.cancelled {
		d.cancelledInFlight--
	}
	d.releaseConnection(c.endpoint, outcome == Served)
	c.route.window.unanswered = remove(c.route.window.unanswered, c)
	if c.isProbe && c.sentAt >= c.route.breaker.since && c.route.breaker.state == unavailable {
		c.route.breaker.probesInFlight--
	}
}

// updateMayHaveRun records whether the last attempt of m may have run. If it may still be running, later
// messages with m's key are delayed.
func (d *Dispatcher) updateMayHaveRun(m *message, outcome Outcome) {
	switch outcome {
	case NotStarted:
		m.PriorAttempts-- // it does not count as an attempt
		m.recordNeverRan()
	case Rejected, ConnectFailed, NotSent:
		m.recordNeverRan()
	case TimedOut, ConnectionBroken, Cancelled:
		if m.keyQueue != nil {
			m.keyQueue.extendSettleTime(d.now + d.settings.OrderedKeySettleTime)
		}
	}
}

// updateEstimators updates the latency estimators with the result of an attempt. It follows Karn's rule for
// retransmission timeouts: only first attempts give samples, repeats do not, and a timeout doubles τ until
// the next sample of a served attempt.
func (d *Dispatcher) updateEstimators(a *attempt, result AttemptResult) {
	estimator := &a.call.route.estimator
	switch {
	case result.Outcome == Served && a.sampleWeight > 0:
		estimator.addSample(result.Elapsed, a.sampleWeight)
		d.overallEstimator.addSample(result.Elapsed, a.sampleWeight)
		estimator.doubledTau = 0
	case result.Outcome == TimedOut && a.untilDeadline && a.sampleWeight > 0:
		estimator.addUnanswered(a.sampleWeight)
	case result.Outcome == TimedOut && !a.untilDeadline:
		estimator.recordTimeout(a.call.sentAt, d.now)
	}
}

// recordHealth updates the failure statistics of the call's route and endpoint.
func (d *Dispatcher) recordHealth(m *message, c *call, result AttemptResult) {
	r, e := c.route, c.endpoint
	failure := 0.0
	if result.Outcome != Served && result.Outcome != Rejected {
		failure = 1
	}
	e.failureRate += failureSmoothing * (failure - e.failureRate)
	if result.Outcome != Rejected {
		r.breaker.failureRate += failureSmoothing * (failure - r.breaker.failureRate)
		r.traffic.consecutiveLosses++
	}
	if result.Outcome == Served {
		d.recordSuccess(m, c, result)
		return
	}
	r.breaker.consecutiveFailures++
	switch {
	case result.Outcome == ConnectFailed:
		d.recordConnectFailure(e)
	case result.Outcome == Rejected:
		d.recordRejection(c, result)
	case result.Outcome == TimedOut && r.estimator.doubledTau > 0:
		r.window.halve(c.sentAt, d.now)
	}
	d.checkOutage(r, result.Outcome)
}

// recordSuccess updates the route and the endpoint after a call was served.
func (d *Dispatcher) recordSuccess(m *message, c *call, result AttemptResult) {
	r, e := c.route, c.endpoint
	seconds := result.Elapsed.Seconds()
	updateMean(&r.traffic.latency, seconds, latencySmoothing)
	updateMean(&e.latency, seconds, latencySmoothing)
	d.lengthenIdleTimeout(e)
	d.detectDroppedConnection(m, e, seconds)
	r.traffic.recordServed(d.now, c.sentAt)
	r.breaker.consecutiveFailures, r.backoff.delay, r.window.cancelledCalls = 0, 0, 0
	if r.breaker.state == unavailable {
		if d.hasEnoughOwnCalls(r) {
			e.idleTimeoutCut = 0 // connects failed because of the outage, not of too many connections
		}
		d.startSlowStart(r, 0)
	}
	r.window.recordServed(d.maxCallsPerDestination())
	if r.limiter.limit > 0 && (result.RateLimit == 0 || result.QuotaLeft > growthQuota) {
		d.increasePace(r, result.RateLimit != 0)
	}
}

// recordRejection slows down the route after a rejection. It blocks the route for a growing backoff if the
// answer had no Retry-After.
func (d *Dispatcher) recordRejection(c *call, result AttemptResult) {
	r := c.route
	r.window.halve(c.sentAt, d.now)
	r.backoff.rejectedAt = d.now
	if r.limiter.limit > 0 {
		d.decreasePace(r)
	}
	if result.RetryAfter <= 0 {
		r.backoff.grow(d.now)
		return
	}
	if result.RetryAfter > d.settings.OverloadWindow && r.breaker.state != unavailable {
		// No limit is counted over so long a span, so this is an outage with a slow recovery.
		d.openCircuit(r)
	}
	if r.breaker.state == unavailable {
		r.breaker.announcedEndAt = r.backoff.until
	}
}
