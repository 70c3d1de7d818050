package ingress

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"onyxdyke.example/onyxdyke/internal/netconn"
)

const (
	// A client that has sent more than was read has so long, and so many bytes, to read its response.
	lingerTimeout  = 200 * time.Millisecond
	maxLingerBytes = 256 << 10
	// finishTimeout is how long a request may still take to arrive that has begun as its connection is let go of.
	finishTimeout = 800 * time.Millisecond

	// releaseTimeout is when a peer is let go of whose first request is not complete, from when its connection was
	// established. It is owed that within 3 s, and the rest is for the closing.
	releaseTimeout = readTimeout
	// minFirstReadTime is for reading what has arrived on a connection that was accepted later than that.
	minFirstReadTime = 100 * time.Millisecond
)

// Why a client's connection is closed. The words are counted in the operators' figures.
const (
	ClosedLeaving = "leaving"       // the process ends
	ClosedForRoom = "room"          // it was idle, and another needs its place
	ClosedPartial = "room_half"     // it was in the middle of its first request, and another needs its place
	ClosedOther   = "client_or_end" // by the client, a time limit, or behind a response that ends the connection
)

// expired is a deadline that has passed: it interrupts reads at once.
var expired = time.Unix(1, 0)

// clientConn is a client's connection. Its flags are set by the goroutine that serves it, by the connection table,
// and by whoever lets go of it.
type clientConn struct {
	net.Conn
	openedAt       time.Time    // when it was established
	releaseBy      time.Time    // by then its first request has to be complete; the zero time for no such limit
	release        func()       // frees its place
	cutsOff        *atomic.Bool // the listener's: nobody is waited for any more
	onClose        func(*clientConn)
	onRequestBegun func(*clientConn)

	isDismissed  atomic.Bool // nothing more is read but the rest of a request that has begun
	isCutOff     atomic.Bool // not even that
	isHandled    atomic.Bool // its request has a handler
	hasBegun     atomic.Bool // something of a request has been read since the last response
	isUnanswered atomic.Bool // a request has been read to its end
	hasAnswered  atomic.Bool // something has been written
	finishBy     atomic.Pointer[time.Time]
	reason       atomic.Pointer[string] // why it is let go of, nil if its client or net/http ends it
}

// closeReason is the reason that is counted when the connection closes.
func (c *clientConn) closeReason() string {
	if reason := c.reason.Load(); reason != nil {
		return *reason
	}
	return ClosedOther
}

// dismiss ends the reading between requests. Unlike a close it costs nobody a response: a request of which something
// has been read is read to its end, and answered, before the connection is closed.
func (c *clientConn) dismiss(reason string) {
	c.reason.CompareAndSwap(nil, &reason)
	finishBy := c.limitFirstRead(time.Now().Add(finishTimeout))
	c.finishBy.CompareAndSwap(nil, &finishBy)
	c.isDismissed.Store(true)
	_ = c.SetReadDeadline(expired) // a connection that takes no deadline is closed already
}

// cutOff ends the reading at once, also in the middle of a request.
func (c *clientConn) cutOff(reason string) {
	c.isCutOff.Store(true)
	c.dismiss(reason)
}

// SetReadDeadline keeps a deadline that is set for the first request within the peer's time.
func (c *clientConn) SetReadDeadline(deadline time.Time) error {
	return c.Conn.SetReadDeadline(c.limitFirstRead(deadline))
}

// limitFirstRead is the deadline, or the end of the peer's time if that is earlier and nothing has been answered yet.
// The zero time, for none, is set where a request is complete.
func (c *clientConn) limitFirstRead(deadline time.Time) time.Time {
	if c.hasAnswered.Load() || c.releaseBy.IsZero() || deadline.IsZero() || deadline.Before(c.releaseBy) {
		return deadline
	}
	return c.releaseBy
}

// Read obeys a dismissal also where net/http has set a new deadline since.
func (c *clientConn) Read(b []byte) (int, error) {
	for {
		if c.isDismissed.Load() && !c.continueRequest() {
			return 0, os.ErrDeadlineExceeded
		}
		n, err := c.Conn.Read(b)
		if n > 0 && !c.hasBegun.Swap(true) && c.onRequestBegun != nil {
			c.onRequestBegun(c)
		}
		// A dismissal may have ended this read in the middle of a request.
		isTimeout := n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
		if !isTimeout || !c.isDismissed.Load() || !c.continueRequest() {
			return n, err
		}
	}
}

// continueRequest reports whether a connection that was let go of is still read, as a request has begun on it, and sets
// its deadline for that.
func (c *clientConn) continueRequest() bool {
	finishBy := c.finishBy.Load()
	if !c.hasBegun.Load() || c.isCutOff.Load() || finishBy == nil || !time.Now().Before(*finishBy) {
		return false
	}
	return c.SetReadDeadline(*finishBy) == nil
}

// Write notes that a response is written.
func (c *clientConn) Write(b []byte) (int, error) {
	c.hasAnswered.Store(true)
	if !c.isUnanswered.Swap(false) {
		c.hasBegun.Store(false) // before the client can go on: what is read from now on is its next request
	}
	return c.Conn.Write(b)
}

// Close makes no reset of what lies unread, as that may destroy a response on its way: the client is told the end, and
// what it still sends is dropped for a moment.
func (c *clientConn) Close() error {
	defer c.release()
	if c.onClose != nil {
		c.onClose(c)
	}
	if c.hasAnswered.Load() && !c.cutsOff.Load() && !netconn.IsQuiet(c.Conn) && c.CloseWrite() == nil {
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout)) // without it the copy ends with the client
		_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes))
	}
	return c.Conn.Close()
}

// CloseWrite lets net/http end its side first and wait a moment, where it answers before it has read everything.
func (c *clientConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SyscallConn is for telling whether bytes wait unread.
func (c *clientConn) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := c.Conn.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
