package emulator

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// The invariants, by the names with which violations are reported.
const (
	ruleLost        = "lost"
	ruleUnanswered  = "unanswered"
	ruleSlow        = "slow"
	ruleDuplicate   = "duplicate"
	ruleConcurrent  = "concurrent"
	ruleRejected    = "rejected"
	ruleDrain       = "drain"
	ruleRetryAfter  = "retry after"
	ruleSlowStart   = "slow start"
	ruleBadPeer     = "bad peer"
	ruleCrash       = "crash"
	ruleReady       = "ready"
	ruleListening   = "listening"
	ruleDestination = "destination"
	ruleBody        = "body"
	ruleResent      = "resent"

	// ruleProcess is for what the runner could not do.
	ruleProcess = "process"
	// senderRulePrefix is put before the rules that senders log as violated themselves.
	senderRulePrefix = "sender invariant "
)

// Violation is one breach of an invariant.
type Violation struct {
	Rule   string
	At     time.Duration
	Detail string
}

func (v Violation) String() string {
	return fmt.Sprintf("%8.3fs %-10s %s", v.At.Seconds(), v.Rule, v.Detail)
}

// violationf is a violation with a formatted detail.
func violationf(rule string, at time.Duration, format string, args ...any) Violation {
	return Violation{Rule: rule, At: at, Detail: fmt.Sprintf(format, args...)}
}

// Outage is a span in which all endpoints of a destination hung, failed, were unavailable or reset connections.
type Outage struct {
	Destination int
	From, Until time.Duration
}

// RunFacts is what a run's plan adds to its history. A function that is nil reports false.
type RunFacts struct {
	Parameters Parameters
	Tolerance  time.Duration // for delays of the machine itself
	Outages    []Outage
	Capacity   []float64 // calls per second that each destination can take when warm
	End        time.Duration

	// OutcomeUncertain reports whether answers may not reach a sender at a time, or its disk takes no writes.
	OutcomeUncertain func(sender int, at time.Duration) bool
	// Impaired reports whether a sender's machine keeps it from accepting or answering clients at a time.
	Impaired func(sender int, at time.Duration) bool
	// Flooded reports whether idle connections take the places of others at a time. New connections may be closed
	// unread then.
	Flooded func(sender int, at time.Duration) bool
}

// impairedBetween reports whether a sender is impaired at some time from one to another, as sampled.
func (f RunFacts) impairedBetween(sender int, from, until time.Duration) bool {
	if f.Impaired == nil {
		return false
	}
	for at := from; at <= until; at += impairmentSampleInterval {
		if f.Impaired(sender, at) {
			return true
		}
	}
	return false
}

// arrivedInFlood reports whether a submission came on a new connection amid a connection flood.
func (f RunFacts) arrivedInFlood(s *Submission, at time.Duration) bool {
	return s.FreshConnection && f.Flooded != nil && f.Flooded(s.Sender, at)
}

// invariants are all that a run is checked by. They run with the history's mutex held.
var invariants = []func(*History, RunFacts) []Violation{
	checkLost,
	checkUnanswered,
	checkAnswerTime,
	checkDuplicates,
	checkConcurrent,
	checkRejected,
	checkDrains,
	checkRetryAfter,
	checkSlowStart,
	checkBadPeers,
	checkIncarnations,
	checkListening,
	checkDestinations,
	checkBodies,
	checkResent,
}

// Check judges a run by all invariants. Violations come in order of time.
func Check(h *History, f RunFacts) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []Violation
	for _, check := range invariants {
		all = append(all, check(h, f)...)
	}
	slices.SortStableFunc(all, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return all
}
