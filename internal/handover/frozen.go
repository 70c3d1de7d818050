package handover

// The hand-over's wire format. It is gob, so the field names below are what stands on the wire: gob matches fields by
// name and drops, without an error, what the other side does not know. A release in service hands over to its
// successor and takes over from it again on a roll-back, so these types keep the names that they had in the first
// release with a hand-over. They are used for nothing else: packets are translated to and from them where they are
// written and read.
//
// FROZEN: never rename, retype or remove a field. A new field may be added; the other side may lack it.

import "time"

type frozenPacket struct {
	Hello  *frozenHello
	Estate *frozenSnapshot
	Submit *frozenRequest
	Answer *frozenAnswer
	Ended  *frozenAttemptEnd
	Wait   *frozenWait
	Cancel *frozenAttemptID
}

type frozenHello struct {
	Version     int
	Connections bool
}

type frozenSnapshot struct {
	ListVersion int64
	Endpoints   []frozenTarget
	Flights     []frozenFlight
	Rests       map[string]time.Duration
	Memory      frozenMemory
	Connections []string
}

type frozenTarget struct {
	ID     string
	Addr   string
	Zone   string
	Kind   string
	Cell   uint32
	State  string
	Weight float64
}

type frozenAttemptID struct {
	ID  string
	Try int
}

type frozenFlight struct {
	ID       frozenAttemptID
	Call     uint64
	Endpoint uint32
	At       time.Duration
	Timeout  time.Duration
}

type frozenAttemptEnd struct {
	Flight frozenAttemptID
	End    frozenOutcome
}

// frozenOutcome is how an attempt ended. The values of Outcome are those of frozenOutcomes.
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

type frozenWait struct {
	Endpoint string
	Wait     time.Duration
}

type frozenRequest struct {
	Seq    uint64
	Record frozenRecord
}

// frozenRecord is a journal record. A request sets only the fields of its message.
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

type frozenTry struct {
	At       time.Duration
	Endpoint string
	Zone     int
	Never    bool
}

type frozenAnswer struct {
	Seq    uint64
	Status int
	Retry  time.Duration
	Text   string
}

// frozenMemory is the dispatcher's snapshot.
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

type frozenFading struct {
	N    float64
	When time.Duration
}

type frozenOracle struct {
	Count, Sum                                 []float64
	Seen                                       int
	Past, Mean                                 float64
	Best, Median, Quickest, Doubled, DoubledAt time.Duration
}

// frozenRoute is a route's state. The values of State are 0 for healthy, 1 for unavailable and 2 for warming up.
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

type frozenEndpoint struct {
	Endpoint      uint32
	Recent, Fails float64
	Crowded       time.Duration
}
