package sender

import (
	"context"
	"net"
	"sync"
	"time"
)

// spareDialer opens connections and keeps one ready that nobody uses yet: what is due within 0.3 s cannot wait until a
// machine that is short of something lets a socket be opened again. It is safe for concurrent use.
type spareDialer struct {
	dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu      sync.Mutex
	spare   net.Conn // nil for none
	addr    string   // where it leads, or has to
	filling bool     // one is being opened
	closed  bool     // none is wanted any more
}

const (
	spareTime      = time.Second           // bounds one try to open the spare connection
	spareRestFirst = 10 * time.Millisecond // before the next try; doubles
	spareRestMost  = 100 * time.Millisecond
)

// DialContext gives the spare connection if it still stands, or opens one.
func (d *spareDialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	if c := d.take(addr); c != nil {
		go d.keep(addr)
		return c, nil
	}
	return d.dial(ctx, network, addr)
}

// take takes the spare connection to addr, nil if there is none that stands.
func (d *spareDialer) take(addr string) net.Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.spare
	if c == nil || d.addr != addr {
		return nil
	}
	d.spare = nil
	if !quiet(c) {
		c.Close()
		return nil
	}
	return c
}

// keep sees to it that there is a spare connection to addr: one that no longer stands, or leads elsewhere, is replaced, as soon
// as a socket can be had.
func (d *spareDialer) keep(addr string) {
	d.mu.Lock()
	if d.spare != nil && (d.addr != addr || !quiet(d.spare)) {
		d.spare.Close()
		d.spare = nil
	}
	d.addr = addr
	fills := d.spare == nil && !d.filling && !d.closed
	d.filling = d.filling || fills
	d.mu.Unlock()
	for rest := spareRestFirst; fills && !d.fill(); rest = min(2*rest, spareRestMost) {
		time.Sleep(rest)
	}
}

// fill tries once to open the spare connection, and reports whether that is over: it stands, or none is wanted any more.
func (d *spareDialer) fill() bool {
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

// close ends the spare connection, for good.
func (d *spareDialer) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	if d.spare != nil {
		d.spare.Close()
		d.spare = nil
	}
}
