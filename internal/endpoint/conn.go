package endpoint

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strings"
	"time"

	"onyxdyke.example/onyxdyke/internal/metrics"
	"onyxdyke.example/onyxdyke/internal/netconn"
	"onyxdyke.example/onyxdyke/internal/retry"
)

// MaxBody is the maximum size of the body of a call to an endpoint and of its response, in bytes (protocol).
const MaxBody = 64 << 10

const (
	// maxResponse is the maximum size of a response, head and body, in bytes: an endpoint may send invalid data without
	// end.
	maxResponse = MaxBody + 64<<10
	// maxHeadLines is the maximum number of lines of a response's head. A field takes far more memory once it is parsed
	// than the few bytes in which it may arrive.
	maxHeadLines = 100
	// deliveredPrefix is the beginning of a response that confirms the delivery of the message, whatever happens to the
	// rest of the response.
	deliveredPrefix = "HTTP/1.1 200"
	// responseTailTimeout bounds the time for the rest of a response whose status line already confirms the delivery.
	// The rest only decides whether the connection can be kept, and until it is read the end of the message is not
	// recorded and its slot not free.
	responseTailTimeout = 500 * time.Millisecond
	readBufferSize      = 1024
)

// The reasons for which a connection to an endpoint is closed together with its call. They are counted in the metrics.
const (
	DroppedAbandoned  = "recalled"   // a message of its call has ended, and the call may not have arrived completely
	DroppedUnwritten  = "unwritten"  // the call could not be written completely
	DroppedUnread     = "unread"     // no valid head of a response was received
	DroppedIncomplete = "incomplete" // the response is incomplete, ends the connection, or is followed by further bytes
	DroppedStale      = "stale"      // bytes that belong to no call arrived while the call was written
)

var (
	errResponseTooLong = errors.New("the response exceeds the maximum size")
	errStaleBytes      = errors.New("bytes that belong to no call arrived while the call was written")
)

// expired is a deadline that has passed: it interrupts reads and writes at once.
var expired = time.Unix(1, 0)

// conn is a connection to an endpoint. One call uses it at a time.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	address   string
	idleSince time.Time
	calls     int           // how many have been written on it
	idleFor   time.Duration // how long it was idle before the current call

	// The state of the current call.
	callBytes      int         // the length of the call
	remainingBytes int         // how many bytes of the response may still be read
	head           headCounter // counts the lines of the response's head
	firstBytes     []byte      // the first bytes of the response
	firstLineAt    time.Time   // when enough had been read to know whether the message is delivered
	detachContext  func() bool // detaches the call's context; false if the context has already interrupted the call
	single         bool        // the call has one message: the status line determines its outcome
	callDeadline   time.Time   // the zero time for no deadline
}

// awaitSettled waits until the connection has rested for netconn.SettleTime since its last response, or ctx ends.
func (c *conn) awaitSettled(ctx context.Context) {
	if rest := netconn.SettleTime - c.idleFor; c.calls > 0 && rest > 0 {
		retry.Wait(ctx, rest)
	}
}

// drop closes the connection with a reset, because its call is abandoned. The reset discards what was written and has
// not been received by the other side: if the network is cut, it would be delivered when the cut ends, after the
// message has ended.
func (c *conn) drop(registry *metrics.Registry, reason string) {
	registry.CountReason(metrics.ReasonDropped, reason)
	c.detachContext()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // if it fails, Close does not reset the connection
	}
	c.close()
}

// close closes the connection. Errors are ignored, as nothing can be done about them.
func (c *conn) close() { _ = c.Close() }

// beginCall prepares the connection for a call that is interrupted by ctx and has to be written by writeBy.
func (c *conn) beginCall(ctx context.Context, writeBy time.Time, single bool) {
	// If it fails, the write fails as well.
	_ = c.SetWriteDeadline(writeBy)
	_ = c.SetReadDeadline(time.Time{}) // clears the deadline of the previous response
	c.single = single
	c.callDeadline, _ = ctx.Deadline()
	c.detachContext = context.AfterFunc(ctx, func() { _ = c.SetDeadline(expired) })
}

// expectResponse resets the state of the response, after a call of the given length has been written.
func (c *conn) expectResponse(callBytes int) {
	c.calls++
	c.callBytes = callBytes
	c.firstBytes, c.remainingBytes, c.head = c.firstBytes[:0], maxResponse, headCounter{}
}

// Read reads from the connection, up to the maximum size of a response.
func (c *conn) Read(b []byte) (int, error) {
	if c.remainingBytes <= 0 {
		return 0, errResponseTooLong
	}
	n, err := c.Conn.Read(b[:min(len(b), c.remainingBytes)])
	c.remainingBytes -= n
	before := len(c.firstBytes)
	if n > 0 && before == 0 && c.calls > 1 && c.isUnreceived() {
		return 0, errStaleBytes
	}
	c.firstBytes = append(c.firstBytes, b[:min(n, len(deliveredPrefix)+1-len(c.firstBytes))]...)
	if before < len(deliveredPrefix) && c.hasFirstLine() {
		c.firstLineAt = time.Now()
		c.limitTail()
	}
	if !c.head.count(b[:n]) {
		return 0, errResponseTooLong
	}
	return n, err
}

// limitTail bounds the time for the rest of a response whose status line confirms the delivery.
func (c *conn) limitTail() {
	tailBy := c.firstLineAt.Add(responseTailTimeout)
	if c.single && c.isDelivered() && (c.callDeadline.IsZero() || tailBy.Before(c.callDeadline)) {
		_ = c.SetReadDeadline(tailBy) // if it fails, the call's own deadline applies
	}
}

// hasFirstLine reports whether enough has been read to know whether the message is delivered.
func (c *conn) hasFirstLine() bool { return len(c.firstBytes) >= len(deliveredPrefix) }

// isDelivered reports whether the response begins with a status line of 200.
func (c *conn) isDelivered() bool {
	rest, ok := strings.CutPrefix(string(c.firstBytes), deliveredPrefix)
	return ok && strings.Trim(rest, " \r\n") == ""
}

// isAcknowledged reports whether the TCP stack of the other side has acknowledged all that was written.
func (c *conn) isAcknowledged() bool {
	unacknowledged, ok := netconn.UnacknowledgedBytes(c.Conn)
	return ok && unacknowledged == 0
}

// isUnreceived reports whether the TCP stack of the other side is known not to have acknowledged any byte of the
// current call. What arrives by then is no response to it: a response acknowledges the call.
func (c *conn) isUnreceived() bool {
	unacknowledged, ok := netconn.UnacknowledgedBytes(c.Conn)
	return ok && unacknowledged >= c.callBytes
}

// hasStaleBytes reports whether bytes had arrived on a reused connection by the time that its call was written, so that
// they belong to no call. It is called as soon as the call is written. What the other side sends behind a response may
// cross the next call.
func (c *conn) hasStaleBytes() bool {
	if c.calls <= 1 || !netconn.HasUnread(c.Conn) {
		return false
	}
	return c.isUnreceived() || netconn.ReceivedBeforeSent(c.Conn)
}

// headCounter counts the lines of a response's head while it is read.
type headCounter struct {
	lines      int
	lineLength int // bytes of the current line so far
	isComplete bool
}

// count counts the lines in further bytes of a response, up to the end of its head. It returns false if there are more
// than maxHeadLines.
func (h *headCounter) count(read []byte) bool {
	for _, b := range read {
		switch {
		case h.isComplete:
			return true
		case b != '\n' && b != '\r':
			h.lineLength++
		case b == '\n':
			h.lines++
			h.isComplete = h.lineLength == 0
			h.lineLength = 0
		}
	}
	return h.lines <= maxHeadLines
}
