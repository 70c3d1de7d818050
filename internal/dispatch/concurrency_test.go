package dispatch

import (
	"math"
	"testing"
	"time"
)

func TestWindowGrowsWithServedCallsAndHalvesOnce(t *testing.T) {
	r := newRig(t, testSettings())
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
	route.window.halve(r.now-time.Second, r.dispatcher.now) // was in flight at the cut
	if route.window.size != math.Max(1, before/2) {
		t.Fatalf("window %v after one cut of %v", route.window.size, before)
	}
	route.window.size, route.breaker.failureRate = 9, 0.9
	if c := r.dispatcher.concurrencyLimit(route); float64(c) > destinationCallShare*10/2 {
		t.Fatalf("a failing destination keeps %d slots", c)
	}
}

// Destinations that hung kept all slots to the deadlines of messages that may not be repeated.
func TestOverdueCallIsCancelledForAWaitingMessage(t *testing.T) {
	set := testSettings()
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
		t.Fatalf("%d calls in flight", r.dispatcher.callsInFlight)
	}
	m := r.message(0, 2, 0)
	r.step(m)
	r.now += 2 * tauInitial
	r.step(TimerFired{})
	if r.cancelled != 1 {
		t.Fatalf("%d calls cancelled for one message", r.cancelled)
	}
}

// A window that had grown and was then hardly used let a silent destination take most slots at once.
func TestUnusedWindowDecays(t *testing.T) {
	r := newRig(t, testSettings())
	r.serve(3, 0, 20*ms)
	route := r.dispatcher.destinations[0].shared
	route.window.size = 7
	r.serve(40, 0, 20*ms)
	if route.window.size > 3 {
		t.Fatalf("window %v for one call at a time", route.window.size)
	}
}

// Calls lost here and there, at destinations that serve the others, kept all slots to their deadlines.
func TestLostCallIsCancelledForAWaitingMessage(t *testing.T) {
	set := testSettings()
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
		t.Fatalf("%d calls in flight", r.dispatcher.callsInFlight)
	}
	m := r.message(0, 2, 0)
	r.step(m)
	for range 8 {
		r.now += 500 * ms
		r.step(TimerFired{})
	}
	if r.cancelled != 1 {
		t.Fatalf("%d calls cancelled for one message", r.cancelled)
	}
}

// A call that may not be repeated went to an endpoint that hung, and with a window of one nothing else was sent to
// its destination for all of the call's time left, though another endpoint there was healthy.
func TestHangingCallDoesNotBlockOtherEndpoints(t *testing.T) {
	for _, endpoints := range []int{1, 2} {
		r := newRig(t, testSettings())
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
			t.Errorf("%v is sent within 10 s of a call that hangs at endpoint %d", next, hung.Endpoint)
		case endpoints == 2 && len(r.step(r.message(0, 0, 0), TimerFired{})) > 0:
			t.Error("a further call is sent while the additional one is not overdue")
		}
	}
}
