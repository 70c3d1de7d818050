package sender

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// door is the clients' listener. It lets in so many at once; further ones wait in its queue. What waits there when a
// listener is closed is reset, answer or none, so before its end it takes in all that have come.
//
// netutil.LimitListener does the counting as well, but its connections hide what tells whether bytes wait unread.
type door struct {
	net.Listener
	places chan struct{}
	shut   chan struct{}
	close  func() error
	empty  chan struct{} // closed when the queue has been emptied, and with it the listener
	last   func()        // empties it
}

func newDoor(l net.Listener, most int) *door {
	d := &door{Listener: l, places: make(chan struct{}, most), shut: make(chan struct{}), empty: make(chan struct{})}
	d.close = sync.OnceValue(func() error {
		close(d.shut)
		return l.Close()
	})
	d.last = sync.OnceFunc(func() {
		t, ok := l.(interface{ SetDeadline(time.Time) error })
		if !ok || t.SetDeadline(time.Now().Add(queueTime)) != nil {
			d.close()
		}
	})
	return d
}

func (d *door) Close() error { return d.close() }

// Accept lets the next client in. Its one time-out is that of the emptied queue.
func (d *door) Accept() (net.Conn, error) {
	select {
	case d.places <- struct{}{}:
	case <-d.shut:
		return nil, net.ErrClosed
	}
	c, err := d.Listener.Accept()
	if err == nil {
		return &guest{Conn: c, left: sync.OnceFunc(func() { <-d.places })}, nil
	}
	<-d.places
	if errors.Is(err, os.ErrDeadlineExceeded) {
		d.close()
		close(d.empty)
		return nil, net.ErrClosed
	}
	return nil, err
}

// guest is a client's connection.
type guest struct {
	net.Conn
	left func()
	gone atomic.Bool // nothing more is read
}

// dismiss ends the reading. Unlike a close it costs nobody an answer: a request that has been read already, by whoever
// was just reading, is still served, and the connection is closed then.
func (g *guest) dismiss() {
	g.gone.Store(true)
	g.SetReadDeadline(time.Unix(1, 0))
}

// Read heeds a dismissal also where the server has set a new deadline since.
func (g *guest) Read(b []byte) (int, error) {
	if g.gone.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	return g.Conn.Read(b)
}

func (g *guest) Close() error {
	defer g.left()
	return g.Conn.Close()
}

// CloseWrite lets the server end its side first and wait a moment, where it answers before it has read everything.
func (g *guest) CloseWrite() error {
	if c, ok := g.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SyscallConn is for telling whether bytes wait unread.
func (g *guest) SyscallConn() (syscall.RawConn, error) {
	if c, ok := g.Conn.(syscall.Conn); ok {
		return c.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
