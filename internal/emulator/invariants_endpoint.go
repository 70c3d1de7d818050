package emulator

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// The invariants of this file concern the senders' behaviour towards endpoints: drains, Retry-After and slow start.

// retryAfterGrace is the time after an answer with a wait in which calls may still arrive.
const retryAfterGrace = 100 * time.Millisecond

// checkDrains checks that a sender calls no endpoint later than the grace period after it has to know that the endpoint
// drains. A sender that has a process has to know that as soon as the change takes effect at its agent. For a sender
// that has none, effectiveTime returns a later time.
func checkDrains(h *History, run RunConditions) []Violation {
	type route struct {
		sender   int
		endpoint string
	}
	drained := map[route]time.Duration{}
	for _, c := range h.listChanges {
		effectiveAt := h.effectiveTime(c.Sender, c.EffectiveAt)
		if at, known := drained[route{c.Sender, c.Endpoint}]; !known || effectiveAt < at {
			drained[route{c.Sender, c.Endpoint}] = effectiveAt
		}
	}
	var found []Violation
	for _, a := range h.attempts {
		at, known := drained[route{a.Sender, a.Endpoint}]
		if known && a.sentAt()-run.Tolerance-run.Parameters.DrainGrace-run.Parameters.Slack > at {
			found = append(found, violationf(ruleDrain, a.At,
				"%s: sender %d called %s %.3fs after it had to know of the drain",
				a.ID, a.Sender, a.Endpoint, (a.sentAt()-at).Seconds()))
		}
	}
	return found
}

// checkRetryAfter checks that a sender calls no destination during a wait that it received from that destination. A
// restart of the sender ends the wait.
func checkRetryAfter(h *History, run RunConditions) []Violation {
	var found []Violation
	for _, limited := range h.attempts {
		if limited.RetryAfter == 0 {
			continue
		}
		for _, a := range h.attempts {
			after := a.sentAt() - limited.EndedAt
			if a.Sender != limited.Sender || a.Destination != limited.Destination ||
				after <= retryAfterGrace+run.Tolerance || after >= limited.RetryAfter {
				continue
			}
			if !h.startedBetween(a.Sender, limited.EndedAt, a.At) {
				found = append(found, violationf(ruleRetryAfter, a.At,
					"%s: sender %d called destination %d %.3fs into a wait of %v",
					a.ID, a.Sender, a.Destination, after.Seconds(), limited.RetryAfter))
			}
		}
	}
	return found
}

// arrival is a call that reached a destination after an outage.
type arrival struct {
	at     time.Duration
	sender int
}

// checkSlowStart checks that a destination does not get more calls after an outage than it can take. It counts a window
// only if over two thirds of its calls are from senders that had a call fail in the outage, as the others cannot know
// of the outage.
func checkSlowStart(h *History, run RunConditions) []Violation {
	var found []Violation
	for _, o := range run.Outages {
		arrivals, sawFailure := h.callsAfter(o, run.Parameters.WarmUpTime)
		if v, overloaded := run.firstOverload(o, arrivals, sawFailure); overloaded {
			found = append(found, v)
		}
	}
	return found
}

// callsAfter returns the calls that reached a destination while it warmed up after an outage, in order of time, and the
// senders that had a call fail in the outage.
func (h *History) callsAfter(o Outage, warmUp time.Duration) (arrivals []arrival, sawFailure map[int]bool) {
	sawFailure = map[int]bool{}
	seen := map[string]bool{}
	for _, a := range h.attempts {
		call := fmt.Sprint(a.Endpoint, a.Call)
		if a.Destination != o.Destination || seen[call] {
			continue
		}
		seen[call] = true
		if a.At >= o.From && a.At < o.Until && !a.isDelivered() {
			sawFailure[a.Sender] = true
		}
		if a.At >= o.Until && a.At < o.Until+warmUp {
			arrivals = append(arrivals, arrival{at: a.At, sender: a.Sender})
		}
	}
	slices.SortFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return arrivals, sawFailure
}

// firstOverload returns a violation for the first window with more calls than a destination can take after an outage.
func (run RunConditions) firstOverload(o Outage, arrivals []arrival, sawFailure map[int]bool) (v Violation,
	overloaded bool) {
	for first := range arrivals {
		calls, informedCalls := 0, 0
		end := arrivals[first].at + run.Parameters.OverloadWindow
		for _, a := range arrivals[first:] {
			if a.at > end {
				break
			}
			calls++
			if sawFailure[a.sender] {
				informedCalls++
			}
		}
		if allowed := run.allowedCalls(o, end); float64(calls) > allowed && 3*informedCalls > 2*calls {
			return violationf(ruleSlowStart, arrivals[first].at,
				"destination %d got %d calls within %v, from %.3fs after its outage, %d of them from senders that "+
					"had a call fail in it; it can take %.1f", o.Destination, calls, run.Parameters.OverloadWindow,
				(arrivals[first].at - o.Until).Seconds(), informedCalls, allowed), true
		}
	}
	return Violation{}, false
}

// allowedCalls returns how many calls a destination may get in the window that ends at a time after its outage. It adds
// a margin for random variation: senders that keep to the limit on average may exceed it by 2 or 3 standard deviations
// in a window.
func (run RunConditions) allowedCalls(o Outage, end time.Duration) float64 {
	warm := min(1, (end-o.Until).Seconds()/run.Parameters.WarmUpTime.Seconds())
	share := run.Parameters.InitialCapacityShare + (1-run.Parameters.InitialCapacityShare)*warm
	calls := run.Parameters.OverloadMultiple * share * run.Capacity[o.Destination] *
		run.Parameters.OverloadWindow.Seconds()
	if calls < 30 {
		return calls + 3*math.Sqrt(calls) + 3
	}
	return calls + 2*math.Sqrt(calls) + 2
}
