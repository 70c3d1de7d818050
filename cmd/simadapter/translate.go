package main

import (
	"fmt"
	"math"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/settings"
	"onyxdyke.example/onyxdyke/internal/simprotocol"
)

// Values of the simulator's protocol.
const (
	scopeChange  = 0 // scope of a change to the endpoint list
	scopeFailed  = 3 // scope of a failed request for the endpoint list; the scopes between the two are full lists
	nodeIsReady  = 1 // availability of a ready endpoint
	noTimerLabel = 0 // timers have no labels here
)

// outcomes maps the simulator's result codes to the dispatcher's outcomes.
var outcomes = map[uint8]dispatch.Outcome{
	10: dispatch.Served,
	20: dispatch.Errored,
	30: dispatch.Rejected,
	40: dispatch.TimedOut,
	50: dispatch.ConnectFailed,
	60: dispatch.ConnectionBroken,
	70: dispatch.Cancelled,
	80: dispatch.NotSent,
}

// translateEvent translates one record. It returns nil for records that the dispatcher does not use.
func (h *host) translateEvent(inst *instance, e *simprotocol.Event) (dispatch.Event, error) {
	switch e.Code {
	case simprotocol.CodeDirectory:
		return h.endpointListUpdate(e)
	case simprotocol.CodeSubmit:
		return inst.message(e)
	case simprotocol.CodeEnd:
		return inst.attemptResult(e)
	case simprotocol.CodeGone:
		return dispatch.MessageCancelled{Message: dispatch.MessageID(e.Call)}, nil
	case simprotocol.CodeAlarm:
		return dispatch.TimerFired{}, nil
	}
	return nil, nil
}

func (h *host) endpointListUpdate(e *simprotocol.Event) (dispatch.Event, error) {
	if e.Scope > scopeFailed {
		return nil, fmt.Errorf("scope %d is unknown", e.Scope)
	}
	if e.Scope == scopeFailed {
		return dispatch.EndpointListUpdate{Failed: true}, nil
	}
	nodes, ok := h.catalogs[e.Page]
	if !ok {
		return nil, fmt.Errorf("catalog %d was never sent", e.Page)
	}
	update := dispatch.EndpointListUpdate{Full: e.Scope != scopeChange}
	for _, node := range nodes {
		update.Endpoints = append(update.Endpoints, dispatch.Endpoint{
			ID:          dispatch.EndpointID(node.Endpoint),
			Destination: dispatch.DestinationID(node.Cell),
			Kind:        int(node.Kind),
			Zone:        int(node.Zone),
			Ready:       node.Availability == nodeIsReady,
			Rating:      float64(node.Rating),
		})
	}
	return update, nil
}

func (inst *instance) message(e *simprotocol.Event) (dispatch.Event, error) {
	if int(e.Priority) >= inst.classes {
		return nil, fmt.Errorf("class %d is not among the settings", e.Priority)
	}
	if e.FarEnd < 0 || e.FarEnd > math.MaxUint16 {
		return nil, fmt.Errorf("destination %g is out of bounds", e.FarEnd)
	}
	return dispatch.Message{
		ID:          dispatch.MessageID(e.Call),
		Class:       int(e.Priority),
		Tenant:      int(e.Billing),
		Destination: dispatch.DestinationID(e.FarEnd),
		Key:         e.Object,
		Deadline:    settings.DurationFromMilliseconds(e.Expires),
	}, nil
}

func (inst *instance) attemptResult(e *simprotocol.Event) (dispatch.Event, error) {
	outcome, ok := outcomes[e.Result]
	if !ok {
		return nil, fmt.Errorf("result %d is unknown", e.Result)
	}
	result := dispatch.AttemptResult{
		Message:  dispatch.MessageID(e.Call),
		Attempt:  int(e.Try),
		Endpoint: dispatch.EndpointID(e.Endpoint),
		Outcome:  outcome,
		Elapsed:  settings.DurationFromMilliseconds(e.Elapsed),
		Final:    e.NoMore,
	}
	if outcome == dispatch.Rejected {
		result.RetryAfter = time.Duration(e.WaitMs) * time.Millisecond
	}
	if inst.quotaLeftIndex >= 0 && inst.quotaLeftIndex < len(e.Report) {
		result.HasLoadReport, result.QuotaLeft = true, float64(e.Report[inst.quotaLeftIndex])
	}
	if inst.rateLimitIndex >= 0 && inst.rateLimitIndex < len(e.Report) {
		result.RateLimit = float64(e.Report[inst.rateLimitIndex])
	}
	return result, nil
}

// writeAction translates one action of an instance. It ignores actions that the simulator does not support.
func (h *host) writeAction(instance uint16, action dispatch.Action) {
	switch a := action.(type) {
	case dispatch.Send:
		h.reply.Send(instance, uint64(a.Message), milliseconds(a.Timeout), uint32(a.Endpoint))
	case dispatch.Reject:
		h.reply.Decline(instance, uint64(a.Message), milliseconds(a.RetryAfter))
	case dispatch.Fail:
		h.reply.FinishError(instance, uint64(a.Message))
	case dispatch.Cancel:
		h.reply.Cancel(instance, uint64(a.Message), uint8(a.Attempt))
	case dispatch.CloseIdle:
		h.reply.Close(instance, uint32(a.Endpoint))
	case dispatch.SetTimer:
		h.reply.WakeMe(instance, milliseconds(a.At), noTimerLabel)
	case dispatch.WatchEndpointList:
		h.reply.StreamChanges(instance)
	case dispatch.Log:
		h.reply.WriteLog(instance, a.Line)
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
