package emulator

import (
	"testing"
	"time"
)

const second = time.Second

// booked is a ledger with one message that was taken on at 1 s and has 4 s to live.
func recordedHistory(e Effect, edit func(l *History)) *History {
	l := NewHistory()
	l.incarnationEvents = []IncarnationEvent{{0, Started, 0, ""}, {0, Ready, 0, ""}}
	l.submissions["m"] = &Submission{ID: "m", Key: "k", Effect: e, SentAt: second, DeliveryTimeout: 4 * second, Status: 202}
	edit(l)
	return l
}

// at is a whole call for the message.
func completedCall(from, until time.Duration, status int, mayRun bool) *Attempt {
	return &Attempt{ID: "m", Endpoint: "e", Body: "body of k", At: from, EndedAt: until, Status: status, MayHaveRun: mayRun}
}

func recordDelivery(l *History) {
	l.attempts = append(l.attempts, completedCall(second, second+second/10, 200, true))
}

// Each invariant sees what it is there for, and passes what the protocol allows.
func TestInvariants(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		effect Effect
		edit   func(l *History)
		facts  RunFacts
		want   string // the rule, "" for none
	}{
		"delivered":         {edit: recordDelivery},
		"ended by a notice": {edit: func(l *History) { l.notices = []Notice{{"m", "given_up", 0, 5 * second}} }},
		"never ended":       {edit: func(l *History) {}, want: "lost"},
		"ended late":        {edit: func(l *History) { l.notices = []Notice{{"m", "given_up", 0, 6 * second}} }, want: "lost"},
		"late after a restart": {edit: func(l *History) {
			recordRestart(l, 5*second, 6*second)
			l.notices = []Notice{{"m", "given_up", 0, 7 * second}}
		}},
		"closed without answer":  {edit: func(l *History) { recordDelivery(l); recordClose(l, 2*second) }, want: "unanswered"},
		"no answer in time":      {edit: func(l *History) { recordDelivery(l); l.submissions["m"].ClientTimedOut = true }, want: "slow"},
		"held up by its machine": {edit: func(l *History) { recordDelivery(l); l.submissions["m"].ClientTimedOut = true }, facts: RunFacts{Impaired: func(int, time.Duration) bool { return true }}},
		"closed by a kill":       {edit: func(l *History) { recordDelivery(l); recordClose(l, 2*second); recordRestart(l, 2*second, 3*second) }},
		"unsafe twice":           {effect: NonIdempotent, edit: func(l *History) { recordFailure(l, second, true); recordFailure(l, 2*second, true); recordDelivery(l) }, want: "duplicate"},
		"unsafe, never ran":      {effect: NonIdempotent, edit: func(l *History) { recordFailure(l, second/2, false); recordDelivery(l) }},
		"keyed in its window":    {effect: IdempotentByKey, edit: func(l *History) { recordFailure(l, second/2, true); recordDelivery(l) }},
		"keyed past its window":  {effect: IdempotentByKey, edit: func(l *History) { recordFailure(l, second, true); recordResend(l, 4*second) }, want: "duplicate"},
		"two at a time": {edit: func(l *History) {
			recordDelivery(l)
			l.attempts = append(l.attempts, completedCall(second+second/100, 2*second, 200, true))
		}, want: "concurrent"},
		"refused and sent":     {edit: func(l *History) { l.submissions["m"].Status = 503; recordDelivery(l) }, want: "refused"},
		"handed back and sent": {edit: func(l *History) { l.notices = []Notice{{"m", "handed_back", 0, second / 2}}; recordDelivery(l) }, want: "refused"},
		"past a drain":         {edit: func(l *History) { recordDelivery(l); recordDrain(l, second/10) }, want: "drain"},
		"in a drain's grace":   {edit: func(l *History) { recordDelivery(l); recordDrain(l, second-second/4) }},
		"past a drain and a silence": {edit: func(l *History) {
			recordDelivery(l)
			recordDrain(l, second/10)
			l.silences = []Silence{{0, second / 5, 2 * second}}
		}, want: "drain"},
		"a drain not heard": {edit: func(l *History) {
			recordDelivery(l)
			l.incarnationEvents = nil
			recordRestart(l, 0, second/2)
			recordDrain(l, -second/10)
			l.silences = []Silence{{0, -second / 20, 2 * second}}
		}},
		"told to end, and no answer": {edit: func(l *History) {
			recordDelivery(l)
			l.submissions["m"].ClientTimedOut = true
			l.incarnationEvents = append(l.incarnationEvents, IncarnationEvent{0, Terminated, second / 2, ""})
		}, want: "slow"},
		"shut amid a crowd": {edit: func(l *History) { recordDelivery(l); recordClose(l, 2*second); l.submissions["m"].FreshConnection = true },
			facts: RunFacts{Flooded: func(int, time.Duration) bool { return true }}},
		"an open connection amid a crowd": {edit: func(l *History) { recordDelivery(l); l.submissions["m"].ClientTimedOut = true },
			facts: RunFacts{Flooded: func(int, time.Duration) bool { return true }}, want: "slow"},
		"in a wait":              {edit: func(l *History) { recordRetryAfter(l, second/2); recordDelivery(l) }, want: "wait"},
		"a wait and a restart":   {edit: func(l *History) { recordRetryAfter(l, second/2); recordRestart(l, second-second/4, second-second/5); recordDelivery(l) }},
		"a body that is another": {edit: func(l *History) { recordDelivery(l); l.attempts[0].Body = "" }, want: "body"},
		"sent after its end":     {edit: func(l *History) { recordDelivery(l); recordResend(l, 4*second) }, want: "reopened"},
		"sent after a full disk": {edit: func(l *History) { recordDelivery(l); recordResend(l, 4*second) }, facts: RunFacts{OutcomeUncertain: func(int, time.Duration) bool { return true }}},
		"another destination":    {edit: func(l *History) { recordDelivery(l); l.attempts[0].Destination = 1 }, want: "destination"},
		"a peer that stays":      {edit: func(l *History) { recordDelivery(l); l.badPeers = []BadPeer{{0, "silent", second, 0}} }, want: "bad peer"},
		"an end unasked":         {edit: func(l *History) { recordDelivery(l); l.incarnationEvents = append(l.incarnationEvents, IncarnationEvent{0, Exited, 9 * second, "unasked"}) }, want: "crash"},
		"no listener":            {edit: func(l *History) { recordDelivery(l); l.refusals = []Refusal{{0, 2 * second}} }, want: "listening"},
		"a herd at a cold one": {edit: func(l *History) { recordDelivery(l); recordBurst(l, 12*second) },
			facts: RunFacts{Capacity: []float64{2}, Outages: []Outage{{0, 10 * second, 11 * second}}}, want: "slow start"},
		"a herd at a warm one": {edit: func(l *History) { recordDelivery(l); recordBurst(l, 18*second) },
			facts: RunFacts{Capacity: []float64{2}, Outages: []Outage{{0, 10 * second, 11 * second}}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.facts.Rules, c.facts.End = DefaultRules(), 30*second
			found := Check(recordedHistory(c.effect, c.edit), c.facts)
			seen := c.want == ""
			for _, v := range found {
				seen = seen || v.Rule == c.want
			}
			if !seen || c.want == "" && len(found) > 0 {
				t.Errorf("found %v, want %q", found, c.want)
			}
		})
	}
}

func recordRestart(l *History, from, ready time.Duration) {
	l.incarnationEvents = append(l.incarnationEvents, IncarnationEvent{0, Killed, from, ""}, IncarnationEvent{0, Exited, from, ""}, IncarnationEvent{0, Started, from + 1, ""}, IncarnationEvent{0, Ready, ready, ""})
}

func recordClose(l *History, when time.Duration) {
	l.submissions["m"].ConnectionClosed, l.submissions["m"].ClosedAt = true, when
}

func recordFailure(l *History, when time.Duration, mayRun bool) {
	l.attempts = append(l.attempts, completedCall(when, when+second/100, 500, mayRun))
}

func recordResend(l *History, when time.Duration) {
	l.attempts = append(l.attempts, completedCall(when, when+second/100, 200, true))
}

func recordDrain(l *History, when time.Duration) {
	l.listChanges = append(l.listChanges, ListChange{0, "e", when})
}

func recordRetryAfter(l *History, when time.Duration) {
	a := completedCall(when, when, 429, false)
	a.RetryAfter = second
	l.attempts = append(l.attempts, a)
}

// herdAt lets a sender that has seen an outage send forty messages at once.
func recordBurst(l *History, when time.Duration) {
	for n := range 41 {
		id := "h" + string(rune('A'+n))
		a := completedCall(when, when+second/100, 200, true)
		if n == 0 {
			a = completedCall(10*second+second/2, 10*second+second/2, 0, false)
		}
		a.ID, a.Call = id, uint64(n+2)
		l.submissions[id] = &Submission{ID: id, Key: "k", SentAt: when, DeliveryTimeout: 9 * second, Status: 202}
		l.attempts = append(l.attempts, a)
		if n == 0 {
			l.notices = append(l.notices, Notice{id, "given_up", 0, when})
		}
	}
}
