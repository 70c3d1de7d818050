package dispatch

import (
	"math"
	"math/rand"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

// Guards against a message passing its deadline without an end after a timer that fires early. The caller's
// rounding may make it fire 64 ns early; if the timer then still counts as set, no other one is requested.
func TestTimerThatFiresEarlyIsSetAgain(t *testing.T) {
	h := newHarness(t, testSettings())
	m := h.newMessage(0, 9, 0)
	h.step(m)
	for i := 0; i < 100 && !h.failed[m.ID]; i++ {
		firesAt := h.dispatcher.timerAt
		h.now = firesAt - 64*time.Nanosecond
		actions := h.dispatcher.Step(h.now, []Event{TimerFired{}})
		for _, action := range actions {
			if fail, ok := action.(Fail); ok {
				h.failed[fail.Message] = true
			}
		}
		if !h.failed[m.ID] && h.dispatcher.timerAt <= firesAt {
			t.Fatal("no new timer was requested after one fired 64 ns early")
		}
	}
	if !h.failed[m.ID] || h.now >= m.Deadline {
		t.Fatal("the message was not failed before its deadline")
	}
}

// A run of random events, some of them for unknown messages and endpoints: the same events must give the same
// actions, and no message may end twice or be sent after its end.
func TestSameEventsGiveSameActionsAndEachMessageEndsOnce(t *testing.T) {
	run := func() (all []Action) {
		random := rand.New(rand.NewSource(3))
		d := New(testSettings(), 11)
		now := time.Duration(0)
		var endpoints []Endpoint
		for i := range 6 {
			endpoints = append(endpoints, Endpoint{
				ID:          EndpointID(i),
				Destination: DestinationID(i / 2),
				Kind:        i / 4,
				Ready:       true,
			})
		}
		events := []Event{EndpointListUpdate{Full: true, Endpoints: endpoints}}
		type sentAttempt struct {
			Send
			attempt int
		}
		var inFlight []sentAttempt
		attempts, ended := map[MessageID]int{}, map[MessageID]bool{}
		for id := MessageID(1); id < 3000; id++ {
			events = append(events, Message{
				ID:          id,
				Class:       random.Intn(4),
				Destination: DestinationID(random.Intn(4)),
				Key:         uint64(random.Intn(3)),
				Deadline:    now + 20*time.Second,
			})
			for len(inFlight) > 0 && random.Intn(3) > 0 {
				i := random.Intn(len(inFlight))
				outcome := Outcome(random.Intn(8))
				events = append(events, AttemptResult{
					Message:  inFlight[i].Message,
					Attempt:  inFlight[i].attempt,
					Endpoint: inFlight[i].Endpoint,
					Outcome:  outcome,
					Elapsed:  50 * ms,
					Final:    outcome == Served || ended[inFlight[i].Message],
				})
				ended[inFlight[i].Message] = ended[inFlight[i].Message] || outcome == Served
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
			}
			if random.Intn(50) == 0 {
				events = append(events,
					MessageCancelled{Message: MessageID(random.Intn(int(id)) + 1)},
					AttemptResult{Message: 1 << 40},
					EndpointListUpdate{Endpoints: []Endpoint{{
						ID:          EndpointID(random.Intn(8)),
						Destination: 1,
						Ready:       random.Intn(2) == 0,
					}}})
			}
			actions := d.Step(now, events)
			events = nil
			for _, a := range actions {
				switch a := a.(type) {
				case Send:
					if ended[a.Message] {
						t.Fatalf("message %d was sent after its end", a.Message)
					}
					inFlight = append(inFlight, sentAttempt{a, attempts[a.Message]})
					attempts[a.Message]++
				case Fail:
					if ended[a.Message] {
						t.Fatalf("message %d ended twice", a.Message)
					}
					ended[a.Message] = true
				}
			}
			all = append(all, actions...)
			now += time.Duration(random.Intn(60)) * ms
		}
		return all
	}
	if first, second := run(), run(); !reflect.DeepEqual(first, second) {
		t.Fatal("the same events gave different actions in a second run")
	}
}

// The package's files must stay short, and their lines short enough to read.
func TestLineLimits(t *testing.T) {
	const maxLines, maxColumns = 400, 110
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		lines := 0
		for i, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				lines++
			}
			if columns := len([]rune(strings.ReplaceAll(line, "\t", "    "))); columns > maxColumns {
				t.Errorf("%s:%d has %d columns", file, i+1, columns)
			}
		}
		if lines > maxLines {
			t.Errorf("%s has %d lines that are not blank, %d at most", file, lines, maxLines)
		}
	}
}

// Dispatchers must share no state: one that takes turns with another must act as it does alone.
func TestDispatchersShareNoState(t *testing.T) {
	run := func(dispatchers ...*Dispatcher) (all [][]Action) {
		all = make([][]Action, len(dispatchers))
		for i := range 200 {
			now := time.Duration(i) * 50 * ms
			for index, d := range dispatchers {
				var events []Event
				if i == 0 {
					events = append(events, EndpointListUpdate{
						Full:      true,
						Endpoints: []Endpoint{{ID: 1, Ready: true}},
					})
				}
				events = append(events, Message{
					ID:       MessageID(i),
					Class:    i % 3,
					Deadline: now + 20*time.Second,
				})
				for _, m := range d.messages {
					if n := len(m.attempts); n > 0 && m.inFlight > 0 && i%2 == index%2 {
						events = append(events, AttemptResult{Message: m.ID, Attempt: n - 1, Outcome: Served,
							Elapsed: 50 * ms, Final: true})
						break
					}
				}
				all[index] = append(all[index], d.Step(now, events)...)
			}
		}
		return all
	}
	create := func() *Dispatcher {
		s := testSettings()
		s.MaxConcurrentCalls = 1 // with one call in flight its result does not depend on map order
		return New(s, 5)
	}
	if both, alone := run(create(), create()), run(create()); !reflect.DeepEqual(both[0], alone[0]) {
		t.Fatal("the first dispatcher acts differently beside a second one")
	}
}

// Step must not let time go back, and must return its actions in the order in which they are to be carried
// out: a timer is set last. The clock may also start below zero.
func TestStepKeepsTimeMonotonicAndSetsTheTimerLast(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(10, 0, 20*ms)
	lastStepAt := h.dispatcher.now
	h.now -= time.Hour
	m := h.newMessage(0, 0, 0)
	m.Deadline = lastStepAt + 10*time.Second
	if sends := h.step(m); len(sends) != 1 || sends[0].Timeout > 10*time.Second ||
		h.dispatcher.now != lastStepAt {
		t.Fatalf("a step dated an hour back sent %+v, its time is %v, that of the step before %v",
			sends, h.dispatcher.now, lastStepAt)
	}
	actions := h.dispatcher.Step(lastStepAt, []Event{h.newMessage(0, 1, 0), h.newMessage(0, 2, 0)})
	for i, a := range actions {
		if _, ok := a.(SetTimer); ok && i != len(actions)-1 {
			t.Fatalf("the timer is not set last: %+v", actions)
		}
	}
	if d := New(testSettings(), 1); len(d.Step(-time.Hour, []Event{TimerFired{}})) != 0 {
		t.Fatal("a first step at a negative time returned actions")
	}
}

// Invalid events must not cause a panic, and each message must still end.
func TestInvalidEventsAreHandled(t *testing.T) {
	notANumber := math.NaN()
	for name, events := range map[string][]Event{
		"unknown class":    {Message{ID: 1, Class: 9, Deadline: time.Hour + time.Second}},
		"negative class":   {Message{ID: 1, Class: -1, Deadline: time.Hour + time.Second}},
		"unknown tenant":   {Message{ID: 1, Tenant: 7, Deadline: time.Hour + time.Second}},
		"negative tenant":  {Message{ID: 1, Tenant: -7, Deadline: time.Hour + time.Second}},
		"no endpoint":      {Message{ID: 1, Destination: 900, Deadline: time.Hour + time.Second}},
		"deadline in past": {Message{ID: 1, Deadline: time.Second}},
		"kind out of range": {EndpointListUpdate{Endpoints: []Endpoint{
			{ID: 1, Kind: -3, Zone: -1, Ready: true},
			{ID: 2, Kind: 99, Zone: 99, Ready: true},
		}}, Message{ID: 1, Deadline: time.Hour + time.Second}},
		"rating not a number": {
			EndpointListUpdate{Endpoints: []Endpoint{
				{ID: 1, Rating: notANumber, Ready: true},
				{ID: 2, Rating: math.Inf(1), Ready: true},
				{ID: 3, Rating: -1, Ready: true},
			}},
			Message{ID: 1, Deadline: time.Hour + time.Second},
		},
		"unknown attempt": {
			Message{ID: 1, Deadline: time.Hour + time.Second},
			AttemptResult{Message: 1, Attempt: 4},
			AttemptResult{Message: 1, Attempt: -4},
			AttemptResult{Message: 44},
		},
		"report out of range": {
			Message{ID: 1, Deadline: time.Hour + time.Second},
			AttemptResult{
				Message:       1,
				Outcome:       Served,
				Elapsed:       -time.Hour,
				HasLoadReport: true,
				QuotaLeft:     notANumber,
				RateLimit:     math.Inf(1),
				Final:         true,
			},
		},
		"limits out of range": {
			Message{ID: 1, Deadline: time.Hour + time.Second},
			AttemptResult{
				Message:       1,
				Outcome:       Rejected,
				RetryAfter:    -time.Hour,
				HasLoadReport: true,
				QuotaLeft:     -1,
				RateLimit:     notANumber,
			},
		},
	} {
		settings := testSettings()
		settings.RatingIsRateLimit, settings.ZoneFees = true, []float64{0.1}
		settings.Tenants = []Tenant{{Quota: 1, QuotaRate: 10}}
		h := newHarness(t, settings)
		h.step(events...)
		sentBefore := len(h.sends)
		for range 30 { // before the clock jumps by hours
			h.now += 100 * ms
			h.step(TimerFired{})
		}
		h.now += 5 * time.Hour
		for _, send := range h.sends[sentBefore:] {
			h.step(h.newResult(send, TimedOut))
		}
		for _, send := range h.sends[:sentBefore] {
			h.step(h.newResult(send, TimedOut))
		}
		h.step(TimerFired{})
		hasEnded := name == "report out of range" || h.failed[1] || h.rejected[1]
		if !hasEnded || len(h.dispatcher.pending) != 0 {
			t.Errorf("%s: message failed: %v, rejected: %v; %d messages pending",
				name, h.failed[1], h.rejected[1], len(h.dispatcher.pending))
		}
	}
}

// Invalid settings must not cause a panic, and each message must still end.
func TestInvalidSettingsAreHandled(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"empty":    func(s *Settings) { *s = Settings{} },
		"no slots": func(s *Settings) { s.MaxConcurrentCalls = 0 },
		"negative": func(s *Settings) {
			s.MaxConcurrentCalls, s.Senders, s.MaxPendingMessages, s.MaxAttempts = -1, -1, -1, -1
		},
		"no deadlines": func(s *Settings) { s.Classes = []Class{{}, {}, {}, {}} },
		"no kinds":     func(s *Settings) { s.Kinds = nil },
		"no outage settings": func(s *Settings) {
			s.SlowStartDuration, s.OverloadWindow, s.CollapseLoadFactor, s.SlowStartCapacity = 0, 0, 0, 0
		},
	} {
		s := testSettings()
		change(&s)
		h := newHarness(t, s)
		for i := range 5 {
			for _, send := range h.step(h.newMessage(i%4, 0, 0)) {
				h.now += 50 * ms
				h.step(h.newResult(send, Outcome(i)))
			}
		}
		for range 30 {
			h.now += time.Second
			h.step(TimerFired{})
			for id := range h.dispatcher.messages {
				if m := h.dispatcher.messages[id]; h.now >= m.Deadline && m.inFlight > 0 {
					h.step(AttemptResult{Message: id, Attempt: len(m.attempts) - 1, Outcome: TimedOut})
				}
			}
		}
		if len(h.dispatcher.pending) != 0 {
			t.Errorf("%s: %d messages have not ended", name, len(h.dispatcher.pending))
		}
	}
}
