package sender

import (
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"dockshift.example/dockshift/brain"
)

const (
	// After SIGTERM the sender goes on as ever for graceTime: clients come for a while yet, and what is
	// delivered now does not wait for the next process. Then no call is begun, and it waits for those that
	// are out until leaveTime. The platform kills what is left at 3.7 s.
	graceTime = 2200 * time.Millisecond
	leaveTime = 3200 * time.Millisecond

	eventRoom   = 1024 // events on their way to the loop
	batchMost   = 256  // taken in by one step
	idleLook    = time.Second
	firstList   = 300 * time.Millisecond // the list is waited for at the start
	journalPart = 0.96                   // of the disk's limit: the rest is for what the file system adds

	// A client counts a message's time from when it sent it, the sender from when it had come, and the difference is not
	// told. The protocol's slack for such differences is this.
	slack = 50 * time.Millisecond
)

// Sender is one real sender.
type Sender struct {
	env     Environment
	c       *Config
	log     *slog.Logger
	clock   *clock
	brain   *brain.Brain
	journal *journal
	pool    *pool
	list    endpoints
	disc    *discovery
	server  *server
	figures *figures
	guard   *guard

	events    chan any
	asked     chan struct{}
	notices   chan []notice
	owed      []notice // to be told
	telling   bool     // a batch of them is out
	messages  map[brain.MessageID]*message
	byID      map[string]*message
	last      brain.MessageID
	held      int // messages taken on that have not ended
	out       int // calls out
	shared    int // messages so far that went along in another's call
	alarm     *time.Timer
	storage   *time.Timer // when a journal that could not be written is tried again
	halted    bool        // the Brain has been told that it cannot be written
	unwritten atomic.Bool // the journal's last write failed
	quitting  bool        // no more steps: what comes in is only written down
	numbered  uint64      // calls so far, those of the process before included

	folder      string // the configuration's State
	listVersion int64
	reopen      func() // listens for clients again, by and by

	lock        *os.File     // on the state folder; nil if it could not be had, or after a hand-over
	predecessor *link        // the process that this one took over from, while it runs
	inbox       *gob.Decoder // of that
	handed      bool         // a successor decides
	successor   *link        // it, while it runs
	memory      brain.Memory // what was handed to it
	rests       map[string]time.Duration
	passed      map[uint64]passedOn // requests that it has not answered yet
	seq         uint64

	grace, leaveAfter time.Duration
}

// listenerOrError is a listener for clients, or why there is none.
type listenerOrError struct {
	net.Listener
	err error
}

type (
	listEvent   struct{ Targets }
	failedEvent struct{ err error }
	waitEvent   struct {
		endpoint brain.EndpointID
		until    time.Time
	}
	toldEvent   struct{ notices []notice }
	staleEvent  struct{ stale bool }
	reloadEvent struct{ *Config }
)

// New opens the journal, unless another process holds it; Run does the rest.
func New(c *Config, log *slog.Logger) (*Sender, error) {
	return NewIn(context.Background(), OperatingSystem(), c, log)
}

// NewIn is New in an environment other than the operating system's. What fails for a moment is tried again until ctx ends.
func NewIn(ctx context.Context, env Environment, c *Config, log *slog.Logger) (*Sender, error) {
	s := &Sender{env: env, c: c, folder: c.State, log: log, clock: newClock(env.Wall()), brain: brain.New(c.Settings, c.Seed), passed: map[uint64]passedOn{}, pool: newPool(c), figures: newFigures(c.Classes),
		list: endpoints{byID: map[string]*endpoint{}}, disc: newDiscovery(c.Discovery, c.Settings.Senders), events: make(chan any, eventRoom),
		asked: make(chan struct{}, 1), notices: make(chan []notice, 1), messages: map[brain.MessageID]*message{},
		byID: map[string]*message{}, alarm: time.NewTimer(time.Hour), storage: time.NewTimer(time.Hour), grace: graceTime, leaveAfter: leaveTime}
	s.pool.forwarded = s.figures.forwarded
	s.guard = newGuard(log, s.figures)
	s.pool.guard = s.guard
	s.pool.dialer.Control = env.Control
	s.disc.asks, s.disc.figures, s.disc.log = c.Settings.AsksForList, s.figures, log
	s.disc.dialer.Control = env.Control
	s.server = newServer(c, s.clock, log, func(ctx context.Context, sub submission) bool { return s.post(ctx, sub) })
	s.server.guard = s.guard
	lock, err := s.tryLock(ctx)
	if isTransient(err) {
		return nil, fmt.Errorf("the state folder: %w", err) // going on without a lock, it may not be the only owner
	}
	if err != nil {
		log.Warn("the state folder cannot be locked: an upgrade will not be noticed", "err", err)
		s.guard.checkStart(false)
	} else if lock == nil {
		return s, nil // another process holds it: Run takes over from that
	}
	s.lock = lock
	return s, s.openJournal(ctx)
}

func (s *Sender) openJournal(ctx context.Context) error {
	var j *journal
	err := keepTrying(ctx, s.log, "the journal", func() (err error) {
		j, err = openJournal(s.env.Files, s.clock, s.c.State, int64(s.c.Limits.DiskMB*1e6*journalPart))
		return err
	})
	if err != nil {
		return err
	}
	if j.failed {
		s.log.Warn("the journal can't be written: nothing is taken on until it can", "folder", s.c.State)
	}
	if j.damaged > 0 {
		s.log.Warn("the journal holds damaged records", "lines", j.damaged)
	}
	s.journal = j
	return nil
}

// post hands an event to the loop; false if that has ended.
func (s *Sender) post(ctx context.Context, e any) bool {
	select {
	case s.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run takes up what the journal holds, then listens, and serves until ctx ends and for the grace after it.
// What is not done by then stays in the journal.
func (s *Sender) Run(ctx context.Context, listen func() (net.Listener, error)) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	if s.c.Admin != "" {
		go newAdmin(s.log, s.c.Limits.Sockets, s.health, s.figures.dump).run(work, s.c.Admin)
	}
	var st *snapshot
	if s.journal == nil {
		var err error
		if st, err = s.own(ctx); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
	}
	s.followDiscovery(work, st)
	defer s.disc.spare.close()
	if ctx.Err() != nil { // told to end before it has begun: nothing is taken up
		return s.leave(stop)
	}
	s.resume(work, st, s.predecessorCall)
	served := make(chan error, 1)
	listeners := make(chan listenerOrError, 1)
	open := func() { go func() { listeners <- s.openListener(ctx, listen) }() }
	if ctx.Err() == nil { // else no client needs to come to it, and it ends what it has taken up
		open()
	}
	s.reopen = open
	if s.predecessor != nil {
		go s.predecessor.listen(s.inbox, func(e any) { s.post(work, e) })
	}
	go s.awaitSuccessor(work)

	var grace, leave, cut <-chan time.Time
	var ended chan struct{} // nobody is let in any more: closed when all that came are answered
	end := func() {
		if ended == nil {
			ended = make(chan struct{})
			go func() {
				s.server.end()
				close(ended)
			}()
		}
	}
	idle := time.NewTicker(idleLook)
	defer idle.Stop()
	done := ctx.Done()
	for {
		select {
		case e := <-s.events:
			s.turn(work, e)
		case <-s.alarm.C:
			s.turn(work, brain.Alarm{})
		case <-s.storage.C:
			s.repair(work)
		case <-idle.C:
			s.publish()
			s.disc.keepSpare()
			for _, e := range s.list.byNumber {
				s.pool.closeIdle(e, s.pool.keep)
			}
		case <-done:
			done = nil
			s.log.Info("stopping", "held", s.held, "calls", s.out)
			s.server.closing.Store(true)
			grace, leave = time.After(s.grace), time.After(s.leaveAfter)
		case <-grace:
			grace = nil
			s.stopSending()
		case <-s.server.calm:
		case <-leave:
			if leave = nil; !s.handed || s.out == 0 {
				end()
				break
			}
			s.cancelCalls()
			cut = time.After(cutTime)
		case <-cut:
			return s.leave(stop)
		case <-ended:
			return s.leave(stop)
		case l := <-listeners:
			switch {
			case l.err != nil && ctx.Err() == nil:
				return errors.Join(fmt.Errorf("listen: %w", l.err), s.leave(stop))
			case l.err != nil:
			case ctx.Err() != nil || s.handed: // too late: whoever comes goes to the next process
				l.Close()
			default:
				s.serveOn(l.Listener, served)
			}
		case err := <-served:
			if err != nil && !s.handed {
				return errors.Join(fmt.Errorf("clients: %w", err), s.leave(stop))
			}
		}
		switch {
		case s.out > 0 || len(s.owed) > 0:
		case cut != nil:
			return s.leave(stop)
		case s.quitting && s.server.idle():
			end()
		}
	}
}

// followDiscovery begins to watch the list, from the version that is known, and to tell notices.
func (s *Sender) followDiscovery(work context.Context, st *snapshot) {
	known := s.c.Known.Version
	if len(s.c.Known.Servers) == 0 {
		known = -1
	}
	if st != nil {
		known, s.disc.first = st.ListVersion, 0
	}
	s.pool.waitTold = func(e *endpoint, wait time.Duration) { s.post(work, waitEvent{e.number, time.Now().Add(wait)}) }
	if !s.c.Settings.AsksForList {
		s.disc.fresh.changed = func(stale bool) { s.post(work, staleEvent{stale}) }
	}
	s.disc.keepSpare()
	go s.disc.follow(work, known, s.asked,
		func(t Targets) { s.post(work, listEvent{t}) }, func(err error) { s.post(work, failedEvent{err}) })
	go s.disc.tell(work, s.notices, func(n []notice) { s.post(work, toldEvent{n}) })
	if !s.c.Settings.AsksForList {
		s.ask()
	}
}

// openListener listens for clients, however long the address cannot be had for reasons that pass.
func (s *Sender) openListener(ctx context.Context, listen func() (net.Listener, error)) listenerOrError {
	var l net.Listener
	err := keepTrying(ctx, s.log, "the clients' address", func() (err error) {
		l, err = listen()
		return err
	})
	return listenerOrError{l, err}
}

// serveOn takes clients in from a listener; served hears when that ends.
func (s *Sender) serveOn(l net.Listener, served chan<- error) {
	if s.env.WrapListener != nil {
		l = s.env.WrapListener(l)
	}
	d := s.server.listenOn(l)
	go func() { served <- s.server.serve(d) }()
	s.server.closing.Store(false)
	s.server.ready.Store(true)
	s.log.Info("ready", "name", s.c.Name, "listen", l.Addr().String(), "resumed", s.held, "notices", len(s.owed))
}

// stopSending ends the grace after SIGTERM: no call is begun any more.
func (s *Sender) stopSending() {
	s.quitting = true
	if s.handed && s.successor == nil {
		s.abandonPassedOn() // the lock is not taken again from here on
	}
	s.withhold(func(*outCall) bool { return true })
	s.log.Info("no call is begun any more", "held", s.held, "calls", s.out)
	s.server.leave()
}

// cancelCalls ends the calls that are out. A successor must not send again what they carry: it hears of each one's end first.
func (s *Sender) cancelCalls() {
	for _, m := range s.messages {
		for _, c := range m.calls {
			c.cancel()
		}
	}
}

// leave ends the process's work: what is out is cut off and stays written down as such.
func (s *Sender) leave(stop context.CancelFunc) error {
	stop()
	s.server.close()
	s.log.Info("stopped", "held", s.held, "calls", s.out, "notices", len(s.owed), "shared", s.shared)
	if s.successor != nil {
		s.successor.drain()
	}
	var err error
	if s.journal != nil {
		err = s.journal.close()
	}
	if s.lock != nil {
		socketAt(s.folder, os.Remove) // ours, as long as we hold the lock
		s.lock.Close()
	}
	return err
}

// resume hands the Brain what an earlier process left, before any client is heard. The list in the
// configuration may be older than what that process had been told, so the journal's changes go on top; and an endpoint on
// it may have drained since: nothing is sent until discovery has answered once, or has had its time. A snapshot's list is as new as
// can be. Its calls are still out; call gives each one's place in this process.
func (s *Sender) resume(ctx context.Context, st *snapshot, call func(flight) *outCall) {
	flying := map[string]flight{}
	var events []brain.Event
	if st != nil {
		for _, t := range st.Endpoints { // in the order of the other module's numbers
			s.list.line(t, s.c, s.pool)
			s.listVersion = st.ListVersion
		}
		for _, f := range st.Flights {
			flying[f.ID.ID] = f
			s.numbered = max(s.numbered, f.Call)
		}
		s.step(ctx, s.relist())
		s.brain.Recall(st.Memory)
	} else {
		s.step(ctx, []brain.Event{s.news(s.journal.list.applyTo(s.c.Known), true)})
		s.step(ctx, []brain.Event{s.list.knownOutages(s.journal.outage.outages)})
		select {
		case e := <-s.events:
			events = append(events, s.take(ctx, e)...)
		case <-time.After(firstList):
		}
	}
	for _, m := range s.journal.order {
		if m.how != "" {
			s.owed = append(s.owed, m.notice())
			continue
		}
		first, may := m.firstRun()
		msg := brain.Message{ID: s.hold(m), Class: place(s.c.Classes, m.Class, -1),
			Tenant: place(s.c.Tenants, m.Tenant, -1), Destination: brain.DestinationID(m.Dest), Deadline: m.Deadline,
			Tried: len(m.Tries), MayRun: may, FirstRun: first.At, RanZone: first.Zone, Rules: m.Rules.forBrain(),
			Resumed: true}
		if st != nil {
			msg.NotBefore = st.Rests[m.ID]
		}
		// Only the last attempt can be out; an endpoint that no list has named has no call.
		if f, out := flying[m.ID]; out && f.ID.Try == len(m.Tries)-1 && int(f.Endpoint) < len(s.list.byNumber) {
			held := s.messages[msg.ID]
			held.base, held.sends = f.ID.Try, 1
			held.calls[0] = call(f)
			msg.Tried, msg.Out = f.ID.Try, &brain.Out{Endpoint: f.Endpoint, Call: f.Call, Sent: f.At, Timeout: f.Timeout}
		}
		events = append(events, msg)
	}
	s.step(ctx, events)
}

// predecessorCall stands for a call that the process before this one has out.
func (s *Sender) predecessorCall(f flight) *outCall {
	at := s.predecessor
	return &outCall{number: f.Call, endpoint: f.Endpoint, timeout: f.Timeout, at: at,
		cancel: func() { at.send(packet{Cancel: &f.ID}) }, withhold: func() {}} // it has written all that it has out
}

// turn takes in an event and all others that wait, and lets the Brain decide once.
func (s *Sender) turn(ctx context.Context, first any) {
	if s.handed {
		s.relay(ctx, first)
		s.publish()
		return
	}
	var events []brain.Event
	var successor *link
	for e, n := first, 0; e != nil && n < batchMost && successor == nil; n++ {
		if hello, ok := e.(helloEvent); ok {
			successor = hello.link
			break
		}
		events = append(events, s.take(ctx, e)...)
		select {
		case e = <-s.events:
		default:
			e = nil
		}
	}
	if s.quitting {
		s.flush()
		s.tell()
		s.publish()
	} else {
		s.step(ctx, events)
	}
	if successor != nil && s.mayHandOver(ctx, successor) {
		s.handOver(successor)
	}
}

// take books one event and translates it for the Brain; nothing if that need not know.
func (s *Sender) take(ctx context.Context, e any) []brain.Event {
	one := func(e brain.Event) []brain.Event {
		if e == nil {
			return nil
		}
		return []brain.Event{e}
	}
	switch e := e.(type) {
	case brain.Alarm:
		return one(e)
	case brain.Storage: // the step tells it
	case submission:
		return one(s.submitted(e))
	case callEnd:
		return s.callEnded(e)
	case waitEvent:
		return one(brain.WaitTold{Endpoint: e.endpoint, Wait: max(0, time.Until(e.until))})
	case reloadEvent:
		return s.applyConfig(e.Config)
	case linkEvent:
		return s.fromPredecessor(ctx, e)
	case lockEvent:
		if e.lock != nil {
			e.lock.Close()
		}
	case listEvent:
		changes := s.list.changes(e.Targets)
		s.logList(e.Version, changes)
		s.journal.noteList(e.Version, changes)
		return one(s.news(e.Targets, e.Full))
	case staleEvent:
		return one(s.listStale(e.stale))
	case failedEvent:
		s.log.Warn("discovery failed", "err", e.err)
		if !s.c.Settings.AsksForList {
			s.ask()
		}
		return one(brain.ListNews{Failed: true})
	case toldEvent:
		s.telling = false
		told := map[string]bool{}
		for _, n := range e.notices {
			told[n.Message] = true
			s.trace("notice taken", n.Message, "outcome", n.Outcome)
			if m := s.journal.byID[n.Message]; m != nil && m.how != "" {
				s.journal.note(m, record{Op: "told"})
			}
		}
		s.owed = slices.DeleteFunc(s.owed, func(n notice) bool { return told[n.Message] })
	}
	return nil
}

// flush writes the journal. What fails here is tried again by and by, and with the next message, which is refused.
func (s *Sender) flush() bool {
	err := s.journal.flush()
	s.unwritten.Store(s.journal.failed)
	if err != nil {
		s.log.Warn("journal", "err", err)
	}
	if s.journal.failed {
		s.storage.Reset(tryAgain)
	}
	return err == nil
}

// repair tries to write the journal anew after a write has failed, and tells the Brain whether it can be written.
func (s *Sender) repair(ctx context.Context) {
	if s.journal == nil || !s.journal.failed && !s.halted {
		return
	}
	if s.journal.failed && s.journal.compact() != nil {
		s.storage.Reset(tryAgain)
	}
	s.unwritten.Store(s.journal.failed)
	s.turn(ctx, brain.Storage{Failing: s.journal.failed})
}

// step lets the Brain decide, writes down what it does, and only then does it.
func (s *Sender) step(ctx context.Context, events []brain.Event) {
	now := s.clock.now()
	if s.journal.failed != s.halted { // nothing is decided in vain
		s.halted = s.journal.failed
		events = append([]brain.Event{brain.Storage{Failing: s.halted}}, events...)
	}
	actions := s.brain.Step(now, events)
	var closed []closedMessage
	for _, a := range actions {
		switch a := a.(type) {
		case brain.Send:
			if m, e := s.messages[a.Message], s.endpoint(a.Endpoint); m != nil && e != nil {
				s.journal.note(m.stored, record{Op: "send", Try: len(m.Tries), Sent: &try{At: now, Endpoint: e.id[:min(len(e.id), maxTryName)], Zone: e.zone}})
			}
		case brain.Refuse:
			closed = s.close(closed, a.Message, handedBack, a.HoldOff)
		case brain.Fail:
			closed = s.close(closed, a.Message, givenUp, 0)
		case brain.NoteOutages:
			s.journal.noteOutages(s.list.storedOutages(a.Outages))
		}
	}
	written := s.flush()
	for _, c := range closed {
		s.tellClosed(c, written)
	}
	for _, e := range events {
		if m, ok := e.(brain.Message); ok {
			s.reply(s.messages[m.ID], answerLine{status: http.StatusAccepted})
		}
	}
	var sends []brain.Send
	for _, a := range actions {
		switch a := a.(type) {
		case brain.Send:
			sends = append(sends, a)
		case brain.Cancel:
			if m := s.messages[a.Message]; m != nil && m.calls[a.Attempt] != nil {
				m.calls[a.Attempt].cancel()
			}
		case brain.Withhold:
			s.withhold(func(c *outCall) bool { return c.endpoint == a.Endpoint })
		case brain.CloseIdle:
			if e := s.endpoint(a.Endpoint); e != nil {
				s.pool.closeIdle(e, 0)
			}
		case brain.SetAlarm: // each is earlier than the one set before
			s.alarm.Reset(max(0, a.At-s.clock.now()))
		case brain.WatchList:
			s.ask()
		case brain.Log:
			s.log.Info(a.Line)
		}
	}
	s.send(ctx, now, sends, written)
	s.tell()
	s.publish()
}

// trace logs what happens to one message, under its id, where the log level asks for it.
func (s *Sender) trace(what, id string, details ...any) {
	if s.log.Enabled(context.Background(), slog.LevelDebug) {
		s.log.Debug(what, append([]any{"id", id}, details...)...)
	}
}

// publish stores the gauges where they can be read without the loop.
func (s *Sender) publish() {
	s.figures.set(gauges{s.held, s.list.listed, s.brain.Avoided()})
}

// health tells why the process is not ready to serve, nil if it is. It may be called from anywhere.
func (s *Sender) health() error {
	switch {
	case !s.server.ready.Load():
		return errors.New("starting")
	case s.server.closing.Load():
		return errors.New("leaving")
	case s.unwritten.Load():
		return errors.New("the journal cannot be written")
	case s.server.acceptFails():
		return errors.New("clients cannot be accepted")
	case time.Since(s.figures.lastBeat()) > beatMost:
		return errors.New("the loop is stuck")
	}
	return nil
}

func (s *Sender) endpoint(n brain.EndpointID) *endpoint {
	e, err := s.list.number(n)
	if err != nil {
		s.log.Error("the module names an endpoint", "err", err)
		return nil
	}
	return e
}
