package dispatch

import (
	"math"
	"slices"
	"time"
)

// How long idle connections are kept. How many connections an endpoint takes is not known: it shows in
// connects that fail, and none is kept there then. What a sender with few calls sees at one endpoint holds
// for the kind of destination, as others see the same; a sender with many calls has seen for itself.

const (
	// idleTimeoutDivisor is how many times shorter idle connections are kept where a connect fails.
	idleTimeoutDivisor = 4
	// idleTimeoutGrowth is the share of the full idle timeout by which they are kept longer again, by call
	// served.
	idleTimeoutGrowth = 0.002
)

// kindIdleTimeout is the idle timeout of connections to destinations of e's kind.
func (d *Dispatcher) kindIdleTimeout(e *endpoint) *time.Duration {
	for len(d.idleTimeouts) <= e.Kind {
		senders := time.Duration(max(smallFleet, d.settings.Senders))
		d.idleTimeouts = append(d.idleTimeouts, d.settings.IdleConnectionTimeout*smallFleet/senders)
	}
	return &d.idleTimeouts[e.Kind]
}

// idleTimeout is how long an idle connection to e is kept.
func (d *Dispatcher) idleTimeout(e *endpoint) time.Duration {
	timeout := *d.kindIdleTimeout(e)
	if d.hasEnoughOwnCalls(e.route) {
		timeout = d.settings.IdleConnectionTimeout
	}
	return max(0, timeout-e.idleTimeoutCut)
}

// closeIdleConnections closes connections that have been idle for longer than they are kept.
func (d *Dispatcher) closeIdleConnections() {
	remaining := d.idleEndpoints[:0]
	for _, e := range d.idleEndpoints {
		timeout := d.idleTimeout(e)
		closeAt := e.idleSince + timeout
		switch {
		case e.inFlight > 0 || d.now >= e.idleSince+d.settings.IdleConnectionTimeout:
			continue // it is in use, or the endpoint has closed it
		case d.now >= closeAt:
			d.emit(CloseIdle{Endpoint: e.ID})
			e.idleSince = 0
			continue
		case timeout < d.settings.IdleConnectionTimeout:
			d.wakeAt(closeAt)
		}
		remaining = append(remaining, e)
	}
	d.idleEndpoints = remaining
}

// releaseConnection books that a call to e has ended.
func (d *Dispatcher) releaseConnection(e *endpoint, served bool) {
	e.inFlight--
	if served {
		if e.freedAt < d.now {
			e.freedAt, e.freedConnections = d.now, 0
		}
		e.freedConnections++
	}
	if e.inFlight == 0 {
		e.idleSince = d.now
		if !slices.Contains(d.idleEndpoints, e) {
			d.idleEndpoints = append(d.idleEndpoints, e)
		}
	}
}

// canReuseConnection reports whether the next call to e may go on a connection that has just served one.
// It takes that one's place, so that e has no more at once than before, and where places are scarce there
// is hardly another: neither the pace nor the backoff after a failed connect is of use. Not where calls
// are rejected, as there they are counted.
func (d *Dispatcher) canReuseConnection(e *endpoint) bool {
	r := e.route
	accepts := r.breaker.state == healthy && d.now >= r.backoff.until &&
		r.window.inFlight < d.concurrencyLimit(r)
	freedNow := d.trafficSparsity() > 0 && e.freedConnections > 0 && e.freedAt == d.now
	return freedNow && accepts && d.now-r.backoff.rejectedAt > d.settings.OverloadWindow
}

// recordConnectFailure shortens the idle timeouts: e may have as many connections as it takes.
func (d *Dispatcher) recordConnectFailure(e *endpoint) {
	e.connectFailedAt = d.now
	*d.kindIdleTimeout(e) /= idleTimeoutDivisor
	e.idleTimeoutCut = d.settings.IdleConnectionTimeout
}

// lengthenIdleTimeout lengthens the idle timeouts for a call served.
func (d *Dispatcher) lengthenIdleTimeout(e *endpoint) {
	share := math.Sqrt(smallFleet / float64(max(smallFleet, d.settings.Senders))) // other senders add theirs
	growth := time.Duration(idleTimeoutGrowth * share * float64(d.settings.IdleConnectionTimeout))
	kindTimeout := d.kindIdleTimeout(e)
	*kindTimeout = min(d.settings.IdleConnectionTimeout, *kindTimeout+growth)
	e.idleTimeoutCut = max(0, e.idleTimeoutCut-growth)
}

// detectDroppedConnection shortens the idle timeouts where m was served fast (after so many seconds) once an
// attempt on a connection that had been idle was not: such connections are dropped unnoticed.
func (d *Dispatcher) detectDroppedConnection(m *message, e *endpoint, seconds float64) {
	if len(m.attempts) < 2 {
		return
	}
	previous := &m.attempts[len(m.attempts)-2]
	wasIdle := previous.call.connectionIdle
	if wasIdle <= 0 || !previous.outcomeUnknown || seconds >= slowFactor*e.route.estimator.mean {
		return
	}
	kindTimeout := d.kindIdleTimeout(e)
	*kindTimeout = min(*kindTimeout, wasIdle/2)
	e.idleTimeoutCut = max(e.idleTimeoutCut, d.settings.IdleConnectionTimeout-*kindTimeout)
}
