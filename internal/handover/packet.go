package handover

import (
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/endpointlist"
	"onyxdyke.example/onyxdyke/internal/journal"
)

// What two processes tell one another in a hand-over, and the connection between them.

// packet is what the processes tell one another; each sets one field.
type Packet struct {
	Hello        *Hello             // newcomer: hand over
	Snapshot     *Snapshot          // holder: here it is (the name is that of the first version, which may be on the other side)
	Submit       *ForwardedRequest  // old one: a request that came on one of my connections
	Answer       *ForwardedResponse // newcomer: its answer
	AttemptEnded *AttemptReport     // old one: how an attempt ended
	RetryAfter   *RetryAfterReport  // old one: a wait told to a call that has not ended
	Cancel       *AttemptID         // newcomer: call it off

}

type Hello struct{ Version int }

// snapshot is what a process hands over beside the journal.
type Snapshot struct {
	ListVersion  int64
	Endpoints    []endpointlist.Endpoint // by the module's number, those that are gone as DELETED
	InFlight     []InFlightAttempt
	BackoffUntil map[string]time.Duration // until when messages rest after a failed attempt
	Dispatcher   dispatch.Snapshot
}

// flightID names an attempt: both processes know a message by its id, and its attempts by their place.
type AttemptID struct {
	Message string
	Attempt int
}

// flight is an attempt that is out.
type InFlightAttempt struct {
	ID       AttemptID
	Call     uint64 // attempts of one call share it
	Endpoint dispatch.EndpointID
	SentAt   time.Duration
	Timeout  time.Duration
}

type AttemptReport struct {
	Attempt AttemptID
	Result  dispatch.AttemptResult
}

// relayedWait is a wait that an endpoint has told, by the endpoint's id and from now on.
type RetryAfterReport struct {
	Endpoint   string
	RetryAfter time.Duration
}

type ForwardedRequest struct {
	Sequence uint64
	Record   journal.Record
}

type ForwardedResponse struct {
	Sequence   uint64
	Status     int
	RetryAfter time.Duration
	Text       string
}
