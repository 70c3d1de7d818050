package emulator

import (
	"net/http"
	"time"
)

// Class is a message's class. It determines whether the message may be sent again.
type Class int

// The classes that the emulator uses.
const (
	Idempotent Class = iota
	IdempotentByKey
	NonIdempotent
)

// classNames are the names of the classes in requests and in the senders' configuration.
var classNames = [...]string{Idempotent: "safe", IdempotentByKey: "keyed", NonIdempotent: "unsafe"}

func (c Class) String() string { return classNames[c] }

// Submission is one request by which a client submits a message. Times count from the run's start.
type Submission struct {
	ID               string
	Key              string // of the message; it stays the same when the message is submitted again
	Class            Class
	Destination      int
	Sender           int
	SentAt           time.Duration // just before its last part was written
	FreshConnection  bool          // no request had been answered on its connection before
	DeliveryTimeout  time.Duration // counted from SentAt
	Status           int           // of the answer; 0 if there was none
	ConnectionClosed bool          // its fresh connection was closed without an answer before the client's timeout
	ClosedAt         time.Duration
	CloseError       string
	ClientTimedOut   bool // the client stopped waiting for an answer
}

// isAccepted reports whether the sender accepted responsibility for the message.
func (s *Submission) isAccepted() bool {
	return s.Status == http.StatusOK || s.Status == http.StatusAccepted
}

// isRejected reports whether the sender rejected the message.
func (s *Submission) isRejected() bool {
	return s.Status == http.StatusTooManyRequests || s.Status == http.StatusServiceUnavailable
}

// Attempt is one message of one call, as an endpoint received it.
type Attempt struct {
	ID           string
	Endpoint     string
	Destination  int
	Sender       int
	Body         string
	Call         uint64        // number of the call at this endpoint; the attempts of a batch have the same
	At           time.Duration // when the last byte of the call arrived
	ConnectDelay time.Duration // how long the link delayed its first byte, as if the connection had been set up late
	EndedAt      time.Duration // when it was answered or its connection was closed; 0 while it is in flight
	Status       int           // of the answer; 0 if there was none
	MayHaveRun   bool          // the endpoint did the work, or may have done it
	RetryAfter   time.Duration // wait that the answer asked for
}

// sentAt returns when the sender began to write the call.
func (a *Attempt) sentAt() time.Duration { return a.At - a.ConnectDelay }

// isDelivered reports whether the endpoint confirmed the message.
func (a *Attempt) isDelivered() bool { return a.Status == http.StatusOK }

// mayTakeEffect reports whether the endpoint did the work of the call, may have done it, or may still do it.
func (a *Attempt) mayTakeEffect() bool { return a.MayHaveRun || a.EndedAt == 0 }

// Notice is the final outcome of a message, as a sender's agent received it.
type Notice struct {
	ID      string
	Outcome string
	Sender  int
	At      time.Duration
}

// IncarnationPhase is a phase in the life cycle of one incarnation of a sender, that is of one of its processes.
type IncarnationPhase string

// The phases of a process.
const (
	Started    IncarnationPhase = "started"
	Ready      IncarnationPhase = "ready"
	Terminated IncarnationPhase = "terminated" // SIGTERM was sent
	Killed     IncarnationPhase = "killed"     // SIGKILL was sent
	Exited     IncarnationPhase = "exited"
)

// IncarnationEvent records that a sender's process reached a phase at a time.
type IncarnationEvent struct {
	Sender int
	Phase  IncarnationPhase
	At     time.Duration
	Detail string // describes an unexpected exit; empty otherwise
}

// ListChange records from when on a sender has to know that an endpoint accepts no new calls.
type ListChange struct {
	Sender      int
	Endpoint    string
	EffectiveAt time.Duration
}

// BadPeer is a peer that connected to a sender and sent something other than a complete request.
type BadPeer struct {
	Sender     int
	Kind       string
	OpenedAt   time.Duration
	ReleasedAt time.Duration // when it got an answer or its connection was closed; 0 if neither happened
}

// Refusal is a connection that a sender did not accept.
type Refusal struct {
	Sender int
	At     time.Duration
}

// Silence is a span in which a sender's agent is silent. Until is 0 while the span lasts.
type Silence struct {
	Sender      int
	From, Until time.Duration
}
