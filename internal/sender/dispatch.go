package sender

import (
	"context"
	"net/http"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/ingress"
	"onyxdyke.example/onyxdyke/internal/journal"
)

// dispatch lets the dispatcher decide, writes its actions to the journal, and only then announces them and carries
// them out.
func (s *Sender) dispatch(ctx context.Context, events []dispatch.Event) {
	now := s.clock.Now()
	actions := s.dispatcher.Step(now, s.withStorageStatus(events))
	ended := s.appendActions(now, actions)
	written := s.flush()
	s.announce(ended, events, written)
	sends := s.executeActions(actions)
	s.startCalls(ctx, now, sends, written)
	s.notices.deliver()
	s.publishMetrics()
}

// withStorageStatus puts a change of the journal's state before the other events, so that nothing is decided in vain.
func (s *Sender) withStorageStatus(events []dispatch.Event) []dispatch.Event {
	if s.journal.Failed() == s.storageFailing {
		return events
	}
	s.storageFailing = s.journal.Failed()
	return append([]dispatch.Event{dispatch.StorageStatus{Failing: s.storageFailing}}, events...)
}

// appendActions appends to the journal what has to be there before it happens, and returns the messages that end.
func (s *Sender) appendActions(now time.Duration, actions []dispatch.Action) []endedMessage {
	var ended []endedMessage
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Send:
			s.appendSend(now, a)
		case dispatch.Reject:
			ended = s.endMessage(ended, a.Message, journal.OutcomeReturned, a.RetryAfter)
		case dispatch.Fail:
			ended = s.endMessage(ended, a.Message, journal.OutcomeGivenUp, 0)
		case dispatch.PersistOutages:
			s.journal.AppendOutages(s.list.storedOutages(a.Outages))
		}
	}
	return ended
}

func (s *Sender) appendSend(now time.Duration, send dispatch.Send) {
	m, e := s.messages.byNumber[send.Message], s.endpoint(send.Endpoint)
	if m == nil || e == nil {
		return
	}
	s.journal.AppendAttemptStarted(m.Message, journal.Attempt{SentAt: now, Endpoint: e.ID, Zone: e.zone})
}

// announce tells clients and discovery which messages have ended, and clients which are accepted. It is called after
// the flush.
func (s *Sender) announce(ended []endedMessage, events []dispatch.Event, written bool) {
	for _, end := range ended {
		s.announceEnd(end, written)
	}
	for _, e := range events {
		if accepted, ok := e.(dispatch.Message); ok {
			s.messages.byNumber[accepted.ID].answerClients(ingress.Response{Status: http.StatusAccepted})
		}
	}
}

// executeActions does what the dispatcher has decided, but for the sends, which it returns: their calls start after the
// rest.
func (s *Sender) executeActions(actions []dispatch.Action) []dispatch.Send {
	var sends []dispatch.Send
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Send:
			sends = append(sends, a)
		case dispatch.Cancel:
			if m := s.messages.byNumber[a.Message]; m != nil && m.calls[a.Attempt] != nil {
				m.calls[a.Attempt].cancel()
			}
		case dispatch.AbortUnsent:
			s.abortUnsent(func(c *inFlightCall) bool { return c.endpoint == a.Endpoint })
		case dispatch.CloseIdle:
			if e := s.endpoint(a.Endpoint); e != nil {
				s.pool.CloseIdle(e.Endpoint, 0)
			}
		case dispatch.SetTimer: // each is earlier than the one set before
			s.timer.Reset(max(0, a.At-s.clock.Now()))
		case dispatch.WatchEndpointList:
			s.requestEndpointList()
		case dispatch.Log:
			s.log.Info(a.Line)
		}
	}
	return sends
}

// flush writes the journal. What fails here is tried again after a while, and with the next message, which is rejected.
func (s *Sender) flush() bool {
	err := s.journal.Flush()
	s.journalFailing.Store(s.journal.Failed())
	if err != nil {
		s.log.Warn("journal", "err", err)
	}
	if s.journal.Failed() {
		s.journalRetry.Reset(journal.RetryInterval)
	}
	return err == nil
}

// retryJournal tries to write the journal anew after a write has failed, and tells the dispatcher whether it can be
// written.
func (s *Sender) retryJournal(ctx context.Context) {
	if s.journal == nil || !s.journal.Failed() && !s.storageFailing {
		return
	}
	if s.journal.Failed() && s.journal.Compact() != nil {
		s.journalRetry.Reset(journal.RetryInterval)
	}
	s.journalFailing.Store(s.journal.Failed())
	s.processEvents(ctx, journalRetriedEvent{})
}
