package sender

import (
	"bytes"
	"errors"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"dockshift.example/dockshift/brain"
	st "dockshift.example/dockshift/internal/sendertest"
)

func testGuard() (*guard, *figures) {
	f := newFigures(nil)
	return newGuard(slog.New(slog.DiscardHandler), f), f
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
			if n := f.reasons["violations."+string(c.want)]; n != want {
				t.Errorf("it is counted %d times, not %d", n, want)
			}
		})
	}
}

func TestGuardChecksRepeats(t *testing.T) {
	t.Parallel()
	second, now := time.Second, 100*time.Second
	for name, c := range map[string]struct {
		rules rules
		tries []try
		out   int
		want  Rule
	}{
		"a first attempt":              {rules: rules{Effect: brain.Unsafe}, tries: []try{{At: now}}},
		"a safe repeat":                {rules: rules{Effect: brain.Safe}, tries: []try{{At: 0}, {At: now}}},
		"an unsafe repeat":             {rules: rules{Effect: brain.Unsafe}, tries: []try{{At: now - second}, {At: now}}, want: RuleRepeat},
		"unsafe, never ran":            {rules: rules{Effect: brain.Unsafe}, tries: []try{{At: now - second, Never: true}, {At: now}}},
		"a key that is remembered":     {rules: rules{Effect: brain.Keyed, Window: 2 * second}, tries: []try{{At: now - second}, {At: now}}},
		"a key that is forgotten":      {rules: rules{Effect: brain.Keyed, Window: second / 2}, tries: []try{{At: now - second}, {At: now}}, want: RuleRepeat},
		"a second attempt at one time": {rules: rules{Effect: brain.Safe}, tries: []try{{At: now - second}, {At: now}}, out: 1, want: RuleConcurrent},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g, _ := testGuard()
			m := &message{stored: &stored{record: record{ID: "m", Rules: &c.rules, Tries: c.tries}}, calls: map[int]*outCall{}}
			for n := range c.out {
				m.calls[n] = &outCall{}
			}
			wantRule(t, g.checkSend(&endpoint{}, []permit{permitOf(m, m.calls, now)}), c.want)
		})
	}
}

// A call that the guard stops is not written, and its connection serves the next one.
func TestGuardStopsACallBeforeItIsWritten(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	p := testPool()
	at := &endpoint{addr: e.Addr, drained: time.Now().Add(-time.Minute)}
	if got := callOnce(p, at, time.Second, "stopped"); got.Outcome != brain.NotSent {
		t.Errorf("%+v", got)
	}
	at.drained = time.Time{}
	if got := callOnce(p, at, time.Second, "body"); got.Outcome != brain.Served {
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
	if f.reasons["violations.answer"] != 1 {
		t.Errorf("%v", f.reasons)
	}
}

// Reasons are part of what operators read, and violations stand there also while there are none.
func TestFiguresTellReasons(t *testing.T) {
	t.Parallel()
	f := newFigures([]string{"safe"})
	f.reason(reasonRetried, "timed_out")
	var out bytes.Buffer
	f.dump(&out)
	for _, line := range []string{"edge_edge.retried.timed_out=1\n", "edge_edge.violations.drain=0\n"} {
		if !strings.Contains(out.String(), line) {
			t.Errorf("%q is missing in %q", line, out.String())
		}
	}
}
