package dispatch

import (
	"testing"
	"time"
)

// With few slots, destinations that hung got the slots of their cancelled calls again and again.
func TestSlotsGoToDestinationsThatAnswer(t *testing.T) {
	r := newRig(t, testSettings())
	r.serve(30, 0, 20*ms)
	r.serve(30, 1, 20*ms)
	a, b := r.message(0, 0, 0), r.message(0, 1, 0)
	ma := &message{Message: a, class: &r.dispatcher.settings.Classes[0]}
	mb := &message{Message: b, class: &r.dispatcher.settings.Classes[0]}
	ra, rb := r.dispatcher.destinations[0].shared, r.dispatcher.destinations[1].shared
	ra.breaker.failureRate, rb.breaker.failureRate, ra.traffic.latency, rb.traffic.latency = 0.1, 0.1, 0.02, 0.02
	ra.traffic.consecutiveLosses, ra.traffic.lastSentAt = 2, r.now
	if r.dispatcher.priority(ma, ra) >= r.dispatcher.priority(mb, rb) {
		t.Fatal("a destination that lost its last calls has the higher priority")
	}
	ra.traffic.lastSentAt = r.now - 20*time.Second
	if r.dispatcher.priority(ma, ra) < 0.9*r.dispatcher.priority(mb, rb) {
		t.Fatal("a destination that lost calls long ago is starved")
	}
}

// Under a limit that serves half of what comes, a class of a third of the weight was passed over for the other
// until it was failed. Where the settings weigh the worst-served class, its messages count for the share of it
// that they are.
func TestWorstServedClassIsWeighedAsInTheSettings(t *testing.T) {
	share := func(classWeight float64) (low, high float64) {
		s := testSettings()
		s.RatingIsRateLimit, s.TotalWeight, s.WorstClassWeight = true, 0.8, classWeight
		s.Classes[1] = s.Classes[0]
		s.Classes[1].PriorityWeight = 3
		r := newRig(t, s)
		r.step(EndpointListUpdate{Endpoints: []Endpoint{{ID: 1, Ready: true, Rating: 8}}}) // 4 a second for each of two
		class, served := map[MessageID]int{}, map[int]float64{}
		var open []Send
		for tick := range 4000 {
			r.now += 10 * ms
			events := []Event{TimerFired{}}
			if tick%25 == 0 { // 4 a second of each
				for c := range 2 {
					m := r.message(c, 0, 0)
					class[m.ID] = c
					events = append(events, m)
				}
			}
			var out []Send
			for _, x := range open {
				if r.now < r.sentAt[x.Message]+50*ms {
					out = append(out, x)
					continue
				}
				served[class[x.Message]]++
				e := r.end(x, Served)
				e.HasLoadReport, e.RateLimit = true, 8 // all of it is used: the pace stays
				events = append(events, e)
			}
			out = append(out, r.step(events...)...)
			open = out
		}
		return served[0] / 160, served[1] / 160
	}
	low, high := share(0)
	weighed, other := share(0.2)
	if weighed < low+0.1 || other < weighed {
		t.Errorf("served %.2f of the class of less weight and %.2f of the other; unweighed %.2f and %.2f",
			weighed, other, low, high)
	}
}
