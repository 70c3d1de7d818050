package dispatch

import (
	"math"
	"testing"
	"time"
)

// The window starts at one, grows with each call served, stays below destinationCallShare of all slots, and
// halves once for all calls that were in flight at a halving. A failing destination may use only half of that
// share.
func TestWindowGrowsWithServedCallsAndHalvesOnce(t *testing.T) {
	h := newHarness(t, testSettings())
	burst := func(n int) (out []Send) {
		var events []Event
		for range n {
			events = append(events, h.newMessage(0, 0, 0))
		}
		return h.step(events...)
	}
	sent := burst(20)
	if len(sent) != 1 {
		t.Fatalf("%d calls are sent at once, want 1 for a new window", len(sent))
	}
	for i := 0; i < 30 && len(h.sends) < 20; i++ {
		h.now += 10 * ms
		var results []Event
		for _, send := range sent {
			results = append(results, h.newResult(send, Served))
		}
		sent = h.step(results...)
		if n := h.dispatcher.destinations[0].shared.window.inFlight; float64(n) >= destinationCallShare*10 {
			t.Fatalf("%d of 10 slots are used by one destination", n)
		}
	}
	route := h.dispatcher.destinations[0].shared
	sizeBefore := route.window.size
	route.window.halve(h.now, h.dispatcher.now)
	route.window.halve(h.now-time.Second, h.dispatcher.now) // in flight at the first halving
	if route.window.size != math.Max(1, sizeBefore/2) {
		t.Fatalf("window %v after halving %v once", route.window.size, sizeBefore)
	}
	route.window.size, route.breaker.failureRate = 9, 0.9
	if limit := h.dispatcher.concurrencyLimit(route); float64(limit) > destinationCallShare*10/2 {
		t.Fatalf("a failing destination may use %d slots", limit)
	}
}

// Guards against destinations that hang occupying all slots until the deadlines of non-idempotent messages:
// an overdue call is cancelled when another message needs its slot.
func TestOverdueCallIsCancelledForAWaitingMessage(t *testing.T) {
	settings := testSettings()
	settings.MaxConcurrentCalls = 4
	h := newHarness(t, settings)
	h.serve(30, 0, 20*ms)
	h.serve(30, 1, 20*ms)
	h.serve(30, 2, 20*ms)
	var events []Event
	for range 4 {
		events = append(events, h.newMessage(2, 0, 0), h.newMessage(2, 1, 0))
	}
	for i := 0; i < 100 && h.dispatcher.callsInFlight < 4; i++ {
		h.step(events...)
		events = nil
		h.now += 50 * ms
	}
	if h.dispatcher.callsInFlight != 4 {
		t.Fatalf("%d calls in flight, want all 4 slots in use", h.dispatcher.callsInFlight)
	}
	waiting := h.newMessage(0, 2, 0)
	h.step(waiting)
	h.now += 2 * tauInitial
	h.step(TimerFired{})
	if h.cancelled != 1 {
		t.Fatalf("%d calls cancelled for one waiting message, want 1", h.cancelled)
	}
}

// Guards against a destination that stops answering occupying most slots at once: a window that has grown
// must shrink while little of it is in use.
func TestUnusedWindowDecays(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(3, 0, 20*ms)
	route := h.dispatcher.destinations[0].shared
	route.window.size = 7
	h.serve(40, 0, 20*ms)
	if route.window.size > 3 {
		t.Fatalf("window %v after 40 calls one at a time, want at most 3", route.window.size)
	}
}

// Guards against single calls that are never answered, at destinations that serve their other calls,
// occupying all slots until their deadlines.
func TestUnansweredCallIsCancelledForAWaitingMessage(t *testing.T) {
	settings := testSettings()
	settings.MaxConcurrentCalls = 4
	h := newHarness(t, settings)
	h.serve(30, 0, 20*ms)
	h.serve(30, 1, 20*ms)
	unanswered := map[MessageID]bool{}
	for i := 0; len(unanswered) < 4 && i < 50; i++ { // each destination leaves some calls unanswered
		for _, send := range h.step(h.newMessage(2, DestinationID(i%2), 0)) {
			if h.now += 20 * ms; i%5 == 0 || i%5 == 1 {
				unanswered[send.Message] = true
			} else {
				h.step(h.newResult(send, Served))
			}
		}
	}
	if h.dispatcher.callsInFlight != 4 {
		t.Fatalf("%d calls in flight, want all 4 slots in use", h.dispatcher.callsInFlight)
	}
	waiting := h.newMessage(0, 2, 0)
	h.step(waiting)
	for range 8 {
		h.now += 500 * ms
		h.step(TimerFired{})
	}
	if h.cancelled != 1 {
		t.Fatalf("%d calls cancelled for one waiting message, want 1", h.cancelled)
	}
}

// Guards against an endpoint that hangs blocking its whole destination. With a window of one, a call of a
// non-idempotent message to such an endpoint would allow no other call until its deadline, even if another
// endpoint is healthy. So one more call may go to an endpoint that has none in flight.
func TestHangingCallDoesNotBlockOtherEndpoints(t *testing.T) {
	for _, endpoints := range []int{1, 2} {
		h := newHarness(t, testSettings())
		if endpoints == 2 {
			h.step(EndpointListUpdate{Endpoints: []Endpoint{{ID: 9, Ready: true}}})
		}
		hanging := h.step(h.newMessage(2, 0, 0))[0]
		start := h.now
		var next []Send
		for next = h.step(h.newMessage(1, 0, 0)); len(next) == 0 &&
			h.now < start+10*time.Second; h.now += 20 * ms {
			next = h.step(TimerFired{})
		}
		switch {
		case endpoints == 1 && len(next) > 0:
			t.Errorf("%v is sent to the only endpoint while a call hangs there", next)
		case endpoints == 2 && (len(next) != 1 || next[0].Endpoint == hanging.Endpoint):
			t.Errorf("%v is sent within 10 s, want one send to an endpoint other than %d, where a call hangs",
				next, hanging.Endpoint)
		case endpoints == 2 && len(h.step(h.newMessage(0, 0, 0), TimerFired{})) > 0:
			t.Error("another call is sent although the additional one is not overdue yet")
		}
	}
}
