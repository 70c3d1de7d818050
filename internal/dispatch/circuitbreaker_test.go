package dispatch

import (
	"testing"
	"time"
)

// A destination that fails half of its calls was ejected at once and lost most of its throughput.
func TestDestinationThatFailsHalfOfItsCallsIsNoOutage(t *testing.T) {
	r := newRig(t, testSettings())
	r.serve(30, 0, 20*ms)
	unavailableSteps := 0
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
			unavailableSteps++
		}
	}
	if unavailableSteps > 0 {
		t.Fatalf("unavailable in %d of 60 steps", unavailableSteps)
	}
}

// A sender of many sees few calls: two failures in a row are an outage there, eight where senders are few.
func TestFailureThresholdDependsOnTheFleet(t *testing.T) {
	for senders, want := range map[int]int{3: maxFailureThreshold, 50: minFailureThreshold, 300: minFailureThreshold} {
		r := fleetRig(t, senders)
		r.serve(10, 3, 30*ms)
		r.now += time.Minute
		if n := r.dispatcher.failureThreshold(r.dispatcher.destinations[0].shared); n != want {
			t.Errorf("%d senders: %d failures in a row are an outage, want %d", senders, n, want)
		}
	}
}

// Senders that see an outage begin at the same time must not go on at the same time.
func TestProbesOfSendersAreJittered(t *testing.T) {
	s, list := largeFleet(100)
	next := map[time.Duration]int{}
	for seed := range uint64(20) {
		r := newRig(t, s)
		r.dispatcher = New(s, seed)
		r.step(list, r.message(0, 0, 0))
		r.dispatcher.openCircuit(r.dispatcher.destinations[0].shared)
		at := time.Duration(0)
		for range 2000 {
			r.now += 10 * ms
			if sends := r.step(r.message(0, 0, 0)); len(sends) > 0 {
				at = r.now
				break
			}
		}
		next[at/(100*ms)]++
	}
	for at, n := range next {
		if n > 10 {
			t.Fatalf("%d of 20 senders probe in the same tenth of a second, %v", n, at)
		}
	}
}
