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

// event is an input of the event loop, from another goroutine or from one of the loop's own timers.
type event interface{ isEvent() }

type (
	// timerEvent reports that the dispatcher's timer has fired.
	timerEvent struct{}

	// journalRetriedEvent reports that writing the journal was retried after a failure. The step that it starts passes
	// the result to the dispatcher.
	journalRetriedEvent struct{}

	// submissionEvent reports that a client has submitted a message.
	submissionEvent struct{ ingress.Submission }

	// retryAfterEvent reports that an endpoint has asked for a pause, in a response that has not been read to its end
	// yet.
	retryAfterEvent struct {
		endpoint dispatch.EndpointID
		until    time.Time
	}

	// endpointListEvent reports that discovery has sent an endpoint list, or changes to it.
	endpointListEvent struct{ endpointlist.Update }

	// endpointListStaleEvent reports that the list has become stale, or fresh again.
	endpointListStaleEvent struct{ stale bool }

	// discoveryFailedEvent reports that a request to discovery failed, or that its response is not a list.
	discoveryFailedEvent struct{ err error }

	// noticesDeliveredEvent reports that discovery has accepted these notices.
	noticesDeliveredEvent struct{ notices []discovery.Notice }

	// reloadEvent reports that a new configuration applies.
	reloadEvent struct{ *config.Config }

	// successorEvent reports that a successor requests the snapshot.
	successorEvent struct{ link *handover.Link }

	// shareReachedEvent reports that this process is within its share of the limits, so that the successor that has
	// requested the snapshot can get it.
	shareReachedEvent struct{ link *handover.Link }

	// packetEvent reports a packet from the other process of an upgrade.
	packetEvent struct {
		link   *handover.Link
		packet handover.Packet
	}

	// linkLostEvent reports that the link to the other process of an upgrade has failed, or that the process is dead.
	linkLostEvent struct{ link *handover.Link }

	// lockHeldEvent reports that another process holds the lock at the loss of the successor.
	lockHeldEvent struct{}

	// lockAcquiredEvent reports that this process again holds the lock that it had handed over. The lock is nil if the
	// state directory cannot be locked any more.
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
func (shareReachedEvent) isEvent()      {}
func (packetEvent) isEvent()            {}
func (linkLostEvent) isEvent()          {}
func (lockHeldEvent) isEvent()          {}
func (lockAcquiredEvent) isEvent()      {}

// post queues an event for the loop and waits while the queue is full. It returns false if ctx ends first.
func (s *Sender) post(ctx context.Context, e event) bool {
	select {
	case s.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}
