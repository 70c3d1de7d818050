package sender

import (
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/retry"
)

// An upgrade: a second process starts while the first serves. At any moment one of them, the holder of the lock
// on the state folder, owns the journal and lets its module decide. A newcomer that finds the lock held asks the
// holder over a Unix socket. That stops accepting, closes the journal, frees the lock and sends its snapshot. Its
// calls in flight stay where they are; to the newcomer's module they are calls like any other, whose ends the old
// process reports. Requests that still come on the old one's connections are passed on and answered there.

const (
	handOverVersion  = 1                      // of the packets; a holder that does not know it keeps what it has
	lockPollInterval = 50 * time.Millisecond  // a newcomer looks so often for the lock or its holder
	linkTimeout      = 2 * time.Second        // for a packet to be written, and for the snapshot to come
	linkQueue        = 4096                   // packets on their way to the other process
	peerDeathDelay   = 30 * time.Millisecond  // from the end of a link until the dead one's other sockets are closed, too
	cancelTimeout    = 250 * time.Millisecond // at the end, for the calls that are cut off to be reported
)

type (
	// helloEvent: a newcomer asks for the snapshot.
	successorEvent struct{ *link }
	// linkEvent: the other process says something; with lost it is dead, or its connection is.
	linkEvent struct {
		link *link
		packet
		lost bool
	}
	// lockEvent: the lock that another held is ours again.
	lockAcquiredEvent struct{ lock *os.File }
)

// askHolder asks the lock's holder for its snapshot.
func requestSnapshot(ctx context.Context, state string) (*link, *gob.Decoder, *snapshot, error) {
	var c net.Conn
	err := withHandOverSocket(state, func(path string) (err error) {
		c, err = (&net.Dialer{Timeout: linkTimeout}).DialContext(ctx, "unix", path)
		return err
	})
	if err != nil {
		return nil, nil, nil, err
	}
	l := newLink(c)
	l.send(packet{Hello: &hello{handOverVersion}})
	dec := gob.NewDecoder(c)
	c.SetReadDeadline(time.Now().Add(linkTimeout))
	p, err := readPacket(dec)
	if err != nil || p.Snapshot == nil {
		l.close()
		return nil, nil, nil, fmt.Errorf("the holder's snapshot: %w", errors.Join(err, errors.New("nothing came")))
	}
	c.SetReadDeadline(time.Time{})
	return l, dec, p.Snapshot, nil
}

// own waits until this process holds the lock, and opens the journal: at once if nobody holds it, else from its
// holder or, if that dies, after it. The snapshot is nil unless the holder gave one.
func (s *Sender) acquireOwnership(ctx context.Context) (*snapshot, error) {
	var st *snapshot
	var from *link
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
			l, dec, e, err := requestSnapshot(ctx, s.stateDir)
			if err == nil {
				from, st, s.predecessor = l, e, l
				s.inbox = dec
				continue
			}
			if !told {
				told = true
				s.log.Info("another process holds the state folder", "err", err)
			}
		}
		select {
		case <-time.After(lockPollInterval):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return st, s.openJournal(ctx)
}

// awaitSuccessor listens for a newcomer, until ctx ends. It is called with the lock held, so what stands at the
// path is left from another time.
func (s *Sender) awaitSuccessor(ctx context.Context) {
	if s.lock == nil {
		return
	}
	var l net.Listener
	err := retry.OnTransient(ctx, s.log, "the socket for an upgrade", func() error {
		return withHandOverSocket(s.stateDir, func(path string) (err error) {
			os.Remove(path)
			l, err = net.Listen("unix", path)
			return err
		})
	})
	if err != nil {
		s.log.Warn("no socket for an upgrade", "err", err)
		return
	}
	l.(*net.UnixListener).SetUnlinkOnClose(false) // by then it may be another's
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	defer l.Close()
	for {
		c, err := l.Accept()
		if err != nil && !brokenListener(err) && retry.Wait(ctx, acceptPauseMost) {
			continue
		}
		if err != nil {
			return
		}
		dec := gob.NewDecoder(c)
		c.SetReadDeadline(time.Now().Add(linkTimeout))
		p, err := readPacket(dec)
		if err != nil || p.Hello == nil || p.Hello.Version != handOverVersion {
			s.log.Warn("a newcomer that is not understood", "err", err)
			c.Close()
			continue
		}
		c.SetReadDeadline(time.Time{})
		link := newLink(c)
		s.post(ctx, successorEvent{link})
		go link.listen(dec, func(e any) { s.post(ctx, e) })
		return // who takes everything up again listens anew
	}
}

// flights is every attempt out, with its message in the journal.
func (s *Sender) inFlightAttempts() []inFlightAttempt {
	var list []inFlightAttempt
	for _, m := range s.messages {
		for attempt, c := range m.calls {
			if try := m.base + attempt; !m.ended && try < len(m.Attempts) {
				list = append(list, inFlightAttempt{attemptID{m.ID, try}, c.number, c.endpoint, m.Attempts[try].SentAt, c.timeout})
			}
		}
	}
	return list
}

// mayHandOver reports whether the journal holds all that a newcomer has to know. If not, that has to ask again.
func (s *Sender) canHandOver(ctx context.Context, to *link) bool {
	if !s.journal.Failed() || s.journal.Compact() == nil {
		return true
	}
	s.log.Warn("no hand-over while the journal cannot be written")
	to.close()
	go s.awaitSuccessor(ctx)
	return false
}

// handOver gives all up to a newcomer, between two steps.
func (s *Sender) handOver(to *link) {
	s.successor, s.handedOver = to, true
	s.server.closing.Store(true)
	s.server.shut()
	s.pool.leaving.Store(true)
	for _, e := range s.list.byNumber {
		s.pool.closeIdle(e, 0)
	}
	s.abortUnsent(func(*outCall) bool { return true }) // of what is begun from now on only the newcomer knows whether it may
	st := &snapshot{ListVersion: s.listVersion, InFlight: s.inFlightAttempts(), BackoffUntil: map[string]time.Duration{}, Dispatcher: s.dispatcher.Snapshot()}
	for _, e := range s.list.byNumber {
		st.Endpoints = append(st.Endpoints, e.target)
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
	to.send(packet{Snapshot: st})
}

// regain takes everything up again after the successor's death. What that had out may have run; our own calls
// are still out.
func (s *Sender) reclaimOwnership(ctx context.Context, lock *os.File) {
	st := &snapshot{InFlight: s.inFlightAttempts(), BackoffUntil: s.handedBackoff, Dispatcher: s.handedSnapshot}
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
	s.pool.leaving.Store(false)
	old := s.byID
	s.messages, s.byID, s.pending = map[dispatch.MessageID]*message{}, map[string]*message{}, 0
	s.restoreState(ctx, st, func(f inFlightAttempt) *outCall { // the calls themselves are ours as before
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
