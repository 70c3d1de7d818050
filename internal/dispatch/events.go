package dispatch

import "time"

// MessageID identifies a message. The caller chooses it; the package only returns it.
type MessageID uint64

// EndpointID identifies an endpoint. The caller chooses it; the package only returns it.
type EndpointID uint32

// DestinationID identifies the receiver of a message.
type DestinationID uint32

// Event is one of Message, AttemptResult, RetryAfterReceived, OutagesRestored, StorageStatus,
// EndpointListStale, MessageCancelled, EndpointListUpdate, SettingsChanged and TimerFired.
type Event interface{ event() }

// Message submits a message. The dispatcher ends it exactly once. It fails a message at once if the settings
// lack its class.
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
	FirstRunAt    time.Duration    // when the first attempt that may have run was sent
	FirstRunZone  int              // the zone that this attempt was sent to
	Rules         *Rules           // the rules of its admission; nil for those of the settings
	InFlight      *InFlightAttempt // an attempt in flight to a listed endpoint, not among PriorAttempts
	NotBefore     time.Duration    // no attempt before this clock time (backoff after a failed one)
	Resumed       bool             // admitted by an earlier process, and so not rejected to shed load
}

// InFlightAttempt is an attempt that another process of the same sender has in flight. It ends with an
// AttemptResult whose Attempt is 0.
type InFlightAttempt struct {
	Endpoint EndpointID
	Call     uint64 // the same for all attempts that share one call
	SentAt   time.Duration
	Timeout  time.Duration
}

// Outcome is how an attempt ended. Its values and names are stored and must not change.
type Outcome uint8

// The outcomes. Rejected, ConnectFailed, NotSent and NotStarted prove that the attempt never ran. NotStarted
// does not count as an attempt: the sender could not record that it was about to make one.
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

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// AttemptResult reports how an attempt ended.
type AttemptResult struct {
	Message        MessageID
	Attempt        int // 0 for the first attempt of the message
	Endpoint       EndpointID
	Outcome        Outcome
	Elapsed        time.Duration // time since the attempt was sent
	ConnectionIdle time.Duration // how long its connection had been idle; 0 for a new one or if unknown
	Final          bool          // the message ends with this result
	RetryAfter     time.Duration // no calls are allowed for so long from now on; 0 if not given
	HasLoadReport  bool          // QuotaLeft and RateLimit were reported
	QuotaLeft      float64       // share of the destination's quota that is left
	RateLimit      float64       // its rate limit in calls a second, 0 if it has none
}

// RetryAfterReceived reports the Retry-After of an answer that has not been received completely yet: the
// endpoint allows no calls for RetryAfter.
type RetryAfterReceived struct {
	Endpoint   EndpointID
	RetryAfter time.Duration
}

// StorageStatus reports whether the sender is unable to record what it does. While it is, nothing is sent.
type StorageStatus struct{ Failing bool }

// EndpointListStale reports whether the endpoint list may have changed unnoticed, as its source cannot be
// reached. While it is stale, nothing is sent.
type EndpointListStale struct{ Stale bool }

// MessageCancelled withdraws a message.
type MessageCancelled struct{ Message MessageID }

// EndpointListUpdate changes the endpoint list.
type EndpointListUpdate struct {
	Failed    bool // a request for the list failed; nothing else is set
	Full      bool // Endpoints is the full list: endpoints that it lacks are gone
	Endpoints []Endpoint
}

// Endpoint is an entry of the endpoint list. It does not include the endpoint's health.
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

// OutagesRestored gives a new Dispatcher the outages that an earlier one asked to persist last. It must come
// after the first endpoint list and before any message.
type OutagesRestored struct{ Outages []Outage }

// TimerFired reports that the time of a SetTimer has been reached.
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
