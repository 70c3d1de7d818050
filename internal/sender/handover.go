package sender

import (
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"dockshift.example/dockshift/brain"
)

// An upgrade: a second process starts while the first serves. At any moment one of them, the holder of the lock
// on the state folder, owns the journal and lets its module decide. A newcomer that finds the lock held asks the
// holder over a Unix socket. That stops accepting, closes the journal, frees the lock and sends its snapshot. Its
// calls in flight stay where they are; to the newcomer's module they are calls like any other, whose ends the old
// process reports. Requests that still come on the old one's connections are passed on and answered there.

const (
	handVersion = 1                      // of the packets; a holder that does not know it keeps what it has
	askEvery    = 50 * time.Millisecond  // a newcomer looks so often for the lock or its holder
	handTime    = 2 * time.Second        // for a packet to be written, and for the snapshot to come
	linkRoom    = 4096                   // packets on their way to the other process
	deathTime   = 30 * time.Millisecond  // from the end of a link until the dead one's other sockets are closed, too
	cutTime     = 250 * time.Millisecond // at the end, for the calls that are cut off to be reported
)

type (
	// helloEvent: a newcomer asks for the snapshot.
	helloEvent struct{ *link }
	// linkEvent: the other process says something; with lost it is dead, or its connection is.
	linkEvent struct {
		link *link
		packet
		lost bool
	}
	// lockEvent: the lock that another held is ours again.
	lockEvent struct{ lock *os.File }
)

// askHolder asks the lock's holder for its snapshot.
func askHolder(ctx context.Context, state string) (*link, *gob.Decoder, *snapshot, error) {
	var c net.Conn
	err := socketAt(state, func(path string) (err error) {
		c, err = (&net.Dialer{Timeout: handTime}).DialContext(ctx, "unix", path)
		return err
	})
	if err != nil {
		return nil, nil, nil, err
	}
	l := newLink(c)
	l.send(packet{Hello: &hello{handVersion}})
	dec := gob.NewDecoder(c)
	c.SetReadDeadline(time.Now().Add(handTime))
	p, err := readPacket(dec)
	if err != nil || p.Estate == nil {
		l.close()
		return nil, nil, nil, fmt.Errorf("the holder's snapshot: %w", errors.Join(err, errors.New("nothing came")))
	}
	c.SetReadDeadline(time.Time{})
	return l, dec, p.Estate, nil
}

// own waits until this process holds the lock, and opens the journal: at once if nobody holds it, else from its
// holder or, if that dies, after it. The snapshot is nil unless the holder gave one.
func (s *Sender) own(ctx context.Context) (*snapshot, error) {
	var st *snapshot
	var from *link
	for told := false; ; {
		lock, err := s.tryLock(ctx)
		if isTransient(err) {
			return nil, fmt.Errorf("the state folder: %w", err)
		}
		if err != nil {
			s.log.Warn("the state folder cannot be locked: an upgrade will not be noticed", "err", err)
			s.guard.checkStart(false)
		}
		if lock != nil || err != nil {
			s.lock = lock
			break
		}
		if from == nil {
			l, dec, e, err := askHolder(ctx, s.folder)
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
		case <-time.After(askEvery):
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
	err := keepTrying(ctx, s.log, "the socket for an upgrade", func() error {
		return socketAt(s.folder, func(path string) (err error) {
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
		if err != nil && !brokenListener(err) && wait(ctx, acceptPauseMost) {
			continue
		}
		if err != nil {
			return
		}
		dec := gob.NewDecoder(c)
		c.SetReadDeadline(time.Now().Add(handTime))
		p, err := readPacket(dec)
		if err != nil || p.Hello == nil || p.Hello.Version != handVersion {
			s.log.Warn("a newcomer that is not understood", "err", err)
			c.Close()
			continue
		}
		c.SetReadDeadline(time.Time{})
		link := newLink(c)
		s.post(ctx, helloEvent{link})
		go link.listen(dec, func(e any) { s.post(ctx, e) })
		return // who takes everything up again listens anew
	}
}

// flights is every attempt out, with its message in the journal.
func (s *Sender) flights() []flight {
	var list []flight
	for _, m := range s.messages {
		for attempt, c := range m.calls {
			if try := m.base + attempt; !m.ended && try < len(m.Tries) {
				list = append(list, flight{flightID{m.ID, try}, c.number, c.endpoint, m.Tries[try].At, c.timeout})
			}
		}
	}
	return list
}

// mayHandOver reports whether the journal holds all that a newcomer has to know. If not, that has to ask again.
func (s *Sender) mayHandOver(ctx context.Context, to *link) bool {
	if !s.journal.failed || s.journal.compact() == nil {
		return true
	}
	s.log.Warn("no hand-over while the journal cannot be written")
	to.close()
	go s.awaitSuccessor(ctx)
	return false
}

// handOver gives all up to a newcomer, between two steps.
func (s *Sender) handOver(to *link) {
	s.successor, s.handed = to, true
	s.server.closing.Store(true)
	s.server.shut()
	s.pool.leaving.Store(true)
	for _, e := range s.list.byNumber {
		s.pool.closeIdle(e, 0)
	}
	s.withhold(func(*outCall) bool { return true }) // of what is begun from now on only the newcomer knows whether it may
	st := &snapshot{ListVersion: s.listVersion, Flights: s.flights(), Rests: map[string]time.Duration{}, Memory: s.brain.Remember()}
	for _, e := range s.list.byNumber {
		st.Endpoints = append(st.Endpoints, e.target)
	}
	for id, until := range s.brain.Resting() {
		if m := s.messages[id]; m != nil {
			st.Rests[m.ID] = until
		}
	}
	s.memory, s.rests = st.Memory, st.Rests
	s.log.Info("handing over", "held", s.held, "calls", len(st.Flights))
	s.journal.flush()
	s.journal.compact() // the successor reads it while clients wait; where it fails, the longer file says the same
	if err := s.journal.close(); err != nil {
		s.log.Warn("journal", "err", err)
	}
	s.journal = nil
	s.held, s.owed = 0, nil
	s.alarm.Stop()
	if s.lock != nil {
		s.lock.Close() // and frees it
		s.lock = nil
	}
	to.send(packet{Estate: st})
}

// regain takes everything up again after the successor's death. What that had out may have run; our own calls
// are still out.
func (s *Sender) regain(ctx context.Context, lock *os.File) {
	st := &snapshot{Flights: s.flights(), Rests: s.rests, Memory: s.memory}
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
			s.relock(ctx)
		}()
		return
	}
	s.handed = false
	s.brain = brain.New(s.c.Settings, s.c.Seed)
	s.pool.leaving.Store(false)
	old := s.byID
	s.messages, s.byID, s.held = map[brain.MessageID]*message{}, map[string]*message{}, 0
	s.resume(ctx, st, func(f flight) *outCall { // the calls themselves are ours as before
		c := *old[f.ID.ID].calls[f.ID.Try-old[f.ID.ID].base]
		c.end = nil
		return &c
	})
	s.log.Warn("serving again after the successor's death", "held", s.held)
	go s.awaitSuccessor(ctx)
	waiting := s.passed
	s.passed = map[uint64]passedOn{}
	events := []brain.Event{brain.ListStale{Stale: s.disc.fresh.isStale()}}
	for _, m := range old {
		for attempt, c := range m.calls {
			if c.end != nil { // the dead one may have heard it, and then it is in the journal
				events = append(events, s.callEnded(callEnd{ends: []itemEnd{{m, attempt, *c.end}}})...)
			}
		}
	}
	for _, p := range waiting { // the dead one may have taken it on: then it is in the journal
		events = append(events, s.take(ctx, p.submission)...)
	}
	s.step(ctx, events)
	if !s.quitting && s.reopen != nil {
		s.reopen()
	}
}
