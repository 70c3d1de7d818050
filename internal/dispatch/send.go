package dispatch

const (
	// explorationInterval is the number of first attempts of which one, at random, has its message's time
	// left as its timeout, so that latencies above τ are sampled, too.
	explorationInterval = 20
	// explorationWeight is the weight of such an attempt's sample, as the attempt represents so many.
	explorationWeight = 20
)

// sendCall starts a call with m, and with the waiting messages of the highest priority that may share the
// call.
func (d *Dispatcher) sendCall(m *message, e *endpoint) {
	c := d.startCall(e)
	d.sendAttempt(m, c)
	for n := 1; n < d.maxBatchSize(e) && !c.isProbe; n++ {
		next := d.nextForCall(m.destination, e)
		if next == nil {
			return
		}
		d.sendAttempt(next, c)
	}
}

// startCall takes a slot and a token for a call to e.
func (d *Dispatcher) startCall(e *endpoint) *call {
	r := e.route
	c := &call{route: r, endpoint: e, sentAt: d.now, isProbe: r.breaker.state == unavailable}
	if e.inFlight == 0 && e.idleSince > 0 && d.now < e.idleSince+d.settings.IdleConnectionTimeout {
		c.connectionIdle = d.now - e.idleSince
	}
	reusesConnection := d.canReuseConnection(e)
	d.callsInFlight++
	r.window.inFlight++
	e.inFlight++
	e.lastSentAt = d.now
	if c.isProbe {
		r.breaker.probesInFlight++
		r.breaker.lastProbeAt = d.now
	}
	if reusesConnection {
		e.freedConnections--
		// A call on a reused connection does not wait for a token. The tokens must not fall below 0 for it,
		// as that would delay the calls that do wait.
		r.limiter.tokens -= min(1, max(0, r.limiter.tokens))
	} else {
		r.limiter.tokens--
	}
	r.traffic.sentCalls.add(1, d.now)
	r.traffic.lastSentAt = d.now
	r.window.unanswered = append(r.window.unanswered, c)
	return c
}

// nextForCall returns the waiting message of the highest priority that may share a call to e, nil if there is
// none.
func (d *Dispatcher) nextForCall(dest *destination, e *endpoint) *message {
	var next *message
	for _, m := range dest.waiting {
		fits := d.isReady(m) && d.selectEndpoint(m, []*endpoint{e}) != nil
		if fits && (next == nil || d.priority(m, e.route) > d.priority(next, e.route)) {
			next = m
		}
	}
	return next
}

// sendAttempt sends m as an attempt with call c.
func (d *Dispatcher) sendAttempt(m *message, c *call) {
	a := d.newAttempt(m, c)
	startWithin := d.latestStart(m, c.route) - d.now
	if !m.mayHaveRun {
		m.mayHaveRun, m.firstRunAt, m.firstRunZone = true, d.now, c.endpoint.Zone
	}
	m.addAttempt(a)
	m.destination.waiting = remove(m.destination.waiting, m)
	d.emit(Send{Message: m.ID, Endpoint: c.endpoint.ID, Timeout: a.timeout, StartWithin: max(0, startWithin)})
}

// addAttempt adds an attempt that is in flight to m and to its call.
func (m *message) addAttempt(a attempt) {
	m.attempts = append(m.attempts, a)
	m.inFlight++
	a.call.pendingResults++
	a.call.messages = append(a.call.messages, m)
}

// newAttempt returns a new attempt of m with its timeout: the estimator's τ if m may be sent again after it,
// else m's time left.
func (d *Dispatcher) newAttempt(m *message, c *call) attempt {
	timeLeft := m.Deadline - d.now
	a := attempt{call: c, timeout: timeLeft, untilDeadline: true}
	isFirst := m.attemptCount() == 0
	if isFirst {
		a.sampleWeight = 1
	}
	tau := c.route.estimator.tau()
	if c.isProbe { // a doubled τ would leave the end of the outage unnoticed for too long
		tau = max(c.route.silenceTimeout(), probeInterval)
	}
	if m.class.Effect == IdempotentByKey {
		tau = min(tau, m.class.IdempotencyWindow/2) // leaves time for a repeat in the window
	}
	if !d.mayRetryAfterTimeout(m, c.route, tau) || tau >= timeLeft {
		return a
	}
	if isFirst && !c.isProbe && d.randomBelow(explorationInterval) == 0 {
		a.sampleWeight = explorationWeight
		return a
	}
	a.timeout, a.untilDeadline = tau, false
	return a
}
