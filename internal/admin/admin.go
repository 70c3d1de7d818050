// Package admin answers the operators' calls: one line a connection, one reply.
//
// The server shares nothing with the event loop but the metrics, so it answers however busy the loop is. The calls and
// their replies are the operators' interface and never change.
package admin

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"time"

	"onyxdyke.example/onyxdyke/internal/retry"
)

// MaxLine bounds a call, in bytes, its end included.
const MaxLine = 128

const (
	callTimeout       = 5 * time.Second // for a caller to complete its call
	replyTimeout      = time.Second     // for a caller to read the reply
	listenRetryPause  = 500 * time.Millisecond
	acceptRetryPause  = 50 * time.Millisecond
	maxUnreadBytes    = 64 << 10 // that are read behind a call
	replyOK           = "ok\n"
	replyEnd          = "eof\n"
	replyIncomplete   = "fail the call is not complete\n"
	replyTooLong      = "fail the line is too long\n"
	replyUnknown      = "fail unknown call: HEALTH and DUMP are known\n"
	callHealth        = "HEALTH"
	callDump          = "DUMP"
	replyFailedPrefix = "fail "
)

// Server answers the operators' calls.
type Server struct {
	health         func() error // nil while the process is ready to serve
	dump           func(io.Writer)
	log            *slog.Logger
	maxConnections int

	mu     sync.Mutex
	silent map[net.Conn]time.Time // connections without a complete call, since when
	open   int
}

// New makes a server for so many connections at once. health says why the process is not ready to serve, nil if it is;
// dump writes the metrics. Both are called from any goroutine.
func New(log *slog.Logger, maxConnections int, health func() error, dump func(io.Writer)) *Server {
	return &Server{
		health:         health,
		dump:           dump,
		log:            log,
		maxConnections: maxConnections,
		silent:         map[net.Conn]time.Time{},
	}
}

// Run serves at an address until ctx ends. An address that is taken is tried again: no message should suffer for a
// metric.
func (s *Server) Run(ctx context.Context, address string) {
	for isFirst := true; ctx.Err() == nil; isFirst = false {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			s.serve(ctx, listener)
			return
		}
		if isFirst {
			s.log.Warn("the admin address cannot be listened on yet", "err", err)
		}
		retry.Wait(ctx, listenRetryPause)
	}
}

// serve answers on a listener until ctx ends; then open connections are closed, too. Each connection's goroutine ends
// with ctx or its timeouts.
func (s *Server) serve(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { closeQuietly(listener) })
	defer stop()
	for {
		c, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil { // too few descriptors, for instance: a pause may free some
			s.log.Debug("admin", "err", err)
			retry.Wait(ctx, acceptRetryPause)
			continue
		}
		if !s.admit(c) {
			closeQuietly(c)
			continue
		}
		go func() {
			stop := context.AfterFunc(ctx, func() { closeQuietly(c) })
			defer stop()
			s.answer(c)
		}()
	}
}

// closeQuietly closes what nobody can do anything about when it fails.
func closeQuietly(c io.Closer) { _ = c.Close() }

// admit finds a place for a connection. Where all are taken, the one that has been silent for longest is closed. It
// reports false if all are being answered.
func (s *Server) admit(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open >= s.maxConnections && !s.evictSilent() {
		return false
	}
	s.open++
	s.silent[c] = time.Now()
	return true
}

// evictSilent closes the connection that has been silent for longest; the caller holds the lock.
func (s *Server) evictSilent() bool {
	var oldest net.Conn
	for c, since := range s.silent {
		if oldest == nil || since.Before(s.silent[oldest]) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	closeQuietly(oldest)
	delete(s.silent, oldest)
	s.open--
	return true
}

// hasCalled notes that a connection is not silent any more. It reports false if the connection has been evicted.
func (s *Server) hasCalled(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.silent[c]
	delete(s.silent, c)
	return ok
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

// answer reads the call of a connection, answers it and closes the connection.
func (s *Server) answer(c net.Conn) {
	defer c.Close()
	// A connection that takes no deadline fails in the read as well.
	_ = c.SetReadDeadline(time.Now().Add(callTimeout))
	line, err := bufio.NewReaderSize(io.LimitReader(c, MaxLine), MaxLine).ReadSlice('\n')
	if !s.hasCalled(c) {
		return
	}
	defer s.leave()
	reply := s.reply(line, err)
	if len(reply) == 0 {
		return
	}
	_ = c.SetDeadline(time.Now().Add(replyTimeout))
	if _, err := c.Write(reply); err != nil {
		return
	}
	// What the caller sent beyond its line would make the close a reset, which can overtake the reply.
	if tcp, ok := c.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(c, maxUnreadBytes)) // the reply is sent, whatever fails here
	}
}

// reply is the reply to a line, which readErr may have cut short; empty if the caller said nothing at all.
func (s *Server) reply(line []byte, readErr error) []byte {
	call := strings.TrimSpace(string(line))
	isCutByEnd := errors.Is(readErr, io.EOF) && call != ""
	switch {
	case readErr != nil && len(line) < MaxLine && !isCutByEnd:
		if len(line) == 0 {
			return nil
		}
		return []byte(replyIncomplete)
	case readErr != nil && len(line) >= MaxLine:
		return []byte(replyTooLong)
	case call == callHealth:
		if err := s.health(); err != nil {
			return []byte(replyFailedPrefix + err.Error() + "\n")
		}
		return []byte(replyOK)
	case call == callDump:
		var dump bytes.Buffer
		s.dump(&dump)
		dump.WriteString(replyEnd)
		return dump.Bytes()
	}
	return []byte(replyUnknown)
}
