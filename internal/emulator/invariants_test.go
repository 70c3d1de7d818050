package emulator

import (
	"slices"
	"testing"
	"time"
)

const second = time.Second

// recordedHistory returns a history with one message that was accepted at 1 s and has to be delivered within 4 s. edit
// adds what else happened.
func recordedHistory(class Class, edit func(h *History)) *History {
	h := NewHistory()
	h.incarnationEvents = []IncarnationEvent{{Phase: Started}, {Phase: Ready}}
	h.submissions["m"] = &Submission{
		ID:              "m",
		Key:             "k",
		Class:           class,
		SentAt:          second,
		DeliveryTimeout: 4 * second,
		Status:          202,
	}
	edit(h)
	return h
}

// completedCall returns an attempt to deliver the message that has ended.
func completedCall(from, until time.Duration, status int, mayHaveRun bool) *Attempt {
	return &Attempt{
		ID:         "m",
		Endpoint:   "e",
		Body:       "body of k",
		At:         from,
		EndedAt:    until,
		Status:     status,
		MayHaveRun: mayHaveRun,
	}
}

// recordDelivery records that the message was delivered in time, by a call at 1 s.
func recordDelivery(h *History) {
	h.attempts = append(h.attempts, completedCall(second, second+second/10, 200, true))
}

// alwaysTrue is a function for RunConditions that reports true for every sender and time.
func alwaysTrue(int, time.Duration) bool { return true }

// invariantCase holds a history and the violation that the invariants have to find in it.
type invariantCase struct {
	class      Class
	edit       func(h *History)
	conditions RunConditions
	want       string // name of the violated invariant; "" for none
}

// clientAndMessageEndCases concern how messages end, and how a sender behaves towards its clients.
var clientAndMessageEndCases = map[string]invariantCase{
	"delivered":         {edit: recordDelivery},
	"ended by a notice": {edit: func(h *History) { recordNotice(h, "given_up", 5*second) }},
	"never ended":       {edit: func(*History) {}, want: ruleLost},
	"ended late":        {edit: func(h *History) { recordNotice(h, "given_up", 6*second) }, want: ruleLost},
	"ended late after a restart": {edit: func(h *History) {
		recordRestart(h, 5*second, 6*second)
		recordNotice(h, "given_up", 7*second)
	}},
	"connection closed without an answer": {edit: func(h *History) {
		recordDelivery(h)
		recordClose(h, 2*second)
	}, want: ruleUnanswered},
	"no answer in time": {edit: func(h *History) {
		recordDelivery(h)
		h.submissions["m"].ClientTimedOut = true
	}, want: ruleSlow},
	"no answer in time, but impaired by its machine": {edit: func(h *History) {
		recordDelivery(h)
		h.submissions["m"].ClientTimedOut = true
	}, conditions: RunConditions{Impaired: alwaysTrue}},
	"connection closed by a kill": {edit: func(h *History) {
		recordDelivery(h)
		recordClose(h, 2*second)
		recordRestart(h, 2*second, 3*second)
	}},
	"no answer in time while terminating": {edit: func(h *History) {
		recordDelivery(h)
		h.submissions["m"].ClientTimedOut = true
		h.incarnationEvents = append(h.incarnationEvents, IncarnationEvent{Phase: Terminated, At: second / 2})
	}, want: ruleSlow},
	"connection closed during a flood": {edit: func(h *History) {
		recordDelivery(h)
		recordClose(h, 2*second)
		h.submissions["m"].FreshConnection = true
	}, conditions: RunConditions{Flooded: alwaysTrue}},
	"no answer in time on a persistent connection during a flood": {edit: func(h *History) {
		recordDelivery(h)
		h.submissions["m"].ClientTimedOut = true
	}, conditions: RunConditions{Flooded: alwaysTrue}, want: ruleSlow},
	"bad peer not released": {edit: func(h *History) {
		recordDelivery(h)
		h.badPeers = []BadPeer{{Kind: "silent", OpenedAt: second}}
	}, want: ruleBadPeer},
	"unexpected exit": {edit: func(h *History) {
		recordDelivery(h)
		exit := IncarnationEvent{Phase: Exited, At: 9 * second, Detail: "unexpected exit"}
		h.incarnationEvents = append(h.incarnationEvents, exit)
	}, want: ruleCrash},
	"connection refused": {edit: func(h *History) {
		recordDelivery(h)
		h.refusals = []Refusal{{At: 2 * second}}
	}, want: ruleListening},
}

// repeatCases concern calls that must not be made, or must not be repeated.
var repeatCases = map[string]invariantCase{
	"non-idempotent message sent twice": {class: NonIdempotent, edit: func(h *History) {
		recordFailure(h, second, true)
		recordFailure(h, 2*second, true)
		recordDelivery(h)
	}, want: ruleDuplicate},
	"non-idempotent message sent again after a call that never ran": {class: NonIdempotent, edit: func(h *History) {
		recordFailure(h, second/2, false)
		recordDelivery(h)
	}},
	"repeated within the window of its key": {class: IdempotentByKey, edit: func(h *History) {
		recordFailure(h, second/2, true)
		recordDelivery(h)
	}},
	"repeated after the window of its key": {class: IdempotentByKey, edit: func(h *History) {
		recordFailure(h, second, true)
		recordResend(h, 4*second)
	}, want: ruleDuplicate},
	"two calls at the same time": {edit: func(h *History) {
		recordDelivery(h)
		h.attempts = append(h.attempts, completedCall(second+second/100, 2*second, 200, true))
	}, want: ruleConcurrent},
	"rejected and sent": {edit: func(h *History) {
		h.submissions["m"].Status = 503
		recordDelivery(h)
	}, want: ruleRejected},
	"handed back and sent": {edit: func(h *History) {
		recordNotice(h, "handed_back", second/2)
		recordDelivery(h)
	}, want: ruleRejected},
	"sent again after its end": {edit: func(h *History) {
		recordDelivery(h)
		recordResend(h, 4*second)
	}, want: ruleResent},
	"sent again after its end, which could not be journaled": {edit: func(h *History) {
		recordDelivery(h)
		recordResend(h, 4*second)
	}, conditions: RunConditions{OutcomeUncertain: alwaysTrue}},
	"changed body": {edit: func(h *History) {
		recordDelivery(h)
		h.attempts[0].Body = ""
	}, want: ruleBody},
	"wrong destination": {edit: func(h *History) {
		recordDelivery(h)
		h.attempts[0].Destination = 1
	}, want: ruleDestination},
}

// warmUpConditions describes a run in which a destination that can take 2 calls per second has an outage until 11 s.
var warmUpConditions = RunConditions{Capacity: []float64{2}, Outages: []Outage{{From: 10 * second, Until: 11 * second}}}

// endpointCases concern drains, waits and slow start.
var endpointCases = map[string]invariantCase{
	"call after the grace period of a drain": {edit: func(h *History) {
		recordDelivery(h)
		recordDrain(h, second/10)
	}, want: ruleDrain},
	"call within the grace period of a drain": {edit: func(h *History) {
		recordDelivery(h)
		recordDrain(h, second-second/4)
	}},
	"call after the grace period of a drain that precedes a silence": {edit: func(h *History) {
		recordDelivery(h)
		recordDrain(h, second/10)
		h.silences = []Silence{{From: second / 5, Until: 2 * second}}
	}, want: ruleDrain},
	"call after a drain that no process could learn of": {edit: func(h *History) {
		recordDelivery(h)
		h.incarnationEvents = nil
		recordRestart(h, 0, second/2)
		recordDrain(h, -second/10)
		h.silences = []Silence{{From: -second / 20, Until: 2 * second}}
	}},
	"call during a wait": {edit: func(h *History) {
		recordRetryAfter(h, second/2)
		recordDelivery(h)
	}, want: ruleRetryAfter},
	"call during a wait after a restart": {edit: func(h *History) {
		recordRetryAfter(h, second/2)
		recordRestart(h, second-second/4, second-second/5)
		recordDelivery(h)
	}},
	"burst at a destination that is warming up": {edit: func(h *History) {
		recordDelivery(h)
		recordBurst(h, 12*second)
	}, conditions: warmUpConditions, want: ruleSlowStart},
	"burst at a destination that has warmed up": {edit: func(h *History) {
		recordDelivery(h)
		recordBurst(h, 18*second)
	}, conditions: warmUpConditions},
}

// Each invariant finds the violations that it is meant to find, and accepts what the protocol allows.
func TestInvariants(t *testing.T) {
	t.Parallel()
	for _, cases := range []map[string]invariantCase{clientAndMessageEndCases, repeatCases, endpointCases} {
		for name, c := range cases {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				c.conditions.Parameters, c.conditions.End = DefaultParameters(), 30*second
				found := Check(recordedHistory(c.class, c.edit), c.conditions)
				if c.want == "" && len(found) > 0 {
					t.Errorf("found %v, want none", found)
				}
				isWanted := func(v Violation) bool { return v.Rule == c.want }
				if c.want != "" && !slices.ContainsFunc(found, isWanted) {
					t.Errorf("found %v, want %q", found, c.want)
				}
			})
		}
	}
}

// recordNotice records that the message was ended by a notice.
func recordNotice(h *History, outcome string, at time.Duration) {
	h.notices = []Notice{{ID: "m", Outcome: outcome, At: at}}
}

// recordRestart records that the sender was killed, and was ready again later.
func recordRestart(h *History, from, ready time.Duration) {
	h.incarnationEvents = append(h.incarnationEvents,
		IncarnationEvent{Phase: Killed, At: from},
		IncarnationEvent{Phase: Exited, At: from},
		IncarnationEvent{Phase: Started, At: from + 1},
		IncarnationEvent{Phase: Ready, At: ready})
}

// recordClose records that the connection of the submission was closed without an answer.
func recordClose(h *History, at time.Duration) {
	h.submissions["m"].ConnectionClosed, h.submissions["m"].ClosedAt = true, at
}

// recordFailure records a call for the message that was answered with 500.
func recordFailure(h *History, at time.Duration, mayHaveRun bool) {
	h.attempts = append(h.attempts, completedCall(at, at+second/100, 500, mayHaveRun))
}

// recordResend records a call for the message that was answered with 200.
func recordResend(h *History, at time.Duration) {
	h.attempts = append(h.attempts, completedCall(at, at+second/100, 200, true))
}

// recordDrain records that the sender has to honour a drain of the endpoint from a time on.
func recordDrain(h *History, at time.Duration) {
	h.listChanges = append(h.listChanges, ListChange{Endpoint: "e", EffectiveAt: at})
}

// recordRetryAfter records a call for the message that was answered with 429 and a wait of 1 s.
func recordRetryAfter(h *History, at time.Duration) {
	a := completedCall(at, at, 429, false)
	a.RetryAfter = second
	h.attempts = append(h.attempts, a)
}

// recordBurst records that a sender, which had a call fail in an outage, sends forty messages at once.
func recordBurst(h *History, at time.Duration) {
	for n := range 41 {
		id := "h" + string(rune('A'+n))
		a := completedCall(at, at+second/100, 200, true)
		if n == 0 {
			a = completedCall(10*second+second/2, 10*second+second/2, 0, false)
		}
		a.ID, a.Call = id, uint64(n+2)
		h.submissions[id] = &Submission{ID: id, Key: "k", SentAt: at, DeliveryTimeout: 9 * second, Status: 202}
		h.attempts = append(h.attempts, a)
		if n == 0 {
			h.notices = append(h.notices, Notice{ID: id, Outcome: "given_up", At: at})
		}
	}
}
