// Package invariant checks at run time the guarantees that the sender gives to its clients and endpoints.
//
// The checks are made at the points where a guarantee can be violated: before a call is written, before a message is
// sent again, when a client's connection is closed, when a client is told that its message had no effect, and when the
// process takes ownership of the journal. The decisions are made in other packages and should never conflict with the
// checks, so each violation is a defect: it is counted in the metrics and logged.
package invariant

import (
	"fmt"
	"log/slog"
	"sync"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/metrics"
)

// Rule is the name of an invariant. Its violations are counted in the metric violations.RULE.
type Rule string

// The invariants.
const (
	// RuleDrain forbids calls to an endpoint once the grace period after the notification that it drains has passed.
	RuleDrain Rule = "drain"
	// RuleRetryAfter forbids calls to a destination until the Retry-After that it sent has passed.
	RuleRetryAfter Rule = "wait"
	// RuleRepeat forbids a repeat that the message's class, or the window of its idempotency key, does not allow.
	RuleRepeat Rule = "repeat"
	// RuleConcurrent forbids two concurrent attempts of one message.
	RuleConcurrent Rule = "concurrent"
	// RuleAnswer forbids closing a connection with a request that was read completely and has no answer.
	RuleAnswer Rule = "answer"
	// RuleEndRecorded forbids a response that the message had no effect before the message's end is in the journal.
	RuleEndRecorded Rule = "promise"
	// RuleOwnership forbids starting without the lock on the state directory.
	RuleOwnership Rule = "ownership"
)

// RuleNames returns the names of all rules.
func RuleNames() []string {
	return []string{
		string(RuleDrain),
		string(RuleRetryAfter),
		string(RuleRepeat),
		string(RuleConcurrent),
		string(RuleAnswer),
		string(RuleEndRecorded),
		string(RuleOwnership),
	}
}

const (
	// drainGrace is the period in which calls may still arrive at an endpoint after the sender was notified that it
	// drains (the protocol allows 500 ms and 50 ms of slack).
	drainGrace = 500 * time.Millisecond
	// drainWriteGrace is the period in which calls may still be written after the sender learned that an endpoint
	// drains. The sender learns it up to 0.25 s after the agent (see package discovery), and may be paused for 0.15 s
	// before it writes.
	drainWriteGrace = 100 * time.Millisecond
	// retryAfterGrace is the period after receipt of a Retry-After in which calls may still be written: the protocol
	// accepts those that arrive within 100 ms.
	retryAfterGrace = 50 * time.Millisecond
)

// Checker checks the invariants. It is safe for concurrent use.
type Checker struct {
	log     *slog.Logger
	metrics *metrics.Registry

	mu    sync.Mutex
	waits map[Route]waitSpan // the current Retry-After of each route
}

// Route identifies what a Retry-After applies to: a destination, or one endpoint where each has limits of its own.
type Route struct {
	Destination dispatch.DestinationID
	Endpoint    dispatch.EndpointID // set only with PerEndpoint
	PerEndpoint bool
}

// waitSpan is the period in which a Retry-After applies.
type waitSpan struct{ from, until time.Time }

// NewChecker returns a checker that counts violations in registry.
func NewChecker(log *slog.Logger, registry *metrics.Registry) *Checker {
	return &Checker{log: log, metrics: registry, waits: map[Route]waitSpan{}}
}

// ViolationError is the error of an action that an invariant forbids.
type ViolationError struct {
	Rule   Rule
	Detail string
}

func (e *ViolationError) Error() string { return fmt.Sprintf("rule %s: %s", e.Rule, e.Detail) }

// recordViolation counts and logs a violation and returns it as an error.
func (c *Checker) recordViolation(rule Rule, id, detail string) error {
	c.metrics.CountReason(metrics.ReasonViolation, string(rule))
	c.log.Error("rule violated", "rule", rule, "id", id, "detail", detail)
	return &ViolationError{Rule: rule, Detail: detail}
}

// RetryAfterReceived stores a Retry-After. It is called when the head of the response has been read; the wait starts
// then.
func (c *Checker) RetryAfterReceived(route Route, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	span := c.waits[route]
	if now.After(span.until) {
		span.from = now
	}
	if until := now.Add(wait); until.After(span.until) {
		span.until = until
	}
	c.waits[route] = span
}

// mustWait reports whether a Retry-After forbids calls to route at the time now.
func (c *Checker) mustWait(route Route, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	span, ok := c.waits[route]
	if ok && now.After(span.until) {
		delete(c.waits, route)
		return false
	}
	return ok && now.After(span.from.Add(retryAfterGrace))
}

// SendPermit holds the facts about a message that decide whether it may be written to an endpoint.
type SendPermit struct {
	MessageID       string
	MayHaveRun      bool      // an earlier attempt may have run
	NonRepeatable   bool      // if it may have run, it may not be sent again
	RepeatableUntil time.Time // if it may have run, it may be sent again only until then; the zero time for no limit
	InFlight        int       // number of its other attempts in flight
}

// Target is the endpoint that a call is made to.
type Target struct {
	ID        string
	DrainedAt time.Time // when it began to drain or was removed, the zero time while it serves
	Route     Route
}

// CheckSend returns why a call may not be written now, as a *ViolationError, or nil.
func (c *Checker) CheckSend(to Target, permits []SendPermit) error {
	now := time.Now()
	if drainedFor := now.Sub(to.DrainedAt); !to.DrainedAt.IsZero() && drainedFor > drainWriteGrace {
		const detail = "the endpoint drains or has been removed"
		if drainedFor > drainGrace {
			return c.recordViolation(RuleDrain, to.ID, detail)
		}
		return &ViolationError{Rule: RuleDrain, Detail: detail} // not a defect: the call had already begun
	}
	if c.mustWait(to.Route, now) {
		return c.recordViolation(RuleRetryAfter, to.ID, "the Retry-After of the endpoint or destination has not passed")
	}
	for _, permit := range permits {
		if err := c.checkRepeat(permit, now); err != nil {
			return err
		}
	}
	return nil
}

// checkRepeat returns why a message may not be sent, or nil.
func (c *Checker) checkRepeat(permit SendPermit, now time.Time) error {
	switch {
	case permit.InFlight > 0:
		return c.recordViolation(RuleConcurrent, permit.MessageID, "another attempt is in flight")
	case permit.MayHaveRun && permit.NonRepeatable:
		return c.recordViolation(RuleRepeat, permit.MessageID, "it may have run, and its class allows no repeat")
	case permit.MayHaveRun && !permit.RepeatableUntil.IsZero() && !now.Before(permit.RepeatableUntil):
		return c.recordViolation(RuleRepeat, permit.MessageID, "its idempotency window may have passed")
	}
	return nil
}

// CheckClose counts the close of a client's connection by its reason, and a violation if a request on it is unanswered.
func (c *Checker) CheckClose(reason string, isUnanswered bool) {
	c.metrics.CountReason(metrics.ReasonClosed, reason)
	if isUnanswered {
		_ = c.recordViolation(RuleAnswer, "", "a connection with a complete, unanswered request is closed")
	}
}

// CheckEndRecorded counts a violation if a client gets the response that its message had no effect although the
// message's end is not in the journal: the next process would send the message.
func (c *Checker) CheckEndRecorded(id string, isRecorded bool) {
	if !isRecorded {
		_ = c.recordViolation(RuleEndRecorded, id, "the end of the message is not in the journal")
	}
}

// CheckOwnership counts a violation if the process starts without the lock that makes it the only owner of the journal.
func (c *Checker) CheckOwnership(isLocked bool) {
	if !isLocked {
		_ = c.recordViolation(RuleOwnership, "", "the state directory is used without its lock")
	}
}
