package main

// senderConfig returns a sender's configuration but for its name, its own address and its folder. The settings are
// those of the example on the operators' wire page, for three senders.
func senderConfig(number int, discovery string, known list) map[string]any {
	return map[string]any{
		"discovery": discovery,
		"seed":      []string{"8c1f30d27a5be964", "17d0a9931be52c08", "54be02c6d91a77f3"}[number],
		"limits":    map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 384, "disk_mb": 3},
		"known":     known,
		"settings":  settings(number),
	}
}

func settings(number int) map[string]any {
	return map[string]any{
		"balancers": senderCount, "slotNo": number, "tier": 0, "stages": []any{"partner-systems"},
		"blend":     map[string]any{"whole": 0.55, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.25},
		"clients":   map[string]any{"marksRetry": true},
		"costs":     map[string]any{"handshake": 0.04, "lateFail": 0.031, "probe": 0.01, "waste": 0.038},
		"countedBy": "request", "discovery": "pushed", "family": "deliver",
		"familyInfo": map[string]any{
			"callsOut": 15, "fades": "halving", "perCall": []any{20, 1}, "refusedPrice": 0.03,
			"routesApart": []any{false, false}, "toll": []any{0.0},
		},
		"limits": map[string]any{
			"cancel": true, "connIdle": 10000.0, "connectTimeout": 1500.0, "cpuUsPerS": 63461, "maxAttempts": 6,
			"maxRetryAfter": 3000.0, "mayDuplicate": false, "mostHeld": 78, "peers": false, "probes": true,
			"retryAfter": true, "streamsPerConn": 1,
		},
		"models": []any{"big-employer", "small-employer"}, "orgs": []any{}, "overShareWorth": 0.1,
		"rules": map[string]any{
			"askWithin": 10000.0, "cold": 14000.0, "drainGrace": 500.0, "fallMultiple": 2.5, "graceToAnswer": 20.0,
			"overloadFor": 3000.0, "startCapacity": 0.16,
		},
		"services": []any{
			map[string]any{
				"name": classForward, "effect": "idempotency_key", "dedupScope": "all", "dedupWindow": 30000.0,
				"giveUp": 28000.0, "slo": 4000.0, "lateValue": 0.5, "worth": 1.0, "stream": false,
			},
			map[string]any{
				"name": classStatus, "effect": "read_like", "dedupScope": "all", "dedupWindow": 5000.0,
				"giveUp": 5000.0, "slo": 1000.0, "lateValue": 0.0, "worth": 1.0, "stream": false,
			},
		},
		"step": 5.0, "telemetry": map[string]any{"fields": []any{}, "via": "none"},
		"weights": "nominal", "zone": 0, "zones": []any{"bangna-dc"},
	}
}
