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

	"onyxdyke.example/onyxdyke/internal/clock"
	"onyxdyke.example/onyxdyke/internal/discovery"
	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/endpointlist"
	"onyxdyke.example/onyxdyke/internal/journal"
	"onyxdyke.example/onyxdyke/internal/metrics"
	"onyxdyke.example/onyxdyke/internal/retry"
)

const (
	// After SIGTERM the sender goes on as ever for graceTime: clients come for a while yet, and what is
	// delivered now does not wait for the next process. Then no call is begun, and it waits for those that
	// are out until leaveTime. The platform kills what is left at 3.7 s.
	defaultGracePeriod  = 2200 * time.Millisecond
	defaultDrainTimeout = 3200 * time.Millisecond

	eventQueue       = 1024 // events on their way to the loop
	maxEventBatch    = 256  // taken in by one step
	idleInterval     = time.Second
	firstListTimeout = 300 * time.Millisecond // the list is waited for at the start
	journalDiskShare = 0.96                   // of the disk's limit: the rest is for what the file system adds

	// A client counts a message's time from when it sent it, the sender from when it had come, and the difference is not
	// told. The protocol's slack for such differences is this.
	clockSlack = 50 * time.Millisecond
)

// Sender is one real sender.
type Sender struct {
	env        Environment
	config     *Config
	log        *slog.Logger
	clock      *clock.Clock
	dispatcher *dispatch.Dispatcher
	journal    *journal.Journal
	pool       *pool
	list       endpoints
	discovery  *discovery.Client
	server     *server
	metrics    *metrics.Registry
	invariants *invariantChecker

	events            chan any
	watchRequests     chan struct{}
	noticeBatches     chan []discovery.Notice
	pendingNotices    []discovery.Notice // to be told
	deliveringNotices bool               // a batch of them is out
	messages          map[dispatch.MessageID]*message
	byID              map[string]*message
	lastMessageID     dispatch.MessageID
	pending           int // messages taken on that have not ended
	callsInFlight     int // calls out
	batchedMessages   int // messages so far that went along in another's call
	timer             *time.Timer
	journalRetry      *time.Timer // when a journal that could not be written is tried again
	storageFailing    bool        // the dispatcher has been told that it cannot be written
	journalFailing    atomic.Bool // the journal's last write failed
	dispatchStopped   bool        // no more steps: what comes in is only written down
	lastCallNumber    uint64      // calls so far, those of the process before included

	stateDir       string // the configuration's State
	listVersion    int64
	reopenListener func() // listens for clients again, by and by

	lock           *os.File          // on the state folder; nil if it could not be had, or after a hand-over
	predecessor    *link             // the process that this one took over from, while it runs
	inbox          *gob.Decoder      // of that
	handedOver     bool              // a successor decides
	successor      *link             // it, while it runs
	handedSnapshot dispatch.Snapshot // what was handed to it
	handedBackoff  map[string]time.Duration
	forwarded      map[uint64]forwardedRequest // requests that it has not answered yet
	lastForwarded  uint64

	gracePeriod, drainTimeout time.Duration
}

// listenerOrError is a listener for clients, or why there is none.
type listenerOrError struct {
	net.Listener
	err error
}

type (
	endpointListEvent    struct{ endpointlist.Update }
	discoveryFailedEvent struct{ err error }
	retryAfterEvent      struct {
		endpoint dispatch.EndpointID
		until    time.Time
	}
	noticesDeliveredEvent  struct{ notices []discovery.Notice }
	endpointListStaleEvent struct{ stale bool }
	reloadEvent            struct{ *Config }
)

// New opens the journal, unless another process holds it; Run does the rest.
func New(c *Config, log *slog.Logger) (*Sender, error) {
	return NewIn(context.Background(), OperatingSystem(), c, log)
}

// NewIn is New in an environment other than the operating system's. What fails for a moment is tried again until ctx ends.
func NewIn(ctx context.Context, env Environment, c *Config, log *slog.Logger) (*Sender, error) {
	s := &Sender{env: env, config: c, stateDir: c.State, log: log, clock: clock.New(env.Wall()), dispatcher: dispatch.New(c.Settings, c.Seed), forwarded: map[uint64]forwardedRequest{}, pool: newPool(c), metrics: metrics.New(c.Classes, ruleNames()...),
		list: endpoints{byID: map[string]*endpoint{}}, events: make(chan any, eventQueue),
		watchRequests: make(chan struct{}, 1), noticeBatches: make(chan []discovery.Notice, 1), messages: map[dispatch.MessageID]*message{},
		byID: map[string]*message{}, timer: time.NewTimer(time.Hour), journalRetry: time.NewTimer(time.Hour), gracePeriod: defaultGracePeriod, drainTimeout: defaultDrainTimeout}
	s.pool.forwarded = s.metrics.MessagesForwarded
	s.invariants = newInvariantChecker(log, s.metrics)
	s.pool.guard = s.invariants
	s.pool.dialer.Control = env.Control
	s.discovery = discovery.New(discovery.Options{Address: c.Discovery, Senders: c.Settings.Senders,
		Polled: c.Settings.PollsEndpointList, Metrics: s.metrics, Log: log, Control: env.Control})
	s.server = newServer(c, s.clock, log, func(ctx context.Context, sub submission) bool { return s.post(ctx, sub) })
	s.server.guard = s.invariants
	lock, err := s.tryLock(ctx)
	if retry.IsTransient(err) {
		return nil, fmt.Errorf("the state folder: %w", err) // going on without a lock, it may not be the only owner
	}
	if err != nil {
		log.Warn("the state folder cannot be locked: an upgrade will not be noticed", "err", err)
		s.invariants.checkStart(false)
	} else if lock == nil {
		return s, nil // another process holds it: Run takes over from that
	}
	s.lock = lock
	return s, s.openJournal(ctx)
}

func (s *Sender) openJournal(ctx context.Context) error {
	var j *journal.Journal
	err := retry.OnTransient(ctx, s.log, "the journal", func() (err error) {
		j, err = journal.Open(s.env.Files, s.clock, s.config.State, int64(s.config.Limits.DiskMB*1e6*journalDiskShare))
		return err
	})
	if err != nil {
		return err
	}
	if j.Failed() {
		s.log.Warn("the journal can't be written: nothing is taken on until it can", "folder", s.config.State)
	}
	if j.DamagedLines() > 0 {
		s.log.Warn("the journal holds damaged records", "lines", j.DamagedLines())
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
	if s.config.Admin != "" {
		go newAdmin(s.log, s.config.Limits.Sockets, s.health, s.metrics.Dump).run(work, s.config.Admin)
	}
	var st *snapshot
	if s.journal == nil {
		var err error
		if st, err = s.acquireOwnership(ctx); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
	}
	s.startDiscovery(work, st)
	defer s.discovery.Close()
	if ctx.Err() != nil { // told to end before it has begun: nothing is taken up
		return s.shutDown(stop)
	}
	s.restoreState(work, st, s.predecessorCall)
	served := make(chan error, 1)
	listeners := make(chan listenerOrError, 1)
	open := func() { go func() { listeners <- s.openListener(ctx, listen) }() }
	if ctx.Err() == nil { // else no client needs to come to it, and it ends what it has taken up
		open()
	}
	s.reopenListener = open
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
	idle := time.NewTicker(idleInterval)
	defer idle.Stop()
	done := ctx.Done()
	for {
		select {
		case e := <-s.events:
			s.processEvents(work, e)
		case <-s.timer.C:
			s.processEvents(work, dispatch.TimerFired{})
		case <-s.journalRetry.C:
			s.retryJournal(work)
		case <-idle.C:
			s.publishMetrics()
			s.discovery.ReserveConnection()
			for _, e := range s.list.byNumber {
				s.pool.closeIdle(e, s.pool.keep)
			}
		case <-done:
			done = nil
			s.log.Info("stopping", "held", s.pending, "calls", s.callsInFlight)
			s.server.closing.Store(true)
			grace, leave = time.After(s.gracePeriod), time.After(s.drainTimeout)
		case <-grace:
			grace = nil
			s.stopDispatching()
		case <-s.server.calm:
		case <-leave:
			if leave = nil; !s.handedOver || s.callsInFlight == 0 {
				end()
				break
			}
			s.cancelCalls()
			cut = time.After(cancelTimeout)
		case <-cut:
			return s.shutDown(stop)
		case <-ended:
			return s.shutDown(stop)
		case l := <-listeners:
			switch {
			case l.err != nil && ctx.Err() == nil:
				return errors.Join(fmt.Errorf("listen: %w", l.err), s.shutDown(stop))
			case l.err != nil:
			case ctx.Err() != nil || s.handedOver: // too late: whoever comes goes to the next process
				l.Close()
			default:
				s.serveListener(l.Listener, served)
			}
		case err := <-served:
			if err != nil && !s.handedOver {
				return errors.Join(fmt.Errorf("clients: %w", err), s.shutDown(stop))
			}
		}
		switch {
		case s.callsInFlight > 0 || len(s.pendingNotices) > 0:
		case cut != nil:
			return s.shutDown(stop)
		case s.dispatchStopped && s.server.idle():
			end()
		}
	}
}

// followDiscovery begins to watch the list, from the version that is known, and to tell notices.
func (s *Sender) startDiscovery(work context.Context, st *snapshot) {
	known := s.config.Known.Version
	if len(s.config.Known.Endpoints) == 0 {
		known = -1
	}
	if st != nil {
		known = st.ListVersion
		s.discovery.SkipInitialDelay()
	}
	s.pool.waitTold = func(e *endpoint, wait time.Duration) { s.post(work, retryAfterEvent{e.number, time.Now().Add(wait)}) }
	if !s.config.Settings.PollsEndpointList {
		s.discovery.OnStaleChange(func(stale bool) { s.post(work, endpointListStaleEvent{stale}) })
	}
	s.discovery.ReserveConnection()
	go s.discovery.Follow(work, known, s.watchRequests,
		func(t endpointlist.Update) { s.post(work, endpointListEvent{t}) }, func(err error) { s.post(work, discoveryFailedEvent{err}) })
	go s.discovery.DeliverNotices(work, s.noticeBatches, func(n []discovery.Notice) { s.post(work, noticesDeliveredEvent{n}) })
	if !s.config.Settings.PollsEndpointList {
		s.requestEndpointList()
	}
}

// openListener listens for clients, however long the address cannot be had for reasons that pass.
func (s *Sender) openListener(ctx context.Context, listen func() (net.Listener, error)) listenerOrError {
	var l net.Listener
	err := retry.OnTransient(ctx, s.log, "the clients' address", func() (err error) {
		l, err = listen()
		return err
	})
	return listenerOrError{l, err}
}

// serveOn takes clients in from a listener; served hears when that ends.
func (s *Sender) serveListener(l net.Listener, served chan<- error) {
	if s.env.WrapListener != nil {
		l = s.env.WrapListener(l)
	}
	d := s.server.listenOn(l)
	go func() { served <- s.server.serve(d) }()
	s.server.closing.Store(false)
	s.server.ready.Store(true)
	s.log.Info("ready", "name", s.config.Name, "listen", l.Addr().String(), "resumed", s.pending, "notices", len(s.pendingNotices))
}

// stopSending ends the grace after SIGTERM: no call is begun any more.
func (s *Sender) stopDispatching() {
	s.dispatchStopped = true
	if s.handedOver && s.successor == nil {
		s.abandonForwarded() // the lock is not taken again from here on
	}
	s.abortUnsent(func(*outCall) bool { return true })
	s.log.Info("no call is begun any more", "held", s.pending, "calls", s.callsInFlight)
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
func (s *Sender) shutDown(stop context.CancelFunc) error {
	stop()
	s.server.close()
	s.log.Info("stopped", "held", s.pending, "calls", s.callsInFlight, "notices", len(s.pendingNotices), "shared", s.batchedMessages)
	if s.successor != nil {
		s.successor.drain()
	}
	var err error
	if s.journal != nil {
		err = s.journal.Close()
	}
	if s.lock != nil {
		withHandOverSocket(s.stateDir, os.Remove) // ours, as long as we hold the lock
		s.lock.Close()
	}
	return err
}

// resume hands the dispatcher what an earlier process left, before any client is heard. The list in the
// configuration may be older than what that process had been told, so the journal's changes go on top; and an endpoint on
// it may have drained since: nothing is sent until discovery has answered once, or has had its time. A snapshot's list is as new as
// can be. Its calls are still out; call gives each one's place in this process.
func (s *Sender) restoreState(ctx context.Context, st *snapshot, call func(inFlightAttempt) *outCall) {
	flying := map[string]inFlightAttempt{}
	var events []dispatch.Event
	if st != nil {
		for _, t := range st.Endpoints { // in the order of the other module's numbers
			s.list.line(t, s.config, s.pool)
			s.listVersion = st.ListVersion
		}
		for _, f := range st.InFlight {
			flying[f.ID.Message] = f
			s.lastCallNumber = max(s.lastCallNumber, f.Call)
		}
		s.dispatch(ctx, s.endpointListEvents())
		s.dispatcher.Restore(st.Dispatcher)
	} else {
		s.dispatch(ctx, []dispatch.Event{s.applyEndpointList(s.journal.MergeEndpointList(s.config.Known), true)})
		s.dispatch(ctx, []dispatch.Event{s.list.knownOutages(s.journal.Outages())})
		select {
		case e := <-s.events:
			events = append(events, s.handleEvent(ctx, e)...)
		case <-time.After(firstListTimeout):
		}
	}
	for _, m := range s.journal.Messages() {
		if m.PendingOutcome != "" {
			s.pendingNotices = append(s.pendingNotices, noticeOf(m))
			continue
		}
		first, may := m.FirstPossibleRun()
		msg := dispatch.Message{ID: s.addMessage(m), Class: place(s.config.Classes, m.Class, -1),
			Tenant: place(s.config.Tenants, m.Tenant, -1), Destination: dispatch.DestinationID(m.Destination), Deadline: m.Deadline,
			PriorAttempts: len(m.Attempts), MayHaveRun: may, FirstRunAt: first.SentAt, FirstRunZone: first.Zone, Rules: m.Rules.ForDispatcher(),
			Resumed: true}
		if st != nil {
			msg.NotBefore = st.BackoffUntil[m.ID]
		}
		// Only the last attempt can be out; an endpoint that no list has named has no call.
		if f, out := flying[m.ID]; out && f.ID.Attempt == len(m.Attempts)-1 && int(f.Endpoint) < len(s.list.byNumber) {
			held := s.messages[msg.ID]
			held.base, held.sends = f.ID.Attempt, 1
			held.calls[0] = call(f)
			msg.PriorAttempts, msg.InFlight = f.ID.Attempt, &dispatch.InFlightAttempt{Endpoint: f.Endpoint, Call: f.Call, SentAt: f.SentAt, Timeout: f.Timeout}
		}
		events = append(events, msg)
	}
	s.dispatch(ctx, events)
}

// predecessorCall stands for a call that the process before this one has out.
func (s *Sender) predecessorCall(f inFlightAttempt) *outCall {
	at := s.predecessor
	return &outCall{number: f.Call, endpoint: f.Endpoint, timeout: f.Timeout, at: at,
		cancel: func() { at.send(packet{Cancel: &f.ID}) }, withhold: func() {}} // it has written all that it has out
}

// turn takes in an event and all others that wait, and lets the dispatcher decide once.
func (s *Sender) processEvents(ctx context.Context, first any) {
	if s.handedOver {
		s.handleAfterHandOver(ctx, first)
		s.publishMetrics()
		return
	}
	var events []dispatch.Event
	var successor *link
	for e, n := first, 0; e != nil && n < maxEventBatch && successor == nil; n++ {
		if hello, ok := e.(successorEvent); ok {
			successor = hello.link
			break
		}
		events = append(events, s.handleEvent(ctx, e)...)
		select {
		case e = <-s.events:
		default:
			e = nil
		}
	}
	if s.dispatchStopped {
		s.flush()
		s.deliverNotices()
		s.publishMetrics()
	} else {
		s.dispatch(ctx, events)
	}
	if successor != nil && s.canHandOver(ctx, successor) {
		s.handOver(successor)
	}
}

// take books one event and translates it for the dispatcher; nothing if that need not know.
func (s *Sender) handleEvent(ctx context.Context, e any) []dispatch.Event {
	one := func(e dispatch.Event) []dispatch.Event {
		if e == nil {
			return nil
		}
		return []dispatch.Event{e}
	}
	switch e := e.(type) {
	case dispatch.TimerFired:
		return one(e)
	case dispatch.StorageStatus: // the step tells it
	case submission:
		return one(s.acceptSubmission(e))
	case callEndedEvent:
		return s.handleCallEnd(e)
	case retryAfterEvent:
		return one(dispatch.RetryAfterReceived{Endpoint: e.endpoint, RetryAfter: max(0, time.Until(e.until))})
	case reloadEvent:
		return s.applyConfig(e.Config)
	case linkEvent:
		return s.handlePredecessor(ctx, e)
	case lockAcquiredEvent:
		if e.lock != nil {
			e.lock.Close()
		}
	case endpointListEvent:
		changes := s.list.changes(e.Update)
		s.logList(e.Version, changes)
		s.journal.AppendEndpointList(e.Version, changes)
		return one(s.applyEndpointList(e.Update, e.Full))
	case endpointListStaleEvent:
		return one(s.setEndpointListStale(e.stale))
	case discoveryFailedEvent:
		s.log.Warn("discovery failed", "err", e.err)
		if !s.config.Settings.PollsEndpointList {
			s.requestEndpointList()
		}
		return one(dispatch.EndpointListUpdate{Failed: true})
	case noticesDeliveredEvent:
		s.deliveringNotices = false
		told := map[string]bool{}
		for _, n := range e.notices {
			told[n.Message] = true
			s.trace("notice taken", n.Message, "outcome", n.Outcome)
			if m := s.journal.Message(n.Message); m != nil && m.PendingOutcome != "" {
				s.journal.AppendNoticeDelivered(m)
			}
		}
		s.pendingNotices = slices.DeleteFunc(s.pendingNotices, func(n discovery.Notice) bool { return told[n.Message] })
	}
	return nil
}

// flush writes the journal. What fails here is tried again by and by, and with the next message, which is refused.
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

// repair tries to write the journal anew after a write has failed, and tells the dispatcher whether it can be written.
func (s *Sender) retryJournal(ctx context.Context) {
	if s.journal == nil || !s.journal.Failed() && !s.storageFailing {
		return
	}
	if s.journal.Failed() && s.journal.Compact() != nil {
		s.journalRetry.Reset(journal.RetryInterval)
	}
	s.journalFailing.Store(s.journal.Failed())
	s.processEvents(ctx, dispatch.StorageStatus{Failing: s.journal.Failed()})
}

// step lets the dispatcher decide, writes down what it does, and only then does it.
func (s *Sender) dispatch(ctx context.Context, events []dispatch.Event) {
	now := s.clock.Now()
	if s.journal.Failed() != s.storageFailing { // nothing is decided in vain
		s.storageFailing = s.journal.Failed()
		events = append([]dispatch.Event{dispatch.StorageStatus{Failing: s.storageFailing}}, events...)
	}
	actions := s.dispatcher.Step(now, events)
	var closed []endedMessage
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Send:
			if m, e := s.messages[a.Message], s.endpoint(a.Endpoint); m != nil && e != nil {
				s.journal.AppendAttemptStarted(m.Message, journal.Attempt{SentAt: now, Endpoint: e.id, Zone: e.zone})
			}
		case dispatch.Reject:
			closed = s.endMessage(closed, a.Message, journal.OutcomeReturned, a.RetryAfter)
		case dispatch.Fail:
			closed = s.endMessage(closed, a.Message, journal.OutcomeGivenUp, 0)
		case dispatch.PersistOutages:
			s.journal.AppendOutages(s.list.storedOutages(a.Outages))
		}
	}
	written := s.flush()
	for _, c := range closed {
		s.announceEnd(c, written)
	}
	for _, e := range events {
		if m, ok := e.(dispatch.Message); ok {
			s.answerClients(s.messages[m.ID], clientResponse{status: http.StatusAccepted})
		}
	}
	var sends []dispatch.Send
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Send:
			sends = append(sends, a)
		case dispatch.Cancel:
			if m := s.messages[a.Message]; m != nil && m.calls[a.Attempt] != nil {
				m.calls[a.Attempt].cancel()
			}
		case dispatch.AbortUnsent:
			s.abortUnsent(func(c *outCall) bool { return c.endpoint == a.Endpoint })
		case dispatch.CloseIdle:
			if e := s.endpoint(a.Endpoint); e != nil {
				s.pool.closeIdle(e, 0)
			}
		case dispatch.SetTimer: // each is earlier than the one set before
			s.timer.Reset(max(0, a.At-s.clock.Now()))
		case dispatch.WatchEndpointList:
			s.requestEndpointList()
		case dispatch.Log:
			s.log.Info(a.Line)
		}
	}
	s.startCalls(ctx, now, sends, written)
	s.deliverNotices()
	s.publishMetrics()
}

// trace logs what happens to one message, under its id, where the log level asks for it.
func (s *Sender) trace(what, id string, details ...any) {
	if s.log.Enabled(context.Background(), slog.LevelDebug) {
		s.log.Debug(what, append([]any{"id", id}, details...)...)
	}
}

// publish stores the gauges where they can be read without the loop.
func (s *Sender) publishMetrics() {
	s.metrics.SetGauges(metrics.Gauges{Outstanding: s.pending, Discovered: s.list.listed,
		Ejected: s.dispatcher.EjectedEndpoints()})
}

// health tells why the process is not ready to serve, nil if it is. It may be called from anywhere.
func (s *Sender) health() error {
	switch {
	case !s.server.ready.Load():
		return errors.New("starting")
	case s.server.closing.Load():
		return errors.New("leaving")
	case s.journalFailing.Load():
		return errors.New("the journal cannot be written")
	case s.server.acceptFails():
		return errors.New("clients cannot be accepted")
	case time.Since(s.metrics.LastHeartbeat()) > heartbeatTimeout:
		return errors.New("the loop is stuck")
	}
	return nil
}

func (s *Sender) endpoint(n dispatch.EndpointID) *endpoint {
	e, err := s.list.number(n)
	if err != nil {
		s.log.Error("the module names an endpoint", "err", err)
		return nil
	}
	return e
}
