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

const ms = time.Millisecond

// settings is a plain deployment: one destination kind, classes safe, keyed, unsafe and ordered.
func settings() Settings {
	return Settings{Senders: 2, MaxConcurrentCalls: 10, MaxPendingMessages: 100, MaxAttempts: 6, CanCancelAttempts: true, StepInterval: 5 * ms,
		OrderedKeySettleTime: 300 * ms, CollapseLoadFactor: 2, SlowStartCapacity: 0.2,
		OverloadWindow: 2 * time.Second, SlowStartDuration: 10 * time.Second, Kinds: []Kind{{MaxBatchSize: 1}, {PerEndpoint: true, MaxBatchSize: 3}},
		Classes: []Class{
			{LatencyObjective: 2 * time.Second, Deadline: 20 * time.Second, Effect: Idempotent, PriorityWeight: 1, LateWeight: 0.3},
			{LatencyObjective: 2 * time.Second, Deadline: 20 * time.Second, Effect: IdempotentByKey, IdempotencyWindow: 6 * time.Second, PriorityWeight: 1, LateWeight: 0.3},
			{LatencyObjective: 2 * time.Second, Deadline: 20 * time.Second, Effect: NonIdempotent, PriorityWeight: 1, LateWeight: 0.3},
			{LatencyObjective: 2 * time.Second, Deadline: 20 * time.Second, Effect: Idempotent, Ordered: true, PriorityWeight: 1, LateWeight: 0.3},
		}}
}

// rig drives one Dispatcher by hand and keeps what it did.
type rig struct {
	*testing.T
	dispatcher *Dispatcher
	now        time.Duration
	next       MessageID
	sends      []Send
	sentAt     map[MessageID]time.Duration
	tries      map[MessageID]int
	failed     map[MessageID]bool
	rejected   map[MessageID]bool
	cancels    int
}

func newRig(t *testing.T, s Settings) *rig {
	r := &rig{T: t, dispatcher: New(s, 7), now: time.Hour, sentAt: map[MessageID]time.Duration{}, tries: map[MessageID]int{},
		failed: map[MessageID]bool{}, rejected: map[MessageID]bool{}}
	r.step(EndpointListUpdate{Full: true, Endpoints: []Endpoint{{ID: 1, Ready: true}, {ID: 2, Destination: 1, Ready: true},
		{ID: 3, Destination: 2, Kind: 1, Ready: true}, {ID: 4, Destination: 2, Kind: 1, Ready: true}}})
	return r
}

func (r *rig) step(events ...Event) []Send {
	var sends []Send
	for _, a := range r.dispatcher.Step(r.now, events) {
		switch a := a.(type) {
		case Send:
			sends = append(sends, a)
			r.sentAt[a.Message] = r.now
			r.tries[a.Message]++
		case Fail:
			r.failed[a.Message] = true
		case Reject:
			r.rejected[a.Message] = true
		case Cancel:
			r.cancels++
		}
	}
	r.sends = append(r.sends, sends...)
	return sends
}

func (r *rig) message(class int, dest DestinationID, key uint64) Message {
	r.next++
	return Message{ID: r.next, Class: class, Destination: dest, Key: key, Deadline: r.now + 20*time.Second}
}

func (r *rig) end(s Send, o Outcome) AttemptResult {
	return AttemptResult{Message: s.Message, Attempt: r.tries[s.Message] - 1, Endpoint: s.Endpoint, Outcome: o,
		Elapsed: r.now - r.sentAt[s.Message], Final: o == Served}
}

// serve runs n messages through a destination, one at a time, each served after lat.
func (r *rig) serve(n int, dest DestinationID, lat time.Duration) {
	r.Helper()
	for range n {
		sends := r.step(r.message(0, dest, 0))
		r.now += lat
		for _, s := range sends {
			r.step(r.end(s, Served))
		}
		r.now += 20 * ms
	}
}

func TestOracleAgainstDirectComputation(t *testing.T) {
	rnd := rand.New(rand.NewSource(1))
	for round := range 20 {
		var o timeoutEstimator
		var times, weights []float64
		late, w := 0.0, 1.0
		for range 60 + rnd.Intn(200) {
			w *= agingFactor
			if rnd.Intn(12) == 0 {
				o.addUnanswered(explorationWeight)
				late += w * explorationWeight
				continue
			}
			d := time.Duration(math.Exp(rnd.NormFloat64()-1) * float64(time.Second))
			o.addSample(d, 1)
			times, weights = append(times, d.Seconds()), append(weights, w)
		}
		// Ê at each bound from the plain list of samples.
		all := late
		for _, x := range weights {
			all += x
		}
		ehat := func(k int) (e, inside, below float64) {
			bound, prev := float64(k+1)*0.06, float64(k)*0.06
			n, sum := 0.0, 0.0
			for i, x := range times {
				if x < bound {
					n += weights[i]
					sum += weights[i] * x
				}
				if x < prev {
					below += weights[i]
				}
			}
			if n == 0 {
				return math.Inf(1), 0, 0
			}
			f := n / all
			return sum/n/f + (1-f)/f*bound, n, below
		}
		least := math.Inf(1)
		for k := range bucketCount {
			e, _, _ := ehat(k)
			least = min(least, e)
		}
		longest, floor := 0.0, 0.0
		for k := range bucketCount {
			e, n, below := ehat(k)
			if n > below { // a bucket with samples
				if e <= least*nearOptimumFactor {
					longest = float64(k+1) * 0.06
				}
				if below < answeredShare*(all-late) {
					floor = float64(k+1) * 0.06 * answeredMargin
				}
			}
		}
		want := math.Min(math.Max(longest, floor), 60)
		if got := o.optimum().Seconds(); math.Abs(got-want) > 1e-6 {
			t.Fatalf("round %d: τ = %v s, directly %v s", round, got, want)
		}
	}
}

func TestOracleFirstTimeoutAndDoubling(t *testing.T) {
	var o timeoutEstimator
	if o.tau() != tauInitial {
		t.Fatalf("before any sample τ = %v", o.tau())
	}
	o.expire(time.Second, 5*time.Second)
	o.expire(time.Second, 5*time.Second) // was out at the doubling
	if o.tau() != 2*tauInitial {
		t.Fatalf("τ after an expiry = %v", o.tau())
	}
	for range 10 {
		o.expire(time.Hour, time.Hour)
	}
	if o.tau() != tauMax {
		t.Fatalf("τ is not held to its span: %v", o.tau())
	}
}

// With few samples the argmin lies under the next ordinary call; quiet days then timed out a fifth.
func TestFewSamplesDoNotCutTheTimeout(t *testing.T) {
	r := newRig(t, settings())
	r.serve(3, 0, 50*ms)
	sends := r.step(r.message(0, 0, 0))
	if len(sends) != 1 || sends[0].Timeout < tauInitial {
		t.Fatalf("after 3 quick calls: %+v", sends)
	}
}

func TestOnlyServedFirstAttemptsSample(t *testing.T) {
	r := newRig(t, settings())
	s := r.step(r.message(0, 0, 0))
	r.now += 100 * ms
	r.step(r.end(s[0], Rejected))
	r.now += time.Second
	s = r.step(TimerFired{})
	r.now += 100 * ms
	r.step(r.end(s[0], Served))
	if n := r.dispatcher.destinations[0].shared.estimator.samples; n != 0 {
		t.Fatalf("%d samples from a repeat", n)
	}
}

func TestWindow(t *testing.T) {
	r := newRig(t, settings())
	burst := func(n int) (out []Send) {
		var events []Event
		for range n {
			events = append(events, r.message(0, 0, 0))
		}
		return r.step(events...)
	}
	s := burst(20)
	if len(s) != 1 {
		t.Fatalf("the window starts at %d", len(s))
	}
	for i := 0; i < 30 && len(r.sends) < 20; i++ {
		r.now += 10 * ms
		var ends []Event
		for _, x := range s {
			ends = append(ends, r.end(x, Served))
		}
		s = r.step(ends...)
		if n := r.dispatcher.destinations[0].shared.window.inFlight; float64(n) >= destinationCallShare*10 {
			t.Fatalf("%d of 10 slots at one destination", n)
		}
	}
	route := r.dispatcher.destinations[0].shared
	before := route.window.size
	route.window.halve(r.now, r.dispatcher.now)
	route.window.halve(r.now-time.Second, r.dispatcher.now) // was out at the cut
	if route.window.size != math.Max(1, before/2) {
		t.Fatalf("window %v after one cut of %v", route.window.size, before)
	}
	route.window.size, route.breaker.failureRate = 9, 0.9
	if c := r.dispatcher.concurrencyLimit(route); float64(c) > destinationCallShare*10/2 {
		t.Fatalf("a failing destination keeps %d slots", c)
	}
}

// Rule 1: each message gets one answer, before its time is up, also with no endpoint and no reply.
func TestEveryMessageIsAnsweredInTime(t *testing.T) {
	r := newRig(t, settings())
	a, b := r.message(0, 9, 0), r.message(2, 0, 0)
	sends := r.step(a, b)
	if len(sends) != 1 || sends[0].Message != b.ID || sends[0].Timeout != 20*time.Second {
		t.Fatalf("an unsafe message waits its time left: %+v", sends)
	}
	deadline := r.now + 20*time.Second
	r.now = r.dispatcher.timerAt
	for !r.failed[a.ID] && r.now < deadline {
		r.step(TimerFired{})
		r.now = max(r.dispatcher.timerAt, r.now+ms)
	}
	if !r.failed[a.ID] {
		t.Fatal("a message with no endpoint was not failed in time")
	}
	r.now = deadline
	r.step(r.end(sends[0], TimedOut))
	if !r.failed[b.ID] || len(r.dispatcher.messages) != 0 || len(r.dispatcher.pending) != 0 {
		t.Fatalf("failed %v, still known %d", r.failed, len(r.dispatcher.messages))
	}
}

// Rule 1: an alarm that came 64 ns early, by the caller's rounding, was taken for one still to come, and a
// message then ran out of its time unanswered.
func TestAlarmThatComesEarlyIsSetAgain(t *testing.T) {
	r := newRig(t, settings())
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
			t.Fatal("no alarm was set again")
		}
	}
	if !r.failed[a.ID] || r.now >= a.Deadline {
		t.Fatal("the message was not answered in time")
	}
}

// Rule 2: an attempt that may have run is repeated only as its class allows.
func TestRepeats(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   int
		outcome Outcome
		after   time.Duration
		again   bool
	}{
		{"safe after an error", 0, Errored, time.Second, true},
		{"keyed in its window", 1, Errored, time.Second, true},
		{"keyed past its window", 1, Errored, 6 * time.Second, false},
		{"unsafe after an error", 2, Errored, time.Second, false},
		{"unsafe after a refusal", 2, Rejected, time.Second, true},
		{"unsafe without a connection", 2, ConnectFailed, time.Second, true},
		{"unsafe after a broken connection", 2, ConnectionBroken, time.Second, false},
	} {
		r := newRig(t, settings())
		m := r.message(c.class, 0, 0)
		s := r.step(m)
		r.now += c.after
		r.step(r.end(s[0], c.outcome))
		for range 40 {
			r.now += 50 * ms
			r.step(TimerFired{})
		}
		if again := r.tries[m.ID] > 1; again != c.again {
			t.Errorf("%s: repeated %v", c.name, again)
		}
		if !c.again && !r.failed[m.ID] || r.rejected[m.ID] {
			t.Errorf("%s: failed %v, refused %v", c.name, r.failed[m.ID], r.rejected[m.ID])
		}
	}
}

// Rule 3: nothing goes to an endpoint from the batch that names it draining.
func TestDrains(t *testing.T) {
	r := newRig(t, settings())
	if s := r.step(EndpointListUpdate{Endpoints: []Endpoint{{ID: 1}}}, r.message(0, 0, 0)); len(s) != 0 {
		t.Fatalf("sent to a draining endpoint: %+v", s)
	}
	if s := r.step(EndpointListUpdate{Full: true, Endpoints: []Endpoint{{ID: 1, Ready: true}}}); len(s) != 1 {
		t.Fatalf("not sent to the endpoint that is back: %+v", s)
	}
	if s := r.step(r.message(0, 1, 0)); len(s) != 0 {
		t.Fatalf("sent to an endpoint that the whole list lacks: %+v", s)
	}
}

// Rule 4: after an outage seen here the load stays within what a cold destination bears.
func TestReturningDestinationIsNotPushedOver(t *testing.T) {
	s := settings()
	r := newRig(t, s)
	r.serve(100, 0, 30*ms) // 20 a second, far more than later allowed
	route := r.dispatcher.destinations[0].shared
	usual := route.traffic.servedRate()
	up := false
	var at []time.Duration
	var open []Send
	outage := r.now
	returned := time.Duration(0)
	for r.now < outage+14*time.Second {
		r.now += 10 * ms
		up = r.now > outage+6*time.Second
		var events []Event
		for _, x := range open {
			o := ConnectFailed
			if up {
				o = Served
			}
			events = append(events, r.end(x, o))
		}
		if len(r.dispatcher.pending) < 60 {
			events = append(events, r.message(0, 0, 0))
		}
		open = r.step(append(events, TimerFired{})...)
		if up {
			if returned == 0 {
				returned = r.now
			}
			for range open {
				at = append(at, r.now)
			}
		}
	}
	if route.breaker.state == healthy || len(at) < 5 {
		t.Fatalf("state %v, %d calls after the return", route.breaker.state, len(at))
	}
	for i := range at {
		n, j := 0, i
		for ; j < len(at) && at[j] < at[i]+s.OverloadWindow; j++ {
			n++
		}
		share := s.SlowStartCapacity + (1-s.SlowStartCapacity)*(at[i]+s.OverloadWindow-returned).Seconds()/s.SlowStartDuration.Seconds()
		if bears := s.CollapseLoadFactor * share * usual * s.OverloadWindow.Seconds(); float64(n) > bears+1 {
			t.Fatalf("%d calls in %v from %v after the return, %.1f bearable", n, s.OverloadWindow, at[i]-returned, bears)
		}
	}
}

// Rule 5: a told wait closes the destination to all; a shared call may tell a later end with each outcome.
func TestWaits(t *testing.T) {
	r := newRig(t, settings())
	m1, m2 := r.message(0, 2, 0), r.message(0, 2, 0)
	s := r.step(m1, m2)
	if len(s) < 2 || s[0].Endpoint != s[1].Endpoint {
		t.Fatalf("two messages to one route share no call: %+v", s)
	}
	if c := r.dispatcher.callsInFlight; c != 1 {
		t.Fatalf("a shared call holds %d slots", c)
	}
	e1, e2 := r.end(s[0], Rejected), r.end(s[1], Rejected)
	e1.RetryAfter, e2.RetryAfter = 300*ms, 400*ms
	r.step(e1)
	r.now += 10 * ms
	r.step(e2)
	over := r.now + 400*ms
	for r.now < over {
		for _, x := range r.step(r.message(0, 2, 0)) {
			if x.Endpoint == s[0].Endpoint {
				t.Fatalf("sent %v before the wait was over", over-r.now)
			}
		}
		r.now += 20 * ms
	}
}

// Rule 6: messages of one key go in turn, and the key rests after doubt.
func TestOrder(t *testing.T) {
	r := newRig(t, settings())
	r.serve(30, 0, 20*ms)
	a, b := r.message(3, 0, 5), r.message(3, 0, 5)
	s := r.step(a, b)
	if len(s) != 1 || s[0].Message != a.ID {
		t.Fatalf("first %+v", s)
	}
	s2 := r.step(MessageCancelled{a.ID})
	if len(s2) != 0 {
		t.Fatal("sent while the earlier attempt has no outcome")
	}
	r.now += 4 * time.Second
	e := r.end(s[0], TimedOut)
	e.Final = true
	if s := r.step(e); len(s) != 0 {
		t.Fatal("the key did not rest after a time-out")
	}
	r.now += 299 * ms
	if s := r.step(TimerFired{}); len(s) != 0 {
		t.Fatal("the key rested too short")
	}
	r.now += 6 * ms
	if s := r.step(TimerFired{}); len(s) != 1 || s[0].Message != b.ID {
		t.Fatalf("then %+v", s)
	}
}

// Hung destinations held all slots to the deadlines of messages that may not be repeated.
func TestSilentCallsGiveTheirSlotsBack(t *testing.T) {
	set := settings()
	set.MaxConcurrentCalls = 4
	r := newRig(t, set)
	r.serve(30, 0, 20*ms)
	r.serve(30, 1, 20*ms)
	r.serve(30, 2, 20*ms)
	var events []Event
	for range 4 {
		events = append(events, r.message(2, 0, 0), r.message(2, 1, 0))
	}
	for i := 0; i < 100 && r.dispatcher.callsInFlight < 4; i++ {
		r.step(events...)
		events = nil
		r.now += 50 * ms
	}
	if r.dispatcher.callsInFlight != 4 {
		t.Fatalf("%d slots in use", r.dispatcher.callsInFlight)
	}
	m := r.message(0, 2, 0)
	r.step(m)
	r.now += 2 * tauInitial
	r.step(TimerFired{})
	if r.cancels != 1 {
		t.Fatalf("%d calls taken back for one message", r.cancels)
	}
}

func TestNearlyFullSenderRefuses(t *testing.T) {
	set := settings()
	set.MaxPendingMessages = 10
	r := newRig(t, set)
	for range 12 {
		r.step(r.message(2, 9, 0))
	}
	if len(r.rejected) == 0 || len(r.dispatcher.pending) > 10 {
		t.Fatalf("%d refused, %d held", len(r.rejected), len(r.dispatcher.pending))
	}
}

// An endpoint that is listed for another destination than before heeds the waits of that one, and of no other.
func TestAnEndpointThatChangesItsDestination(t *testing.T) {
	r := newRig(t, settings())
	e := r.end(r.step(r.message(0, 0, 0))[0], Rejected) // destination 0 is told to wait, by endpoint 1
	e.RetryAfter = 700 * ms
	r.step(e)
	r.step(EndpointListUpdate{Endpoints: []Endpoint{{ID: 1}}})
	r.step(EndpointListUpdate{Endpoints: []Endpoint{{ID: 1, Destination: 1, Ready: true}, {ID: 2, Destination: 0, Ready: true}}})
	if sends := r.step(r.message(0, 0, 0)); len(sends) > 0 {
		t.Errorf("sent in its destination's wait: %+v", sends)
	}
	sends := r.step(r.message(0, 1, 0))
	if len(sends) != 1 || sends[0].Endpoint != 1 {
		t.Errorf("sent %+v", sends)
	}
}

// What an earlier process has taken on is not handed back for want of room, however many it is, and whoever comes then does not
// push more than one of them out.
func TestResumedMessagesAreNotHandedBackForWantOfRoom(t *testing.T) {
	set := settings()
	set.MaxPendingMessages = 10
	r := newRig(t, set)
	var events []Event
	for range 30 {
		m := r.message(2, 9, 0)
		m.Resumed = true
		events = append(events, m)
	}
	r.step(events...)
	if len(r.rejected) > 0 {
		t.Errorf("%d are handed back", len(r.rejected))
	}
	r.step(r.message(2, 9, 0))
	r.step(TimerFired{})
	if len(r.rejected) != 1 {
		t.Errorf("%d are handed back for one that came", len(r.rejected))
	}
}

func TestListIsAskedForAndAskedAgain(t *testing.T) {
	set := settings()
	set.PollsEndpointList = true
	b := New(set, 1)
	asks := func(now time.Duration, e ...Event) (n int) {
		for _, a := range b.Step(now, e) {
			if _, ok := a.(WatchEndpointList); ok {
				n++
			}
		}
		return n
	}
	if asks(0) != 1 || asks(time.Second) != 0 {
		t.Fatal("the list is watched once from the start")
	}
	if asks(2*time.Second, EndpointListUpdate{Failed: true}) != 0 || asks(2*time.Second+listRetryInterval) != 1 {
		t.Fatal("a failed watch is asked for again")
	}
}

// A random run with odd events: the same events give the same actions, and nothing is answered twice.
func TestDeterminismAndOneAnswer(t *testing.T) {
	play := func() (all []Action) {
		rnd := rand.New(rand.NewSource(3))
		b := New(settings(), 11)
		now := time.Duration(0)
		var endpoints []Endpoint
		for i := range 6 {
			endpoints = append(endpoints, Endpoint{ID: EndpointID(i), Destination: DestinationID(i / 2), Kind: i / 4, Ready: true})
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
				events = append(events, AttemptResult{Message: open[i].Message, Attempt: open[i].try, Endpoint: open[i].Endpoint,
					Outcome: o, Elapsed: 50 * ms, Final: o == Served || over[open[i].Message]})
				over[open[i].Message] = over[open[i].Message] || o == Served
				open = append(open[:i], open[i+1:]...)
			}
			if rnd.Intn(50) == 0 {
				events = append(events, MessageCancelled{MessageID(rnd.Intn(int(id)) + 1)}, AttemptResult{Message: 1 << 40},
					EndpointListUpdate{Endpoints: []Endpoint{{ID: EndpointID(rnd.Intn(8)), Destination: 1, Ready: rnd.Intn(2) == 0}}})
			}
			acts := b.Step(now, events)
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
						t.Fatalf("second answer for %d", a.Message)
					}
					over[a.Message] = true
				}
			}
			all = append(all, acts...)
			now += time.Duration(rnd.Intn(60)) * ms
		}
		return all
	}
	if a, b := play(), play(); !reflect.DeepEqual(a, b) {
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

// A window grown and then hardly used let a silent destination take most slots at once.
func TestUnusedWindowFades(t *testing.T) {
	r := newRig(t, settings())
	r.serve(3, 0, 20*ms)
	route := r.dispatcher.destinations[0].shared
	route.window.size = 7
	r.serve(40, 0, 20*ms)
	if route.window.size > 3 {
		t.Fatalf("window %v for one call at a time", route.window.size)
	}
}

// Calls lost here and there, on destinations that serve the others, held all slots to their deadlines.
func TestLostCallsGiveTheirSlotsBack(t *testing.T) {
	set := settings()
	set.MaxConcurrentCalls = 4
	r := newRig(t, set)
	r.serve(30, 0, 20*ms)
	r.serve(30, 1, 20*ms)
	lost := map[MessageID]bool{}
	for i := 0; len(lost) < 4 && i < 50; i++ { // each destination loses calls and serves others between
		for _, x := range r.step(r.message(2, DestinationID(i%2), 0)) {
			if r.now += 20 * ms; i%5 == 0 || i%5 == 1 {
				lost[x.Message] = true
			} else {
				r.step(r.end(x, Served))
			}
		}
	}
	if r.dispatcher.callsInFlight != 4 {
		t.Fatalf("%d slots in use", r.dispatcher.callsInFlight)
	}
	m := r.message(0, 2, 0)
	r.step(m)
	for range 8 {
		r.now += 500 * ms
		r.step(TimerFired{})
	}
	if r.cancels != 1 {
		t.Fatalf("%d calls taken back for one message", r.cancels)
	}
}

// A destination that fails half of its calls was called out at once and lost most of its throughput.
func TestHalfFailingDestinationIsNotOut(t *testing.T) {
	r := newRig(t, settings())
	r.serve(30, 0, 20*ms)
	outs := 0
	for i := range 60 {
		sends := r.step(r.message(0, 0, 0))
		r.now += 300 * ms
		var ends []Event
		for _, x := range sends {
			o := Served
			if i%2 == 0 {
				o = Errored
			}
			ends = append(ends, r.end(x, o))
		}
		r.step(ends...)
		if r.dispatcher.destinations[0].shared.breaker.state == unavailable {
			outs++
		}
	}
	if outs > 0 {
		t.Fatalf("out in %d of 60 steps", outs)
	}
}

// Where the list rates a destination but answers report no limit, the pace stayed at half of the rate.
func TestPaceGrowsWhereNoLimitIsReported(t *testing.T) {
	set := settings()
	set.RatingIsRateLimit = true
	r := newRig(t, set)
	r.step(EndpointListUpdate{Endpoints: []Endpoint{{ID: 1, Ready: true, Rating: 10}}})
	route := r.dispatcher.destinations[0].shared
	before := route.limiter.pace
	for range 20 {
		sends := r.step(r.message(0, 0, 0))
		r.now += 300 * ms
		for _, x := range sends {
			e := r.end(x, Served)
			e.HasLoadReport = true
			r.step(e)
		}
	}
	if route.limiter.pace <= before || route.limiter.pace > 10 {
		t.Fatalf("pace %v, %v before", route.limiter.pace, before)
	}
}

// Where messages share calls, calls of one message each used up the limit at once, and those that came then
// waited for the end of its span. They are spaced at our even part, and take along what has come meanwhile.
func TestSharedCallsKeepToOurPartOfTheLimit(t *testing.T) {
	set := settings()
	set.RatingIsRateLimit = true
	set.Kinds[0].MaxBatchSize = 20
	r := newRig(t, set)
	r.step(EndpointListUpdate{Endpoints: []Endpoint{{ID: 1, Ready: true, Rating: 10}}}) // 5 a second for each of two
	handed, start := 0, r.now
	var at []time.Duration
	var open []Send
	for r.now < start+20*time.Second {
		r.now += 10 * ms
		events := []Event{TimerFired{}}
		var still []Send
		for _, x := range open {
			if r.now < r.sentAt[x.Message]+100*ms {
				still = append(still, x)
				continue
			}
			events = append(events, r.end(x, Served))
		}
		if r.now < start+19*time.Second {
			events = append(events, r.message(0, 0, 0))
			handed++
		}
		sends := r.step(events...)
		if len(sends) > 0 {
			at = append(at, r.now)
		}
		open = append(still, sends...)
	}
	if len(r.sends) != handed {
		t.Errorf("%d of %d messages sent", len(r.sends), handed)
	}
	for i := range at {
		n := 0
		for _, x := range at[i:] {
			if x < at[i]+time.Second {
				n++
			}
		}
		if n > 6 {
			t.Fatalf("%d calls in the second from %v on", n, at[i]-start)
		}
	}
}

// A shut destination that told when it opens was probed with single messages then, as after any outage, while
// all others waited on. It is open as told: those that wait go, at the pace that a cold one bears.
func TestToldOpeningNeedsNoProbe(t *testing.T) {
	set := settings()
	set.Kinds[0].MaxBatchSize = 20
	r := newRig(t, set)
	r.serve(20, 0, 30*ms)
	s := r.step(r.message(0, 0, 0))
	shut := r.end(s[0], Rejected)
	shut.RetryAfter = 5 * time.Second
	r.step(shut)
	opens := r.now + shut.RetryAfter
	route := r.dispatcher.destinations[0].shared
	if route.breaker.state != unavailable {
		t.Fatal("a destination shut for long is no outage")
	}
	for range 10 {
		r.step(r.message(0, 0, 0))
	}
	var sends []Send
	for r.now < opens+100*ms && len(sends) == 0 {
		r.now += 5 * ms
		if sends = r.step(TimerFired{}); len(sends) > 0 && r.now < opens {
			t.Fatalf("sent %v before the wait was over", opens-r.now)
		}
	}
	if len(sends) != 11 || route.breaker.state != warmingUp {
		t.Fatalf("%d sent at the opening, state %v", len(sends), route.breaker.state)
	}
	// One that fails all the same is an outage again after some, not at the first.
	for _, x := range sends {
		r.step(r.end(x, Errored))
	}
	if route.breaker.state != warmingUp {
		t.Errorf("state %v after one failure", route.breaker.state)
	}
}

// A call broken at once on a connection that had been idle is no failure of the destination, and what may be
// repeated goes again without a pause.
func TestDroppedConnectionIsNoFailure(t *testing.T) {
	for class, again := range map[int]bool{0: true, 1: true, 2: false} {
		r := newRig(t, settings())
		r.serve(20, 0, 30*ms)
		route := r.dispatcher.destinations[0].shared
		fails, bad := route.breaker.failureRate, route.breaker.consecutiveFailures
		s := r.step(r.message(class, 0, 0))
		r.now += ms
		e := r.end(s[0], ConnectionBroken)
		e.ConnectionIdle = 100 * ms
		if sends := r.step(e); (len(sends) == 1) != again || r.failed[s[0].Message] == again {
			t.Errorf("class %d: sent %v, failed %v", class, sends, r.failed[s[0].Message])
		}
		if route.breaker.failureRate != fails || route.breaker.consecutiveFailures != bad {
			t.Errorf("class %d: counted as a failure", class)
		}
		// One that broke after the time of a call was the destination's.
		s = r.step(r.message(0, 0, 0))
		r.now += 100 * ms
		e = r.end(s[0], ConnectionBroken)
		e.ConnectionIdle = 100 * ms
		if sends := r.step(e); len(sends) != 0 || route.breaker.failureRate <= fails {
			t.Errorf("a late break is no failure: %v", sends)
		}
	}
}

// With few slots, hung destinations got the slots taken back from them again and again.
func TestSlotsGoToDestinationsThatAnswer(t *testing.T) {
	r := newRig(t, settings())
	r.serve(30, 0, 20*ms)
	r.serve(30, 1, 20*ms)
	a, b := r.message(0, 0, 0), r.message(0, 1, 0)
	ma := &message{Message: a, class: &r.dispatcher.settings.Classes[0]}
	mb := &message{Message: b, class: &r.dispatcher.settings.Classes[0]}
	ra, rb := r.dispatcher.destinations[0].shared, r.dispatcher.destinations[1].shared
	ra.breaker.failureRate, rb.breaker.failureRate, ra.traffic.latency, rb.traffic.latency = 0.1, 0.1, 0.02, 0.02
	ra.traffic.consecutiveLosses, ra.traffic.lastSentAt = 2, r.now
	if r.dispatcher.priority(ma, ra) >= r.dispatcher.priority(mb, rb) {
		t.Fatal("a destination that lost its last calls goes first")
	}
	ra.traffic.lastSentAt = r.now - 20*time.Second
	if r.dispatcher.priority(ma, ra) < 0.9*r.dispatcher.priority(mb, rb) {
		t.Fatal("a destination that lost calls long ago is starved")
	}
}

// A tenant that surged widened its own share, and the others' messages were refused with it.
func TestSurgingTenantIsRefusedFirst(t *testing.T) {
	set := settings()
	set.MaxPendingMessages = 60
	set.OverQuotaWeight = 0.05
	set.Tenants = []Tenant{{QuotaRate: 10}, {QuotaRate: 10}, {QuotaRate: 10}}
	r := newRig(t, set)
	owner := map[MessageID]int{}
	for i := range 400 {
		m := r.message(2, 9, 0)
		if i%10 < 2 {
			m.Tenant = 1 + i%2
		}
		owner[m.ID] = m.Tenant
		r.step(m)
		r.now += 10 * ms
	}
	others := 0
	for id := range r.rejected {
		if owner[id] > 0 {
			others++
		}
	}
	if len(r.rejected) < 100 || others > len(r.rejected)/10 {
		t.Fatalf("%d of %d refused are of the other tenants", others, len(r.rejected))
	}
}

// Dispatchers share nothing: two that run in turn act as each does alone.
func TestBrainsShareNothing(t *testing.T) {
	play := func(bs ...*Dispatcher) (all [][]Action) {
		all = make([][]Action, len(bs))
		for i := range 200 {
			now := time.Duration(i) * 50 * ms
			for k, b := range bs {
				var events []Event
				if i == 0 {
					events = append(events, EndpointListUpdate{Full: true, Endpoints: []Endpoint{{ID: 1, Ready: true}}})
				}
				events = append(events, Message{ID: MessageID(i), Class: i % 3, Deadline: now + 20*time.Second})
				for _, m := range b.messages {
					if n := len(m.attempts); n > 0 && m.inFlight > 0 && i%2 == k%2 {
						events = append(events, AttemptResult{Message: m.ID, Attempt: n - 1, Outcome: Served,
							Elapsed: 50 * ms, Final: true})
						break
					}
				}
				all[k] = append(all[k], b.Step(now, events)...)
			}
		}
		return all
	}
	one := func() *Dispatcher { s := settings(); s.MaxConcurrentCalls = 1; return New(s, 5) } // one call out: one event to choose
	if both, alone := play(one(), one()), play(one()); !reflect.DeepEqual(both[0], alone[0]) {
		t.Fatal("a second dispatcher changed what the first does")
	}
}

// Step's contract: time never goes back, and actions come in the order in which they are to be done.
func TestStepContract(t *testing.T) {
	r := newRig(t, settings())
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
			t.Fatalf("the alarm is not last: %+v", acts)
		}
	}
	if b := New(settings(), 1); len(b.Step(-time.Hour, []Event{TimerFired{}})) != 0 {
		t.Fatal("a clock that starts below zero")
	}
}

// A message that an earlier process had keeps what was done with it: a key out of its window, an unsafe
// one that may have run and one without attempts left are not sent again.
func TestAResumedMessageRestsOn(t *testing.T) {
	r := newRig(t, settings())
	m := r.message(0, 0, 0)
	m.PriorAttempts, m.NotBefore = 1, r.now+400*ms
	if sends := r.step(m); len(sends) > 0 {
		t.Errorf("sent in its pause: %v", sends)
	}
	if rests := r.dispatcher.BackoffUntil()[m.ID]; rests != m.NotBefore {
		t.Errorf("it rests until %v, not %v", rests, m.NotBefore)
	}
	r.now += 400 * ms
	if sends := r.step(TimerFired{}); len(sends) != 1 {
		t.Errorf("after its pause: %v", sends)
	}
	if rests := r.dispatcher.BackoffUntil(); len(rests) > 0 {
		t.Errorf("resting: %v", rests)
	}
}

func TestResumedMessages(t *testing.T) {
	for name, c := range map[string]struct {
		class int
		m     Message
		sent  bool
	}{
		"never sent":             {2, Message{}, true},
		"unsafe, never ran":      {2, Message{PriorAttempts: 2}, true},
		"unsafe, may have run":   {2, Message{PriorAttempts: 1, MayHaveRun: true, FirstRunAt: time.Hour - time.Second}, false},
		"keyed, in its window":   {1, Message{PriorAttempts: 1, MayHaveRun: true, FirstRunAt: time.Hour - time.Second}, true},
		"keyed, past its window": {1, Message{PriorAttempts: 1, MayHaveRun: true, FirstRunAt: time.Hour - 6*time.Second}, false},
		"safe, long ago":         {0, Message{PriorAttempts: 1, MayHaveRun: true, FirstRunAt: time.Hour - 15*time.Second}, true},
		"no attempt left":        {0, Message{PriorAttempts: 6, MayHaveRun: true, FirstRunAt: time.Hour - time.Second}, false},
	} {
		r := newRig(t, settings())
		m := r.message(c.class, 0, 0)
		m.PriorAttempts, m.MayHaveRun, m.FirstRunAt = c.m.PriorAttempts, c.m.MayHaveRun, c.m.FirstRunAt
		if sends := r.step(m); len(sends) == 1 != c.sent || r.failed[m.ID] == c.sent {
			t.Errorf("%s: %d sends, failed %v", name, len(sends), r.failed[m.ID])
		}
	}
	// Its window counts from the first send of all, also after further attempts.
	r := newRig(t, settings())
	m := r.message(1, 0, 0)
	m.PriorAttempts, m.MayHaveRun, m.FirstRunAt = 1, true, r.now-5*time.Second
	s := r.step(m)[0]
	r.now += 500 * ms
	r.step(r.end(s, Errored))
	r.now += 600 * ms
	if sends := r.step(TimerFired{}); len(sends) != 0 || !r.failed[m.ID] {
		t.Errorf("past its window: %d sends, failed %v", len(sends), r.failed[m.ID])
	}
}

// A call that may not be repeated went to an endpoint that hung, and with a window of one nothing else went to its
// destination for all of the call's time left, though another endpoint there was well.
func TestACallThatHangsKeepsNobodyOutOfOtherEndpoints(t *testing.T) {
	for _, endpoints := range []int{1, 2} {
		r := newRig(t, settings())
		if endpoints == 2 {
			r.step(EndpointListUpdate{Endpoints: []Endpoint{{ID: 9, Ready: true}}})
		}
		hung := r.step(r.message(2, 0, 0))[0]
		start := r.now
		var next []Send
		for next = r.step(r.message(1, 0, 0)); len(next) == 0 && r.now < start+10*time.Second; r.now += 20 * ms {
			next = r.step(TimerFired{})
		}
		switch {
		case endpoints == 1 && len(next) > 0:
			t.Errorf("%v goes beside a call that hangs at the only endpoint", next)
		case endpoints == 2 && (len(next) != 1 || next[0].Endpoint == hung.Endpoint):
			t.Errorf("%v goes out within 10 s of a call that hangs at endpoint %d", next, hung.Endpoint)
		case endpoints == 2 && len(r.step(r.message(0, 0, 0), TimerFired{})) > 0:
			t.Error("a further call goes out while the one beside is not overdue")
		}
	}
}

// Under a limit that serves half of what comes, a class of a third of the worth was passed over for the other until it
// was given up. Where the settings weigh the worst-served class, its messages count for the part of it that they are.
func TestTheWorstServedClassCountsAsTheSettingsWeighIt(t *testing.T) {
	share := func(classWeight float64) (low, high float64) {
		s := settings()
		s.RatingIsRateLimit, s.TotalWeight, s.WorstClassWeight = true, 0.8, classWeight
		s.Classes[1] = s.Classes[0]
		s.Classes[1].PriorityWeight = 3
		r := newRig(t, s)
		r.step(EndpointListUpdate{Endpoints: []Endpoint{{ID: 1, Ready: true, Rating: 8}}}) // 4 a second for each of two
		class, served := map[MessageID]int{}, map[int]float64{}
		var open []Send
		for tick := range 4000 {
			r.now += 10 * ms
			events := []Event{TimerFired{}}
			if tick%25 == 0 { // 4 a second of each
				for c := range 2 {
					m := r.message(c, 0, 0)
					class[m.ID] = c
					events = append(events, m)
				}
			}
			var out []Send
			for _, x := range open {
				if r.now < r.sentAt[x.Message]+50*ms {
					out = append(out, x)
					continue
				}
				served[class[x.Message]]++
				e := r.end(x, Served)
				e.HasLoadReport, e.RateLimit = true, 8 // all of it is used: the pace stays
				events = append(events, e)
			}
			open = append(out, r.step(events...)...)
		}
		return served[0] / 160, served[1] / 160
	}
	low, high := share(0)
	weighed, other := share(0.2)
	if weighed < low+0.1 || other < weighed {
		t.Errorf("served %.2f of the class of less worth and %.2f of the other; unweighed %.2f and %.2f", weighed, other, low, high)
	}
}
