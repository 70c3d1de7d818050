package dispatch

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings returns the settings of a simple deployment with two kinds of destination and four classes of
// message: an idempotent one, one that is idempotent by key, a non-idempotent one and an ordered one.
func testSettings() Settings {
	return Settings{
		Senders:              2,
		MaxConcurrentCalls:   10,
		MaxPendingMessages:   100,
		MaxAttempts:          6,
		CanCancelAttempts:    true,
		StepInterval:         5 * ms,
		OrderedKeySettleTime: 300 * ms,
		CollapseLoadFactor:   2,
		SlowStartCapacity:    0.2,
		OverloadWindow:       2 * time.Second,
		SlowStartDuration:    10 * time.Second,
		Kinds:                []Kind{{MaxBatchSize: 1}, {PerEndpoint: true, MaxBatchSize: 3}},
		Classes: []Class{
			{
				LatencyObjective: 2 * time.Second,
				Deadline:         20 * time.Second,
				Effect:           Idempotent,
				PriorityWeight:   1,
				LateWeight:       0.3,
			},
			{
				LatencyObjective:  2 * time.Second,
				Deadline:          20 * time.Second,
				Effect:            IdempotentByKey,
				IdempotencyWindow: 6 * time.Second,
				PriorityWeight:    1,
				LateWeight:        0.3,
			},
			{
				LatencyObjective: 2 * time.Second,
				Deadline:         20 * time.Second,
				Effect:           NonIdempotent,
				PriorityWeight:   1,
				LateWeight:       0.3,
			},
			{
				LatencyObjective: 2 * time.Second,
				Deadline:         20 * time.Second,
				Effect:           Idempotent,
				Ordered:          true,
				PriorityWeight:   1,
				LateWeight:       0.3,
			},
		},
	}
}

// harness drives one Dispatcher step by step and records its actions.
type harness struct {
	*testing.T
	dispatcher *Dispatcher
	now        time.Duration
	lastID     MessageID
	sends      []Send                      // of all steps
	sentAt     map[MessageID]time.Duration // time of the last attempt
	attempts   map[MessageID]int           // number of attempts
	failed     map[MessageID]bool
	rejected   map[MessageID]bool
	cancelled  int // number of cancelled attempts
}

// newHarness returns a harness for a new Dispatcher, after a first step with an endpoint list: destinations 0
// and 1 with one endpoint each (1 and 2), and destination 2 with two endpoints (3 and 4) that are routes of
// their own.
func newHarness(t *testing.T, settings Settings) *harness {
	h := &harness{
		T:          t,
		dispatcher: New(settings, 7),
		now:        time.Hour,
		sentAt:     map[MessageID]time.Duration{},
		attempts:   map[MessageID]int{},
		failed:     map[MessageID]bool{},
		rejected:   map[MessageID]bool{},
	}
	h.step(EndpointListUpdate{
		Full: true,
		Endpoints: []Endpoint{{ID: 1, Ready: true}, {ID: 2, Destination: 1, Ready: true},
			{ID: 3, Destination: 2, Kind: 1, Ready: true}, {ID: 4, Destination: 2, Kind: 1, Ready: true}},
	})
	return h
}

// step makes one step of the Dispatcher with the given events, records its actions and returns the sends
// among them.
func (h *harness) step(events ...Event) []Send {
	var sends []Send
	for _, action := range h.dispatcher.Step(h.now, events) {
		switch action := action.(type) {
		case Send:
			sends = append(sends, action)
			h.sentAt[action.Message] = h.now
			h.attempts[action.Message]++
		case Fail:
			h.failed[action.Message] = true
		case Reject:
			h.rejected[action.Message] = true
		case Cancel:
			h.cancelled++
		}
	}
	h.sends = append(h.sends, sends...)
	return sends
}

// newMessage returns a new message with a deadline in 20 s.
func (h *harness) newMessage(class int, dest DestinationID, key uint64) Message {
	h.lastID++
	return Message{ID: h.lastID, Class: class, Destination: dest, Key: key, Deadline: h.now + 20*time.Second}
}

// newResult returns a result of the last attempt of a message, with the time since that attempt as its
// elapsed time.
func (h *harness) newResult(send Send, outcome Outcome) AttemptResult {
	return AttemptResult{
		Message:  send.Message,
		Attempt:  h.attempts[send.Message] - 1,
		Endpoint: send.Endpoint,
		Outcome:  outcome,
		Elapsed:  h.now - h.sentAt[send.Message],
		Final:    outcome == Served,
	}
}

// serve sends n messages to a destination, one at a time. Each is served after the given latency.
func (h *harness) serve(n int, dest DestinationID, latency time.Duration) {
	h.Helper()
	for range n {
		sends := h.step(h.newMessage(0, dest, 0))
		h.now += latency
		for _, send := range sends {
			h.step(h.newResult(send, Served))
		}
		h.now += 20 * ms
	}
}

// largeFleet returns the settings and the endpoint list of a deployment with the given number of senders and
// a hundred destinations of one endpoint each.
func largeFleet(senders int) (Settings, EndpointListUpdate) {
	settings := testSettings()
	settings.Senders, settings.MaxConcurrentCalls, settings.IdleConnectionTimeout = senders, 4, 15*time.Second
	settings.Kinds = []Kind{{MaxBatchSize: 1}}
	list := EndpointListUpdate{Full: true}
	for i := range 100 {
		list.Endpoints = append(list.Endpoints, Endpoint{
			ID:          EndpointID(i + 1),
			Destination: DestinationID(i),
			Ready:       true,
		})
	}
	return settings, list
}

// newFleetHarness returns a harness for one sender of a large fleet.
func newFleetHarness(t *testing.T, senders int) *harness {
	settings, list := largeFleet(senders)
	h := newHarness(t, settings)
	h.dispatcher = New(settings, 7)
	h.step(list)
	return h
}
