package handover

import (
	"net"
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
type Hello struct {
	Version          int
	TakesConnections bool // the successor takes connections with the snapshot
}

// Snapshot is what the lock owner hands over beside the journal.
type Snapshot struct {
	ListVersion  int64
	Endpoints    []endpointlist.Endpoint // by the dispatcher's number; deleted ones keep their place as DELETED
	InFlight     []InFlightAttempt
	BackoffUntil map[string]time.Duration // by message ID: when its next attempt may start after a failed one
	Dispatcher   dispatch.Snapshot
	// Connections belong to the sender of the snapshot until it is written, and then to its receiver. They are for a
	// successor that takes them.
	Connections []PassedConnection
}

// PassedConnection is a connection to the platform on which nothing has been sent.
type PassedConnection struct {
	Address string // host and port
	Conn    net.Conn
}

// connections returns the connections that go with the snapshot, in the order of their addresses on the wire.
func (s *Snapshot) connections() []net.Conn {
	var conns []net.Conn
	for _, passed := range s.Connections {
		conns = append(conns, passed.Conn)
	}
	return conns
}

// attachConnections adds the connections that came with a snapshot to their addresses. Addresses without one are
// dropped, and all connections are closed if it is not clear which is which.
func (s *Snapshot) attachConnections(received []net.Conn) {
	addresses := s.Connections
	s.Connections = nil
	if len(received) != len(addresses) {
		closeAll(received)
		return
	}
	for i, conn := range received {
		if conn != nil { // else it could not be taken
			s.Connections = append(s.Connections, PassedConnection{Address: addresses[i].Address, Conn: conn})
		}
	}
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
