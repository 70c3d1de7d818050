package sender

import (
	"context"
	"net/http"
	"time"

	"dockshift.example/dockshift/brain"
)

// What passes between the processes after a hand-over: requests and their answers, waits, and the ends of calls.

// relay handles an event after the hand-over: nothing is decided here any more.
func (s *Sender) relay(ctx context.Context, e any) {
	switch e := e.(type) {
	case submission:
		s.passOn(e)
	case callEnd:
		if e.over {
			s.out--
		}
		for _, end := range e.ends {
			s.relayEnd(end)
		}
	case toldEvent:
		s.telling = false // the successor tells them once more, which does no harm
	case waitEvent:
		if at := s.endpoint(e.endpoint); at != nil && s.successor != nil {
			s.successor.send(packet{Wait: &relayedWait{at.id, max(0, time.Until(e.until))}})
		}
	case reloadEvent:
		s.applyConfig(e.Config)
	case listEvent:
		s.news(e.Targets, e.Full)
	case failedEvent:
		if !s.c.Settings.AsksForList {
			s.ask()
		}
	case helloEvent:
		e.link.close() // who owns the journal now is to be asked
	case lockEvent:
		s.regain(ctx, e.lock)
	case linkEvent:
		switch {
		case e.link != s.successor && e.lost:
			s.predecessorGone(e.link)
		case e.link != s.successor && e.Submit != nil:
			s.passOn(s.relayedSubmission(ctx, e.link, e.Submit))
		case e.link != s.successor && e.Ended != nil:
			if m := s.byID[e.Ended.Flight.ID]; m != nil {
				s.relayEnd(itemEnd{m, e.Ended.Flight.Try - m.base, e.Ended.End})
			}
		case e.lost:
			s.successor = nil
			s.log.Warn("the successor is gone")
			if !s.quitting {
				go s.relock(ctx)
			} else {
				s.abandonPassedOn()
			}
		case e.Answer != nil:
			if sub, ok := s.passed[e.Answer.Seq]; ok {
				delete(s.passed, e.Answer.Seq)
				sub.answer <- answerLine{e.Answer.Status, e.Answer.Retry, e.Answer.Text}
			}
		case e.Cancel != nil:
			if m := s.byID[e.Cancel.ID]; m != nil {
				if c := m.calls[e.Cancel.Try-m.base]; c != nil {
					c.cancel()
				}
			}
		}
	}
}

// passOn hands a request to the successor. Without one it waits: if this process takes the lock again, it is ours. Where it
// does not any more, nobody can have taken the request on.
func (s *Sender) passOn(sub submission) {
	if s.successor == nil && s.quitting {
		s.refuseLeaving(sub)
		return
	}
	s.seq++
	to := s.successor
	if to != nil && to.isGone() { // its death is about to be told
		to = nil
	}
	s.passed[s.seq] = passedOn{sub, to != nil}
	if to != nil {
		to.send(packet{Submit: &relayed{s.seq, sub.record}})
	}
}

// abandonPassedOn answers what was kept for a successor that is gone, where this process does not go on either. The
// dead one may have taken on what was sent to it, so nothing is promised of that.
func (s *Sender) abandonPassedOn() {
	for seq, p := range s.passed {
		delete(s.passed, seq)
		if p.sent {
			s.figures.aborted(p.Class)
			p.answer <- answerLine{http.StatusInternalServerError, 0, givenUp}
			continue
		}
		s.refuseLeaving(p.submission)
	}
}

// refuseLeaving answers a request that nobody has taken on, as the process ends.
func (s *Sender) refuseLeaving(sub submission) {
	s.figures.declined(sub.Class)
	sub.answer <- answerLine{http.StatusServiceUnavailable, s.c.Settings.MaxHoldOff, "shutting down"}
}

// passedOn is a request that waits for the successor's answer.
type passedOn struct {
	submission
	sent bool // to it
}

// relayedSubmission is a request that came to the process before this one. Its answer goes back there.
func (s *Sender) relayedSubmission(ctx context.Context, from *link, r *relayed) submission {
	sub := submission{record: r.Record, answer: make(chan answerLine, 1)}
	go func() {
		select {
		case a := <-sub.answer:
			from.send(packet{Answer: &relayAnswer{r.Seq, a.status, a.retry, a.text}})
		case <-from.gone:
		case <-ctx.Done():
		}
	}()
	return sub
}

// predecessorGone ends the attempts that the process before this one had out: they may have run.
func (s *Sender) predecessorGone(from *link) []itemEnd {
	var ends []itemEnd
	for _, m := range s.messages {
		for attempt, c := range m.calls {
			if c.at == from && c.end == nil {
				ends = append(ends, itemEnd{m, attempt, brain.AttemptEnd{Endpoint: c.endpoint, Outcome: brain.Broken,
					Elapsed: max(0, s.clock.now()-m.Tries[m.base+attempt].At)}})
			}
		}
	}
	if s.predecessor == from {
		s.predecessor = nil
	}
	if !s.handed {
		return ends
	}
	for _, e := range ends {
		s.relayEnd(e)
	}
	return nil
}

// relayEnd tells the successor how an attempt ended, and keeps that: should it die before it has written it down, nobody else
// will tell it again.
func (s *Sender) relayEnd(e itemEnd) {
	c := e.message.calls[e.attempt]
	if c == nil || c.end != nil {
		return
	}
	c.end = &e.AttemptEnd
	if s.successor != nil {
		s.successor.send(packet{Ended: &flightEnd{flightID{e.message.ID, e.message.base + e.attempt}, e.AttemptEnd}})
	}
}

// fromPredecessor takes in what the process before this one says.
func (s *Sender) fromPredecessor(ctx context.Context, e linkEvent) []brain.Event {
	switch {
	case e.lost:
		return s.callEnded(callEnd{ends: s.predecessorGone(e.link)})
	case e.Submit != nil:
		sub := s.relayedSubmission(ctx, e.link, e.Submit)
		if ev := s.submitted(sub); ev != nil {
			return []brain.Event{ev}
		}
	case e.Wait != nil:
		if at := s.list.byID[e.Wait.Endpoint]; at != nil {
			return []brain.Event{brain.WaitTold{Endpoint: at.number, Wait: e.Wait.Wait}}
		}
	case e.Ended != nil:
		if m := s.byID[e.Ended.Flight.ID]; m != nil {
			return s.callEnded(callEnd{ends: []itemEnd{{m, e.Ended.Flight.Try - m.base, e.Ended.End}}})
		}
	}
	return nil
}
