package emulator

import (
	"fmt"
	"time"
)

// Parameters are the values that the senders' settings state and that the invariants check.
type Parameters struct {
	OverloadMultiple     float64       // limit on calls to a destination after an outage, as a multiple of its capacity
	InitialCapacityShare float64       // share of its capacity that a destination has when it returns from an outage
	OverloadWindow       time.Duration // span over which calls to a destination that is warming up are counted
	WarmUpTime           time.Duration // from the end of an outage until a destination has its full capacity
	IdempotencyWindow    time.Duration // for which an endpoint remembers an idempotency key
	DrainGrace           time.Duration // for calls to an endpoint, from when a sender has to know that it drains
	AnswerTimeout        time.Duration // how long a client waits for an answer
	Slack                time.Duration // tolerance that the protocol allows on every limit
}

// DefaultParameters returns the parameters of a run. Their times are shorter than in production, so that idempotency
// windows and the capacity's ramps after outages end within a run.
func DefaultParameters() Parameters {
	return Parameters{
		OverloadMultiple:     2.5,
		InitialCapacityShare: 0.16,
		OverloadWindow:       2 * time.Second,
		WarmUpTime:           6 * time.Second,
		IdempotencyWindow:    2 * time.Second,
		DrainGrace:           500 * time.Millisecond,
		AnswerTimeout:        400 * time.Millisecond,
		Slack:                50 * time.Millisecond,
	}
}

// deliveryTimeouts holds how long the delivery of a message may take, by class.
var deliveryTimeouts = map[Class]time.Duration{
	Idempotent:      2500 * time.Millisecond,
	IdempotentByKey: 6 * time.Second,
	NonIdempotent:   4 * time.Second,
}

// effects holds the value of each class's setting "effect".
var effects = map[Class]string{
	Idempotent:      "read_like",
	IdempotentByKey: "idempotency_key",
	NonIdempotent:   "non_idempotent",
}

// The limits in a sender's configuration. Connection floods rely on senderSockets: floodSize exceeds it.
const (
	senderCores    = 1.0
	senderMemoryMB = 192
	senderSockets  = 512
	senderDiskMB   = 3
)

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// classSettings returns the settings of one class.
func classSettings(p Parameters, class Class) map[string]any {
	return map[string]any{
		"name":        class.String(),
		"slo":         milliseconds(deliveryTimeouts[class] / 4),
		"giveUp":      milliseconds(deliveryTimeouts[class]),
		"effect":      effects[class],
		"dedupWindow": milliseconds(p.IdempotencyWindow),
		"dedupScope":  "all",
		"worth":       1.0,
		"lateValue":   0.5,
	}
}

// senderSettings returns the settings of one sender of a deployment.
func senderSettings(p Parameters, senders, number int, pollsEndpointList bool) map[string]any {
	discovery := "pushed"
	if pollsEndpointList {
		discovery = "on_request"
	}
	return map[string]any{
		"balancers": senders,
		"slotNo":    number,
		"discovery": discovery,
		"step":      5.0,
		"zone":      0,
		"zones":     []any{"a"},
		"models":    []any{plainKind, batchKind},
		"familyInfo": map[string]any{
			"callsOut":    12,
			"fades":       "halving",
			"routesApart": []any{false, false},
			"perCall":     []any{1, 5},
		},
		"limits": map[string]any{
			"cancel":         true,
			"connIdle":       3000.0,
			"connectTimeout": 1000.0,
			"maxAttempts":    6,
			"mostHeld":       60,
			"retryAfter":     true,
			"maxRetryAfter":  500.0,
		},
		"rules": map[string]any{
			"fallMultiple":  p.OverloadMultiple,
			"startCapacity": p.InitialCapacityShare,
			"overloadFor":   milliseconds(p.OverloadWindow),
			"cold":          milliseconds(p.WarmUpTime),
			"askWithin":     milliseconds(polledChangeTimeout),
		},
		"services": []any{
			classSettings(p, Idempotent),
			classSettings(p, IdempotentByKey),
			classSettings(p, NonIdempotent),
		},
		"orgs": []any{},
	}
}

// senderConfig returns the content of one sender's configuration file.
func senderConfig(spec ProcessSpec, discoveryAddr, statePath string) map[string]any {
	return map[string]any{
		"name":      fmt.Sprintf("n%d", spec.Number),
		"listen":    "127.0.0.1:0",
		"discovery": discoveryAddr,
		"state":     statePath,
		"seed":      fmt.Sprintf("%x", spec.Number+1),
		"limits": map[string]any{
			"cores":     senderCores,
			"memory_mb": senderMemoryMB,
			"sockets":   senderSockets,
			"disk_mb":   senderDiskMB,
		},
		"known":    spec.Known,
		"settings": senderSettings(spec.Parameters, spec.Senders, spec.Number, spec.Agent.pollsEndpointList),
	}
}
