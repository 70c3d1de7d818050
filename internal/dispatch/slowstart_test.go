package dispatch

import (
	"testing"
	"time"
)

// Rule 4: after an outage seen here the load stays within what a recovering destination bears.
func TestRecoveringDestinationIsNotOverloaded(t *testing.T) {
	s := testSettings()
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
		recovering := (at[i] + s.OverloadWindow - returned).Seconds()
		share := s.SlowStartCapacity + (1-s.SlowStartCapacity)*recovering/s.SlowStartDuration.Seconds()
		if bears := s.CollapseLoadFactor * share * usual * s.OverloadWindow.Seconds(); float64(n) > bears+1 {
			t.Fatalf("%d calls in %v from %v after the recovery, %.1f bearable",
				n, s.OverloadWindow, at[i]-returned, bears)
		}
	}
}

// A closed destination that had announced when it reopens was probed with single messages then, as after any
// outage, while all others waited on. It is open as announced: those that wait are sent, at the pace that a
// recovering one bears.
func TestAnnouncedEndOfAnOutageNeedsNoProbe(t *testing.T) {
	set := testSettings()
	set.Kinds[0].MaxBatchSize = 20
	r := newRig(t, set)
	r.serve(20, 0, 30*ms)
	s := r.step(r.message(0, 0, 0))
	closed := r.end(s[0], Rejected)
	closed.RetryAfter = 5 * time.Second
	r.step(closed)
	reopensAt := r.now + closed.RetryAfter
	route := r.dispatcher.destinations[0].shared
	if route.breaker.state != unavailable {
		t.Fatal("a destination closed for long is no outage")
	}
	for range 10 {
		r.step(r.message(0, 0, 0))
	}
	var sends []Send
	for r.now < reopensAt+100*ms && len(sends) == 0 {
		r.now += 5 * ms
		if sends = r.step(TimerFired{}); len(sends) > 0 && r.now < reopensAt {
			t.Fatalf("sent %v before the announced end", reopensAt-r.now)
		}
	}
	if len(sends) != 11 || route.breaker.state != warmingUp {
		t.Fatalf("%d sent at the announced end, state %v", len(sends), route.breaker.state)
	}
	// One that fails all the same is an outage again after some, not at the first.
	for _, x := range sends {
		r.step(r.end(x, Errored))
	}
	if route.breaker.state != warmingUp {
		t.Errorf("state %v after one failure", route.breaker.state)
	}
}

// Rule 4, at 200 senders: each saw a call or two fail, and together they overloaded the destination when it
// recovered. Those that saw failures may send what the destination then bears, or less than the others.
func TestLargeFleetDoesNotOverloadARecoveringDestination(t *testing.T) {
	const senders, perSecond, outage = 200, 5, 15 * time.Second
	s, list := largeFleet(senders)
	dispatchers := make([]*Dispatcher, senders)
	aware := make([]bool, senders)
	start := time.Hour
	for i := range dispatchers {
		dispatchers[i] = New(s, uint64(i+1))
		dispatchers[i].Step(start, []Event{list})
	}
	type sent struct {
		by  int
		end AttemptResult
		at  time.Duration
	}
	var open []sent
	var fromAware, fromOthers int
	id := MessageID(0)
	tries := map[MessageID]int{}
	for now := start; now < start+outage+s.OverloadWindow; now += 20 * ms {
		events := make([][]Event, senders)
		give := func(i, dest int) {
			id++
			events[i] = append(events[i], Message{
				ID:          id,
				Destination: DestinationID(dest),
				Deadline:    now + 20*time.Second,
			})
		}
		if tick := int(now / (20 * ms)); tick%(50/perSecond) == 0 {
			give(int(id*37)%senders, 0)
		} else if tick%2 == 0 {
			give(int(id*37)%senders, 1+int(id)%99)
		}
		if now == start+11*time.Second { // a clump for it, at as many senders
			for i := range 40 {
				give(i*5, 0)
			}
		}
		var still []sent
		for _, c := range open {
			if now < c.at {
				still = append(still, c)
				continue
			}
			events[c.by] = append(events[c.by], c.end)
			aware[c.by] = aware[c.by] || c.end.Outcome == ConnectFailed && now < start+outage
		}
		open = still
		for i, d := range dispatchers {
			for _, a := range d.Step(now, append(events[i], TimerFired{})) {
				call, ok := a.(Send)
				if !ok {
					continue
				}
				down := call.Endpoint == 1 && now < start+outage
				end := AttemptResult{Message: call.Message, Attempt: tries[call.Message], Endpoint: call.Endpoint,
					Elapsed: 40 * ms, Outcome: Served, Final: true}
				if down {
					end.Outcome, end.Final = ConnectFailed, false
				}
				tries[call.Message]++
				open = append(open, sent{i, end, now + 40*ms})
				if call.Endpoint == 1 && now >= start+outage {
					if aware[i] {
						fromAware++
					} else {
						fromOthers++
					}
				}
			}
		}
	}
	share := s.SlowStartCapacity + (1-s.SlowStartCapacity)*s.OverloadWindow.Seconds()/s.SlowStartDuration.Seconds()
	bears := s.CollapseLoadFactor * share * perSecond * s.OverloadWindow.Seconds()
	if float64(fromAware+fromOthers) > bears && fromAware >= 2*fromOthers {
		t.Fatalf("%d calls from senders that saw it fail, %d from others, %.1f bearable", fromAware, fromOthers, bears)
	}
}

// Eighty senders told when a destination reopens all came in that moment: most connects failed there, and it was
// ejected again for seconds. They come one after another, as it bears them, and the first of them soon.
func TestLargeFleetReopensWithJitter(t *testing.T) {
	const senders, limit, wait = 80, 70, 8 * time.Second
	came := map[time.Duration]int{}
	for seed := range uint64(senders) {
		s := testSettings()
		s.Senders, s.RatingIsRateLimit, s.OverloadWindow = senders, true, 3*time.Second
		r := newRig(t, s)
		r.dispatcher = New(s, seed+1)
		r.step(EndpointListUpdate{Full: true, Endpoints: []Endpoint{{ID: 1, Rating: limit, Ready: true}}})
		first := r.step(r.message(0, 0, 0), r.message(0, 0, 0))
		e := r.end(first[0], Rejected)
		e.RetryAfter = wait
		reopensAt := r.now + wait
		sent := r.step(e)
		for ; len(sent) == 0 && r.now < reopensAt+8*time.Second; r.now += 20 * ms {
			sent = r.step(TimerFired{})
		}
		if r.now < reopensAt {
			t.Fatalf("a call %v before the announced end", reopensAt-r.now)
		}
		came[(r.now-reopensAt)/time.Second]++
	}
	if came[0] == 0 || came[0] > limit/2 || came[0]+came[1]+came[2]+came[3] < senders/2 {
		t.Errorf("first calls by second after the announced end: %v", came)
	}
}
