package sender

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"onyxdyke.example/onyxdyke/internal/clock"
	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/discovery"
	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/endpoint"
	"onyxdyke.example/onyxdyke/internal/ingress"
	"onyxdyke.example/onyxdyke/internal/invariant"
	"onyxdyke.example/onyxdyke/internal/journal"
	"onyxdyke.example/onyxdyke/internal/metrics"
	"onyxdyke.example/onyxdyke/internal/retry"
)

const (
	eventQueueLength = 1024 // in events
	journalDiskShare = 0.96 // of the disk limit; the rest is for the file system's overhead

	// heartbeatTimeout is how long the event loop may go without a heartbeat before it counts as stuck.
	heartbeatTimeout = 5 * time.Second
)

// Sender is one message sender. Its fields belong to the goroutine that runs Run, except where a comment says
// otherwise.
type Sender struct {
	env        Environment
	config     *config.Config
	log        *slog.Logger
	clock      *clock.Clock
	dispatcher *dispatch.Dispatcher
	journal    *journal.Journal // nil after a hand-over, and until this process is the owner
	pool       *endpoint.Pool
	list       endpointTable
	discovery  *discovery.Client
	server     *ingress.Server
	metrics    *metrics.Registry
	invariants *invariant.Checker

	events        chan event    // posted by any goroutine
	watchRequests chan struct{} // requests to discovery to watch the endpoint list
	timer         *time.Timer   // the dispatcher's
	journalRetry  *time.Timer   // fires when a failed write of the journal is to be retried

	messages        *messageTable
	notices         *noticeQueue
	callsInFlight   int
	batchedMessages int    // messages so far that were sent in the call of another message
	lastCallNumber  uint64 // the highest one so far, the predecessor's calls in flight included
	listVersion     int64  // of the endpoint list

	storageFailing  bool        // the dispatcher has been told that the journal cannot be written
	journalFailing  atomic.Bool // the journal's last write failed; read by health
	dispatchStopped bool        // the dispatcher makes no more decisions: events are only recorded in the journal

	clientListener *clientListener
	upgrade        *upgrade
	shutdown       *shutdown
}

// New returns a sender in the operating system's environment. It opens the journal unless another process holds the
// lock on the state directory; Run does the rest.
func New(cfg *config.Config, log *slog.Logger) (*Sender, error) {
	return NewInEnvironment(context.Background(), OperatingSystem(), cfg, log)
}

// NewInEnvironment is like New, but takes the environment. It retries operations that fail for a transient reason, as
// retry.OnTransient does, and stops retrying when ctx ends.
func NewInEnvironment(ctx context.Context, env Environment, cfg *config.Config, log *slog.Logger) (*Sender, error) {
	registry := metrics.New(cfg.Classes, invariant.RuleNames()...)
	checker := invariant.NewChecker(log, registry)
	s := &Sender{
		env:            env,
		config:         cfg,
		log:            log,
		clock:          clock.New(env.Wall()),
		dispatcher:     dispatch.New(cfg.Settings, cfg.Seed),
		list:           endpointTable{byID: map[string]*listedEndpoint{}},
		metrics:        registry,
		invariants:     checker,
		events:         make(chan event, eventQueueLength),
		watchRequests:  make(chan struct{}, 1),
		timer:          time.NewTimer(time.Hour),
		journalRetry:   time.NewTimer(time.Hour),
		messages:       newMessageTable(),
		notices:        newNoticeQueue(),
		clientListener: newClientListener(),
		shutdown:       newShutdown(),
	}
	s.pool = s.newPool(env.Control)
	s.discovery = discovery.New(discovery.Options{
		Address: cfg.Discovery,
		Senders: cfg.Settings.Senders,
		Polled:  cfg.Settings.PollsEndpointList,
		Metrics: s.metrics,
		Log:     log,
		Control: env.Control,
	})
	s.server = ingress.New(ingress.Options{
		Config:     cfg,
		Clock:      s.clock,
		Log:        log,
		Metrics:    s.metrics,
		Invariants: s.invariants,
		Submit:     func(ctx context.Context, sub ingress.Submission) bool { return s.post(ctx, submissionEvent{sub}) },
	})
	s.upgrade = newUpgrade(cfg.State, log, checker, s.post)
	owned, err := s.upgrade.tryOwnership(ctx)
	if err != nil {
		return nil, err
	}
	if !owned {
		s.setShare(config.ShareRemainder)
		return s, nil // another process holds the lock: Run takes over from it
	}
	s.setShare(config.ShareWhole)
	return s, s.openJournal(ctx)
}

// openJournal opens the journal. It is called with the lock held.
func (s *Sender) openJournal(ctx context.Context) error {
	var opened *journal.Journal
	err := retry.OnTransient(ctx, s.log, "opening the journal", func() (err error) {
		budget := int64(s.config.Limits.DiskMB * 1e6 * journalDiskShare)
		opened, err = journal.Open(s.env.Files, s.clock, s.config.State, budget)
		return err
	})
	if err != nil {
		return err
	}
	if opened.Failed() {
		s.log.Warn("the journal cannot be written: no message is accepted until it can", "directory", s.config.State)
	}
	if opened.DamagedLines() > 0 {
		s.log.Warn("the journal has damaged records", "lines", opened.DamagedLines())
	}
	s.journal = opened
	return nil
}

// Reasons why the process is not ready to serve. HEALTH prints these texts.
var (
	errStarting       = errors.New("starting")
	errLeaving        = errors.New("leaving")
	errJournalFailing = errors.New("the journal cannot be written")
	errAcceptFailing  = errors.New("clients cannot be accepted")
	errLoopStuck      = errors.New("the loop is stuck")
)

// health returns the reason why the process is not ready to serve, or nil if it is. It may be called from any
// goroutine.
func (s *Sender) health() error {
	switch {
	case !s.server.IsReady():
		return errStarting
	case s.server.IsClosing():
		return errLeaving
	case s.journalFailing.Load():
		return errJournalFailing
	case s.server.IsAcceptFailing():
		return errAcceptFailing
	case time.Since(s.metrics.LastHeartbeat()) > heartbeatTimeout:
		return errLoopStuck
	}
	return nil
}

// trace logs at debug level what happens to a message, under the message's ID.
func (s *Sender) trace(what, id string, details ...any) {
	if s.log.Enabled(context.Background(), slog.LevelDebug) {
		s.log.Debug(what, append([]any{"id", id}, details...)...)
	}
}

// publishMetrics updates the gauges, which other goroutines read.
func (s *Sender) publishMetrics() {
	s.metrics.SetGauges(metrics.Gauges{
		Outstanding: s.messages.pending,
		Discovered:  s.list.listed,
		Ejected:     s.dispatcher.EjectedEndpoints(),
	})
}

// endpoint returns the endpoint with the dispatcher's number, or nil if there is none.
func (s *Sender) endpoint(number dispatch.EndpointID) *listedEndpoint {
	e, err := s.list.lookup(number)
	if err != nil {
		s.log.Error("unknown endpoint in an action of the dispatcher", "err", err)
		return nil
	}
	return e
}
