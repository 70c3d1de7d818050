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

// The decisions are pinned: the same events and seed give the same actions. The traces under testdata/traces were
// recorded with the release of commit 5d1fee9 and hold a digest of all events and actions for every traceBlock
// steps. A change that is meant to alter decisions records them anew, with -record-traces, and says so.

var recordTraces = flag.Bool("record-traces", false, "write testdata/traces instead of comparing with it")

const (
	traceSteps = 4000
	traceBlock = 50
)

// traceWorld drives one module with made-up events and answers its calls. All of it follows from the seed.
type traceWorld struct {
	random   *rand.Rand
	module   *Dispatcher
	settings Settings
	seed     uint64
	now      time.Duration
	next     MessageID
	list     []Endpoint
	calls    []traceCall
	sent     map[MessageID]int
	outages  []Outage
	pending  map[MessageID]Message
	digest   interface {
		Write([]byte) (int, error)
		Sum64() uint64
	}
}

type traceCall struct {
	send    Send
	attempt int
	sent    time.Duration
	ends    time.Duration
	outcome Outcome
}

func traceSettings(random *rand.Rand, senders int) Settings {
	s := Settings{
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
		Tenants: []Tenant{{Quota: 0.5, QuotaRate: 30}, {Quota: 0.3, QuotaRate: 10}, {Quota: 0.2, QuotaRate: 4}},
	}
	for _, effect := range []Effect{Idempotent, IdempotentByKey, NonIdempotent} {
		for _, ordered := range []bool{false, true} {
			s.Classes = append(s.Classes, Class{
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
	return s
}

func newTraceWorld(seed int64) *traceWorld {
	random := rand.New(rand.NewSource(seed))
	senders := []int{1, 3, 40, 300}[seed%4]
	w := &traceWorld{
		random:   random,
		settings: traceSettings(random, senders),
		seed:     uint64(seed) * 77,
		now:      time.Duration(seed) * time.Minute,
		sent:     map[MessageID]int{},
		pending:  map[MessageID]Message{},
		digest:   fnv.New64a(),
	}
	w.module = New(w.settings, w.seed)
	for id := EndpointID(0); id < 14; id++ {
		destination := DestinationID(id / 2)
		w.list = append(w.list, Endpoint{
			ID:          id,
			Destination: destination,
			Kind:        int(destination) % len(w.settings.Kinds),
			Zone:        random.Intn(3),
			Ready:       true,
			Rating:      float64(random.Intn(40)),
		})
	}
	return w
}

func (w *traceWorld) note(format string, values ...any) {
	if _, err := fmt.Fprintf(w.digest, format+"\n", values...); err != nil {
		panic(err) // a hash never fails
	}
}

// failing reports whether a destination is in an outage: most have outages of some seconds, one after another.
func (w *traceWorld) failing(destination DestinationID) bool {
	phase := (w.now + time.Duration(destination)*7*time.Second) % (40 * time.Second)
	return phase < 6*time.Second && destination%3 != 2
}

func (w *traceWorld) outcome(e EndpointID) (Outcome, time.Duration) {
	latency := time.Duration(20+w.random.ExpFloat64()*80) * ms
	roll := w.random.Intn(100)
	if w.failing(w.list[e].Destination) {
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

func (w *traceWorld) message() Message {
	w.next++
	m := Message{
		ID:          w.next,
		Class:       w.random.Intn(len(w.settings.Classes)),
		Tenant:      w.random.Intn(len(w.settings.Tenants)+1) - 1,
		Destination: DestinationID(w.random.Intn(8)),
	}
	m.Deadline = w.now + w.settings.Classes[m.Class].Deadline
	if w.random.Intn(2) == 0 {
		m.Key = uint64(1 + w.random.Intn(6))
	}
	switch w.random.Intn(12) {
	case 0:
		m.Resumed, m.PriorAttempts, m.MayHaveRun, m.FirstRunAt, m.FirstRunZone = true, 1, true, w.now-time.Second, 1
	case 1:
		m.Rules = &Rules{w.settings.Classes[w.random.Intn(len(w.settings.Classes))], 4}
	case 2:
		m.NotBefore, m.Resumed = w.now+200*ms, true
	}
	return m
}

func (w *traceWorld) events() []Event {
	var events []Event
	if w.now%time.Minute == 0 || w.random.Intn(300) == 0 {
		w.list[w.random.Intn(len(w.list))].Rating = float64(w.random.Intn(40))
		events = append(events, EndpointListUpdate{Full: true, Endpoints: append([]Endpoint(nil), w.list...)})
	}
	switch w.random.Intn(250) {
	case 0:
		i := w.random.Intn(len(w.list))
		w.list[i].Ready = !w.list[i].Ready
		events = append(events, EndpointListUpdate{Endpoints: []Endpoint{w.list[i]}})
	case 1:
		events = append(events, EndpointListUpdate{Failed: true})
	case 2:
		events = append(events, StorageStatus{Failing: w.random.Intn(2) == 0})
	case 3:
		events = append(events, EndpointListStale{Stale: w.random.Intn(2) == 0})
	case 4:
		events = append(events, RetryAfterReceived{
			Endpoint:   EndpointID(w.random.Intn(15)),
			RetryAfter: time.Duration(w.random.Intn(600)) * ms,
		})
	case 5:
		w.settings.MaxAttempts = 3 + w.random.Intn(4)
		w.settings.MaxConcurrentCalls = 6 + w.random.Intn(20)
		events = append(events, SettingsChanged{w.settings})
	case 6, 7, 8:
		events = append(events, StorageStatus{}, EndpointListStale{})
	case 9, 10:
		events = append(events, MessageCancelled{Message: MessageID(w.random.Intn(int(w.next) + 1))})
	}
	for n := w.random.Intn(3) * w.random.Intn(2); n > 0; n-- {
		m := w.message()
		w.pending[m.ID] = m
		events = append(events, m)
	}
	var left []traceCall
	for _, c := range w.calls {
		if c.ends > w.now {
			left = append(left, c)
			continue
		}
		end := AttemptResult{Message: c.send.Message, Attempt: c.attempt, Endpoint: c.send.Endpoint, Outcome: c.outcome,
			Elapsed: w.now - c.sent, Final: c.outcome == Served}
		if c.outcome == Rejected && w.random.Intn(2) == 0 {
			end.RetryAfter = time.Duration(w.random.Intn(3500)) * ms
		}
		if w.random.Intn(4) == 0 {
			end.HasLoadReport, end.QuotaLeft, end.RateLimit = true, w.random.Float64(), float64(w.random.Intn(50))
		}
		if c.outcome == ConnectionBroken {
			end.ConnectionIdle = time.Duration(w.random.Intn(3)) * time.Second
		}
		events = append(events, end)
	}
	w.calls = left
	if w.random.Intn(3) == 0 {
		events = append(events, TimerFired{})
	}
	return events
}

func (w *traceWorld) carryOut(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			w.note("send %d %d %d %d", a.Message, a.Endpoint, a.Timeout, a.StartWithin)
			outcome, latency := w.outcome(a.Endpoint)
			if outcome == TimedOut || latency > a.Timeout {
				outcome, latency = TimedOut, a.Timeout
			}
			w.calls = append(w.calls, traceCall{a, w.sent[a.Message], w.now, w.now + latency, outcome})
			w.sent[a.Message]++
		case Reject:
			w.note("reject %d %d", a.Message, a.RetryAfter)
		case Fail:
			w.note("fail %d", a.Message)
		case Cancel:
			w.note("cancel %d %d", a.Message, a.Attempt)
			for i := range w.calls {
				if c := &w.calls[i]; c.send.Message == a.Message && c.attempt == a.Attempt {
					c.ends, c.outcome = w.now, Cancelled
				}
			}
		case AbortUnsent:
			w.note("abort unsent %d", a.Endpoint)
		case CloseIdle:
			w.note("close idle %d", a.Endpoint)
		case SetTimer:
			w.note("timer %d", a.At)
		case WatchEndpointList:
			w.note("watch")
		case PersistOutages:
			for _, o := range a.Outages {
				w.note("outage %d %d %v %v %v %d %d %v", o.Destination, o.Endpoint, o.PerEndpoint,
					o.Resolved, o.WarmingUp, o.Since, o.StartedAt, o.RateBefore)
			}
			w.outages = append(w.outages, a.Outages...)
		case Log:
			// Log lines are for people and may be reworded.
		default:
			w.note("unknown %T", a)
		}
	}
}

// restart replaces the module as a restart of the process does, or with handOver as an upgrade does.
func (w *traceWorld) restart(t *testing.T, handOver bool) {
	t.Helper()
	before := w.module
	w.module = New(w.settings, w.seed+uint64(w.now))
	w.carryOut(w.module.Step(w.now, []Event{EndpointListUpdate{
		Full:      true,
		Endpoints: append([]Endpoint(nil), w.list...),
	}}))
	var out []traceCall
	if handOver {
		var wire bytes.Buffer
		if err := gob.NewEncoder(&wire).Encode(before.Snapshot()); err != nil {
			t.Fatal(err)
		}
		var m Snapshot
		if err := gob.NewDecoder(&wire).Decode(&m); err != nil {
			t.Fatal(err)
		}
		w.module.Restore(m)
		out = w.calls
	} else {
		w.carryOut(w.module.Step(w.now, []Event{OutagesRestored{w.outages}}))
	}
	backoffs := before.BackoffUntil()
	attempts := w.sent
	w.calls, w.sent = nil, map[MessageID]int{}
	var events []Event
	for id := MessageID(1); id <= w.next; id++ {
		m, isPending := w.pending[id]
		if !isPending || before.messages[id] == nil || before.messages[id].closed {
			delete(w.pending, id)
			continue
		}
		m.Resumed, m.NotBefore = true, backoffs[id]
		if made := attempts[id]; made > 0 {
			m.PriorAttempts, m.MayHaveRun = made, true
			m.FirstRunAt = max(m.FirstRunAt, w.now-time.Second)
		}
		for i, c := range out {
			if c.send.Message == id {
				m.InFlight = &InFlightAttempt{
					Endpoint: c.send.Endpoint,
					Call:     uint64(i),
					SentAt:   c.sent,
					Timeout:  c.send.Timeout,
				}
				c.attempt = 0
				m.PriorAttempts--
				w.calls = append(w.calls, c)
				w.sent[id] = 1
				break
			}
		}
		events = append(events, m)
	}
	w.carryOut(w.module.Step(w.now, events))
}

// run plays the world and returns the digest of each block of steps.
func (w *traceWorld) run(t *testing.T) []string {
	t.Helper()
	var lines []string
	for step := range traceSteps {
		events := w.events()
		w.carryOut(w.module.Step(w.now, events))
		switch step % 1000 {
		case 700:
			w.restart(t, true)
		case 950:
			w.restart(t, false)
		}
		w.note("avoided %d", w.module.EjectedEndpoints())
		if step%traceBlock == traceBlock-1 {
			lines = append(lines, fmt.Sprintf("%d %d %016x", step+1, w.next, w.digest.Sum64()))
		}
		w.now += time.Duration(1+w.random.Intn(40)) * ms
	}
	return lines
}

func TestDecisionsEqualTheRecordedTraces(t *testing.T) {
	for seed := int64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			got := newTraceWorld(seed).run(t)
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
					t.Fatalf("block %d: recorded %q, now %q", n, lines.Text(), got[min(n, len(got)-1)])
				}
			}
			if n != len(got) {
				t.Errorf("%d blocks are recorded, now %d", n, len(got))
			}
		})
	}
}
