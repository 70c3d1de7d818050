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
	// HeaderTimeout bounds the head of a request. A peer that says nothing or stops half-way is owed an error or a
	// close within 3 s of its connection, and whoever has no request open may be closed after 2 s: so the limits
	// below.
	HeaderTimeout = 2 * time.Second
	readTimeout   = 2500 * time.Millisecond // for a complete request
	idleTimeout   = 2200 * time.Millisecond
	writeTimeout  = 5 * time.Second // for a response, to a peer that may not read

	// acceptFailureWindow is how far back a failed accept counts: while accept fails it is tried more often than this.
	acceptFailureWindow = 5 * maxAcceptPause
	// longQueueTime in the listener's queue is logged: it is a good part of what a peer has to send its request.
	longQueueTime = 500 * time.Millisecond
)

const (
	// QueueTimeout bounds, at the end, the time in which the connections are accepted that wait in the listener's
	// queue.
	QueueTimeout = 50 * time.Millisecond
	// ResponseTimeout bounds, at the end, the time in which the requests are answered that have been read.
	ResponseTimeout = 200 * time.Millisecond
	// finishInterval is how often it is checked whether requests are left.
	finishInterval = 10 * time.Millisecond
)

// SubmitFunc hands a submission to the event loop. It reports false if that has ended.
type SubmitFunc func(context.Context, Submission) bool

// Options are what a server needs to know.
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
	config     atomic.Pointer[config.Config]
	log        *slog.Logger
	clock      *clock.Clock
	invariants *invariant.Checker
	metrics    *metrics.Registry
	submit     SubmitFunc
	http       *http.Server
	isReady    atomic.Bool
	isClosing  atomic.Bool     // responses say that the connection ends
	lifetime   context.Context // ends with Close
	endLife    context.CancelFunc

	acceptFailedAt atomic.Pointer[time.Time] // nil for never

	connections *connectionTable
	mu          sync.Mutex
	listener    *limitListener
}

// New makes a server without a listener.
func New(o Options) *Server {
	s := &Server{
		log:         o.Log,
		clock:       o.Clock,
		invariants:  o.Invariants,
		metrics:     o.Metrics,
		submit:      o.Submit,
		connections: newConnectionTable(o.Config.Limits.MaxClientConnections()),
	}
	if s.metrics == nil {
		s.metrics = metrics.New(nil)
	}
	if s.invariants == nil {
		s.invariants = invariant.NewChecker(slog.New(slog.DiscardHandler), s.metrics)
	}
	s.lifetime, s.endLife = context.WithCancel(context.Background())
	s.config.Store(o.Config)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api", s.handleMessage)
	mux.HandleFunc("GET /-/ready", s.handleReady)
	mux.HandleFunc("GET /-/healthy", func(http.ResponseWriter, *http.Request) {})
	s.http = &http.Server{
		Handler:           s.withFramingCheck(mux),
		MaxHeaderBytes:    maxHeader,
		ReadHeaderTimeout: HeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		WriteTimeout:      writeTimeout,
		ConnState:         s.connections.track,
		ConnContext:       withConnection,
		ErrorLog:          slog.NewLogLogger(o.Log.Handler(), slog.LevelDebug),
	}
	return s
}

// Config is the configuration that requests are read by.
func (s *Server) Config() *config.Config { return s.config.Load() }

// SetConfig changes the configuration that requests are read by.
func (s *Server) SetConfig(c *config.Config) { s.config.Store(c) }

// MaxConnections is how many connections of clients there may be at once.
func (s *Server) MaxConnections() int { return s.connections.limit }

// SetReady makes the readiness check succeed, unless the server is closing.
func (s *Server) SetReady() { s.isReady.Store(true) }

// IsReady reports whether SetReady has been called.
func (s *Server) IsReady() bool { return s.isReady.Load() }

// SetClosing says whether each response ends its connection, and the readiness check fails.
func (s *Server) SetClosing(isClosing bool) { s.isClosing.Store(isClosing) }

// IsClosing reports whether responses end their connections.
func (s *Server) IsClosing() bool { return s.isClosing.Load() }

// IsAcceptFailing reports whether accept has just failed.
func (s *Server) IsAcceptFailing() bool {
	failedAt := s.acceptFailedAt.Load()
	return failedAt != nil && time.Since(*failedAt) < acceptFailureWindow
}

// Limit takes a listener for what follows and returns the one to serve. Clients hold a part of the descriptors at most;
// further ones wait to be accepted, while none of those connected can be closed.
func (s *Server) Limit(l net.Listener) net.Listener {
	limited := newLimitListener(l, s.connections.limit)
	limited.onAcceptError = s.noteAcceptError
	limited.onAccepted = s.noteAccepted
	limited.makeRoom = s.connections.makeRoom
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

// Serve answers on a listener of Limit until it is closed by this server. net/http closes it, too, where accept fails
// for good: that is the error.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(l)
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// noteAcceptError notes that a client could not be accepted.
func (s *Server) noteAcceptError(err error) {
	if !s.IsAcceptFailing() {
		s.log.Warn("clients cannot be accepted", "err", err)
	}
	now := time.Now()
	s.acceptFailedAt.Store(&now)
	s.metrics.CountReason(metrics.ReasonAccept, "failed")
}

// noteAccepted logs what kept a client from being accepted, where that was long.
func (s *Server) noteAccepted(report acceptReport) {
	if report.failedFor >= acceptFailureWindow {
		s.log.Info("clients are accepted again", "failed_for", report.failedFor, "queued", report.queued)
	}
	if report.queued >= longQueueTime {
		s.log.Debug("a client was accepted late", "queued", report.queued, "failed_for", report.failedFor)
	}
}

// StopAccepting closes the listener. Whoever waits in the queue of one that is not the platform's is reset.
func (s *Server) StopAccepting() {
	if listener := s.currentListener(); listener != nil {
		_ = listener.Close() // nobody is accepted any more, whatever fails here
	}
}

// Drain lets go of the clients that rest after a response, and from now on reports on Drained whenever no request is
// open. New clients are still answered, and so are those that have just connected, or have begun a request.
func (s *Server) Drain() { s.connections.drain() }

// Drained receives whenever no request is open, after Drain.
func (s *Server) Drained() <-chan struct{} { return s.connections.drained }

// IsDraining reports whether Drain has been called.
func (s *Server) IsDraining() bool { return s.connections.draining() }

// HasNoRequests reports whether no request is open.
func (s *Server) HasNoRequests() bool { return s.connections.hasNoRequests() }

// Finish accepts and answers what has arrived so far, and closes the listener. Requests that are incomplete by then are
// answered as such. It takes no longer than QueueTimeout and ResponseTimeout.
func (s *Server) Finish() {
	listener := s.currentListener()
	if listener == nil {
		return
	}
	listener.emptyQueue()
	select {
	case <-listener.emptied:
	case <-listener.closed:
	case <-time.After(QueueTimeout):
	}
	_ = listener.Close() // nobody is accepted any more, whatever fails here
	ticker := time.NewTicker(finishInterval)
	defer ticker.Stop()
	for until := time.Now().Add(ResponseTimeout); time.Now().Before(until); <-ticker.C {
		// Whoever has just been accepted has had time to send a request by the middle.
		if s.connections.finish(time.Until(until) < ResponseTimeout/2) == 0 {
			return
		}
	}
}

// Close closes all connections at once.
func (s *Server) Close() {
	if listener := s.currentListener(); listener != nil {
		listener.cutsOff.Store(true)
	}
	s.endLife()
	_ = s.http.Close() // the process ends
}

// handleReady answers the platform's readiness check.
func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !s.isReady.Load() || s.isClosing.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

// withFramingCheck stands before all handlers.
func (s *Server) withFramingCheck(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connectionOf(r); c != nil {
			c.isHandled.Store(true)
		}
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

// reject answers a request that is not sound, and reads nothing more from its peer: where it ends is not sure.
func (s *Server) reject(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var unsound *requestError
	if errors.As(err, &unsound) {
		status = unsound.status
	}
	s.metrics.CountReason(metrics.ReasonRejected, "status_"+strconv.Itoa(status))
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

// handleMessage hands one message to the event loop and writes the response. Nothing of a request that is not sound
// goes further than here.
func (s *Server) handleMessage(w http.ResponseWriter, r *http.Request) {
	arrivedAt := s.clock.Now()
	submission, err := parse(w, r, s.config.Load(), arrivedAt)
	if err != nil {
		s.reject(w, err)
		return
	}
	s.connections.requestRead(connectionOf(r))
	// A connection without deadlines, as in tests, needs none to be reset.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	// Once handed over the message may be accepted, so its response is waited for even if the client goes away. The
	// request's context would not do: it also ends where its connection has to make room once it is answered.
	if !s.submit(s.lifetime, *submission) {
		Response{Status: http.StatusServiceUnavailable, Text: "shutting down"}.write(w)
		return
	}
	response := <-submission.Responses
	response.write(w)
}
