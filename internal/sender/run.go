package sender

import (
	"context"
	"errors"
	"time"

	"onyxdyke.example/onyxdyke/internal/admin"
	"onyxdyke.example/onyxdyke/internal/discovery"
	"onyxdyke.example/onyxdyke/internal/endpoint"
	"onyxdyke.example/onyxdyke/internal/endpointlist"
	"onyxdyke.example/onyxdyke/internal/handover"
)

// idleInterval is how often the loop publishes its metrics and closes idle connections without another event.
const idleInterval = time.Second

// Run takes ownership of the state directory, resumes the messages in the journal, listens for clients, and serves
// until ctx ends and through the shutdown that follows. Messages that have not ended by then stay in the journal.
func (s *Sender) Run(ctx context.Context, listen ListenFunc) error {
	// work ends when Run does: with it all goroutines that Run starts. Nobody waits for them, as the time for a
	// shutdown is short, and what they still post is read by nobody.
	work, cancelWork := context.WithCancel(context.Background())
	defer cancelWork()
	s.startAdmin(work)
	snapshot, err := s.acquireOwnership(ctx)
	if err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	s.startDiscovery(work, snapshot)
	defer s.discovery.Close()
	if ctx.Err() != nil { // the shutdown was requested before the start: nothing is resumed
		return s.stop(cancelWork)
	}
	s.restoreState(work, snapshot, s.predecessorCall)
	s.startListening(ctx, listen)
	s.upgrade.start(work)
	return errors.Join(s.serve(ctx, work), s.stop(cancelWork))
}

// startAdmin serves the admin address, if there is one. It ends with work.
func (s *Sender) startAdmin(work context.Context) {
	if s.config.Admin == "" {
		return
	}
	server := admin.New(s.log, s.config.Limits.MaxAdminConnections(), s.health, s.metrics.Dump)
	go server.Run(work, s.config.Admin)
}

// startDiscovery starts to watch the endpoint list, from the version that is known, and to deliver notices. Both end
// with work.
func (s *Sender) startDiscovery(work context.Context, snapshot *handover.Snapshot) {
	known := s.config.Known.Version
	if len(s.config.Known.Endpoints) == 0 {
		known = -1
	}
	if snapshot != nil {
		known = snapshot.ListVersion
		s.adoptConnections(snapshot.Connections)
		s.discovery.SkipInitialDelay()
	}
	s.pool.OnRetryAfter(func(e *endpoint.Endpoint, pause time.Duration) {
		s.post(work, retryAfterEvent{endpoint: e.Number, until: time.Now().Add(pause)})
	})
	if !s.config.Settings.PollsEndpointList {
		s.discovery.OnStaleChange(func(stale bool) { s.post(work, endpointListStaleEvent{stale}) })
	}
	s.discovery.ReserveConnection()
	go s.discovery.Follow(work, known, s.watchRequests,
		func(update endpointlist.Update) { s.post(work, endpointListEvent{update}) },
		func(err error) { s.post(work, discoveryFailedEvent{err}) })
	go s.discovery.DeliverNotices(work, s.notices.batches,
		func(notices []discovery.Notice) { s.post(work, noticesDeliveredEvent{notices}) })
	if !s.config.Settings.PollsEndpointList {
		s.requestEndpointList()
	}
}

// serve is the event loop. It returns when the shutdown is finished, with the error that forced it, if any.
func (s *Sender) serve(ctx, work context.Context) error {
	idle := time.NewTicker(idleInterval)
	defer idle.Stop()
	s.shutdown.requested = ctx.Done()
	for !s.shutdown.finished {
		select {
		case e := <-s.events:
			s.processEvents(work, e)
		case <-s.timer.C:
			s.processEvents(work, timerEvent{})
		case <-s.journalRetry.C:
			s.retryJournal(work)
		case <-idle.C:
			s.tick()
		case <-s.shutdown.requested:
			s.beginShutdown()
		case <-s.shutdown.graceOver:
			s.stopDispatching()
		case <-s.server.Drained(): // no request is open: the shutdown may advance
		case <-s.shutdown.drainOver:
			s.endDrain()
		case <-s.shutdown.cancelOver:
			s.shutdown.finish(nil)
		case <-s.shutdown.answered:
			s.shutdown.finish(nil)
		case opened := <-s.listening.opened:
			s.handleListener(ctx, opened)
		case err := <-s.listening.ended:
			s.handleListenerEnd(err)
		}
		s.advanceShutdown()
	}
	return s.shutdown.cause
}

// tick does what is due without an event.
func (s *Sender) tick() {
	s.publishMetrics()
	s.discovery.ReserveConnection()
	for _, e := range s.list.byNumber {
		s.pool.CloseExpired(e.Endpoint)
	}
}

// predecessorCall is the entry of a call that the predecessor has in flight. All that it has in flight is written.
func (s *Sender) predecessorCall(attempt handover.InFlightAttempt) *inFlightCall {
	predecessor := s.upgrade.predecessor
	return &inFlightCall{
		number:      attempt.Call,
		endpoint:    attempt.Endpoint,
		timeout:     attempt.Timeout,
		remote:      predecessor,
		cancel:      func() { predecessor.Send(handover.CancelAttempt{Attempt: attempt.ID}) },
		abortUnsent: func() {},
	}
}
