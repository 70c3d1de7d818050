package sender

// What becomes of each message that the sender holds: how it is taken on, how its attempts are booked, and how its end is
// told to its client or the platform.

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"onyxdyke.example/onyxdyke/internal/discovery"
	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/journal"
	"onyxdyke.example/onyxdyke/internal/metrics"
)

// message is one that the dispatcher holds.
type message struct {
	*journal.Message
	number dispatch.MessageID
	base   int                   // attempts made by earlier processes
	sends  int                   // and by this one
	answer []chan clientResponse // its client still waits, on more than one connection if it came twice; nil once answered
	calls  map[int]*outCall      // out, by the dispatcher's number of the attempt
	ended  bool
}

// hold gives a message its number.
func (s *Sender) addMessage(st *journal.Message, answer ...chan clientResponse) dispatch.MessageID {
	s.lastMessageID++
	m := &message{Message: st, number: s.lastMessageID, base: len(st.Attempts), answer: answer, calls: map[int]*outCall{}}
	s.messages[m.number], s.byID[st.ID] = m, m
	s.pending++
	return m.number
}

// submitted writes a message down before the dispatcher hears of it. What cannot be held is refused here; it
// has not been sent, so its client may come again.
func (s *Sender) acceptSubmission(sub submission) dispatch.Event {
	refuse := func(why string) dispatch.Event {
		s.metrics.CountReason(metrics.ReasonRejected, strings.ReplaceAll(why, " ", "_"))
		s.trace("refused", sub.ID, "why", why)
		s.metrics.MessageDeclined(sub.Class)
		sub.answer <- clientResponse{http.StatusServiceUnavailable, s.config.Settings.MaxRetryAfter, why}
		return nil
	}
	if s.journal.Knows(sub.ID) { // handed in twice: it is ours already, and refused it would be delivered all the same
		if m := s.byID[sub.ID]; m != nil && m.answer != nil {
			m.answer = append(m.answer, sub.answer) // whether the first is taken on is being decided
		} else {
			sub.answer <- clientResponse{status: http.StatusAccepted}
		}
		return nil
	}
	if s.dispatchStopped {
		return refuse("shutting down")
	}
	// The settings may have changed since it was read, and a request from another process names its class only.
	if sub.class = place(s.config.Classes, sub.Class, -1); sub.class < 0 {
		sub.answer <- clientResponse{http.StatusBadRequest, 0, "X-Class is not among the settings"}
		return nil
	}
	sub.tenant = place(s.config.Tenants, sub.Tenant, -1)
	if most := s.config.Settings.MaxPendingMessages; most > 0 && s.pending >= most {
		return refuse("all room for messages is taken")
	}
	sub.Rules = journal.NewRules(s.config.Settings.Classes[sub.class], s.config.Settings.MaxAttempts)
	st, err := s.journal.Accept(sub.Record)
	if err != nil {
		return refuse("no room to keep the message")
	}
	s.trace("taken on", sub.ID, "class", sub.Class, "destination", sub.Destination, "left", sub.Deadline-s.clock.Now())
	return dispatch.Message{ID: s.addMessage(st, sub.answer), Class: sub.class, Tenant: sub.tenant,
		Destination: dispatch.DestinationID(sub.Destination), Deadline: sub.Deadline, Rules: sub.Rules.ForDispatcher()}
}

func (s *Sender) handleCallEnd(c callEndedEvent) []dispatch.Event {
	var events []dispatch.Event
	if c.callDone {
		s.callsInFlight--
	}
	for _, e := range c.ends {
		if m := s.byID[e.message.ID]; m != nil && m != e.message { // since this process took everything up again
			e.message, e.attempt = m, e.message.base+e.attempt-m.base
		}
		if _, out := e.message.calls[e.attempt]; out { // it may have ended before its call
			events = append(events, s.handleAttemptEnd(e))
		}
	}
	return events
}

func (s *Sender) handleAttemptEnd(e attemptEnd) dispatch.Event {
	m := e.message
	delete(m.calls, e.attempt)
	s.trace("attempt ended", m.ID, "attempt", m.base+e.attempt, "outcome", e.Outcome, "took", e.Elapsed, "wait", e.RetryAfter)
	e.Message, e.Attempt = m.number, e.attempt
	if e.Outcome == dispatch.TimedOut {
		// Where a machine vanished or was cut off, the connections from before say nothing either, and are
		// reset when it is back: each would cost a further call its time-out. Those used since may stay.
		s.pool.closeIdle(s.list.byNumber[e.Endpoint], e.Elapsed)
	}
	if !m.ended {
		switch {
		case e.Outcome == dispatch.Served && m.Deadline-s.clock.Now() < clockSlack:
			// By the client's clock it may have come too late, and then it still needs an end. A notice of one that
			// was delivered in time does no harm.
			s.recordEnd(m, journal.OutcomeGivenUp, 0)
			s.pendingNotices = append(s.pendingNotices, noticeOf(m.Message))
			s.metrics.MessageSucceeded(m.Class)
		case e.Outcome == dispatch.Served:
			s.recordEnd(m, journal.OutcomeDelivered, 0)
			s.metrics.MessageSucceeded(m.Class)
		case e.Final:
			s.recordEnd(m, journal.OutcomeAnswered, 0)
		case e.Outcome == dispatch.NotStarted:
			s.metrics.CountReason(metrics.ReasonRetried, e.Outcome.String())
			m.dropUnstartedAttempt(m.base + e.attempt)
		default:
			s.metrics.CountReason(metrics.ReasonRetried, e.Outcome.String())
			never := e.Outcome == dispatch.Rejected || e.Outcome == dispatch.ConnectFailed || e.Outcome == dispatch.NotSent
			s.journal.AppendAttemptEnded(m.Message, m.base+e.attempt, never)
		}
	}
	s.removeIfDone(m)
	return e.AttemptResult
}

// takeBackTry forgets an attempt that was never begun, as its record could not be written.
func (m *message) dropUnstartedAttempt(place int) {
	if place == len(m.Attempts)-1 {
		m.Attempts = m.Attempts[:place]
		m.base--
	}
}

// end writes down that a message is over. A client that still waits hears it from the caller.
func (s *Sender) recordEnd(m *message, outcome string, retryAfter time.Duration) {
	s.trace("over", m.ID, "how", outcome)
	s.journal.AppendMessageEnded(m.Message, outcome, retryAfter)
	m.ended = true
	s.pending--
}

func (s *Sender) removeIfDone(m *message) {
	if m.ended && len(m.calls) == 0 {
		delete(s.messages, m.number)
		if s.byID[m.ID] == m {
			delete(s.byID, m.ID)
		}
	}
}

// reply answers the client of m, if it still waits.
func (s *Sender) answerClients(m *message, a clientResponse) bool {
	if m == nil || m.answer == nil {
		return false
	}
	for _, answer := range m.answer {
		answer <- a
	}
	m.answer = nil
	return true
}

// closedMessage is a message that the dispatcher has ended, and that is to be told so once its end is written.
type endedMessage struct {
	*message
	how        string                // givenUp or handedBack
	clients    []chan clientResponse // that wait for its answer; without any a notice tells it
	retryAfter time.Duration
}

// close ends a message as the dispatcher has it. It is told by tellClosed.
func (s *Sender) endMessage(closed []endedMessage, id dispatch.MessageID, how string, hold time.Duration) []endedMessage {
	m := s.messages[id]
	if m == nil || m.ended {
		return closed
	}
	if how == journal.OutcomeReturned {
		s.metrics.CountReason(metrics.ReasonRejected, "by_decision")
		s.metrics.MessageDeclined(m.Class)
	} else {
		s.metrics.MessageAborted(m.Class)
	}
	c := endedMessage{message: m, how: how, clients: m.answer, retryAfter: hold}
	m.answer = nil
	if c.clients != nil {
		s.recordEnd(m, journal.OutcomeAnswered, 0)
	} else {
		s.recordEnd(m, how, hold)
	}
	s.removeIfDone(m)
	return append(closed, c)
}

// tellClosed tells a message's end at once: in the answer to its client, or where that has been told that the message is taken
// on, by a notice. That the message had no effect is promised only if its end is written: else the next process,
// which may come at any moment, would send it.
func (s *Sender) announceEnd(c endedMessage, written bool) {
	if c.how == journal.OutcomeReturned && !written {
		s.metrics.CountReason(metrics.ReasonRejected, "not_written")
		c.how, c.retryAfter = journal.OutcomeGivenUp, 0
		if c.clients == nil {
			s.journal.AppendMessageEnded(c.Message, journal.OutcomeGivenUp, 0)
		}
	}
	if c.clients == nil {
		s.pendingNotices = append(s.pendingNotices, noticeOf(c.Message))
		return
	}
	status := http.StatusInternalServerError
	if c.how == journal.OutcomeReturned {
		status = http.StatusServiceUnavailable
		s.invariants.checkPromise(c.ID, written)
	}
	for _, client := range c.clients {
		client <- clientResponse{status, c.retryAfter, c.how}
	}
}

// noticeOf is the notice of a message that has ended.
func noticeOf(m *journal.Message) discovery.Notice {
	n := discovery.Notice{Message: m.ID, Outcome: m.PendingOutcome}
	if m.PendingOutcome == journal.OutcomeReturned && m.PendingRetryAfterMS > 0 {
		n.RetryMS = &m.PendingRetryAfterMS
	}
	return n
}

// tell passes on the notices owed, one batch at a time; what one batch leaves goes with the next.
func (s *Sender) deliverNotices() {
	if !s.deliveringNotices && len(s.pendingNotices) > 0 {
		s.deliveringNotices = true
		s.noticeBatches <- slices.Clone(s.pendingNotices[:min(len(s.pendingNotices), discovery.MaxNoticeBatch)]) // what is owed changes meanwhile
	}
}
