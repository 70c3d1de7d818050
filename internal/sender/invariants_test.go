package sender

import (
	"bytes"
	"errors"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/journal"
	"onyxdyke.example/onyxdyke/internal/metrics"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

func testGuard() (*invariantChecker, *metrics.Registry) {
	f := metrics.New(nil)
	return newInvariantChecker(slog.New(slog.DiscardHandler), f), f
}

// wantRule checks which rule an error of the guard names; "" for none.
func wantRule(t *testing.T, err error, want Rule) {
	t.Helper()
	var violation *violationError
	errors.As(err, &violation)
	switch {
	case want == "" && err != nil:
		t.Errorf("it is refused: %v", err)
	case want != "" && (violation == nil || violation.rule != want):
		t.Errorf("%v, want rule %s", err, want)
	}
}

func TestGuardChecksWhereACallGoes(t *testing.T) {
	t.Parallel()
	shared := waitScope{destination: 3}
	for name, c := range map[string]struct {
		drainedFor time.Duration
		scope      waitScope
		waitFor    time.Duration
		waitedFor  time.Duration
		want       Rule
		passed     bool // it is not counted as a violation
	}{
		"nothing told":             {},
		"just drained":             {drainedFor: drainKnown / 2},
		"drained as it was begun":  {drainedFor: drainGrace / 2, want: RuleDrain, passed: true},
		"drained for long":         {drainedFor: 2 * drainGrace, want: RuleDrain},
		"a wait that is not over":  {scope: shared, waitFor: time.Minute, waitedFor: time.Second, want: RuleWait},
		"a wait told just now":     {scope: shared, waitFor: time.Minute},
		"a wait that is over":      {scope: shared, waitFor: time.Second, waitedFor: 2 * time.Second},
		"a wait somewhere else":    {scope: waitScope{destination: 4}, waitFor: time.Minute, waitedFor: time.Second},
		"a wait of a single route": {scope: waitScope{endpoint: 3, apart: true}, waitFor: time.Minute, waitedFor: time.Second},
	} {
		g, f := testGuard()
		e := &endpoint{id: "e", scope: shared}
		if c.drainedFor > 0 {
			e.drained = time.Now().Add(-c.drainedFor)
		}
		if c.waitFor > 0 {
			from := time.Now().Add(-c.waitedFor)
			g.waits[c.scope] = waitSpan{from, from.Add(c.waitFor)}
		}
		t.Run(name, func(t *testing.T) {
			wantRule(t, g.checkSend(e, nil), c.want)
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

func TestGuardChecksRepeats(t *testing.T) {
	t.Parallel()
	second, now := time.Second, 100*time.Second
	for name, c := range map[string]struct {
		rules journal.Rules
		tries []journal.Attempt
		out   int
		want  Rule
	}{
		"a first attempt":              {rules: journal.Rules{Effect: dispatch.NonIdempotent}, tries: []journal.Attempt{{SentAt: now}}},
		"a safe repeat":                {rules: journal.Rules{Effect: dispatch.Idempotent}, tries: []journal.Attempt{{SentAt: 0}, {SentAt: now}}},
		"an unsafe repeat":             {rules: journal.Rules{Effect: dispatch.NonIdempotent}, tries: []journal.Attempt{{SentAt: now - second}, {SentAt: now}}, want: RuleRepeat},
		"unsafe, never ran":            {rules: journal.Rules{Effect: dispatch.NonIdempotent}, tries: []journal.Attempt{{SentAt: now - second, NeverRan: true}, {SentAt: now}}},
		"a key that is remembered":     {rules: journal.Rules{Effect: dispatch.IdempotentByKey, IdempotencyWindow: 2 * second}, tries: []journal.Attempt{{SentAt: now - second}, {SentAt: now}}},
		"a key that is forgotten":      {rules: journal.Rules{Effect: dispatch.IdempotentByKey, IdempotencyWindow: second / 2}, tries: []journal.Attempt{{SentAt: now - second}, {SentAt: now}}, want: RuleRepeat},
		"a second attempt at one time": {rules: journal.Rules{Effect: dispatch.Idempotent}, tries: []journal.Attempt{{SentAt: now - second}, {SentAt: now}}, out: 1, want: RuleConcurrent},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g, _ := testGuard()
			m := &message{Message: &journal.Message{Record: journal.Record{ID: "m", Rules: &c.rules, Attempts: c.tries}}, calls: map[int]*outCall{}}
			for n := range c.out {
				m.calls[n] = &outCall{}
			}
			wantRule(t, g.checkSend(&endpoint{}, []sendPermit{sendPermitFor(m, m.calls, now)}), c.want)
		})
	}
}

// A call that the guard stops is not written, and its connection serves the next one.
func TestGuardStopsACallBeforeItIsWritten(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	p := testPool()
	at := &endpoint{addr: e.Addr, drained: time.Now().Add(-time.Minute)}
	if got := callOnce(p, at, time.Second, "stopped"); got.Outcome != dispatch.NotSent {
		t.Errorf("%+v", got)
	}
	at.drained = time.Time{}
	if got := callOnce(p, at, time.Second, "body"); got.Outcome != dispatch.Served {
		t.Errorf("%+v", got)
	}
	if c := e.Next(t); c.Body != "body" || c.Conn != 1 {
		t.Errorf("%+v", c)
	}
}

func TestGuardCountsAConnectionClosedWithARequest(t *testing.T) {
	t.Parallel()
	g, f := testGuard()
	ours, theirs := net.Pipe()
	defer theirs.Close()
	c := &clientConn{Conn: ours, left: func() {}, closing: g.checkClose}
	c.owed.Store(true)
	c.Close()
	if n := f.ReasonCount(metrics.ReasonViolation, "answer"); n != 1 {
		t.Errorf("violations.answer is %d", n)
	}
}

// Reasons are part of what operators read, and violations stand there also while there are none.
func TestFiguresTellReasons(t *testing.T) {
	t.Parallel()
	f := metrics.New([]string{"safe"}, ruleNames()...)
	f.CountReason(metrics.ReasonRetried, "timed_out")
	var out bytes.Buffer
	f.Dump(&out)
	for _, line := range []string{"edge_edge.retried.timed_out=1\n", "edge_edge.violations.drain=0\n"} {
		if !strings.Contains(out.String(), line) {
			t.Errorf("%q is missing in %q", line, out.String())
		}
	}
}
