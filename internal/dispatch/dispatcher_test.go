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

// Rule 1: a timer that fired 64 ns early, by the caller's rounding, was taken for one still to fire, and a message
// then passed its deadline without an end.
func TestTimerThatFiresEarlyIsSetAgain(t *testing.T) {
	r := newRig(t, testSettings())
	a := r.message(0, 9, 0)
	r.step(a)
	for i := 0; i < 100 && !r.failed[a.ID]; i++ {
		set := r.dispatcher.timerAt
		r.now = set - 64*time.Nanosecond
		acts := r.dispatcher.Step(r.now, []Event{TimerFired{}})
		for _, x := range acts {
			if f, ok := x.(Fail); ok {
				r.failed[f.Message] = true
			}
		}
		if !r.failed[a.ID] && r.dispatcher.timerAt <= set {
			t.Fatal("no timer was set again")
		}
	}
	if !r.failed[a.ID] || r.now >= a.Deadline {
		t.Fatal("the message did not end in time")
	}
}

// A random run with odd events: the same events give the same actions, and no message ends twice.
func TestSameEventsGiveSameActionsAndOneEndEach(t *testing.T) {
	play := func() (all []Action) {
		rnd := rand.New(rand.NewSource(3))
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
		type out struct {
			Send
			try int
		}
		var open []out
		tries, over := map[MessageID]int{}, map[MessageID]bool{}
		for id := MessageID(1); id < 3000; id++ {
			events = append(events, Message{ID: id, Class: rnd.Intn(4), Destination: DestinationID(rnd.Intn(4)),
				Key: uint64(rnd.Intn(3)), Deadline: now + 20*time.Second})
			for len(open) > 0 && rnd.Intn(3) > 0 {
				i := rnd.Intn(len(open))
				o := Outcome(rnd.Intn(8))
				events = append(events, AttemptResult{
					Message:  open[i].Message,
					Attempt:  open[i].try,
					Endpoint: open[i].Endpoint,
					Outcome:  o,
					Elapsed:  50 * ms,
					Final:    o == Served || over[open[i].Message],
				})
				over[open[i].Message] = over[open[i].Message] || o == Served
				open = append(open[:i], open[i+1:]...)
			}
			if rnd.Intn(50) == 0 {
				events = append(events,
					MessageCancelled{Message: MessageID(rnd.Intn(int(id)) + 1)},
					AttemptResult{Message: 1 << 40},
					EndpointListUpdate{Endpoints: []Endpoint{{
						ID:          EndpointID(rnd.Intn(8)),
						Destination: 1,
						Ready:       rnd.Intn(2) == 0,
					}}})
			}
			acts := d.Step(now, events)
			events = nil
			for _, a := range acts {
				switch a := a.(type) {
				case Send:
					if over[a.Message] {
						t.Fatalf("sent %d after its end", a.Message)
					}
					open = append(open, out{a, tries[a.Message]})
					tries[a.Message]++
				case Fail:
					if over[a.Message] {
						t.Fatalf("second end of %d", a.Message)
					}
					over[a.Message] = true
				}
			}
			all = append(all, acts...)
			now += time.Duration(rnd.Intn(60)) * ms
		}
		return all
	}
	if first, second := play(), play(); !reflect.DeepEqual(first, second) {
		t.Fatal("the same events gave other actions")
	}
}

// The package's files stay small and their lines readable.
func TestLineLimits(t *testing.T) {
	const mostLines, mostCharacters = 400, 110
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
		for i, l := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(l) != "" {
				lines++
			}
			if n := len([]rune(strings.ReplaceAll(l, "\t", "    "))); n > mostCharacters {
				t.Errorf("%s:%d has %d characters", file, i+1, n)
			}
		}
		if lines > mostLines {
			t.Errorf("%s has %d lines, %d at most", file, lines, mostLines)
		}
	}
}

// Dispatchers share nothing: two that run in turn act as each does alone.
func TestDispatchersShareNothing(t *testing.T) {
	play := func(dispatchers ...*Dispatcher) (all [][]Action) {
		all = make([][]Action, len(dispatchers))
		for i := range 200 {
			now := time.Duration(i) * 50 * ms
			for k, d := range dispatchers {
				var events []Event
				if i == 0 {
					events = append(events, EndpointListUpdate{Full: true, Endpoints: []Endpoint{{ID: 1, Ready: true}}})
				}
				events = append(events, Message{ID: MessageID(i), Class: i % 3, Deadline: now + 20*time.Second})
				for _, m := range d.messages {
					if n := len(m.attempts); n > 0 && m.inFlight > 0 && i%2 == k%2 {
						events = append(events, AttemptResult{Message: m.ID, Attempt: n - 1, Outcome: Served,
							Elapsed: 50 * ms, Final: true})
						break
					}
				}
				all[k] = append(all[k], d.Step(now, events)...)
			}
		}
		return all
	}
	one := func() *Dispatcher {
		s := testSettings()
		s.MaxConcurrentCalls = 1 // one call in flight: one event to choose
		return New(s, 5)
	}
	if both, alone := play(one(), one()), play(one()); !reflect.DeepEqual(both[0], alone[0]) {
		t.Fatal("a second dispatcher changed what the first does")
	}
}

// The contract of Step: time never goes back, and actions come in the order in which they are to be carried out.
func TestStepTakesTimeAsMonotonicAndOrdersActions(t *testing.T) {
	r := newRig(t, testSettings())
	r.serve(10, 0, 20*ms)
	late := r.dispatcher.now
	r.now -= time.Hour
	m := r.message(0, 0, 0)
	m.Deadline = late + 10*time.Second
	if s := r.step(m); len(s) != 1 || s[0].Timeout > 10*time.Second || r.dispatcher.now != late {
		t.Fatalf("a batch dated back: %+v, now %v after %v", s, r.dispatcher.now, late)
	}
	acts := r.dispatcher.Step(late, []Event{r.message(0, 1, 0), r.message(0, 2, 0)})
	for i, a := range acts {
		if _, ok := a.(SetTimer); ok && i != len(acts)-1 {
			t.Fatalf("the timer is not last: %+v", acts)
		}
	}
	if d := New(testSettings(), 1); len(d.Step(-time.Hour, []Event{TimerFired{}})) != 0 {
		t.Fatal("a clock that starts below zero")
	}
}

// Events that make no sense: no panic, no message lost, one lawful end each.
func TestInvalidEventsAreHandled(t *testing.T) {
	bad := math.NaN()
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
				{ID: 1, Rating: bad, Ready: true},
				{ID: 2, Rating: math.Inf(1), Ready: true},
				{ID: 3, Rating: -1, Ready: true},
			}},
			Message{ID: 1, Deadline: time.Hour + time.Second},
		},
		"unknown attempt": {Message{
			ID:       1,
			Deadline: time.Hour + time.Second,
		}, AttemptResult{Message: 1, Attempt: 4}, AttemptResult{Message: 1, Attempt: -4}, AttemptResult{Message: 44}},
		"report out of range": {
			Message{ID: 1, Deadline: time.Hour + time.Second},
			AttemptResult{
				Message:       1,
				Outcome:       Served,
				Elapsed:       -time.Hour,
				HasLoadReport: true,
				QuotaLeft:     bad,
				RateLimit:     math.Inf(1),
				Final:         true,
			},
		},
		"limit of nothing": {Message{
			ID:       1,
			Deadline: time.Hour + time.Second,
		}, AttemptResult{
			Message:       1,
			Outcome:       Rejected,
			RetryAfter:    -time.Hour,
			HasLoadReport: true,
			QuotaLeft:     -1,
			RateLimit:     bad,
		}},
	} {
		s := testSettings()
		s.RatingIsRateLimit, s.ZoneFees = true, []float64{0.1}
		s.Tenants = []Tenant{{Quota: 1, QuotaRate: 10}}
		r := newRig(t, s)
		r.step(events...)
		sent := len(r.sends)
		for range 30 { // the time jumps, too
			r.now += 100 * ms
			r.step(TimerFired{})
		}
		r.now += 5 * time.Hour
		for _, x := range r.sends[sent:] {
			r.step(r.end(x, TimedOut))
		}
		for _, x := range r.sends[:sent] {
			r.step(r.end(x, TimedOut))
		}
		r.step(TimerFired{})
		over := name == "report out of range" || r.failed[1] || r.rejected[1]
		if !over || len(r.dispatcher.pending) != 0 {
			t.Errorf("%s: failed %v, rejected %v, %d pending",
				name, r.failed[1], r.rejected[1], len(r.dispatcher.pending))
		}
	}
}

// Settings that make no sense: the actions stay lawful and nothing panics.
func TestInvalidSettingsAreHandled(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"nothing stated": func(s *Settings) { *s = Settings{} },
		"no slots":       func(s *Settings) { s.MaxConcurrentCalls = 0 },
		"negative": func(s *Settings) {
			s.MaxConcurrentCalls, s.Senders, s.MaxPendingMessages, s.MaxAttempts = -1, -1, -1, -1
		},
		"no deadlines": func(s *Settings) { s.Classes = []Class{{}, {}, {}, {}} },
		"no kinds":     func(s *Settings) { s.Kinds = nil },
		"no rules": func(s *Settings) {
			s.SlowStartDuration, s.OverloadWindow, s.CollapseLoadFactor, s.SlowStartCapacity = 0, 0, 0, 0
		},
	} {
		s := testSettings()
		change(&s)
		r := newRig(t, s)
		for i := range 5 {
			for _, x := range r.step(r.message(i%4, 0, 0)) {
				r.now += 50 * ms
				r.step(r.end(x, Outcome(i)))
			}
		}
		for range 30 {
			r.now += time.Second
			r.step(TimerFired{})
			for id := range r.dispatcher.messages {
				if m := r.dispatcher.messages[id]; r.now >= m.Deadline && m.inFlight > 0 {
					r.step(AttemptResult{Message: id, Attempt: len(m.attempts) - 1, Outcome: TimedOut})
				}
			}
		}
		if len(r.dispatcher.pending) != 0 {
			t.Errorf("%s: %d messages without an end", name, len(r.dispatcher.pending))
		}
	}
}
