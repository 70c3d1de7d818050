package dispatch

// What follows from how an attempt ended.

import (
	"math"
	"slices"
	"time"
)

func (b *Dispatcher) ended(e AttemptResult) {
	m := b.byID[e.Message]
	if m == nil || e.Attempt < 0 || e.Attempt >= len(m.attempts) || m.attempts[e.Attempt].ended {
		return
	}
	a := &m.attempts[e.Attempt]
	a.ended, a.doubt = true, e.Outcome == TimedOut || e.Outcome == ConnectionBroken
	e.Elapsed = max(0, e.Elapsed)
	m.out--
	if a.left--; a.left == 0 {
		b.calls--
		a.route.calls--
		if a.takenBack {
			b.takenBack--
		}
		a.at.calls--
		if e.Outcome == Served {
			if a.at.freedAt < b.now {
				a.at.freedAt, a.at.freed = b.now, 0
			}
			a.at.freed++
		}
		if a.at.calls == 0 {
			if a.at.idleAt = b.now; !slices.Contains(b.idle, a.at) {
				b.idle = append(b.idle, a.at)
			}
		}
		a.route.unanswered = without(a.route.unanswered, a.call)
		if a.probe && a.sent >= a.route.since && a.route.state == unavailable {
			a.route.probes--
		}
	}
	if e.HasLoadReport && positive(e.RateLimit) {
		b.learnLimit(a.route, e.RateLimit)
	}
	if e.RetryAfter > 0 { // each outcome of a shared call may tell a later end
		b.heedWait(m.dest, a.route, e.RetryAfter)
	}
	// Broken sooner than any call was served, on a connection that had been idle: that was dropped meanwhile,
	// and tells nothing of the destination. The call may have run, but its repeat need not wait.
	dropped := e.Outcome == ConnectionBroken && e.ConnectionIdle > 0 && e.Elapsed < a.route.quickest
	if !a.booked && e.Outcome != NotSent && e.Outcome != NotStarted && !dropped {
		a.booked = true
		b.judge(m, a, e)
	}
	b.learn(a, e)
	switch e.Outcome {
	case NotStarted:
		m.PriorAttempts-- // it does not count
		b.neverRan(m)
	case Rejected, ConnectFailed, NotSent:
		b.neverRan(m)
	case TimedOut, ConnectionBroken, Cancelled:
		if m.turn != nil {
			m.turn.restUntil = max(m.turn.restUntil, b.now+b.s.OrderedKeySettleTime)
		}
	}
	if e.Final || m.over {
		m.served = e.Outcome == Served
		b.close(m)
		return
	}
	if m.out == 0 {
		m.dest.waiting, m.unplaced = append(m.dest.waiting, m), e.Outcome == ConnectFailed
		if e.Outcome != TimedOut && e.Outcome != NotStarted && !dropped {
			m.notBefore = b.now + retryPause<<min(len(m.attempts)-1, 4)
		}
	}
}

// heedWait closes a route of a destination for a told wait.
func (b *Dispatcher) heedWait(d *destination, r *route, wait time.Duration) {
	r.closedUntil = max(r.closedUntil, b.now+wait+time.Millisecond)
	for _, at := range d.endpoints {
		if at.route == r {
			b.withhold(at)
		}
	}
}

// learn gives the oracle its sample: served first attempts only (Karn); an expiry doubles.
func (b *Dispatcher) learn(a *attempt, e AttemptResult) {
	switch {
	case e.Outcome == Served && a.weight > 0:
		a.route.sample(e.Elapsed, a.weight, false)
		b.all.sample(e.Elapsed, a.weight, false)
		a.route.doubled = 0
	case e.Outcome == TimedOut && a.uncut && a.weight > 0:
		a.route.sample(0, a.weight, true)
	case e.Outcome == TimedOut && !a.uncut:
		a.route.expired(a.sent, b.now)
	}
}

// learnLimit takes a told limit; our pace starts at an even part of it.
func (b *Dispatcher) learnLimit(r *route, limit float64) {
	if r.limit == 0 {
		r.pace = b.even(limit)
	} else {
		r.pace *= limit / r.limit
	}
	r.limit = limit
}

// judge books a call's fate with its route and endpoint.
func (b *Dispatcher) judge(m *message, a *attempt, e AttemptResult) {
	r := a.route
	bad := 0.0
	if e.Outcome != Served && e.Outcome != Rejected {
		bad = 1
	}
	a.at.fails += healthPer * (bad - a.at.fails)
	if e.Outcome != Rejected {
		r.fails += healthPer * (bad - r.fails)
		r.lost++
	}
	if e.Outcome == Served {
		b.judgeServed(m, a, e)
		return
	}
	r.bad++
	switch {
	case e.Outcome == ConnectFailed: // it may hold all the connections that it takes
		a.at.missed = b.now
		_, kind := b.keepFor(a.at)
		*kind /= keepCut
		a.at.crowded = b.s.IdleConnectionTimeout
	case e.Outcome == Rejected:
		b.refused(r, a, e)
	case e.Outcome == TimedOut && r.doubled > 0:
		b.halve(r, a.sent)
	}
	// Refusals come in runs where a limit is met, too: there it takes a while without any served.
	long := e.Outcome != Rejected || b.now-r.lastServed > b.s.OverloadWindow/2
	lasting := r.bad >= b.enough(r) && long || r.fails > mostFail
	if r.state == healthy && lasting || r.state == warmingUp && r.bad >= b.enough(r)/2+1 && long {
		b.goOut(r)
	}
}

func (b *Dispatcher) judgeServed(m *message, a *attempt, e AttemptResult) {
	r := a.route
	s := e.Elapsed.Seconds()
	for _, recent := range []*float64{&r.recent, &a.at.recent} {
		if *recent == 0 {
			*recent = s
		}
		*recent += recentPer * (s - *recent)
	}
	ours := math.Sqrt(fewSenders / float64(max(fewSenders, b.s.Senders))) // others add theirs
	more := time.Duration(keepGrow * ours * float64(b.s.IdleConnectionTimeout))
	_, kind := b.keepFor(a.at)
	*kind, a.at.crowded = min(b.s.IdleConnectionTimeout, *kind+more), max(0, a.at.crowded-more)
	// Quickly served after a try on a connection that had been idle was not: such are dropped unseen.
	if n := len(m.attempts); n > 1 && m.attempts[n-2].idle > 0 && m.attempts[n-2].doubt && s < slowBy*r.mean {
		*kind = min(*kind, m.attempts[n-2].idle/2)
		a.at.crowded = max(a.at.crowded, b.s.IdleConnectionTimeout-*kind)
	}
	b.countServed(r)
	r.servedSent = max(r.servedSent, a.sent)
	r.bad, r.lost, r.pause, r.takenBack = 0, 0, 0, 0
	if r.state == unavailable {
		if b.oftenHere(r) {
			a.at.crowded = 0 // an outage as such: its connects did not fail for a full table
		}
		b.warmUp(r, 0)
	}
	// A window that is not in use says nothing about what the destination bears: it grows in use only,
	// and fades out of it, so that a destination that falls silent takes few slots before it is noticed.
	if used := float64(r.calls + 1); 2*used >= r.window {
		r.window = min(r.window+1, max(1, b.most()))
	} else {
		r.window = max(2, r.window-windowFade)
	}
	if r.limit > 0 && (e.RateLimit == 0 || e.QuotaLeft > plenty) {
		step := paceStep * b.part(r.limit)
		if e.RateLimit == 0 {
			step *= 2 // no allowance to use up: the listed rate is a capacity
		}
		most := r.limit
		if r.shares > 1 { // more messages need no more calls
			most = b.even(r.limit)
		}
		r.pace = min(most, max(r.pace, evenKept*b.part(r.limit))+step)
	}
}

// warmUp ends an outage: r is cold from now on.
func (b *Dispatcher) warmUp(r *route, tokens float64) {
	b.enter(r, warmingUp)
	r.window, r.tokens, r.filled, r.reopens = 1, tokens, b.now, 0
	r.fails = min(r.fails, failing)
	b.log(r, "answers again; warming up")
}

// refused closes the route for the told wait, or for a growing pause if none was told.
func (b *Dispatcher) refused(r *route, a *attempt, e AttemptResult) {
	b.halve(r, a.sent)
	r.refusedAt = b.now
	if r.limit > 0 {
		// The more of us there are the less does one call tell each: all may be far above the limit, and
		// where refused calls use it up they keep one another out. So each goes down until it drains.
		n := float64(max(fewSenders, b.s.Senders))
		// One refusal among served calls is chance: a limit that counts over a short time is met by calls
		// that come together, also while all of them are fewer than it allows.
		least := 0.5
		if r.bad == 1 && r.served > 0 {
			least = evenKept
		}
		r.pace = max(r.pace*paceCut*fewSenders/n, b.part(r.limit)*least)
		if n > fewSenders {
			r.tokens, r.filled = b.spread(), b.now // others were refused in the same moment
		}
	}
	if e.RetryAfter > 0 {
		if e.RetryAfter > b.s.OverloadWindow && r.state != unavailable {
			b.goOut(r) // shut for longer than any limit is counted over: it comes back cold
		}
		if r.state == unavailable {
			r.reopens = r.closedUntil
		}
		return
	}
	r.pause = min(max(2*r.pause, pauseFirst), pauseMost)
	r.closedUntil = max(r.closedUntil, b.now+r.pause)
}
