package emulator

import (
	"math"
	"slices"
	"time"
)

// The functions of this file report what a sender's processes were doing at a time. Callers hold the history's mutex.

const (
	// maxRecordingDelay is the longest delay with which an event is recorded, such as the close of an abandoned call's
	// connection or a process's phase.
	maxRecordingDelay = 50 * time.Millisecond
	// restartGrace is the time after a restarted sender is ready in which its notices are not overdue yet.
	restartGrace = 1500 * time.Millisecond
	// listPropagationTime is the time that a process needs to learn what its agent knows.
	listPropagationTime = 300 * time.Millisecond

	// never is the time of an event that did not happen.
	never = time.Duration(math.MaxInt64)
)

// downtime is a span in which a sender was restarting. It lasts until restartGrace after the sender was ready again.
type downtime struct{ from, until time.Duration }

// downtimes returns all downtimes of a sender, in order of time.
func (h *History) downtimes(sender int) []downtime {
	var spans []downtime
	for _, event := range h.incarnationEvents {
		if event.Sender != sender {
			continue
		}
		isDown := len(spans) > 0 && spans[len(spans)-1].until == never
		switch event.Phase {
		case Terminated, Killed:
			if !isDown {
				spans = append(spans, downtime{event.At, never})
			}
		case Ready:
			if isDown {
				spans[len(spans)-1].until = event.At + restartGrace
			}
		}
	}
	return spans
}

// acceptsConnections reports whether a sender was ready at a time, and its process had not been sent SIGTERM.
func (h *History) acceptsConnections(sender int, at time.Duration) bool {
	return h.isInState(sender, at, Ready, Terminated, Killed, Exited)
}

// isServing reports whether a sender had a process at a time that had become ready. The process may be terminating.
func (h *History) isServing(sender int, at time.Duration) bool {
	return h.isInState(sender, at, Ready, Killed, Exited)
}

// hasProcess reports whether a sender has a process at a time, and still has one listPropagationTime later, when the
// process has learned what its agent knows.
func (h *History) hasProcess(sender int, at time.Duration) bool {
	return h.isInState(sender, at, Started, Killed, Exited) &&
		h.isInState(sender, at+listPropagationTime, Started, Killed, Exited)
}

// isInState reports whether a sender is in a state at a time, that is whether it has reached the phase that begins the
// state, and since then none of the phases that end it. A phase that ends the state counts even if it was recorded up
// to maxRecordingDelay after the time.
func (h *History) isInState(sender int, at time.Duration, begins IncarnationPhase, ends ...IncarnationPhase) bool {
	in := false
	for _, event := range h.incarnationEvents {
		if event.Sender != sender || event.At > at+maxRecordingDelay {
			continue
		}
		switch {
		case event.Phase == begins:
			in = event.At <= at
		case slices.Contains(ends, event.Phase):
			in = false
		}
	}
	return in
}

// silenceEnd reports whether a sender's agent is silent at a time or becomes silent within listPropagationTime, and
// returns when that silence ends.
func (h *History) silenceEnd(sender int, at time.Duration) (until time.Duration, silent bool) {
	for _, s := range h.silences {
		if s.Sender == sender && s.From < at+listPropagationTime && (s.Until == 0 || s.Until > at) {
			if s.Until == 0 {
				return never, true
			}
			return s.Until, true
		}
	}
	return 0, false
}

// effectiveTime returns the time from which a sender has to honour a change that its agent knows and that takes effect
// at effectiveAt. If the sender has a process then, that is effectiveAt itself, whether or not the agent still answers
// and a watch is open. Otherwise it is when the next process starts or, if the agent is silent then, when the silence
// ends, as no process can learn of the change earlier.
func (h *History) effectiveTime(sender int, effectiveAt time.Duration) time.Duration {
	if h.hasProcess(sender, effectiveAt) {
		return effectiveAt
	}
	var starts []time.Duration
	for _, event := range h.incarnationEvents {
		if event.Sender == sender && event.Phase == Started && event.At > effectiveAt {
			starts = append(starts, event.At)
		}
	}
	slices.Sort(starts)
	for _, start := range starts {
		until, silent := h.silenceEnd(sender, start)
		if !silent {
			until = start
		}
		if until != never && h.hasProcess(sender, until) {
			return until
		}
	}
	return never
}

// startedBetween reports whether a sender's process started between two times.
func (h *History) startedBetween(sender int, after, before time.Duration) bool {
	return slices.ContainsFunc(h.incarnationEvents, func(event IncarnationEvent) bool {
		return event.Sender == sender && event.Phase == Started && event.At > after && event.At < before
	})
}

// killedNear reports whether a sender was killed within a span around a time.
func (h *History) killedNear(sender int, at, span time.Duration) bool {
	return slices.ContainsFunc(h.incarnationEvents, func(event IncarnationEvent) bool {
		return event.Sender == sender && event.Phase == Killed && event.At > at-span && event.At < at+span
	})
}
