package discovery

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"onyxdyke.example/onyxdyke/internal/netconn"
)

const (
	// reservedConnections is the number of connections in reserve. One may be used while no other can be opened, for a
	// first notice or to replace an unresponsive connection. A successor that starts at that time gets the second one.
	reservedConnections = 2

	reserveDialTimeout    = time.Second           // limit for one attempt to open a reserved connection
	initialReserveBackoff = 10 * time.Millisecond // before the next attempt; doubles
	maxReserveBackoff     = 100 * time.Millisecond
)

// dialFunc is a function that opens a connection, as net.Dialer.DialContext does.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ReservedConnection is a connection to the platform on which nothing has been sent.
type ReservedConnection struct {
	Address string // host and port
	Conn    net.Conn
}

// connectionReserve opens connections, and keeps unused ones open in reserve: a notice that is due within 0.3 s cannot
// wait until a machine that is short of a resource can open a socket again. After a move, it also keeps the connections
// to the previous address until the platform closes them. It is safe for concurrent use.
type connectionReserve struct {
	dial dialFunc

	mu              sync.Mutex
	address         string     // host and port to which connections are reserved
	conns           []net.Conn // the reserved connections to address
	distrusted      []net.Conn // those to address that may be unresponsive; each is closed once it is replaced
	previousAddress string     // address before the last move; "" if no connection to it was open then
	previousConns   []net.Conn // the reserved connections to previousAddress
	isOpening       bool       // a refill is in progress
	isClosed        bool       // the reserve is closed: no connection is opened any more
}

// take removes a usable reserved connection to address and returns it, or nil if there is none.
func (r *connectionReserve) take(address string) net.Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch address {
	case r.address:
		return takeUsable(&r.conns)
	case r.previousAddress:
		return takeUsable(&r.previousConns)
	}
	return nil
}

// takeDistrusted removes a reserved connection to address that may be unresponsive, and returns it, or nil if there is
// none.
func (r *connectionReserve) takeDistrusted(address string) net.Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if address != r.address {
		return nil
	}
	return takeUsable(&r.distrusted)
}

// distrust marks the connections to an address that are reserved now as possibly unresponsive. take does not return
// them any more. They stay open until they have been replaced, because sockets may be scarce.
func (r *connectionReserve) distrust(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if address != r.address {
		return
	}
	r.distrusted = append(r.distrusted, r.conns...)
	r.conns = nil
	surplus := max(0, len(r.distrusted)-reservedConnections)
	closeUnused(r.distrusted[:surplus])
	r.distrusted = r.distrusted[surplus:]
}

// takeUsable removes connections from a list up to the first usable one, and returns that, or nil if there is none. It
// closes the removed connections that are not usable because the platform has closed them.
func takeUsable(conns *[]net.Conn) net.Conn {
	for len(*conns) > 0 {
		conn := (*conns)[0]
		*conns = (*conns)[1:]
		if netconn.ReadWouldBlock(conn) {
			return conn
		}
		_ = conn.Close() // the platform has closed its end
	}
	return nil
}

// setAddress sets the address to which connections are reserved. It does not open any; refill does.
func (r *connectionReserve) setAddress(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.address == address {
		return
	}
	if len(r.conns) == 0 {
		r.conns, r.distrusted = r.distrusted, nil
	}
	if len(r.conns) > 0 {
		closeUnused(r.previousConns)
		r.previousConns, r.previousAddress, r.conns = r.conns, r.address, nil
	}
	closeUnused(r.distrusted)
	r.address, r.distrusted = address, nil
}

// refill opens the missing reserved connections, and retries until sockets can be opened. Only one refill runs at a
// time; a second one returns at once. Callers start it on a goroutine and do not wait for it: it ends when the
// connections are open, or after close within reserveDialTimeout and one pause.
func (r *connectionReserve) refill() {
	if !r.beginRefill() {
		return
	}
	backoff := initialReserveBackoff
	for {
		opened, isOver := r.tryOpen()
		switch {
		case isOver:
			return
		case opened:
			backoff = initialReserveBackoff
		default:
			time.Sleep(backoff)
			backoff = min(2*backoff, maxReserveBackoff)
		}
	}
}

// beginRefill removes the reserved connections that are no longer usable. It reports whether the caller has to open the
// missing ones.
func (r *connectionReserve) beginRefill() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = slices.DeleteFunc(r.conns, func(conn net.Conn) bool {
		isEnded := !netconn.ReadWouldBlock(conn)
		if isEnded {
			_ = conn.Close() // the platform has closed its end
		}
		return isEnded
	})
	isNeeded := r.isIncomplete() && !r.isOpening
	r.isOpening = r.isOpening || isNeeded
	return isNeeded
}

// isIncomplete reports whether a reserved connection is missing and the reserve is not closed. The caller holds the
// lock.
func (r *connectionReserve) isIncomplete() bool {
	return len(r.conns) < reservedConnections && !r.isClosed
}

// tryOpen tries once to open a reserved connection. It reports whether that succeeded, and whether the refill is over
// because all connections are open or the reserve is closed.
func (r *connectionReserve) tryOpen() (opened, isOver bool) {
	r.mu.Lock()
	address := r.address
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), reserveDialTimeout)
	defer cancel()
	conn, err := r.dial(ctx, "tcp", address)
	r.mu.Lock()
	defer r.mu.Unlock()
	opened = err == nil && r.address == address // the platform may have moved meanwhile
	switch {
	case opened && r.isIncomplete():
		r.conns = append(r.conns, conn)
		if len(r.distrusted) > 0 { // conn replaces it
			_ = r.distrusted[0].Close() // nothing was sent on it
			r.distrusted = r.distrusted[1:]
		}
	case err == nil:
		_ = conn.Close() // nothing was sent on it
	}
	r.isOpening = r.isIncomplete()
	return opened, !r.isOpening
}

// lastAddress returns the address before the last move, or "" if no reserved connection to it was open then.
func (r *connectionReserve) lastAddress() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.previousAddress
}

// release removes all usable reserved connections and returns them. The caller owns them.
func (r *connectionReserve) release() []ReservedConnection {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.conns) == 0 {
		r.conns, r.distrusted = r.distrusted, nil // better than none
	}
	var released []ReservedConnection
	for conn := takeUsable(&r.conns); conn != nil; conn = takeUsable(&r.conns) {
		released = append(released, ReservedConnection{Address: r.address, Conn: conn})
	}
	for conn := takeUsable(&r.previousConns); conn != nil; conn = takeUsable(&r.previousConns) {
		released = append(released, ReservedConnection{Address: r.previousAddress, Conn: conn})
	}
	return released
}

// adopt adds connections of another process to the reserve. If there is no previous address, the first address other
// than the current one becomes the previous address. adopt closes the connections to any further address, and all of
// them if the reserve is closed.
func (r *connectionReserve) adopt(reserved []ReservedConnection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, connection := range reserved {
		if r.previousAddress == "" && connection.Address != r.address {
			r.previousAddress = connection.Address
		}
		switch {
		case r.isClosed:
			_ = connection.Conn.Close() // nothing was sent on it
		case connection.Address == r.address:
			r.conns = append(r.conns, connection.Conn)
		case connection.Address == r.previousAddress:
			r.previousConns = append(r.previousConns, connection.Conn)
		default:
			_ = connection.Conn.Close()
		}
	}
}

// close closes the reserved connections. No more are opened after that.
func (r *connectionReserve) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isClosed = true
	closeUnused(r.conns)
	closeUnused(r.distrusted)
	closeUnused(r.previousConns)
	r.conns, r.distrusted, r.previousConns = nil, nil, nil
}

// closeUnused closes connections on which nothing was sent.
func closeUnused(conns []net.Conn) {
	for _, conn := range conns {
		_ = conn.Close()
	}
}
