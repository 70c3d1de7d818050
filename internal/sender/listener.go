package sender

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"onyxdyke.example/onyxdyke/internal/netconn"
)

// limitListener is the clients' listener. It lets in so many at once; further ones wait in its queue. What waits there when a
// listener is closed is reset, answer or none, so before its end it takes in all that have come.
//
// netutil.LimitListener does the counting as well, but its connections hide what tells whether bytes wait unread.
type limitListener struct {
	net.Listener
	places chan struct{}
	shut   chan struct{}
	close  func() error
	empty  chan struct{} // closed when the queue has been emptied, and with it the listener
	last   func()        // empties it
	cut    atomic.Bool   // connections are closed at once

	closing func(*clientConn) // called when a connection is about to be closed; may be nil
	begins  func(*clientConn) // called when the first bytes of a request have been read; may be nil
	failed  func(error)       // called when accept fails and is tried again; may be nil
}

// Pauses before accept is tried again; they double. They are short at first, as whoever waits in the queue is owed an answer.
const (
	acceptPauseFirst = 500 * time.Microsecond
	acceptPauseMost  = 100 * time.Millisecond
	// acceptAtOnce is how many connections in a row may turn out to be lost before accept pauses.
	acceptAtOnce = 16
)

// accept waits for the next connection, whatever fails meanwhile.
func (d *limitListener) accept() (net.Conn, error) {
	pause := acceptPauseFirst
	for lost := 0; ; {
		c, err := d.Listener.Accept()
		if err == nil || netconn.IsListenerBroken(err) {
			return c, err
		}
		if d.failed != nil {
			d.failed(err)
		}
		if netconn.IsConnectionLost(err) && lost < acceptAtOnce {
			lost++
			continue
		}
		select {
		case <-time.After(pause):
		case <-d.shut:
			return nil, net.ErrClosed
		}
		pause = min(2*pause, acceptPauseMost)
	}
}

func newLimitListener(l net.Listener, most int) *limitListener {
	d := &limitListener{Listener: l, places: make(chan struct{}, most), shut: make(chan struct{}), empty: make(chan struct{})}
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

func (d *limitListener) Close() error { return d.close() }

// Accept lets the next client in. Its one time-out is that of the emptied queue.
func (d *limitListener) Accept() (net.Conn, error) {
	select {
	case d.places <- struct{}{}:
	case <-d.shut:
		return nil, net.ErrClosed
	}
	c, err := d.accept()
	if err == nil {
		return &clientConn{Conn: c, cut: &d.cut, closing: d.closing, begins: d.begins, left: sync.OnceFunc(func() { <-d.places })}, nil
	}
	<-d.places
	if errors.Is(err, os.ErrDeadlineExceeded) {
		d.close()
		close(d.empty)
		return nil, net.ErrClosed
	}
	return nil, err
}

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	left     func()
	gone     atomic.Bool  // it is let go of: nothing more is read but the rest of a request that has begun
	halted   atomic.Bool  // not even that
	handled  atomic.Bool  // its request is being answered
	begun    atomic.Bool  // something of a request has been read since the last answer
	owed     atomic.Bool  // a request has been read to its end
	answered atomic.Bool  // something has been written
	cut      *atomic.Bool // the listener's: nobody is waited for any more
	closing  func(*clientConn)
	begins   func(*clientConn) // called when the first bytes of a request have been read; may be nil
	finishBy atomic.Pointer[time.Time]
	reason   atomic.Pointer[string] // why it is let go of, nil if its client or net/http ends it
}

const (
	// A client that has sent more than was read has so long, and so many bytes, to take its answer.
	lingerTime = 200 * time.Millisecond
	lingerMost = 256 << 10
)

// Why a client's connection is let go of.
const (
	closedLeaving = "leaving"       // the process ends
	closedRoom    = "room"          // it was silent, and another needs its place
	closedHalf    = "room_half"     // it was in the middle of its first request, and another needs its place
	closedOther   = "client_or_end" // by the client, a time limit, or behind an answer that ends the connection
)

// whyClosed is the reason that is counted when the connection closes.
func (g *clientConn) whyClosed() string {
	if why := g.reason.Load(); why != nil {
		return *why
	}
	return closedOther
}

// finishTime is how long a request may still take to come whole that has begun as its connection is let go of.
const finishTime = 800 * time.Millisecond

// dismiss ends the reading between requests. Unlike a close it costs nobody an answer: a request of which something has
// been read is read to its end, and answered, before the connection is closed.
func (g *clientConn) dismiss(why string) {
	g.reason.CompareAndSwap(nil, &why)
	finishBy := time.Now().Add(finishTime)
	g.finishBy.CompareAndSwap(nil, &finishBy)
	g.gone.Store(true)
	g.SetReadDeadline(time.Unix(1, 0))
}

// cutOff ends the reading at once, also in the middle of a request.
func (g *clientConn) cutOff(why string) {
	g.halted.Store(true)
	g.dismiss(why)
}

// Read heeds a dismissal also where the server has set a new deadline since.
func (g *clientConn) Read(b []byte) (int, error) {
	for {
		gone := g.gone.Load()
		if gone && !g.goesOn() {
			return 0, os.ErrDeadlineExceeded
		}
		n, err := g.Conn.Read(b)
		if n > 0 && !g.begun.Swap(true) && g.begins != nil {
			g.begins(g)
		}
		// A dismissal may have ended this read in the middle of a request.
		interrupted := n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && g.gone.Load() && g.goesOn()
		if !interrupted {
			return n, err
		}
	}
}

// goesOn reports whether a connection that was let go of is still read, as a request has begun on it, and sets its
// deadline for that.
func (g *clientConn) goesOn() bool {
	finishBy := g.finishBy.Load()
	if !g.begun.Load() || g.halted.Load() || finishBy == nil || !time.Now().Before(*finishBy) {
		return false
	}
	return g.Conn.SetReadDeadline(*finishBy) == nil
}

func (g *clientConn) Write(b []byte) (int, error) {
	g.answered.Store(true)
	if !g.owed.Swap(false) {
		g.begun.Store(false) // before the client can go on: what is read from now on is its next request
	}
	return g.Conn.Write(b)
}

// Close makes no reset of what lies unread, as that may destroy an answer on its way: the client is told the end, and what it
// still says is dropped for a moment.
func (g *clientConn) Close() error {
	defer g.left()
	if g.closing != nil {
		g.closing(g)
	}
	if g.answered.Load() && !g.cut.Load() && !netconn.IsQuiet(g.Conn) && g.CloseWrite() == nil {
		g.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		io.Copy(io.Discard, io.LimitReader(g.Conn, lingerMost))
	}
	return g.Conn.Close()
}

// CloseWrite lets the server end its side first and wait a moment, where it answers before it has read everything.
func (g *clientConn) CloseWrite() error {
	if c, ok := g.Conn.(interface{ CloseWrite() error }); ok {
		return c.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SyscallConn is for telling whether bytes wait unread.
func (g *clientConn) SyscallConn() (syscall.RawConn, error) {
	if c, ok := g.Conn.(syscall.Conn); ok {
		return c.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
