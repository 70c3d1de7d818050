package dispatch

import (
	"testing"
	"time"
)

// After an outage that this sender has detected, its load must stay within what the recovering destination
// can handle.
func TestRecoveringDestinationIsNotOverloaded(t *testing.T) {
	settings := testSettings()
	h := newHarness(t, settings)
	h.serve(100, 0, 30*ms) // 20 calls a second, far more than the slow start allows
	route := h.dispatcher.destinations[0].shared
	usualRate := route.traffic.servedRate()
	recovered := false
	var sendTimes []time.Duration
	var inFlight []Send
	outageStart := h.now
	recoveredAt := time.Duration(0)
	for h.now < outageStart+14*time.Second {
		h.now += 10 * ms
		recovered = h.now > outageStart+6*time.Second
		var events []Event
		for _, send := range inFlight {
			outcome := ConnectFailed
			if recovered {
				outcome = Served
			}
			events = append(events, h.newResult(send, outcome))
		}
		if len(h.dispatcher.pending) < 60 {
			events = append(events, h.newMessage(0, 0, 0))
		}
		inFlight = h.step(append(events, TimerFired{})...)
		if recovered {
			if recoveredAt == 0 {
				recoveredAt = h.now
			}
			for range inFlight {
				sendTimes = append(sendTimes, h.now)
			}
		}
	}
	if route.breaker.state == healthy || len(sendTimes) < 5 {
		t.Fatalf("circuit state %v, %d calls after the recovery, want a slow start with at least 5",
			route.breaker.state, len(sendTimes))
	}
	for i := range sendTimes {
		calls, j := 0, i
		for ; j < len(sendTimes) && sendTimes[j] < sendTimes[i]+settings.OverloadWindow; j++ {
			calls++
		}
		sinceRecovery := (sendTimes[i] + settings.OverloadWindow - recoveredAt).Seconds()
		capacity := settings.SlowStartCapacity +
			(1-settings.SlowStartCapacity)*sinceRecovery/settings.SlowStartDuration.Seconds()
		if maxCalls := settings.CollapseLoadFactor * capacity * usualRate *
			settings.OverloadWindow.Seconds(); float64(calls) > maxCalls+1 {
			t.Fatalf("%d calls in %v from %v after the recovery on, the destination can handle %.1f",
				calls, settings.OverloadWindow, sendTimes[i]-recoveredAt, maxCalls)
		}
	}
}

// Guards against delays after an outage whose end was announced. Such a destination was probed with single
// messages at its announced end, as in any outage, while all other messages kept waiting. It is known to
// accept calls then, so the waiting messages must be sent without a probe, at the rate of a slow start.
func TestAnnouncedEndOfAnOutageNeedsNoProbe(t *testing.T) {
	settings := testSettings()
	settings.Kinds[0].MaxBatchSize = 20
	h := newHarness(t, settings)
	h.serve(20, 0, 30*ms)
	first := h.step(h.newMessage(0, 0, 0))
	rejection := h.newResult(first[0], Rejected)
	rejection.RetryAfter = 5 * time.Second
	h.step(rejection)
	reopensAt := h.now + rejection.RetryAfter
	route := h.dispatcher.destinations[0].shared
	if route.breaker.state != unavailable {
		t.Fatal("a Retry-After longer than the overload window did not open the circuit")
	}
	for range 10 {
		h.step(h.newMessage(0, 0, 0))
	}
	var sends []Send
	for h.now < reopensAt+100*ms && len(sends) == 0 {
		h.now += 5 * ms
		if sends = h.step(TimerFired{}); len(sends) > 0 && h.now < reopensAt {
			t.Fatalf("sent %v before the announced end", reopensAt-h.now)
		}
	}
	if len(sends) != 11 || route.breaker.state != warmingUp {
		t.Fatalf("%d messages sent at the announced end, circuit state %v; want all 11 and a slow start",
			len(sends), route.breaker.state)
	}
	// If calls fail in spite of the announced end, the outage begins again after several failures, not the
	// first.
	for _, send := range sends {
		h.step(h.newResult(send, Errored))
	}
	if route.breaker.state != warmingUp {
		t.Errorf("circuit state %v after one failed call, want a slow start", route.breaker.state)
	}
}

// Guards against a large fleet overloading a recovering destination: among 200 senders, each saw only one or
// two calls fail, and together they sent too much when it recovered. If all calls are more than the
// destination can handle then, the senders that saw failures must have sent fewer than twice as many of them
// as the others.
func TestLargeFleetDoesNotOverloadARecoveringDestination(t *testing.T) {
	const senders, callRate, outage = 200, 5, 15 * time.Second
	settings, list := largeFleet(senders)
	dispatchers := make([]*Dispatcher, senders)
	sawFailure := make([]bool, senders)
	start := time.Hour
	for i := range dispatchers {
		dispatchers[i] = New(settings, uint64(i+1))
		dispatchers[i].Step(start, []Event{list})
	}
	type pendingResult struct {
		sender int
		result AttemptResult
		endsAt time.Duration
	}
	var inFlight []pendingResult
	var fromInformed, fromOthers int
	id := MessageID(0)
	attempts := map[MessageID]int{}
	for now := start; now < start+outage+settings.OverloadWindow; now += 20 * ms {
		events := make([][]Event, senders)
		submit := func(i, dest int) {
			id++
			events[i] = append(events[i], Message{
				ID:          id,
				Destination: DestinationID(dest),
				Deadline:    now + 20*time.Second,
			})
		}
		if tick := int(now / (20 * ms)); tick%(50/callRate) == 0 {
			submit(int(id*37)%senders, 0)
		} else if tick%2 == 0 {
			submit(int(id*37)%senders, 1+int(id)%99)
		}
		if now == start+11*time.Second { // a burst for destination 0: one message each at 40 senders
			for i := range 40 {
				submit(i*5, 0)
			}
		}
		var remaining []pendingResult
		for _, call := range inFlight {
			if now < call.endsAt {
				remaining = append(remaining, call)
				continue
			}
			events[call.sender] = append(events[call.sender], call.result)
			sawFailure[call.sender] = sawFailure[call.sender] ||
				call.result.Outcome == ConnectFailed && now < start+outage
		}
		inFlight = remaining
		for i, d := range dispatchers {
			for _, a := range d.Step(now, append(events[i], TimerFired{})) {
				send, ok := a.(Send)
				if !ok {
					continue
				}
				fails := send.Endpoint == 1 && now < start+outage
				result := AttemptResult{
					Message:  send.Message,
					Attempt:  attempts[send.Message],
					Endpoint: send.Endpoint,
					Elapsed:  40 * ms,
					Outcome:  Served,
					Final:    true,
				}
				if fails {
					result.Outcome, result.Final = ConnectFailed, false
				}
				attempts[send.Message]++
				inFlight = append(inFlight, pendingResult{i, result, now + 40*ms})
				if send.Endpoint == 1 && now >= start+outage {
					if sawFailure[i] {
						fromInformed++
					} else {
						fromOthers++
					}
				}
			}
		}
	}
	capacity := settings.SlowStartCapacity +
		(1-settings.SlowStartCapacity)*settings.OverloadWindow.Seconds()/settings.SlowStartDuration.Seconds()
	maxCalls := settings.CollapseLoadFactor * capacity * callRate * settings.OverloadWindow.Seconds()
	if float64(fromInformed+fromOthers) > maxCalls && fromInformed >= 2*fromOthers {
		t.Fatalf("%d calls from senders that saw failures, %d from others, the destination can handle %.1f",
			fromInformed, fromOthers, maxCalls)
	}
}

// Guards against all senders of a fleet calling a destination at the moment of the announced end of its
// outage: with eighty senders, most of their connects failed, and the outage began again for seconds. Their
// first calls must be spread over time at a rate that the destination can handle, the first of them soon
// after that end.
func TestLargeFleetResumesWithJitterAfterAnAnnouncedEnd(t *testing.T) {
	const senders, limit, wait = 80, 70, 8 * time.Second
	firstCalls := map[time.Duration]int{}
	for seed := range uint64(senders) {
		settings := testSettings()
		settings.Senders, settings.RatingIsRateLimit, settings.OverloadWindow = senders, true, 3*time.Second
		h := newHarness(t, settings)
		h.dispatcher = New(settings, seed+1)
		h.step(EndpointListUpdate{Full: true, Endpoints: []Endpoint{{ID: 1, Rating: limit, Ready: true}}})
		first := h.step(h.newMessage(0, 0, 0), h.newMessage(0, 0, 0))
		rejection := h.newResult(first[0], Rejected)
		rejection.RetryAfter = wait
		reopensAt := h.now + wait
		sends := h.step(rejection)
		for ; len(sends) == 0 && h.now < reopensAt+8*time.Second; h.now += 20 * ms {
			sends = h.step(TimerFired{})
		}
		if h.now < reopensAt {
			t.Fatalf("call sent %v before the announced end", reopensAt-h.now)
		}
		firstCalls[(h.now-reopensAt)/time.Second]++
	}
	if firstCalls[0] == 0 || firstCalls[0] > limit/2 ||
		firstCalls[0]+firstCalls[1]+firstCalls[2]+firstCalls[3] < senders/2 {
		t.Errorf("number of first calls by second after the announced end: %v", firstCalls)
	}
}
