package endpoint

import (
	"bufio"
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

// userAgent is the name that the sender has had since its first release. Endpoints may know it: it stays.
const userAgent = "saffronyard"

var errEmptyCall = errors.New("no message is left for this call")

// request is a call as it is written.
type request struct {
	text    []byte
	permits []invariant.SendPermit // of its messages
	writeBy time.Time              // its last byte is written by then or never; the zero time for no bound
	batch   *batch                 // nil if nobody else may end it
	single  bool                   // it is a call for one message
}

// requestHead is what differs between the heads of requests. An empty field is left out.
type requestHead struct {
	path, contentType  string
	messageID, key     string
	remainingAtWriting time.Duration
}

// renderRequest is a request's text.
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

// remaining is how long an endpoint is told that its response is waited for, in whole milliseconds: what is left when
// the call is written, as the connection may have taken its time.
func remaining(until time.Time) time.Duration {
	return max(time.Millisecond, time.Until(until).Truncate(time.Millisecond))
}

// exchange is what became of a request.
type exchange struct {
	response *http.Response   // its head has been read; nil if none came that can be read
	conn     *conn            // nil if the request was not written completely
	outcome  dispatch.Outcome // without a response; Served if its first line says so
}

// exchange writes one request, rendered once there is a connection, and reads the head of the response. Without a
// readable response it closes the connection. ctx ends the call, start only until its last byte is written.
func (p *Pool) exchange(
	ctx, start context.Context,
	e *Endpoint,
	render func(address string) (request, error),
) exchange {
	// Nothing has been written yet: however it fails up to the last byte, the call never ran.
	c, err := p.get(start, e)
	if err != nil {
		return exchange{outcome: unwrittenOutcome(ctx, start)}
	}
	req, err := render(c.address)
	if err != nil || start.Err() != nil { // the connection came too late for this call, but a further one may use it
		p.put(e, c)
		return exchange{outcome: unwrittenOutcome(ctx, start)}
	}
	for c.idleFor > 0 && !netconn.IsQuiet(c.Conn) { // what has arrived would be read as the response to this call
		c.close()
		if c, err = p.get(start, e); err != nil {
			return exchange{outcome: unwrittenOutcome(ctx, start)}
		}
	}
	if p.invariants.CheckSend(e.callTarget(), req.permits) != nil {
		p.put(e, c)
		return exchange{outcome: dispatch.NotSent}
	}
	writeBy, _ := start.Deadline()
	if !req.writeBy.IsZero() {
		writeBy = req.writeBy
	}
	c.begin(ctx, writeBy, req.single)
	return p.transmit(ctx, e, c, req)
}

// transmit writes a request on a connection and reads the head of the response.
func (p *Pool) transmit(ctx context.Context, e *Endpoint, c *conn, req request) exchange {
	req.batch.use(c, false)
	defer req.batch.use(nil, false) // before a further call can have the connection
	if _, err := c.Write(req.text); err != nil {
		c.drop(p.metrics, DroppedUnwritten)
		return exchange{outcome: dispatch.ConnectFailed}
	}
	req.batch.use(c, true)
	p.metrics.MessagesForwarded(len(req.permits))
	c.expectResponse()
	response, err := readHead(c.reader) //nolint:bodyclose // the callers read its body with readBody
	if err == nil {
		return exchange{response: response, conn: c}
	}
	c.drop(p.metrics, DroppedUnread)
	switch {
	case c.saysDelivered():
		return exchange{conn: c, outcome: dispatch.Served}
	case c.idleFor > 0 && ctx.Err() == nil && len(c.firstBytes) == 0:
		p.CloseIdle(e, c.idleFor) // those idle for longer were dropped by the other side as well
	}
	return exchange{conn: c, outcome: unreadOutcome(ctx)}
}

// unwrittenOutcome is the outcome of a call that was not written for want of a connection in time.
func unwrittenOutcome(ctx, start context.Context) dispatch.Outcome {
	if ctx.Err() == nil && errors.Is(start.Err(), context.Canceled) {
		return dispatch.NotSent // aborted before it was written
	}
	return dispatch.ConnectFailed
}

// unreadOutcome is the outcome of a call whose response is incomplete: it may have run.
func unreadOutcome(ctx context.Context) dispatch.Outcome {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return dispatch.TimedOut
	case ctx.Err() != nil:
		return dispatch.Cancelled
	}
	return dispatch.ConnectionBroken
}

// readHead reads the head of a response, passing over interim ones.
func readHead(r *bufio.Reader) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(r, &http.Request{Method: http.MethodPost})
		switch {
		case err != nil:
			return nil, err
		case response.ProtoMajor != 1:
			return nil, fmt.Errorf("a response of %s", response.Proto)
		case response.StatusCode >= http.StatusOK:
			return response, nil
		}
	}
}

// readBody reads a response's body, and keeps the connection if it can be used again.
func (p *Pool) readBody(e *Endpoint, c *conn, response *http.Response) (body []byte, isComplete bool) {
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxBody+1))
	isComplete = err == nil && len(body) <= MaxBody
	if !isComplete || response.Close || c.reader.Buffered() > 0 || !c.release() {
		c.drop(p.metrics, DroppedIncomplete)
	} else {
		p.put(e, c)
	}
	return body, isComplete
}
