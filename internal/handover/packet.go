package handover

import (
	"net"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/endpointlist"
	"onyxdyke.example/onyxdyke/internal/journal"
)

// Packet is one message between the two processes of an upgrade: Hello, *Snapshot, ForwardedRequest, ForwardedResponse,
// AttemptReport, RetryAfterReport or CancelAttempt. A packet of a type that this release does not know is read as nil.
type Packet interface {
	// toWire translates the packet to its wire format.
	toWire() frozenPacket
}

// Hello is the successor's request for the snapshot.
type Hello struct {
	Version             int
	InheritsConnections bool // the successor takes over the open connections that are sent with the snapshot
	KeepsShare          bool // the successor keeps to its share of the limits while both processes run
}

// Snapshot is the state that the lock owner passes to its successor in addition to the journal.
type Snapshot struct {
	ListVersion  int64
	Endpoints    []endpointlist.Endpoint // indexed by the dispatcher's number; deleted ones stay in the state DELETED
	InFlight     []InFlightAttempt
	BackoffUntil map[string]time.Duration // by message ID: when the next attempt may start after a failed one
	Dispatcher   dispatch.Snapshot
	// Connections belong to the process that sends the snapshot until the snapshot is written, and then to the process
	// that receives it. They are set only for a successor that accepts them.
	Connections []PassedConnection
	// KeepsShare states that the lock owner keeps to its share of the limits while both processes run.
	KeepsShare bool
}

// PassedConnection is a connection to the platform on which nothing has been sent.
type PassedConnection struct {
	Address string // host and port
	Conn    net.Conn
}

// connections returns the connections that are passed with the snapshot, in the order of their addresses on the wire.
func (s *Snapshot) connections() []net.Conn {
	var conns []net.Conn
	for _, passed := range s.Connections {
		conns = append(conns, passed.Conn)
	}
	return conns
}

// attachConnections assigns the connections that were received with the snapshot to their addresses, in order. It drops
// an address whose connection is nil. If the numbers of connections and addresses differ, the connections cannot be
// assigned, and it closes them all.
func (s *Snapshot) attachConnections(received []net.Conn) {
	addresses := s.Connections
	s.Connections = nil
	if len(received) != len(addresses) {
		closeAll(received)
		return
	}
	for i, conn := range received {
		if conn != nil { // nil if its descriptor could not be converted
			s.Connections = append(s.Connections, PassedConnection{Address: addresses[i].Address, Conn: conn})
		}
	}
}

// AttemptID identifies an attempt in both processes: by the message's ID and the attempt's index in the journal.
type AttemptID struct {
	Message string
	Attempt int
}

// InFlightAttempt is an attempt that the predecessor has in flight.
type InFlightAttempt struct {
	ID       AttemptID
	Call     uint64 // the number of the call; all attempts of a batch have the same one
	Endpoint dispatch.EndpointID
	SentAt   time.Duration
	Timeout  time.Duration
}

// AttemptReport is the predecessor's report of the result of an attempt.
type AttemptReport struct {
	Attempt AttemptID
	Result  dispatch.AttemptResult
}

// RetryAfterReport is the predecessor's report that an endpoint requested a pause (Retry-After) in a response whose
// call has not ended yet.
type RetryAfterReport struct {
	Endpoint   string // its ID on the endpoint list
	RetryAfter time.Duration
}

// ForwardedRequest is a client's request that the predecessor received on one of its connections.
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

// CancelAttempt is the successor's request to cancel the call of an attempt.
type CancelAttempt struct{ Attempt AttemptID }
