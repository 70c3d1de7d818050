package sender

// What becomes of each message that the sender holds: how it is taken on, how its attempts are booked, and how its end is
// told to its client or the platform.

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"dockshift.example/dockshift/brain"
)

// message is one that the Brain holds.
type message struct {
	*stored
	number brain.MessageID
	base   int               // attempts made by earlier processes
	sends  int               // and by this one
	answer []chan answerLine // its client still waits, on more than one connection if it came twice; nil once answered
	calls  map[int]*outCall  // out, by the Brain's number of the attempt
	ended  bool
}

// hold gives a message its number.
func (s *Sender) hold(st *stored, answer ...chan answerLine) brain.MessageID {
	s.last++
	m := &message{stored: st, number: s.last, base: len(st.Tries), answer: answer, calls: map[int]*outCall{}}
	s.messages[m.number], s.byID[st.ID] = m, m
	s.held++
	return m.number
}

// submitted writes a message down before the Brain hears of it. What cannot be held is refused here; it
// has not been sent, so its client may come again.
func (s *Sender) submitted(sub submission) brain.Event {
	refuse := func(why string) brain.Event {
		s.figures.reason(reasonRefused, strings.ReplaceAll(why, " ", "_"))
		s.trace("refused", sub.ID, "why", why)
		s.figures.declined(sub.Class)
		sub.answer <- answerLine{http.StatusServiceUnavailable, s.c.Settings.MaxHoldOff, why}
		return nil
	}
	if s.journal.has(sub.ID) { // handed in twice: it is ours already, and refused it would be delivered all the same
		if m := s.byID[sub.ID]; m != nil && m.answer != nil {
			m.answer = append(m.answer, sub.answer) // whether the first is taken on is being decided
		} else {
			sub.answer <- answerLine{status: http.StatusAccepted}
		}
		return nil
	}
	if s.quitting {
		return refuse("shutting down")
	}
	// The settings may have changed since it was read, and a request from another process names its class only.
	if sub.class = place(s.c.Classes, sub.Class, -1); sub.class < 0 {
		sub.answer <- answerLine{http.StatusBadRequest, 0, "X-Class is not among the settings"}
		return nil
	}
	sub.tenant = place(s.c.Tenants, sub.Tenant, -1)
	if most := s.c.Settings.MostHeld; most > 0 && s.held >= most {
		return refuse("all room for messages is taken")
	}
	sub.Rules = rulesOf(s.c.Settings.Classes[sub.class], s.c.Settings.MaxAttempts)
	st, err := s.journal.take(sub.record)
	if err != nil {
		return refuse("no room to keep the message")
	}
	s.trace("taken on", sub.ID, "class", sub.Class, "destination", sub.Dest, "left", sub.Deadline-s.clock.now())
	return brain.Message{ID: s.hold(st, sub.answer), Class: sub.class, Tenant: sub.tenant,
		Destination: brain.DestinationID(sub.Dest), Deadline: sub.Deadline, Rules: sub.Rules.forBrain()}
}

func (s *Sender) callEnded(c callEnd) []brain.Event {
	var events []brain.Event
	if c.over {
		s.out--
	}
	for _, e := range c.ends {
		if m := s.byID[e.message.ID]; m != nil && m != e.message { // since this process took everything up again
			e.message, e.attempt = m, e.message.base+e.attempt-m.base
		}
		if _, out := e.message.calls[e.attempt]; out { // it may have ended before its call
			events = append(events, s.itemEnded(e))
		}
	}
	return events
}

func (s *Sender) itemEnded(e itemEnd) brain.Event {
	m := e.message
	delete(m.calls, e.attempt)
	s.trace("attempt ended", m.ID, "attempt", m.base+e.attempt, "outcome", e.Outcome, "took", e.Elapsed, "wait", e.Wait)
	e.Message, e.Attempt = m.number, e.attempt
	if e.Outcome == brain.TimedOut {
		// Where a machine vanished or was cut off, the connections from before say nothing either, and are
		// reset when it is back: each would cost a further call its time-out. Those used since may stay.
		s.pool.closeIdle(s.list.byNumber[e.Endpoint], e.Elapsed)
	}
	if !m.ended {
		switch {
		case e.Outcome == brain.Served && m.Deadline-s.clock.now() < slack:
			// By the client's clock it may have come too late, and then it still needs an end. A notice of one that
			// was delivered in time does no harm.
			s.end(m, record{How: givenUp})
			s.owed = append(s.owed, m.notice())
			s.figures.succeeded(m.Class)
		case e.Outcome == brain.Served:
			s.end(m, record{How: delivered})
			s.figures.succeeded(m.Class)
		case e.Over:
			s.end(m, record{How: answered})
		case e.Outcome == brain.NotBegun:
			s.figures.reason(reasonRetried, e.Outcome.String())
			m.takeBackTry(m.base + e.attempt)
		default:
			s.figures.reason(reasonRetried, e.Outcome.String())
			never := e.Outcome == brain.Refused || e.Outcome == brain.ConnectFailed || e.Outcome == brain.NotSent
			s.journal.note(m.stored, record{Op: "end", Try: m.base + e.attempt, Never: never})
		}
	}
	s.forget(m)
	return e.AttemptEnd
}

// end writes down that a message is over. A client that still waits hears it from the caller.
func (s *Sender) end(m *message, rec record) {
	rec.Op = "over"
	s.trace("over", m.ID, "how", rec.How)
	s.journal.note(m.stored, rec)
	m.ended = true
	s.held--
}

func (s *Sender) forget(m *message) {
	if m.ended && len(m.calls) == 0 {
		delete(s.messages, m.number)
		if s.byID[m.ID] == m {
			delete(s.byID, m.ID)
		}
	}
}

// reply answers the client of m, if it still waits.
func (s *Sender) reply(m *message, a answerLine) bool {
	if m == nil || m.answer == nil {
		return false
	}
	for _, answer := range m.answer {
		answer <- a
	}
	m.answer = nil
	return true
}

// closedMessage is a message that the Brain has ended, and that is to be told so once its end is written.
type closedMessage struct {
	*message
	how     string            // givenUp or handedBack
	clients []chan answerLine // that wait for its answer; without any a notice tells it
	hold    time.Duration
}

// close ends a message as the Brain has it. It is told by tellClosed.
func (s *Sender) close(closed []closedMessage, id brain.MessageID, how string, hold time.Duration) []closedMessage {
	m := s.messages[id]
	if m == nil || m.ended {
		return closed
	}
	if how == handedBack {
		s.figures.reason(reasonRefused, "by_decision")
		s.figures.declined(m.Class)
	} else {
		s.figures.aborted(m.Class)
	}
	c := closedMessage{message: m, how: how, clients: m.answer, hold: hold}
	m.answer = nil
	if c.clients != nil {
		s.end(m, record{How: answered})
	} else {
		s.end(m, record{How: how, RetryMS: hold.Milliseconds()})
	}
	s.forget(m)
	return append(closed, c)
}

// tellClosed tells a message's end at once: in the answer to its client, or where that has been told that the message is taken
// on, by a notice. That the message had no effect is promised only if its end is written: else the next process,
// which may come at any moment, would send it.
func (s *Sender) tellClosed(c closedMessage, written bool) {
	if c.how == handedBack && !written {
		s.figures.reason(reasonRefused, "not_written")
		c.how, c.hold = givenUp, 0
		if c.clients == nil {
			s.journal.note(c.stored, record{Op: "over", How: givenUp})
		}
	}
	if c.clients == nil {
		s.owed = append(s.owed, c.notice())
		return
	}
	status := http.StatusInternalServerError
	if c.how == handedBack {
		status = http.StatusServiceUnavailable
		s.guard.checkPromise(c.ID, written)
	}
	for _, client := range c.clients {
		client <- answerLine{status, c.hold, c.how}
	}
}

func (m *stored) notice() notice {
	n := notice{Message: m.ID, Outcome: m.how}
	if m.how == handedBack && m.retry > 0 {
		n.RetryMS = &m.retry
	}
	return n
}

// tell passes on the notices owed, one batch at a time; what one batch leaves goes with the next.
func (s *Sender) tell() {
	if !s.telling && len(s.owed) > 0 {
		s.telling = true
		s.notices <- slices.Clone(s.owed[:min(len(s.owed), noticeBatch)]) // what is owed changes meanwhile
	}
}
