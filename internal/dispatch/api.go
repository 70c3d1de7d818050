// Package dispatch makes the decisions of a dispatcher of notifications: when a message is sent, to
// which endpoint, how long an attempt may take, and when a message is refused or given up.
//
// A sender makes one Dispatcher with New and calls Step with every batch of events. Step takes in all
// events, then decides once, and returns the actions in the order in which they are to be carried
// out. Time is the batch's: it may start anywhere and never goes back. A Dispatcher draws randomness from
// its seed only, so the same events give the same actions. It is not for concurrent use; separate
// Dispatchers share nothing. The caller owns what it passes in and what it gets back.
package dispatch

import "time"

// Settings is what a sender is told at its start. Zero values mean "not stated".
type Settings struct {
	Senders               int           // senders in this deployment
	Number                int           // this one's place among them, from 0
	Zone                  int           // zone that this sender stands in
	MaxConcurrentCalls    int           // calls out at once, at most
	MaxPendingMessages    int           // messages held, sent or not, at most
	MaxAttempts           int           // attempts for one message, at most
	CanCancelAttempts     bool          // attempts may be called off
	SendsRetryAfter       bool          // clients are told how long to stay away after a refusal
	MaxRetryAfter         time.Duration // the longest hold-off that a client heeds
	IdleConnectionTimeout time.Duration // a connection without a call is kept this long
	PollsEndpointList     bool          // the endpoint list comes only when asked for
	StepInterval          time.Duration // batches come at most this often
	OrderedKeySettleTime  time.Duration // an ordered key rests this long after an attempt that may still run
	CollapseLoadFactor    float64       // a cold destination falls over above this multiple of its capacity
	SlowStartCapacity     float64       // share of its capacity that it has at the least on return
	OverloadWindow        time.Duration // length of the span over which that load is counted
	SlowStartDuration     time.Duration // after this a returned destination is warm
	TotalWeight           float64       // weight of the share of all worth that is served, in the result
	WorstClassWeight      float64       // weight of that share of the worst-served class
	OverQuotaWeight       float64       // worth of a message beyond its tenant's share, as a fraction
	CrossZoneCost         float64       // price of an attempt that leaves its zone
	LateWeightHalves      bool          // late worth halves with each further aim; otherwise it falls evenly
	RatingIsRateLimit     bool          // Endpoint.Rating is the destination's limit in calls a second
	ZoneFees              []float64     // by zone: fee for a message taken on by a route apart
	Kinds                 []Kind        // kinds of destination
	Classes               []Class       // classes of message
	Tenants               []Tenant      // tenants; may be empty
}

// Kind is a kind of destination.
type Kind struct {
	PerEndpoint  bool // endpoints are routes apart, each with its own limit, pace and outages
	MaxBatchSize int  // messages that may travel in one call
}

// Effect says what a repeat of a message does.
type Effect uint8

// The effects: a Safe message may be repeated, a Keyed one while its key is remembered, an Unsafe one never.
const (
	Idempotent Effect = iota
	IdempotentByKey
	NonIdempotent
)

// Class is a class of message.
type Class struct {
	LatencyObjective  time.Duration // full worth until then
	Deadline          time.Duration // given up after this, from the first hand-in
	Effect            Effect
	KeyScopedToZone   bool          // a key is remembered by the endpoints of one zone only
	IdempotencyWindow time.Duration // a key is remembered this long after the first send that may have run
	Ordered           bool          // messages with one key go in turn
	PriorityWeight    float64
	LateWeight        float64 // share of the worth left at the deadline
}

// Tenant is one of those who share the service.
type Tenant struct {
	Quota     float64 // share of the service
	QuotaRate float64 // messages a second within its share, over all senders
}

// MessageID and EndpointID are returned as given and mean nothing else.
type (
	MessageID  uint64
	EndpointID uint32
	// DestinationID names the receiver that a message is for.
	DestinationID uint32
)

// Event is one of Message, AttemptEnd, WaitTold, KnownOutages, Storage, ListStale, Withdrawn, ListNews, NewSettings and Alarm.
type Event interface{ event() }

// Message hands in a new message. The dispatcher ends it exactly once; one of a class that the settings lack is
// failed at once.
type Message struct {
	ID          MessageID
	Class       int
	Tenant      int
	Destination DestinationID
	Key         uint64        // key of the order; 0 for none
	Deadline    time.Duration // clock time until which it may be delivered

	// What a sender that restarted knows of a message it had before; zero for a new one.
	PriorAttempts int              // attempts already made
	MayHaveRun    bool             // one of them may have run
	FirstRunAt    time.Duration    // and was sent at this clock time, the first of those that may have
	FirstRunZone  int              // to this zone
	Rules         *Rules           // those that it was taken under; nil for those of the settings
	InFlight      *InFlightAttempt // an attempt that is out, after those; the list must have named its endpoint

	NotBefore time.Duration // it rests until this clock time after a failed attempt
	Resumed   bool          // it was taken on by an earlier process: for want of room it is not handed back
}

// Rules are what a message is held to from the time that it was taken on, whatever the settings say later.
type Rules struct {
	Class
	MaxAttempts int
}

// Out is an attempt that another process of the same sender has out. It ends by an AttemptEnd with number 0.
type InFlightAttempt struct {
	Endpoint EndpointID
	Call     uint64 // attempts that travel in one call have the same
	SentAt   time.Duration
	Timeout  time.Duration
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes. Refused, ConnectFailed, NotSent and NotBegun prove that the attempt never ran. NotBegun is no attempt at all:
// the sender could not write down that it was about to be made.
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

var outcomeNames = [...]string{Served: "served", Errored: "errored", Rejected: "refused", TimedOut: "timed_out",
	ConnectFailed: "connect_failed", ConnectionBroken: "broken", Cancelled: "cancelled", NotSent: "not_sent", NotStarted: "not_begun"}

// String is the outcome's name in logs and figures.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

// AttemptEnd says that an attempt is over.
type AttemptResult struct {
	Message        MessageID
	Attempt        int // 0 for the first send of the message
	Endpoint       EndpointID
	Outcome        Outcome
	Elapsed        time.Duration // since it was sent
	ConnectionIdle time.Duration // the connection had been without a call for so long; 0 for a fresh one or if unknown
	Final          bool          // the message needs no further answer
	RetryAfter     time.Duration // told to send nothing for so long from now on; 0 if nothing was told
	HasLoadReport  bool          // Left and Limit were reported
	QuotaLeft      float64       // share of the destination's allowance that is left
	RateLimit      float64       // its limit in calls a second, 0 if it has none
}

// WaitTold says that an endpoint has told to send nothing for so long, in an answer that has not come whole yet.
type RetryAfterReceived struct {
	Endpoint   EndpointID
	RetryAfter time.Duration
}

// Storage says whether the sender can write down what it does. While it cannot, nothing is sent.
type StorageStatus struct{ Failing bool }

// ListStale says whether the list may have changed unnoticed, as nobody can be asked for it. While it is stale, nothing is sent.
type EndpointListStale struct{ Stale bool }

// Withdrawn says that nobody wants the message any more.
type MessageCancelled struct{ Message MessageID }

// ListNews is news of the endpoint list.
type EndpointListUpdate struct {
	Failed    bool // a request for the list failed; nothing else is set
	Full      bool // Endpoints is the whole list: what it lacks is gone
	Endpoints []Endpoint
}

// Endpoint is a line of the list. It tells nothing of health.
type Endpoint struct {
	ID          EndpointID
	Destination DestinationID
	Kind        int
	Zone        int
	Ready       bool // false: draining or gone
	Rating      float64
}

// NewSettings replaces the settings. Messages held keep the rules that they were taken under.
type SettingsChanged struct{ Settings }

// Alarm says that a time asked for has come.
type TimerFired struct{}

func (Message) event()            {}
func (AttemptResult) event()      {}
func (RetryAfterReceived) event() {}
func (StorageStatus) event()      {}
func (EndpointListStale) event()  {}
func (MessageCancelled) event()   {}
func (EndpointListUpdate) event() {}
func (SettingsChanged) event()    {}
func (TimerFired) event()         {}

// Action is one of Send, Refuse, Fail, Cancel, Withhold, CloseIdle, SetAlarm, WatchList, NoteOutages and Log.
type Action interface{ action() }

// Send calls an endpoint with a message and gives the attempt up after Timeout. A call that has to wait for its
// connection is begun within Begin or not at all: what is written later would arrive too late.
type Send struct {
	Message     MessageID
	Endpoint    EndpointID
	Timeout     time.Duration
	StartWithin time.Duration
}

// Refuse ends a message and tells its client that trying again, after HoldOff, is harmless.
type Reject struct {
	Message    MessageID
	RetryAfter time.Duration
}

// Fail ends a message and promises nothing.
type Fail struct{ Message MessageID }

// Cancel stops waiting for an attempt; it ends as Cancelled or as it would have.
type Cancel struct {
	Message MessageID
	Attempt int
}

// Withhold stops the calls to an endpoint that have not been written yet, as they may wait for a connection for
// long: they end as NotSent. Those that have been written go on.
type AbortUnsent struct{ Endpoint EndpointID }

// CloseIdle shuts the connections to an endpoint that have no call.
type CloseIdle struct{ Endpoint EndpointID }

// SetAlarm asks for an Alarm at clock time At.
type SetTimer struct{ At time.Duration }

// WatchList asks for the endpoint list and its changes.
type WatchEndpointList struct{}

// Log is a line for the operators.
type Log struct{ Line string }

func (Send) action()              {}
func (Reject) action()            {}
func (Fail) action()              {}
func (Cancel) action()            {}
func (AbortUnsent) action()       {}
func (CloseIdle) action()         {}
func (SetTimer) action()          {}
func (WatchEndpointList) action() {}
func (Log) action()               {}
