package handover

// The wire format of the hand-over. It is gob, which writes out the names of the fields below, matches fields by name,
// and drops, without an error, a field that the receiver does not have. A release in service hands over to its
// successor and, on a roll-back, takes over from it again. So the fields of these types keep the names that they had in
// the first release with a hand-over. The types are used for nothing else: packets are translated to them before they
// are written, and from them after they are read.
//
// FROZEN: never rename, retype or remove a field. A new field may be added, but the other process may not have it.

import "time"

// frozenPacket is a Packet of any type: exactly one of its fields is set.
type frozenPacket struct {
	Hello  *frozenHello
	Estate *frozenSnapshot
	Submit *frozenRequest
	Answer *frozenAnswer
	Ended  *frozenAttemptEnd
	Wait   *frozenWait
	Cancel *frozenAttemptID
}

// frozenHello is a Hello.
type frozenHello struct {
	Version     int
	Connections bool
	Share       bool
}

// frozenSnapshot is a Snapshot. Flights are the attempts in flight, Rests holds BackoffUntil, Memory the dispatcher's
// snapshot, and Connections the addresses of the connections that are passed as descriptors. Share is KeepsShare.
type frozenSnapshot struct {
	ListVersion int64
	Endpoints   []frozenTarget
	Flights     []frozenFlight
	Rests       map[string]time.Duration
	Memory      frozenMemory
	Connections []string
	Share       bool
}

// frozenTarget is an endpoint of the endpoint list.
type frozenTarget struct {
	ID     string
	Addr   string
	Zone   string
	Kind   string
	Cell   uint32
	State  string
	Weight float64
}

// frozenAttemptID is an AttemptID. Try is the index of the attempt.
type frozenAttemptID struct {
	ID  string
	Try int
}

// frozenFlight is an InFlightAttempt. At is when it was sent.
type frozenFlight struct {
	ID       frozenAttemptID
	Call     uint64
	Endpoint uint32
	At       time.Duration
	Timeout  time.Duration
}

// frozenAttemptEnd is an AttemptReport.
type frozenAttemptEnd struct {
	Flight frozenAttemptID
	End    frozenOutcome
}

// frozenOutcome is the result of an attempt; outcomeToWire maps its fields. The values of Outcome are the indexes of
// outcomesByNumber.
type frozenOutcome struct {
	Message  uint64
	Attempt  int
	Endpoint uint32
	Outcome  uint8
	Elapsed  time.Duration
	Idle     time.Duration
	Over     bool
	Wait     time.Duration
	Reported bool
	Left     float64
	Limit    float64
}

// frozenWait is a RetryAfterReport. Endpoint is the endpoint's ID on the endpoint list.
type frozenWait struct {
	Endpoint string
	Wait     time.Duration
}

// frozenRequest is a ForwardedRequest.
type frozenRequest struct {
	Seq    uint64
	Record frozenRecord
}

// frozenRecord is a journal record. A forwarded request sets only the fields that describe its message.
type frozenRecord struct {
	Op       string
	ID       string
	Key      string
	Class    string
	Tenant   string
	Dest     uint32
	Deadline time.Duration
	Rules    *frozenRules
	Body     []byte
	Tries    []frozenTry
}

// frozenRules are the rules in a journal record; recordToWire maps their fields.
type frozenRules struct {
	Effect    uint8
	InZone    bool
	Ordered   bool
	Attempts  int
	Aim       time.Duration
	Deadline  time.Duration
	Window    time.Duration
	Worth     float64
	LateWorth float64
}

// frozenTry is an attempt of a journal record. At is when it was sent. Never states that it surely had no effect.
type frozenTry struct {
	At       time.Duration
	Endpoint string
	Zone     int
	Never    bool
}

// frozenAnswer is a ForwardedResponse.
type frozenAnswer struct {
	Seq    uint64
	Status int
	Retry  time.Duration
	Text   string
}

// frozenMemory is the snapshot of the dispatcher; dispatcherToWire maps its fields. An entry of Tenants holds the
// recent and the long-term rate, an entry of Classes the counts of ended and of served messages.
type frozenMemory struct {
	Started time.Duration
	Came    frozenFading
	All     frozenOracle
	Keep    []time.Duration
	Random  uint64
	Tenants [][2]float64
	Classes [][2]frozenFading
	Routes  []frozenRoute
	Ends    []frozenEndpoint
}

// frozenFading is a decaying count: its value and the time of its last update.
type frozenFading struct {
	N    float64
	When time.Duration
}

// frozenOracle is the snapshot of a latency estimator; estimatorToWire maps its fields.
type frozenOracle struct {
	Count, Sum                                 []float64
	Seen                                       int
	Past, Mean                                 float64
	Best, Median, Quickest, Doubled, DoubledAt time.Duration
}

// frozenRoute is the state of a route; routeToWire maps its fields. The values of State are 0 for healthy, 1 for
// unavailable and 2 for warming up.
type frozenRoute struct {
	Destination uint32
	Endpoint    uint32
	Apart       bool

	Oracle                                      frozenOracle
	Tried, Done                                 frozenFading
	Window, Fails, Recent, Served, Before       float64
	Limit, Pace, Tokens                         float64
	HalvedAt, ClosedUntil, Pause, Reopens       time.Duration
	LastServed, SentAt, ServedSent, FirstServed time.Duration
	OutAt, Since, ProbedAt, Filled              time.Duration
	Bad, Lost                                   int
	State                                       uint8
}

// frozenEndpoint is the state of an endpoint; dispatcherToWire maps its fields.
type frozenEndpoint struct {
	Endpoint      uint32
	Recent, Fails float64
	Crowded       time.Duration
}
