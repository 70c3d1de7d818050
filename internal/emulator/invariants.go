package emulator

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// The names of the invariants, with which violations are reported.
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

	// ruleProcess is the name for operations of the runner that failed, such as the start of a process.
	ruleProcess = "process"
	// senderRulePrefix is the prefix of the names of invariants that the senders check and log as violated themselves.
	senderRulePrefix = "sender invariant "
)

// Violation is one violation of an invariant.
type Violation struct {
	Rule   string
	At     time.Duration
	Detail string
}

func (v Violation) String() string {
	return fmt.Sprintf("%8.3fs %-10s %s", v.At.Seconds(), v.Rule, v.Detail)
}

// violationf returns a violation with a formatted detail.
func violationf(rule string, at time.Duration, format string, args ...any) Violation {
	return Violation{Rule: rule, At: at, Detail: fmt.Sprintf(format, args...)}
}

// Outage is a span in which all endpoints of a destination hang, fail, are unavailable or reset connections.
type Outage struct {
	Destination int
	From, Until time.Duration
}

// RunConditions holds what Check needs to know about a run in addition to its history. A function that is nil stands
// for one that always reports false.
type RunConditions struct {
	Parameters Parameters
	Tolerance  time.Duration // for delays of the machine itself
	Outages    []Outage
	Capacity   []float64 // calls per second that each destination can take when it is warmed up
	End        time.Duration

	// OutcomeUncertain reports whether, at a time, answers may not reach a sender or its disk rejects writes.
	OutcomeUncertain func(sender int, at time.Duration) bool
	// Impaired reports whether, at a time, faults of its machine prevent a sender from accepting or answering clients.
	Impaired func(sender int, at time.Duration) bool
	// Flooded reports whether, at a time, the idle connections of a connection flood use up a sender's descriptors. The
	// sender may close new connections then without reading from them.
	Flooded func(sender int, at time.Duration) bool
}

// impairedBetween reports whether a sender is impaired at some time of a span, by samples every
// impairmentSampleInterval.
func (run RunConditions) impairedBetween(sender int, from, until time.Duration) bool {
	if run.Impaired == nil {
		return false
	}
	for at := from; at <= until; at += impairmentSampleInterval {
		if run.Impaired(sender, at) {
			return true
		}
	}
	return false
}

// arrivedInFlood reports whether a submission was made on a new connection and a connection flood is active at a time.
func (run RunConditions) arrivedInFlood(s *Submission, at time.Duration) bool {
	return s.FreshConnection && run.Flooded != nil && run.Flooded(s.Sender, at)
}

// invariants are the checks of all invariants. They are called with the history's mutex held.
var invariants = []func(*History, RunConditions) []Violation{
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

// Check checks a run by all invariants and returns the violations in order of time.
func Check(h *History, run RunConditions) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []Violation
	for _, check := range invariants {
		all = append(all, check(h, run)...)
	}
	slices.SortStableFunc(all, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return all
}
