package sender

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"onyxdyke.example/onyxdyke/internal/clock"
	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/invariant"
	"onyxdyke.example/onyxdyke/internal/journal"
	"onyxdyke.example/onyxdyke/internal/metrics"
	"onyxdyke.example/onyxdyke/internal/netconn"
)

const (
	maxBody      = 64 << 10
	maxHeader    = 16 << 10
	maxDeadline  = 24 * time.Hour
	refusedRetry = time.Second // Retry-After where the settings tell none

	// Anyone may connect, and a peer that says nothing or stops half-way is owed an error or a close within
	// 3 s of its connection. Whoever has no request open may be left after 2 s.
	headerTime = 2 * time.Second
	readTime   = 2500 * time.Millisecond // a whole request
	idleTime   = 2200 * time.Millisecond
	writeTime  = 5 * time.Second // an answer, to a peer that may not read

	evictAgain = 20 * time.Millisecond // a request may take so long to come before it makes room for others
	// evictClose is when the connection of such a request is closed if nothing else has closed it: longer than a process is
	// held up, so that a request that was read meanwhile has its handler.
	evictClose = 500 * time.Millisecond

	// At the end: for what waits in the queue to be taken in, for the answers to what has been read, and how often what is
	// left is looked at.
	queueTime  = 50 * time.Millisecond
	answersEnd = 200 * time.Millisecond
	endLook    = 10 * time.Millisecond
)

// submission is a message that a client hands in, on its way to the loop.
type submission struct {
	journal.Record
	class, tenant int
	answer        chan clientResponse // buffered: the loop never waits for a client
}

// answerLine is the answer to a client.
type clientResponse struct {
	status     int
	retryAfter time.Duration // Retry-After of a refusal, 0 for the usual
	text       string
}

// server takes messages in from clients.
type server struct {
	conf       atomic.Pointer[config.Config]
	log        *slog.Logger
	clock      *clock.Clock
	invariants *invariant.Checker // nil for none
	metrics    *metrics.Registry
	submit     func(context.Context, submission) bool
	ready      atomic.Bool
	closing    atomic.Bool     // answers say that the connection ends
	life       context.Context // ends with close
	endLife    context.CancelFunc
	http       *http.Server
	most       int // connections of clients at once

	failedAt atomic.Pointer[time.Time] // accept failed last then, nil if never

	mu       sync.Mutex
	listener *limitListener
	open     int
	quiet    map[*clientConn]time.Time // without a request, since when
	half     map[*clientConn]time.Time // in the middle of a request, since when
	known    map[*clientConn]bool      // have had an answer: a further request may not be cut off
	full     bool                      // and it will be looked at again soon
	leaving  bool
	calm     chan struct{} // while it leaves: no request is open
}

func newServer(c *config.Config, k *clock.Clock, log *slog.Logger, submit func(context.Context, submission) bool) *server {
	s := &server{log: log, clock: k, submit: submit, most: c.Limits.MaxClientConnections(), quiet: map[*clientConn]time.Time{}, half: map[*clientConn]time.Time{}, known: map[*clientConn]bool{}, calm: make(chan struct{}, 1)}
	s.life, s.endLife = context.WithCancel(context.Background())
	s.conf.Store(c)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api", s.take)
	mux.HandleFunc("GET /-/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !s.ready.Load() || s.closing.Load() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /-/healthy", func(http.ResponseWriter, *http.Request) {})
	s.http = &http.Server{Handler: s.header(mux), MaxHeaderBytes: maxHeader, ReadHeaderTimeout: headerTime, ReadTimeout: readTime,
		IdleTimeout: idleTime, WriteTimeout: writeTime, ConnState: s.track, ConnContext: withConn, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	return s
}

// acceptFails reports whether accept has just failed: while it does, it is tried more often than this looks back.
func (s *server) acceptFails() bool {
	at := s.failedAt.Load()
	return at != nil && time.Since(*at) < 5*acceptPauseMost
}

// listenOn takes a listener for what follows. Clients hold a part of the descriptors at most; further ones wait to be
// accepted, while none of those connected can be let go.
func (s *server) listenOn(l net.Listener) *limitListener {
	d := newLimitListener(l, s.most)
	d.failed, d.begins = s.acceptFailed, s.begun
	if s.invariants != nil {
		d.closing = func(c *clientConn) { s.invariants.CheckClose(c.whyClosed(), c.owed.Load()) }
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = d
	return d
}

// serve answers on the listener until it is closed by us. net/http closes it, too, where accept fails for good.
func (s *server) serve(d *limitListener) error {
	err := s.http.Serve(d)
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// acceptFailed notes that a client could not be accepted.
func (s *server) acceptFailed(err error) {
	if !s.acceptFails() {
		s.log.Warn("clients cannot be accepted", "err", err)
	}
	now := time.Now()
	s.failedAt.Store(&now)
	if s.invariants != nil {
		s.metrics.CountReason(metrics.ReasonAccept, "failed")
	}
}

// shut lets nobody in any more. Whoever waits in the queue of a listener that is not the platform's is reset.
func (s *server) shut() {
	s.mu.Lock()
	d := s.listener
	s.mu.Unlock()
	if d != nil {
		d.Close()
	}
}

// leave lets go of whoever rests after an answer, and tells calm whenever no request is open. Who comes is still answered,
// and so is who has just come, or has begun to speak.
func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	for g := range s.quiet {
		if s.known[g] && netconn.IsQuiet(g) {
			g.dismiss(closedLeaving)
		}
	}
	s.isCalm()
}

// dismiss lets go of those on whose connections nothing has come. Whatever waits unread on one is a request, and will be
// answered. The caller holds the lock.
func (s *server) dismiss() {
	for g := range s.quiet {
		if netconn.IsQuiet(g) {
			g.dismiss(closedLeaving)
		}
	}
}

// close ends all connections at once.
func (s *server) close() {
	s.mu.Lock()
	d := s.listener
	s.mu.Unlock()
	if d != nil {
		d.cut.Store(true)
	}
	s.endLife()
	s.http.Close()
}

// idle reports whether no request is open.
func (s *server) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open <= len(s.quiet)
}

// isCalm tells it if no request is open. The caller holds the lock.
func (s *server) isCalm() {
	if s.leaving && s.open <= len(s.quiet) {
		select {
		case s.calm <- struct{}{}:
		default:
		}
	}
}

// end takes in and answers what has come so far, and lets nobody in any more. Requests that have not come whole by then
// are answered as such. It takes no longer than queueTime and answersEnd.
func (s *server) end() {
	s.mu.Lock()
	d := s.listener
	s.mu.Unlock()
	if d == nil {
		return
	}
	d.last()
	select {
	case <-d.empty:
	case <-d.shut:
	case <-time.After(queueTime):
	}
	d.Close()
	look := time.NewTicker(endLook)
	defer look.Stop()
	for until := time.Now().Add(answersEnd); time.Now().Before(until); <-look.C {
		s.mu.Lock()
		if time.Until(until) < answersEnd/2 { // whoever has just come in has had time to speak
			s.dismiss()
			for g := range s.half {
				g.cutOff(closedLeaving)
			}
		}
		open := s.open
		s.mu.Unlock()
		if open == 0 {
			return
		}
	}
}

// connKey is where a request's context holds its connection.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// whole marks the connection of a request that has been read to its end: from here on it is owed an answer.
func (s *server) whole(r *http.Request) {
	if g, ok := r.Context().Value(connKey{}).(*clientConn); ok {
		g.owed.Store(true)
		g.begun.Store(false) // what is read from now on is the next request
		s.mu.Lock()
		delete(s.half, g)
		s.mu.Unlock()
	}
}

// begun notes that a request has begun to come on a connection. net/http tells that only when it has its whole head.
func (s *server) begun(g *clientConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, rests := s.quiet[g]; rests {
		delete(s.quiet, g)
		s.half[g] = time.Now()
	}
}

// track follows the connections. When the last place is taken, the one that has been without a request for
// longest makes room, or if there is none the one that has been in the middle of its first one for longest: peers that only
// hold their connection must not keep those out that have something to say. While it leaves, nobody is kept.
func (s *server) track(c net.Conn, state http.ConnState) {
	g := c.(*clientConn)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.open++
		s.evict()
		s.quiet[g] = time.Now()
	case http.StateIdle:
		s.known[g] = true
		delete(s.half, g)
		if g.begun.Load() { // a further request has come behind the one answered
			s.half[g] = time.Now()
		} else {
			s.quiet[g] = time.Now()
		}
		g.owed.Store(false)
		g.handled.Store(false)
	case http.StateActive:
		delete(s.quiet, g)
		if _, begun := s.half[g]; !begun {
			s.half[g] = time.Now()
		}
	case http.StateClosed, http.StateHijacked:
		s.open--
		delete(s.quiet, g)
		delete(s.half, g)
		delete(s.known, g)
	}
	s.isCalm()
}

func (s *server) header(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g, ok := r.Context().Value(connKey{}).(*clientConn); ok {
			g.handled.Store(true)
		}
		if s.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		if status, err := framing(r); err != nil {
			s.reject(w, err, status)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// framing refuses a request whose end can be read in two ways. Clients state every length; where a transfer
// coding stands beside it net/http drops the length unseen, and what one reading takes for body the other
// takes for the next request. HTTP/1.0 has the same doubt, as the coding is what is dropped there.
func framing(r *http.Request) (int, error) {
	if !r.ProtoAtLeast(1, 1) {
		return http.StatusHTTPVersionNotSupported, errors.New("HTTP/1.1 is spoken here")
	}
	if len(r.TransferEncoding) > 0 {
		return http.StatusLengthRequired, errors.New("a body needs a Content-Length and no Transfer-Encoding")
	}
	return 0, nil
}

// reject answers a request that is not sound, and reads nothing more from its peer: where it ends is not sure.
func (s *server) reject(w http.ResponseWriter, err error, status int) {
	if s.invariants != nil {
		s.metrics.CountReason(metrics.ReasonRejected, "status_"+strconv.Itoa(status))
	}
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

// take hands one message to the loop and writes the answer. Nothing of a request that is not sound goes
// further than here.
func (s *server) take(w http.ResponseWriter, r *http.Request) {
	arrived := s.clock.Now()
	sub, status, err := s.parse(w, r, arrived)
	if err != nil {
		s.reject(w, err, status)
		return
	}
	s.whole(r)
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	// Once handed over the message may be held, so its answer is waited for even if the client goes away. The request's context
	// would not do: it also ends where its connection has to make room once it is answered.
	if !s.submit(s.life, *sub) {
		writeAnswer(w, clientResponse{http.StatusServiceUnavailable, 0, "shutting down"})
		return
	}
	writeAnswer(w, <-sub.answer)
}

func writeAnswer(w http.ResponseWriter, a clientResponse) {
	if a.status == http.StatusServiceUnavailable {
		if a.retryAfter <= 0 {
			a.retryAfter = refusedRetry
		}
		w.Header().Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
	}
	if a.status == http.StatusAccepted {
		w.WriteHeader(a.status)
		return
	}
	http.Error(w, a.text, a.status)
}

// name reads a header that names something: it goes into records and calls as it is.
func name(r *http.Request, header string) (string, error) {
	v := r.Header.Get(header)
	if len(v) > journal.MaxNameLength {
		return "", fmt.Errorf("%s is longer than %d bytes", header, journal.MaxNameLength)
	}
	for _, c := range []byte(v) {
		if c < 0x20 || c > 0x7e {
			return "", fmt.Errorf("%s holds bytes that are not plain ASCII", header)
		}
	}
	return v, nil
}

func (s *server) parse(w http.ResponseWriter, r *http.Request, arrived time.Duration) (*submission, int, error) {
	bad := func(format string, args ...any) (*submission, int, error) {
		return nil, http.StatusBadRequest, fmt.Errorf(format, args...)
	}
	sub := &submission{answer: make(chan clientResponse, 1), tenant: -1}
	conf := s.conf.Load()
	for header, field := range map[string]*string{"X-Request-Id": &sub.ID, "X-Class": &sub.Class,
		"X-Tenant": &sub.Tenant, "Idempotency-Key": &sub.Key} {
		v, err := name(r, header)
		if err != nil {
			return bad("%v", err)
		}
		*field = v
	}
	if r.Header.Get("Content-Length") == "" {
		return nil, http.StatusLengthRequired, errors.New("Content-Length is missing")
	}
	if sub.ID == "" {
		return bad("X-Request-Id is missing")
	}
	if sub.class = config.IndexOf(conf.Classes, sub.Class, -1); sub.class < 0 {
		return bad("X-Class %q is not among the settings", sub.Class)
	}
	if sub.tenant = config.IndexOf(conf.Tenants, sub.Tenant, -1); sub.tenant < 0 && len(conf.Tenants) > 0 {
		return bad("X-Tenant %q is not among the settings", sub.Tenant)
	}
	if conf.Settings.Classes[sub.class].Effect == dispatch.IdempotentByKey && sub.Key == "" {
		return bad("Idempotency-Key is missing, and class %s is keyed", sub.Class)
	}
	ms, err := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64)
	if err != nil || ms < 0 || ms > maxDeadline.Milliseconds() {
		return bad("X-Deadline-Ms %q is not a sensible time", r.Header.Get("X-Deadline-Ms"))
	}
	sub.Deadline = arrived + time.Duration(ms)*time.Millisecond
	if sub.Destination, err = destination(r.Header.Get("X-Addressing")); err != nil {
		return bad("%v", err)
	}
	if sub.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody)); err != nil {
		var big *http.MaxBytesError
		if errors.As(err, &big) {
			return nil, http.StatusRequestEntityTooLarge, fmt.Errorf("the body is over %d bytes", maxBody)
		}
		return bad("the body does not come whole: %v", err)
	}
	return sub, 0, nil
}

// destination reads dest from X-Addressing.
func destination(text string) (uint32, error) {
	for _, part := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ';' || r == ' ' }) {
		if v, ok := strings.CutPrefix(part, "dest="); ok {
			n, err := strconv.ParseUint(v, 10, 16)
			if err != nil {
				return 0, fmt.Errorf("X-Addressing: dest %q is not a destination's number", v)
			}
			return uint32(n), nil
		}
	}
	return 0, errors.New("X-Addressing names no dest")
}
