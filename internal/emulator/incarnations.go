package emulator

import (
	"math"
	"slices"
	"time"
)

// The queries of this file answer what a sender's processes were doing at a time. Callers hold the history's mutex.

const (
	// clockSkew is how late an event may be recorded: the end of an abandoned call's connection, or a process's phase.
	clockSkew = 50 * time.Millisecond
	// restartGrace is how long after it is ready again a sender's notices are not overdue.
	restartGrace = 1500 * time.Millisecond
	// listPropagationTime is what a process needs to learn what its agent knows.
	listPropagationTime = 300 * time.Millisecond

	// never stands for an end that has not come.
	never = time.Duration(math.MaxInt64)
)

// downtime is a span in which a sender was restarting, up to restartGrace after it was ready again.
type downtime struct{ from, until time.Duration }

// downtimes are all of a sender's.
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

// acceptsConnections reports whether a sender was ready at a time and had not been sent SIGTERM.
func (h *History) acceptsConnections(sender int, at time.Duration) bool {
	return h.inPhase(sender, at, Ready, Terminated, Killed, Exited)
}

// isServing reports whether a sender had a process at a time that had been ready, terminating or not.
func (h *History) isServing(sender int, at time.Duration) bool {
	return h.inPhase(sender, at, Ready, Killed, Exited)
}

// hasProcess reports whether a sender has a process from a time on for as long as it takes to learn what its agent
// knows.
func (h *History) hasProcess(sender int, at time.Duration) bool {
	return h.inPhase(sender, at, Started, Killed, Exited) &&
		h.inPhase(sender, at+listPropagationTime, Started, Killed, Exited)
}

// inPhase reports whether, of a phase that begins a state and those that end it, a sender reached the beginning last.
// An end counts although it was recorded up to clockSkew later.
func (h *History) inPhase(sender int, at time.Duration, begins IncarnationPhase, ends ...IncarnationPhase) bool {
	in := false
	for _, event := range h.incarnationEvents {
		if event.Sender != sender || event.At > at+clockSkew {
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

// silenceEnd is when the silence of a sender's agent at a time ends; false if the agent is not silent then.
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

// bindingTime is from when on a change binds a sender whose agent knows it from a time on. That is at once if a process
// runs then, whether or not the agent goes on to answer or a watch is open. Otherwise it is with the next process or,
// where the agent is silent when that begins, with the end of the silence, as no process could know before.
func (h *History) effectiveTime(sender int, known time.Duration) time.Duration {
	if h.hasProcess(sender, known) {
		return known
	}
	var starts []time.Duration
	for _, event := range h.incarnationEvents {
		if event.Sender == sender && event.Phase == Started && event.At > known {
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
