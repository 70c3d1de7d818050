package endpoint

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"onyxdyke.example/onyxdyke/internal/invariant"
	"onyxdyke.example/onyxdyke/internal/metrics"
	"onyxdyke.example/onyxdyke/internal/netconn"
)

// Options configures a Pool.
type Options struct {
	ConnectTimeout time.Duration
	// IdleTimeout is how long an endpoint keeps an idle connection open at most.
	IdleTimeout      time.Duration
	MaxIdle          int      // idle connections to all endpoints together: descriptors are scarce
	LoadReportFields []string // the fields of a load report that are read
	Invariants       *invariant.Checker
	Metrics          *metrics.Registry
	// Control is called for each socket before it connects; it may be nil.
	Control func(network, address string, c syscall.RawConn) error
}

// Pool opens, keeps and closes connections to endpoints, and makes calls on them. It is safe for concurrent use.
type Pool struct {
	connectTimeout time.Duration
	maxIdleTime    time.Duration // how long a connection is kept idle
	maxIdle        atomic.Int64  // how many idle connections are kept
	idle           atomic.Int64  // how many idle connections there are
	discardsIdle   atomic.Bool   // connections are closed after their calls
	reportFields   []string
	dialer         net.Dialer
	invariants     *invariant.Checker
	metrics        *metrics.Registry
	onRetryAfter   func(e *Endpoint, wait time.Duration)
}

// NewPool returns a pool without connections.
func NewPool(o Options) *Pool {
	p := &Pool{
		connectTimeout: o.ConnectTimeout,
		// Writing to a connection that the endpoint has closed ends in a reset, after which the call may have run. So
		// the pool closes its connections well before the endpoint does.
		maxIdleTime:  o.IdleTimeout * 9 / 10,
		reportFields: o.LoadReportFields,
		dialer:       net.Dialer{Control: o.Control},
		invariants:   o.Invariants,
		metrics:      o.Metrics,
		onRetryAfter: func(*Endpoint, time.Duration) {},
	}
	if p.metrics == nil {
		p.metrics = metrics.New(nil)
	}
	if p.invariants == nil {
		p.invariants = invariant.NewChecker(slog.New(slog.DiscardHandler), p.metrics)
	}
	p.SetMaxIdle(o.MaxIdle)
	return p
}

// OnRetryAfter sets the function that is called for each Retry-After in a response head while the rest of the response
// has not arrived yet. It must be set before the first call.
func (p *Pool) OnRetryAfter(notify func(e *Endpoint, wait time.Duration)) { p.onRetryAfter = notify }

// SetMaxIdle sets how many idle connections are kept to all endpoints together.
func (p *Pool) SetMaxIdle(connections int) { p.maxIdle.Store(int64(connections)) }

// KeepIdle sets whether connections are kept after their calls.
func (p *Pool) KeepIdle(keep bool) { p.discardsIdle.Store(!keep) }

// IdleConnections returns the number of idle connections.
func (p *Pool) IdleConnections() int { return int(p.idle.Load()) }

// MaxIdle returns how many idle connections are kept to all endpoints together.
func (p *Pool) MaxIdle() int { return int(p.maxIdle.Load()) }

// get returns the most recently used idle connection, or opens one.
func (p *Pool) get(ctx context.Context, e *Endpoint) (*conn, error) {
	if c := p.takeIdle(e); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.connectTimeout)
	defer cancel()
	for address := e.currentAddress(); ; {
		raw, err := p.dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, address: address}
		c.reader = bufio.NewReaderSize(c, readBufferSize)
		if address = e.currentAddress(); c.address == address {
			return c, nil
		}
		c.close() // the address has changed meanwhile, and the old one may belong to another endpoint now
	}
}

// takeIdle returns an idle connection that can be used, or nil if there is none. It closes those that cannot be used.
func (p *Pool) takeIdle(e *Endpoint) *conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	for n := len(e.idle) - 1; n >= 0; n = len(e.idle) - 1 {
		c := e.idle[n]
		e.idle = e.idle[:n]
		p.idle.Add(-1)
		if c.address == e.address && time.Since(c.idleSince) < p.maxIdleTime && netconn.ReadWouldBlock(c.Conn) {
			c.idleFor = time.Since(c.idleSince)
			return c
		}
		c.close()
	}
	return nil
}

// put keeps a connection for a further call. It closes the connection if the endpoint's address has changed, if
// KeepIdle has been switched off, or if enough are kept already.
func (p *Pool) put(e *Endpoint, c *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.address != e.address || p.discardsIdle.Load() || p.idle.Load() >= p.maxIdle.Load() {
		c.close()
		return
	}
	p.idle.Add(1)
	c.idleSince = time.Now()
	e.idle = append(e.idle, c)
}

// CloseIdle closes the connections to an endpoint that have been idle for at least idleFor.
func (p *Pool) CloseIdle(e *Endpoint, idleFor time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.idle = slices.DeleteFunc(e.idle, func(c *conn) bool {
		isOld := time.Since(c.idleSince) >= idleFor
		if isOld {
			p.idle.Add(-1)
			c.close()
		}
		return isOld
	})
}

// CloseExpired closes the connections to an endpoint that have been idle for the maximum time.
func (p *Pool) CloseExpired(e *Endpoint) { p.CloseIdle(e, p.maxIdleTime) }
