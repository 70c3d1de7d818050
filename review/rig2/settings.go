package main

// The classes of the deployment (brief).
const (
	applicationForward = "application-forward"
	vacancyStatus      = "vacancy-status"
)

// The kinds of destination (brief).
const (
	bigEmployer   = "big-employer"
	smallEmployer = "small-employer"
)

// deployment returns settings like those of the operators' small deployment.
func deployment(senders int) map[string]any {
	return map[string]any{
		"balancers": senders,
		"slotNo":    0,
		"family":    "deliver",
		"discovery": "pushed",
		"step":      5.0,
		"tier":      0,
		"zone":      0,
		"zones":     []any{"bangna-dc"},
		"models":    []any{bigEmployer, smallEmployer},
		"weights":   "nominal",
		"blend":     map[string]any{"whole": 0.55, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.25},
		"clients":   map[string]any{"marksRetry": true},
		"costs":     map[string]any{"handshake": 0.04, "lateFail": 0.031, "probe": 0.01, "waste": 0.038},
		"familyInfo": map[string]any{
			"callsOut": 15, "fades": "halving", "perCall": []any{20, 1}, "routesApart": []any{false, false},
			"refusedPrice": 0.03, "toll": []any{0.0},
		},
		"limits": map[string]any{
			"cancel": true, "connIdle": 10000.0, "connectTimeout": 1500.0, "maxAttempts": 6, "maxRetryAfter": 3000.0,
			"mayDuplicate": false, "mostHeld": 78, "peers": false, "probes": true, "retryAfter": true,
			"streamsPerConn": 1,
		},
		"overShareWorth": 0.1,
		"orgs":           []any{},
		"rules": map[string]any{
			"askWithin": 10000.0, "cold": 14000.0, "drainGrace": 500.0, "fallMultiple": 2.5, "graceToAnswer": 20.0,
			"overloadFor": 3000.0, "startCapacity": 0.16,
		},
		"services": []any{
			map[string]any{
				"name": applicationForward, "effect": "idempotency_key", "dedupScope": "all", "dedupWindow": 30000.0,
				"giveUp": 28000.0, "lateValue": 0.5, "slo": 4000.0, "stream": false, "worth": 1.0,
			},
			map[string]any{
				"name": vacancyStatus, "effect": "read_like", "dedupScope": "all", "dedupWindow": 5000.0,
				"giveUp": 5000.0, "lateValue": 0.0, "slo": 1000.0, "stream": false, "worth": 1.0,
			},
		},
		"telemetry": map[string]any{"fields": []any{}, "via": "none"},
	}
}
