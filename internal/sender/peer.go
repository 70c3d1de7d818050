package sender

import (
	"context"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/handover"
)

// handlePredecessorPacket handles a packet from the predecessor while this process is the owner.
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

// reportedEnd translates the end of an attempt that another process had in flight. It reports false if the message is
// not known.
func (s *Sender) reportedEnd(report handover.AttemptReport) (attemptEnd, bool) {
	m := s.messages.byID[report.Attempt.Message]
	if m == nil {
		return attemptEnd{}, false
	}
	return attemptEnd{message: m, attempt: report.Attempt.Attempt - m.priorAttempts, AttemptResult: report.Result}, true
}

// handlePredecessorLoss returns the ends of the attempts that the process at a link had in flight. These attempts may
// have run, so they end as if their connections had broken.
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
	s.handlePredecessorExit(link)
	return ends
}

// handleAfterHandOver handles an event after the hand-over, when this process makes no more decisions.
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
		s.notices.delivering = false // the successor delivers them again, which does no harm
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
	default:
		s.handleUpgradeAfterHandOver(ctx, e)
	}
}

// handleUpgradeAfterHandOver is handleAfterHandOver for the events of an upgrade.
func (s *Sender) handleUpgradeAfterHandOver(ctx context.Context, e event) {
	switch e := e.(type) {
	case successorEvent:
		e.link.Close() // the other process has to ask the current lock owner
	case shareReachedEvent:
		e.link.Close()
	case lockHeldEvent:
		s.handleLockHeld()
	case lockAcquiredEvent:
		s.reclaimOwnership(ctx, e.lock)
	case packetEvent:
		s.handlePacketAfterHandOver(ctx, e)
	case linkLostEvent:
		s.handleLinkLossAfterHandOver(ctx, e.link)
	}
}

// handleLinkLossAfterHandOver handles the loss of the successor, or of the predecessor whose calls the successor has to
// learn the ends of.
func (s *Sender) handleLinkLossAfterHandOver(ctx context.Context, link *handover.Link) {
	if link == s.upgrade.successor {
		s.handleSuccessorLoss(ctx)
		return
	}
	s.reportAttemptEnds(s.handlePredecessorLoss(link))
}

// handlePacketAfterHandOver passes requests and results from the predecessor on to the successor, and handles the
// successor's own packets.
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

// handleSuccessorLoss tries to take the lock again, in every phase of a shutdown: as long as this process has calls in
// flight, no other process may own the state directory without knowing of them. During the drain it also answers the
// forwarded requests, which no longer wait for that, and leaves the lock to another process that holds it.
func (s *Sender) handleSuccessorLoss(ctx context.Context) {
	s.upgrade.successor = nil
	s.log.Warn("link to the successor lost", "calls", s.callsInFlight)
	if s.dispatchStopped {
		s.abandonForwarded()
	}
	go s.upgrade.awaitLock(ctx, !s.dispatchStopped)
}

// handleLockHeld cancels the calls in flight after the loss of the successor, because another process holds the lock.
// It has no link to this one, so to that process these calls are over, and it may send their messages again.
func (s *Sender) handleLockHeld() {
	s.log.Warn("another process holds the state directory", "cancelled", s.callsInFlight)
	s.cancelCalls()
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

// reportAttemptEnds reports to the successor how attempts ended, and keeps the results: if the successor dies before it
// has written them to the journal, no other process can report them again.
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

// reportRetryAfter reports to the successor for how long an endpoint has asked not to be called.
func (s *Sender) reportRetryAfter(e retryAfterEvent) {
	if endpoint := s.endpoint(e.endpoint); endpoint != nil && s.upgrade.successor != nil {
		s.upgrade.successor.Send(handover.RetryAfterReport{
			Endpoint:   endpoint.ID,
			RetryAfter: max(0, time.Until(e.until)),
		})
	}
}
