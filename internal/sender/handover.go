package sender

import (
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
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

// packet is what the processes tell one another; each sets one field.
type packet struct {
	Hello  *hello       // newcomer: hand over
	Estate *snapshot    // holder: here it is (the name is that of the first version, which may be on the other side)
	Submit *relayed     // old one: a request that came on one of my connections
	Answer *relayAnswer // newcomer: its answer
	Ended  *flightEnd   // old one: how an attempt ended
	Wait   *relayedWait // old one: a wait told to a call that has not ended
	Cancel *flightID    // newcomer: call it off

	flush chan struct{} // not sent: closed when all before it has been
}

type hello struct{ Version int }

// snapshot is what a process hands over beside the journal.
type snapshot struct {
	ListVersion int64
	Endpoints   []Target // by the module's number, those that are gone as DELETED
	Flights     []flight
	Rests       map[string]time.Duration // until when messages rest after a failed attempt
	Memory      brain.Memory
}

// flightID names an attempt: both processes know a message by its id, and its attempts by their place.
type flightID struct {
	ID  string
	Try int
}

// flight is an attempt that is out.
type flight struct {
	ID       flightID
	Call     uint64 // attempts of one call share it
	Endpoint brain.EndpointID
	At       time.Duration
	Timeout  time.Duration
}

type flightEnd struct {
	Flight flightID
	End    brain.AttemptEnd
}

// relayedWait is a wait that an endpoint has told, by the endpoint's id and from now on.
type relayedWait struct {
	Endpoint string
	Wait     time.Duration
}

type relayed struct {
	Seq    uint64
	Record record
}

type relayAnswer struct {
	Seq    uint64
	Status int
	Retry  time.Duration
	Text   string
}

// link is the connection to the other process.
type link struct {
	conn net.Conn
	out  chan packet
	once sync.Once
	gone chan struct{}
}

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

func newLink(c net.Conn) *link {
	l := &link{conn: c, out: make(chan packet, linkRoom), gone: make(chan struct{})}
	go func() {
		enc := gob.NewEncoder(c)
		for {
			select {
			case p := <-l.out:
				if p.flush != nil {
					close(p.flush)
					continue
				}
				c.SetWriteDeadline(time.Now().Add(handTime))
				if enc.Encode(p) != nil {
					l.close()
					return
				}
			case <-l.gone:
				return
			}
		}
	}()
	return l
}

// send never waits: a process that takes nothing in is as good as dead.
func (l *link) send(p packet) {
	select {
	case l.out <- p:
	default:
		l.close()
	}
}

// isGone reports whether the link has ended.
func (l *link) isGone() bool {
	select {
	case <-l.gone:
		return true
	default:
		return false
	}
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.gone)
		l.conn.Close()
	})
}

// drain waits until what was sent is on its way, or has had its time.
func (l *link) drain() {
	done := make(chan struct{})
	l.send(packet{flush: done})
	select {
	case <-done:
	case <-l.gone:
	case <-time.After(cutTime):
	}
	l.close()
}

// listen passes on what the other process says, and then that it is gone.
func (l *link) listen(dec *gob.Decoder, post func(any)) {
	for {
		var p packet
		if err := dec.Decode(&p); err != nil {
			break
		}
		post(linkEvent{link: l, packet: p})
	}
	l.close()
	time.Sleep(deathTime)
	post(linkEvent{link: l, lost: true})
}

// lockFolder takes the lock on the state folder; nil if another process holds it.
func lockFolder(dir string) (*os.File, error) {
	f, err := os.Open(dir)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return f, nil
	}
	f.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, nil
	}
	return nil, err
}

// tryLock takes the lock on the state folder, nil if another process holds it.
func (s *Sender) tryLock(ctx context.Context) (lock *os.File, err error) {
	err = keepTrying(ctx, s.log, "the lock on the state folder", func() (err error) {
		lock, err = lockFolder(s.folder)
		return err
	})
	return lock, err
}

// socketAt calls use with the path of the holder's socket. It stands in the temporary folder, as what stands in
// the state folder is kept and counted. A socket's path is short, so a long one is reached through its folder.
func socketAt(state string, use func(path string) error) error {
	if abs, err := filepath.Abs(state); err == nil {
		state = abs
	}
	h := fnv.New64a()
	h.Write([]byte(state))
	dir, err := os.Open(os.TempDir())
	if err != nil {
		return err
	}
	defer dir.Close()
	return use(fmt.Sprintf("/proc/self/fd/%d/saffronyard-%016x.sock", dir.Fd(), h.Sum64()))
}

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
	var p packet
	c.SetReadDeadline(time.Now().Add(handTime))
	if err := dec.Decode(&p); err != nil || p.Estate == nil {
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
		var p packet
		c.SetReadDeadline(time.Now().Add(handTime))
		if err := dec.Decode(&p); err != nil || p.Hello == nil || p.Hello.Version != handVersion {
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

// relay handles an event after the hand-over: nothing is decided here any more.
func (s *Sender) relay(ctx context.Context, e any) {
	switch e := e.(type) {
	case submission:
		s.passOn(e)
	case callEnd:
		if e.over {
			s.out--
		}
		for _, end := range e.ends {
			s.relayEnd(end)
		}
	case toldEvent:
		s.telling = false // the successor tells them once more, which does no harm
	case waitEvent:
		if at := s.endpoint(e.endpoint); at != nil && s.successor != nil {
			s.successor.send(packet{Wait: &relayedWait{at.id, max(0, time.Until(e.until))}})
		}
	case reloadEvent:
		s.retune(e.Config)
	case listEvent:
		s.news(e.Targets, e.Full)
	case failedEvent:
		if !s.c.Settings.AsksForList {
			s.ask()
		}
	case helloEvent:
		e.link.close() // who owns the journal now is to be asked
	case lockEvent:
		s.regain(ctx, e.lock)
	case linkEvent:
		switch {
		case e.link != s.successor && e.lost:
			s.predecessorGone(e.link)
		case e.link != s.successor && e.Submit != nil:
			s.passOn(s.relayedSubmission(ctx, e.link, e.Submit))
		case e.link != s.successor && e.Ended != nil:
			if m := s.byID[e.Ended.Flight.ID]; m != nil {
				s.relayEnd(itemEnd{m, e.Ended.Flight.Try - m.base, e.Ended.End})
			}
		case e.lost:
			s.successor = nil
			s.log.Warn("the successor is gone")
			if !s.quitting {
				go s.relock(ctx)
			} else {
				s.abandonPassedOn()
			}
		case e.Answer != nil:
			if sub, ok := s.passed[e.Answer.Seq]; ok {
				delete(s.passed, e.Answer.Seq)
				sub.answer <- answerLine{e.Answer.Status, e.Answer.Retry, e.Answer.Text}
			}
		case e.Cancel != nil:
			if m := s.byID[e.Cancel.ID]; m != nil {
				if c := m.calls[e.Cancel.Try-m.base]; c != nil {
					c.cancel()
				}
			}
		}
	}
}

// passOn hands a request to the successor. Without one it waits: if this process takes the lock again, it is ours. Where it
// does not any more, nobody can have taken the request on.
func (s *Sender) passOn(sub submission) {
	if s.successor == nil && s.quitting {
		s.refuseLeaving(sub)
		return
	}
	s.seq++
	to := s.successor
	if to != nil && to.isGone() { // its death is about to be told
		to = nil
	}
	s.passed[s.seq] = passedOn{sub, to != nil}
	if to != nil {
		to.send(packet{Submit: &relayed{s.seq, sub.record}})
	}
}

// abandonPassedOn answers what was kept for a successor that is gone, where this process does not go on either. The
// dead one may have taken on what was sent to it, so nothing is promised of that.
func (s *Sender) abandonPassedOn() {
	for seq, p := range s.passed {
		delete(s.passed, seq)
		if p.sent {
			s.figures.aborted(p.Class)
			p.answer <- answerLine{http.StatusInternalServerError, 0, givenUp}
			continue
		}
		s.refuseLeaving(p.submission)
	}
}

// refuseLeaving answers a request that nobody has taken on, as the process ends.
func (s *Sender) refuseLeaving(sub submission) {
	s.figures.declined(sub.Class)
	sub.answer <- answerLine{http.StatusServiceUnavailable, s.c.Settings.MaxHoldOff, "shutting down"}
}

// passedOn is a request that waits for the successor's answer.
type passedOn struct {
	submission
	sent bool // to it
}

// relayedSubmission is a request that came to the process before this one. Its answer goes back there.
func (s *Sender) relayedSubmission(ctx context.Context, from *link, r *relayed) submission {
	sub := submission{record: r.Record, answer: make(chan answerLine, 1)}
	go func() {
		select {
		case a := <-sub.answer:
			from.send(packet{Answer: &relayAnswer{r.Seq, a.status, a.retry, a.text}})
		case <-from.gone:
		case <-ctx.Done():
		}
	}()
	return sub
}

// predecessorGone ends the attempts that the process before this one had out: they may have run.
func (s *Sender) predecessorGone(from *link) []itemEnd {
	var ends []itemEnd
	for _, m := range s.messages {
		for attempt, c := range m.calls {
			if c.at == from && c.end == nil {
				ends = append(ends, itemEnd{m, attempt, brain.AttemptEnd{Endpoint: c.endpoint, Outcome: brain.Broken,
					Elapsed: max(0, s.clock.now()-m.Tries[m.base+attempt].At)}})
			}
		}
	}
	if s.predecessor == from {
		s.predecessor = nil
	}
	if !s.handed {
		return ends
	}
	for _, e := range ends {
		s.relayEnd(e)
	}
	return nil
}

// relayEnd tells the successor how an attempt ended, and keeps that: should it die before it has written it down, nobody else
// will tell it again.
func (s *Sender) relayEnd(e itemEnd) {
	c := e.message.calls[e.attempt]
	if c == nil || c.end != nil {
		return
	}
	c.end = &e.AttemptEnd
	if s.successor != nil {
		s.successor.send(packet{Ended: &flightEnd{flightID{e.message.ID, e.message.base + e.attempt}, e.AttemptEnd}})
	}
}

// fromPredecessor takes in what the process before this one says.
func (s *Sender) fromPredecessor(ctx context.Context, e linkEvent) []brain.Event {
	switch {
	case e.lost:
		return s.callEnded(callEnd{ends: s.predecessorGone(e.link)})
	case e.Submit != nil:
		sub := s.relayedSubmission(ctx, e.link, e.Submit)
		if ev := s.submitted(sub); ev != nil {
			return []brain.Event{ev}
		}
	case e.Wait != nil:
		if at := s.list.byID[e.Wait.Endpoint]; at != nil {
			return []brain.Event{brain.WaitTold{Endpoint: at.number, Wait: e.Wait.Wait}}
		}
	case e.Ended != nil:
		if m := s.byID[e.Ended.Flight.ID]; m != nil {
			return s.callEnded(callEnd{ends: []itemEnd{{m, e.Ended.Flight.Try - m.base, e.Ended.End}}})
		}
	}
	return nil
}

// relock waits for the lock that a dead successor has left, and gives it to the loop.
func (s *Sender) relock(ctx context.Context) {
	for {
		if lock, err := s.tryLock(ctx); lock != nil || err != nil {
			s.post(ctx, lockEvent{lock})
			return
		}
		select {
		case <-time.After(askEvery):
		case <-ctx.Done():
			return
		}
	}
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
