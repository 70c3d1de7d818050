package sendertest

// Config returns a sender's configuration with the classes "safe", "keyed" and "unsafe", one tenant "acme", at most ten
// calls in flight, and the agent's current endpoint list. Tests change single values of the returned map.
func Config(a *Agent, statePath string) map[string]any {
	return map[string]any{
		"name":      "n0",
		"listen":    "127.0.0.1:0",
		"discovery": a.Addr,
		"state":     statePath,
		"seed":      "5",
		"limits":    map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
		"known":     a.EndpointList(),
		"settings":  settings(),
	}
}

// settings returns the "settings" section of a configuration.
func settings() map[string]any {
	return map[string]any{
		"balancers": 1,
		"discovery": "on_request",
		"step":      5.0,
		"zone":      0,
		"zones":     []any{"a"},
		"models":    []any{"plain"},
		"familyInfo": map[string]any{
			"callsOut":    10,
			"fades":       "halving",
			"routesApart": []any{false},
			"perCall":     []any{1},
		},
		"limits": map[string]any{
			"cancel":         true,
			"connIdle":       15000.0,
			"connectTimeout": 1500.0,
			"maxAttempts":    6,
			"mostHeld":       100,
			"retryAfter":     true,
			"maxRetryAfter":  2000.0,
		},
		"rules": map[string]any{
			"fallMultiple":  2.0,
			"startCapacity": 0.2,
			"overloadFor":   3000.0,
			"cold":          14000.0,
		},
		"services": []any{
			classSettings("safe", "read_like"),
			classSettings("keyed", "idempotency_key"),
			classSettings("unsafe", "non_idempotent"),
		},
		"orgs":      []any{map[string]any{"name": "acme", "share": 1.0, "allowancePerS": 1000.0}},
		"telemetry": map[string]any{"fields": []any{"x0", "x1"}, "via": "answers"},
	}
}

// classSettings returns the settings of one class.
func classSettings(name, effect string) map[string]any {
	return map[string]any{
		"name":        name,
		"slo":         2500.0,
		"giveUp":      20000.0,
		"effect":      effect,
		"dedupWindow": 7500.0,
		"dedupScope":  "all",
		"worth":       1.0,
		"lateValue":   0.5,
	}
}
