package sender

import (
	"net/http"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/ingress"
	"onyxdyke.example/onyxdyke/internal/journal"
	"onyxdyke.example/onyxdyke/internal/metrics"
)

// endedMessage is a message that the dispatcher has ended. Its end is announced once it is written to the journal.
type endedMessage struct {
	*message
	outcome    journal.Outcome         // journal.OutcomeGivenUp or journal.OutcomeReturned
	clients    []chan ingress.Response // those that wait for the response; if none, a notice announces the end
	retryAfter time.Duration
}

// endMessage records the end of a message that the dispatcher has ended, and appends it to ended for announceEnd.
func (s *Sender) endMessage(
	ended []endedMessage, id dispatch.MessageID, outcome journal.Outcome, retryAfter time.Duration,
) []endedMessage {
	m := s.messages.byNumber[id]
	if m == nil || m.ended {
		return ended
	}
	if outcome == journal.OutcomeReturned {
		s.metrics.CountReason(metrics.ReasonRejected, "by_decision")
		s.metrics.MessageDeclined(m.Class)
	} else {
		s.metrics.MessageAborted(m.Class)
	}
	end := endedMessage{message: m, outcome: outcome, clients: m.clients, retryAfter: retryAfter}
	m.clients = nil
	if end.clients != nil {
		s.recordEnd(m, journal.OutcomeAnswered, 0)
	} else {
		s.recordEnd(m, outcome, retryAfter)
	}
	s.messages.removeIfDone(m)
	return append(ended, end)
}

// announceEnd announces a message's end: in the response to its client, or by a notice if the client already knows
// that the message is accepted. It promises that the message had no effect only if the end is written to the journal:
// otherwise the next process, which may start at any moment, would send the message.
func (s *Sender) announceEnd(end endedMessage, written bool) {
	if end.outcome == journal.OutcomeReturned && !written {
		s.metrics.CountReason(metrics.ReasonRejected, "not_written")
		end.outcome, end.retryAfter = journal.OutcomeGivenUp, 0
		if end.clients == nil {
			s.journal.AppendMessageEnded(end.Message, journal.OutcomeGivenUp, 0)
		}
	}
	if end.clients == nil {
		s.notices.add(noticeOf(end.Message))
		return
	}
	status := http.StatusInternalServerError
	if end.outcome == journal.OutcomeReturned {
		status = http.StatusServiceUnavailable
		s.invariants.CheckEndRecorded(end.ID, written) // which counts and logs a violation
	}
	for _, client := range end.clients {
		client <- ingress.Response{Status: status, RetryAfter: end.retryAfter, Text: string(end.outcome)}
	}
}
