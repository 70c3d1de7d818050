package sender

import (
	"errors"
	"log/slog"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/invariant"
	"onyxdyke.example/onyxdyke/internal/journal"
	"onyxdyke.example/onyxdyke/internal/metrics"
)

// newTestChecker is a checker and the registry in which it counts.
func newTestChecker() (*invariant.Checker, *metrics.Registry) {
	f := metrics.New(nil)
	return invariant.NewChecker(slog.New(slog.DiscardHandler), f), f
}

// wantRule checks which rule a violation names, "" for none.
func wantRule(t *testing.T, err error, want invariant.Rule) {
	t.Helper()
	var violation *invariant.ViolationError
	errors.As(err, &violation)
	switch {
	case want == "" && err != nil:
		t.Errorf("it is not allowed: %v", err)
	case want != "" && (violation == nil || violation.Rule != want):
		t.Errorf("%v, want rule %s", err, want)
	}
}

func TestCheckerChecksRetries(t *testing.T) {
	t.Parallel()
	second, now := time.Second, 100*time.Second
	for name, c := range map[string]struct {
		rules journal.Rules
		tries []journal.Attempt
		out   int
		want  invariant.Rule
	}{
		"a first attempt": {rules: journal.Rules{
			Effect: dispatch.NonIdempotent,
		}, tries: []journal.Attempt{{SentAt: now}}},
		"a safe repeat": {rules: journal.Rules{
			Effect: dispatch.Idempotent,
		}, tries: []journal.Attempt{{SentAt: 0}, {SentAt: now}}},
		"an unsafe repeat": {rules: journal.Rules{
			Effect: dispatch.NonIdempotent,
		}, tries: []journal.Attempt{{SentAt: now - second}, {SentAt: now}}, want: invariant.RuleRepeat},
		"unsafe, never ran": {rules: journal.Rules{
			Effect: dispatch.NonIdempotent,
		}, tries: []journal.Attempt{{SentAt: now - second, NeverRan: true}, {SentAt: now}}},
		"a key that is remembered": {rules: journal.Rules{
			Effect:            dispatch.IdempotentByKey,
			IdempotencyWindow: 2 * second,
		}, tries: []journal.Attempt{{SentAt: now - second}, {SentAt: now}}},
		"a key that is forgotten": {rules: journal.Rules{
			Effect:            dispatch.IdempotentByKey,
			IdempotencyWindow: second / 2,
		}, tries: []journal.Attempt{{SentAt: now - second}, {SentAt: now}}, want: invariant.RuleRepeat},
		"a second attempt at one time": {rules: journal.Rules{
			Effect: dispatch.Idempotent,
		}, tries: []journal.Attempt{{SentAt: now - second}, {SentAt: now}}, out: 1, want: invariant.RuleConcurrent},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g, _ := newTestChecker()
			m := &message{
				Message: &journal.Message{Record: journal.Record{ID: "m", Rules: &c.rules, Attempts: c.tries}},
				calls:   map[int]*inFlightCall{},
			}
			for n := range c.out {
				m.calls[n] = &inFlightCall{}
			}
			wantRule(t, g.CheckSend(invariant.Target{}, []invariant.SendPermit{sendPermitFor(m, m.calls, now)}), c.want)
		})
	}
}
