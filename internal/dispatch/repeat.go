package dispatch

import "time"

// The rules of repetition: whether and until when an attempt may be sent, as an earlier one may have run.

// processPauseAllowance is how long the process may be paused between reading its clock and writing (the
// operators' terms). A repeat has to arrive within its key's window all the same.
const processPauseAllowance = 150 * time.Millisecond

// mayRepeat reports whether no attempt may have run, or a repeat sent now does no harm.
func (d *Dispatcher) mayRepeat(m *message) bool {
	if !m.mayHaveRun || m.class.Effect == Idempotent {
		return true
	}
	minLatency := m.likelyRoute().estimator.minLatency
	arrival := d.now + processPauseAllowance + d.settings.StepInterval + minLatency
	return m.class.Effect == IdempotentByKey && arrival < m.firstRunAt+m.class.IdempotencyWindow
}

// latestStart is the latest time at which a call of m to r may start: it takes as long as the quickest one
// served there, and has to be over at m's deadline; a repeat has to be over while m's key is remembered.
func (d *Dispatcher) latestStart(m *message, r *route) time.Duration {
	minLatency := r.estimator.minLatency
	latest := m.Deadline - max(minLatency, d.settings.StepInterval)
	if m.mayHaveRun && m.class.Effect == IdempotentByKey {
		windowEnd := m.firstRunAt + m.class.IdempotencyWindow
		latest = min(latest, windowEnd-processPauseAllowance-minLatency-d.settings.StepInterval)
	}
	return latest
}

// mayRetryAfterTimeout reports whether m may be sent again if it is sent now and times out after tau.
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
