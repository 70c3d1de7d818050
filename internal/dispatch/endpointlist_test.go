package dispatch

import (
	"testing"
	"time"
)

// Rule 3: nothing is sent to an endpoint from the batch on that says it is draining.
func TestNothingIsSentToADrainingEndpoint(t *testing.T) {
	r := newRig(t, testSettings())
	if s := r.step(EndpointListUpdate{Endpoints: []Endpoint{{ID: 1}}}, r.message(0, 0, 0)); len(s) != 0 {
		t.Fatalf("sent to a draining endpoint: %+v", s)
	}
	if s := r.step(EndpointListUpdate{Full: true, Endpoints: []Endpoint{{ID: 1, Ready: true}}}); len(s) != 1 {
		t.Fatalf("not sent to the endpoint that is back: %+v", s)
	}
	if s := r.step(r.message(0, 1, 0)); len(s) != 0 {
		t.Fatalf("sent to an endpoint that the full list lacks: %+v", s)
	}
}

// An endpoint that is listed for another destination than before keeps to the retry-after of that one, and of no
// other.
func TestEndpointThatChangesItsDestinationChangesItsRoute(t *testing.T) {
	r := newRig(t, testSettings())
	e := r.end(r.step(r.message(0, 0, 0))[0], Rejected) // endpoint 1 closes destination 0 for a time
	e.RetryAfter = 700 * ms
	r.step(e)
	r.step(EndpointListUpdate{Endpoints: []Endpoint{{ID: 1}}})
	r.step(EndpointListUpdate{Endpoints: []Endpoint{
		{ID: 1, Destination: 1, Ready: true},
		{ID: 2, Destination: 0, Ready: true},
	}})
	if sends := r.step(r.message(0, 0, 0)); len(sends) > 0 {
		t.Errorf("sent within the retry-after of its destination: %+v", sends)
	}
	sends := r.step(r.message(0, 1, 0))
	if len(sends) != 1 || sends[0].Endpoint != 1 {
		t.Errorf("sent %+v", sends)
	}
}

func TestFailedEndpointListWatchIsRepeated(t *testing.T) {
	set := testSettings()
	set.PollsEndpointList = true
	b := New(set, 1)
	watchRequests := func(now time.Duration, e ...Event) (n int) {
		for _, a := range b.Step(now, e) {
			if _, ok := a.(WatchEndpointList); ok {
				n++
			}
		}
		return n
	}
	if watchRequests(0) != 1 || watchRequests(time.Second) != 0 {
		t.Fatal("the list is watched once from the start")
	}
	failed := 2 * time.Second
	if watchRequests(failed, EndpointListUpdate{Failed: true}) != 0 || watchRequests(failed+listRetryInterval) != 1 {
		t.Fatal("a failed watch is asked for again")
	}
}

// A call to an endpoint may not be written yet when a drain or a retry-after becomes known: then it is aborted.
func TestUnsentCallsAreAbortedOnADrainOrARetryAfter(t *testing.T) {
	for name, newEvent := range map[string]func(r *rig, answered Send) Event{
		"drains": func(*rig, Send) Event { return EndpointListUpdate{Endpoints: []Endpoint{{ID: 1}}} },
		"gone": func(*rig, Send) Event {
			return EndpointListUpdate{Full: true, Endpoints: []Endpoint{{ID: 2, Destination: 1, Ready: true}}}
		},
		"retry-after": func(r *rig, answered Send) Event {
			e := r.end(answered, Rejected)
			e.RetryAfter = 300 * ms
			return e
		},
	} {
		r := newRig(t, testSettings())
		r.serve(3, 0, 50*ms)
		sends := r.step(r.message(0, 0, 0), r.message(0, 0, 0))
		if len(sends) != 2 {
			t.Fatalf("%s: sent %+v", name, sends)
		}
		var got []AbortUnsent
		for _, a := range r.dispatcher.Step(r.now, []Event{newEvent(r, sends[0])}) {
			if w, ok := a.(AbortUnsent); ok {
				got = append(got, w)
			}
		}
		if len(got) != 1 || got[0].Endpoint != 1 {
			t.Errorf("%s: aborted %+v", name, got)
		}
	}
}

// By a list that may have changed unnoticed nobody is called; what waits meanwhile is sent when it is known to be
// current again.
func TestNothingIsSentWhileTheEndpointListIsStale(t *testing.T) {
	r := newRig(t, testSettings())
	if sends := r.step(EndpointListStale{true}, r.message(0, 0, 0)); len(sends) > 0 {
		t.Errorf("%d sends by a stale list", len(sends))
	}
	r.now += time.Second
	if sends := r.step(EndpointListStale{false}); len(sends) != 1 {
		t.Errorf("%d sends when it is fresh again", len(sends))
	}
}
