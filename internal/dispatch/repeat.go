package dispatch

import "time"

// This file holds the rules of idempotency: whether and until when a message may be sent again after an
// attempt that may have run.

// processPauseAllowance is how long the process may be paused between reading its clock and writing a call,
// as the operators specify. A repeat must arrive within its key's idempotency window even then.
const processPauseAllowance = 150 * time.Millisecond

// mayRepeat reports whether m may be sent now, as far as earlier attempts are concerned: none of them may
// have run, or a repeat does no harm.
func (d *Dispatcher) mayRepeat(m *message) bool {
	if !m.mayHaveRun || m.class.Effect == Idempotent {
		return true
	}
	minLatency := m.likelyRoute().estimator.minLatency
	arrival := d.now + processPauseAllowance + d.settings.StepInterval + minLatency
	return m.class.Effect == IdempotentByKey && arrival < m.firstRunAt+m.class.IdempotencyWindow
}

// latestStart returns the latest time at which a call of m to r may start. The call is assumed to take as
// long as the quickest one served there, and must end before m's deadline. A repeat must also end while the
// receiver remembers m's key.
func (d *Dispatcher) latestStart(m *message, r *route) time.Duration {
	minLatency := r.estimator.minLatency
	latest := m.Deadline - max(minLatency, d.settings.StepInterval)
	if m.mayHaveRun && m.class.Effect == IdempotentByKey {
		windowEnd := m.firstRunAt + m.class.IdempotencyWindow
		latest = min(latest, windowEnd-processPauseAllowance-minLatency-d.settings.StepInterval)
	}
	return latest
}

// mayRetryAfterTimeout reports whether m may be sent again if it is sent now and its attempt times out after
// tau.
func (d *Dispatcher) mayRetryAfterTimeout(m *message, r *route, tau time.Duration) bool {
	if m.maxAttempts > 0 && m.attemptCount()+1 >= m.maxAttempts {
		return false
	}
	if m.class.Effect != IdempotentByKey {
		return m.class.Effect == Idempotent
	}
	firstRunAt := d.now
	if m.mayHaveRun {
		firstRunAt = m.firstRunAt
	}
	arrival := d.now + tau + processPauseAllowance + 2*d.settings.StepInterval + r.estimator.minLatency
	return arrival < firstRunAt+m.class.IdempotencyWindow
}
