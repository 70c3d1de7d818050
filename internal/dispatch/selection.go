package dispatch

// Which message goes to which endpoint next, and how it is sent.

import (
	"math"
	"time"
)

// sendAll fills the free slots, the best message first.
func (b *Dispatcher) sendAll() {
	if b.storageFailing || b.listStale {
		return
	}
	type offer struct {
		m     *message
		e     *endpoint
		index float64
	}
	offers := make([]offer, len(b.destinationOrder))
	find := func(i int) {
		offers[i] = offer{}
		d := b.destinationOrder[i]
		if len(d.waiting) == 0 || len(d.endpoints) == 0 {
			return
		}
		var usable, following []*endpoint
		closed := d.shared != nil && !b.acceptsCall(d.shared)
		for _, e := range d.endpoints {
			// further sends would join that call
			joins := b.maxBatchSize(e) > 1 && e.lastSentAt == b.now && e.inFlight > 0
			if !joins && b.canReuseConnection(e) {
				following = append(following, e)
			}
			if b.isFull(e.route) && e.inFlight > 0 {
				continue
			}
			if !joins && (e.route == d.shared && !closed || e.route != d.shared && b.acceptsCall(e.route)) {
				usable = append(usable, e)
			}
		}
		for _, m := range d.waiting {
			ready := b.isReady(m)
			var e *endpoint
			if ready || m.connectFailed && b.isHeadOfKeyQueue(m) {
				e = b.selectEndpoint(m, following)
			}
			if e == nil && ready {
				e = b.selectEndpoint(m, usable)
			}
			if e != nil {
				x := b.priority(m, e.route)
				if best := offers[i]; best.m == nil || b.precedes(m, e, x, best.m, best.index) {
					offers[i] = offer{m, e, x}
				}
			}
		}
	}
	for i := range b.destinationOrder {
		find(i)
	}
	for {
		best := -1
		for i := range offers {
			if offers[i].m != nil && (best < 0 || offers[i].index > offers[best].index) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		if b.settings.MaxConcurrentCalls > 0 && b.callsInFlight >= b.settings.MaxConcurrentCalls {
			waiting := 0
			for i := range offers {
				if offers[i].m != nil {
					waiting++
				}
			}
			b.cancelOverdue(waiting)
			return
		}
		b.sendCall(offers[best].m, offers[best].e)
		find(best)
	}
}

// takeBack calls off overdue calls while messages wait for slots, the longest overdue first. A call that
// may not be repeated holds its slot to the deadline otherwise, and a few hung destinations, or calls lost
// here and there, would take all slots. It hurts where a call would have been answered.
func (b *Dispatcher) cancelOverdue(waiting int) {
	for b.settings.CanCancelAttempts && b.cancelledInFlight < waiting {
		var victim *call
		longest := time.Duration(0)
		for _, r := range b.routes {
			for _, c := range r.unanswered {
				over := b.now - c.sentAt - b.overdueAfter(c)
				if over > longest && !c.cancelled {
					victim, longest = c, over
				}
			}
		}
		if victim == nil {
			return
		}
		victim.cancelled = true
		victim.route.cancelledCalls++
		b.cancelledInFlight++
		for _, m := range victim.messages {
			if n := len(m.attempts) - 1; !m.attempts[n].ended {
				b.actions = append(b.actions, Cancel{m.ID, n})
			}
		}
	}
}

// precedes orders two messages of one destination. In an outage a message that may be repeated tries
// the destination, as one that may not is lost with the call.
func (b *Dispatcher) precedes(m *message, e *endpoint, x float64, than *message, thanX float64) bool {
	thanIsLost := than.class.Effect == NonIdempotent
	if e.route.state == unavailable && (m.class.Effect == NonIdempotent) != thanIsLost {
		return thanIsLost
	}
	return x > thanX
}

// closeIdle shuts connections that have been idle for longer than they are kept.
func (b *Dispatcher) closeIdleConnections() {
	kept := b.idleEndpoints[:0]
	for _, e := range b.idleEndpoints {
		keep, _ := b.idleTimeout(e)
		until := e.idleSince + keep
		switch {
		case e.inFlight > 0 || b.now >= e.idleSince+b.settings.IdleConnectionTimeout:
			continue
		case b.now >= until:
			b.actions = append(b.actions, CloseIdle{e.ID})
			e.idleSince = 0
			continue
		case keep < b.settings.IdleConnectionTimeout:
			b.wakeAt(until)
		}
		kept = append(kept, e)
	}
	b.idleEndpoints = kept
}

// ready: m may be sent now, as far as m itself goes.
func (b *Dispatcher) isReady(m *message) bool {
	if b.now < m.notBefore {
		b.wakeAt(m.notBefore)
		return false
	}
	return b.isHeadOfKeyQueue(m)
}

// inTurn: no other message of m's key goes first.
func (b *Dispatcher) isHeadOfKeyQueue(m *message) bool {
	if t := m.keyQueue; t != nil {
		if t.messages[0] != m {
			return false
		}
		if b.now < t.settleUntil && len(m.attempts) == 0 {
			b.wakeAt(t.settleUntil)
			return false
		}
	}
	return true
}

// pick is the endpoint for m with the least work of ours, by its recent latency and failures.
func (b *Dispatcher) selectEndpoint(m *message, usable []*endpoint) *endpoint {
	var best *endpoint
	least := 0.0
	for _, e := range usable {
		if m.mayHaveRun && m.class.KeyScopedToZone && m.class.Effect == IdempotentByKey &&
			e.Zone != m.firstRunZone {
			continue
		}
		takes := e.latency
		if many := b.sparsity(); many > 0 { // hardly a call each: what is known of all of r says more
			takes += many * (e.route.latency - takes)
			shun := math.Exp(-(b.now - e.connectFailedAt).Seconds() / connectFailureSpan.Seconds())
			takes = max(takes, 0.02) * (1 + many*(rendezvousCost*b.rendezvousRank(e)+connectFailureCost*shun))
		}
		cost := float64(e.inFlight+1) * max(takes, 0.02) / max(0.05, 1-e.failureRate)
		if e.Zone != b.settings.Zone {
			cost *= 1 + 10*b.settings.CrossZoneCost
		}
		if e.Zone < len(b.settings.ZoneFees) && e.route != m.destination.shared {
			cost *= 1 + 10*b.settings.ZoneFees[e.Zone]
		}
		if best == nil || cost < least {
			best, least = e, cost
		}
	}
	return best
}

// sendCall sends m, and with it, where messages share calls, the best others that may go along.
func (b *Dispatcher) sendCall(m *message, e *endpoint) {
	r := e.route
	c := &call{route: r, endpoint: e, sentAt: b.now, isProbe: r.state == unavailable}
	if e.inFlight == 0 && e.idleSince > 0 && b.now < e.idleSince+b.settings.IdleConnectionTimeout {
		c.connectionIdle = b.now - e.idleSince
	}
	follows := b.canReuseConnection(e)
	b.callsInFlight++
	r.inFlight++
	e.inFlight++
	e.lastSentAt = b.now
	if c.isProbe {
		r.probesInFlight++
		r.lastProbeAt = b.now
	}
	if follows {
		e.freedConnections--
		r.tokens -= min(1, max(0, r.tokens)) // what it does not wait for it does not take from those that do
	} else {
		r.tokens--
	}
	r.sentCalls.add(1, b.now, arrivalSpan)
	r.lastSentAt = b.now
	r.unanswered = append(r.unanswered, c)
	b.send(m, c)
	for n := 1; n < b.maxBatchSize(e) && !c.isProbe; n++ {
		var next *message
		for _, o := range m.destination.waiting {
			fits := b.isReady(o) && b.selectEndpoint(o, []*endpoint{e}) != nil
			if fits && (next == nil || b.priority(o, r) > b.priority(next, r)) {
				next = o
			}
		}
		if next == nil {
			break
		}
		b.send(next, c)
	}
}

// send starts an attempt. Its time-out is the oracle's where a restart then is lawful, else the time left.
func (b *Dispatcher) send(m *message, c *call) {
	r := c.route
	left := m.Deadline - b.now
	tau := r.tau()
	if c.isProbe {
		tau = max(r.silenceTimeout(), probeInterval) // doubling would leave an outage unwatched
	}
	a := attempt{call: c, timeout: left, untilDeadline: true}
	first := m.attemptCount() == 0
	if first {
		a.sampleWeight = 1
	}
	restartable := m.class.Effect == Idempotent
	if m.class.Effect == IdempotentByKey {
		tau = min(tau, m.class.IdempotencyWindow/2) // a repeat needs time to be served in the window
		from := b.now
		if m.mayHaveRun {
			from = m.firstRunAt
		}
		restartable = b.now+tau+processPauseAllowance+2*b.settings.StepInterval+r.minLatency <
			from+m.class.IdempotencyWindow
	}
	if m.maxAttempts > 0 && m.attemptCount()+1 >= m.maxAttempts {
		restartable = false
	}
	if restartable && tau < left {
		if first && !c.isProbe && b.randomBelow(explorationInterval) == 0 {
			a.sampleWeight = explorationWeight
		} else {
			a.timeout, a.untilDeadline = tau, false
		}
	}
	begin := b.latestStart(m, r) - b.now
	if !m.mayHaveRun {
		m.mayHaveRun, m.firstRunAt, m.firstRunZone = true, b.now, c.endpoint.Zone
	}
	m.attempts = append(m.attempts, a)
	m.inFlight++
	c.unresolved++
	c.messages = append(c.messages, m)
	m.destination.waiting = remove(m.destination.waiting, m)
	b.actions = append(b.actions, Send{m.ID, c.endpoint.ID, a.timeout, max(0, begin)})
}
