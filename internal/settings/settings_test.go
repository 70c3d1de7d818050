package settings

import (
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/simprotocol"
)

// Guards against a difference between the two formats: a configuration's JSON and the simulator's path=value lines with
// the same values must give equal settings.
func TestConfigurationAndSimulatorGiveEqualSettings(t *testing.T) {
	const lines = `balancers=2
costs.handshake=0.06
discovery=on_request
familyInfo.callsOut=18
familyInfo.fades=halving
familyInfo.notes=full:_wait__0_if_none
familyInfo.perCall=1,3
familyInfo.routesApart=false,true
familyInfo.toll=0.0
limits.cancel=true
blend.whole=0.5
blend.worstClass=0.2
blend.worstWindow=0.25
limits.connIdle=15000.0
limits.maxRetryAfter=2000.5
models=processor,retailer
orgs.count=2
orgs.0.allowancePerS=14.0
orgs.0.name=a
orgs.0.share=0.38
orgs.1.allowancePerS=9.0
orgs.1.name=b
orgs.1.share=0.62
services.count=1
services.0.effect=idempotency_key
services.0.giveUp=28000.0
services.0.name=card-event
zones=x,y_z`
	const nested = `{
"balancers":2,
"blend":{"whole":0.5,"worstClass":0.2,"worstWindow":0.25},
"costs":{"handshake":0.06},
"discovery":"on_request",
"familyInfo":{
  "callsOut":18,"fades":"halving","notes":"full: wait, 0 if none","perCall":[1,3],
  "routesApart":[false,true],"toll":[0.0]
},
"limits":{"cancel":true,"connIdle":15000.0,"maxRetryAfter":2000.5},
"models":["processor","retailer"],
"orgs":[{"allowancePerS":14.0,"name":"a","share":0.38},{"allowancePerS":9.0,"name":"b","share":0.62}],
"services":[{"effect":"idempotency_key","giveUp":28000.0,"name":"card-event"}],
"zones":["x","y z"],
"unknown":null
}`
	want, err := simprotocol.ParseEnv(lines)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Flatten([]byte(nested))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
	s := Translate(got)
	if got.Err() != nil {
		t.Fatal(got.Err())
	}
	if s.MaxConcurrentCalls != 18 || s.MaxRetryAfter != 2000500*time.Microsecond || !s.LateWeightHalves ||
		!s.PollsEndpointList || s.TotalWeight != 0.75 || s.WorstClassWeight != 0.2 {
		t.Errorf("settings: %+v", s)
	}
	if !s.Kinds[1].PerEndpoint || s.Kinds[1].MaxBatchSize != 3 {
		t.Errorf("kinds: %+v", s.Kinds)
	}
	if s.Classes[0].Effect != dispatch.IdempotentByKey || s.Tenants[1].QuotaRate != 9 {
		t.Errorf("classes: %+v, tenants: %+v", s.Classes, s.Tenants)
	}
}

func TestTranslateReadsWords(t *testing.T) {
	hasEffect := func(want dispatch.Effect) func(dispatch.Settings) bool {
		return func(s dispatch.Settings) bool { return s.Classes[0].Effect == want }
	}
	for line, isTranslated := range map[string]func(dispatch.Settings) bool{
		"weights=nominal":                  func(s dispatch.Settings) bool { return s.RatingIsRateLimit },
		"weights=rough":                    func(s dispatch.Settings) bool { return s.RatingIsRateLimit },
		"weights=live":                     func(s dispatch.Settings) bool { return !s.RatingIsRateLimit },
		"weights=none":                     func(s dispatch.Settings) bool { return !s.RatingIsRateLimit },
		"discovery=pushed":                 func(s dispatch.Settings) bool { return !s.PollsEndpointList },
		"familyInfo.fades=linear":          func(s dispatch.Settings) bool { return !s.LateWeightHalves },
		"services.0.dedupScope=all":        func(s dispatch.Settings) bool { return !s.Classes[0].KeyScopedToZone },
		"services.0.dedupScope=zone":       func(s dispatch.Settings) bool { return s.Classes[0].KeyScopedToZone },
		"services.0.dedupScope=cell":       func(s dispatch.Settings) bool { return s.Classes[0].KeyScopedToZone },
		"services.0.effect=read_like":      hasEffect(dispatch.Idempotent),
		"services.0.effect=non_idempotent": hasEffect(dispatch.NonIdempotent),
		"models=a":                         func(s dispatch.Settings) bool { return s.Kinds[0].MaxBatchSize == 1 },
	} {
		t.Run(line, func(t *testing.T) {
			env, err := simprotocol.ParseEnv("services.count=1\n" + line)
			if err != nil {
				t.Fatal(err)
			}
			if s := Translate(env); env.Err() != nil || !isTranslated(s) {
				t.Errorf("settings %+v, error %v", s, env.Err())
			}
		})
	}
}

func TestDurationFromMilliseconds(t *testing.T) {
	for _, c := range []struct {
		ms   float64
		want time.Duration
	}{
		{ms: 0, want: 0},
		{ms: 1.5, want: 1500 * time.Microsecond},
		{ms: 0.0004, want: 0},
		{ms: 0.0006, want: time.Microsecond},
		{ms: -2, want: -2 * time.Millisecond},
		{ms: 1e300, want: math.MaxInt64 / 2000 * time.Microsecond},
		{ms: -1e300, want: -math.MaxInt64 / 2000 * time.Microsecond},
	} {
		if got := DurationFromMilliseconds(c.ms); got != c.want {
			t.Errorf("DurationFromMilliseconds(%v) is %v, want %v", c.ms, got, c.want)
		}
	}
}

func TestUnreadableSettingsAreReported(t *testing.T) {
	if _, err := Flatten([]byte(`{"step":`)); err == nil {
		t.Error("Flatten accepts truncated JSON")
	}
	env, err := Flatten([]byte(`{"step":"soon"}`))
	if err != nil {
		t.Fatal(err)
	}
	if Translate(env); env.Err() == nil || !strings.Contains(env.Err().Error(), "step") {
		t.Errorf("the error is %v, want one that names the key step", env.Err())
	}
}
