package emulator

import "time"

// The invariants of this file concern a sender's behaviour towards its clients.

const (
	// impairmentGrace is the time after an impairment in which a sender answers the requests that have waited during
	// it.
	impairmentGrace = 500 * time.Millisecond
	// impairmentSampleInterval is the interval at which a span is sampled for impairments.
	impairmentSampleInterval = 50 * time.Millisecond
	// floodDrainTime is the time after a connection flood in which a sender works off its queue of new connections.
	floodDrainTime = 500 * time.Millisecond
)

// checkUnanswered checks that a sender answers each request that was written completely on a fresh connection, while
// the sender accepts connections and there is no connection flood.
func checkUnanswered(h *History, run RunConditions) []Violation {
	var found []Violation
	for id, s := range h.submissions {
		if s.ConnectionClosed &&
			h.acceptsConnections(s.Sender, s.SentAt) && h.acceptsConnections(s.Sender, s.ClosedAt) &&
			!run.arrivedInFlood(s, s.SentAt) && !run.arrivedInFlood(s, s.ClosedAt) {
			found = append(found, violationf(ruleUnanswered, s.ClosedAt,
				"%s: sender %d closed a fresh connection without an answer: %s; the request was written at %.3fs",
				id, s.Sender, s.CloseError, s.SentAt.Seconds()))
		}
	}
	return found
}

// checkAnswerTime checks that a sender answers each request, or closes its connection, before the client's timeout. It
// applies if the sender has a process that is ready, even one that is terminating, and is not impaired by its machine.
// For requests on fresh connections the process must not be terminating, as it need not accept new connections then,
// and there must be no connection flood.
func checkAnswerTime(h *History, run RunConditions) []Violation {
	var found []Violation
	for id, s := range h.submissions {
		until := s.SentAt + run.Parameters.AnswerTimeout
		hasToAnswer := h.isServing
		if s.FreshConnection {
			hasToAnswer = h.acceptsConnections
		}
		if !s.ClientTimedOut || !hasToAnswer(s.Sender, s.SentAt) || !hasToAnswer(s.Sender, until) {
			continue
		}
		if !run.arrivedInFlood(s, s.SentAt) && !run.impairedBetween(s.Sender, s.SentAt-impairmentGrace, until) {
			found = append(found, violationf(ruleSlow, s.SentAt,
				"%s: sender %d did not answer within %v", id, s.Sender, run.Parameters.AnswerTimeout))
		}
	}
	return found
}

// checkBadPeers checks that a sender answers a peer that sends no complete request with an error, or closes its
// connection, within badPeerReleaseTime, while the sender accepts connections.
func checkBadPeers(h *History, run RunConditions) []Violation {
	var found []Violation
	for _, p := range h.badPeers {
		late := p.ReleasedAt == 0 || p.ReleasedAt-p.OpenedAt > badPeerReleaseTime+run.Parameters.Slack+run.Tolerance
		if late && h.acceptsConnections(p.Sender, p.OpenedAt) &&
			h.acceptsConnections(p.Sender, p.OpenedAt+badPeerReleaseTime) {
			found = append(found, violationf(ruleBadPeer, p.OpenedAt,
				"sender %d did not release a bad peer (%s) in time: %v", p.Sender, p.Kind, p.ReleasedAt-p.OpenedAt))
		}
	}
	return found
}

// checkIncarnations checks that no process exits unexpectedly, and that each is ready within readyWithin.
func checkIncarnations(h *History, _ RunConditions) []Violation {
	var found []Violation
	started := map[int]time.Duration{}
	for _, event := range h.incarnationEvents {
		switch {
		case event.Phase == Exited && event.Detail != "":
			found = append(found, violationf(ruleCrash, event.At, "sender %d: %s", event.Sender, event.Detail))
		case event.Phase == Started:
			started[event.Sender] = event.At
		case event.Phase == Ready && event.At-started[event.Sender] > readyWithin:
			found = append(found, violationf(ruleReady, event.At,
				"sender %d was ready after %v", event.Sender, event.At-started[event.Sender]))
		}
	}
	return found
}

// checkListening checks that a sender accepts connections while it is ready and has not been sent SIGTERM.
func checkListening(h *History, _ RunConditions) []Violation {
	var found []Violation
	for _, r := range h.refusals {
		if h.acceptsConnections(r.Sender, r.At) {
			found = append(found, violationf(ruleListening, r.At, "ready sender %d refused a connection", r.Sender))
		}
	}
	return found
}
