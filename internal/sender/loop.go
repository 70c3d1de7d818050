package sender

import (
	"context"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/handover"
)

// maxEventBatch bounds the events that are handled in one step.
const maxEventBatch = 256

// processEvents handles an event and those that are queued, and runs one step of the dispatcher. If a successor has
// requested the snapshot and this process is ready for that, it then hands over.
func (s *Sender) processEvents(ctx context.Context, first event) {
	if s.upgrade.handedOver {
		s.handleAfterHandOver(ctx, first)
		s.publishMetrics()
		return
	}
	events, successor := s.handleQueued(ctx, first)
	s.dispatch(ctx, events)
	if successor != nil && s.canHandOver(ctx, successor) {
		s.handOver(successor)
	}
}

// handleQueued handles an event and those queued behind it, up to the hand-over to a successor, whose link it
// returns. It checks the bound before it receives the next event, because an event that has left the queue must be
// handled here.
func (s *Sender) handleQueued(ctx context.Context, first event) (events []dispatch.Event, successor *handover.Link) {
	e := first
	for handled := 1; ; handled++ {
		if request, ok := e.(shareReachedEvent); ok {
			return events, request.link
		}
		events = append(events, s.handleEvent(ctx, e)...)
		if handled == maxEventBatch {
			return events, nil
		}
		select {
		case e = <-s.events:
		default:
			return events, nil
		}
	}
}

// handleEvent updates the sender's own state for an event and returns the dispatcher's events for it, none if the
// dispatcher does not need it.
func (s *Sender) handleEvent(ctx context.Context, e event) []dispatch.Event {
	switch e := e.(type) {
	case timerEvent:
		return []dispatch.Event{dispatch.TimerFired{}}
	case submissionEvent:
		if accepted := s.acceptSubmission(e.Submission); accepted != nil {
			return []dispatch.Event{accepted}
		}
	case callEndedEvent:
		return s.handleCallEnd(e)
	case retryAfterEvent:
		pause := max(0, time.Until(e.until))
		return []dispatch.Event{dispatch.RetryAfterReceived{Endpoint: e.endpoint, RetryAfter: pause}}
	case reloadEvent:
		return s.applyConfig(e.Config)
	case endpointListEvent:
		return s.handleEndpointList(e)
	case endpointListStaleEvent:
		return s.setEndpointListStale(e.stale)
	case discoveryFailedEvent:
		return s.handleDiscoveryFailure(e.err)
	case noticesDeliveredEvent:
		s.handleNoticesDelivered(e.notices)
	default:
		return s.handleUpgradeEvent(ctx, e)
	}
	return nil
}

// handleUpgradeEvent is handleEvent for the events of an upgrade.
func (s *Sender) handleUpgradeEvent(ctx context.Context, e event) []dispatch.Event {
	switch e := e.(type) {
	case successorEvent:
		s.setShare(overlapShare(e.link.KeepsShare()))
		go s.prepareHandOver(ctx, e.link)
	case packetEvent:
		return s.handlePredecessorPacket(ctx, e)
	case linkLostEvent:
		return s.handleCallEnd(callEndedEvent{ends: s.handlePredecessorLoss(e.link)})
	case lockAcquiredEvent: // this process holds the lock already
		if e.lock != nil {
			_ = e.lock.Close() // closing a directory cannot lose data
		}
	}
	return nil
}
