package sender

import (
	"cmp"
	"context"
	"encoding/base64"
	"encoding/gob"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
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

// message is one that the Brain holds.
type message struct {
	*stored
	number brain.MessageID
	base   int               // attempts made by earlier processes
	sends  int               // and by this one
	answer []chan answerLine // its client still waits, on more than one connection if it came twice; nil once answered
	calls  map[int]*outCall  // out, by the Brain's number of the attempt
	ended  bool
}

// outCall is the call that an attempt is out with.
type outCall struct {
	number   uint64
	endpoint brain.EndpointID
	timeout  time.Duration
	cancel   func()
	withhold func() // it ends, unless it has been written
	at       *link  // the process that makes it, nil for this one

	end *brain.AttemptEnd // it has ended, and a successor was told so
}

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
	s.disc.asks = c.Settings.AsksForList
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
	known := s.c.Known.Version
	if len(s.c.Known.Servers) == 0 {
		known = -1
	}
	if st != nil {
		known, s.disc.first = st.ListVersion, 0
	}
	s.pool.waitTold = func(e *endpoint, wait time.Duration) { s.post(work, waitEvent{e.number, time.Now().Add(wait)}) }
	go s.disc.follow(work, known, s.asked,
		func(t Targets) { s.post(work, listEvent{t}) }, func(err error) { s.post(work, failedEvent{err}) })
	go s.disc.tell(work, s.notices, func(n []notice) { s.post(work, toldEvent{n}) })

	if !s.c.Settings.AsksForList {
		s.ask()
	}
	if ctx.Err() != nil { // told to end before it has begun: nothing is taken up
		return s.leave(stop)
	}
	s.resume(work, st, s.predecessorCall)
	served := make(chan error, 1)
	listeners := make(chan listenerOrError, 1)
	open := func() {
		go func() {
			var l net.Listener
			err := keepTrying(ctx, s.log, "the clients' address", func() (err error) {
				l, err = listen()
				return err
			})
			listeners <- listenerOrError{l, err}
		}()
	}
	serve := func(l net.Listener) {
		if s.env.WrapListener != nil {
			l = s.env.WrapListener(l)
		}
		d := s.server.listenOn(l)
		go func() { served <- s.server.serve(d) }()
		s.server.closing.Store(false)
		s.server.ready.Store(true)
		s.log.Info("ready", "name", s.c.Name, "listen", l.Addr().String(), "resumed", s.held, "notices", len(s.owed))
	}
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
			s.quitting = true
			if s.handed && s.successor == nil {
				s.abandonPassedOn() // the lock is not taken again from here on
			}
			s.withhold(func(*outCall) bool { return true })
			s.log.Info("no call is begun any more", "held", s.held, "calls", s.out)
			s.server.leave()
		case <-s.server.calm:
		case <-leave:
			if leave = nil; !s.handed || s.out == 0 {
				end()
				break
			}
			// The successor must not send again what is still out here: it hears of each call's end first.
			for _, m := range s.messages {
				for _, c := range m.calls {
					c.cancel()
				}
			}
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
				serve(l.Listener)
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

// relist is the list as news for a module that knows nothing yet: each endpoint once, so that the calls that are
// out have theirs even if it drains or is gone, and then the list as it is.
func (s *Sender) relist() []brain.Event {
	var all, now brain.ListNews
	all.Whole, now.Whole = true, true
	for _, e := range s.list.byNumber {
		line := s.list.line(e.target, s.c, s.pool)
		ready := line
		ready.Ready = true
		all.Endpoints, now.Endpoints = append(all.Endpoints, ready), append(now.Endpoints, line)
	}
	return []brain.Event{all, now}
}

// predecessorCall stands for a call that the process before this one has out.
func (s *Sender) predecessorCall(f flight) *outCall {
	at := s.predecessor
	return &outCall{number: f.Call, endpoint: f.Endpoint, timeout: f.Timeout, at: at,
		cancel: func() { at.send(packet{Cancel: &f.ID}) }, withhold: func() {}} // it has written all that it has out
}

// hold gives a message its number.
func (s *Sender) hold(st *stored, answer ...chan answerLine) brain.MessageID {
	s.last++
	m := &message{stored: st, number: s.last, base: len(st.Tries), answer: answer, calls: map[int]*outCall{}}
	s.messages[m.number], s.byID[st.ID] = m, m
	s.held++
	return m.number
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
		return s.retune(e.Config)
	case linkEvent:
		return s.fromPredecessor(ctx, e)
	case lockEvent:
		if e.lock != nil {
			e.lock.Close()
		}
	case listEvent:
		s.journal.noteList(e.Version, s.list.changes(e.Targets))
		return one(s.news(e.Targets, e.Full))
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

// submitted writes a message down before the Brain hears of it. What cannot be held is refused here; it
// has not been sent, so its client may come again.
func (s *Sender) submitted(sub submission) brain.Event {
	refuse := func(why string) brain.Event {
		s.figures.reason(reasonRefused, strings.ReplaceAll(why, " ", "_"))
		s.trace("refused", sub.ID, "why", why)
		s.figures.declined(sub.Class)
		sub.answer <- answerLine{http.StatusServiceUnavailable, s.c.Settings.MaxHoldOff, why}
		return nil
	}
	if s.journal.has(sub.ID) { // handed in twice: it is ours already, and refused it would be delivered all the same
		if m := s.byID[sub.ID]; m != nil && m.answer != nil {
			m.answer = append(m.answer, sub.answer) // whether the first is taken on is being decided
		} else {
			sub.answer <- answerLine{status: http.StatusAccepted}
		}
		return nil
	}
	if s.quitting {
		return refuse("shutting down")
	}
	// The settings may have changed since it was read, and a request from another process names its class only.
	if sub.class = place(s.c.Classes, sub.Class, -1); sub.class < 0 {
		sub.answer <- answerLine{http.StatusBadRequest, 0, "X-Class is not among the settings"}
		return nil
	}
	sub.tenant = place(s.c.Tenants, sub.Tenant, -1)
	if most := s.c.Settings.MostHeld; most > 0 && s.held >= most {
		return refuse("all room for messages is taken")
	}
	sub.Rules = rulesOf(s.c.Settings.Classes[sub.class], s.c.Settings.MaxAttempts)
	st, err := s.journal.take(sub.record)
	if err != nil {
		return refuse("no room to keep the message")
	}
	s.trace("taken on", sub.ID, "class", sub.Class, "destination", sub.Dest, "left", sub.Deadline-s.clock.now())
	return brain.Message{ID: s.hold(st, sub.answer), Class: sub.class, Tenant: sub.tenant,
		Destination: brain.DestinationID(sub.Dest), Deadline: sub.Deadline, Rules: sub.Rules.forBrain()}
}

func (s *Sender) callEnded(c callEnd) []brain.Event {
	var events []brain.Event
	if c.over {
		s.out--
	}
	for _, e := range c.ends {
		if m := s.byID[e.message.ID]; m != nil && m != e.message { // since this process took everything up again
			e.message, e.attempt = m, e.message.base+e.attempt-m.base
		}
		if _, out := e.message.calls[e.attempt]; out { // it may have ended before its call
			events = append(events, s.itemEnded(e))
		}
	}
	return events
}

func (s *Sender) itemEnded(e itemEnd) brain.Event {
	m := e.message
	delete(m.calls, e.attempt)
	s.trace("attempt ended", m.ID, "attempt", m.base+e.attempt, "outcome", e.Outcome, "took", e.Elapsed, "wait", e.Wait)
	e.Message, e.Attempt = m.number, e.attempt
	if e.Outcome == brain.TimedOut {
		// Where a machine vanished or was cut off, the connections from before say nothing either, and are
		// reset when it is back: each would cost a further call its time-out. Those used since may stay.
		s.pool.closeIdle(s.list.byNumber[e.Endpoint], e.Elapsed)
	}
	if !m.ended {
		switch {
		case e.Outcome == brain.Served && m.Deadline-s.clock.now() < slack:
			// By the client's clock it may have come too late, and then it still needs an end. A notice of one that
			// was delivered in time does no harm.
			s.end(m, record{How: givenUp})
			s.owed = append(s.owed, m.notice())
			s.figures.succeeded(m.Class)
		case e.Outcome == brain.Served:
			s.end(m, record{How: delivered})
			s.figures.succeeded(m.Class)
		case e.Over:
			s.end(m, record{How: answered})
		case e.Outcome == brain.NotBegun:
			s.figures.reason(reasonRetried, e.Outcome.String())
			m.takeBackTry(m.base + e.attempt)
		default:
			s.figures.reason(reasonRetried, e.Outcome.String())
			never := e.Outcome == brain.Refused || e.Outcome == brain.ConnectFailed || e.Outcome == brain.NotSent
			s.journal.note(m.stored, record{Op: "end", Try: m.base + e.attempt, Never: never})
		}
	}
	s.forget(m)
	return e.AttemptEnd
}

// end writes down that a message is over. A client that still waits hears it from the caller.
func (s *Sender) end(m *message, rec record) {
	rec.Op = "over"
	s.trace("over", m.ID, "how", rec.How)
	s.journal.note(m.stored, rec)
	m.ended = true
	s.held--
}

func (s *Sender) forget(m *message) {
	if m.ended && len(m.calls) == 0 {
		delete(s.messages, m.number)
		if s.byID[m.ID] == m {
			delete(s.byID, m.ID)
		}
	}
}

func (s *Sender) news(t Targets, whole bool) brain.Event {
	news := brain.ListNews{Whole: whole}
	s.listVersion = t.Version
	if whole {
		s.list.clear()
	}
	for _, line := range t.Servers {
		news.Endpoints = append(news.Endpoints, s.list.line(line, s.c, s.pool))
	}
	return news
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

// withhold ends calls that have not been written yet.
func (s *Sender) withhold(which func(*outCall) bool) {
	for _, m := range s.messages {
		for _, c := range m.calls {
			if which(c) {
				c.withhold()
			}
		}
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

// Reload reads the configuration again and takes from it what may change in service: the platform's address and
// the settings. A file that cannot be used changes nothing.
func (s *Sender) Reload(ctx context.Context, getenv func(string) string) error {
	var c *Config
	err := keepTrying(ctx, s.log, "the new configuration", func() (err error) {
		c, err = s.server.conf.Load().reload(s.env, getenv)
		return err
	})
	if err != nil {
		s.figures.reloaded(false)
		return err
	}
	s.disc.move(c.Discovery)
	if s.post(ctx, reloadEvent{c}) {
		s.server.conf.Store(c) // from here on requests are read by it; the loop has it first
	}
	return nil
}

// retune goes on by a new configuration. Messages held keep the rules that they were taken under.
func (s *Sender) retune(c *Config) []brain.Event {
	s.c = c
	s.pool.most.Store(int64(c.idleMost()))
	s.figures.name(c.Classes)
	s.figures.reloaded(true)
	s.log.Info("reloaded", "discovery", c.Discovery, "classes", strings.Join(c.Classes, ","), "attempts", c.Settings.MaxAttempts)
	return []brain.Event{brain.NewSettings{Settings: c.Settings}, s.relist()[1]}
}

// ask begins a watch of the list. Where the settings have the list pushed, the module asks for nothing, and the
// sender watches by itself from its start on: on sockets a change comes to nobody unasked.
func (s *Sender) ask() {
	select {
	case s.asked <- struct{}{}:
	default:
	}
}

func (s *Sender) endpoint(n brain.EndpointID) *endpoint {
	e, err := s.list.number(n)
	if err != nil {
		s.log.Error("the module names an endpoint", "err", err)
		return nil
	}
	return e
}

// reply answers the client of m, if it still waits.
func (s *Sender) reply(m *message, a answerLine) bool {
	if m == nil || m.answer == nil {
		return false
	}
	for _, answer := range m.answer {
		answer <- a
	}
	m.answer = nil
	return true
}

// closedMessage is a message that the Brain has ended, and that is to be told so once its end is written.
type closedMessage struct {
	*message
	how     string            // givenUp or handedBack
	clients []chan answerLine // that wait for its answer; without any a notice tells it
	hold    time.Duration
}

// close ends a message as the Brain has it. It is told by tellClosed.
func (s *Sender) close(closed []closedMessage, id brain.MessageID, how string, hold time.Duration) []closedMessage {
	m := s.messages[id]
	if m == nil || m.ended {
		return closed
	}
	if how == handedBack {
		s.figures.reason(reasonRefused, "by_decision")
		s.figures.declined(m.Class)
	} else {
		s.figures.aborted(m.Class)
	}
	c := closedMessage{message: m, how: how, clients: m.answer, hold: hold}
	m.answer = nil
	if c.clients != nil {
		s.end(m, record{How: answered})
	} else {
		s.end(m, record{How: how, RetryMS: hold.Milliseconds()})
	}
	s.forget(m)
	return append(closed, c)
}

// tellClosed tells a message's end at once: in the answer to its client, or where that has been told that the message is taken
// on, by a notice. That the message had no effect is promised only if its end is written: else the next process,
// which may come at any moment, would send it.
func (s *Sender) tellClosed(c closedMessage, written bool) {
	if c.how == handedBack && !written {
		s.figures.reason(reasonRefused, "not_written")
		c.how, c.hold = givenUp, 0
		if c.clients == nil {
			s.journal.note(c.stored, record{Op: "over", How: givenUp})
		}
	}
	if c.clients == nil {
		s.owed = append(s.owed, c.notice())
		return
	}
	status := http.StatusInternalServerError
	if c.how == handedBack {
		status = http.StatusServiceUnavailable
		s.guard.checkPromise(c.ID, written)
	}
	for _, client := range c.clients {
		client <- answerLine{status, c.hold, c.how}
	}
}

func (m *stored) notice() notice {
	n := notice{Message: m.ID, Outcome: m.how}
	if m.how == handedBack && m.retry > 0 {
		n.RetryMS = &m.retry
	}
	return n
}

// tell passes on the notices owed, one batch at a time; what one batch leaves goes with the next.
func (s *Sender) tell() {
	if !s.telling && len(s.owed) > 0 {
		s.telling = true
		s.notices <- slices.Clone(s.owed[:min(len(s.owed), noticeMost)]) // what is owed changes meanwhile
	}
}

// maxShared bounds what the messages of one call take in it; a body on the wire holds 64 KiB at most.
const maxShared = maxBody - 4<<10

// send makes the calls of a step, in their order: what goes to one endpoint travels together as far as its
// kind allows, as the module counts it. Messages end alone while their call goes on, but it has to be over when the
// time of its first one is: after that the platform takes no answer to it. So the one that has time for longest leads.
func (s *Sender) send(ctx context.Context, now time.Duration, sends []brain.Send, written bool) {
	type shared struct {
		e     *endpoint
		items []item
		size  int
	}
	var calls []*shared
	open := map[*endpoint]*shared{}
	for _, a := range sends {
		m, e := s.messages[a.Message], s.endpoint(a.Endpoint)
		if m == nil || e == nil {
			continue
		}
		it := item{record: m.record, message: m, attempt: m.sends, permit: permitOf(m, m.calls, s.clock.now()), timeout: a.Timeout, begin: max(1, now+a.Begin-s.clock.now()), last: now+a.Timeout >= m.Deadline}
		m.sends++
		s.trace("attempt", m.ID, "attempt", m.base+it.attempt, "endpoint", e.id, "timeout", a.Timeout, "written", written)
		size := base64.StdEncoding.EncodedLen(len(m.Body)) + len(m.ID) + len(m.Key) + 64
		c := open[e]
		if c == nil || len(c.items) >= e.most || c.size+size > maxShared {
			c = &shared{e: e}
			open[e], calls = c, append(calls, c)
		}
		c.items, c.size = append(c.items, it), c.size+size
	}
	for _, c := range calls {
		slices.SortStableFunc(c.items, func(x, y item) int { return cmp.Compare(y.Deadline, x.Deadline) })
		s.call(ctx, c.e, c.items, written)
	}
}

// call starts one call. One that could not be written down is not made: after a kill nobody would know that
// its messages may have run.
//
// Each message has a time-out of its own. One whose time is up then ends alone, and the call goes on for the
// others; so does one for which no connection has come up by the time that its call must begin, and the call is then
// written without it. Where the bytes of an ended message may not have arrived yet, cut off as the endpoint may be, the
// call is abandoned: else they would arrive once the cut is over. Any other time-out ends the call: the message may be sent again at once, and two copies of it
// must not be out together.
func (s *Sender) call(ctx context.Context, e *endpoint, items []item, written bool) {
	way := &carriage{figures: s.figures}
	timeout, latest, cut := time.Duration(0), time.Duration(0), time.Duration(math.MaxInt64)
	for i := range items {
		it := &items[i]
		it.place, it.way = new(atomic.Int32), way
		if it.begin <= 0 || it.begin > it.timeout {
			it.begin = it.timeout
		}
		timeout, latest = max(timeout, it.timeout), max(latest, it.begin)
		if !it.last {
			cut = min(cut, it.timeout)
		}
	}
	timeout = min(timeout, cut)
	call, cancel := context.WithTimeout(ctx, timeout)
	begin, withhold := context.WithTimeout(call, latest)
	s.numbered++
	for _, it := range items {
		it.message.calls[it.attempt] = &outCall{number: s.numbered, endpoint: e.number, timeout: it.timeout, cancel: cancel, withhold: withhold}
	}
	s.out++
	s.shared += len(items) - 1
	began := time.Now()
	var alone []*time.Timer
	endAlone := func(it item, outcome brain.Outcome) {
		end := brain.AttemptEnd{Endpoint: e.number, Outcome: outcome, Elapsed: time.Since(began)}
		s.post(ctx, callEnd{ends: []itemEnd{{it.message, it.attempt, end}}})
	}
	for i := range items {
		it := &items[i]
		it.by = began.Add(it.begin)
		if it.begin < latest || it.timeout < timeout {
			alone = append(alone, time.AfterFunc(it.begin, func() {
				if it.leave() {
					endAlone(*it, brain.NotSent) // how the call fares is told by those who go along
				}
			}))
		}
		if it.timeout < timeout {
			alone = append(alone, time.AfterFunc(it.timeout, func() {
				if it.place.Load() == aboard {
					way.recall()
					endAlone(*it, brain.TimedOut)
				}
			}))
		}
	}
	go func() {
		defer cancel()
		defer withhold()
		ends := make([]brain.AttemptEnd, len(items))
		switch {
		case !written:
			for i := range ends {
				ends[i] = brain.AttemptEnd{Endpoint: e.number, Outcome: brain.NotBegun}
			}
		case len(items) == 1:
			ends[0] = s.pool.call(call, begin, e, items[0], timeout)
		default:
			ends = s.pool.callMany(call, begin, e, items, timeout)
		}
		for _, t := range alone {
			t.Stop()
		}
		end := callEnd{over: true}
		for i, it := range items {
			if ends[i].Outcome == brain.TimedOut && it.timeout > timeout {
				ends[i].Outcome = brain.Cancelled // by another's time-out, before its own
			}
			ends[i].Elapsed = time.Since(began)
			end.ends = append(end.ends, itemEnd{it.message, it.attempt, ends[i]})
		}
		s.post(ctx, end)
	}()
}
