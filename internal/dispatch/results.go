package dispatch

// What follows from how an attempt ended.

import (
	"math"
	"slices"
	"time"
)

func (b *Dispatcher) handleResult(e AttemptResult) {
	m := b.messages[e.Message]
	if m == nil || e.Attempt < 0 || e.Attempt >= len(m.attempts) || m.attempts[e.Attempt].ended {
		return
	}
	a := &m.attempts[e.Attempt]
	a.ended, a.outcomeUnknown = true, e.Outcome == TimedOut || e.Outcome == ConnectionBroken
	e.Elapsed = max(0, e.Elapsed)
	m.inFlight--
	if a.unresolved--; a.unresolved == 0 {
		b.callsInFlight--
		a.route.inFlight--
		if a.cancelled {
			b.cancelledInFlight--
		}
		a.endpoint.inFlight--
		if e.Outcome == Served {
			if a.endpoint.freedAt < b.now {
				a.endpoint.freedAt, a.endpoint.freedConnections = b.now, 0
			}
			a.endpoint.freedConnections++
		}
		if a.endpoint.inFlight == 0 {
			if a.endpoint.idleSince = b.now; !slices.Contains(b.idleEndpoints, a.endpoint) {
				b.idleEndpoints = append(b.idleEndpoints, a.endpoint)
			}
		}
		a.route.unanswered = remove(a.route.unanswered, a.call)
		if a.isProbe && a.sentAt >= a.route.stateSince && a.route.state == unavailable {
			a.route.probesInFlight--
		}
	}
	if e.HasLoadReport && isPositiveFinite(e.RateLimit) {
		b.updateRateLimit(a.route, e.RateLimit)
	}
	if e.RetryAfter > 0 { // each outcome of a shared call may tell a later end
		b.applyRetryAfter(m.destination, a.route, e.RetryAfter)
	}
	// Broken sooner than any call was served, on a connection that had been idle: that was dropped meanwhile,
	// and tells nothing of the destination. The call may have run, but its repeat need not wait.
	dropped := e.Outcome == ConnectionBroken && e.ConnectionIdle > 0 && e.Elapsed < a.route.minLatency
	if !a.recorded && e.Outcome != NotSent && e.Outcome != NotStarted && !dropped {
		a.recorded = true
		b.recordHealth(m, a, e)
	}
	b.updateEstimators(a, e)
	switch e.Outcome {
	case NotStarted:
		m.PriorAttempts-- // it does not count
		b.recordNeverRan(m)
	case Rejected, ConnectFailed, NotSent:
		b.recordNeverRan(m)
	case TimedOut, ConnectionBroken, Cancelled:
		if m.keyQueue != nil {
			m.keyQueue.settleUntil = max(m.keyQueue.settleUntil, b.now+b.settings.OrderedKeySettleTime)
		}
	}
	if e.Final || m.closed {
		m.served = e.Outcome == Served
		b.closeMessage(m)
		return
	}
	if m.inFlight == 0 {
		m.destination.waiting, m.connectFailed = append(m.destination.waiting, m), e.Outcome == ConnectFailed
		if e.Outcome != TimedOut && e.Outcome != NotStarted && !dropped {
			m.notBefore = b.now + retryBackoff<<min(len(m.attempts)-1, 4)
		}
	}
}

// heedWait closes a route of a destination for a told wait.
func (b *Dispatcher) applyRetryAfter(d *destination, r *route, wait time.Duration) {
	r.backoffUntil = max(r.backoffUntil, b.now+wait+time.Millisecond)
	for _, at := range d.endpoints {
		if at.route == r {
			b.abortUnsent(at)
		}
	}
}

// learn gives the oracle its sample: served first attempts only (Karn); an expiry doubles.
func (b *Dispatcher) updateEstimators(a *attempt, e AttemptResult) {
	switch {
	case e.Outcome == Served && a.sampleWeight > 0:
		a.route.addSample(e.Elapsed, a.sampleWeight, false)
		b.overallEstimator.addSample(e.Elapsed, a.sampleWeight, false)
		a.route.doubledTau = 0
	case e.Outcome == TimedOut && a.untilDeadline && a.sampleWeight > 0:
		a.route.addSample(0, a.sampleWeight, true)
	case e.Outcome == TimedOut && !a.untilDeadline:
		a.route.expire(a.sentAt, b.now)
	}
}

// learnLimit takes a told limit; our pace starts at an even part of it.
func (b *Dispatcher) updateRateLimit(r *route, limit float64) {
	if r.limit == 0 {
		r.pace = b.initialPace(limit)
	} else {
		r.pace *= limit / r.limit
	}
	r.limit = limit
}

// judge books a call's fate with its route and endpoint.
func (b *Dispatcher) recordHealth(m *message, a *attempt, e AttemptResult) {
	r := a.route
	bad := 0.0
	if e.Outcome != Served && e.Outcome != Rejected {
		bad = 1
	}
	a.endpoint.failureRate += failureSmoothing * (bad - a.endpoint.failureRate)
	if e.Outcome != Rejected {
		r.failureRate += failureSmoothing * (bad - r.failureRate)
		r.consecutiveLosses++
	}
	if e.Outcome == Served {
		b.recordSuccess(m, a, e)
		return
	}
	r.consecutiveFailures++
	switch {
	case e.Outcome == ConnectFailed: // it may hold all the connections that it takes
		a.endpoint.connectFailedAt = b.now
		_, kind := b.idleTimeout(a.endpoint)
		*kind /= idleTimeoutDivisor
		a.endpoint.idleTimeoutCut = b.settings.IdleConnectionTimeout
	case e.Outcome == Rejected:
		b.recordRejection(r, a, e)
	case e.Outcome == TimedOut && r.doubledTau > 0:
		b.halveWindow(r, a.sentAt)
	}
	// Refusals come in runs where a limit is met, too: there it takes a while without any served.
	long := e.Outcome != Rejected || b.now-r.lastServedAt > b.settings.OverloadWindow/2
	lasting := r.consecutiveFailures >= b.failureThreshold(r) && long || r.failureRate > outageFailureRate
	if r.state == healthy && lasting || r.state == warmingUp &&
		r.consecutiveFailures >= b.failureThreshold(r)/2+1 && long {
		b.openCircuit(r)
	}
}

func (b *Dispatcher) recordSuccess(m *message, a *attempt, e AttemptResult) {
	r := a.route
	s := e.Elapsed.Seconds()
	for _, recent := range []*float64{&r.latency, &a.endpoint.latency} {
		if *recent == 0 {
			*recent = s
		}
		*recent += latencySmoothing * (s - *recent)
	}
	ours := math.Sqrt(smallFleet / float64(max(smallFleet, b.settings.Senders))) // others add theirs
	more := time.Duration(idleTimeoutGrowth * ours * float64(b.settings.IdleConnectionTimeout))
	_, kind := b.idleTimeout(a.endpoint)
	*kind, a.endpoint.idleTimeoutCut = min(b.settings.IdleConnectionTimeout, *kind+more), max(0,
		a.endpoint.idleTimeoutCut-more)
	// Quickly served after a try on a connection that had been idle was not: such are dropped unseen.
	if n := len(m.attempts); n > 1 && m.attempts[n-2].connectionIdle > 0 &&
		m.attempts[n-2].outcomeUnknown && s < slowFactor*r.mean {
		*kind = min(*kind, m.attempts[n-2].connectionIdle/2)
		a.endpoint.idleTimeoutCut = max(a.endpoint.idleTimeoutCut, b.settings.IdleConnectionTimeout-*kind)
	}
	b.recordServed(r)
	r.lastServedSentAt = max(r.lastServedSentAt, a.sentAt)
	r.consecutiveFailures, r.consecutiveLosses, r.backoffStep, r.cancelledCalls = 0, 0, 0, 0
	if r.state == unavailable {
		if b.hasOwnEvidence(r) {
			a.endpoint.idleTimeoutCut = 0 // an outage as such: its connects did not fail for a full table
		}
		b.startSlowStart(r, 0)
	}
	// A window that is not in use says nothing about what the destination bears: it grows in use only,
	// and fades out of it, so that a destination that falls silent takes few slots before it is noticed.
	if used := float64(r.inFlight + 1); 2*used >= r.window {
		r.window = min(r.window+1, max(1, b.maxCallsPerDestination()))
	} else {
		r.window = max(2, r.window-windowDecay)
	}
	if r.limit > 0 && (e.RateLimit == 0 || e.QuotaLeft > growthQuota) {
		step := paceIncrease * b.fairShare(r.limit)
		if e.RateLimit == 0 {
			step *= 2 // no allowance to use up: the listed rate is a capacity
		}
		most := r.limit
		if r.maxBatchSize > 1 { // more messages need no more calls
			most = b.initialPace(r.limit)
		}
		r.pace = min(most, max(r.pace, isolatedRejectionFloor*b.fairShare(r.limit))+step)
	}
}

// warmUp ends an outage: r is cold from now on.
func (b *Dispatcher) startSlowStart(r *route, tokens float64) {
	b.setState(r, warmingUp)
	r.window, r.tokens, r.refilledAt, r.reopensAt = 1, tokens, b.now, 0
	r.failureRate = min(r.failureRate, degradedFailureRate)
	b.logRoute(r, "answers again; warming up")
}

// refused closes the route for the told wait, or for a growing pause if none was told.
func (b *Dispatcher) recordRejection(r *route, a *attempt, e AttemptResult) {
	b.halveWindow(r, a.sentAt)
	r.rejectedAt = b.now
	if r.limit > 0 {
		// The more of us there are the less does one call tell each: all may be far above the limit, and
		// where refused calls use it up they keep one another out. So each goes down until it drains.
		n := float64(max(smallFleet, b.settings.Senders))
		// One refusal among served calls is chance: a limit that counts over a short time is met by calls
		// that come together, also while all of them are fewer than it allows.
		least := 0.5
		if r.consecutiveFailures == 1 && r.recentServed > 0 {
			least = isolatedRejectionFloor
		}
		r.pace = max(r.pace*paceDecrease*smallFleet/n, b.fairShare(r.limit)*least)
		if n > smallFleet {
			r.tokens, r.refilledAt = b.jitter(), b.now // others were refused in the same moment
		}
	}
	if e.RetryAfter > 0 {
		if e.RetryAfter > b.settings.OverloadWindow && r.state != unavailable {
			b.openCircuit(r) // shut for longer than any limit is counted over: it comes back cold
		}
		if r.state == unavailable {
			r.reopensAt = r.backoffUntil
		}
		return
	}
	r.backoffStep = min(max(2*r.backoffStep, backoffInitial), backoffMax)
	r.backoffUntil = max(r.backoffUntil, b.now+r.backoffStep)
}
