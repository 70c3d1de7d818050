package dispatch

import (
	"testing"
	"time"
)

// Nothing may be sent to an endpoint from the step on in which the list reports that it is draining or gone.
func TestNothingIsSentToADrainingEndpoint(t *testing.T) {
	h := newHarness(t, testSettings())
	if sends := h.step(
		EndpointListUpdate{Endpoints: []Endpoint{{ID: 1}}},
		h.newMessage(0, 0, 0),
	); len(sends) != 0 {
		t.Fatalf("sent to a draining endpoint: %+v", sends)
	}
	if sends := h.step(EndpointListUpdate{
		Full:      true,
		Endpoints: []Endpoint{{ID: 1, Ready: true}},
	}); len(sends) != 1 {
		t.Fatalf("sends %+v, want one to the endpoint that is ready again", sends)
	}
	if sends := h.step(h.newMessage(0, 1, 0)); len(sends) != 0 {
		t.Fatalf("sent to an endpoint that is not on the full list: %+v", sends)
	}
}

// The Retry-After that an endpoint answered with blocks the destination that it belonged to at that time. If
// the list then moves the endpoint to another destination, the block must stay with the former one, and the
// endpoint must get the calls of the new one.
func TestEndpointThatChangesItsDestinationChangesItsRoute(t *testing.T) {
	h := newHarness(t, testSettings())
	rejection := h.newResult(h.step(h.newMessage(0, 0, 0))[0], Rejected) // of destination 0
	rejection.RetryAfter = 700 * ms
	h.step(rejection)
	h.step(EndpointListUpdate{Endpoints: []Endpoint{{ID: 1}}})
	h.step(EndpointListUpdate{Endpoints: []Endpoint{
		{ID: 1, Destination: 1, Ready: true},
		{ID: 2, Destination: 0, Ready: true},
	}})
	if sends := h.step(h.newMessage(0, 0, 0)); len(sends) > 0 {
		t.Errorf("sent within the Retry-After of destination 0: %+v", sends)
	}
	sends := h.step(h.newMessage(0, 1, 0))
	if len(sends) != 1 || sends[0].Endpoint != 1 {
		t.Errorf("sends %+v, want one to endpoint 1, now of destination 1", sends)
	}
}

// The endpoint list is requested once at the start, and again some time after the request has failed.
func TestFailedEndpointListWatchIsRepeated(t *testing.T) {
	settings := testSettings()
	settings.PollsEndpointList = true
	d := New(settings, 1)
	watchRequests := func(now time.Duration, events ...Event) (n int) {
		for _, a := range d.Step(now, events) {
			if _, ok := a.(WatchEndpointList); ok {
				n++
			}
		}
		return n
	}
	if watchRequests(0) != 1 || watchRequests(time.Second) != 0 {
		t.Fatal("want one request for the list in the first step and none in the next")
	}
	failedAt := 2 * time.Second
	if watchRequests(failedAt, EndpointListUpdate{Failed: true}) != 0 ||
		watchRequests(failedAt+listRetryInterval) != 1 {
		t.Fatal("want another request listRetryInterval after one failed, and none before")
	}
}

// A call to an endpoint may still be unwritten when the dispatcher learns that the endpoint is draining, is
// gone or sent a Retry-After. Such a call must be aborted.
func TestUnsentCallsAreAbortedOnADrainOrARetryAfter(t *testing.T) {
	for name, newEvent := range map[string]func(h *harness, answered Send) Event{
		"draining": func(*harness, Send) Event { return EndpointListUpdate{Endpoints: []Endpoint{{ID: 1}}} },
		"gone": func(*harness, Send) Event {
			return EndpointListUpdate{Full: true, Endpoints: []Endpoint{{ID: 2, Destination: 1, Ready: true}}}
		},
		"retry-after": func(h *harness, answered Send) Event {
			e := h.newResult(answered, Rejected)
			e.RetryAfter = 300 * ms
			return e
		},
	} {
		h := newHarness(t, testSettings())
		h.serve(3, 0, 50*ms)
		sends := h.step(h.newMessage(0, 0, 0), h.newMessage(0, 0, 0))
		if len(sends) != 2 {
			t.Fatalf("%s: sends %+v, want two", name, sends)
		}
		var aborts []AbortUnsent
		for _, a := range h.dispatcher.Step(h.now, []Event{newEvent(h, sends[0])}) {
			if abort, ok := a.(AbortUnsent); ok {
				aborts = append(aborts, abort)
			}
		}
		if len(aborts) != 1 || aborts[0].Endpoint != 1 {
			t.Errorf("%s: aborts %+v, want one for endpoint 1", name, aborts)
		}
	}
}

// Nothing may be sent while the endpoint list may have changed unnoticed. The messages that wait are sent
// once the list is known to be current again.
func TestNothingIsSentWhileTheEndpointListIsStale(t *testing.T) {
	h := newHarness(t, testSettings())
	if sends := h.step(EndpointListStale{true}, h.newMessage(0, 0, 0)); len(sends) > 0 {
		t.Errorf("%d messages sent while the list is stale", len(sends))
	}
	h.now += time.Second
	if sends := h.step(EndpointListStale{false}); len(sends) != 1 {
		t.Errorf("%d messages sent when the list is current again, want 1", len(sends))
	}
}

// Guards against state that grows with every new destination that a client names: one that no list has ever named is
// forgotten once no message waits for it, and one that has been on the list stays.
func TestUnlistedDestinationsAreForgotten(t *testing.T) {
	h := newHarness(t, testSettings())
	listed := len(h.dispatcher.destinations)
	for dest := range DestinationID(1000) {
		m := h.newMessage(0, 1000+dest, 0)
		m.Deadline = h.now + 5*ms
		h.step(m)
		h.now += 10 * ms
		h.step(TimerFired{})
	}
	if n := len(h.dispatcher.destinations); n != listed || len(h.dispatcher.destinationOrder) != listed {
		t.Errorf("%d destinations are kept, %d of them were on the list", n, listed)
	}
	h.step(EndpointListUpdate{Full: true}) // nothing is on the list any more
	if n := len(h.dispatcher.destinations); n != listed {
		t.Errorf("%d destinations are kept that were on the list, want %d", n, listed)
	}
}
