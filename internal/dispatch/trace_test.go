package dispatch

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// The test in this file guards against unintended changes of decisions: the same events and seed must give
// the same actions. The traces under testdata/traces were recorded with the release of commit 5d1fee9. For
// every traceBlock steps, a trace holds the number of steps, the number of messages, and a digest of all
// actions so far, log lines aside, and of the number of endpoints in an outage after each step. A change that
// is meant to alter decisions records the traces again with -record-traces, and its commit says so.

var recordTraces = flag.Bool("record-traces", false, "write testdata/traces instead of comparing with it")

const (
	traceSteps = 4000 // steps of one trace
	traceBlock = 50   // steps of one block, which has one digest
)

// traceSimulation drives one Dispatcher with random events and answers its calls. The seed determines all of
// it.
type traceSimulation struct {
	random     *rand.Rand
	dispatcher *Dispatcher
	settings   Settings
	seed       uint64
	now        time.Duration
	lastID     MessageID
	list       []Endpoint
	calls      []traceCall           // in flight
	attempts   map[MessageID]int     // number of attempts that the dispatcher has recorded
	outages    []Outage              // all that were persisted, in order
	pending    map[MessageID]Message // also ended messages, until the next restart
	digest     interface {
		Write([]byte) (int, error)
		Sum64() uint64
	}
}

// traceCall is an attempt in flight, with its predetermined outcome.
type traceCall struct {
	send    Send
	attempt int
	sentAt  time.Duration
	endsAt  time.Duration
	outcome Outcome
}

// traceSettings returns settings of which some are random.
func traceSettings(random *rand.Rand, senders int) Settings {
	settings := Settings{
		Senders:               senders,
		Number:                random.Intn(senders),
		Zone:                  random.Intn(3),
		MaxConcurrentCalls:    6 + random.Intn(20),
		MaxPendingMessages:    40 + random.Intn(100),
		MaxAttempts:           3 + random.Intn(4),
		CanCancelAttempts:     random.Intn(3) > 0,
		SendsRetryAfter:       random.Intn(2) == 0,
		MaxRetryAfter:         2 * time.Second,
		IdleConnectionTimeout: 4 * time.Second,
		PollsEndpointList:     random.Intn(2) == 0,
		StepInterval:          5 * ms,
		OrderedKeySettleTime:  300 * ms,
		CollapseLoadFactor:    2,
		SlowStartCapacity:     0.2,
		OverloadWindow:        2 * time.Second,
		SlowStartDuration:     8 * time.Second,
		TotalWeight:           0.6,
		WorstClassWeight:      0.3,
		OverQuotaWeight:       0.2,
		CrossZoneCost:         0.05,
		LateWeightHalves:      random.Intn(2) == 0,
		RatingIsRateLimit:     random.Intn(2) == 0,
		ZoneFees:              []float64{0.01, 0.03, 0},
		Kinds: []Kind{
			{MaxBatchSize: 1},
			{PerEndpoint: true, MaxBatchSize: 1},
			{MaxBatchSize: 4},
			{PerEndpoint: true, MaxBatchSize: 3},
		},
		Tenants: []Tenant{
			{Quota: 0.5, QuotaRate: 30},
			{Quota: 0.3, QuotaRate: 10},
			{Quota: 0.2, QuotaRate: 4},
		},
	}
	for _, effect := range []Effect{Idempotent, IdempotentByKey, NonIdempotent} {
		for _, ordered := range []bool{false, true} {
			settings.Classes = append(settings.Classes, Class{
				LatencyObjective:  time.Duration(300+random.Intn(1500)) * ms,
				Deadline:          time.Duration(3000+random.Intn(9000)) * ms,
				Effect:            effect,
				KeyScopedToZone:   random.Intn(3) == 0,
				IdempotencyWindow: time.Duration(1500+random.Intn(3000)) * ms,
				Ordered:           ordered,
				PriorityWeight:    0.5 + random.Float64()*2,
				LateWeight:        0.3,
			})
		}
	}
	return settings
}

// newTraceSimulation returns a simulation of one of 1, 3, 40 or 300 senders, by the seed.
func newTraceSimulation(seed int64) *traceSimulation {
	random := rand.New(rand.NewSource(seed))
	senders := []int{1, 3, 40, 300}[seed%4]
	s := &traceSimulation{
		random:   random,
		settings: traceSettings(random, senders),
		seed:     uint64(seed) * 77,
		now:      time.Duration(seed) * time.Minute,
		attempts: map[MessageID]int{},
		pending:  map[MessageID]Message{},
		digest:   fnv.New64a(),
	}
	s.dispatcher = New(s.settings, s.seed)
	for id := EndpointID(0); id < 14; id++ {
		destination := DestinationID(id / 2)
		s.list = append(s.list, Endpoint{
			ID:          id,
			Destination: destination,
			Kind:        int(destination) % len(s.settings.Kinds),
			Zone:        random.Intn(3),
			Ready:       true,
			Rating:      float64(random.Intn(40)),
		})
	}
	return s
}

// hashLine adds a line to the digest.
func (s *traceSimulation) hashLine(format string, values ...any) {
	if _, err := fmt.Fprintf(s.digest, format+"\n", values...); err != nil {
		panic(err) // writing to a hash never fails
	}
}

// inOutage reports whether a destination is in an outage, in which most of its calls fail. Two of three
// destinations have an outage of 6 s in every 40 s, each at a different time.
func (s *traceSimulation) inOutage(destination DestinationID) bool {
	phase := (s.now + time.Duration(destination)*7*time.Second) % (40 * time.Second)
	return phase < 6*time.Second && destination%3 != 2
}

// outcome returns a random outcome of a call to an endpoint, and the time after which it is known (0 if there
// is no answer).
func (s *traceSimulation) outcome(endpoint EndpointID) (Outcome, time.Duration) {
	latency := time.Duration(20+s.random.ExpFloat64()*80) * ms
	roll := s.random.Intn(100)
	if s.inOutage(s.list[endpoint].Destination) {
		switch {
		case roll < 40:
			return TimedOut, 0
		case roll < 60:
			return Rejected, latency
		case roll < 75:
			return ConnectFailed, latency
		case roll < 85:
			return ConnectionBroken, latency
		case roll < 95:
			return Errored, latency
		}
	}
	switch {
	case roll < 2:
		return TimedOut, 0
	case roll < 4:
		return ConnectionBroken, latency / 20
	case roll < 6:
		return Errored, latency
	case roll < 9:
		return Rejected, latency
	case roll < 10:
		return NotSent, latency
	case roll < 11:
		return NotStarted, 0
	}
	return Served, latency
}

// message returns a new random message. Some are resumed, have a history, or have rules of their own.
func (s *traceSimulation) message() Message {
	s.lastID++
	m := Message{
		ID:          s.lastID,
		Class:       s.random.Intn(len(s.settings.Classes)),
		Tenant:      s.random.Intn(len(s.settings.Tenants)+1) - 1,
		Destination: DestinationID(s.random.Intn(8)),
	}
	m.Deadline = s.now + s.settings.Classes[m.Class].Deadline
	if s.random.Intn(2) == 0 {
		m.Key = uint64(1 + s.random.Intn(6))
	}
	switch s.random.Intn(12) {
	case 0:
		m.Resumed, m.PriorAttempts, m.MayHaveRun, m.FirstRunAt, m.FirstRunZone =
			true, 1, true, s.now-time.Second, 1
	case 1:
		m.Rules = &Rules{s.settings.Classes[s.random.Intn(len(s.settings.Classes))], 4}
	case 2:
		m.NotBefore, m.Resumed = s.now+200*ms, true
	}
	return m
}

// events returns the events of one step: random ones, and the results of the calls that have ended by now.
func (s *traceSimulation) events() []Event {
	var events []Event
	if s.now%time.Minute == 0 || s.random.Intn(300) == 0 {
		s.list[s.random.Intn(len(s.list))].Rating = float64(s.random.Intn(40))
		events = append(events, EndpointListUpdate{Full: true, Endpoints: append([]Endpoint(nil), s.list...)})
	}
	switch s.random.Intn(250) {
	case 0:
		i := s.random.Intn(len(s.list))
		s.list[i].Ready = !s.list[i].Ready
		events = append(events, EndpointListUpdate{Endpoints: []Endpoint{s.list[i]}})
	case 1:
		events = append(events, EndpointListUpdate{Failed: true})
	case 2:
		events = append(events, StorageStatus{Failing: s.random.Intn(2) == 0})
	case 3:
		events = append(events, EndpointListStale{Stale: s.random.Intn(2) == 0})
	case 4:
		events = append(events, RetryAfterReceived{
			Endpoint:   EndpointID(s.random.Intn(15)),
			RetryAfter: time.Duration(s.random.Intn(600)) * ms,
		})
	case 5:
		s.settings.MaxAttempts = 3 + s.random.Intn(4)
		s.settings.MaxConcurrentCalls = 6 + s.random.Intn(20)
		events = append(events, SettingsChanged{s.settings})
	case 6, 7, 8:
		events = append(events, StorageStatus{}, EndpointListStale{})
	case 9, 10:
		events = append(events, MessageCancelled{Message: MessageID(s.random.Intn(int(s.lastID) + 1))})
	}
	for n := s.random.Intn(3) * s.random.Intn(2); n > 0; n-- {
		m := s.message()
		s.pending[m.ID] = m
		events = append(events, m)
	}
	var remaining []traceCall
	for _, call := range s.calls {
		if call.endsAt > s.now {
			remaining = append(remaining, call)
			continue
		}
		result := AttemptResult{
			Message:  call.send.Message,
			Attempt:  call.attempt,
			Endpoint: call.send.Endpoint,
			Outcome:  call.outcome,
			Elapsed:  s.now - call.sentAt,
			Final:    call.outcome == Served,
		}
		if call.outcome == Rejected && s.random.Intn(2) == 0 {
			result.RetryAfter = time.Duration(s.random.Intn(3500)) * ms
		}
		if s.random.Intn(4) == 0 {
			result.HasLoadReport, result.QuotaLeft, result.RateLimit =
				true, s.random.Float64(), float64(s.random.Intn(50))
		}
		if call.outcome == ConnectionBroken {
			result.ConnectionIdle = time.Duration(s.random.Intn(3)) * time.Second
		}
		events = append(events, result)
	}
	s.calls = remaining
	if s.random.Intn(3) == 0 {
		events = append(events, TimerFired{})
	}
	return events
}

// carryOut adds actions to the digest and carries them out.
func (s *traceSimulation) carryOut(actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case Send:
			s.hashLine("send %d %d %d %d",
				action.Message, action.Endpoint, action.Timeout, action.StartWithin)
			outcome, latency := s.outcome(action.Endpoint)
			if outcome == TimedOut || latency > action.Timeout {
				outcome, latency = TimedOut, action.Timeout
			}
			s.calls = append(s.calls, traceCall{
				action, s.attempts[action.Message], s.now, s.now + latency, outcome,
			})
			s.attempts[action.Message]++
		case Reject:
			s.hashLine("reject %d %d", action.Message, action.RetryAfter)
		case Fail:
			s.hashLine("fail %d", action.Message)
		case Cancel:
			s.hashLine("cancel %d %d", action.Message, action.Attempt)
			for i := range s.calls {
				if c := &s.calls[i]; c.send.Message == action.Message && c.attempt == action.Attempt {
					c.endsAt, c.outcome = s.now, Cancelled
				}
			}
		case AbortUnsent:
			s.hashLine("abort unsent %d", action.Endpoint)
		case CloseIdle:
			s.hashLine("close idle %d", action.Endpoint)
		case SetTimer:
			s.hashLine("timer %d", action.At)
		case WatchEndpointList:
			s.hashLine("watch")
		case PersistOutages:
			for _, o := range action.Outages {
				s.hashLine("outage %d %d %v %v %v %d %d %v", o.Destination, o.Endpoint, o.PerEndpoint,
					o.Resolved, o.WarmingUp, o.Since, o.StartedAt, o.RateBefore)
			}
			s.outages = append(s.outages, action.Outages...)
		case Log:
			// Log lines are not part of the digest, as they may be reworded.
		default:
			s.hashLine("unknown %T", action)
		}
	}
}

// restart replaces the dispatcher as a restart of the process does, or as an upgrade does if handOver is set.
// In an upgrade the successor gets a snapshot and the calls in flight, otherwise only the persisted outages.
func (s *traceSimulation) restart(t *testing.T, handOver bool) {
	t.Helper()
	predecessor := s.dispatcher
	s.dispatcher = New(s.settings, s.seed+uint64(s.now))
	s.carryOut(s.dispatcher.Step(s.now, []Event{EndpointListUpdate{
		Full:      true,
		Endpoints: append([]Endpoint(nil), s.list...),
	}}))
	var inherited []traceCall
	if handOver {
		var encoded bytes.Buffer
		if err := gob.NewEncoder(&encoded).Encode(predecessor.Snapshot()); err != nil {
			t.Fatal(err)
		}
		var snapshot Snapshot
		if err := gob.NewDecoder(&encoded).Decode(&snapshot); err != nil {
			t.Fatal(err)
		}
		s.dispatcher.Restore(snapshot)
		inherited = s.calls
	} else {
		s.carryOut(s.dispatcher.Step(s.now, []Event{OutagesRestored{s.outages}}))
	}
	backoffs := predecessor.BackoffUntil()
	attempts := s.attempts
	s.calls, s.attempts = nil, map[MessageID]int{}
	var events []Event
	for id := MessageID(1); id <= s.lastID; id++ {
		m, isPending := s.pending[id]
		if !isPending || predecessor.messages[id] == nil || predecessor.messages[id].closed {
			delete(s.pending, id)
			continue
		}
		m.Resumed, m.NotBefore = true, backoffs[id]
		if count := attempts[id]; count > 0 {
			m.PriorAttempts, m.MayHaveRun = count, true
			m.FirstRunAt = max(m.FirstRunAt, s.now-time.Second)
		}
		for i, call := range inherited {
			if call.send.Message == id {
				m.InFlight = &InFlightAttempt{
					Endpoint: call.send.Endpoint,
					Call:     uint64(i),
					SentAt:   call.sentAt,
					Timeout:  call.send.Timeout,
				}
				call.attempt = 0
				m.PriorAttempts--
				s.calls = append(s.calls, call)
				s.attempts[id] = 1
				break
			}
		}
		events = append(events, m)
	}
	s.carryOut(s.dispatcher.Step(s.now, events))
}

// run makes all steps and returns the line of each block for the trace.
func (s *traceSimulation) run(t *testing.T) []string {
	t.Helper()
	var lines []string
	for step := range traceSteps {
		events := s.events()
		s.carryOut(s.dispatcher.Step(s.now, events))
		switch step % 1000 {
		case 700:
			s.restart(t, true)
		case 950:
			s.restart(t, false)
		}
		s.hashLine("avoided %d", s.dispatcher.EjectedEndpoints())
		if step%traceBlock == traceBlock-1 {
			lines = append(lines, fmt.Sprintf("%d %d %016x", step+1, s.lastID, s.digest.Sum64()))
		}
		s.now += time.Duration(1+s.random.Intn(40)) * ms
	}
	return lines
}

// Guards against unintended changes of decisions: a run must give the same digests as the recorded one.
func TestDecisionsEqualTheRecordedTraces(t *testing.T) {
	for seed := int64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			got := newTraceSimulation(seed).run(t)
			file := filepath.Join("testdata", "traces", fmt.Sprintf("seed-%d.txt", seed))
			if *recordTraces {
				var text bytes.Buffer
				for _, line := range got {
					fmt.Fprintln(&text, line)
				}
				if err := os.WriteFile(file, text.Bytes(), 0o600); err != nil {
					t.Fatal(err)
				}
				return
			}
			f, err := os.Open(file)
			if err != nil {
				t.Fatal(err)
			}
			defer f.Close()
			n := 0
			for lines := bufio.NewScanner(f); lines.Scan(); n++ {
				if n >= len(got) || lines.Text() != got[n] {
					t.Fatalf("block %d: the trace has %q, this run gives %q",
						n, lines.Text(), got[min(n, len(got)-1)])
				}
			}
			if n != len(got) {
				t.Errorf("the trace has %d blocks, this run gives %d", n, len(got))
			}
		})
	}
}
