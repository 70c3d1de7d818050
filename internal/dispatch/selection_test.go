package dispatch

import (
	"testing"
	"time"
)

// Guards against all senders of a large fleet starting at the same endpoint. Before eighty senders had learnt
// anything of a destination's endpoints, all of them called the first on the list, which ran out of
// connections. Each sender must have a first choice of its own (rendezvous hashing), and choose another
// endpoint after a failed connect.
func TestLargeFleetStartsAtDifferentEndpoints(t *testing.T) {
	const senders = 80
	firstChoices := map[EndpointID]int{}
	for number := range senders {
		settings := testSettings()
		settings.Senders, settings.Number = senders, number
		h := newHarness(t, settings)
		// Destination 0 then has three endpoints: 1, 7 and 8.
		h.step(EndpointListUpdate{Endpoints: []Endpoint{{ID: 7, Ready: true}, {ID: 8, Ready: true}}})
		sends := h.step(h.newMessage(0, 0, 0))
		firstChoice := sends[0].Endpoint
		firstChoices[firstChoice]++
		h.now += 30 * ms
		h.step(h.newResult(sends[0], ConnectFailed))
		for sends = nil; len(sends) == 0 && h.now < time.Hour+5*time.Second; h.now += 50 * ms {
			sends = h.step(TimerFired{})
		}
		if len(sends) == 0 || sends[0].Endpoint == firstChoice {
			t.Errorf("sender %d: sends %v after a failed connect to endpoint %d, want one to another",
				number, sends, firstChoice)
		}
	}
	for id, n := range firstChoices {
		if n > senders/2 {
			t.Errorf("%d of %d senders send their first call to endpoint %d", n, senders, id)
		}
	}
}
