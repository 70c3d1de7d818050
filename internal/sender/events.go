package sender

import (
	"context"
	"os"
	"time"

	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/discovery"
	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/endpointlist"
	"onyxdyke.example/onyxdyke/internal/handover"
	"onyxdyke.example/onyxdyke/internal/ingress"
)

// event is what other goroutines, or the loop's own timers, tell the event loop.
type event interface{ isEvent() }

type (
	// timerEvent: the dispatcher's timer has fired.
	timerEvent struct{}

	// journalRetriedEvent: a journal that could not be written has been tried again. The step tells the dispatcher
	// how that went.
	journalRetriedEvent struct{}

	// submissionEvent: a client has sent a message.
	submissionEvent struct{ ingress.Submission }

	// retryAfterEvent: an endpoint has asked for a pause in a response whose rest is still to come.
	retryAfterEvent struct {
		endpoint dispatch.EndpointID
		until    time.Time
	}

	// endpointListEvent: discovery has answered with a list, or with changes to it.
	endpointListEvent struct{ endpointlist.Update }

	// endpointListStaleEvent: the list has become stale, or fresh again.
	endpointListStaleEvent struct{ stale bool }

	// discoveryFailedEvent: discovery could not be asked, or its answer is not a list.
	discoveryFailedEvent struct{ err error }

	// noticesDeliveredEvent: discovery has accepted these notices.
	noticesDeliveredEvent struct{ notices []discovery.Notice }

	// reloadEvent: a new configuration applies.
	reloadEvent struct{ *config.Config }

	// successorEvent: a successor asks for the snapshot.
	successorEvent struct{ link *handover.Link }

	// packetEvent: the other process of an upgrade has sent a packet.
	packetEvent struct {
		link   *handover.Link
		packet handover.Packet
	}

	// linkLostEvent: the other process of an upgrade is dead, or its connection is.
	linkLostEvent struct{ link *handover.Link }

	// lockAcquiredEvent: this process holds the lock again that it had handed over. The lock is nil if the state
	// directory cannot be locked any more.
	lockAcquiredEvent struct{ lock *os.File }
)

func (timerEvent) isEvent()             {}
func (journalRetriedEvent) isEvent()    {}
func (submissionEvent) isEvent()        {}
func (callEndedEvent) isEvent()         {}
func (retryAfterEvent) isEvent()        {}
func (endpointListEvent) isEvent()      {}
func (endpointListStaleEvent) isEvent() {}
func (discoveryFailedEvent) isEvent()   {}
func (noticesDeliveredEvent) isEvent()  {}
func (reloadEvent) isEvent()            {}
func (successorEvent) isEvent()         {}
func (packetEvent) isEvent()            {}
func (linkLostEvent) isEvent()          {}
func (lockAcquiredEvent) isEvent()      {}

// post queues an event for the loop and waits while the queue is full. It returns false if ctx has ended first.
func (s *Sender) post(ctx context.Context, e event) bool {
	select {
	case s.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}
