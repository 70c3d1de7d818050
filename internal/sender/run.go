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

// tickInterval is how often the loop publishes its metrics and closes idle connections even if there are no events.
const tickInterval = time.Second

// Run takes ownership of the state directory, resumes the messages in the journal, listens for clients, and serves
// until ctx ends and through the shutdown that follows. Messages that have not ended by then stay in the journal.
func (s *Sender) Run(ctx context.Context, listen ListenFunc) error {
	// workCtx ends when Run returns, and with it all goroutines that Run starts. Run does not wait for them, because
	// the time for a shutdown is short; events that they still post are not read.
	workCtx, cancelWork := context.WithCancel(context.Background())
	defer cancelWork()
	s.startAdmin(workCtx)
	snapshot, err := s.acquireOwnership(ctx)
	if err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	s.startDiscovery(workCtx, snapshot)
	defer s.discovery.Close()
	if ctx.Err() != nil { // the shutdown was requested before the start: nothing is resumed
		return s.stop(cancelWork)
	}
	s.restoreState(workCtx, snapshot, s.predecessorCall)
	s.startListening(ctx, listen)
	s.upgrade.start(workCtx)
	return errors.Join(s.serve(ctx, workCtx), s.stop(cancelWork))
}

// startAdmin serves the admin address, if there is one, until workCtx ends.
func (s *Sender) startAdmin(workCtx context.Context) {
	if s.config.Admin == "" {
		return
	}
	server := admin.New(s.log, s.config.Limits.MaxAdminConnections(), s.health, s.metrics.Dump)
	go server.Run(workCtx, s.config.Admin)
}

// startDiscovery starts to watch the endpoint list, from the version that is known, and to deliver notices. Both end
// with workCtx.
func (s *Sender) startDiscovery(workCtx context.Context, snapshot *handover.Snapshot) {
	known := s.config.EndpointList.Version
	if len(s.config.EndpointList.Endpoints) == 0 {
		known = -1
	}
	if snapshot != nil {
		known = snapshot.ListVersion
		s.adoptConnections(snapshot.Connections)
		s.discovery.SkipInitialDelay()
	}
	s.pool.OnRetryAfter(func(e *endpoint.Endpoint, pause time.Duration) {
		s.post(workCtx, retryAfterEvent{endpoint: e.Number, until: time.Now().Add(pause)})
	})
	if !s.config.Settings.PollsEndpointList {
		s.discovery.OnStaleChange(func(stale bool) { s.post(workCtx, endpointListStaleEvent{stale}) })
	}
	s.discovery.ReserveConnection()
	go s.discovery.Follow(workCtx, known, s.watchRequests,
		func(update endpointlist.Update) { s.post(workCtx, endpointListEvent{update}) },
		func(err error) { s.post(workCtx, discoveryFailedEvent{err}) })
	go s.discovery.DeliverNotices(workCtx, s.notices.batches,
		func(notices []discovery.Notice) { s.post(workCtx, noticesDeliveredEvent{notices}) })
	if !s.config.Settings.PollsEndpointList {
		s.requestEndpointList()
	}
}

// serve runs the event loop. It returns when the shutdown is finished, with the error that forced it, if any.
func (s *Sender) serve(ctx, workCtx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	s.shutdown.requested = ctx.Done()
	for !s.shutdown.finished {
		select {
		case e := <-s.events:
			s.processEvents(workCtx, e)
		case <-s.timer.C:
			s.processEvents(workCtx, timerEvent{})
		case <-s.journalRetry.C:
			s.retryJournal(workCtx)
		case <-ticker.C:
			s.tick()
		case <-s.shutdown.requested:
			s.beginShutdown()
		case <-s.shutdown.graceOver:
			s.stopDispatching()
		case <-s.server.Drained(): // no request is open, so the shutdown may advance
		case <-s.shutdown.drainOver:
			s.endDrain()
		case <-s.shutdown.cancelOver:
			s.shutdown.finish(nil)
		case <-s.shutdown.serverFinished:
			s.shutdown.finish(nil)
		case opened := <-s.clientListener.opened:
			s.handleListener(ctx, opened)
		case err := <-s.clientListener.ended:
			s.handleListenerEnd(err)
		}
		s.advanceShutdown()
	}
	return s.shutdown.cause
}

// tick does the periodic work that no event triggers.
func (s *Sender) tick() {
	s.publishMetrics()
	s.discovery.ReserveConnection()
	for _, e := range s.list.byNumber {
		s.pool.CloseExpired(e.Endpoint)
	}
}

// predecessorCall returns the entry of a call that the predecessor has in flight. Such a call has been written, so
// abortUnsent has no effect on it.
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
