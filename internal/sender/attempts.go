package sender

import (
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/journal"
	"onyxdyke.example/onyxdyke/internal/metrics"
)

// deliveryMargin: a client measures a message's time from when it sent it, the sender from when it arrived, and the
// difference is not known. The protocol allows this much for such differences.
const deliveryMargin = 50 * time.Millisecond

// handleCallEnd records how attempts ended and translates that for the dispatcher.
func (s *Sender) handleCallEnd(c callEndedEvent) []dispatch.Event {
	var events []dispatch.Event
	if c.callDone {
		s.callsInFlight--
	}
	for _, end := range c.ends {
		// After this process became the owner again, the message has a new entry.
		if m := s.messages.byID[end.message.ID]; m != nil && m != end.message {
			end.message, end.attempt = m, end.message.priorAttempts+end.attempt-m.priorAttempts
		}
		if _, inFlight := end.message.calls[end.attempt]; inFlight { // else it ended before its call did
			events = append(events, s.handleAttemptEnd(end))
		}
	}
	return events
}

func (s *Sender) handleAttemptEnd(end attemptEnd) dispatch.Event {
	m := end.message
	delete(m.calls, end.attempt)
	s.trace("attempt ended", m.ID, "attempt", m.priorAttempts+end.attempt, "outcome", end.Outcome, "took", end.Elapsed,
		"retry_after", end.RetryAfter)
	end.Message, end.Attempt = m.number, end.attempt
	if end.Outcome == dispatch.TimedOut {
		// Where a machine vanished or was cut off, the older connections are silent as well, and are reset once it is
		// back: each would cost one more call its time-out. Connections used since then may stay.
		s.pool.CloseIdle(s.list.byNumber[end.Endpoint].Endpoint, end.Elapsed)
	}
	if !m.ended {
		s.recordAttemptEnd(end)
	}
	s.messages.removeIfDone(m)
	return end.AttemptResult
}

// recordAttemptEnd appends an attempt's end to the journal, and the message's end if that follows from it.
func (s *Sender) recordAttemptEnd(end attemptEnd) {
	m := end.message
	switch {
	case end.Outcome == dispatch.Served && m.Deadline-s.clock.Now() < deliveryMargin:
		// By the client's clock it may have been delivered too late, and then the client needs to know its end. A
		// notice of a message that was delivered in time does no harm.
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

// recordEnd appends a message's end to the journal. The caller answers clients that still wait.
func (s *Sender) recordEnd(m *message, outcome journal.Outcome, retryAfter time.Duration) {
	s.trace("ended", m.ID, "outcome", outcome)
	s.journal.AppendMessageEnded(m.Message, outcome, retryAfter)
	s.messages.markEnded(m)
}
