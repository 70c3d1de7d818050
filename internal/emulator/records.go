package emulator

import (
	"net/http"
	"time"
)

// Class is a message's class by what a repeat of it does.
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
	Key              string // of the message: it stays when the message is submitted again
	Class            Class
	Destination      int
	Sender           int
	SentAt           time.Duration // its last byte was written
	FreshConnection  bool          // nothing had been answered on its connection before
	DeliveryTimeout  time.Duration // from SentAt
	Status           int           // of the answer, 0 for none
	ConnectionClosed bool          // a fresh connection ended without an answer while the client still waited
	ClosedAt         time.Duration
	CloseError       string
	ClientTimedOut   bool // the client stopped waiting
}

// isAccepted reports whether the sender took responsibility for the message.
func (s *Submission) isAccepted() bool {
	return s.Status == http.StatusOK || s.Status == http.StatusAccepted
}

// isRejected reports whether the sender refused the message.
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
	Call         uint64        // at this endpoint; the attempts of a batch share it
	At           time.Duration // its last byte arrived
	ConnectDelay time.Duration // its link delayed its first byte so long, as if the connection had been set up late
	EndedAt      time.Duration // it was answered, or its connection ended; 0 while it is in flight
	Status       int           // of the answer, 0 for none
	MayHaveRun   bool          // the endpoint did the work, or may have done it
	RetryAfter   time.Duration // received with the answer
}

// sentAt is when the sender began to write the call.
func (a *Attempt) sentAt() time.Duration { return a.At - a.ConnectDelay }

// isDelivered reports whether the endpoint confirmed the message.
func (a *Attempt) isDelivered() bool { return a.Status == http.StatusOK }

// mayTakeEffect reports whether the endpoint did the work of a call, or may have done it, or may yet do it.
func (a *Attempt) mayTakeEffect() bool { return a.MayHaveRun || a.EndedAt == 0 }

// Notice is the final outcome of a message, as the platform received it.
type Notice struct {
	ID      string
	Outcome string
	Sender  int
	At      time.Duration
}

// IncarnationPhase is a phase of one incarnation of a sender, that is of one of its processes.
type IncarnationPhase string

// The phases of a process.
const (
	Started    IncarnationPhase = "started"
	Ready      IncarnationPhase = "ready"
	Terminated IncarnationPhase = "terminated" // SIGTERM was sent
	Killed     IncarnationPhase = "killed"     // SIGKILL was sent
	Exited     IncarnationPhase = "exited"
)

// IncarnationEvent is when a sender's process reached a phase.
type IncarnationEvent struct {
	Sender int
	Phase  IncarnationPhase
	At     time.Duration
	Detail string // of an unexpected exit
}

// ListChange is from when on a sender has to know that an endpoint takes no new calls.
type ListChange struct {
	Sender      int
	Endpoint    string
	EffectiveAt time.Duration
}

// BadPeer is a peer that sent something that is no request.
type BadPeer struct {
	Sender     int
	Kind       string
	OpenedAt   time.Duration
	ReleasedAt time.Duration // it got an error or its connection was closed; 0 for neither
}

// Refusal is a connection that a sender did not accept.
type Refusal struct {
	Sender int
	At     time.Duration
}

// Silence is a span in which a sender's agent answers nothing; Until is 0 while it lasts.
type Silence struct {
	Sender      int
	From, Until time.Duration
}
