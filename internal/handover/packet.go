package handover

import (
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/endpointlist"
	"onyxdyke.example/onyxdyke/internal/journal"
)

// Packet is one message between the two processes of an upgrade: Hello, *Snapshot, ForwardedRequest, ForwardedResponse,
// AttemptReport, RetryAfterReport or CancelAttempt. A packet that this release does not know is read as nil.
type Packet interface {
	// freeze translates the packet to what is written.
	freeze() frozenPacket
}

// Hello is the successor's request for the snapshot.
type Hello struct{ Version int }

// Snapshot is what the lock owner hands over beside the journal.
type Snapshot struct {
	ListVersion  int64
	Endpoints    []endpointlist.Endpoint // by the dispatcher's number; deleted ones keep their place as DELETED
	InFlight     []InFlightAttempt
	BackoffUntil map[string]time.Duration // by message ID: when its next attempt may start after a failed one
	Dispatcher   dispatch.Snapshot
}

// AttemptID names an attempt: both processes know a message by its ID, and its attempts by their index in the journal.
type AttemptID struct {
	Message string
	Attempt int
}

// InFlightAttempt is an attempt that the predecessor has in flight.
type InFlightAttempt struct {
	ID       AttemptID
	Call     uint64 // the attempts of one call share it
	Endpoint dispatch.EndpointID
	SentAt   time.Duration
	Timeout  time.Duration
}

// AttemptReport is the predecessor's report of how an attempt ended.
type AttemptReport struct {
	Attempt AttemptID
	Result  dispatch.AttemptResult
}

// RetryAfterReport is the predecessor's report that an endpoint asked for a pause in a response whose call has not
// ended yet.
type RetryAfterReport struct {
	Endpoint   string // its ID on the endpoint list
	RetryAfter time.Duration
}

// ForwardedRequest is a client's request that came on one of the predecessor's connections.
type ForwardedRequest struct {
	Sequence uint64
	Record   journal.Record
}

// ForwardedResponse is the successor's response to a ForwardedRequest.
type ForwardedResponse struct {
	Sequence   uint64
	Status     int
	RetryAfter time.Duration
	Text       string
}

// CancelAttempt is the successor's instruction to cancel an attempt's call.
type CancelAttempt struct{ Attempt AttemptID }
