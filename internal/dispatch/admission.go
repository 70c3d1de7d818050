package dispatch

func (b *Dispatcher) admit(msg Message) {
	rules := msg.Rules
	if rules == nil {
		if msg.Class < 0 || msg.Class >= len(b.settings.Classes) {
			b.actions = append(b.actions, Fail{msg.ID}) // nothing is known of what it may do
			return
		}
		rules = &Rules{b.settings.Classes[msg.Class], b.settings.MaxAttempts}
	}
	m := &message{Message: msg, class: &rules.Class, maxAttempts: rules.MaxAttempts,
		destination: b.destinationByID(msg.Destination),
		mayHaveRun:  msg.MayHaveRun, firstRunAt: msg.FirstRunAt, firstRunZone: msg.FirstRunZone,
		notBefore: msg.NotBefore}
	b.messages[m.ID] = m
	b.pending = append(b.pending, m)
	if msg.InFlight != nil && b.endpoints[msg.InFlight.Endpoint] != nil {
		b.inheritCall(m, msg.InFlight)
	} else {
		m.destination.waiting = append(m.destination.waiting, m)
	}
	b.arrivals.add(1, b.now, arrivalSpan)
	if !msg.Resumed {
		b.newInBatch++
	}
	if m.class.Ordered && m.Key != 0 {
		if m.keyQueue = b.keyQueues[m.Key]; m.keyQueue == nil {
			m.keyQueue = &keyQueue{key: m.Key}
			b.keyQueues[m.Key] = m.keyQueue
		}
		m.keyQueue.messages = append(m.keyQueue.messages, m)
		if m.mayHaveRun { // an attempt from before a restart may be running yet
			m.keyQueue.settleUntil = max(m.keyQueue.settleUntil, b.now+b.settings.OrderedKeySettleTime)
		}
	}
	if m.Tenant >= 0 && m.Tenant < len(b.tenantRates) {
		b.decayTenantRates()
		b.tenantRates[m.Tenant].recent += 1 / tenantRateSpan.Seconds()
		b.tenantRates[m.Tenant].longTerm += 1 / (10 * tenantRateSpan.Seconds())
	}
}

// close ends a message for us; its attempts may still be out.
func (b *Dispatcher) closeMessage(m *message) {
	if !m.closed {
		m.closed = true
		b.recordClassGoodput(m)
		b.pending = remove(b.pending, m)
		m.destination.waiting = remove(m.destination.waiting, m)
	}
	if m.inFlight == 0 {
		delete(b.messages, m.ID)
		if t := m.keyQueue; t != nil {
			t.messages = remove(t.messages, m)
			b.settlingKeyQueues = append(b.settlingKeyQueues, t)
		}
	}
}

// countClass books what became of m with its class.
func (b *Dispatcher) recordClassGoodput(m *message) {
	if m.Class < 0 || m.Class >= len(b.classGoodputs) { // of settings that are no longer in force
		return
	}
	c := &b.classGoodputs[m.Class]
	c.ended.add(m.class.PriorityWeight, b.now, arrivalSpan)
	if m.served {
		c.served.add(b.weightAt(m, b.now), b.now, arrivalSpan)
	}
}

// tries counts the attempts made, those before a restart too.
func (m *message) attemptCount() int { return m.PriorAttempts + len(m.attempts) }

// neverRan looks again for the first attempt that may have run.
func (b *Dispatcher) recordNeverRan(m *message) {
	last := len(m.attempts) - 1
	if m.firstRunAt == m.attempts[last].sentAt {
		m.mayHaveRun = false
	}
}
