package dispatch

import "time"

// MessageID names a message. It is the caller's; the package only returns it.
type MessageID uint64

// EndpointID names an endpoint. It is the caller's; the package only returns it.
type EndpointID uint32

// DestinationID names the receiver of a message.
type DestinationID uint32

// Event is one of Message, AttemptResult, RetryAfterReceived, OutagesRestored, StorageStatus,
// EndpointListStale, MessageCancelled, EndpointListUpdate, SettingsChanged and TimerFired.
type Event interface{ event() }

// Message submits a message. The dispatcher ends it exactly once; one of a class that the settings lack is
// failed at once.
type Message struct {
	ID          MessageID
	Class       int
	Tenant      int
	Destination DestinationID
	Key         uint64        // ordering key; 0 for none
	Deadline    time.Duration // clock time until which it may be delivered

	// The history of a message that an earlier process had; zero for a new one.
	PriorAttempts int              // attempts already made
	MayHaveRun    bool             // at least one of them may have run
	FirstRunAt    time.Duration    // when the first that may have run was sent
	FirstRunZone  int              // the zone that it was sent to
	Rules         *Rules           // those of its admission; nil for those of the settings
	InFlight      *InFlightAttempt // an attempt in flight, after those; its endpoint must be in the list
	NotBefore     time.Duration    // no attempt until this clock time (backoff after a failed one)
	Resumed       bool             // an earlier process admitted it: it is not rejected to shed load
}

// InFlightAttempt is an attempt that another process of the same sender has in flight. It ends with an
// AttemptResult of number 0.
type InFlightAttempt struct {
	Endpoint EndpointID
	Call     uint64 // attempts that share one call have the same
	SentAt   time.Duration
	Timeout  time.Duration
}

// Outcome is how an attempt ended. Its values and names are stored and must not change.
type Outcome uint8

// The outcomes. Rejected, ConnectFailed, NotSent and NotStarted prove that the attempt never ran.
// NotStarted is no attempt at all: the sender could not record that it was about to be made.
const (
	Served Outcome = iota
	Errored
	Rejected
	TimedOut
	ConnectFailed
	ConnectionBroken
	Cancelled
	NotSent
	NotStarted
)

var outcomeNames = [...]string{
	Served:           "served",
	Errored:          "errored",
	Rejected:         "refused",
	TimedOut:         "timed_out",
	ConnectFailed:    "connect_failed",
	ConnectionBroken: "broken",
	Cancelled:        "cancelled",
	NotSent:          "not_sent",
	NotStarted:       "not_begun",
}

// String is the outcome's name in logs and metrics.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// AttemptResult ends an attempt.
type AttemptResult struct {
	Message        MessageID
	Attempt        int // 0 for the first attempt of the message
	Endpoint       EndpointID
	Outcome        Outcome
	Elapsed        time.Duration // since it was sent
	ConnectionIdle time.Duration // how long its connection had been idle; 0 for a new one or if unknown
	Final          bool          // the message needs no further result
	RetryAfter     time.Duration // no calls for so long from now on; 0 if the answer did not say
	HasLoadReport  bool          // QuotaLeft and RateLimit were reported
	QuotaLeft      float64       // share of the destination's quota that is left
	RateLimit      float64       // its rate limit in calls a second, 0 if it has none
}

// RetryAfterReceived says that an endpoint allows no calls for so long, in an answer that is not complete
// yet.
type RetryAfterReceived struct {
	Endpoint   EndpointID
	RetryAfter time.Duration
}

// StorageStatus says whether the sender can record what it does. While it cannot, nothing is sent.
type StorageStatus struct{ Failing bool }

// EndpointListStale says whether the list may have changed unnoticed, as its source is unreachable. While
// it is stale, nothing is sent.
type EndpointListStale struct{ Stale bool }

// MessageCancelled withdraws a message.
type MessageCancelled struct{ Message MessageID }

// EndpointListUpdate changes the endpoint list.
type EndpointListUpdate struct {
	Failed    bool // a request for the list failed; nothing else is set
	Full      bool // Endpoints is the full list: endpoints that it lacks are gone
	Endpoints []Endpoint
}

// Endpoint is an entry of the list. It says nothing of health.
type Endpoint struct {
	ID          EndpointID
	Destination DestinationID
	Kind        int
	Zone        int
	Ready       bool // false: draining or gone
	Rating      float64
}

// SettingsChanged replaces the settings. Pending messages keep the rules of their admission.
type SettingsChanged struct{ Settings }

// OutagesRestored gives a new Dispatcher the outages that an earlier one last asked to persist. The endpoint
// list must have come before, and no message.
type OutagesRestored struct{ Outages []Outage }

// TimerFired says that the time of a SetTimer has come.
type TimerFired struct{}

func (Message) event()            {}
func (AttemptResult) event()      {}
func (RetryAfterReceived) event() {}
func (StorageStatus) event()      {}
func (EndpointListStale) event()  {}
func (MessageCancelled) event()   {}
func (EndpointListUpdate) event() {}
func (SettingsChanged) event()    {}
func (OutagesRestored) event()    {}
func (TimerFired) event()         {}
