package brain

import (
	"testing"
	"time"
)

// A sender may be held up for 0.15 s between reading its clock and writing. A repeat that is decided on has to arrive while
// its key is remembered all the same.
func TestAKeyWindowAllowsForAHoldUp(t *testing.T) {
	const heldUp = 150 * ms
	for _, before := range []time.Duration{50 * ms, 100 * ms, 140 * ms, 400 * ms} {
		s := settings()
		window := s.Classes[1].KeyWindow
		r := newRig(t, s)
		m := r.message(1, 0, 0)
		first := r.step(m)[0]
		begun := r.now
		r.now = begun + window - before - time.Second
		r.step(r.end(first, Errored))
		r.now = begun + window - before
		sends := r.step(Alarm{})
		if again := before > heldUp; len(sends) == 1 != again || r.failed[m.ID] == again {
			t.Errorf("%v before its window ends: %d sends, failed %v", before, len(sends), r.failed[m.ID])
		}
		for _, send := range sends {
			if latest := r.now + send.Begin + heldUp; latest >= begun+window {
				t.Errorf("%v before its window ends it may be written %v after it", before, latest-begun-window)
			}
		}
	}
}
