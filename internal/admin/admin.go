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
)

// The operators' address: one line a connection, one reply. It shares nothing with the loop but the figures, so
// it answers however busy that is.

const (
	MaxLine    = 128             // bytes of a call, its end included
	adminTime  = 5 * time.Second // a caller may take so long to complete its call
	adminReply = time.Second     // and to read the reply
	adminRetry = 500 * time.Millisecond
)

// admin answers the operators' calls.
type Server struct {
	health func() error // nil while the process is ready to serve
	dump   func(io.Writer)
	log    *slog.Logger

	most    int
	mu      sync.Mutex
	callers map[net.Conn]time.Time // without a whole call yet, since when
	open    int
}

func New(log *slog.Logger, maxConnections int, health func() error, dump func(io.Writer)) *Server {
	return &Server{most: maxConnections, health: health, dump: dump, log: log, callers: map[net.Conn]time.Time{}}
}

// run listens until ctx ends. An address that is taken is tried again: no message should suffer for a figure.
func (a *Server) Run(ctx context.Context, addr string) {
	for told := false; ctx.Err() == nil; {
		l, err := net.Listen("tcp", addr)
		if err == nil {
			a.serve(ctx, l)
			return
		}
		if !told {
			told = true
			a.log.Warn("the admin address cannot be had yet", "err", err)
		}
		select {
		case <-time.After(adminRetry):
		case <-ctx.Done():
		}
	}
}

// serve answers on l until ctx ends; then callers are cut off, too.
func (a *Server) serve(ctx context.Context, l net.Listener) {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil { // too few descriptors, say: a pause may free some
			a.log.Debug("admin", "err", err)
			select {
			case <-time.After(adminRetry / 10):
			case <-ctx.Done():
			}
			continue
		}
		if !a.admit(c) {
			c.Close()
			continue
		}
		go func() {
			cut := context.AfterFunc(ctx, func() { c.Close() })
			defer cut()
			a.answer(c)
		}()
	}
}

// admit finds a place for a caller. Where all are taken, the one that has been silent for longest loses its own.
func (a *Server) admit(c net.Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open >= a.most {
		var oldest net.Conn
		for o, since := range a.callers {
			if oldest == nil || since.Before(a.callers[oldest]) {
				oldest = o
			}
		}
		if oldest == nil {
			return false // all are being answered
		}
		oldest.Close()
		delete(a.callers, oldest)
		a.open--
	}
	a.open++
	a.callers[c] = time.Now()
	return true
}

// spoke takes a caller off the list of silent ones; false if it has lost its place.
func (a *Server) spoke(c net.Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.callers[c]
	delete(a.callers, c)
	return ok
}

func (a *Server) answer(c net.Conn) {
	defer c.Close()
	c.SetReadDeadline(time.Now().Add(adminTime))
	line, err := bufio.NewReaderSize(io.LimitReader(c, MaxLine), MaxLine).ReadSlice('\n')
	if !a.spoke(c) {
		return
	}
	defer func() {
		a.mu.Lock()
		a.open--
		a.mu.Unlock()
	}()
	var out bytes.Buffer
	switch call := strings.TrimSpace(string(line)); {
	case err != nil && len(line) < MaxLine && !(errors.Is(err, io.EOF) && call != ""):
		if len(line) == 0 {
			return // it said nothing at all
		}
		out.WriteString("fail the call is not complete\n")
	case err != nil && len(line) >= MaxLine:
		out.WriteString("fail the line is too long\n")
	case call == "HEALTH":
		if err := a.health(); err != nil {
			out.WriteString("fail " + err.Error() + "\n")
		} else {
			out.WriteString("ok\n")
		}
	case call == "DUMP":
		a.dump(&out)
		out.WriteString("eof\n")
	default:
		out.WriteString("fail unknown call: HEALTH and DUMP are known\n")
	}
	c.SetDeadline(time.Now().Add(adminReply))
	if _, err := c.Write(out.Bytes()); err != nil {
		return
	}
	// What the caller sent beyond its line would make the close a reset, which can overtake the reply.
	if t, ok := c.(*net.TCPConn); ok && t.CloseWrite() == nil {
		io.Copy(io.Discard, io.LimitReader(c, 64<<10))
	}
}
