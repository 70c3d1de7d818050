package ingress

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"onyxdyke.example/onyxdyke/internal/clock"
	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/invariant"
	"onyxdyke.example/onyxdyke/internal/metrics"
)

const (
	// HeaderTimeout bounds the time for the head of a request. A peer that sends nothing or stops in the middle of its
	// request must get an error or a close within 3 s of its connection, and a connection without an open request may
	// be closed after 2 s. HeaderTimeout, readTimeout and idleTimeout follow from that.
	HeaderTimeout = 2 * time.Second
	readTimeout   = 2500 * time.Millisecond // for a complete request
	idleTimeout   = 2200 * time.Millisecond
	writeTimeout  = 5 * time.Second // for a response; bounds the wait for a peer that does not read

	// acceptFailureWindow is how long after a failed accept IsAcceptFailing returns true. It is longer than the longest
	// pause between two attempts, so that the state does not change between them.
	acceptFailureWindow = 5 * maxAcceptPause
	// longQueueTime is how long a connection must have been in the listener's queue for that to be logged: this is a
	// large part of the time that a peer has to send its request.
	longQueueTime = 500 * time.Millisecond
)

const (
	// QueueTimeout bounds the time that Finish spends on accepting the connections in the listener's queue.
	QueueTimeout = 50 * time.Millisecond
	// ResponseTimeout bounds the time in which Finish waits until all requests that have been read are answered.
	ResponseTimeout = 200 * time.Millisecond
	// shareInterval is how often AwaitShare checks whether the share is kept.
	shareInterval = 2 * time.Millisecond
	// finishInterval is how often Finish checks whether requests are open.
	finishInterval = 10 * time.Millisecond
)

// SubmitFunc hands a submission to the event loop. It returns false if the event loop has ended.
type SubmitFunc func(context.Context, Submission) bool

// Options holds the configuration and the dependencies of a Server.
type Options struct {
	Config     *config.Config
	Clock      *clock.Clock
	Log        *slog.Logger
	Metrics    *metrics.Registry
	Invariants *invariant.Checker
	Submit     SubmitFunc
}

// Server accepts messages from clients. It is safe for concurrent use.
type Server struct {
	config       atomic.Pointer[config.Config]
	log          *slog.Logger
	clock        *clock.Clock
	invariants   *invariant.Checker
	metrics      *metrics.Registry
	submit       SubmitFunc
	handler      http.Handler
	isReady      atomic.Bool
	isClosing    atomic.Bool     // responses carry "Connection: close"
	submitCtx    context.Context // the context of submissions; Close cancels it
	cancelSubmit context.CancelFunc

	acceptFailedAt atomic.Pointer[time.Time] // nil for never

	connections *connectionTable
	slots       *slots
	memory      *memoryBudget
	mu          sync.Mutex
	listener    *limitListener
}

// New returns a server without a listener.
func New(o Options) *Server {
	s := &Server{
		log:         o.Log,
		clock:       o.Clock,
		invariants:  o.Invariants,
		metrics:     o.Metrics,
		submit:      o.Submit,
		connections: newConnectionTable(o.Config.Limits.ClientConnections(config.ShareWhole)),
		slots:       newSlots(o.Config.Limits.ClientConnections(config.ShareWhole)),
		memory:      newMemoryBudget(o.Config.Limits.RequestMemory(config.ShareWhole)),
	}
	if s.metrics == nil {
		s.metrics = metrics.New(nil)
	}
	if s.invariants == nil {
		s.invariants = invariant.NewChecker(slog.New(slog.DiscardHandler), s.metrics)
	}
	s.submitCtx, s.cancelSubmit = context.WithCancel(context.Background())
	s.config.Store(o.Config)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api", s.handleMessage)
	mux.HandleFunc("GET /-/ready", s.handleReady)
	mux.HandleFunc("GET /-/healthy", func(http.ResponseWriter, *http.Request) {})
	s.handler = s.withFramingCheck(mux)
	s.memory.onShortage = func() { s.connections.evictForMemory(s.memory.shortage()) }
	return s
}

// Config returns the configuration that requests are checked against.
func (s *Server) Config() *config.Config { return s.config.Load() }

// SetConfig replaces the configuration that requests are checked against.
func (s *Server) SetConfig(c *config.Config) { s.config.Store(c) }

// SetShare limits the connections and the memory of requests to a share of the configured limits. What exceeds it is
// evicted as soon as it can be.
func (s *Server) SetShare(share config.Share) {
	limits := s.Config().Limits
	s.memory.setLimit(limits.RequestMemory(share))
	s.slots.setLimit(limits.ClientConnections(share))
	s.connections.setLimit(limits.ClientConnections(share))
}

// AwaitShare waits until the connections and the memory of requests are within the share, and reports whether they are.
// It gives up when ctx ends.
func (s *Server) AwaitShare(ctx context.Context) bool {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for !s.slots.isWithinLimit() || s.memory.shortage() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// SetReady makes the readiness check succeed, unless the server is closing.
func (s *Server) SetReady() { s.isReady.Store(true) }

// IsReady reports whether SetReady has been called.
func (s *Server) IsReady() bool { return s.isReady.Load() }

// SetClosing sets whether each response ends its connection and the readiness check fails.
func (s *Server) SetClosing(isClosing bool) { s.isClosing.Store(isClosing) }

// IsClosing reports whether responses end their connections.
func (s *Server) IsClosing() bool { return s.isClosing.Load() }

// IsAcceptFailing reports whether accept has failed within acceptFailureWindow.
func (s *Server) IsAcceptFailing() bool {
	failedAt := s.acceptFailedAt.Load()
	return failedAt != nil && time.Since(*failedAt) < acceptFailureWindow
}

// Limit makes l the listener of the server and returns the one to pass to Serve, which limits the connections so that
// clients hold only a part of the descriptors. While no open connection can be evicted, further clients wait to be
// accepted.
func (s *Server) Limit(l net.Listener) net.Listener {
	limited := newLimitListener(l, s.slots)
	limited.onAcceptError = s.recordAcceptError
	limited.onAccepted = s.logAccepted
	limited.evictForDescriptor = s.connections.evictForDescriptor
	limited.onRequestBegun = s.connections.requestBegun
	limited.onClose = func(c *clientConn) { s.invariants.CheckClose(c.closeReason(), c.isUnanswered.Load()) }
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = limited
	return limited
}

func (s *Server) currentListener() *limitListener {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener
}

// recordAcceptError records that a client could not be accepted.
func (s *Server) recordAcceptError(err error) {
	if !s.IsAcceptFailing() {
		s.log.Warn("clients cannot be accepted", "err", err)
	}
	now := time.Now()
	s.acceptFailedAt.Store(&now)
	s.metrics.CountReason(metrics.ReasonAccept, "failed")
}

// logAccepted logs the delay of an accepted client if it was long.
func (s *Server) logAccepted(report acceptReport) {
	if report.failedFor >= acceptFailureWindow {
		s.log.Info("clients are accepted again", "failed_for", report.failedFor, "queued", report.queued)
	}
	if report.queued >= longQueueTime {
		s.log.Debug("a client was accepted late", "queued", report.queued, "failed_for", report.failedFor)
	}
}

// StopAccepting closes the listener. The connections in its queue are reset, unless the platform keeps the socket open.
func (s *Server) StopAccepting() {
	if listener := s.currentListener(); listener != nil {
		_ = listener.Close() // no client is accepted any more, even if the close fails
	}
}

// Drain closes the connections that are idle after a response, and from now on sends on Drained whenever no request is
// open. New clients are still answered, and so are those that have just connected or have begun a request.
func (s *Server) Drain() { s.connections.drain() }

// Drained returns a channel that receives a value whenever no request is open, once Drain has been called.
func (s *Server) Drained() <-chan struct{} { return s.connections.drained }

// IsDraining reports whether Drain has been called.
func (s *Server) IsDraining() bool { return s.connections.draining() }

// HasNoRequests reports whether no request is open.
func (s *Server) HasNoRequests() bool { return s.connections.hasNoRequests() }

// Finish accepts the connections that have arrived so far, answers their requests, and closes the listener. Requests
// that are still incomplete at the end get an error response. It takes no longer than QueueTimeout plus
// ResponseTimeout.
func (s *Server) Finish() {
	listener := s.currentListener()
	if listener == nil {
		return
	}
	listener.emptyQueue()
	select {
	case <-listener.queueEmptied:
	case <-listener.closed:
	case <-time.After(QueueTimeout):
	}
	_ = listener.Close() // no client is accepted any more, even if the close fails
	ticker := time.NewTicker(finishInterval)
	defer ticker.Stop()
	for until := time.Now().Add(ResponseTimeout); time.Now().Before(until); <-ticker.C {
		// A client that has just been accepted has had time to send a request when half of the time is over.
		if s.connections.finish(time.Until(until) < ResponseTimeout/2) == 0 {
			return
		}
	}
}

// Close closes all connections at once.
func (s *Server) Close() {
	if listener := s.currentListener(); listener != nil {
		listener.skipsLinger.Store(true)
	}
	s.cancelSubmit()
	s.StopAccepting()
	for _, c := range s.connections.all() {
		_ = c.Close() // the process stops, so the error is of no use
	}
}

// handleReady answers the platform's readiness check.
func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !s.isReady.Load() || s.isClosing.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

// withFramingCheck wraps all handlers: it rejects requests whose framing is ambiguous, and ends the connection while
// the server is closing.
func (s *Server) withFramingCheck(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isClosing.Load() {
			w.Header().Set("Connection", "close")
		}
		if err := checkFraming(r); err != nil {
			s.reject(w, err)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// reject answers an invalid request with an error and closes its connection: where the request ends is uncertain, so
// nothing more is read.
func (s *Server) reject(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var invalid *requestError
	if errors.As(err, &invalid) {
		status = invalid.status
	}
	s.metrics.CountReason(metrics.ReasonRejected, "status_"+strconv.Itoa(status))
	w.Header().Set("Connection", "close")
	Response{Status: status, Text: err.Error()}.write(w)
}

// handleMessage hands one message to the event loop and writes the response. Invalid requests are rejected here and
// never reach the event loop.
func (s *Server) handleMessage(w http.ResponseWriter, r *http.Request) {
	arrivedAt := s.clock.Now()
	submission, err := parse(r, s.config.Load(), arrivedAt)
	if err != nil {
		s.reject(w, err)
		return
	}
	if c := connectionOf(r); c != nil {
		s.connections.requestRead(c)
		submission.HasClientLeft = c.mayHaveLeft
	}
	// Once submitted, the message may be accepted, so the handler waits for the response even if the client
	// disconnects. The request's context cannot be used for submitting, because it also ends when its connection is
	// evicted, although the request is still answered then.
	if !s.submit(s.submitCtx, *submission) {
		Response{Status: http.StatusServiceUnavailable, Text: "shutting down"}.write(w)
		return
	}
	response := <-submission.Responses
	response.write(w)
}
