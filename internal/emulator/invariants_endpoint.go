package emulator

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// The invariants of this file are about how senders treat endpoints: drains, Retry-After, slow start.

// retryAfterGrace is how soon after a received wait calls may still arrive.
const retryAfterGrace = 100 * time.Millisecond

// checkDrains: no call goes to an endpoint later than its grace period after the sender has to know that it drains,
// which it has from when its agent knows.
func checkDrains(h *History, f RunFacts) []Violation {
	type route struct {
		sender   int
		endpoint string
	}
	drained := map[route]time.Duration{}
	for _, c := range h.listChanges {
		binds := h.effectiveTime(c.Sender, c.EffectiveAt)
		if at, known := drained[route{c.Sender, c.Endpoint}]; !known || binds < at {
			drained[route{c.Sender, c.Endpoint}] = binds
		}
	}
	var found []Violation
	for _, a := range h.attempts {
		at, known := drained[route{a.Sender, a.Endpoint}]
		if known && a.sentAt()-f.Tolerance-f.Parameters.DrainGrace-f.Parameters.Slack > at {
			found = append(found, violationf(ruleDrain, a.At,
				"%s: sender %d calls %s %.3fs after it had to know the drain",
				a.ID, a.Sender, a.Endpoint, (a.sentAt()-at).Seconds()))
		}
	}
	return found
}

// checkRetryAfter: no call goes to a destination while a wait that the sender received from it lasts. A restart ends
// the wait.
func checkRetryAfter(h *History, f RunFacts) []Violation {
	var found []Violation
	for _, limited := range h.attempts {
		if limited.RetryAfter == 0 {
			continue
		}
		for _, a := range h.attempts {
			after := a.sentAt() - limited.EndedAt
			if a.Sender != limited.Sender || a.Destination != limited.Destination ||
				after <= retryAfterGrace+f.Tolerance || after >= limited.RetryAfter {
				continue
			}
			if !h.startedBetween(a.Sender, limited.EndedAt, a.At) {
				found = append(found, violationf(ruleRetryAfter, a.At,
					"%s: sender %d calls destination %d %.3fs into a wait of %v",
					a.ID, a.Sender, a.Destination, after.Seconds(), limited.RetryAfter))
			}
		}
	}
	return found
}

// arrival is a call at a destination that has returned from an outage.
type arrival struct {
	at     time.Duration
	sender int
}

// checkSlowStart: a destination that returns from an outage does not get more calls than it can take, if over two
// thirds of them are from senders that had seen a call fail.
func checkSlowStart(h *History, f RunFacts) []Violation {
	var found []Violation
	for _, o := range f.Outages {
		arrivals, sawFailure := h.callsAfter(o, f.Parameters.WarmUpTime)
		if v, overloaded := f.firstOverload(o, arrivals, sawFailure); overloaded {
			found = append(found, v)
		}
	}
	return found
}

// callsAround returns the calls that reach a destination while it warms up after an outage, in order of time, and the
// senders that had seen a call fail in the outage.
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

// firstOverload is the first window of calls that is more than a destination can take.
func (f RunFacts) firstOverload(o Outage, arrivals []arrival, sawFailure map[int]bool) (v Violation, overloaded bool) {
	for first := range arrivals {
		calls, informedCalls := 0, 0
		end := arrivals[first].at + f.Parameters.OverloadWindow
		for _, a := range arrivals[first:] {
			if a.at > end {
				break
			}
			calls++
			if sawFailure[a.sender] {
				informedCalls++
			}
		}
		if allowed := f.allowedCalls(o, end); float64(calls) > allowed && 3*informedCalls > 2*calls {
			return violationf(ruleSlowStart, arrivals[first].at,
				"destination %d gets %d calls in %v from %.3fs after its return, %d of them from senders that knew; "+
					"it can take %.1f", o.Destination, calls, f.Parameters.OverloadWindow,
				(arrivals[first].at - o.Until).Seconds(), informedCalls, allowed), true
		}
	}
	return Violation{}, false
}

// allowedCalls is how many calls a destination can take in the window that ends at a time after its outage, with room
// for chance: senders that keep to it on average may exceed it by some standard deviations.
func (f RunFacts) allowedCalls(o Outage, end time.Duration) float64 {
	warm := min(1, (end-o.Until).Seconds()/f.Parameters.WarmUpTime.Seconds())
	share := f.Parameters.InitialCapacityShare + (1-f.Parameters.InitialCapacityShare)*warm
	calls := f.Parameters.OverloadMultiple * share * f.Capacity[o.Destination] * f.Parameters.OverloadWindow.Seconds()
	if calls < 30 {
		return calls + 3*math.Sqrt(calls) + 3
	}
	return calls + 2*math.Sqrt(calls) + 2
}
