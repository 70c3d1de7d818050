package sender

import (
	"context"
	"os"
	"time"

	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/discovery"
	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/handover"
)

// canHandOver reports whether the journal on disk holds all that a successor needs. After a failed write it compacts
// the journal for that. If the compaction fails, too, it closes the successor's link, and the successor has to ask
// again.
func (s *Sender) canHandOver(ctx context.Context, successor *handover.Link) bool {
	if !s.journal.Failed() || s.journal.Compact() == nil {
		return true
	}
	s.log.Warn("no hand-over while the journal cannot be written")
	successor.Close()
	s.setShare(config.ShareWhole)
	s.upgrade.startAwaitingSuccessor(ctx)
	return false
}

// handOver transfers the ownership to a successor, between two steps.
func (s *Sender) handOver(successor *handover.Link) {
	s.upgrade.successor, s.upgrade.handedOver = successor, true
	s.server.SetClosing(true)
	s.server.StopAccepting()
	s.pool.KeepIdle(false)
	for _, e := range s.list.byNumber {
		s.pool.CloseIdle(e.Endpoint, 0)
	}
	// From now on only the successor decides whether a call may start.
	s.abortUnsent(func(*inFlightCall) bool { return true })
	snapshot := s.snapshot()
	if successor.InheritsConnections() {
		snapshot.Connections = s.releaseConnections()
	}
	s.upgrade.handedOverSnapshot, s.upgrade.handedOverBackoffUntil = snapshot.Dispatcher, snapshot.BackoffUntil
	s.log.Info("handing over", "pending", s.messages.pending, "calls", len(snapshot.InFlight))
	s.closeJournal()
	s.messages.pending, s.notices.pending = 0, nil
	s.timer.Stop()
	s.upgrade.releaseLock() // the journal is closed by now
	successor.Send(snapshot)
}

// snapshot returns the state that a successor gets in addition to the journal.
func (s *Sender) snapshot() *handover.Snapshot {
	snapshot := &handover.Snapshot{
		ListVersion:  s.listVersion,
		InFlight:     s.inFlightAttempts(),
		BackoffUntil: s.backoffUntil(),
		Dispatcher:   s.dispatcher.Snapshot(),
		KeepsShare:   true,
	}
	for _, e := range s.list.byNumber {
		snapshot.Endpoints = append(snapshot.Endpoints, e.entry)
	}
	return snapshot
}

// backoffUntil returns by message ID when the next attempt may start after a failed one.
func (s *Sender) backoffUntil() map[string]time.Duration {
	if s.dispatchStopped && s.upgrade.handedOverBackoffUntil != nil {
		return s.upgrade.handedOverBackoffUntil // the dispatcher does not know the messages that were taken back
	}
	backoffUntil := map[string]time.Duration{}
	for number, until := range s.dispatcher.BackoffUntil() {
		if m := s.messages.byNumber[number]; m != nil {
			backoffUntil[m.ID] = until
		}
	}
	return backoffUntil
}

// releaseConnections gives up the connections that are reserved for notices, and returns them for the successor. If the
// machine does not let the successor open a socket when it starts, the successor has no other connection on which it
// could deliver its notices in time.
func (s *Sender) releaseConnections() []handover.PassedConnection {
	var passed []handover.PassedConnection
	for _, reserved := range s.discovery.ReleaseReserved() {
		passed = append(passed, handover.PassedConnection(reserved))
	}
	return passed
}

// adoptConnections takes over the connections that came with a snapshot.
func (s *Sender) adoptConnections(passed []handover.PassedConnection) {
	var reserved []discovery.ReservedConnection
	for _, connection := range passed {
		reserved = append(reserved, discovery.ReservedConnection(connection))
	}
	s.discovery.AdoptReserved(reserved)
}

// inFlightAttempts lists the attempts in flight whose message has not ended.
func (s *Sender) inFlightAttempts() []handover.InFlightAttempt {
	var list []handover.InFlightAttempt
	for _, m := range s.messages.byNumber {
		for attempt, c := range m.calls {
			index := m.priorAttempts + attempt // in the journal
			if m.ended || index >= len(m.Attempts) {
				continue
			}
			list = append(list, handover.InFlightAttempt{
				ID:       handover.AttemptID{Message: m.ID, Attempt: index},
				Call:     c.number,
				Endpoint: c.endpoint,
				SentAt:   m.Attempts[index].SentAt,
				Timeout:  c.timeout,
			})
		}
	}
	return list
}

// closeJournal closes the journal before the lock is released. It compacts the journal first, because the successor
// reads it while clients wait. If that fails, the longer file holds the same state.
func (s *Sender) closeJournal() {
	_ = s.journal.Flush() // Close reports a write that fails
	_ = s.journal.Compact()
	if err := s.journal.Close(); err != nil {
		s.log.Warn("closing the journal failed", "err", err)
	}
	s.journal = nil
}

// reclaimOwnership resumes the ownership after the successor's death. The attempts that the successor had in flight may
// have run. The attempts that this process had in flight at the hand-over are restored as in flight; missedEvents then
// handles the ends of those that have ended since. During the drain of a shutdown nothing is sent any more, but the
// ends of the calls are recorded, and the next process gets those in flight with the snapshot.
func (s *Sender) reclaimOwnership(ctx context.Context, lock *os.File) {
	snapshot := &handover.Snapshot{
		InFlight:     s.inFlightAttempts(),
		BackoffUntil: s.upgrade.handedOverBackoffUntil,
		Dispatcher:   s.upgrade.handedOverSnapshot,
	}
	s.upgrade.lock = lock
	if err := s.openJournal(ctx); err != nil {
		s.log.Error("the journal cannot be opened again", "err", err)
		s.abandonReclaim(ctx)
		return
	}
	s.upgrade.handedOver = false
	s.setShare(config.ShareWhole)
	handedOverMessages := s.messages.byID
	s.messages.clear()
	ownCall := func(attempt handover.InFlightAttempt) *inFlightCall {
		m := handedOverMessages[attempt.ID.Message]
		c := *m.calls[attempt.ID.Attempt-m.priorAttempts] // this process still makes the call itself
		c.reportedEnd = nil
		return &c
	}
	if s.dispatchStopped {
		s.restoreMessages(snapshot, ownCall)
	} else {
		s.dispatcher = dispatch.New(s.config.Settings, s.config.Seed)
		s.pool.KeepIdle(true)
		s.restoreState(ctx, snapshot, ownCall)
		s.upgrade.handedOverBackoffUntil = nil // the dispatcher knows them
	}
	if s.dispatchStopped {
		s.log.Warn("owner again until the end after the successor's death", "pending", s.messages.pending,
			"calls", s.callsInFlight)
	} else {
		s.log.Warn("serving again after the successor's death", "pending", s.messages.pending)
	}
	s.upgrade.startAwaitingSuccessor(ctx)
	s.dispatch(ctx, s.missedEvents(ctx, handedOverMessages))
	if !s.dispatchStopped && s.clientListener.open != nil {
		s.clientListener.open()
	}
}

// abandonReclaim releases the lock and tries to take it again after relockInterval. It cancels the calls in flight: a
// process that takes the lock meanwhile does not know of them.
func (s *Sender) abandonReclaim(ctx context.Context) {
	s.journal = nil
	s.cancelCalls()
	s.upgrade.releaseLock()
	keepTrying := !s.dispatchStopped
	go func() { // ends with ctx, at most relockInterval later
		time.Sleep(relockInterval)
		s.upgrade.awaitLock(ctx, keepTrying)
	}()
}

// missedEvents returns the events since the hand-over that the dead successor may not have written to the journal. The
// events that it has written are known from the journal, and are not handled twice.
func (s *Sender) missedEvents(ctx context.Context, handedOverMessages map[string]*message) []dispatch.Event {
	waiting := s.upgrade.takeForwarded()
	events := []dispatch.Event{dispatch.EndpointListStale{Stale: s.discovery.IsListStale()}}
	for _, m := range handedOverMessages {
		for attempt, c := range m.calls {
			if c.reportedEnd != nil {
				end := attemptEnd{message: m, attempt: attempt, AttemptResult: *c.reportedEnd}
				events = append(events, s.handleCallEnd(callEndedEvent{ends: []attemptEnd{end}})...)
			}
		}
	}
	for _, request := range waiting {
		events = append(events, s.handleEvent(ctx, submissionEvent{request.Submission})...)
	}
	return events
}
