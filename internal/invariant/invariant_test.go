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

func testGuard() (*Checker, *metrics.Registry) {
	f := metrics.New(nil)
	return NewChecker(slog.New(slog.DiscardHandler), f), f
}

// wantRule checks which rule an error of the guard names; "" for none.
func wantRule(t *testing.T, err error, want Rule) {
	t.Helper()
	var violation *ViolationError
	errors.As(err, &violation)
	switch {
	case want == "" && err != nil:
		t.Errorf("it is refused: %v", err)
	case want != "" && (violation == nil || violation.Rule != want):
		t.Errorf("%v, want rule %s", err, want)
	}
}

func TestGuardChecksWhereACallGoes(t *testing.T) {
	t.Parallel()
	shared := Scope{Destination: 3}
	for name, c := range map[string]struct {
		drainedFor time.Duration
		scope      Scope
		waitFor    time.Duration
		waitedFor  time.Duration
		want       Rule
		passed     bool // it is not counted as a violation
	}{
		"nothing told":             {},
		"just drained":             {drainedFor: drainKnown / 2},
		"drained as it was begun":  {drainedFor: drainGrace / 2, want: RuleDrain, passed: true},
		"drained for long":         {drainedFor: 2 * drainGrace, want: RuleDrain},
		"a wait that is not over":  {scope: shared, waitFor: time.Minute, waitedFor: time.Second, want: RuleRetryAfter},
		"a wait told just now":     {scope: shared, waitFor: time.Minute},
		"a wait that is over":      {scope: shared, waitFor: time.Second, waitedFor: 2 * time.Second},
		"a wait somewhere else":    {scope: Scope{Destination: 4}, waitFor: time.Minute, waitedFor: time.Second},
		"a wait of a single route": {scope: Scope{Endpoint: 3, PerEndpoint: true}, waitFor: time.Minute, waitedFor: time.Second},
	} {
		g, f := testGuard()
		e := Target{ID: "e", Scope: shared}
		if c.drainedFor > 0 {
			e.DrainedAt = time.Now().Add(-c.drainedFor)
		}
		if c.waitFor > 0 {
			from := time.Now().Add(-c.waitedFor)
			g.waits[c.scope] = waitSpan{from, from.Add(c.waitFor)}
		}
		t.Run(name, func(t *testing.T) {
			wantRule(t, g.CheckSend(e, nil), c.want)
			want := uint64(1)
			if c.want == "" || c.passed {
				want = 0
			}
			if n := f.ReasonCount(metrics.ReasonViolation, string(c.want)); n != want {
				t.Errorf("it is counted %d times, not %d", n, want)
			}
		})
	}
}

// Reasons are part of what operators read, and violations stand there also while there are none.
func TestFiguresTellReasons(t *testing.T) {
	t.Parallel()
	f := metrics.New([]string{"safe"}, RuleNames()...)
	f.CountReason(metrics.ReasonRetried, "timed_out")
	var out bytes.Buffer
	f.Dump(&out)
	for _, line := range []string{"edge_edge.retried.timed_out=1\n", "edge_edge.violations.drain=0\n"} {
		if !strings.Contains(out.String(), line) {
			t.Errorf("%q is missing in %q", line, out.String())
		}
	}
}
