package endpoint

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/invariant"
	"onyxdyke.example/onyxdyke/internal/netconn"
)

// userAgent is the name of the sender since its first release. Endpoints may depend on it, so it must not change.
const userAgent = "saffronyard"

var errEmptyCall = errors.New("all messages of the call ended before it was written")

// request is a call in the form in which it is written.
type request struct {
	text    []byte
	permits []invariant.SendPermit // the send permits of its messages
	writeBy time.Time              // after this time it is not written any more; the zero time for no bound
	batch   *batch                 // nil for a call that is ended by its context only
	single  bool                   // it has one message, and is not a batch
}

// requestHead holds the fields in which the heads of requests differ. An empty field is left out.
type requestHead struct {
	path, contentType  string
	messageID, key     string
	remainingAtWriting time.Duration
}

// renderRequest returns the text of a request.
func renderRequest(address string, head requestHead, body []byte) ([]byte, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+head.path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("User-Agent", userAgent)
	if head.messageID != "" {
		req.Header.Set("X-Request-Id", head.messageID)
	}
	if head.key != "" {
		req.Header.Set("Idempotency-Key", head.key)
	}
	if head.contentType != "" {
		req.Header.Set("Content-Type", head.contentType)
	}
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(head.remainingAtWriting.Milliseconds(), 10))
	var text bytes.Buffer
	err = req.Write(&text)
	return text.Bytes(), err
}

// remaining returns the time for the X-Deadline-Ms header: how long the sender still waits for the response, in whole
// milliseconds. It is computed when the call is written, because opening the connection may have taken a while.
func remaining(until time.Time) time.Duration {
	return max(time.Millisecond, time.Until(until).Truncate(time.Millisecond))
}

// exchange is the result of writing a request and reading the head of its response.
type exchange struct {
	response *http.Response   // its head has been read; nil if no valid one was received
	conn     *conn            // nil if the request was not written completely
	outcome  dispatch.Outcome // set if response is nil; Served if the status line confirms the delivery
}

// roundTrip writes one request, which is rendered once there is a connection, and reads the head of the response. If
// there is no valid head, it closes the connection. ctx ends the call at any time, startCtx only until its last byte is
// written.
func (p *Pool) roundTrip(
	ctx, startCtx context.Context,
	e *Endpoint,
	render func(address string) (request, error),
) exchange {
	// Until the last byte is written, the call has not run, whatever fails.
	c, err := p.get(startCtx, e)
	if err != nil {
		return exchange{outcome: unwrittenOutcome(ctx, startCtx)}
	}
	c.awaitSettled(startCtx)
	req, err := render(c.address)
	if err != nil || startCtx.Err() != nil { // the connection is too late for this call, but a later call may use it
		p.put(e, c)
		return exchange{outcome: unwrittenOutcome(ctx, startCtx)}
	}
	for c.idleFor > 0 && !netconn.ReadWouldBlock(c.Conn) { // otherwise stale bytes would be read as the response
		c.close()
		if c, err = p.get(startCtx, e); err != nil {
			return exchange{outcome: unwrittenOutcome(ctx, startCtx)}
		}
	}
	if p.invariants.CheckSend(e.callTarget(), req.permits) != nil {
		p.put(e, c)
		return exchange{outcome: dispatch.NotSent}
	}
	writeBy, _ := startCtx.Deadline()
	if !req.writeBy.IsZero() {
		writeBy = req.writeBy
	}
	c.beginCall(ctx, writeBy, req.single)
	return p.transmit(ctx, e, c, req)
}

// transmit writes a request on a connection and reads the head of the response.
func (p *Pool) transmit(ctx context.Context, e *Endpoint, c *conn, req request) exchange {
	req.batch.setConn(c, false)
	defer req.batch.setConn(nil, false) // runs before another call can use the connection
	if _, err := c.Write(req.text); err != nil {
		c.drop(p.metrics, DroppedUnwritten)
		return exchange{outcome: dispatch.ConnectFailed}
	}
	req.batch.setConn(c, true)
	p.metrics.MessagesForwarded(len(req.permits))
	c.expectResponse(len(req.text))
	if c.hasStaleBytes() {
		c.drop(p.metrics, DroppedStale)
		return exchange{conn: c, outcome: unreadOutcome(ctx)}
	}
	response, err := readHead(c) //nolint:bodyclose // the callers read its body with readBody or skipBody
	if err == nil {
		return exchange{response: response, conn: c}
	}
	c.drop(p.metrics, unreadReason(err))
	switch {
	case c.isDelivered():
		return exchange{conn: c, outcome: dispatch.Served}
	case c.idleFor > 0 && ctx.Err() == nil && len(c.firstBytes) == 0:
		p.CloseIdle(e, c.idleFor) // those idle for longer have been dropped by the other side as well
	}
	return exchange{conn: c, outcome: unreadOutcome(ctx)}
}

// unreadReason returns the reason for which a connection is closed if no valid head of a response could be read.
func unreadReason(err error) string {
	if errors.Is(err, errStaleBytes) {
		return DroppedStale
	}
	return DroppedUnread
}

// unwrittenOutcome returns the outcome of a call for which no connection was ready in time, or that was aborted before
// it was written.
func unwrittenOutcome(ctx, startCtx context.Context) dispatch.Outcome {
	if ctx.Err() == nil && errors.Is(startCtx.Err(), context.Canceled) {
		return dispatch.NotSent // aborted before it was written
	}
	return dispatch.ConnectFailed
}

// unreadOutcome returns the outcome of a call whose response is incomplete: the call may have run.
func unreadOutcome(ctx context.Context) dispatch.Outcome {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return dispatch.TimedOut
	case ctx.Err() != nil:
		return dispatch.Cancelled
	}
	return dispatch.ConnectionBroken
}

// readHead reads the head of a response and skips interim (1xx) responses.
func readHead(c *conn) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
		switch {
		case err != nil:
			return nil, err
		case response.ProtoMajor != 1:
			return nil, fmt.Errorf("unexpected protocol %s in the response", response.Proto)
		case response.StatusCode >= http.StatusOK:
			return response, nil
		}
		c.head.isComplete = false // the next head follows
	}
}

// readBody reads a response's body, and keeps the connection if it can be used again.
func (p *Pool) readBody(e *Endpoint, c *conn, response *http.Response) (body []byte, isComplete bool) {
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxBody+1))
	return body, p.endResponse(e, c, response, int64(len(body)), err)
}

// skipBody is like readBody for a response whose body means nothing, and does not hold it.
func (p *Pool) skipBody(e *Endpoint, c *conn, response *http.Response) (isComplete bool) {
	length, err := io.Copy(io.Discard, io.LimitReader(response.Body, MaxBody+1))
	return p.endResponse(e, c, response, length, err)
}

// endResponse keeps the connection of a response whose body has been read, if it can be used again, and reports whether
// the response is complete.
func (p *Pool) endResponse(e *Endpoint, c *conn, response *http.Response, length int64, err error) (isComplete bool) {
	isComplete = err == nil && length <= MaxBody
	if !isComplete || response.Close || c.reader.Buffered() > 0 || !c.detachContext() {
		c.drop(p.metrics, DroppedIncomplete)
	} else {
		p.put(e, c)
	}
	return isComplete
}
