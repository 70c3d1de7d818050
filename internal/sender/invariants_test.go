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

// newTestChecker returns a checker and the registry in which it counts violations.
func newTestChecker() (*invariant.Checker, *metrics.Registry) {
	registry := metrics.New(nil)
	return invariant.NewChecker(slog.New(slog.DiscardHandler), registry), registry
}

// wantRule checks that an error is a violation of a rule, or nil if the rule is "".
func wantRule(t *testing.T, err error, want invariant.Rule) {
	t.Helper()
	var violation *invariant.ViolationError
	errors.As(err, &violation)
	switch {
	case want == "" && err != nil:
		t.Errorf("the attempt is not allowed: %v", err)
	case want != "" && (violation == nil || violation.Rule != want):
		t.Errorf("the attempt ends with %v, want a violation of rule %s", err, want)
	}
}

// Guards against attempts that the rules of their message forbid: the checker gets from sendPermitFor what it needs to
// know about the message.
func TestCheckerEnforcesRetryRules(t *testing.T) {
	t.Parallel()
	second, now := time.Second, 100*time.Second
	for name, c := range map[string]struct {
		rules    journal.Rules
		attempts []journal.Attempt
		inFlight int // attempts
		want     invariant.Rule
	}{
		"a first attempt": {rules: journal.Rules{
			Effect: dispatch.NonIdempotent,
		}, attempts: []journal.Attempt{{SentAt: now}}},
		"a safe repeat": {rules: journal.Rules{
			Effect: dispatch.Idempotent,
		}, attempts: []journal.Attempt{{SentAt: 0}, {SentAt: now}}},
		"an unsafe repeat": {rules: journal.Rules{
			Effect: dispatch.NonIdempotent,
		}, attempts: []journal.Attempt{{SentAt: now - second}, {SentAt: now}}, want: invariant.RuleRepeat},
		"an unsafe repeat of an attempt that never ran": {rules: journal.Rules{
			Effect: dispatch.NonIdempotent,
		}, attempts: []journal.Attempt{{SentAt: now - second, NeverRan: true}, {SentAt: now}}},
		"a retry inside the idempotency window": {rules: journal.Rules{
			Effect:            dispatch.IdempotentByKey,
			IdempotencyWindow: 2 * second,
		}, attempts: []journal.Attempt{{SentAt: now - second}, {SentAt: now}}},
		"a retry after the idempotency window": {rules: journal.Rules{
			Effect:            dispatch.IdempotentByKey,
			IdempotencyWindow: second / 2,
		}, attempts: []journal.Attempt{{SentAt: now - second}, {SentAt: now}}, want: invariant.RuleRepeat},
		"an attempt while another is in flight": {rules: journal.Rules{
			Effect: dispatch.Idempotent,
		}, attempts: []journal.Attempt{{SentAt: now - second}, {SentAt: now}}, inFlight: 1,
			want: invariant.RuleConcurrent},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checker, _ := newTestChecker()
			m := &message{
				Message: &journal.Message{Record: journal.Record{ID: "m", Rules: &c.rules, Attempts: c.attempts}},
				calls:   map[int]*inFlightCall{},
			}
			for n := range c.inFlight {
				m.calls[n] = &inFlightCall{}
			}
			wantRule(t, checker.CheckSend(
				invariant.Target{}, []invariant.SendPermit{sendPermitFor(m, m.calls, now)}), c.want)
		})
	}
}
