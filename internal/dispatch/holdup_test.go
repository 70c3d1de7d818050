package dispatch

import (
	"testing"
	"time"
)

// By a list that may have changed unnoticed nobody is called; what waits meanwhile goes out when it is sure again.
func TestNothingIsSentWhileTheListIsStale(t *testing.T) {
	r := newRig(t, settings())
	if sends := r.step(EndpointListStale{true}, r.message(0, 0, 0)); len(sends) > 0 {
		t.Errorf("%d sends by a stale list", len(sends))
	}
	r.now += time.Second
	if sends := r.step(EndpointListStale{false}); len(sends) != 1 {
		t.Errorf("%d sends when it is fresh again", len(sends))
	}
}

// A sender may be held up for 0.15 s between reading its clock and writing. A repeat that is decided on has to arrive while
// its key is remembered all the same.
func TestAKeyWindowAllowsForAHoldUp(t *testing.T) {
	const heldUp = 150 * ms
	for _, before := range []time.Duration{50 * ms, 100 * ms, 140 * ms, 400 * ms} {
		s := settings()
		window := s.Classes[1].IdempotencyWindow
		r := newRig(t, s)
		m := r.message(1, 0, 0)
		first := r.step(m)[0]
		begun := r.now
		r.now = begun + window - before - time.Second
		r.step(r.end(first, Errored))
		r.now = begun + window - before
		sends := r.step(TimerFired{})
		if again := before > heldUp; len(sends) == 1 != again || r.failed[m.ID] == again {
			t.Errorf("%v before its window ends: %d sends, failed %v", before, len(sends), r.failed[m.ID])
		}
		for _, send := range sends {
			if latest := r.now + send.StartWithin + heldUp; latest >= begun+window {
				t.Errorf("%v before its window ends it may be written %v after it", before, latest-begun-window)
			}
		}
	}
}
