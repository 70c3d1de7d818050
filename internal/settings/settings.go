// Package settings converts the settings of the simulator and of a sender's configuration to the dispatcher's settings.
//
// The simulator passes settings as path=value lines, a configuration file as nested JSON with the same names. Flatten
// converts the JSON to path=value lines, and Translate reads both by the same keys, so that the two formats cannot
// diverge. The package has no state; the simulator's adapter and the sender's configuration use it.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"sort"
	"strings"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/simprotocol"
)

// DurationFromMilliseconds converts milliseconds to a duration, rounded to whole microseconds, the resolution of the
// simulator. Values beyond half the range of a duration are clamped.
func DurationFromMilliseconds(ms float64) time.Duration {
	us := math.Round(ms * 1000)
	if limit := float64(math.MaxInt64 / 2000); us > limit || us < -limit {
		us = math.Copysign(limit, us)
	}
	return time.Duration(us) * time.Microsecond
}

// Translate returns the dispatcher's settings. It ignores unknown keys; env.Err returns an error that names the first
// value that cannot be parsed.
func Translate(env *simprotocol.Env) dispatch.Settings {
	s := translateScalars(env)
	s.Kinds = translateKinds(env)
	s.Classes = translateClasses(env)
	s.Tenants = translateTenants(env)
	return s
}

func milliseconds(env *simprotocol.Env, key string) time.Duration {
	return DurationFromMilliseconds(env.Float(key))
}

func translateScalars(env *simprotocol.Env) dispatch.Settings {
	return dispatch.Settings{
		Senders:               env.Int("balancers"),
		Number:                env.Int("slotNo"),
		Zone:                  env.Int("zone"),
		MaxConcurrentCalls:    env.Int("familyInfo.callsOut"),
		MaxPendingMessages:    env.Int("limits.mostHeld"),
		MaxAttempts:           env.Int("limits.maxAttempts"),
		CanCancelAttempts:     env.Bool("limits.cancel"),
		IdleConnectionTimeout: milliseconds(env, "limits.connIdle"),
		SendsRetryAfter:       env.Bool("limits.retryAfter"),
		MaxRetryAfter:         milliseconds(env, "limits.maxRetryAfter"),
		PollsEndpointList:     env.Word("discovery", "pushed", "on_request") == 1,
		StepInterval:          milliseconds(env, "step"),
		OrderedKeySettleTime:  milliseconds(env, "rules.settleAfterDoubt"),
		CollapseLoadFactor:    env.Float("rules.fallMultiple"),
		SlowStartCapacity:     env.Float("rules.startCapacity"),
		OverloadWindow:        milliseconds(env, "rules.overloadFor"),
		SlowStartDuration:     milliseconds(env, "rules.cold"),
		TotalWeight:           env.Float("blend.whole") + env.Float("blend.worstWindow"),
		WorstClassWeight:      env.Float("blend.worstClass"),
		OverQuotaWeight:       env.Float("overShareWorth"),
		CrossZoneCost:         env.Float("costs.crossZone"),
		LateWeightHalves:      env.Word("familyInfo.fades", "linear", "halving") == 1,
		RatingIsRateLimit:     isRatingRateLimit(env),
		ZoneFees:              env.Floats("familyInfo.toll"),
	}
}

// isRatingRateLimit reports whether an endpoint's rating is its destination's rate limit, either exactly ("nominal") or
// with an error of up to half in either direction ("rough").
func isRatingRateLimit(env *simprotocol.Env) bool {
	const nominal, rough = 1, 2
	weights := env.Word("weights", "none", "nominal", "rough", "live")
	return weights == nominal || weights == rough
}

func translateKinds(env *simprotocol.Env) []dispatch.Kind {
	perEndpoint, batchSizes := env.Bools("familyInfo.routesApart"), env.Floats("familyInfo.perCall")
	var kinds []dispatch.Kind
	for i := range env.List("models") {
		kind := dispatch.Kind{MaxBatchSize: 1}
		if i < len(perEndpoint) {
			kind.PerEndpoint = perEndpoint[i]
		}
		if i < len(batchSizes) {
			kind.MaxBatchSize = int(batchSizes[i])
		}
		kinds = append(kinds, kind)
	}
	return kinds
}

func translateClasses(env *simprotocol.Env) []dispatch.Class {
	var classes []dispatch.Class
	for i := range env.Count("services") {
		prefix := fmt.Sprintf("services.%d.", i)
		effect := prefix + "effect"
		classes = append(classes, dispatch.Class{
			LatencyObjective:  milliseconds(env, prefix+"slo"),
			Deadline:          milliseconds(env, prefix+"giveUp"),
			Effect:            dispatch.Effect(env.Word(effect, "read_like", "idempotency_key", "non_idempotent")),
			KeyScopedToZone:   env.Word(prefix+"dedupScope", "all", "zone", "cell") != 0,
			IdempotencyWindow: milliseconds(env, prefix+"dedupWindow"),
			Ordered:           env.Bool(prefix + "oneAtATime"),
			PriorityWeight:    env.Float(prefix + "worth"),
			LateWeight:        env.Float(prefix + "lateValue"),
		})
	}
	return classes
}

func translateTenants(env *simprotocol.Env) []dispatch.Tenant {
	var tenants []dispatch.Tenant
	for i := range env.Count("orgs") {
		prefix := fmt.Sprintf("orgs.%d.", i)
		tenants = append(tenants, dispatch.Tenant{
			Quota:     env.Float(prefix + "share"),
			QuotaRate: env.Float(prefix + "allowancePerS"),
		})
	}
	return tenants
}

// Flatten converts nested JSON to the simulator's path=value lines. A list of plain values is joined by commas; a list
// of objects becomes its length under .count and its items under .0, .1 and so on.
func Flatten(raw []byte) (*simprotocol.Env, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var root map[string]any
	if err := decoder.Decode(&root); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	lines := appendFlattened(nil, "", root)
	sort.Strings(lines)
	return simprotocol.ParseEnv(strings.Join(lines, "\n"))
}

// separatorReplacer replaces the characters that separate lines and list items.
var separatorReplacer = strings.NewReplacer(" ", "_", ",", "_", "\n", "_", "\r", "_")

// appendFlattened appends the path=value lines of the value at path.
func appendFlattened(lines []string, path string, value any) []string {
	switch value := value.(type) {
	case map[string]any:
		for key, item := range value {
			lines = appendFlattened(lines, strings.TrimPrefix(path+"."+key, "."), item)
		}
		return lines
	case []any:
		return appendFlattenedList(lines, path, value)
	case nil:
		return lines
	default:
		return append(lines, path+"="+flattenPlain(value))
	}
}

func appendFlattenedList(lines []string, path string, list []any) []string {
	var plainItems []string
	for i, item := range list {
		if _, isObject := item.(map[string]any); isObject {
			lines = appendFlattened(lines, fmt.Sprintf("%s.%d", path, i), item)
		} else {
			plainItems = append(plainItems, flattenPlain(item))
		}
	}
	if len(list) > 0 && plainItems == nil {
		return append(lines, fmt.Sprintf("%s.count=%d", path, len(list)))
	}
	return append(lines, path+"="+strings.Join(plainItems, ","))
}

func flattenPlain(value any) string { return separatorReplacer.Replace(fmt.Sprint(value)) }
