package dispatch

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings is a plain deployment with two kinds of destination, and an idempotent, a keyed, a non-idempotent
// and an ordered class.
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

// rig drives one Dispatcher by hand and records what it did.
type rig struct {
	*testing.T
	dispatcher *Dispatcher
	now        time.Duration
	next       MessageID
	sends      []Send
	sentAt     map[MessageID]time.Duration
	attempts   map[MessageID]int
	failed     map[MessageID]bool
	rejected   map[MessageID]bool
	cancelled  int
}

func newRig(t *testing.T, s Settings) *rig {
	r := &rig{
		T:          t,
		dispatcher: New(s, 7),
		now:        time.Hour,
		sentAt:     map[MessageID]time.Duration{},
		attempts:   map[MessageID]int{},
		failed:     map[MessageID]bool{},
		rejected:   map[MessageID]bool{},
	}
	r.step(EndpointListUpdate{
		Full: true,
		Endpoints: []Endpoint{{ID: 1, Ready: true}, {ID: 2, Destination: 1, Ready: true},
			{ID: 3, Destination: 2, Kind: 1, Ready: true}, {ID: 4, Destination: 2, Kind: 1, Ready: true}},
	})
	return r
}

// step carries out a batch and returns its sends.
func (r *rig) step(events ...Event) []Send {
	var sends []Send
	for _, a := range r.dispatcher.Step(r.now, events) {
		switch a := a.(type) {
		case Send:
			sends = append(sends, a)
			r.sentAt[a.Message] = r.now
			r.attempts[a.Message]++
		case Fail:
			r.failed[a.Message] = true
		case Reject:
			r.rejected[a.Message] = true
		case Cancel:
			r.cancelled++
		}
	}
	r.sends = append(r.sends, sends...)
	return sends
}

// message is a new message for a destination.
func (r *rig) message(class int, dest DestinationID, key uint64) Message {
	r.next++
	return Message{ID: r.next, Class: class, Destination: dest, Key: key, Deadline: r.now + 20*time.Second}
}

// end is the result of the last attempt of a message.
func (r *rig) end(s Send, o Outcome) AttemptResult {
	return AttemptResult{Message: s.Message, Attempt: r.attempts[s.Message] - 1, Endpoint: s.Endpoint, Outcome: o,
		Elapsed: r.now - r.sentAt[s.Message], Final: o == Served}
}

// serve runs n messages through a destination, one at a time, each served after a latency.
func (r *rig) serve(n int, dest DestinationID, lat time.Duration) {
	r.Helper()
	for range n {
		sends := r.step(r.message(0, dest, 0))
		r.now += lat
		for _, s := range sends {
			r.step(r.end(s, Served))
		}
		r.now += 20 * ms
	}
}

// largeFleet is a deployment of n senders with a hundred destinations of one endpoint each.
func largeFleet(n int) (Settings, EndpointListUpdate) {
	s := testSettings()
	s.Senders, s.MaxConcurrentCalls, s.IdleConnectionTimeout = n, 4, 15*time.Second
	s.Kinds = []Kind{{MaxBatchSize: 1}}
	list := EndpointListUpdate{Full: true}
	for i := range 100 {
		list.Endpoints = append(list.Endpoints, Endpoint{
			ID:          EndpointID(i + 1),
			Destination: DestinationID(i),
			Ready:       true,
		})
	}
	return s, list
}

// fleetRig is one sender of a large fleet, driven by hand.
func fleetRig(t *testing.T, n int) *rig {
	s, list := largeFleet(n)
	r := newRig(t, s)
	r.dispatcher = New(s, 7)
	r.step(list)
	return r
}
