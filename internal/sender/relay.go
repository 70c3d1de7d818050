package sender

import (
	"context"
	"net/http"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/handover"
	"onyxdyke.example/onyxdyke/internal/journal"
)

// What passes between the processes after a hand-over: requests and their answers, waits, and the ends of calls.

// relay handles an event after the hand-over: nothing is decided here any more.
func (s *Sender) handleAfterHandOver(ctx context.Context, e any) {
	switch e := e.(type) {
	case submission:
		s.forwardRequest(e)
	case callEndedEvent:
		if e.callDone {
			s.callsInFlight--
		}
		for _, end := range e.ends {
			s.reportAttemptEnd(end)
		}
	case noticesDeliveredEvent:
		s.deliveringNotices = false // the successor tells them once more, which does no harm
	case retryAfterEvent:
		if at := s.endpoint(e.endpoint); at != nil && s.successor != nil {
			s.successor.Send(handover.Packet{RetryAfter: &handover.RetryAfterReport{Endpoint: at.ID,
				RetryAfter: max(0, time.Until(e.until))}})
		}
	case reloadEvent:
		s.applyConfig(e.Config)
	case endpointListEvent:
		s.applyEndpointList(e.Update, e.Full)
	case discoveryFailedEvent:
		if !s.config.Settings.PollsEndpointList {
			s.requestEndpointList()
		}
	case successorEvent:
		e.Link.Close() // who owns the journal now is to be asked
	case lockAcquiredEvent:
		s.reclaimOwnership(ctx, e.lock)
	case linkEvent:
		switch {
		case e.link != s.successor && e.lost:
			s.predecessorLost(e.link)
		case e.link != s.successor && e.Submit != nil:
			s.forwardRequest(s.receivedRequest(ctx, e.link, e.Submit))
		case e.link != s.successor && e.AttemptEnded != nil:
			if m := s.byID[e.AttemptEnded.Attempt.Message]; m != nil {
				s.reportAttemptEnd(attemptEnd{m, e.AttemptEnded.Attempt.Attempt - m.base, e.AttemptEnded.Result})
			}
		case e.lost:
			s.successor = nil
			s.log.Warn("the successor is gone")
			if !s.dispatchStopped {
				go s.waitForLock(ctx)
			} else {
				s.abandonForwarded()
			}
		case e.Answer != nil:
			if sub, ok := s.forwarded[e.Answer.Sequence]; ok {
				delete(s.forwarded, e.Answer.Sequence)
				sub.answer <- clientResponse{e.Answer.Status, e.Answer.RetryAfter, e.Answer.Text}
			}
		case e.Cancel != nil:
			if m := s.byID[e.Cancel.Message]; m != nil {
				if c := m.calls[e.Cancel.Attempt-m.base]; c != nil {
					c.cancel()
				}
			}
		}
	}
}

// passOn hands a request to the successor. Without one it waits: if this process takes the lock again, it is ours. Where it
// does not any more, nobody can have taken the request on.
func (s *Sender) forwardRequest(sub submission) {
	if s.successor == nil && s.dispatchStopped {
		s.rejectShuttingDown(sub)
		return
	}
	s.lastForwarded++
	to := s.successor
	if to != nil && to.IsGone() { // its death is about to be told
		to = nil
	}
	s.forwarded[s.lastForwarded] = forwardedRequest{sub, to != nil}
	if to != nil {
		to.Send(handover.Packet{Submit: &handover.ForwardedRequest{Sequence: s.lastForwarded, Record: sub.Record}})
	}
}

// abandonPassedOn answers what was kept for a successor that is gone, where this process does not go on either. The
// dead one may have taken on what was sent to it, so nothing is promised of that.
func (s *Sender) abandonForwarded() {
	for seq, p := range s.forwarded {
		delete(s.forwarded, seq)
		if p.delivered {
			s.metrics.MessageAborted(p.Class)
			p.answer <- clientResponse{http.StatusInternalServerError, 0, journal.OutcomeGivenUp}
			continue
		}
		s.rejectShuttingDown(p.submission)
	}
}

// refuseLeaving answers a request that nobody has taken on, as the process ends.
func (s *Sender) rejectShuttingDown(sub submission) {
	s.metrics.MessageDeclined(sub.Class)
	sub.answer <- clientResponse{http.StatusServiceUnavailable, s.config.Settings.MaxRetryAfter, "shutting down"}
}

// passedOn is a request that waits for the successor's answer.
type forwardedRequest struct {
	submission
	delivered bool // to it
}

// relayedSubmission is a request that came to the process before this one. Its answer goes back there.
func (s *Sender) receivedRequest(ctx context.Context, from *handover.Link, r *handover.ForwardedRequest) submission {
	sub := submission{Record: r.Record, answer: make(chan clientResponse, 1)}
	go func() {
		select {
		case a := <-sub.answer:
			from.Send(handover.Packet{Answer: &handover.ForwardedResponse{Sequence: r.Sequence, Status: a.status,
				RetryAfter: a.retryAfter, Text: a.text}})
		case <-from.Gone():
		case <-ctx.Done():
		}
	}()
	return sub
}

// predecessorGone ends the attempts that the process before this one had out: they may have run.
func (s *Sender) predecessorLost(from *handover.Link) []attemptEnd {
	var ends []attemptEnd
	for _, m := range s.messages {
		for attempt, c := range m.calls {
			if c.at == from && c.end == nil {
				ends = append(ends, attemptEnd{m, attempt, dispatch.AttemptResult{Endpoint: c.endpoint, Outcome: dispatch.ConnectionBroken,
					Elapsed: max(0, s.clock.Now()-m.Attempts[m.base+attempt].SentAt)}})
			}
		}
	}
	if s.predecessor == from {
		s.predecessor = nil
	}
	if !s.handedOver {
		return ends
	}
	for _, e := range ends {
		s.reportAttemptEnd(e)
	}
	return nil
}

// relayEnd tells the successor how an attempt ended, and keeps that: should it die before it has written it down, nobody else
// will tell it again.
func (s *Sender) reportAttemptEnd(e attemptEnd) {
	c := e.message.calls[e.attempt]
	if c == nil || c.end != nil {
		return
	}
	c.end = &e.AttemptResult
	if s.successor != nil {
		s.successor.Send(handover.Packet{AttemptEnded: &handover.AttemptReport{
			Attempt: handover.AttemptID{Message: e.message.ID, Attempt: e.message.base + e.attempt}, Result: e.AttemptResult}})
	}
}

// fromPredecessor takes in what the process before this one says.
func (s *Sender) handlePredecessor(ctx context.Context, e linkEvent) []dispatch.Event {
	switch {
	case e.lost:
		return s.handleCallEnd(callEndedEvent{ends: s.predecessorLost(e.link)})
	case e.Submit != nil:
		sub := s.receivedRequest(ctx, e.link, e.Submit)
		if ev := s.acceptSubmission(sub); ev != nil {
			return []dispatch.Event{ev}
		}
	case e.RetryAfter != nil:
		if at := s.list.byID[e.RetryAfter.Endpoint]; at != nil {
			return []dispatch.Event{dispatch.RetryAfterReceived{Endpoint: at.Number, RetryAfter: e.RetryAfter.RetryAfter}}
		}
	case e.AttemptEnded != nil:
		if m := s.byID[e.AttemptEnded.Attempt.Message]; m != nil {
			return s.handleCallEnd(callEndedEvent{ends: []attemptEnd{{m, e.AttemptEnded.Attempt.Attempt - m.base, e.AttemptEnded.Result}}})
		}
	}
	return nil
}
