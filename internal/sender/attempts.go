package sender

import (
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/journal"
	"onyxdyke.example/onyxdyke/internal/metrics"
)

// deliveryMargin is how far a client's measurement of the time that a message took may differ from the sender's. The
// client measures from when it sent the message, the sender from when the message arrived. The sender does not know the
// difference; the protocol allows this much for it.
const deliveryMargin = 50 * time.Millisecond

// handleCallEnd records how attempts of a call ended and returns the events that report this to the dispatcher.
func (s *Sender) handleCallEnd(c callEndedEvent) []dispatch.Event {
	var events []dispatch.Event
	if c.callDone {
		s.callsInFlight--
	}
	for _, end := range c.ends {
		// If this process has taken the ownership back after a hand-over, the message has a new entry, in which the
		// attempt has another number.
		if m := s.messages.byID[end.message.ID]; m != nil && m != end.message {
			end.message, end.attempt = m, end.message.priorAttempts+end.attempt-m.priorAttempts
		}
		if _, inFlight := end.message.calls[end.attempt]; inFlight { // otherwise the attempt ended before its call did
			events = append(events, s.handleAttemptEnd(end))
		}
	}
	return events
}

// handleAttemptEnd records how one attempt ended and returns the event that reports this to the dispatcher.
func (s *Sender) handleAttemptEnd(end attemptEnd) dispatch.Event {
	m := end.message
	delete(m.calls, end.attempt)
	s.trace("attempt ended", m.ID, "attempt", m.priorAttempts+end.attempt, "outcome", end.Outcome,
		"elapsed", end.Elapsed, "retry_after", end.RetryAfter)
	end.Message, end.Attempt = m.number, end.attempt
	if end.Outcome == dispatch.TimedOut {
		// If the endpoint's machine has vanished or was cut off, the older idle connections to it do not respond
		// either, and are reset once the machine is back: each of them would make one more call time out. Connections
		// that were used since the attempt began stay open.
		s.pool.CloseIdle(s.list.byNumber[end.Endpoint].Endpoint, end.Elapsed)
	}
	if !m.ended {
		s.recordAttemptEnd(end)
	}
	s.messages.removeIfDone(m)
	return end.AttemptResult
}

// recordAttemptEnd appends the end of an attempt to the journal, or the end of its message if the attempt ends it.
func (s *Sender) recordAttemptEnd(end attemptEnd) {
	m := end.message
	switch {
	case end.Outcome == dispatch.Served && m.Deadline-s.clock.Now() < deliveryMargin:
		// By the client's clock the message may have been delivered after its deadline, and then the client needs a
		// notice of its end. A notice of a message that was delivered in time does no harm.
		s.recordEnd(m, journal.OutcomeGivenUp, 0)
		s.notices.add(noticeOf(m.Message))
		s.metrics.MessageSucceeded(m.Class)
	case end.Outcome == dispatch.Served:
		s.recordEnd(m, journal.OutcomeDelivered, 0)
		s.metrics.MessageSucceeded(m.Class)
	case end.Final:
		s.recordEnd(m, journal.OutcomeAnswered, 0)
	case end.Outcome == dispatch.NotStarted:
		s.metrics.CountReason(metrics.ReasonRetried, end.Outcome.String())
		m.removeUnstartedAttempt(m.priorAttempts + end.attempt)
	default:
		s.metrics.CountReason(metrics.ReasonRetried, end.Outcome.String())
		neverRan := end.Outcome == dispatch.Rejected || end.Outcome == dispatch.ConnectFailed ||
			end.Outcome == dispatch.NotSent
		index := m.priorAttempts + end.attempt
		s.journal.AppendAttemptEnded(m.Message, index, neverRan)
	}
}

// recordEnd appends a message's end to the journal. The caller sends the response to clients that still wait for it.
func (s *Sender) recordEnd(m *message, outcome journal.Outcome, retryAfter time.Duration) {
	s.trace("message ended", m.ID, "outcome", outcome)
	s.journal.AppendMessageEnded(m.Message, outcome, retryAfter)
	s.messages.markEnded(m)
}
