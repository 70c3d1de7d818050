package emulator

import (
	"fmt"
	"time"
)

// Rules are the figures that a run's settings state and its invariants go by.
type Rules struct {
	OverloadMultiple     float64       // a returning destination gets at most so many times what it can take
	InitialCapacityShare float64       // of its capacity, that a destination has on its return
	OverloadWindow       time.Duration // over which calls to a destination that warms up are counted
	WarmUpTime           time.Duration
	IdempotencyWindow    time.Duration // over which an endpoint remembers an idempotency key
	DrainGrace           time.Duration // after a sender has to know that an endpoint drains
	AnswerTimeout        time.Duration // a client waits so long
	Slack                time.Duration // that the protocol allows on every limit
}

// DefaultRules are those of a run, shorter than in service so that windows and ramps end within it.
func DefaultRules() Rules {
	return Rules{
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

// deliveryTimeouts is how long messages of each class may take to be delivered.
var deliveryTimeouts = map[Class]time.Duration{
	Idempotent:      2500 * time.Millisecond,
	IdempotentByKey: 6 * time.Second,
	NonIdempotent:   4 * time.Second,
}

// effects are the classes' effects in the settings.
var effects = map[Class]string{
	Idempotent:      "read_like",
	IdempotentByKey: "idempotency_key",
	NonIdempotent:   "non_idempotent",
}

// The limits of a sender. The soak relies on that of its sockets: a connection flood exceeds it.
const (
	senderCores    = 1.0
	senderMemoryMB = 192
	senderSockets  = 512
	senderDiskMB   = 3
)

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// classSettings are the settings of one class.
func classSettings(r Rules, class Class) map[string]any {
	return map[string]any{
		"name":        class.String(),
		"slo":         milliseconds(deliveryTimeouts[class] / 4),
		"giveUp":      milliseconds(deliveryTimeouts[class]),
		"effect":      effects[class],
		"dedupWindow": milliseconds(r.IdempotencyWindow),
		"dedupScope":  "all",
		"worth":       1.0,
		"lateValue":   0.5,
	}
}

// senderSettings are the settings of one sender of a deployment.
func senderSettings(r Rules, senders, number int, pollsEndpointList bool) map[string]any {
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
			"fallMultiple":  r.OverloadMultiple,
			"startCapacity": r.InitialCapacityShare,
			"overloadFor":   milliseconds(r.OverloadWindow),
			"cold":          milliseconds(r.WarmUpTime),
			"askWithin":     milliseconds(polledListBinds),
		},
		"services": []any{
			classSettings(r, Idempotent),
			classSettings(r, IdempotentByKey),
			classSettings(r, NonIdempotent),
		},
		"orgs": []any{},
	}
}

// senderConfig is the configuration file of one sender.
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
		"settings": senderSettings(spec.Rules, spec.Senders, spec.Number, spec.Agent.pollsEndpointList),
	}
}
