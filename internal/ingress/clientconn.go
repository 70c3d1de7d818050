package ingress

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"onyxdyke.example/onyxdyke/internal/netconn"
)

const (
	// lingerTimeout and maxLingerBytes bound the time and the bytes for which Close reads on after a response, if the
	// client has sent more than was read. A reset at that point could destroy the response before the client reads it.
	lingerTimeout  = 200 * time.Millisecond
	maxLingerBytes = 256 << 10
	// maxSentAhead is how many bytes a client may have sent behind its request. It is below what the system buffers, so
	// that the end of the connection is known as long as there are no more.
	maxSentAhead = 32 << 10
	// finishTimeout is how long a request that has begun when its connection is closed gracefully may still take to
	// arrive.
	finishTimeout = 800 * time.Millisecond

	// firstRequestTimeout bounds the time from the establishment of a connection until its first request is complete;
	// then the connection is closed. The peer has to be closed within 3 s, and the remainder is for the closing.
	firstRequestTimeout = readTimeout
	// minFirstReadTime is the minimum time for reading what has arrived on a connection that was accepted close to the
	// end of firstRequestTimeout, or after it.
	minFirstReadTime = 100 * time.Millisecond
)

// The reasons for which a client's connection is closed. They are counted in the metrics.
const (
	ClosedShutdown       = "leaving"       // the process stops
	ClosedEvicted        = "room"          // it had no incomplete request, and another needs its slot or descriptor
	ClosedEvictedPartial = "room_half"     // its request was incomplete, and what it held is needed
	ClosedOther          = "client_or_end" // by the client, a time limit, or after a response that ends the connection
)

// expired is a deadline that has passed: it interrupts reads at once.
var expired = time.Unix(1, 0)

// clientConn is a client's connection. Its flags are set by the goroutine that serves it, by the connection table and
// by the code that closes it.
type clientConn struct {
	net.Conn
	openedAt       time.Time // when it was established
	firstRequestBy time.Time // when its first request has to be complete; the zero time for no limit
	releaseSlot    func()    // frees its slot in the listener
	closeOnce      sync.Once
	abortOnce      sync.Once
	aborted        chan struct{} // closed when nothing more is read
	pacer          pacer         // belongs to the goroutine that serves the connection
	heldMemory     atomic.Int64  // bytes of the memory budget that its request holds
	skipsLinger    *atomic.Bool  // the listener's: Close does not wait for the client to read its response
	onClose        func(*clientConn)
	onRequestBegun func(*clientConn)

	isClosingGracefully atomic.Bool // only the rest of a request that has begun is still read
	isAborted           atomic.Bool // nothing is read any more
	isEvicted           atomic.Bool // its slot, descriptor or memory is needed for another connection
	dropsUnread         atomic.Bool // it is closed without waiting for its client to read the last response
	isCutOff            atomic.Bool // nothing more is written either
	hasBegun            atomic.Bool // a part of a request has been read since the last response
	isUnanswered        atomic.Bool // a request has been read completely, and its response not begun
	hasWritten          atomic.Bool // a response, or a part of one, has been written
	finishBy            atomic.Pointer[time.Time]
	reason              atomic.Pointer[string] // why it is closed; nil if its client or net/http closes it
}

// newClientConn returns the clientConn for a connection that was established at openedAt.
func newClientConn(conn net.Conn, openedAt time.Time) *clientConn {
	return &clientConn{
		Conn:        conn,
		openedAt:    openedAt,
		releaseSlot: func() {},
		skipsLinger: new(atomic.Bool),
		aborted:     make(chan struct{}),
	}
}

// closeReason returns the reason that is counted when the connection closes.
func (c *clientConn) closeReason() string {
	if reason := c.reason.Load(); reason != nil {
		return *reason
	}
	return ClosedOther
}

// closeGracefully stops reading between requests, upon which net/http closes the connection. Unlike Close it loses no
// response: a request that has been read in part is read to its end and answered first.
func (c *clientConn) closeGracefully(reason string) {
	c.reason.CompareAndSwap(nil, &reason)
	finishBy := c.limitFirstRead(time.Now().Add(finishTimeout))
	c.finishBy.CompareAndSwap(nil, &finishBy)
	c.isClosingGracefully.Store(true)
	_ = c.SetReadDeadline(expired) // fails only if the connection is closed already
}

// abortRequest stops reading at once, also in the middle of a request.
func (c *clientConn) abortRequest(reason string) {
	c.isAborted.Store(true)
	c.abortOnce.Do(func() { close(c.aborted) })
	c.closeGracefully(reason)
}

// dropUnread makes a connection close after the current response, although its peer may have sent more than was read.
func (c *clientConn) dropUnread(reason string) {
	c.dropsUnread.Store(true)
	c.abortRequest(reason)
}

// cutOff makes a connection close at once, also while its peer does not read the response.
func (c *clientConn) cutOff(reason string) {
	c.isCutOff.Store(true)
	c.dropUnread(reason)
	_ = c.SetWriteDeadline(expired) // fails only if the connection is closed already
}

// SetReadDeadline sets the deadline for reads. For the first request it is no later than firstRequestBy.
func (c *clientConn) SetReadDeadline(deadline time.Time) error {
	return c.Conn.SetReadDeadline(c.limitFirstRead(deadline))
}

// limitFirstRead returns the deadline, or firstRequestBy if that is earlier and no response has been written yet. The
// zero time, which stands for no deadline, is returned unchanged: it is set once a request is complete.
func (c *clientConn) limitFirstRead(deadline time.Time) time.Time {
	if c.hasWritten.Load() || c.firstRequestBy.IsZero() || deadline.IsZero() || deadline.Before(c.firstRequestBy) {
		return deadline
	}
	return c.firstRequestBy
}

// Read reads from the connection. A graceful close also takes effect if net/http has set a new deadline since.
func (c *clientConn) Read(b []byte) (int, error) {
	for {
		if c.isClosingGracefully.Load() && !c.continueRequest() {
			return 0, os.ErrDeadlineExceeded
		}
		n, err := c.Conn.Read(b)
		if n > 0 && !c.hasBegun.Swap(true) && c.onRequestBegun != nil {
			c.onRequestBegun(c)
		}
		// The deadline that closeGracefully sets may have interrupted this read in the middle of a request.
		isTimeout := n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
		if !isTimeout || !c.isClosingGracefully.Load() || !c.continueRequest() {
			return n, err
		}
	}
}

// awaitReadable waits until count bytes of a request can be read, or as many as the system buffers. As long as they are
// there, they take no memory of the process. It waits for nothing where the system does not tell what has arrived.
func (c *clientConn) awaitReadable(count int) error {
	for {
		if c.isClosingGracefully.Load() && !c.continueRequest() {
			return os.ErrDeadlineExceeded
		}
		err := netconn.AwaitReadable(c, count)
		if errors.Is(err, netconn.ErrNotAwaited) {
			return nil
		}
		// The deadline that closeGracefully sets may have interrupted this wait in the middle of a request.
		isTimeout := errors.Is(err, os.ErrDeadlineExceeded)
		if !isTimeout || !c.isClosingGracefully.Load() || !c.continueRequest() {
			return err
		}
	}
}

// continueRequest reports whether a connection that is being closed gracefully is still read because a request has
// begun on it. If so, it sets the deadline for the rest of that request.
func (c *clientConn) continueRequest() bool {
	finishBy := c.finishBy.Load()
	if !c.hasBegun.Load() || c.isAborted.Load() || finishBy == nil || !time.Now().Before(*finishBy) {
		return false
	}
	return c.SetReadDeadline(*finishBy) == nil
}

// Write writes to the connection and records that a response has begun.
func (c *clientConn) Write(b []byte) (int, error) {
	c.hasWritten.Store(true)
	if !c.isUnanswered.Swap(false) {
		c.hasBegun.Store(false) // before the client can send again: what is read from now on is its next request
	}
	return c.Conn.Write(b)
}

// Close closes the connection. A close with unread bytes would send a reset, which may destroy a response on its way.
// So Close first shuts down the sending side and then discards for a short time what the client still sends. Further
// calls have no effect.
func (c *clientConn) Close() (err error) {
	c.closeOnce.Do(func() {
		defer c.releaseSlot()
		if c.onClose != nil {
			c.onClose(c)
		}
		if c.mustLinger() && c.CloseWrite() == nil {
			c.discardUnread()
		}
		err = c.Conn.Close()
	})
	return err
}

// mustLinger reports whether a close has to wait for the client to read a response.
func (c *clientConn) mustLinger() bool {
	return c.hasWritten.Load() && !c.skipsLinger.Load() && !c.dropsUnread.Load() && !netconn.ReadWouldBlock(c.Conn)
}

// discardUnread discards what the client still sends, for a short time; for an evicted connection, whose slot is
// needed, only what has arrived.
func (c *clientConn) discardUnread() {
	if c.isEvicted.Load() {
		netconn.DiscardArrived(c.Conn, maxLingerBytes)
		return
	}
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil && !c.dropsUnread.Load() {
		netconn.Discard(c.Conn, maxLingerBytes)
	}
}

// mayHaveLeft reports whether the client has closed its connection, or has sent so much ahead that the close may wait
// behind what the system does not take in.
func (c *clientConn) mayHaveLeft() bool {
	return netconn.HasPeerLeft(c) || netconn.UnreadBytes(c) >= maxSentAhead
}

// CloseWrite shuts down the sending side. net/http calls it when it has answered before it has read the whole request,
// and then waits a moment before it closes the connection.
func (c *clientConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SyscallConn returns the raw connection, through which netconn.ReadWouldBlock checks for unread bytes.
func (c *clientConn) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := c.Conn.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
