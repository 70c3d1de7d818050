package emulator

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
	"time"
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

// Outage is a span in which all endpoints of a destination were down, hung, shut or failing.
type Outage struct {
	Destination int
	From, Until time.Duration
}

// Facts is what a run's plan adds to its ledger.
type RunFacts struct {
	Rules     Rules
	Tolerance time.Duration // for the machine's own delays
	Outages   []Outage
	Capacity  []float64 // calls a second that each destination can do when warm
	End       time.Duration
	// MayNotKnow reports whether answers may not come to a sender at a time, or its disk takes nothing.
	OutcomeUncertain func(sender int, at time.Duration) bool
	// HeldUp reports whether a sender's machine keeps it from taking or answering clients at a time.
	Impaired func(sender int, at time.Duration) bool
	// Crowded reports whether clients that idle take the places of others at a time. New connections may be shut unread then.
	Flooded func(sender int, at time.Duration) bool
}

const (
	noticeGrace = 300 * time.Millisecond  // after its time is up a message has to have its end
	restartGrace = 1500 * time.Millisecond // after ready no notice is overdue
	retryAfterGrace  = 100 * time.Millisecond  // calls that arrive so soon after a told wait pass
	impairmentGrace = 500 * time.Millisecond  // what waits meanwhile is answered so long after a hold-up
	resendGrace  = 500 * time.Millisecond  // an answer may be lost on its way, and its call repeated
	persistGrace   = 400 * time.Millisecond  // what a sender learns is written within this, if its disk works
	listPropagationTime    = 300 * time.Millisecond  // a process needs so long to hear what its agent has
	floodDrainTime = 500 * time.Millisecond  // after a crowd has gone the queue of new connections is worked off
	clockSkew    = 50 * time.Millisecond   // an abandoned call's connection may be seen to end so late
)

// Check judges a run by all invariants.
func Check(l *History, f RunFacts) []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Violation
	for _, check := range []func(*History, RunFacts) []Violation{checkLost, checkUnanswered, checkAnswerTime, checkDuplicates, checkConcurrent,
		checkRejected, checkDrains, checkRetryAfter, checkSlowStart, checkBadPeers, checkIncarnations, checkListening, checkDestinations, checkBodies, checkResent} {
		all = append(all, check(l, f)...)
	}
	slices.SortStableFunc(all, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return all
}

// attemptsBy groups the attempts in order of arrival.
func (l *History) attemptsBy(key func(*Attempt) string) map[string][]*Attempt {
	groups := map[string][]*Attempt{}
	for _, a := range l.attempts {
		groups[key(a)] = append(groups[key(a)], a)
	}
	return groups
}

// keyOf is the key of the message that an attempt is for; a message keeps it when it is handed in again.
func (l *History) messageKey(a *Attempt) string {
	if s := l.submissions[a.ID]; s != nil {
		return s.Key
	}
	return a.ID
}

// down is a span in which a sender was restarting, up to restartFree after it was ready again.
type downtime struct{ from, until time.Duration }

func (l *History) downtimes(sender int) []downtime {
	var downs []downtime
	for _, e := range l.incarnationEvents {
		if e.Sender != sender {
			continue
		}
		switch e.Phase {
		case Terminated, Killed:
			if n := len(downs); n == 0 || downs[n-1].until != math.MaxInt64 {
				downs = append(downs, downtime{e.At, math.MaxInt64})
			}
		case Ready:
			if n := len(downs); n > 0 && downs[n-1].until == math.MaxInt64 {
				downs[n-1].until = e.At + restartGrace
			}
		}
	}
	return downs
}

// checkLost: what was taken on is delivered, or ended by a notice in time.
func checkLost(l *History, f RunFacts) []Violation {
	ended := map[string]time.Duration{}
	note := func(id string, at time.Duration) {
		if before, known := ended[id]; !known || at < before {
			ended[id] = at
		}
	}
	for _, n := range l.notices {
		note(n.ID, n.At)
	}
	for _, a := range l.attempts {
		if a.Status == 200 {
			note(a.ID, a.EndedAt)
		}
	}
	var found []Violation
	for id, s := range l.submissions {
		if s.Status != 200 && s.Status != 202 {
			continue
		}
		due := s.SentAt + s.DeliveryTimeout + noticeGrace + f.Rules.Slack
		for _, d := range l.downtimes(s.Sender) {
			if due >= d.from && due < d.until {
				due = d.until
			}
		}
		if due > f.End-f.Tolerance { // the run is over, or the sender never came back, which counts by itself
			continue
		}
		at, known := ended[id]
		switch {
		case !known:
			found = append(found, Violation{"lost", due, fmt.Sprintf("%s (%s, sender %d) was taken on and never ended", id, s.Effect, s.Sender)})
		case at > due+f.Tolerance:
			found = append(found, Violation{"lost", due, fmt.Sprintf("%s (%s, sender %d) was ended %v late", id, s.Effect, s.Sender, at-due)})
		}
	}
	return found
}

// running reports whether a sender was ready and not told to end at a time.
func (l *History) acceptsConnections(sender int, at time.Duration) bool {
	return l.inPhase(sender, at, Ready, Terminated, Killed, Exited)
}

// there reports whether a sender had a process at a time that had been ready, told to end or not.
func (l *History) isServing(sender int, at time.Duration) bool {
	return l.inPhase(sender, at, Ready, Killed, Exited)
}

// up reports whether of two kinds of events that of the beginning was the last one of a sender at a time.
func (l *History) inPhase(sender int, at time.Duration, begins IncarnationPhase, ends ...IncarnationPhase) bool {
	up := false
	for _, e := range l.incarnationEvents {
		if e.Sender != sender || e.At > at+clockSkew {
			continue
		}
		switch {
		case e.Phase == begins:
			up = e.At <= at
		case slices.Contains(ends, e.Phase):
			up = false
		}
	}
	return up
}

// checkUnanswered: a request that has been written on a fresh connection is answered while the sender runs.
func checkUnanswered(l *History, f RunFacts) []Violation {
	var found []Violation
	for id, s := range l.submissions {
		if s.ConnectionClosed && l.acceptsConnections(s.Sender, s.SentAt) && l.acceptsConnections(s.Sender, s.ClosedAt) && !f.arrivedInFlood(s, s.SentAt) && !f.arrivedInFlood(s, s.ClosedAt) {
			found = append(found, Violation{"unanswered", s.ClosedAt, fmt.Sprintf("%s: sender %d closed a fresh connection: %s, written at %.3fs", id, s.Sender, s.CloseError, s.SentAt.Seconds())})
		}
	}
	return found
}

// crowded reports whether a submission came on a new connection amid a crowd.
func (f RunFacts) arrivedInFlood(s *Submission, at time.Duration) bool {
	return s.FreshConnection && f.Flooded != nil && f.Flooded(s.Sender, at)
}

// checkPrompt: a request has its answer, or the end of its connection, while its client waits, if the sender is there, also
// if it has been told to end, and its machine lets it. New connections may come to nobody once it has been told.
func checkAnswerTime(l *History, f RunFacts) []Violation {
	var found []Violation
	for id, s := range l.submissions {
		until := s.SentAt + f.Rules.AnswerTimeout
		is := l.isServing
		if s.FreshConnection {
			is = l.acceptsConnections
		}
		if !s.ClientTimedOut || !is(s.Sender, s.SentAt) || !is(s.Sender, until) {
			continue
		}
		heldUp := f.arrivedInFlood(s, s.SentAt)
		for at := s.SentAt - impairmentGrace; at <= until && f.Impaired != nil; at += clockSkew {
			heldUp = heldUp || f.Impaired(s.Sender, at)
		}
		if !heldUp {
			found = append(found, Violation{"slow", s.SentAt, fmt.Sprintf("%s: sender %d does not answer within %v", id, s.Sender, f.Rules.AnswerTimeout)})
		}
	}
	return found
}

// checkRepeats: no message runs again where its class, or the window of its key, forbids it.
func checkDuplicates(l *History, f RunFacts) []Violation {
	var found []Violation
	for key, attempts := range l.attemptsBy(l.messageKey) {
		s := l.submissions[attempts[0].ID]
		if s == nil || s.Effect == Idempotent {
			continue
		}
		var first *Attempt
		for _, a := range attempts {
			switch {
			case first != nil && s.Effect == NonIdempotent:
				found = append(found, Violation{"duplicate", a.At, fmt.Sprintf("%s may not be repeated: at %s %.3fs after %s", key, a.Endpoint, (a.At - first.At).Seconds(), first.Endpoint)})
			case first != nil && a.sentAt()-first.sentAt() > f.Rules.IdempotencyWindow+f.Rules.Slack:
				found = append(found, Violation{"duplicate", a.At, fmt.Sprintf("%s repeated %.3fs after its first call, window %v", key, (a.At - first.At).Seconds(), f.Rules.IdempotencyWindow)})
			}
			if first == nil && a.mayTakeEffect() {
				first = a
			}
		}
	}
	return found
}

// checkConcurrent: no two calls for one message are out on open connections.
func checkConcurrent(l *History, f RunFacts) []Violation {
	var found []Violation
	for id, attempts := range l.attemptsBy(func(a *Attempt) string { return a.ID }) {
		for i, a := range attempts {
			for _, earlier := range attempts[:i] {
				if earlier.EndedAt == 0 || earlier.EndedAt > a.At+clockSkew+f.Tolerance {
					found = append(found, Violation{"concurrent", a.At, fmt.Sprintf("%s at %s while a call of %.3fs at %s was out", id, a.Endpoint, earlier.At.Seconds(), earlier.Endpoint)})
				}
			}
		}
	}
	return found
}

// checkRefused: what was refused, or handed back, has not run and does not run.
func checkRejected(l *History, _ RunFacts) []Violation {
	back := map[string]bool{}
	for _, n := range l.notices {
		if n.Outcome == "handed_back" {
			back[n.ID] = true
		}
	}
	var found []Violation
	for _, a := range l.attempts {
		s := l.submissions[a.ID]
		if s != nil && a.mayTakeEffect() && (s.Status == 503 || s.Status == 429 || back[a.ID]) {
			found = append(found, Violation{"refused", a.At, fmt.Sprintf("%s (%s) was refused by sender %d (status %d, handed back: %v) and is sent", a.ID, s.Effect, a.Sender, s.Status, back[a.ID])})
		}
	}
	return found
}

// livesAt reports whether a sender has a process from a time on for as long as it takes to hear what its agent has.
func (l *History) hasProcess(sender int, at time.Duration) bool {
	return l.inPhase(sender, at, Started, Killed, Exited) && l.inPhase(sender, at+listPropagationTime, Started, Killed, Exited)
}

// silentAt reports until when a sender's agent is silent at a time; false if it is not.
func (l *History) silenceEnd(sender int, at time.Duration) (until time.Duration, silent bool) {
	for _, s := range l.silences {
		if s.Sender == sender && s.From < at+listPropagationTime && (s.Until == 0 || s.Until > at) {
			if s.Until == 0 {
				return math.MaxInt64, true
			}
			return s.Until, true
		}
	}
	return 0, false
}

// boundAt is the time from which a change binds a sender that its agent has from a time on: at once if a process runs then,
// whether or not the agent goes on to speak or a watch is open; else with the next process, and where its agent is silent
// when that begins, with the end of the silence, as no process could know before.
func (l *History) bindingTime(sender int, told time.Duration) time.Duration {
	if l.hasProcess(sender, told) {
		return told
	}
	var times []time.Duration
	for _, e := range l.incarnationEvents {
		if e.Sender == sender && e.Phase == Started && e.At > told {
			times = append(times, e.At)
		}
	}
	slices.Sort(times)
	for _, at := range times {
		until, silent := l.silenceEnd(sender, at)
		if !silent {
			until = at
		}
		if until != math.MaxInt64 && l.hasProcess(sender, until) {
			return until
		}
	}
	return math.MaxInt64
}

// checkDrains: no call to an endpoint later than its grace after the sender was told, which it is from when its agent has it.
func checkDrains(l *History, f RunFacts) []Violation {
	type place struct {
		sender   int
		endpoint string
	}
	told := map[place]time.Duration{}
	for _, c := range l.listChanges {
		heard := l.bindingTime(c.Sender, c.EffectiveAt)
		if at, known := told[place{c.Sender, c.Endpoint}]; !known || heard < at {
			told[place{c.Sender, c.Endpoint}] = heard
		}
	}
	var found []Violation
	for _, a := range l.attempts {
		at, known := told[place{a.Sender, a.Endpoint}]
		if known && a.sentAt()-f.Tolerance-f.Rules.DrainGrace-f.Rules.Slack > at {
			found = append(found, Violation{"drain", a.At, fmt.Sprintf("%s: sender %d calls %s %.3fs after it was told", a.ID, a.Sender, a.Endpoint, (a.sentAt() - at).Seconds())})
		}
	}
	return found
}

// checkWaits: no call to a destination while a wait that it told the sender lasts. A restart ends the wait.
func checkRetryAfter(l *History, f RunFacts) []Violation {
	var found []Violation
	for _, told := range l.attempts {
		if told.RetryAfter == 0 {
			continue
		}
		for _, a := range l.attempts {
			after := a.sentAt() - told.EndedAt
			if a.Sender != told.Sender || a.Destination != told.Destination || after <= retryAfterGrace+f.Tolerance || after >= told.RetryAfter {
				continue
			}
			restarted := slices.ContainsFunc(l.incarnationEvents, func(e IncarnationEvent) bool {
				return e.Sender == a.Sender && e.Phase == Started && e.At > told.EndedAt && e.At < a.At
			})
			if !restarted {
				found = append(found, Violation{"wait", a.At, fmt.Sprintf("%s: sender %d calls destination %d %.3fs into a wait of %v", a.ID, a.Sender, a.Destination, after.Seconds(), told.RetryAfter)})
			}
		}
	}
	return found
}

// checkSlowStart: a destination that returns from an outage does not get more calls than it bears, if over two thirds
// of them are from senders that had seen one fail.
func checkSlowStart(l *History, f RunFacts) []Violation {
	var found []Violation
	for _, o := range f.Outages {
		aware := map[int]bool{}
		type arrival struct {
			at     time.Duration
			sender int
		}
		var calls []arrival
		seen := map[string]bool{}
		for _, a := range l.attempts {
			call := fmt.Sprint(a.Endpoint, a.Call)
			if a.Destination != o.Destination || seen[call] {
				continue
			}
			seen[call] = true
			if a.At >= o.From && a.At < o.Until && a.Status != 200 {
				aware[a.Sender] = true
			}
			if a.At >= o.Until && a.At < o.Until+f.Rules.WarmUpTime {
				calls = append(calls, arrival{a.At, a.Sender})
			}
		}
		sort.Slice(calls, func(i, j int) bool { return calls[i].at < calls[j].at })
		for first := range calls {
			number, ours := 0, 0
			end := calls[first].at + f.Rules.OverloadWindow
			for _, c := range calls[first:] {
				if c.at > end {
					break
				}
				number++
				if aware[c.sender] {
					ours++
				}
			}
			if allowed := f.allowedCalls(o, end); float64(number) > allowed && 3*ours > 2*number {
				found = append(found, Violation{"slow start", calls[first].at, fmt.Sprintf("destination %d gets %d calls in %v from %.3fs after its return, %d of them from senders that knew; it bears %.1f",
					o.Destination, number, f.Rules.OverloadWindow, (calls[first].at - o.Until).Seconds(), ours, allowed)})
				break
			}
		}
	}
	return found
}

// allowed is how many calls a destination bears in the span that ends at a time after its outage.
func (f RunFacts) allowedCalls(o Outage, end time.Duration) float64 {
	warm := min(1, (end-o.Until).Seconds()/f.Rules.WarmUpTime.Seconds())
	share := f.Rules.InitialCapacityShare + (1-f.Rules.InitialCapacityShare)*warm
	n := f.Rules.OverloadMultiple * share * f.Capacity[o.Destination] * f.Rules.OverloadWindow.Seconds()
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// checkBadPeers: whoever sends no request gets an error or a close in time while the sender runs.
func checkBadPeers(l *History, f RunFacts) []Violation {
	var found []Violation
	for _, p := range l.badPeers {
		late := p.ReleasedAt == 0 || p.ReleasedAt-p.OpenedAt > badPeerReleaseTime+f.Rules.Slack+f.Tolerance
		if late && l.acceptsConnections(p.Sender, p.OpenedAt) && l.acceptsConnections(p.Sender, p.OpenedAt+badPeerReleaseTime) {
			found = append(found, Violation{"bad peer", p.OpenedAt, fmt.Sprintf("sender %d keeps a peer (%s) for %v", p.Sender, p.Kind, p.ReleasedAt-p.OpenedAt)})
		}
	}
	return found
}

// checkLives: no process ends unasked, and each is ready in time.
func checkIncarnations(l *History, _ RunFacts) []Violation {
	var found []Violation
	started := map[int]time.Duration{}
	for _, e := range l.incarnationEvents {
		switch {
		case e.Phase == Exited && e.Detail != "":
			found = append(found, Violation{"crash", e.At, fmt.Sprintf("sender %d: %s", e.Sender, e.Detail)})
		case e.Phase == Started:
			started[e.Sender] = e.At
		case e.Phase == Ready && e.At-started[e.Sender] > readyWithin:
			found = append(found, Violation{"ready", e.At, fmt.Sprintf("sender %d was ready after %v", e.Sender, e.At-started[e.Sender])})
		}
	}
	return found
}

// checkListening: a sender that runs takes connections.
func checkListening(l *History, _ RunFacts) []Violation {
	var found []Violation
	for _, r := range l.refusals {
		if l.acceptsConnections(r.Sender, r.At) {
			found = append(found, Violation{"listening", r.At, fmt.Sprintf("sender %d runs and takes no connection", r.Sender)})
		}
	}
	return found
}

// checkBodies: a message arrives as it was handed in.
func checkBodies(l *History, _ RunFacts) []Violation {
	var found []Violation
	for _, a := range l.attempts {
		if s := l.submissions[a.ID]; s != nil && a.Body != messageBody(*s) {
			found = append(found, Violation{"body", a.At, fmt.Sprintf("%s arrives with %q from sender %d", a.ID, a.Body, a.Sender)})
		}
	}
	return found
}

// mayForget reports whether a sender may not have learnt what happened at a time, or not have written it down: its answer was
// lost, its disk failed, or it was killed.
func (l *History) mayNotHavePersisted(f RunFacts, sender int, at time.Duration) bool {
	for d := -persistGrace; d <= persistGrace; d += persistGrace / 4 {
		if f.OutcomeUncertain != nil && f.OutcomeUncertain(sender, at+d) {
			return true
		}
	}
	return slices.ContainsFunc(l.incarnationEvents, func(e IncarnationEvent) bool {
		return e.Sender == sender && e.Phase == Killed && e.At > at-persistGrace && e.At < at+persistGrace
	})
}

// checkReopened: what was delivered, or ended by a notice, is not sent again once the sender has written that down.
func checkResent(l *History, f RunFacts) []Violation {
	ended := map[string]time.Duration{}
	for _, n := range l.notices {
		if at, known := ended[n.ID]; !known || n.At < at {
			ended[n.ID] = n.At
		}
	}
	for _, a := range l.attempts {
		if at, known := ended[a.ID]; a.Status == 200 && (!known || a.EndedAt < at) {
			ended[a.ID] = a.EndedAt
		}
	}
	var found []Violation
	for _, a := range l.attempts {
		if at, known := ended[a.ID]; known && a.sentAt() > at+resendGrace+f.Tolerance && !l.mayNotHavePersisted(f, a.Sender, at) {
			found = append(found, Violation{"reopened", a.At, fmt.Sprintf("%s ended at %.3fs, and sender %d sends it again", a.ID, at.Seconds(), a.Sender)})
		}
	}
	return found
}

// checkDestinations: a message goes to its destination only, and nothing is sent that nobody handed in.
func checkDestinations(l *History, _ RunFacts) []Violation {
	var found []Violation
	for _, a := range l.attempts {
		s := l.submissions[a.ID]
		if s == nil || s.Destination != a.Destination {
			found = append(found, Violation{"destination", a.At, fmt.Sprintf("%s came to destination %d", a.ID, a.Destination)})
		}
	}
	return found
}
