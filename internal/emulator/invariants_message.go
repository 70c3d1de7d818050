package emulator

import "time"

// The invariants of this file concern messages: each is delivered or ended by a notice, and takes effect no more often
// than its class allows.

const (
	// noticeGrace is the time after its deadline within which a message has to end.
	noticeGrace = 300 * time.Millisecond
	// resendGrace is the time after a message's end in which it may still be sent, as the sender repeats a call whose
	// answer was lost.
	resendGrace = 500 * time.Millisecond
	// persistGrace is the time within which a sender journals what it learns, if its disk works.
	persistGrace = 400 * time.Millisecond
)

// attemptsBy groups the attempts by a key. Each group is in order of arrival.
func (h *History) attemptsBy(key func(*Attempt) string) map[string][]*Attempt {
	groups := map[string][]*Attempt{}
	for _, a := range h.attempts {
		groups[key(a)] = append(groups[key(a)], a)
	}
	return groups
}

// messageKey returns the key of an attempt's message, which stays the same when the message is submitted again.
func (h *History) messageKey(a *Attempt) string {
	if s := h.submissions[a.ID]; s != nil {
		return s.Key
	}
	return a.ID
}

// endTimes returns when each message ended, by its first notice or delivery.
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

// dueTime returns the latest time at which an accepted message has to end. If the sender is down then, it is the end of
// the downtime.
func (h *History) dueTime(s *Submission, slack time.Duration) time.Duration {
	due := s.SentAt + s.DeliveryTimeout + noticeGrace + slack
	for _, d := range h.downtimes(s.Sender) {
		if due >= d.from && due < d.until {
			due = d.until
		}
	}
	return due
}

// checkLost checks that each accepted message is delivered or ended by a notice in time.
func checkLost(h *History, run RunConditions) []Violation {
	ended := h.endTimes()
	var found []Violation
	for id, s := range h.submissions {
		if !s.isAccepted() {
			continue
		}
		due := h.dueTime(s, run.Parameters.Slack)
		if due > run.End-run.Tolerance { // the run ended first; or the sender never restarted, a violation itself
			continue
		}
		at, known := ended[id]
		switch {
		case !known:
			found = append(found, violationf(ruleLost, due,
				"%s (%s, sender %d) was accepted, but neither delivered nor ended by a notice", id, s.Class, s.Sender))
		case at > due+run.Tolerance:
			found = append(found, violationf(ruleLost, due,
				"%s (%s, sender %d) ended %v late", id, s.Class, s.Sender, at-due))
		}
	}
	return found
}

// checkDuplicates checks that a message is not sent again after a call that may have taken effect, if the message is
// non-idempotent or the window of its idempotency key is over.
func checkDuplicates(h *History, run RunConditions) []Violation {
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
			case first != nil && a.sentAt()-first.sentAt() > run.Parameters.IdempotencyWindow+run.Parameters.Slack:
				found = append(found, violationf(ruleDuplicate, a.At,
					"%s was repeated %.3fs after its first call, the idempotency window is %v",
					key, (a.At-first.At).Seconds(), run.Parameters.IdempotencyWindow))
			}
			if first == nil && a.mayTakeEffect() {
				first = a
			}
		}
	}
	return found
}

// checkConcurrent checks that no two calls for one message are in flight on open connections at the same time.
func checkConcurrent(h *History, run RunConditions) []Violation {
	var found []Violation
	for id, attempts := range h.attemptsBy(func(a *Attempt) string { return a.ID }) {
		for i, a := range attempts {
			for _, earlier := range attempts[:i] {
				if earlier.EndedAt == 0 || earlier.EndedAt > a.At+maxRecordingDelay+run.Tolerance {
					found = append(found, violationf(ruleConcurrent, a.At,
						"%s was sent to %s while the call that arrived at %.3fs at %s was in flight",
						id, a.Endpoint, earlier.At.Seconds(), earlier.Endpoint))
				}
			}
		}
	}
	return found
}

// checkRejected checks that a message that a sender rejected or handed back does not take effect, before or after that.
func checkRejected(h *History, _ RunConditions) []Violation {
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
				"%s (%s) was rejected, but sender %d sent it (status %d, handed back: %v)",
				a.ID, s.Class, a.Sender, s.Status, handedBack[a.ID]))
		}
	}
	return found
}

// checkDestinations checks that a message is sent to its own destination only, and that no message is sent that was not
// submitted.
func checkDestinations(h *History, _ RunConditions) []Violation {
	var found []Violation
	for _, a := range h.attempts {
		s := h.submissions[a.ID]
		if s == nil || s.Destination != a.Destination {
			found = append(found, violationf(ruleDestination, a.At, "%s reached destination %d", a.ID, a.Destination))
		}
	}
	return found
}

// checkBodies checks that a message's body arrives as it was submitted.
func checkBodies(h *History, _ RunConditions) []Violation {
	var found []Violation
	for _, a := range h.attempts {
		if s := h.submissions[a.ID]; s != nil && a.Body != messageBody(*s) {
			found = append(found, violationf(ruleBody, a.At,
				"%s arrived with body %q from sender %d", a.ID, a.Body, a.Sender))
		}
	}
	return found
}

// mayNotHavePersisted reports whether a sender possibly did not learn of an event at a time, or did not journal it,
// because the answer was lost, the disk failed or the process was killed.
func (h *History) mayNotHavePersisted(run RunConditions, sender int, at time.Duration) bool {
	for offset := -persistGrace; offset <= persistGrace; offset += persistGrace / 4 {
		if run.OutcomeUncertain != nil && run.OutcomeUncertain(sender, at+offset) {
			return true
		}
	}
	return h.killedNear(sender, at, persistGrace)
}

// checkResent checks that a message that was delivered, or ended by a notice, is not sent again once the sender has
// journaled that.
func checkResent(h *History, run RunConditions) []Violation {
	ended := h.endTimes()
	var found []Violation
	for _, a := range h.attempts {
		at, known := ended[a.ID]
		if known && a.sentAt() > at+resendGrace+run.Tolerance && !h.mayNotHavePersisted(run, a.Sender, at) {
			found = append(found, violationf(ruleResent, a.At,
				"%s ended at %.3fs, but sender %d sent it again", a.ID, at.Seconds(), a.Sender))
		}
	}
	return found
}
