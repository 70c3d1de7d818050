package sender

import (
	"context"
	"fmt"
	"os"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/handover"
	"onyxdyke.example/onyxdyke/internal/retry"
)

// An upgrade: a second process starts while the first serves. At any moment one of them, the holder of the lock
// on the state folder, owns the journal and lets its module decide. A newcomer that finds the lock held asks the
// holder over a Unix socket. That stops accepting, closes the journal, frees the lock and sends its snapshot. Its
// calls in flight stay where they are; to the newcomer's module they are calls like any other, whose ends the old
// process reports. Requests that still come on the old one's connections are passed on and answered there.

type (
	// helloEvent: a newcomer asks for the snapshot.
	successorEvent struct{ *handover.Link }
	// linkEvent: the other process says something; with lost it is dead, or its connection is.
	linkEvent struct {
		link *handover.Link
		handover.Packet
		lost bool
	}
	// lockEvent: the lock that another held is ours again.
	lockAcquiredEvent struct{ lock *os.File }
)

// tryLock takes the lock on the state folder, nil if another process holds it.
func (s *Sender) tryLock(ctx context.Context) (lock *os.File, err error) {
	err = retry.OnTransient(ctx, s.log, "the lock on the state folder", func() (err error) {
		lock, err = handover.LockStateDir(s.stateDir)
		return err
	})
	return lock, err
}

// relock waits for the lock that a dead successor has left, and gives it to the loop.
func (s *Sender) waitForLock(ctx context.Context) {
	for {
		if lock, err := s.tryLock(ctx); lock != nil || err != nil {
			s.post(ctx, lockAcquiredEvent{lock})
			return
		}
		select {
		case <-time.After(handover.LockPollInterval):
		case <-ctx.Done():
			return
		}
	}
}

// own waits until this process holds the lock, and opens the journal: at once if nobody holds it, else from its
// holder or, if that dies, after it. The snapshot is nil unless the holder gave one.
func (s *Sender) acquireOwnership(ctx context.Context) (*handover.Snapshot, error) {
	var st *handover.Snapshot
	var from *handover.Link
	for told := false; ; {
		lock, err := s.tryLock(ctx)
		if retry.IsTransient(err) {
			return nil, fmt.Errorf("the state folder: %w", err)
		}
		if err != nil {
			s.log.Warn("the state folder cannot be locked: an upgrade will not be noticed", "err", err)
			s.invariants.CheckOwnership(false)
		}
		if lock != nil || err != nil {
			s.lock = lock
			break
		}
		if from == nil {
			l, e, err := handover.RequestSnapshot(ctx, s.stateDir)
			if err == nil {
				from, st, s.predecessor = l, e, l
				continue
			}
			if !told {
				told = true
				s.log.Info("another process holds the state folder", "err", err)
			}
		}
		select {
		case <-time.After(handover.LockPollInterval):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return st, s.openJournal(ctx)
}

// awaitSuccessor waits for a successor until ctx ends, and gives its link to the loop. It is called with the lock held.
func (s *Sender) awaitSuccessor(ctx context.Context) {
	if s.lock == nil {
		return
	}
	link, err := handover.AwaitSuccessor(ctx, s.log, s.stateDir)
	if err != nil {
		return
	}
	s.post(ctx, successorEvent{link})
	go s.listenToPeer(ctx, link)
}

// listenToPeer passes on what the other process sends, and that it is gone.
func (s *Sender) listenToPeer(ctx context.Context, link *handover.Link) {
	link.Listen(
		func(p handover.Packet) { s.post(ctx, linkEvent{link: link, Packet: p}) },
		func() { s.post(ctx, linkEvent{link: link, lost: true}) })
}

// flights is every attempt out, with its message in the journal.
func (s *Sender) inFlightAttempts() []handover.InFlightAttempt {
	var list []handover.InFlightAttempt
	for _, m := range s.messages {
		for attempt, c := range m.calls {
			if try := m.base + attempt; !m.ended && try < len(m.Attempts) {
				list = append(list, handover.InFlightAttempt{
					ID:   handover.AttemptID{Message: m.ID, Attempt: try},
					Call: c.number, Endpoint: c.endpoint, SentAt: m.Attempts[try].SentAt, Timeout: c.timeout})
			}
		}
	}
	return list
}

// mayHandOver reports whether the journal holds all that a newcomer has to know. If not, that has to ask again.
func (s *Sender) canHandOver(ctx context.Context, to *handover.Link) bool {
	if !s.journal.Failed() || s.journal.Compact() == nil {
		return true
	}
	s.log.Warn("no hand-over while the journal cannot be written")
	to.Close()
	go s.awaitSuccessor(ctx)
	return false
}

// handOver gives all up to a newcomer, between two steps.
func (s *Sender) handOver(to *handover.Link) {
	s.successor, s.handedOver = to, true
	s.server.closing.Store(true)
	s.server.shut()
	s.pool.KeepIdle(false)
	for _, e := range s.list.byNumber {
		s.pool.CloseIdle(e.Endpoint, 0)
	}
	s.abortUnsent(func(*outCall) bool { return true }) // of what is begun from now on only the newcomer knows whether it may
	st := &handover.Snapshot{ListVersion: s.listVersion, InFlight: s.inFlightAttempts(), BackoffUntil: map[string]time.Duration{}, Dispatcher: s.dispatcher.Snapshot()}
	for _, e := range s.list.byNumber {
		st.Endpoints = append(st.Endpoints, e.entry)
	}
	for id, until := range s.dispatcher.BackoffUntil() {
		if m := s.messages[id]; m != nil {
			st.BackoffUntil[m.ID] = until
		}
	}
	s.handedSnapshot, s.handedBackoff = st.Dispatcher, st.BackoffUntil
	s.log.Info("handing over", "held", s.pending, "calls", len(st.InFlight))
	s.journal.Flush()
	s.journal.Compact() // the successor reads it while clients wait; where it fails, the longer file says the same
	if err := s.journal.Close(); err != nil {
		s.log.Warn("journal", "err", err)
	}
	s.journal = nil
	s.pending, s.pendingNotices = 0, nil
	s.timer.Stop()
	if s.lock != nil {
		s.lock.Close() // and frees it
		s.lock = nil
	}
	to.Send(handover.Packet{Snapshot: st})
}

// regain takes everything up again after the successor's death. What that had out may have run; our own calls
// are still out.
func (s *Sender) reclaimOwnership(ctx context.Context, lock *os.File) {
	st := &handover.Snapshot{InFlight: s.inFlightAttempts(), BackoffUntil: s.handedBackoff, Dispatcher: s.handedSnapshot}
	s.lock = lock
	if err := s.openJournal(ctx); err != nil {
		s.log.Error("the journal cannot be had again", "err", err)
		s.journal = nil
		if lock != nil {
			lock.Close()
			s.lock = nil
		}
		go func() {
			time.Sleep(time.Second)
			s.waitForLock(ctx)
		}()
		return
	}
	s.handedOver = false
	s.dispatcher = dispatch.New(s.config.Settings, s.config.Seed)
	s.pool.KeepIdle(true)
	old := s.byID
	s.messages, s.byID, s.pending = map[dispatch.MessageID]*message{}, map[string]*message{}, 0
	s.restoreState(ctx, st, func(f handover.InFlightAttempt) *outCall { // the calls themselves are ours as before
		c := *old[f.ID.Message].calls[f.ID.Attempt-old[f.ID.Message].base]
		c.end = nil
		return &c
	})
	s.log.Warn("serving again after the successor's death", "held", s.pending)
	go s.awaitSuccessor(ctx)
	waiting := s.forwarded
	s.forwarded = map[uint64]forwardedRequest{}
	events := []dispatch.Event{dispatch.EndpointListStale{Stale: s.discovery.IsListStale()}}
	for _, m := range old {
		for attempt, c := range m.calls {
			if c.end != nil { // the dead one may have heard it, and then it is in the journal
				events = append(events, s.handleCallEnd(callEndedEvent{ends: []attemptEnd{{m, attempt, *c.end}}})...)
			}
		}
	}
	for _, p := range waiting { // the dead one may have taken it on: then it is in the journal
		events = append(events, s.handleEvent(ctx, p.submission)...)
	}
	s.dispatch(ctx, events)
	if !s.dispatchStopped && s.reopenListener != nil {
		s.reopenListener()
	}
}
