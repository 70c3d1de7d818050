package dispatch

import (
	"math"
	"slices"
	"time"
)

// This file decides how long idle connections are kept. How many connections an endpoint accepts is not
// known until a connect fails; then no idle connections to it are kept. A sender with few calls applies
// what it sees at one endpoint to all destinations of that kind, as the other senders see the same. A sender
// with many calls to a route relies on what it has seen there itself.

const (
	// idleTimeoutDivisor divides the idle timeout for a kind of destination when a connect there fails.
	idleTimeoutDivisor = 4
	// idleTimeoutGrowth is the share of the full idle timeout by which each call served lengthens a shortened
	// idle timeout again.
	idleTimeoutGrowth = 0.002
)

// kindIdleTimeout returns the idle timeout of connections to destinations of e's kind, as a pointer so that
// callers can change it. With many senders it starts as a fraction of the full idle timeout.
func (d *Dispatcher) kindIdleTimeout(e *endpoint) *time.Duration {
	for len(d.idleTimeouts) <= e.Kind {
		senders := time.Duration(max(smallFleetSize, d.settings.Senders))
		d.idleTimeouts = append(d.idleTimeouts, d.settings.IdleConnectionTimeout*smallFleetSize/senders)
	}
	return &d.idleTimeouts[e.Kind]
}

// idleTimeout returns how long an idle connection to e is kept.
func (d *Dispatcher) idleTimeout(e *endpoint) time.Duration {
	timeout := *d.kindIdleTimeout(e)
	if d.hasEnoughOwnCalls(e.route) {
		timeout = d.settings.IdleConnectionTimeout
	}
	return max(0, timeout-e.idleTimeoutCut)
}

// closeIdleConnections closes the connections that have been idle for longer than their idle timeout.
func (d *Dispatcher) closeIdleConnections() {
	remaining := d.idleEndpoints[:0]
	for _, e := range d.idleEndpoints {
		timeout := d.idleTimeout(e)
		closeAt := e.idleSince + timeout
		switch {
		case e.inFlight > 0 || d.now >= e.idleSince+d.settings.IdleConnectionTimeout:
			continue // in use, or already closed by the endpoint
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

// releaseConnection records that a call to e has ended and its connection is free or closed.
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

// canReuseConnection reports whether the next call to e may use a connection on which a call has just been
// served. Such a call takes the place of the one before, so e has no more connections in use than before.
// Where connections are scarce it is hardly possible to open another, so a delay by the rate limiter or by
// the backoff after a failed connect would gain nothing. The function returns false if the route has rejected
// a call recently, as such a route limits its calls, whatever connections they use.
func (d *Dispatcher) canReuseConnection(e *endpoint) bool {
	r := e.route
	accepts := r.breaker.state == healthy && d.now >= r.backoff.until &&
		r.window.inFlight < d.concurrencyLimit(r)
	freedNow := d.trafficSparsity() > 0 && e.freedConnections > 0 && e.freedAt == d.now
	return freedNow && accepts && d.now-r.backoff.rejectedAt > d.settings.OverloadWindow
}

// recordConnectFailure shortens the idle timeouts after a failed connect, as e may already have as many
// connections as it accepts.
func (d *Dispatcher) recordConnectFailure(e *endpoint) {
	e.connectFailedAt = d.now
	*d.kindIdleTimeout(e) /= idleTimeoutDivisor
	e.idleTimeoutCut = d.settings.IdleConnectionTimeout
}

// lengthenIdleTimeout lengthens the idle timeouts after a call was served.
func (d *Dispatcher) lengthenIdleTimeout(e *endpoint) {
	// The other senders lengthen their idle timeouts, too, so each of many does so more slowly.
	share := math.Sqrt(smallFleetSize / float64(max(smallFleetSize, d.settings.Senders)))
	growth := time.Duration(idleTimeoutGrowth * share * float64(d.settings.IdleConnectionTimeout))
	kindTimeout := d.kindIdleTimeout(e)
	*kindTimeout = min(d.settings.IdleConnectionTimeout, *kindTimeout+growth)
	e.idleTimeoutCut = max(0, e.idleTimeoutCut-growth)
}

// detectDroppedConnection shortens the idle timeouts if a connection seems to have been dropped unnoticed
// while it was idle: the previous attempt of m used an idle connection and its outcome is unknown, but this
// attempt was served in a normal time (seconds).
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
