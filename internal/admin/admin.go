// Package admin implements the operators' interface: a TCP server that reads a one-line call from each connection and
// sends one reply.
//
// The server shares only the metrics with the event loop, so it answers even while the loop is busy. The calls and
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

// MaxLine is the maximum length of a call in bytes, the newline included.
const MaxLine = 128

const (
	callTimeout       = 5 * time.Second // for receiving the complete call
	replyTimeout      = time.Second     // for sending the reply
	listenRetryPause  = 500 * time.Millisecond
	acceptRetryPause  = 50 * time.Millisecond
	maxUnreadBytes    = 64 << 10 // maximum that is read and discarded after a call
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
	health         func() error // returns nil while the process is ready to serve
	dump           func(io.Writer)
	log            *slog.Logger
	maxConnections int

	mu     sync.Mutex
	silent map[net.Conn]time.Time // connections without a complete call, and when they were accepted
	open   int                    // number of connections, silent or not
}

// New returns a server for at most maxConnections concurrent connections. health returns why the process is not ready
// to serve, or nil if it is; dump writes the metrics. Both must be safe to call from any goroutine.
func New(log *slog.Logger, maxConnections int, health func() error, dump func(io.Writer)) *Server {
	return &Server{
		health:         health,
		dump:           dump,
		log:            log,
		maxConnections: maxConnections,
		silent:         map[net.Conn]time.Time{},
	}
}

// Run serves at an address until ctx ends. It retries while it cannot listen there, as when the address is in use: the
// delivery of messages must not depend on the operators' interface.
func (s *Server) Run(ctx context.Context, address string) {
	for isFirst := true; ctx.Err() == nil; isFirst = false {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			s.serve(ctx, listener)
			return
		}
		if isFirst {
			s.log.Warn("cannot listen on the admin address yet", "err", err)
		}
		retry.Wait(ctx, listenRetryPause)
	}
}

// serve answers calls on a listener until ctx ends, and then closes the open connections, too. Each connection's
// goroutine ends with ctx or by its timeouts.
func (s *Server) serve(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { closeQuietly(listener) })
	defer stop()
	for {
		c, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil { // for example, no free descriptor: some may be free after a pause
			s.log.Debug("admin connection not accepted", "err", err)
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

// closeQuietly closes c and ignores the error, as nothing can be done about it.
func closeQuietly(c io.Closer) { _ = c.Close() }

// admit registers a connection. At the maximum number of connections it closes the one that has been silent for
// longest. It reports false if there is none, because all connections are being answered.
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

// evictSilent closes the connection that has been silent for longest and reports whether there was one. The caller
// holds the lock.
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

// markNotSilent records that a connection is no longer silent. It reports false if the connection has been evicted.
func (s *Server) markNotSilent(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.silent[c]
	delete(s.silent, c)
	return ok
}

// release removes a connection that is no longer silent from the number of open ones.
func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

// answer reads the call of a connection, answers it and closes the connection.
func (s *Server) answer(c net.Conn) {
	defer c.Close()
	// If the deadline cannot be set, the read fails as well.
	_ = c.SetReadDeadline(time.Now().Add(callTimeout))
	line, err := bufio.NewReaderSize(io.LimitReader(c, MaxLine), MaxLine).ReadSlice('\n')
	if !s.markNotSilent(c) {
		return
	}
	defer s.release()
	reply := s.reply(line, err)
	if len(reply) == 0 {
		return
	}
	_ = c.SetDeadline(time.Now().Add(replyTimeout))
	if _, err := c.Write(reply); err != nil {
		return
	}
	// Closing with unread bytes, which the caller sent after its line, would send a reset, and that can overtake the
	// reply.
	if tcp, ok := c.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(c, maxUnreadBytes)) // the reply is already sent: errors don't matter
	}
}

// reply returns the reply to a line. readErr is the error that ended the read before a newline, or nil. The reply is
// empty if the caller sent nothing.
func (s *Server) reply(line []byte, readErr error) []byte {
	call := strings.TrimSpace(string(line))
	isEndedByEOF := errors.Is(readErr, io.EOF) && call != ""
	switch {
	case readErr != nil && len(line) < MaxLine && !isEndedByEOF:
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
