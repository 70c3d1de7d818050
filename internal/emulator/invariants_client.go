package emulator

import "time"

// The invariants of this file are about a sender as its clients see it.

const (
	// impairmentGrace is how long after an impairment what has waited meanwhile is answered.
	impairmentGrace = 500 * time.Millisecond
	// impairmentSampleInterval is the interval at which a span is looked at for impairments.
	impairmentSampleInterval = 50 * time.Millisecond
	// floodDrainTime is how long after a connection flood the queue of new connections is worked off.
	floodDrainTime = 500 * time.Millisecond
)

// checkUnanswered: a request that has been written on a fresh connection is answered while the sender runs.
func checkUnanswered(h *History, f RunFacts) []Violation {
	var found []Violation
	for id, s := range h.submissions {
		if s.ConnectionClosed &&
			h.acceptsConnections(s.Sender, s.SentAt) && h.acceptsConnections(s.Sender, s.ClosedAt) &&
			!f.arrivedInFlood(s, s.SentAt) && !f.arrivedInFlood(s, s.ClosedAt) {
			found = append(found, violationf(ruleUnanswered, s.ClosedAt,
				"%s: sender %d closed a fresh connection: %s, written at %.3fs",
				id, s.Sender, s.CloseError, s.SentAt.Seconds()))
		}
	}
	return found
}

// checkAnswerTime: a request has its answer, or the end of its connection, while its client waits, if the sender has a
// ready process, also one that is terminating, and its machine is not impaired. Nobody need accept a new connection
// once the process is terminating.
func checkAnswerTime(h *History, f RunFacts) []Violation {
	var found []Violation
	for id, s := range h.submissions {
		until := s.SentAt + f.Parameters.AnswerTimeout
		hasToAnswer := h.isServing
		if s.FreshConnection {
			hasToAnswer = h.acceptsConnections
		}
		if !s.ClientTimedOut || !hasToAnswer(s.Sender, s.SentAt) || !hasToAnswer(s.Sender, until) {
			continue
		}
		if !f.arrivedInFlood(s, s.SentAt) && !f.impairedBetween(s.Sender, s.SentAt-impairmentGrace, until) {
			found = append(found, violationf(ruleSlow, s.SentAt,
				"%s: sender %d does not answer within %v", id, s.Sender, f.Parameters.AnswerTimeout))
		}
	}
	return found
}

// checkBadPeers: a peer that sends no request gets an error or a close in time while the sender runs.
func checkBadPeers(h *History, f RunFacts) []Violation {
	var found []Violation
	for _, p := range h.badPeers {
		late := p.ReleasedAt == 0 || p.ReleasedAt-p.OpenedAt > badPeerReleaseTime+f.Parameters.Slack+f.Tolerance
		if late && h.acceptsConnections(p.Sender, p.OpenedAt) &&
			h.acceptsConnections(p.Sender, p.OpenedAt+badPeerReleaseTime) {
			found = append(found, violationf(ruleBadPeer, p.OpenedAt,
				"sender %d does not release a peer (%s) for %v", p.Sender, p.Kind, p.ReleasedAt-p.OpenedAt))
		}
	}
	return found
}

// checkIncarnations: no process exits unexpectedly, and each is ready in time.
func checkIncarnations(h *History, _ RunFacts) []Violation {
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

// checkListening: a sender that runs accepts connections.
func checkListening(h *History, _ RunFacts) []Violation {
	var found []Violation
	for _, r := range h.refusals {
		if h.acceptsConnections(r.Sender, r.At) {
			found = append(found, violationf(ruleListening, r.At, "sender %d runs and accepts no connection", r.Sender))
		}
	}
	return found
}
