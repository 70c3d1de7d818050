package invariant

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/metrics"
)

func newTestChecker() (*Checker, *metrics.Registry) {
	registry := metrics.New(nil)
	return NewChecker(slog.New(slog.DiscardHandler), registry), registry
}

// wantRule checks that err is a violation of a rule, or nil if want is empty.
func wantRule(t *testing.T, err error, want Rule) {
	t.Helper()
	var violation *ViolationError
	errors.As(err, &violation)
	switch {
	case want == "" && err != nil:
		t.Errorf("unexpected violation: %v", err)
	case want != "" && (violation == nil || violation.Rule != want):
		t.Errorf("error %v, want a violation of rule %s", err, want)
	}
}

func TestCallsDuringDrainOrRetryAfterAreRejected(t *testing.T) {
	t.Parallel()
	shared := Route{Destination: 3}
	for name, c := range map[string]struct {
		drainedFor time.Duration
		route      Route
		waitFor    time.Duration
		waitedFor  time.Duration
		want       Rule
		isExpected bool // the call is rejected, but not counted as a violation
	}{
		"serving":                       {},
		"draining for a moment":         {drainedFor: drainWriteGrace / 2},
		"draining since the call began": {drainedFor: drainGrace / 2, want: RuleDrain, isExpected: true},
		"draining for long":             {drainedFor: 2 * drainGrace, want: RuleDrain},
		"Retry-After is not over": {
			route:     shared,
			waitFor:   time.Minute,
			waitedFor: time.Second,
			want:      RuleRetryAfter,
		},
		"Retry-After has just been received": {route: shared, waitFor: time.Minute},
		"Retry-After is over":                {route: shared, waitFor: time.Second, waitedFor: 2 * time.Second},
		"Retry-After of another destination": {
			route:     Route{Destination: 4},
			waitFor:   time.Minute,
			waitedFor: time.Second,
		},
		"Retry-After of one endpoint": {
			route:     Route{Endpoint: 3, PerEndpoint: true},
			waitFor:   time.Minute,
			waitedFor: time.Second,
		},
	} {
		checker, registry := newTestChecker()
		target := Target{ID: "e", Route: shared}
		if c.drainedFor > 0 {
			target.DrainedAt = time.Now().Add(-c.drainedFor)
		}
		if c.waitFor > 0 {
			from := time.Now().Add(-c.waitedFor)
			checker.waits[c.route] = waitSpan{from, from.Add(c.waitFor)}
		}
		t.Run(name, func(t *testing.T) {
			wantRule(t, checker.CheckSend(target, nil), c.want)
			want := uint64(1)
			if c.want == "" || c.isExpected {
				want = 0
			}
			if n := registry.ReasonCount(metrics.ReasonViolation, string(c.want)); n != want {
				t.Errorf("%d violations are counted, want %d", n, want)
			}
		})
	}
}

// Operators read the counts of the reasons. Violations must be listed even while there are none.
func TestDumpListsViolationsAtZero(t *testing.T) {
	t.Parallel()
	registry := metrics.New([]string{"safe"}, RuleNames()...)
	registry.CountReason(metrics.ReasonRetried, "timed_out")
	var out bytes.Buffer
	registry.Dump(&out)
	for _, line := range []string{"edge_edge.retried.timed_out=1\n", "edge_edge.violations.drain=0\n"} {
		if !strings.Contains(out.String(), line) {
			t.Errorf("%q is missing in %q", line, out.String())
		}
	}
}
