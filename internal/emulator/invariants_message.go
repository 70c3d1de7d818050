package emulator

import "time"

// The invariants of this file are about a message's way: it is delivered or ended by a notice, and not run too often.

const (
	// noticeGrace is how long after its time is up a message has to have its end.
	noticeGrace = 300 * time.Millisecond
	// resendGrace covers an answer that is lost on its way, so that its call is repeated.
	resendGrace = 500 * time.Millisecond
	// persistGrace is the time within which a sender writes down what it learns, if its disk works.
	persistGrace = 400 * time.Millisecond
)

// attemptsBy groups the attempts by a key, in order of arrival.
func (h *History) attemptsBy(key func(*Attempt) string) map[string][]*Attempt {
	groups := map[string][]*Attempt{}
	for _, a := range h.attempts {
		groups[key(a)] = append(groups[key(a)], a)
	}
	return groups
}

// messageKey is the key of the message that an attempt is for. It stays when the message is submitted again.
func (h *History) messageKey(a *Attempt) string {
	if s := h.submissions[a.ID]; s != nil {
		return s.Key
	}
	return a.ID
}

// endTimes is when each message had its end first, by a notice or a delivery.
func (h *History) endTimes() map[string]time.Duration {
	ended := map[string]time.Duration{}
	recordEnd := func(id string, at time.Duration) {
		if before, known := ended[id]; !known || at < before {
			ended[id] = at
		}
	}
	for _, n := range h.notices {
		recordEnd(n.ID, n.At)
	}
	for _, a := range h.attempts {
		if a.isDelivered() {
			recordEnd(a.ID, a.EndedAt)
		}
	}
	return ended
}

// dueTime is when an accepted message has to have its end.
func (h *History) dueTime(s *Submission, slack time.Duration) time.Duration {
	due := s.SentAt + s.DeliveryTimeout + noticeGrace + slack
	for _, d := range h.downtimes(s.Sender) {
		if due >= d.from && due < d.until {
			due = d.until
		}
	}
	return due
}

// checkLost: an accepted message is delivered, or ended by a notice in time.
func checkLost(h *History, f RunFacts) []Violation {
	ended := h.endTimes()
	var found []Violation
	for id, s := range h.submissions {
		if !s.isAccepted() {
			continue
		}
		due := h.dueTime(s, f.Parameters.Slack)
		if due > f.End-f.Tolerance { // the run is over, or the sender never came back, which counts by itself
			continue
		}
		at, known := ended[id]
		switch {
		case !known:
			found = append(found, violationf(ruleLost, due,
				"%s (%s, sender %d) was accepted and never ended", id, s.Class, s.Sender))
		case at > due+f.Tolerance:
			found = append(found, violationf(ruleLost, due,
				"%s (%s, sender %d) was ended %v late", id, s.Class, s.Sender, at-due))
		}
	}
	return found
}

// checkDuplicates: no message runs again where its class, or the window of its idempotency key, forbids it.
func checkDuplicates(h *History, f RunFacts) []Violation {
	var found []Violation
	for key, attempts := range h.attemptsBy(h.messageKey) {
		s := h.submissions[attempts[0].ID]
		if s == nil || s.Class == Idempotent {
			continue
		}
		var first *Attempt
		for _, a := range attempts {
			switch {
			case first != nil && s.Class == NonIdempotent:
				found = append(found, violationf(ruleDuplicate, a.At, "%s may not be repeated: at %s %.3fs after %s",
					key, a.Endpoint, (a.At-first.At).Seconds(), first.Endpoint))
			case first != nil && a.sentAt()-first.sentAt() > f.Parameters.IdempotencyWindow+f.Parameters.Slack:
				found = append(found, violationf(ruleDuplicate, a.At,
					"%s repeated %.3fs after its first call, window %v",
					key, (a.At-first.At).Seconds(), f.Parameters.IdempotencyWindow))
			}
			if first == nil && a.mayTakeEffect() {
				first = a
			}
		}
	}
	return found
}

// checkConcurrent: no two calls for one message are in flight on open connections.
func checkConcurrent(h *History, f RunFacts) []Violation {
	var found []Violation
	for id, attempts := range h.attemptsBy(func(a *Attempt) string { return a.ID }) {
		for i, a := range attempts {
			for _, earlier := range attempts[:i] {
				if earlier.EndedAt == 0 || earlier.EndedAt > a.At+clockSkew+f.Tolerance {
					found = append(found, violationf(ruleConcurrent, a.At,
						"%s at %s while a call of %.3fs at %s was in flight",
						id, a.Endpoint, earlier.At.Seconds(), earlier.Endpoint))
				}
			}
		}
	}
	return found
}

// checkRejected: a message that was rejected, or handed back, has not run and does not run.
func checkRejected(h *History, _ RunFacts) []Violation {
	handedBack := map[string]bool{}
	for _, n := range h.notices {
		if n.Outcome == "handed_back" {
			handedBack[n.ID] = true
		}
	}
	var found []Violation
	for _, a := range h.attempts {
		s := h.submissions[a.ID]
		if s != nil && a.mayTakeEffect() && (s.isRejected() || handedBack[a.ID]) {
			found = append(found, violationf(ruleRejected, a.At,
				"%s (%s) was rejected by sender %d (status %d, handed back: %v) and is sent",
				a.ID, s.Class, a.Sender, s.Status, handedBack[a.ID]))
		}
	}
	return found
}

// checkDestinations: a message goes to its destination only, and nothing is sent that nobody submitted.
func checkDestinations(h *History, _ RunFacts) []Violation {
	var found []Violation
	for _, a := range h.attempts {
		s := h.submissions[a.ID]
		if s == nil || s.Destination != a.Destination {
			found = append(found, violationf(ruleDestination, a.At, "%s came to destination %d", a.ID, a.Destination))
		}
	}
	return found
}

// checkBodies: a message arrives as it was submitted.
func checkBodies(h *History, _ RunFacts) []Violation {
	var found []Violation
	for _, a := range h.attempts {
		if s := h.submissions[a.ID]; s != nil && a.Body != messageBody(*s) {
			found = append(found, violationf(ruleBody, a.At,
				"%s arrives with %q from sender %d", a.ID, a.Body, a.Sender))
		}
	}
	return found
}

// mayNotHavePersisted reports whether a sender may not have learnt what happened at a time, or not have written it
// down: its answer was lost, its disk failed, or it was killed.
func (h *History) mayNotHavePersisted(f RunFacts, sender int, at time.Duration) bool {
	for offset := -persistGrace; offset <= persistGrace; offset += persistGrace / 4 {
		if f.OutcomeUncertain != nil && f.OutcomeUncertain(sender, at+offset) {
			return true
		}
	}
	return h.killedNear(sender, at, persistGrace)
}

// checkResent: a message that was delivered, or ended by a notice, is not sent again once the sender has written that
// down.
func checkResent(h *History, f RunFacts) []Violation {
	ended := h.endTimes()
	var found []Violation
	for _, a := range h.attempts {
		at, known := ended[a.ID]
		if known && a.sentAt() > at+resendGrace+f.Tolerance && !h.mayNotHavePersisted(f, a.Sender, at) {
			found = append(found, violationf(ruleResent, a.At,
				"%s ended at %.3fs, and sender %d sends it again", a.ID, at.Seconds(), a.Sender))
		}
	}
	return found
}
