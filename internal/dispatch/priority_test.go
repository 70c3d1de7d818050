package dispatch

import (
	"testing"
	"time"
)

// Guards against destinations that hang occupying all slots where there are few: without a lower priority,
// they get the slots of their cancelled calls again and again. The lower priority must fade with the time
// since the last call, so that such a destination still gets calls.
func TestSilentDestinationHasLowerPriority(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(30, 0, 20*ms)
	h.serve(30, 1, 20*ms)
	first, second := h.newMessage(0, 0, 0), h.newMessage(0, 1, 0)
	toSilent := &message{Message: first, class: &h.dispatcher.settings.Classes[0]}
	toAnswering := &message{Message: second, class: &h.dispatcher.settings.Classes[0]}
	silent, answering := h.dispatcher.destinations[0].shared, h.dispatcher.destinations[1].shared
	silent.breaker.failureRate, answering.breaker.failureRate,
		silent.traffic.latency, answering.traffic.latency = 0.1, 0.1, 0.02, 0.02
	silent.traffic.consecutiveLosses, silent.traffic.lastSentAt = 2, h.now
	if h.dispatcher.priority(toSilent, silent) >= h.dispatcher.priority(toAnswering, answering) {
		t.Fatal("a destination whose last calls were not answered does not have the lower priority")
	}
	silent.traffic.lastSentAt = h.now - 20*time.Second
	if h.dispatcher.priority(toSilent, silent) < 0.9*h.dispatcher.priority(toAnswering, answering) {
		t.Fatal("a destination whose calls were not answered 20 s ago still has a far lower priority")
	}
}

// Guards against a class being starved under a rate limit that allows half of the submitted messages. A class
// with a third of the other's weight was passed over until its messages were failed. Where the settings give
// the worst-served class a weight of its own, the priority of its messages must rise accordingly.
func TestWorstClassWeightRaisesTheGoodputOfTheWorstClass(t *testing.T) {
	servedShares := func(classWeight float64) (low, high float64) {
		settings := testSettings()
		settings.RatingIsRateLimit, settings.TotalWeight, settings.WorstClassWeight = true, 0.8, classWeight
		settings.Classes[1] = settings.Classes[0]
		settings.Classes[1].PriorityWeight = 3
		h := newHarness(t, settings)
		// The limit is 8 calls a second, 4 for each of the two senders.
		h.step(EndpointListUpdate{Endpoints: []Endpoint{{ID: 1, Ready: true, Rating: 8}}})
		classOf, served := map[MessageID]int{}, map[int]float64{}
		var inFlight []Send
		for tick := range 4000 {
			h.now += 10 * ms
			events := []Event{TimerFired{}}
			if tick%25 == 0 { // 4 messages a second of each class
				for i := range 2 {
					m := h.newMessage(i, 0, 0)
					classOf[m.ID] = i
					events = append(events, m)
				}
			}
			var remaining []Send
			for _, send := range inFlight {
				if h.now < h.sentAt[send.Message]+50*ms {
					remaining = append(remaining, send)
					continue
				}
				served[classOf[send.Message]]++
				result := h.newResult(send, Served)
				result.HasLoadReport, result.RateLimit = true, 8 // with no quota left the pace does not grow
				events = append(events, result)
			}
			remaining = append(remaining, h.step(events...)...)
			inFlight = remaining
		}
		return served[0] / 160, served[1] / 160
	}
	low, high := servedShares(0)
	lowWithWeight, highWithWeight := servedShares(0.2)
	if lowWithWeight < low+0.1 || highWithWeight < lowWithWeight {
		t.Errorf("served shares by class %.2f and %.2f; %.2f and %.2f without WorstClassWeight",
			lowWithWeight, highWithWeight, low, high)
	}
}
