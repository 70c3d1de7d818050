// Package invariant checks, at run time, the promises that the sender makes to its clients and endpoints.
//
// The checks stand at the points where a promise can be broken: before a call is written, before a message is sent
// again, when a client's connection is closed, when a message is promised to have had no effect, and when the process
// starts to own the journal. The decisions are made elsewhere and should never conflict with them, so each violation
// is a defect: it is counted in the operators' figures and logged.
package invariant

import (
	"fmt"
	"log/slog"
	"sync"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/metrics"
)

// Rule names an invariant. Its violations are counted as violations.RULE in the operators' figures.
type Rule string

// The invariants.
const (
	// RuleDrain: no call to an endpoint later than the grace after the sender was notified that it drains.
	RuleDrain Rule = "drain"
	// RuleRetryAfter: no call to a destination before the Retry-After that it sent is over.
	RuleRetryAfter Rule = "wait"
	// RuleRepeat: no repeat that the message's class, or the window of its idempotency key, forbids.
	RuleRepeat Rule = "repeat"
	// RuleConcurrent: no two attempts of one message in flight at a time.
	RuleConcurrent Rule = "concurrent"
	// RuleAnswer: no connection closed with a request that was read completely and not answered.
	RuleAnswer Rule = "answer"
	// RulePromise: no promise of no effect whose record is not in the journal.
	RulePromise Rule = "promise"
	// RuleOwnership: no start without the lock on the state directory.
	RuleOwnership Rule = "ownership"
)

// RuleNames are the names of all rules.
func RuleNames() []string {
	return []string{
		string(RuleDrain),
		string(RuleRetryAfter),
		string(RuleRepeat),
		string(RuleConcurrent),
		string(RuleAnswer),
		string(RulePromise),
		string(RuleOwnership),
	}
}

const (
	// drainGrace is how long calls may go to an endpoint that the sender was notified to drain (protocol: 500 ms and
	// 50 ms of slack).
	drainGrace = 500 * time.Millisecond
	// drainWriteGrace is how long calls may still be written once it is known that an endpoint drains. That is known
	// up to 0.25 s after the agent has it (see package discovery), and a sender may be paused for 0.15 s before it
	// writes.
	drainWriteGrace = 100 * time.Millisecond
	// retryAfterGrace is how long after a Retry-After came calls still pass: the protocol accepts those that arrive
	// within 100 ms.
	retryAfterGrace = 50 * time.Millisecond
)

// Checker checks the invariants. It is safe for concurrent use.
type Checker struct {
	log     *slog.Logger
	metrics *metrics.Registry

	mu    sync.Mutex
	waits map[Scope]waitSpan
}

// Scope is what a Retry-After binds: a destination, or one endpoint where each has limits of its own.
type Scope struct {
	Destination dispatch.DestinationID
	Endpoint    dispatch.EndpointID // only with PerEndpoint
	PerEndpoint bool
}

// waitSpan is the time of a Retry-After.
type waitSpan struct{ from, until time.Time }

// NewChecker makes a checker that counts violations in a registry.
func NewChecker(log *slog.Logger, registry *metrics.Registry) *Checker {
	return &Checker{log: log, metrics: registry, waits: map[Scope]waitSpan{}}
}

// ViolationError says why a call may not be written or a promise not be made.
type ViolationError struct {
	Rule   Rule
	Detail string
}

func (e *ViolationError) Error() string { return fmt.Sprintf("rule %s: %s", e.Rule, e.Detail) }

// violated counts and logs a violation and returns it as an error.
func (c *Checker) violated(rule Rule, id, detail string) error {
	c.metrics.CountReason(metrics.ReasonViolation, string(rule))
	c.log.Error("rule violated", "rule", rule, "id", id, "detail", detail)
	return &ViolationError{Rule: rule, Detail: detail}
}

// RetryAfterReceived notes a Retry-After, from the moment that the head of its response was read.
func (c *Checker) RetryAfterReceived(scope Scope, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	span := c.waits[scope]
	if now.After(span.until) {
		span.from = now
	}
	if until := now.Add(wait); until.After(span.until) {
		span.until = until
	}
	c.waits[scope] = span
}

// mustWait reports whether a Retry-After forbids calls to scope at a time.
func (c *Checker) mustWait(scope Scope, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	span, ok := c.waits[scope]
	if ok && now.After(span.until) {
		delete(c.waits, scope)
		return false
	}
	return ok && now.After(span.from.Add(retryAfterGrace))
}

// SendPermit is what has to be known of a message before it is written to an endpoint.
type SendPermit struct {
	MessageID       string
	MayHaveRun      bool      // an earlier attempt may have run
	NonRepeatable   bool      // then it may not be sent again
	RepeatableUntil time.Time // or only until then; the zero time for no bound
	InFlight        int       // other attempts with it
}

// Target is the endpoint that a call goes to.
type Target struct {
	ID        string
	DrainedAt time.Time // since when it drains or is gone, the zero time while it serves
	Scope     Scope
}

// CheckSend returns why a call may not be written now, as a *ViolationError, or nil.
func (c *Checker) CheckSend(to Target, permits []SendPermit) error {
	now := time.Now()
	if drainedFor := now.Sub(to.DrainedAt); !to.DrainedAt.IsZero() && drainedFor > drainWriteGrace {
		const detail = "it drains or is gone"
		if drainedFor > drainGrace {
			return c.violated(RuleDrain, to.ID, detail)
		}
		return &ViolationError{Rule: RuleDrain, Detail: detail} // no defect: the call was under way
	}
	if c.mustWait(to.Scope, now) {
		return c.violated(RuleRetryAfter, to.ID, "its Retry-After is not over")
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
		return c.violated(RuleConcurrent, permit.MessageID, "another attempt is in flight")
	case permit.MayHaveRun && permit.NonRepeatable:
		return c.violated(RuleRepeat, permit.MessageID, "it may have run, and its class allows no repeat")
	case permit.MayHaveRun && !permit.RepeatableUntil.IsZero() && !now.Before(permit.RepeatableUntil):
		return c.violated(RuleRepeat, permit.MessageID, "its idempotency window may be over")
	}
	return nil
}

// CheckClose counts a client's connection that is closed, and a violation if a request on it has no answer.
func (c *Checker) CheckClose(reason string, isUnanswered bool) {
	c.metrics.CountReason(metrics.ReasonClosed, reason)
	if isUnanswered {
		_ = c.violated(RuleAnswer, "", "a connection is closed with a complete request and no answer")
	}
}

// CheckPromise counts a violation if a message is promised to have had no effect although its end is not recorded: the
// next process would send it.
func (c *Checker) CheckPromise(id string, isRecorded bool) {
	if !isRecorded {
		_ = c.violated(RulePromise, id, "its end is not in the journal")
	}
}

// CheckOwnership counts a start without the lock that makes this process the only one to own the journal.
func (c *Checker) CheckOwnership(isLocked bool) {
	if !isLocked {
		_ = c.violated(RuleOwnership, "", "the state directory is used without its lock")
	}
}
