package sender

import (
	"fmt"
	"log/slog"
	"sync"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/journal"
	"onyxdyke.example/onyxdyke/internal/metrics"
)

// Rule names a promise that the guard checks at run time. Its violations are counted as violations.RULE in the
// operators' figures.
type Rule string

// The rules that the guard checks.
const (
	RuleDrain      Rule = "drain"      // no call to an endpoint later than the drain grace after it was told to drain
	RuleWait       Rule = "wait"       // no call to a destination before a wait that it told is over
	RuleRepeat     Rule = "repeat"     // no repeat that the message's class, or the window of its key, forbids
	RuleConcurrent Rule = "concurrent" // no two attempts of one message out at a time
	RuleAnswer     Rule = "answer"     // no connection closed with a request that was read whole and not answered
	RulePromise    Rule = "promise"    // no promise of no effect whose record is not in the journal
	RuleOwnership  Rule = "ownership"  // no start without the lock on the state folder
)

var allRules = []Rule{RuleDrain, RuleWait, RuleRepeat, RuleConcurrent, RuleAnswer, RulePromise, RuleOwnership}

const (
	// drainGrace is how long calls may go on to an endpoint that has been told to drain (protocol: 500 ms and 50 ms of slack).
	drainGrace = 500 * time.Millisecond
	// drainKnown is how long calls may still be written once it is known that an endpoint drains. That is known up to 0.25 s
	// after the agent has it (listwatch.go), and a sender may be held up for 0.15 s before it writes.
	drainKnown = 100 * time.Millisecond
	// waitGrace is how long after a told wait calls still pass: the protocol lets those through that arrive within 100 ms.
	waitGrace = 50 * time.Millisecond
)

// guard stands at the four points where a promise can be broken: before a call is written, before a message is sent
// again, when a client's connection is closed, and when the process starts to own the journal. The decisions are made
// elsewhere and should never come into conflict with it, so what it refuses it also counts. It is safe for concurrent use.
type invariantChecker struct {
	log     *slog.Logger
	figures *metrics.Registry

	mu    sync.Mutex
	waits map[waitScope]waitSpan
}

// waitScope is what a told wait binds: a destination, or one endpoint where routes are apart.
type waitScope struct {
	destination dispatch.DestinationID
	endpoint    dispatch.EndpointID // only where apart
	apart       bool
}

// waitSpan is a told wait.
type waitSpan struct{ from, until time.Time }

func newInvariantChecker(log *slog.Logger, f *metrics.Registry) *invariantChecker {
	return &invariantChecker{log: log, figures: f, waits: map[waitScope]waitSpan{}}
}

// violationError is a call that the guard did not let pass.
type violationError struct {
	rule   Rule
	detail string
}

func (e *violationError) Error() string { return fmt.Sprintf("rule %s: %s", e.rule, e.detail) }

// violated counts and logs a violation and returns it as an error.
func (g *invariantChecker) violated(rule Rule, id, detail string) error {
	g.figures.CountReason(metrics.ReasonViolation, string(rule))
	g.log.Error("rule violated", "rule", rule, "id", id, "detail", detail)
	return &violationError{rule, detail}
}

// waitTold books a wait that an endpoint has told, from the moment that its answer's head was read.
func (g *invariantChecker) waitTold(scope waitScope, wait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	span := g.waits[scope]
	if now.After(span.until) {
		span.from = now
	}
	if until := now.Add(wait); until.After(span.until) {
		span.until = until
	}
	g.waits[scope] = span
}

// waits reports whether a told wait keeps calls from scope at the time.
func (g *invariantChecker) mustWait(scope waitScope, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	span, told := g.waits[scope]
	if told && now.After(span.until) {
		delete(g.waits, scope)
		return false
	}
	return told && now.After(span.from.Add(waitGrace))
}

// permit is what the guard has to know of a message in a call.
type sendPermit struct {
	id              string
	mayHaveRun      bool      // an earlier attempt may have run
	nonRepeatable   bool      // then it may not be sent again
	repeatableUntil time.Time // or only until then; the zero time for no bound
	inFlight        int       // attempts of it that are out
}

// checkRepeat tells why a message may not be sent, nil if it may.
func (g *invariantChecker) checkRepeat(p sendPermit, now time.Time) error {
	switch {
	case p.inFlight > 0:
		return g.violated(RuleConcurrent, p.id, "another attempt is out")
	case p.mayHaveRun && p.nonRepeatable:
		return g.violated(RuleRepeat, p.id, "it may have run, and its class allows no repeat")
	case p.mayHaveRun && !p.repeatableUntil.IsZero() && !now.Before(p.repeatableUntil):
		return g.violated(RuleRepeat, p.id, "its key may be forgotten already")
	}
	return nil
}

// checkSend tells why a call to e may not be written now, nil if it may.
func (g *invariantChecker) checkSend(e *endpoint, permits []sendPermit) error {
	now := time.Now()
	e.mu.Lock()
	drained, scope := e.drained, e.scope
	e.mu.Unlock()
	if known := now.Sub(drained); !drained.IsZero() && known > drainKnown {
		if known > drainGrace {
			return g.violated(RuleDrain, e.id, "it drains or is gone")
		}
		return &violationError{RuleDrain, "it drains or is gone"} // nothing has gone wrong: the call was under way
	}
	if g.mustWait(scope, now) {
		return g.violated(RuleWait, e.id, "a told wait is not over")
	}
	for _, p := range permits {
		if err := g.checkRepeat(p, now); err != nil {
			return err
		}
	}
	return nil
}

// checkClose counts a client's connection that is closed while it is owed an answer.
func (g *invariantChecker) checkClose(c *clientConn) {
	g.figures.CountReason(metrics.ReasonClosed, c.whyClosed())
	if c.owed.Load() {
		g.violated(RuleAnswer, "", "a connection is closed with a whole request and no answer")
	}
}

// checkPromise tells why a message may not be promised to have had no effect, nil if it may: its end has to be
// written, or the next process would send it.
func (g *invariantChecker) checkPromise(id string, written bool) error {
	if written {
		return nil
	}
	return g.violated(RulePromise, id, "its end is not in the journal")
}

// checkStart counts a start without the lock that makes this process the only one to own the journal.
func (g *invariantChecker) checkStart(locked bool) {
	if !locked {
		g.violated(RuleOwnership, "", "the state folder is used without its lock")
	}
}

// permitOf is what is to be known of m, whose newest attempt in the record is the one that asks.
func sendPermitFor(m *message, kept map[int]*outCall, now time.Duration) sendPermit {
	p := sendPermit{id: m.ID, inFlight: len(kept)}
	if m.Message == nil || m.Rules == nil || len(m.Attempts) == 0 {
		return p
	}
	earlier := journal.Message{Record: journal.Record{Attempts: m.Attempts[:len(m.Attempts)-1]}}
	first, ran := earlier.FirstPossibleRun()
	p.mayHaveRun = ran
	switch m.Rules.Effect {
	case dispatch.NonIdempotent:
		p.nonRepeatable = true
	case dispatch.IdempotentByKey:
		p.repeatableUntil = time.Now().Add(first.SentAt + m.Rules.IdempotencyWindow - now)
	}
	return p
}

// ruleNames are the names of all rules that are checked.
func ruleNames() []string {
	names := make([]string, 0, len(allRules))
	for _, rule := range allRules {
		names = append(names, string(rule))
	}
	return names
}
