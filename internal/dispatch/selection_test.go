package dispatch

import (
	"testing"
	"time"
)

// Eighty senders that knew nothing of a destination's endpoints yet all began at the first on the list, and its
// table of connections was full. Each has a first choice of its own (rendezvous hashing), and goes elsewhere when
// a connect fails.
func TestLargeFleetStartsAtDifferentEndpoints(t *testing.T) {
	const senders = 80
	first := map[EndpointID]int{}
	for number := range senders {
		s := testSettings()
		s.Senders, s.Number = senders, number
		r := newRig(t, s)
		r.step(EndpointListUpdate{Endpoints: []Endpoint{{ID: 7, Ready: true}, {ID: 8, Ready: true}}}) // with 1, for 0
		sent := r.step(r.message(0, 0, 0))
		at := sent[0].Endpoint
		first[at]++
		r.now += 30 * ms
		r.step(r.end(sent[0], ConnectFailed))
		for sent = nil; len(sent) == 0 && r.now < time.Hour+5*time.Second; r.now += 50 * ms {
			sent = r.step(TimerFired{})
		}
		if len(sent) == 0 || sent[0].Endpoint == at {
			t.Errorf("sender %d: %v after a connect to %d had failed", number, sent, at)
		}
	}
	for id, n := range first {
		if n > senders/2 {
			t.Errorf("%d of %d senders begin at endpoint %d", n, senders, id)
		}
	}
}
