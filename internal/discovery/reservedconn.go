package discovery

import (
	"context"
	"net"
	"sync"
	"time"

	"onyxdyke.example/onyxdyke/internal/netconn"
)

const (
	reserveDialTimeout    = time.Second           // bounds one attempt to open the reserved connection
	initialReserveBackoff = 10 * time.Millisecond // before the next attempt; doubles
	maxReserveBackoff     = 100 * time.Millisecond
)

// dialFunc opens a connection, as net.Dialer.DialContext does.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// reservedConnection opens connections and keeps an unused one open in reserve: a notice that is due within 0.3 s
// cannot wait until a machine that is short of a resource lets a socket be opened again. After a move the connection
// to the previous address is kept as well, until the platform closes it. It is safe for concurrent use.
type reservedConnection struct {
	dial dialFunc

	mu              sync.Mutex
	address         string   // host and port to which a connection is reserved
	conn            net.Conn // the reserved connection to address, nil for none
	previousAddress string   // before the last move, "" if no connection to it stood then
	previousConn    net.Conn // to previousAddress, nil for none
	isOpening       bool     // a refill is in progress
	isClosed        bool     // no connection is wanted any more
}

// DialContext returns a reserved connection to address if one is still usable, or opens a new one.
func (r *reservedConnection) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if conn := r.take(address); conn != nil {
		go r.refill()
		return conn, nil
	}
	return r.dial(ctx, network, address)
}

// take removes the reserved connection to address and returns it. It returns nil if none is usable.
func (r *reservedConnection) take(address string) (conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch address {
	case r.address:
		conn, r.conn = r.conn, nil
	case r.previousAddress:
		conn, r.previousConn = r.previousConn, nil
	}
	if conn != nil && !netconn.IsQuiet(conn) {
		_ = conn.Close() // the platform has ended it
		return nil
	}
	return conn
}

// setAddress makes address the one to which a connection is reserved. It opens none, see refill.
func (r *reservedConnection) setAddress(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.address == address {
		return
	}
	if r.conn != nil {
		if r.previousConn != nil {
			_ = r.previousConn.Close() // nothing was sent on it
		}
		r.previousConn, r.previousAddress, r.conn = r.conn, r.address, nil
	}
	r.address = address
}

// refill opens the reserved connection if there is no usable one, and retries until a socket can be had. One refill
// works at a time, another returns at once. Callers start it as a goroutine and do not wait for it: it ends when the
// connection stands, or within reserveDialTimeout and a pause of close.
func (r *reservedConnection) refill() {
	if !r.beginRefill() {
		return
	}
	for backoff := initialReserveBackoff; !r.tryOpen(); backoff = min(2*backoff, maxReserveBackoff) {
		time.Sleep(backoff)
	}
}

// beginRefill drops a reserved connection that is not usable any more. It reports whether the caller has to open one.
func (r *reservedConnection) beginRefill() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn != nil && !netconn.IsQuiet(r.conn) {
		_ = r.conn.Close() // the platform has ended it
		r.conn = nil
	}
	isNeeded := r.conn == nil && !r.isOpening && !r.isClosed
	r.isOpening = r.isOpening || isNeeded
	return isNeeded
}

// tryOpen tries once to open the reserved connection. It reports whether the refill is over: the connection stands,
// or none is wanted any more.
func (r *reservedConnection) tryOpen() bool {
	r.mu.Lock()
	address := r.address
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), reserveDialTimeout)
	defer cancel()
	conn, err := r.dial(ctx, "tcp", address)
	r.mu.Lock()
	defer r.mu.Unlock()
	isCurrent := err == nil && r.address == address // the platform may have moved meanwhile
	switch {
	case isCurrent && !r.isClosed:
		r.conn = conn
	case err == nil:
		_ = conn.Close() // nothing was sent on it
	}
	r.isOpening = !isCurrent && !r.isClosed
	return !r.isOpening
}

// lastAddress returns the address before the last move to which a reserved connection stood, "" for none.
func (r *reservedConnection) lastAddress() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.previousAddress
}

// close closes the reserved connections. None is opened any more.
func (r *reservedConnection) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isClosed = true
	for _, conn := range []net.Conn{r.conn, r.previousConn} {
		if conn != nil {
			_ = conn.Close() // nothing was sent on it
		}
	}
	r.conn, r.previousConn = nil, nil
}
