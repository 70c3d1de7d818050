package ingress

import (
	"testing"
	"time"
)

// Guards against a client that is served without a bound on its rate, and against one that is held back although it
// sends one request at a time: a burst is served at once, what exceeds the rate is delayed by just so much, and the
// burst is available again after a pause.
func TestRequestsAboveTheRateAreDelayed(t *testing.T) {
	t.Parallel()
	var p pacer
	now := time.Now()
	for n := range requestBurst {
		if delay := p.take(now, false); delay > 0 {
			t.Fatalf("request %d of a burst is delayed by %v", n, delay)
		}
	}
	const excess = 100
	began := now
	for range excess {
		now = now.Add(p.take(now, false)) // the next request is read once the response is written
	}
	want := excess * time.Second / maxRequestRate
	if took := now.Sub(began); took < want-time.Millisecond || took > want+time.Millisecond {
		t.Errorf("%d requests above the burst take %v, want %v", excess, took, want)
	}
	now = now.Add(requestBurst * time.Second / maxRequestRate)
	for n := range requestBurst {
		if delay := p.take(now, false); delay > 0 {
			t.Fatalf("request %d of a burst after a pause is delayed by %v", n, delay)
		}
	}
	var crowded pacer
	for n := range crowdedBurst + 1 {
		if delay := crowded.take(now, true); (delay > 0) != (n == crowdedBurst) {
			t.Errorf("while slots are scarce, request %d is delayed by %v", n, delay)
		}
	}
}
