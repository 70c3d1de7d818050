package sender

// Connections to endpoints: how they are opened, kept, looked at and closed.

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/invariant"
	"onyxdyke.example/onyxdyke/internal/metrics"
	"onyxdyke.example/onyxdyke/internal/netconn"
)

type conn struct {
	net.Conn
	r     *bufio.Reader
	addr  string
	since time.Time     // it has been idle
	calls int           // written on it
	idle  time.Duration // how long it had been so before the present call
	room  int           // bytes that the answer may still take
	first []byte        // of the answer that is being read
	told  time.Time     // when its first bytes said whether the message is served
	stop  func() bool   // lets go of the context of the call; false if that has cut it off
	alone bool          // the call has one message: its first line says how it ended
	until time.Time     // the end of its time, the zero time for none
}

// drop ends a connection whose call is abandoned. What it has written and the other side, cut off, has not received is
// thrown away: it would arrive when the cut ends, after its message's end.
func (c *conn) drop(f *metrics.Registry, why string) {
	f.CountReason(metrics.ReasonDropped, why)
	c.stop()
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

func (c *conn) Read(b []byte) (int, error) {
	if c.room <= 0 {
		return 0, errTooLong
	}
	n, err := c.Conn.Read(b[:min(len(b), c.room)])
	c.room -= n
	before := len(c.first)
	c.first = append(c.first, b[:min(n, len(served)+1-len(c.first))]...)
	if before < len(served) && len(c.first) >= len(served) {
		c.told = time.Now()
		if by := c.told.Add(restTime); c.alone && c.saysServed() && (c.until.IsZero() || by.Before(c.until)) {
			c.SetReadDeadline(by)
		}
	}
	return n, err
}

// saysServed reports whether what has come begins with a first line of 200.
func (c *conn) saysServed() bool {
	rest, ok := strings.CutPrefix(string(c.first), served)
	return ok && strings.Trim(rest, " \r\n") == ""
}

// pool opens, keeps and closes connections.
type pool struct {
	connectTimeout time.Duration
	keep           time.Duration // how long an idle one is kept
	most           atomic.Int64  // idle ones kept in all: the descriptors are few
	idle           atomic.Int64
	leaving        atomic.Bool // none is kept any more
	fields         []string
	forwarded      func(messages int) // called when a call is written whole
	dialer         net.Dialer
	invariants     *invariant.Checker
	metrics        *metrics.Registry
	// waitTold is called when a wait has been told in an answer whose rest is still to come.
	waitTold func(e *endpoint, wait time.Duration)
}

func newPool(c *config.Config) *pool {
	// An endpoint closes an idle connection at IdleConnections at the latest, and what is written to one
	// that it has closed is a reset that may have run: ours are closed a good deal before.
	p := &pool{connectTimeout: c.ConnectTimeout, keep: c.Settings.IdleConnectionTimeout * 9 / 10, fields: c.Fields, forwarded: func(int) {},
		waitTold: func(*endpoint, time.Duration) {}, metrics: metrics.New(nil)}
	p.invariants = invariant.NewChecker(slog.New(slog.DiscardHandler), p.metrics)
	p.most.Store(int64(c.MaxIdleConnections()))
	return p
}

// get takes the idle connection used last, or opens one.
func (p *pool) get(ctx context.Context, e *endpoint) (*conn, error) {
	e.mu.Lock()
	addr := e.addr
	for n := len(e.idle) - 1; n >= 0; n = len(e.idle) - 1 {
		c := e.idle[n]
		e.idle = e.idle[:n]
		p.idle.Add(-1)
		if c.addr == addr && time.Since(c.since) < p.keep && netconn.IsQuiet(c.Conn) {
			e.mu.Unlock()
			c.idle = time.Since(c.since)
			return c, nil
		}
		c.Close()
	}
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, p.connectTimeout)
	defer cancel()
	for {
		nc, err := p.dialer.DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, addr: addr}
		c.r = bufio.NewReaderSize(c, 1024)
		e.mu.Lock()
		addr = e.addr
		e.mu.Unlock()
		if c.addr == addr {
			return c, nil
		}
		c.Close() // e has moved meanwhile, and whose the old address is now is not known
	}
}

func (p *pool) put(e *endpoint, c *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.addr != e.addr || p.leaving.Load() || p.idle.Load() >= p.most.Load() {
		c.Close()
		return
	}
	p.idle.Add(1)
	c.since = time.Now()
	e.idle = append(e.idle, c)
}

// closeIdle closes the idle connections to e that have been so for a time.
func (p *pool) closeIdle(e *endpoint, after time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.idle = slices.DeleteFunc(e.idle, func(c *conn) bool {
		old := time.Since(c.since) >= after
		if old {
			p.idle.Add(-1)
			c.Close()
		}
		return old
	})
}

// arrived reports whether the other side's machine has confirmed all that was written on c.
func (c *conn) arrived() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	left, asked := 0, error(nil)
	err = raw.Control(func(fd uintptr) { left, asked = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return err == nil && asked == nil && left == 0
}
