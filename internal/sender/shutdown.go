package sender

import (
	"context"
	"time"

	"onyxdyke.example/onyxdyke/internal/handover"
)

const (
	// After SIGTERM the sender works as before for the grace period: clients still connect for a while, and messages
	// that are delivered now need not wait for the next process. Then it starts no more calls, and waits for those in
	// flight until the drain timeout, which counts from SIGTERM as well. The platform kills the process 3.7 s after
	// SIGTERM.
	defaultGracePeriod  = 2200 * time.Millisecond
	defaultDrainTimeout = 3200 * time.Millisecond
)

// shutdown holds the state of the process's shutdown, which has these phases:
//
//	grace   from the request on: the sender works as before, but each response closes its connection
//	drain   from graceOver on: no call is started; the calls in flight end
//	answer  from drainOver on, or once nothing is in flight: the requests that have arrived are answered
//
// After a hand-over, the calls that are still in flight at drainOver are cancelled. Until cancelOver their ends are
// reported to the successor.
type shutdown struct {
	gracePeriod  time.Duration
	drainTimeout time.Duration // from the request on, the grace period included

	requested      <-chan struct{} // nil once the shutdown has begun
	graceOver      <-chan time.Time
	drainOver      <-chan time.Time
	cancelOver     <-chan time.Time // nil unless calls have been cancelled
	serverFinished chan struct{}    // closed when the server has ended; nil until endServer

	finished bool
	cause    error // the failure that ends the process; nil for an orderly shutdown
}

func newShutdown() *shutdown {
	return &shutdown{gracePeriod: defaultGracePeriod, drainTimeout: defaultDrainTimeout}
}

// begin starts the timers of the grace period and the drain.
func (d *shutdown) begin() {
	d.graceOver, d.drainOver = time.After(d.gracePeriod), time.After(d.drainTimeout)
}

// finish ends the event loop. The cause is the failure that forces this, or nil.
func (d *shutdown) finish(cause error) { d.finished, d.cause = true, cause }

// beginShutdown starts the grace period.
func (s *Sender) beginShutdown() {
	s.shutdown.requested = nil
	s.log.Info("stopping", "pending", s.messages.pending, "calls", s.callsInFlight)
	s.server.SetClosing(true)
	s.shutdown.begin()
}

// stopDispatching ends the grace period. No call is started any more.
func (s *Sender) stopDispatching() {
	s.shutdown.graceOver = nil
	s.dispatchStopped = true
	if s.upgrade.handedOver && s.upgrade.successor == nil {
		s.abandonForwarded() // they no longer wait for this process to take the lock back
	}
	s.abortUnsent(func(*inFlightCall) bool { return true })
	s.log.Info("no further calls are started", "pending", s.messages.pending, "calls", s.callsInFlight)
	s.server.Drain()
}

// endDrain answers the remaining requests. If calls are in flight after a hand-over, it cancels them instead, so that
// their ends are reported and the successor does not send their messages again.
func (s *Sender) endDrain() {
	s.shutdown.drainOver = nil
	if !s.upgrade.handedOver || s.callsInFlight == 0 {
		s.endServer()
		return
	}
	s.cancelCalls()
	s.shutdown.cancelOver = time.After(handover.CancelTimeout)
}

// cancelCalls cancels the calls in flight.
func (s *Sender) cancelCalls() {
	for _, m := range s.messages.byNumber {
		for _, c := range m.calls {
			c.cancel()
		}
	}
}

// endServer answers the requests that have arrived and accepts no more. It does so on a goroutine whose duration the
// server bounds, and whose end the loop awaits on shutdown.serverFinished.
func (s *Sender) endServer() {
	if s.shutdown.serverFinished != nil {
		return
	}
	serverFinished := make(chan struct{})
	s.shutdown.serverFinished = serverFinished
	go func() {
		s.server.Finish()
		close(serverFinished)
	}()
}

// advanceShutdown starts the next phase of the shutdown as soon as nothing is left to wait for.
func (s *Sender) advanceShutdown() {
	switch {
	case s.shutdown.finished:
	case s.callsInFlight > 0 || len(s.notices.pending) > 0:
	case s.shutdown.cancelOver != nil:
		s.shutdown.finish(nil)
	case s.dispatchStopped && s.server.HasNoRequests():
		s.endServer()
	}
}

// stop ends all goroutines of the sender and closes its resources. Calls that are still in flight are aborted; in the
// journal they remain started. The lock is released last, after the journal is closed.
func (s *Sender) stop(cancelWork context.CancelFunc) error {
	cancelWork()
	s.server.Close()
	s.log.Info("stopped", "pending", s.messages.pending, "calls", s.callsInFlight,
		"notices", len(s.notices.pending), "batched", s.batchedMessages)
	if s.upgrade.successor != nil {
		s.upgrade.successor.Drain()
	}
	var err error
	if s.journal != nil {
		err = s.journal.Close()
	}
	if s.upgrade.lock != nil {
		s.upgrade.removeSocket()
		s.upgrade.releaseLock()
	}
	return err
}
