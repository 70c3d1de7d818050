package dispatch_test

import (
	"fmt"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
)

// A sender passes the endpoint list and a message to its dispatcher, and carries out the actions that it
// returns.
func ExampleDispatcher() {
	d := dispatch.New(dispatch.Settings{
		Senders:            1,
		MaxConcurrentCalls: 8,
		MaxPendingMessages: 100,
		MaxAttempts:        6,
		StepInterval:       5 * time.Millisecond,
		Kinds:              []dispatch.Kind{{MaxBatchSize: 1}},
		Classes: []dispatch.Class{{
			LatencyObjective: time.Second,
			Deadline:         10 * time.Second,
			Effect:           dispatch.NonIdempotent,
			PriorityWeight:   1,
			LateWeight:       0.5,
		}},
	}, 42)
	actions := d.Step(0, []dispatch.Event{
		dispatch.EndpointListUpdate{
			Full:      true,
			Endpoints: []dispatch.Endpoint{{ID: 7, Destination: 3, Ready: true}},
		},
		dispatch.Message{ID: 1, Destination: 3, Deadline: 10 * time.Second},
	})
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Send:
			fmt.Println("call endpoint", a.Endpoint, "with message", a.Message, "for at most", a.Timeout)
		case dispatch.SetTimer:
			// Call Step at a.At with a dispatch.TimerFired, unless another event comes first.
		}
	}
	d.Step(90*time.Millisecond, []dispatch.Event{dispatch.AttemptResult{
		Message:  1,
		Endpoint: 7,
		Outcome:  dispatch.Served,
		Elapsed:  90 * time.Millisecond,
		Final:    true,
	}})
	// Output: call endpoint 7 with message 1 for at most 10s
}
