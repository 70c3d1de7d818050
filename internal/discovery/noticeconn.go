package discovery

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"onyxdyke.example/onyxdyke/internal/netconn"
	"onyxdyke.example/onyxdyke/internal/retry"
)

const (
	noticesPath        = "/v1/notices"
	noticesContentType = "application/x-ndjson"
	// maxNoticeResponse is the maximum size of the response to a call with notices, head and body, in bytes.
	maxNoticeResponse = 64 << 10
)

// errNoticesNotAccepted is returned, wrapped together with the status, for an answer to notices with a status other
// than 204.
var errNoticesNotAccepted = errors.New("the platform did not accept the notices")

// errStaleBytes is returned if what has arrived on a connection is no answer to the call that has been written on it.
var errStaleBytes = errors.New("bytes that belong to no call arrived while the call was written")

// expired is a deadline that has passed: it interrupts reads and writes at once.
var expired = time.Unix(1, 0)

// dialError is the error of a connection that could not be opened.
type dialError struct{ err error }

func (e *dialError) Error() string { return "connect to the platform: " + e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// noticeConn is a connection to the platform that carries one call with notices at a time.
type noticeConn struct {
	net.Conn
	address  string
	response *io.LimitedReader // bounds the response to the current call
	reader   *bufio.Reader     // reads from response
	usedAt   time.Time         // when the last call was answered; the zero time if there was none
}

// newNoticeConn returns a noticeConn on an open connection to an address.
func newNoticeConn(address string, conn net.Conn) *noticeConn {
	response := &io.LimitedReader{R: conn}
	return &noticeConn{Conn: conn, address: address, response: response, reader: bufio.NewReader(response)}
}

// post makes one call with notices, which ctx interrupts. It returns nil if the platform has accepted them, and reports
// whether the connection can be used for another call.
func (c *noticeConn) post(ctx context.Context, lines []byte) (isReusable bool, err error) {
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline) // if it fails, the write or the read fails as well
	}
	detach := context.AfterFunc(ctx, func() { _ = c.SetDeadline(expired) })
	c.awaitSettled(ctx)
	status, isComplete, err := c.roundTrip(lines)
	isReusable = detach() && isComplete
	switch {
	case err != nil:
		return false, fmt.Errorf("post notices: %w", err)
	case status != http.StatusNoContent:
		return isReusable, fmt.Errorf("%w: status %d", errNoticesNotAccepted, status)
	}
	return isReusable, nil
}

// roundTrip writes a call and reads the response. isComplete is set if nothing but the response has been received and
// the platform keeps the connection open.
func (c *noticeConn) roundTrip(lines []byte) (status int, isComplete bool, err error) {
	text, err := renderNotices(c.address, lines)
	if err != nil {
		return 0, false, err
	}
	if _, err := c.Write(text); err != nil {
		return 0, false, err
	}
	c.response.N = maxNoticeResponse
	if err := c.awaitResponse(len(text)); err != nil {
		return 0, false, err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, false, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	isComplete = err == nil && !response.Close && c.reader.Buffered() == 0
	c.usedAt = time.Now()
	return response.StatusCode, isComplete, nil
}

// awaitSettled waits until the connection has rested for netconn.SettleTime since its last answer, or ctx ends.
func (c *noticeConn) awaitSettled(ctx context.Context) {
	if rest := netconn.SettleTime - time.Since(c.usedAt); rest > 0 {
		retry.Wait(ctx, rest)
	}
}

// awaitResponse waits until something arrives after a call has been written. It returns errStaleBytes if that is no
// answer to the call: because it is there already, or because the platform has not acknowledged the call yet. In doubt
// the notices are posted once more, which does no harm, while one that is wrongly taken for accepted would be lost.
func (c *noticeConn) awaitResponse(callBytes int) error {
	isReused := !c.usedAt.IsZero()
	if isReused && netconn.HasUnread(c.Conn) {
		return errStaleBytes
	}
	if _, err := c.reader.Peek(1); err != nil {
		return err
	}
	if unacknowledged, ok := netconn.UnacknowledgedBytes(c.Conn); isReused && ok && unacknowledged >= callBytes {
		return errStaleBytes
	}
	return nil
}

// renderNotices returns the text of a call with notices.
func renderNotices(address string, lines []byte) ([]byte, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+noticesPath, bytes.NewReader(lines))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", noticesContentType)
	var text bytes.Buffer
	err = request.Write(&text)
	return text.Bytes(), err
}

// noticePool opens connections for notices, and keeps one idle connection to each address. It is safe for concurrent
// use.
type noticePool struct {
	reserved *connectionReserve

	mu   sync.Mutex
	idle map[string]*noticeConn // by address
}

func newNoticePool(reserved *connectionReserve) *noticePool {
	return &noticePool{reserved: reserved, idle: map[string]*noticeConn{}}
}

// getOpen returns a connection to an address that is open already, or opens one.
func (p *noticePool) getOpen(ctx context.Context, address string) (*noticeConn, error) {
	if c := p.takeIdle(address); c != nil {
		return c, nil
	}
	if conn := p.reserved.take(address); conn != nil {
		go p.reserved.refill()
		return newNoticeConn(address, conn), nil
	}
	return p.getNew(ctx, address)
}

// getNew opens a connection to an address. If that fails, it returns a reserved connection, which may be unresponsive.
func (p *noticePool) getNew(ctx context.Context, address string) (*noticeConn, error) {
	conn, err := p.reserved.dial(ctx, "tcp", address)
	if err == nil {
		return newNoticeConn(address, conn), nil
	}
	if c := p.getDistrusted(address); c != nil {
		return c, nil
	}
	return nil, &dialError{err}
}

// getAny returns a connection to an address that is open already, even one that may be unresponsive, or opens one.
func (p *noticePool) getAny(ctx context.Context, address string) (*noticeConn, error) {
	if c := p.getDistrusted(address); c != nil {
		return c, nil
	}
	return p.getNew(ctx, address)
}

// getDistrusted returns a reserved connection to an address, even one that may be unresponsive, or nil if there is
// none.
func (p *noticePool) getDistrusted(address string) *noticeConn {
	conn := p.reserved.take(address)
	if conn == nil {
		conn = p.reserved.takeDistrusted(address)
	}
	if conn == nil {
		return nil
	}
	return newNoticeConn(address, conn)
}

// takeIdle removes the idle connection to an address and returns it, or nil if there is none that can be used.
func (p *noticePool) takeIdle(address string) *noticeConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.idle[address]
	delete(p.idle, address)
	if c != nil && !netconn.ReadWouldBlock(c.Conn) {
		_ = c.Close() // the platform has closed it, or has sent what belongs to no call
		return nil
	}
	return c
}

// put keeps a connection for a further call, in place of the one that is idle.
func (p *noticePool) put(c *noticeConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if previous := p.idle[c.address]; previous != nil {
		_ = previous.Close() // its calls have been answered
	}
	p.idle[c.address] = c
}

// distrust closes the idle connection to an address, and avoids the connections to it that are in reserve now: one
// connection to the address was not answered in time, and the others may be unresponsive as well.
func (p *noticePool) distrust(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.idle[address]; c != nil {
		_ = c.Close() // its calls have been answered
		delete(p.idle, address)
	}
	p.reserved.distrust(address)
}

// close closes the idle connections.
func (p *noticePool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.idle {
		_ = c.Close() // its calls have been answered
		delete(p.idle, address)
	}
}
