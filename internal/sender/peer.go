package sender

import (
	"context"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/handover"
)

// handlePredecessorPacket handles what the predecessor sends while this process is the owner.
func (s *Sender) handlePredecessorPacket(ctx context.Context, e packetEvent) []dispatch.Event {
	switch p := e.packet.(type) {
	case handover.ForwardedRequest:
		return s.handleEvent(ctx, submissionEvent{s.receiveForwarded(ctx, e.link, p)})
	case handover.RetryAfterReport:
		if endpoint := s.list.byID[p.Endpoint]; endpoint != nil {
			return []dispatch.Event{dispatch.RetryAfterReceived{Endpoint: endpoint.Number, RetryAfter: p.RetryAfter}}
		}
	case handover.AttemptReport:
		if end, ok := s.reportedEnd(p); ok {
			return s.handleCallEnd(callEndedEvent{ends: []attemptEnd{end}})
		}
	}
	return nil
}

// reportedEnd translates the end of an attempt that another process had in flight.
func (s *Sender) reportedEnd(report handover.AttemptReport) (attemptEnd, bool) {
	m := s.messages.byID[report.Attempt.Message]
	if m == nil {
		return attemptEnd{}, false
	}
	return attemptEnd{message: m, attempt: report.Attempt.Attempt - m.priorAttempts, AttemptResult: report.Result}, true
}

// handlePredecessorLoss ends the attempts that the process at a link had in flight: they may have run.
func (s *Sender) handlePredecessorLoss(link *handover.Link) []attemptEnd {
	var ends []attemptEnd
	for _, m := range s.messages.byNumber {
		for attempt, c := range m.calls {
			if c.remote != link || c.reportedEnd != nil {
				continue
			}
			sentAt := m.Attempts[m.priorAttempts+attempt].SentAt
			ends = append(ends, attemptEnd{message: m, attempt: attempt, AttemptResult: dispatch.AttemptResult{
				Endpoint: c.endpoint,
				Outcome:  dispatch.ConnectionBroken,
				Elapsed:  max(0, s.clock.Now()-sentAt),
			}})
		}
	}
	if s.upgrade.predecessor == link {
		s.upgrade.predecessor = nil
	}
	return ends
}

// handleAfterHandOver handles an event after the hand-over: this process decides nothing any more.
func (s *Sender) handleAfterHandOver(ctx context.Context, e event) {
	switch e := e.(type) {
	case submissionEvent:
		s.forwardRequest(e.Submission)
	case callEndedEvent:
		if e.callDone {
			s.callsInFlight--
		}
		s.reportAttemptEnds(e.ends)
	case noticesDeliveredEvent:
		s.notices.delivering = false // the successor delivers them once more, which does no harm
	case retryAfterEvent:
		s.reportRetryAfter(e)
	case reloadEvent:
		s.applyConfig(e.Config)
	case endpointListEvent:
		s.applyEndpointList(e.Update, e.Full)
	case discoveryFailedEvent:
		if !s.config.Settings.PollsEndpointList {
			s.requestEndpointList()
		}
	case successorEvent:
		e.link.Close() // it has to ask the present lock owner
	case lockAcquiredEvent:
		s.reclaimOwnership(ctx, e.lock)
	case packetEvent:
		s.handlePacketAfterHandOver(ctx, e)
	case linkLostEvent:
		if e.link == s.upgrade.successor {
			s.handleSuccessorLoss(ctx)
		} else {
			s.reportAttemptEnds(s.handlePredecessorLoss(e.link))
		}
	}
}

// handlePacketAfterHandOver passes what the predecessor sends on to the successor, and does what the successor asks
// for.
func (s *Sender) handlePacketAfterHandOver(ctx context.Context, e packetEvent) {
	fromSuccessor := e.link == s.upgrade.successor
	switch p := e.packet.(type) {
	case handover.ForwardedRequest:
		if !fromSuccessor {
			s.forwardRequest(s.receiveForwarded(ctx, e.link, p))
		}
	case handover.AttemptReport:
		if end, ok := s.reportedEnd(p); ok && !fromSuccessor {
			s.reportAttemptEnds([]attemptEnd{end})
		}
	case handover.ForwardedResponse:
		s.upgrade.respond(p)
	case handover.CancelAttempt:
		s.cancelAttempt(p.Attempt)
	}
}

// handleSuccessorLoss waits for the lock again, unless this process is about to end.
func (s *Sender) handleSuccessorLoss(ctx context.Context) {
	s.upgrade.successor = nil
	s.log.Warn("the successor is gone")
	if !s.dispatchStopped {
		go s.upgrade.awaitLock(ctx)
	} else {
		s.abandonForwarded()
	}
}

// cancelAttempt cancels the call of an attempt, if it is still in flight.
func (s *Sender) cancelAttempt(id handover.AttemptID) {
	m := s.messages.byID[id.Message]
	if m == nil {
		return
	}
	if c := m.calls[id.Attempt-m.priorAttempts]; c != nil {
		c.cancel()
	}
}

// reportAttemptEnds reports to the successor how attempts ended, and keeps that: should it die before that is in its
// journal, nobody else will report it again.
func (s *Sender) reportAttemptEnds(ends []attemptEnd) {
	for _, end := range ends {
		c := end.message.calls[end.attempt]
		if c == nil || c.reportedEnd != nil {
			continue
		}
		c.reportedEnd = &end.AttemptResult
		if s.upgrade.successor == nil {
			continue
		}
		s.upgrade.successor.Send(handover.AttemptReport{
			Attempt: handover.AttemptID{Message: end.message.ID, Attempt: end.message.priorAttempts + end.attempt},
			Result:  end.AttemptResult,
		})
	}
}

// reportRetryAfter reports to the successor for how long an endpoint asks to be left alone.
func (s *Sender) reportRetryAfter(e retryAfterEvent) {
	if endpoint := s.endpoint(e.endpoint); endpoint != nil && s.upgrade.successor != nil {
		s.upgrade.successor.Send(handover.RetryAfterReport{
			Endpoint:   endpoint.ID,
			RetryAfter: max(0, time.Until(e.until)),
		})
	}
}
