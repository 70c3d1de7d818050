package emulator

import (
	"fmt"
	"time"
)

// Rules are the figures that a run's settings state and its invariants go by.
type Rules struct {
	OverloadMultiple  float64
	InitialCapacityShare float64       // share of its capacity that a destination has on its return
	OverloadWindow   time.Duration // span over which calls to a cold destination are counted
	WarmUpTime          time.Duration // until it is warm
	IdempotencyWindow     time.Duration // span over which an endpoint remembers a key
	DrainGrace    time.Duration // after an endpoint was told to drain
	AnswerTimeout    time.Duration // a client waits so long
	Slack         time.Duration // the protocol's, for every limit
}

// DefaultRules are those of a run, shorter than in service so that windows and ramps end within it.
func DefaultRules() Rules {
	return Rules{OverloadMultiple: 2.5, InitialCapacityShare: 0.16, OverloadWindow: 2 * time.Second, WarmUpTime: 6 * time.Second,
		IdempotencyWindow: 2 * time.Second, DrainGrace: 500 * time.Millisecond, AnswerTimeout: 400 * time.Millisecond, Slack: 50 * time.Millisecond}
}

// lifetimes is how long messages of each class may be delivered.
var deliveryTimeouts = map[Effect]time.Duration{Idempotent: 2500 * time.Millisecond, IdempotentByKey: 6 * time.Second, NonIdempotent: 4 * time.Second}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// settingsFor is the settings of one sender of a deployment.
func senderSettings(r Rules, senders, number int, onRequest bool) map[string]any {
	discovery := "pushed"
	if onRequest {
		discovery = "on_request"
	}
	class := func(e Effect) map[string]any {
		return map[string]any{"name": e.String(), "slo": milliseconds(deliveryTimeouts[e] / 4), "giveUp": milliseconds(deliveryTimeouts[e]),
			"effect":      []string{"read_like", "idempotency_key", "non_idempotent"}[e],
			"dedupWindow": milliseconds(r.IdempotencyWindow), "dedupScope": "all", "worth": 1.0, "lateValue": 0.5}
	}
	return map[string]any{"balancers": senders, "slotNo": number, "discovery": discovery, "step": 5.0, "zone": 0,
		"zones": []any{"a"}, "models": []any{"plain", "shared"},
		"familyInfo": map[string]any{"callsOut": 12, "fades": "halving", "routesApart": []any{false, false}, "perCall": []any{1, 5}},
		"limits": map[string]any{"cancel": true, "connIdle": 3000.0, "connectTimeout": 1000.0, "maxAttempts": 6,
			"mostHeld": 60, "retryAfter": true, "maxRetryAfter": 500.0},
		"rules": map[string]any{"fallMultiple": r.OverloadMultiple, "startCapacity": r.InitialCapacityShare,
			"overloadFor": milliseconds(r.OverloadWindow), "cold": milliseconds(r.WarmUpTime), "askWithin": milliseconds(polledListBinds)},
		"services": []any{class(Idempotent), class(IdempotentByKey), class(NonIdempotent)},
		"orgs":     []any{},
	}
}

// configFor is the configuration file of one sender.
func senderConfig(r Rules, senders, number int, onRequest bool, discovery, state string, known List) map[string]any {
	return map[string]any{"name": fmt.Sprintf("n%d", number), "listen": "127.0.0.1:0", "discovery": discovery, "state": state,
		"seed":   fmt.Sprintf("%x", number+1),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 512, "disk_mb": 3},
		"known":  known, "settings": senderSettings(r, senders, number, onRequest)}
}
