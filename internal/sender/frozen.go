package sender

// The hand-over's wire format. It is gob, so the field names below are what stands on the wire: gob matches fields by name and
// drops, without an error, what the other side does not know. A release in service hands over to its successor and takes over
// from it again on a roll-back, so these types keep the names that they had in the first release with a hand-over. They are
// used for nothing else: packets are translated to and from them where they are written and read.
//
// FROZEN: never rename, retype or remove a field. A new field may be added; the other side may lack it.

import (
	"encoding/gob"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/endpointlist"
	"onyxdyke.example/onyxdyke/internal/journal"
)

type frozenPacket struct {
	Hello  *frozenHello
	Estate *frozenSnapshot
	Submit *frozenRequest
	Answer *frozenAnswer
	Ended  *frozenAttemptEnd
	Wait   *frozenWait
	Cancel *frozenAttemptID
}

type frozenHello struct{ Version int }

type frozenSnapshot struct {
	ListVersion int64
	Endpoints   []frozenTarget
	Flights     []frozenFlight
	Rests       map[string]time.Duration
	Memory      frozenMemory
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

// frozenRecord is a journal record, of which a request sets the message's fields only.
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

// frozenMemory is what one decision module leaves to the next.
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

// readPacket reads the next packet of the other process.
func readPacket(dec *gob.Decoder) (packet, error) {
	var f frozenPacket
	if err := dec.Decode(&f); err != nil {
		return packet{}, err
	}
	return f.thaw(), nil
}

// freeze translates a packet to what is written.
func freeze(p packet) frozenPacket {
	var f frozenPacket
	if p.Hello != nil {
		f.Hello = &frozenHello{Version: p.Hello.Version}
	}
	if p.Snapshot != nil {
		f.Estate = freezeSnapshot(p.Snapshot)
	}
	if p.Submit != nil {
		f.Submit = &frozenRequest{Seq: p.Submit.Sequence, Record: freezeRecord(p.Submit.Record)}
	}
	if p.Answer != nil {
		f.Answer = &frozenAnswer{Seq: p.Answer.Sequence, Status: p.Answer.Status, Retry: p.Answer.RetryAfter, Text: p.Answer.Text}
	}
	if p.AttemptEnded != nil {
		f.Ended = &frozenAttemptEnd{Flight: freezeAttemptID(p.AttemptEnded.Attempt), End: freezeOutcome(p.AttemptEnded.Result)}
	}
	if p.RetryAfter != nil {
		f.Wait = &frozenWait{Endpoint: p.RetryAfter.Endpoint, Wait: p.RetryAfter.RetryAfter}
	}
	if p.Cancel != nil {
		id := freezeAttemptID(*p.Cancel)
		f.Cancel = &id
	}
	return f
}

// thaw translates what was read to a packet.
func (f frozenPacket) thaw() packet {
	var p packet
	if f.Hello != nil {
		p.Hello = &hello{Version: f.Hello.Version}
	}
	if f.Estate != nil {
		p.Snapshot = f.Estate.thaw()
	}
	if f.Submit != nil {
		p.Submit = &forwardedSubmission{Sequence: f.Submit.Seq, Record: f.Submit.Record.thaw()}
	}
	if f.Answer != nil {
		p.Answer = &forwardedResponse{Sequence: f.Answer.Seq, Status: f.Answer.Status, RetryAfter: f.Answer.Retry, Text: f.Answer.Text}
	}
	if f.Ended != nil {
		p.AttemptEnded = &attemptReport{Attempt: f.Ended.Flight.thaw(), Result: f.Ended.End.thaw()}
	}
	if f.Wait != nil {
		p.RetryAfter = &retryAfterReport{Endpoint: f.Wait.Endpoint, RetryAfter: f.Wait.Wait}
	}
	if f.Cancel != nil {
		id := f.Cancel.thaw()
		p.Cancel = &id
	}
	return p
}

func freezeAttemptID(id attemptID) frozenAttemptID {
	return frozenAttemptID{ID: id.Message, Try: id.Attempt}
}

func (f frozenAttemptID) thaw() attemptID { return attemptID{Message: f.ID, Attempt: f.Try} }

func freezeSnapshot(s *snapshot) *frozenSnapshot {
	f := &frozenSnapshot{ListVersion: s.ListVersion, Rests: s.BackoffUntil, Memory: freezeMemory(s.Dispatcher)}
	for _, t := range s.Endpoints {
		f.Endpoints = append(f.Endpoints, frozenTarget{ID: t.ID, Addr: t.Addr, Zone: t.Zone, Kind: t.Kind, Cell: t.Cell,
			State: t.State, Weight: t.Weight})
	}
	for _, l := range s.InFlight {
		f.Flights = append(f.Flights, frozenFlight{ID: freezeAttemptID(l.ID), Call: l.Call, Endpoint: uint32(l.Endpoint),
			At: l.SentAt, Timeout: l.Timeout})
	}
	return f
}

func (f *frozenSnapshot) thaw() *snapshot {
	s := &snapshot{ListVersion: f.ListVersion, BackoffUntil: f.Rests, Dispatcher: f.Memory.thaw()}
	for _, t := range f.Endpoints {
		s.Endpoints = append(s.Endpoints, endpointlist.Endpoint{ID: t.ID, Addr: t.Addr, Zone: t.Zone, Kind: t.Kind, Cell: t.Cell,
			State: t.State, Weight: t.Weight})
	}
	for _, l := range f.Flights {
		s.InFlight = append(s.InFlight, inFlightAttempt{ID: l.ID.thaw(), Call: l.Call, Endpoint: dispatch.EndpointID(l.Endpoint),
			SentAt: l.At, Timeout: l.Timeout})
	}
	return s
}

// frozenOutcomes gives each outcome's number on the wire.
var frozenOutcomes = [...]dispatch.Outcome{
	0: dispatch.Served,
	1: dispatch.Errored,
	2: dispatch.Rejected,
	3: dispatch.TimedOut,
	4: dispatch.ConnectFailed,
	5: dispatch.ConnectionBroken,
	6: dispatch.Cancelled,
	7: dispatch.NotSent,
	8: dispatch.NotStarted,
}

func freezeOutcome(e dispatch.AttemptResult) frozenOutcome {
	f := frozenOutcome{Message: uint64(e.Message), Attempt: e.Attempt, Endpoint: uint32(e.Endpoint), Outcome: uint8(e.Outcome),
		Elapsed: e.Elapsed, Idle: e.ConnectionIdle, Over: e.Final, Wait: e.RetryAfter, Reported: e.HasLoadReport, Left: e.QuotaLeft, Limit: e.RateLimit}
	for number, outcome := range frozenOutcomes {
		if outcome == e.Outcome {
			f.Outcome = uint8(number)
		}
	}
	return f
}

func (f frozenOutcome) thaw() dispatch.AttemptResult {
	e := dispatch.AttemptResult{Message: dispatch.MessageID(f.Message), Attempt: f.Attempt, Endpoint: dispatch.EndpointID(f.Endpoint),
		Outcome: dispatch.Outcome(f.Outcome), Elapsed: f.Elapsed, ConnectionIdle: f.Idle, Final: f.Over, RetryAfter: f.Wait, HasLoadReport: f.Reported,
		QuotaLeft: f.Left, RateLimit: f.Limit}
	if int(f.Outcome) < len(frozenOutcomes) {
		e.Outcome = frozenOutcomes[f.Outcome]
	}
	return e
}

func freezeRecord(r journal.Record) frozenRecord {
	f := frozenRecord{Op: string(r.Kind), ID: r.ID, Key: r.Key, Class: r.Class, Tenant: r.Tenant, Dest: r.Destination, Deadline: r.Deadline, Body: r.Body}
	if r.Rules != nil {
		f.Rules = &frozenRules{Effect: uint8(r.Rules.Effect), InZone: r.Rules.KeyScopedToZone, Ordered: r.Rules.Ordered,
			Attempts: r.Rules.MaxAttempts, Aim: r.Rules.LatencyObjective, Deadline: r.Rules.Deadline, Window: r.Rules.IdempotencyWindow,
			Worth: r.Rules.PriorityWeight, LateWorth: r.Rules.LateWeight}
	}
	for _, t := range r.Attempts {
		f.Tries = append(f.Tries, frozenTry{At: t.SentAt, Endpoint: t.Endpoint, Zone: t.Zone, Never: t.NeverRan})
	}
	return f
}

func (f frozenRecord) thaw() journal.Record {
	r := journal.Record{Kind: journal.RecordKind(f.Op), ID: f.ID, Key: f.Key, Class: f.Class, Tenant: f.Tenant, Destination: f.Dest, Deadline: f.Deadline, Body: f.Body}
	if f.Rules != nil {
		r.Rules = &journal.Rules{Effect: dispatch.Effect(f.Rules.Effect), KeyScopedToZone: f.Rules.InZone, Ordered: f.Rules.Ordered,
			MaxAttempts: f.Rules.Attempts, LatencyObjective: f.Rules.Aim, Deadline: f.Rules.Deadline, IdempotencyWindow: f.Rules.Window,
			PriorityWeight: f.Rules.Worth, LateWeight: f.Rules.LateWorth}
	}
	for _, t := range f.Tries {
		r.Attempts = append(r.Attempts, journal.Attempt{SentAt: t.At, Endpoint: t.Endpoint, Zone: t.Zone, NeverRan: t.Never})
	}
	return r
}
