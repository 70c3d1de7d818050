package discovery

import (
	"context"
	"net"
	"sync"
	"time"

	"onyxdyke.example/onyxdyke/internal/netconn"
)

// spareDialer opens connections and keeps one ready that nobody uses yet: what is due within 0.3 s cannot wait until a
// machine that is short of something lets a socket be opened again. After a move the one to the previous address is kept, too,
// until that closes it. It is safe for concurrent use.
type reservedConnection struct {
	dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu           sync.Mutex
	spare        net.Conn // nil for none
	addr         string   // where it leads, or has to
	previous     net.Conn // to the address before the last move, nil for none
	previousAddr string
	filling      bool // a spare connection is being opened
	closed       bool // none is wanted any more
}

const (
	spareTime      = time.Second           // bounds one try to open the spare connection
	spareRestFirst = 10 * time.Millisecond // before the next try; doubles
	spareRestMost  = 100 * time.Millisecond
)

// DialContext gives a connection that is kept if it still stands, or opens one.
func (d *reservedConnection) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	if c := d.take(addr); c != nil {
		go d.refill()
		return c, nil
	}
	return d.dial(ctx, network, addr)
}

// take takes the connection that is kept to addr, nil if there is none that stands.
func (d *reservedConnection) take(addr string) (c net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch addr {
	case d.addr:
		c, d.spare = d.spare, nil
	case d.previousAddr:
		c, d.previous = d.previous, nil
	}
	if c != nil && !netconn.IsQuiet(c) {
		c.Close()
		return nil
	}
	return c
}

// lead makes addr the address to which a connection is kept. It opens none: see refill.
func (d *reservedConnection) lead(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.addr == addr {
		return
	}
	if d.spare != nil {
		if d.previous != nil {
			d.previous.Close()
		}
		d.previous, d.previousAddr, d.spare = d.spare, d.addr, nil
	}
	d.addr = addr
}

// refill sees to it that there is a spare connection that stands, as soon as a socket can be had.
func (d *reservedConnection) refill() {
	d.mu.Lock()
	if d.spare != nil && !netconn.IsQuiet(d.spare) {
		d.spare.Close()
		d.spare = nil
	}
	fills := d.spare == nil && !d.filling && !d.closed
	d.filling = d.filling || fills
	d.mu.Unlock()
	for rest := spareRestFirst; fills && !d.fill(); rest = min(2*rest, spareRestMost) {
		time.Sleep(rest)
	}
}

// fill tries once to open the spare connection, and reports whether that is over: it stands, or none is wanted any more.
func (d *reservedConnection) fill() bool {
	d.mu.Lock()
	addr := d.addr
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), spareTime)
	defer cancel()
	c, err := d.dial(ctx, "tcp", addr)
	d.mu.Lock()
	defer d.mu.Unlock()
	stands := err == nil && d.addr == addr // else it may have moved meanwhile
	switch {
	case stands && !d.closed:
		d.spare = c
	case err == nil:
		c.Close()
	}
	d.filling = !stands && !d.closed
	return !d.filling
}

// previousAddress is the address before the last move to which a connection has stood, "" for none.
func (d *reservedConnection) previousAddress() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.previousAddr
}

// close ends the connections that are kept, for good.
func (d *reservedConnection) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for _, c := range []net.Conn{d.spare, d.previous} {
		if c != nil {
			c.Close()
		}
	}
	d.spare, d.previous = nil, nil
}
