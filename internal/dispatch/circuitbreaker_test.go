package dispatch

import (
	"testing"
	"time"
)

// Guards against an open circuit at a destination that fails half of its calls. With only single probes it
// would lose most of its throughput.
func TestHalfOfAllCallsFailingIsNoOutage(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(30, 0, 20*ms)
	unavailableSteps := 0
	for i := range 60 {
		sends := h.step(h.newMessage(0, 0, 0))
		h.now += 300 * ms
		var results []Event
		for _, send := range sends {
			outcome := Served
			if i%2 == 0 {
				outcome = Errored
			}
			results = append(results, h.newResult(send, outcome))
		}
		h.step(results...)
		if h.dispatcher.destinations[0].shared.breaker.state == unavailable {
			unavailableSteps++
		}
	}
	if unavailableSteps > 0 {
		t.Fatalf("circuit open in %d of 60 steps, want none", unavailableSteps)
	}
}

// A sender in a large fleet makes few calls to each destination, so two failures in a row mean an outage
// there. In a small fleet it takes eight.
func TestFailureThresholdDependsOnTheFleet(t *testing.T) {
	for senders, want := range map[int]int{
		3:   maxFailureThreshold,
		50:  minFailureThreshold,
		300: minFailureThreshold,
	} {
		h := newFleetHarness(t, senders)
		h.serve(10, 3, 30*ms)
		h.now += time.Minute
		if got := h.dispatcher.failureThreshold(h.dispatcher.destinations[0].shared); got != want {
			t.Errorf("%d senders: failure threshold %d, want %d", senders, got, want)
		}
	}
}

// Senders that detect an outage at the same time must not send their first probes at the same time.
func TestProbesOfSendersAreJittered(t *testing.T) {
	settings, list := largeFleet(100)
	probes := map[time.Duration]int{}
	for seed := range uint64(20) {
		h := newHarness(t, settings)
		h.dispatcher = New(settings, seed)
		h.step(list, h.newMessage(0, 0, 0))
		h.dispatcher.openCircuit(h.dispatcher.destinations[0].shared)
		probedAt := time.Duration(0)
		for range 2000 {
			h.now += 10 * ms
			if sends := h.step(h.newMessage(0, 0, 0)); len(sends) > 0 {
				probedAt = h.now
				break
			}
		}
		probes[probedAt/(100*ms)]++
	}
	for probedAt, n := range probes {
		if n > 10 {
			t.Fatalf("%d of 20 senders send their first probe in the same tenth of a second, number %v",
				n, probedAt)
		}
	}
}
