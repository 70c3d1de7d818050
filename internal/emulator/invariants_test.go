package emulator

import (
	"slices"
	"testing"
	"time"
)

const second = time.Second

// recordedHistory is a history with one message that was accepted at 1 s and may take 4 s.
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

// completedCall is a call for the message that has ended.
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

func recordDelivery(h *History) {
	h.attempts = append(h.attempts, completedCall(second, second+second/10, 200, true))
}

// always is a fact that is true at any time.
func always(int, time.Duration) bool { return true }

// invariantCase is a history and what the invariants have to find in it.
type invariantCase struct {
	class Class
	edit  func(h *History)
	facts RunFacts
	want  string // the rule that is violated, "" for none
}

// endCases are about the ends of messages, and what clients see of them.
var endCases = map[string]invariantCase{
	"delivered":         {edit: recordDelivery},
	"ended by a notice": {edit: func(h *History) { recordNotice(h, "given_up", 5*second) }},
	"never ended":       {edit: func(*History) {}, want: ruleLost},
	"ended late":        {edit: func(h *History) { recordNotice(h, "given_up", 6*second) }, want: ruleLost},
	"late after a restart": {edit: func(h *History) {
		recordRestart(h, 5*second, 6*second)
		recordNotice(h, "given_up", 7*second)
	}},
	"closed without answer": {edit: func(h *History) {
		recordDelivery(h)
		recordClose(h, 2*second)
	}, want: ruleUnanswered},
	"no answer in time": {edit: func(h *History) {
		recordDelivery(h)
		h.submissions["m"].ClientTimedOut = true
	}, want: ruleSlow},
	"impaired by its machine": {edit: func(h *History) {
		recordDelivery(h)
		h.submissions["m"].ClientTimedOut = true
	}, facts: RunFacts{Impaired: always}},
	"closed by a kill": {edit: func(h *History) {
		recordDelivery(h)
		recordClose(h, 2*second)
		recordRestart(h, 2*second, 3*second)
	}},
	"terminating, and no answer": {edit: func(h *History) {
		recordDelivery(h)
		h.submissions["m"].ClientTimedOut = true
		h.incarnationEvents = append(h.incarnationEvents, IncarnationEvent{Phase: Terminated, At: second / 2})
	}, want: ruleSlow},
	"closed amid a flood": {edit: func(h *History) {
		recordDelivery(h)
		recordClose(h, 2*second)
		h.submissions["m"].FreshConnection = true
	}, facts: RunFacts{Flooded: always}},
	"a persistent connection amid a flood": {edit: func(h *History) {
		recordDelivery(h)
		h.submissions["m"].ClientTimedOut = true
	}, facts: RunFacts{Flooded: always}, want: ruleSlow},
	"a peer that stays": {edit: func(h *History) {
		recordDelivery(h)
		h.badPeers = []BadPeer{{Kind: "silent", OpenedAt: second}}
	}, want: ruleBadPeer},
	"an unexpected exit": {edit: func(h *History) {
		recordDelivery(h)
		exit := IncarnationEvent{Phase: Exited, At: 9 * second, Detail: "unexpected exit"}
		h.incarnationEvents = append(h.incarnationEvents, exit)
	}, want: ruleCrash},
	"no listener": {edit: func(h *History) {
		recordDelivery(h)
		h.refusals = []Refusal{{At: 2 * second}}
	}, want: ruleListening},
}

// repeatCases are about calls that may not be made again.
var repeatCases = map[string]invariantCase{
	"non-idempotent twice": {class: NonIdempotent, edit: func(h *History) {
		recordFailure(h, second, true)
		recordFailure(h, 2*second, true)
		recordDelivery(h)
	}, want: ruleDuplicate},
	"non-idempotent, never ran": {class: NonIdempotent, edit: func(h *History) {
		recordFailure(h, second/2, false)
		recordDelivery(h)
	}},
	"by key in its window": {class: IdempotentByKey, edit: func(h *History) {
		recordFailure(h, second/2, true)
		recordDelivery(h)
	}},
	"by key past its window": {class: IdempotentByKey, edit: func(h *History) {
		recordFailure(h, second, true)
		recordResend(h, 4*second)
	}, want: ruleDuplicate},
	"two at a time": {edit: func(h *History) {
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
	"sent after its end": {edit: func(h *History) {
		recordDelivery(h)
		recordResend(h, 4*second)
	}, want: ruleResent},
	"sent after a full disk": {edit: func(h *History) {
		recordDelivery(h)
		recordResend(h, 4*second)
	}, facts: RunFacts{OutcomeUncertain: always}},
	"another body": {edit: func(h *History) {
		recordDelivery(h)
		h.attempts[0].Body = ""
	}, want: ruleBody},
	"another destination": {edit: func(h *History) {
		recordDelivery(h)
		h.attempts[0].Destination = 1
	}, want: ruleDestination},
}

// recovery is a destination that can take 2 calls per second and returns from an outage at 11 s.
var recovery = RunFacts{Capacity: []float64{2}, Outages: []Outage{{From: 10 * second, Until: 11 * second}}}

// endpointCases are about drains, waits and slow start.
var endpointCases = map[string]invariantCase{
	"past a drain": {edit: func(h *History) {
		recordDelivery(h)
		recordDrain(h, second/10)
	}, want: ruleDrain},
	"in a drain's grace": {edit: func(h *History) {
		recordDelivery(h)
		recordDrain(h, second-second/4)
	}},
	"past a drain and a silence": {edit: func(h *History) {
		recordDelivery(h)
		recordDrain(h, second/10)
		h.silences = []Silence{{From: second / 5, Until: 2 * second}}
	}, want: ruleDrain},
	"a drain that no process could learn": {edit: func(h *History) {
		recordDelivery(h)
		h.incarnationEvents = nil
		recordRestart(h, 0, second/2)
		recordDrain(h, -second/10)
		h.silences = []Silence{{From: -second / 20, Until: 2 * second}}
	}},
	"in a wait": {edit: func(h *History) {
		recordRetryAfter(h, second/2)
		recordDelivery(h)
	}, want: ruleRetryAfter},
	"a wait and a restart": {edit: func(h *History) {
		recordRetryAfter(h, second/2)
		recordRestart(h, second-second/4, second-second/5)
		recordDelivery(h)
	}},
	"a burst at a cold one": {edit: func(h *History) {
		recordDelivery(h)
		recordBurst(h, 12*second)
	}, facts: recovery, want: ruleSlowStart},
	"a burst at a warm one": {edit: func(h *History) {
		recordDelivery(h)
		recordBurst(h, 18*second)
	}, facts: recovery},
}

// Each invariant sees what it is there for, and passes what the protocol allows.
func TestInvariants(t *testing.T) {
	t.Parallel()
	for _, cases := range []map[string]invariantCase{endCases, repeatCases, endpointCases} {
		for name, c := range cases {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				c.facts.Parameters, c.facts.End = DefaultParameters(), 30*second
				found := Check(recordedHistory(c.class, c.edit), c.facts)
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

func recordNotice(h *History, outcome string, at time.Duration) {
	h.notices = []Notice{{ID: "m", Outcome: outcome, At: at}}
}

func recordRestart(h *History, from, ready time.Duration) {
	h.incarnationEvents = append(h.incarnationEvents,
		IncarnationEvent{Phase: Killed, At: from},
		IncarnationEvent{Phase: Exited, At: from},
		IncarnationEvent{Phase: Started, At: from + 1},
		IncarnationEvent{Phase: Ready, At: ready})
}

func recordClose(h *History, at time.Duration) {
	h.submissions["m"].ConnectionClosed, h.submissions["m"].ClosedAt = true, at
}

func recordFailure(h *History, at time.Duration, mayHaveRun bool) {
	h.attempts = append(h.attempts, completedCall(at, at+second/100, 500, mayHaveRun))
}

func recordResend(h *History, at time.Duration) {
	h.attempts = append(h.attempts, completedCall(at, at+second/100, 200, true))
}

func recordDrain(h *History, at time.Duration) {
	h.listChanges = append(h.listChanges, ListChange{Endpoint: "e", EffectiveAt: at})
}

func recordRetryAfter(h *History, at time.Duration) {
	a := completedCall(at, at, 429, false)
	a.RetryAfter = second
	h.attempts = append(h.attempts, a)
}

// recordBurst records that a sender that has seen an outage sends forty messages at once.
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
