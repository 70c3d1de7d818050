package dispatch

import "time"

// Settings holds the settings of a sender, from its start or a later change. A zero value means that a
// setting is not given.
type Settings struct {
	Senders               int           // senders in this deployment
	Number                int           // this sender's index among them, from 0
	Zone                  int           // zone that this sender runs in
	MaxConcurrentCalls    int           // upper bound of calls in flight
	MaxPendingMessages    int           // upper bound of pending messages, sent or not
	MaxAttempts           int           // upper bound of attempts for one message
	CanCancelAttempts     bool          // an attempt in flight may be cancelled
	SendsRetryAfter       bool          // a rejection carries a delay after which the client may try again
	MaxRetryAfter         time.Duration // the longest such delay that clients respect
	IdleConnectionTimeout time.Duration // idle time after which an endpoint closes a connection
	PollsEndpointList     bool          // the endpoint list is sent only on request
	StepInterval          time.Duration // least time between two steps
	OrderedKeySettleTime  time.Duration // pause of an ordered key after an attempt that may still run
	CollapseLoadFactor    float64       // load/capacity ratio at which a recovering destination collapses
	SlowStartCapacity     float64       // share of its capacity that a recovered destination has at first
	OverloadWindow        time.Duration // window over which a destination's load is counted
	SlowStartDuration     time.Duration // time from a destination's recovery to its full capacity
	TotalWeight           float64       // weight of the total goodput in the objective
	WorstClassWeight      float64       // weight of the worst-served class's goodput in the objective
	OverQuotaWeight       float64       // relative weight of a message beyond its tenant's quota
	CrossZoneCost         float64       // cost of an attempt that leaves the sender's zone
	LateWeightHalves      bool          // weight when late: halves per latency objective, else falls linearly
	RatingIsRateLimit     bool          // Endpoint.Rating is the destination's rate limit in calls a second
	ZoneFees              []float64     // by zone: cost of a message to an endpoint with a route of its own
	Kinds                 []Kind        // kinds of destination
	Classes               []Class       // classes of message
	Tenants               []Tenant      // tenants; may be empty
}

// Kind holds the properties of a kind of destination.
type Kind struct {
	PerEndpoint  bool // each endpoint is a route of its own, with its own limits and outages
	MaxBatchSize int  // messages that may share one call
}

// Effect is the kind of effect that a repeated delivery of a message has. Its values are stored and must not
// change.
type Effect uint8

// The effects: an Idempotent message may always be repeated, an IdempotentByKey message while the receiver
// remembers its key, and a NonIdempotent message never.
const (
	Idempotent Effect = iota
	IdempotentByKey
	NonIdempotent
)

// Class holds the rules for the messages of a class.
type Class struct {
	LatencyObjective time.Duration // a message served within it keeps its full weight
	Deadline         time.Duration // from its submission; a message not served by then is failed
	Effect           Effect
	KeyScopedToZone  bool // a key is remembered by the endpoints of one zone only
	// how long a key is remembered after the first attempt that may have run
	IdempotencyWindow time.Duration
	Ordered           bool // messages with the same key are sent one after another
	PriorityWeight    float64
	LateWeight        float64 // share of the weight that remains at the deadline
}

// Tenant is one of the users that share the service.
type Tenant struct {
	Quota     float64 // share of the service
	QuotaRate float64 // messages a second within its quota, over all senders
}

// Rules are the rules that apply to a message from its admission on, even if the settings change later.
type Rules struct {
	Class
	MaxAttempts int
}
