package sender

import (
	"context"
	"time"

	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/handover"
	"onyxdyke.example/onyxdyke/internal/journal"
)

// firstListTimeout is how long a start waits for discovery's first response.
const firstListTimeout = 300 * time.Millisecond

// callFactory returns this process's entry for an attempt that is in flight according to a snapshot.
type callFactory func(handover.InFlightAttempt) *inFlightCall

// restoreState restores the state that an earlier process left, before any client is accepted. The snapshot is nil
// unless the earlier process handed over.
func (s *Sender) restoreState(ctx context.Context, snapshot *handover.Snapshot, newCall callFactory) {
	var events []dispatch.Event
	if snapshot != nil {
		s.restoreSnapshot(ctx, snapshot)
	} else {
		events = s.restoreEndpointList(ctx)
	}
	s.dispatch(ctx, append(events, s.restoreMessages(snapshot, newCall)...))
}

// restoreMessages restores the messages and the notices that are in the journal. It returns the messages as events for
// the dispatcher. The snapshot may be nil, as in restoreState.
func (s *Sender) restoreMessages(snapshot *handover.Snapshot, newCall callFactory) (events []dispatch.Event) {
	inFlight := map[string]handover.InFlightAttempt{}
	if snapshot != nil {
		for _, attempt := range snapshot.InFlight {
			inFlight[attempt.ID.Message] = attempt
		}
	}
	for _, stored := range s.journal.Messages() {
		if stored.PendingOutcome != "" {
			s.notices.add(noticeOf(stored))
			continue
		}
		restored := s.restoreMessage(stored)
		if snapshot != nil {
			restored.NotBefore = snapshot.BackoffUntil[stored.ID]
		}
		if attempt, ok := inFlight[stored.ID]; ok && s.canBeInFlight(stored, attempt) {
			s.restoreCall(&restored, attempt, newCall)
		}
		events = append(events, restored)
	}
	return events
}

// restoreSnapshot restores the endpoint list and the dispatcher. The list of a snapshot is up to date, so nothing waits
// for discovery.
func (s *Sender) restoreSnapshot(ctx context.Context, snapshot *handover.Snapshot) {
	for _, entry := range snapshot.Endpoints { // in the order of their numbers in the other dispatcher
		s.list.apply(entry, s.config, s.pool)
		s.listVersion = snapshot.ListVersion
	}
	for _, attempt := range snapshot.InFlight {
		s.lastCallNumber = max(s.lastCallNumber, attempt.Call)
	}
	allReady, current := s.endpointListEvents()
	s.dispatch(ctx, []dispatch.Event{allReady, current})
	s.dispatcher.Restore(snapshot.Dispatcher)
}

// restoreEndpointList starts with the endpoint list that is known. The list in the configuration may be older than the
// one that the earlier process had received, so the changes in the journal are applied to it. An endpoint on it may
// have drained since then, so nothing is sent until discovery has responded once, or firstListTimeout has passed.
func (s *Sender) restoreEndpointList(ctx context.Context) []dispatch.Event {
	known := s.journal.MergeEndpointList(s.config.EndpointList)
	s.dispatch(ctx, []dispatch.Event{s.applyEndpointList(known, true)})
	s.dispatch(ctx, []dispatch.Event{s.list.restoredOutages(s.journal.Outages())})
	select {
	case e := <-s.events:
		return s.handleEvent(ctx, e)
	case <-time.After(firstListTimeout):
		return nil
	}
}

// restoreMessage adds a message from the journal and translates it for the dispatcher.
func (s *Sender) restoreMessage(stored *journal.Message) dispatch.Message {
	firstRun, mayHaveRun := stored.FirstPossibleRun()
	return dispatch.Message{
		ID:            s.messages.add(stored).number,
		Class:         config.IndexOf(s.config.Classes, stored.Class, -1),
		Tenant:        config.IndexOf(s.config.Tenants, stored.Tenant, -1),
		Destination:   dispatch.DestinationID(stored.Destination),
		Deadline:      stored.Deadline,
		PriorAttempts: len(stored.Attempts),
		MayHaveRun:    mayHaveRun,
		FirstRunAt:    firstRun.SentAt,
		FirstRunZone:  firstRun.Zone,
		Rules:         stored.Rules.ForDispatcher(),
		Resumed:       true,
	}
}

// canBeInFlight reports whether a snapshot's attempt fits the message in the journal: only its last attempt can be in
// flight, and an endpoint that was never listed has no call.
func (s *Sender) canBeInFlight(stored *journal.Message, attempt handover.InFlightAttempt) bool {
	return attempt.ID.Attempt == len(stored.Attempts)-1 && int(attempt.Endpoint) < len(s.list.byNumber)
}

// restoreCall makes a message's last attempt its first one in this process, in flight.
func (s *Sender) restoreCall(restored *dispatch.Message, attempt handover.InFlightAttempt, newCall callFactory) {
	m := s.messages.byNumber[restored.ID]
	m.priorAttempts, m.ownAttempts = attempt.ID.Attempt, 1
	m.calls[0] = newCall(attempt)
	restored.PriorAttempts = attempt.ID.Attempt
	restored.InFlight = &dispatch.InFlightAttempt{
		Endpoint: attempt.Endpoint,
		Call:     attempt.Call,
		SentAt:   attempt.SentAt,
		Timeout:  attempt.Timeout,
	}
}
