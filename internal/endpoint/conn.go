package endpoint

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"onyxdyke.example/onyxdyke/internal/metrics"
)

// MaxBody bounds the body of a request and of a response (protocol).
const MaxBody = 64 << 10

const (
	// maxResponse bounds a response, head and body: an endpoint may send nonsense without an end.
	maxResponse = MaxBody + 64<<10
	// deliveredPrefix is how a response begins from which on the message is delivered, whatever becomes of the rest.
	deliveredPrefix = "HTTP/1.1 200"
	// responseTailTimeout bounds the rest of a response whose status line has all that there is to know. The rest
	// is of use only to the connection, and meanwhile the message's end is not recorded and its slot not free.
	responseTailTimeout = 500 * time.Millisecond
	readBufferSize      = 1024
)

// Why a connection to an endpoint was closed with its call. The words are counted in the operators' figures.
const (
	DroppedAbandoned  = "recalled"   // a message of its call has ended, and the bytes may not have arrived
	DroppedUnwritten  = "unwritten"  // the call could not be written completely
	DroppedUnread     = "unread"     // no readable head of a response came
	DroppedIncomplete = "incomplete" // the response is incomplete, ends the connection, or has bytes behind it
)

var errResponseTooLong = errors.New("the response has no end")

// expired is a deadline that has passed: it interrupts reads and writes at once.
var expired = time.Unix(1, 0)

// conn is a connection to an endpoint. One call uses it at a time.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	address   string
	idleSince time.Time
	calls     int           // written on it
	idleFor   time.Duration // before the present call

	// The state of the present call.
	budget       int         // bytes that the response may still take
	firstBytes   []byte      // of the response
	firstLineAt  time.Time   // when the first bytes said whether the message is delivered
	release      func() bool // detaches the call's context; false if that has already interrupted the call
	single       bool        // the call has one message: the first line says how it ended
	callDeadline time.Time   // the zero time for none
}

// drop closes a connection whose call is abandoned. What was written and not received by the other side, which may be
// cut off, is thrown away: it would arrive when the cut ends, after its message's end.
func (c *conn) drop(registry *metrics.Registry, reason string) {
	registry.CountReason(metrics.ReasonDropped, reason)
	c.release()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the close is an ordinary one
	}
	c.close()
}

// close closes the connection. Nothing is left to do where that fails.
func (c *conn) close() { _ = c.Close() }

// begin prepares the connection for a call that ctx interrupts and that has to be written by writeBy.
func (c *conn) begin(ctx context.Context, writeBy time.Time, single bool) {
	// A connection that takes no deadline fails in the write as well.
	_ = c.SetWriteDeadline(writeBy)
	_ = c.SetReadDeadline(time.Time{}) // of the response before
	c.single = single
	c.callDeadline, _ = ctx.Deadline()
	c.release = context.AfterFunc(ctx, func() { _ = c.SetDeadline(expired) })
}

// expectResponse resets what was read, as a call has been written.
func (c *conn) expectResponse() {
	c.calls++
	c.firstBytes, c.budget = c.firstBytes[:0], maxResponse
}

// Read reads from the connection, within the bounds of a response.
func (c *conn) Read(b []byte) (int, error) {
	if c.budget <= 0 {
		return 0, errResponseTooLong
	}
	n, err := c.Conn.Read(b[:min(len(b), c.budget)])
	c.budget -= n
	before := len(c.firstBytes)
	c.firstBytes = append(c.firstBytes, b[:min(n, len(deliveredPrefix)+1-len(c.firstBytes))]...)
	if before < len(deliveredPrefix) && c.hasFirstLine() {
		c.firstLineAt = time.Now()
		c.limitTail()
	}
	return n, err
}

// limitTail bounds the time for the rest of a response whose status line says that the message is delivered.
func (c *conn) limitTail() {
	tailBy := c.firstLineAt.Add(responseTailTimeout)
	if c.single && c.saysDelivered() && (c.callDeadline.IsZero() || tailBy.Before(c.callDeadline)) {
		_ = c.SetReadDeadline(tailBy) // without it the call's own deadline holds
	}
}

// hasFirstLine reports whether enough has been read to know whether the message is delivered.
func (c *conn) hasFirstLine() bool { return len(c.firstBytes) >= len(deliveredPrefix) }

// saysDelivered reports whether the response begins with a status line of 200.
func (c *conn) saysDelivered() bool {
	rest, ok := strings.CutPrefix(string(c.firstBytes), deliveredPrefix)
	return ok && strings.Trim(rest, " \r\n") == ""
}

// isAcknowledged reports whether the other side's machine has confirmed all that was written.
func (c *conn) isAcknowledged() bool {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	unacknowledged, queryErr := 0, error(nil)
	err = raw.Control(func(fd uintptr) {
		unacknowledged, queryErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	return err == nil && queryErr == nil && unacknowledged == 0
}
