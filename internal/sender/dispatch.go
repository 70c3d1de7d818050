package sender

import (
	"context"
	"net/http"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/ingress"
	"onyxdyke.example/onyxdyke/internal/journal"
)

// dispatch runs one step of the dispatcher, writes the resulting actions to the journal, and only then announces and
// executes them. Once the dispatcher makes no more decisions, it only writes what has been appended to the journal.
func (s *Sender) dispatch(ctx context.Context, events []dispatch.Event) {
	if s.dispatchStopped {
		s.learnRetryAfters(events)
		s.flush()
		s.notices.deliver()
		s.publishMetrics()
		return
	}
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

// learnRetryAfters passes the Retry-Afters in events to the dispatcher, which makes no more decisions: a process that
// takes over has to heed them.
func (s *Sender) learnRetryAfters(events []dispatch.Event) {
	for _, e := range events {
		switch e := e.(type) {
		case dispatch.RetryAfterReceived:
			s.dispatcher.LearnRetryAfter(s.clock.Now(), e)
		case dispatch.AttemptResult:
			if e.RetryAfter > 0 {
				received := dispatch.RetryAfterReceived{Endpoint: e.Endpoint, RetryAfter: e.RetryAfter}
				s.dispatcher.LearnRetryAfter(s.clock.Now(), received)
			}
		}
	}
}

// withStorageStatus prepends an event if the journal has failed or recovered since the last step. The dispatcher gets
// it before the other events, so that it decides nothing that cannot be recorded.
func (s *Sender) withStorageStatus(events []dispatch.Event) []dispatch.Event {
	if s.journal.Failed() == s.storageFailing {
		return events
	}
	s.storageFailing = s.journal.Failed()
	return append([]dispatch.Event{dispatch.StorageStatus{Failing: s.storageFailing}}, events...)
}

// appendActions appends to the journal the actions that it must hold before they are executed, and returns the messages
// that they end.
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

// appendSend appends the start of an attempt to the journal.
func (s *Sender) appendSend(now time.Duration, send dispatch.Send) {
	m, e := s.messages.byNumber[send.Message], s.endpoint(send.Endpoint)
	if m == nil || e == nil {
		return
	}
	s.journal.AppendAttemptStarted(m.Message, journal.Attempt{SentAt: now, Endpoint: e.ID, Zone: e.zone})
}

// announce reports to clients which messages are accepted, and to clients or discovery which messages have ended. It is
// called after the flush.
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

// executeActions executes the dispatcher's actions except for the sends. It returns those: their calls start after all
// other actions.
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
		case dispatch.SetTimer: // the dispatcher only moves a pending timer to an earlier time
			s.timer.Reset(max(0, a.At-s.clock.Now()))
		case dispatch.WatchEndpointList:
			s.requestEndpointList()
		case dispatch.Log:
			s.log.Info(a.Line)
		}
	}
	return sends
}

// flush writes the journal and reports whether that succeeded. A write that fails is retried after
// journal.RetryInterval, and also when the next message is submitted, which is rejected if the journal still cannot be
// written.
func (s *Sender) flush() bool {
	err := s.journal.Flush()
	s.journalFailing.Store(s.journal.Failed())
	if err != nil {
		s.log.Warn("journal write failed", "err", err)
	}
	if s.journal.Failed() {
		s.journalRetry.Reset(journal.RetryInterval)
	}
	return err == nil
}

// retryJournal tries again to write the journal after a write has failed, and runs a step, which reports to the
// dispatcher whether the journal can be written.
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
