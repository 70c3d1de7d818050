package dispatch

import (
	"slices"
	"time"
)

const (
	// shedThreshold is the share of MaxPendingMessages above which messages are rejected.
	shedThreshold = 0.95
	// minServedRate is added to a route's served rate (calls a second), which may be 0, in the estimate of a
	// queue's wait.
	minServedRate = 0.1
)

// admit adds a submitted message to the pending ones. It fails a message of a class that the settings lack.
func (d *Dispatcher) admit(submitted Message) {
	rules := submitted.Rules
	if rules == nil {
		if submitted.Class < 0 || submitted.Class >= len(d.settings.Classes) {
			d.emit(Fail{Message: submitted.ID}) // it is not known whether it may be repeated
			return
		}
		rules = &Rules{Class: d.settings.Classes[submitted.Class], MaxAttempts: d.settings.MaxAttempts}
	}
	m := &message{
		Message:      submitted,
		class:        &rules.Class,
		maxAttempts:  rules.MaxAttempts,
		destination:  d.ensureDestination(submitted.Destination),
		mayHaveRun:   submitted.MayHaveRun,
		firstRunAt:   submitted.FirstRunAt,
		firstRunZone: submitted.FirstRunZone,
		notBefore:    submitted.NotBefore,
	}
	d.messages[m.ID] = m
	d.pending = append(d.pending, m)
	if submitted.InFlight != nil && d.endpoints[submitted.InFlight.Endpoint] != nil {
		d.inheritAttempt(m, submitted.InFlight)
	} else {
		m.destination.waiting = append(m.destination.waiting, m)
	}
	d.arrivals.add(1, d.now)
	if !submitted.Resumed {
		d.newInStep++
	}
	d.joinKeyQueue(m)
	d.countTenantMessage(m.Tenant)
}

// closeMessage ends a message. It deletes the message once no attempt is in flight.
func (d *Dispatcher) closeMessage(m *message) {
	if !m.closed {
		m.closed = true
		d.recordClassGoodput(m)
		d.pending = remove(d.pending, m)
		m.destination.waiting = remove(m.destination.waiting, m)
		d.forgetUnlisted(m.destination)
	}
	if m.inFlight == 0 {
		delete(d.messages, m.ID)
		d.leaveKeyQueue(m)
	}
}

// failUndeliverable fails each message that cannot be delivered any more: the time left is shorter than the
// quickest call served by its route, it has used up its attempts, or it may not be repeated. A message is
// failed as soon as that is certain, not at its deadline.
func (d *Dispatcher) failUndeliverable() {
	for _, m := range append([]*message(nil), d.pending...) {
		if m.inFlight > 0 {
			continue
		}
		latestStart := d.latestStart(m, m.likelyRoute())
		exhausted := m.maxAttempts > 0 && m.attemptCount() >= m.maxAttempts
		if d.now >= latestStart || exhausted || !d.mayRepeat(m) {
			d.emit(Fail{Message: m.ID})
			d.closeMessage(m)
			continue
		}
		d.wakeAt(latestStart)
	}
	d.dropKeyQueues()
}

// shedLoad rejects messages while the number of pending ones is close to MaxPendingMessages. A client can
// submit a rejected message again, whereas at MaxPendingMessages submissions are refused before the
// dispatcher can choose among them. At most one message is rejected for each that was submitted in this step:
// those that were pending before have been accepted, even if the limit was lowered since.
func (d *Dispatcher) shedLoad() {
	threshold := shedThreshold * float64(d.settings.MaxPendingMessages)
	for ; d.newInStep > 0 && threshold > 0 && float64(len(d.pending)) > threshold; d.newInStep-- {
		shed := d.messageToShed()
		if shed == nil {
			return
		}
		retryAfter := time.Duration(0)
		if d.settings.SendsRetryAfter {
			retryAfter = d.settings.MaxRetryAfter
		}
		d.emit(Reject{Message: shed.ID, RetryAfter: retryAfter})
		d.closeMessage(shed)
	}
}

// messageToShed returns the message to reject: the newest message of the destination with the longest
// expected wait, preferably of a tenant beyond its quota. It returns nil if every waiting message may have
// run.
func (d *Dispatcher) messageToShed() *message {
	var selected *message
	longest := 0.0
	for _, dest := range d.destinationOrder {
		for _, m := range dest.waiting {
			quota := d.quotaFactor(m.Tenant)
			servedRate := m.likelyRoute().traffic.servedRate()
			wait := float64(len(dest.waiting)) / (minServedRate + servedRate) / (quota * quota)
			if !m.mayHaveRun && wait >= longest {
				selected, longest = m, wait
			}
		}
	}
	return selected
}

// inheritAttempt adds an attempt that another process of this sender has in flight, as if this process had
// sent it.
func (d *Dispatcher) inheritAttempt(m *message, inFlight *InFlightAttempt) {
	c := d.inheritedCalls[inFlight.Call]
	if c == nil {
		c = d.inheritCall(inFlight)
	}
	m.addAttempt(attempt{call: c, timeout: inFlight.Timeout, untilDeadline: true})
}

// inheritCall adds a call that another process of this sender has in flight.
func (d *Dispatcher) inheritCall(inFlight *InFlightAttempt) *call {
	e := d.endpoints[inFlight.Endpoint]
	r := e.route
	isProbe := r.breaker.state == unavailable && inFlight.SentAt >= r.breaker.since
	c := &call{route: r, endpoint: e, sentAt: inFlight.SentAt, isProbe: isProbe}
	if d.inheritedCalls == nil {
		d.inheritedCalls = map[uint64]*call{}
	}
	d.inheritedCalls[inFlight.Call] = c
	d.callsInFlight++
	r.window.inFlight++
	e.inFlight++
	if c.isProbe {
		r.breaker.probesInFlight++
	}
	r.window.unanswered = append(r.window.unanswered, c)
	slices.SortStableFunc(r.window.unanswered, func(x, y *call) int {
		return int(min(1, max(-1, x.sentAt-y.sentAt)))
	})
	return c
}
