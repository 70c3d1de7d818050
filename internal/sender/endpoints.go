package sender

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/endpointlist"
	"onyxdyke.example/onyxdyke/internal/invariant"
	"onyxdyke.example/onyxdyke/internal/journal"
	"onyxdyke.example/onyxdyke/internal/metrics"
	"onyxdyke.example/onyxdyke/internal/netconn"
)

// Calls are written and read here on connections of our own rather than through http.Transport: whether a
// call may have run hangs on whether its last byte was written, which the Transport cannot tell for sure,
// and it repeats a request by itself when a reused connection breaks. Here one call is one write.

// endpoint is a line of the list and the connections to it.
type endpoint struct {
	number dispatch.EndpointID
	id     string
	zone   int
	most   int // messages in one call
	listed bool
	target endpointlist.Endpoint // as last told

	mu      sync.Mutex
	addr    string
	idle    []*conn         // the one used last at the end
	drained time.Time       // since when it drains or is gone, the zero time while it serves
	scope   invariant.Scope // what a wait told by it binds
}

// callTarget is what the invariants need to know of a call's endpoint.
func (e *endpoint) callTarget() invariant.Target {
	e.mu.Lock()
	defer e.mu.Unlock()
	return invariant.Target{ID: e.id, DrainedAt: e.drained, Scope: e.scope}
}

// Why a connection to an endpoint was closed with its call.
const (
	droppedRecalled   = "recalled"   // a message of its call has ended, and the bytes may not have arrived
	droppedUnwritten  = "unwritten"  // the call could not be written whole
	droppedUnread     = "unread"     // no head of an answer came that can be read
	droppedIncomplete = "incomplete" // the answer did not come whole, ends the connection, or has bytes behind it
)

// maxAnswer bounds an answer, head and body: an endpoint may send nonsense without an end.
const maxAnswer = maxBody + 64<<10

// restTime is how long the rest of an answer may take whose first line has told all that there is to know. What comes with it
// is of use only to the connection, and meanwhile the message's end is not booked, and its slot not free.
const restTime = 500 * time.Millisecond

var errTooLong = errors.New("the answer has no end")

// served is how an answer begins from which on the message is delivered, whatever becomes of the rest.
const served = "HTTP/1.1 200"

// item is a message's part in a call.
type batchItem struct {
	journal.Record
	message     *message
	attempt     int
	permit      invariant.SendPermit
	timeout     time.Duration
	startWithin time.Duration // it is not written later than this
	startBy     time.Time     // the same as a time
	lastAttempt bool          // its time is up with the time-out: it will not be sent again
	call        *batchCall    // of its call
	state       *atomic.Int32 // undecided, aboard or left out: the bytes may have to wait for a connection, and its time be up first
}

// Whether an item goes along in its call's bytes or ends before they are written is settled by who comes first.
const (
	itemUndecided int32 = iota
	itemWritten
	itemExcluded
)

func (it batchItem) markWritten() bool { return it.state.CompareAndSwap(itemUndecided, itemWritten) }
func (it batchItem) exclude() bool     { return it.state.CompareAndSwap(itemUndecided, itemExcluded) }

// carriage is the connection that a call is out on, until it is answered.
type batchCall struct {
	figures *metrics.Registry
	mu      sync.Mutex
	conn    *conn
	written bool
}

func (w *batchCall) set(c *conn, written bool) {
	if w != nil {
		w.mu.Lock()
		w.conn, w.written = c, written
		w.mu.Unlock()
	}
}

// recall abandons the call unless all of it has arrived: of a message that has ended nothing may arrive any more.
func (w *batchCall) abandon() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn != nil && !(w.written && w.conn.arrived()) {
		w.conn.drop(w.figures, droppedRecalled)
	}
}

// callEnd is how a call ended for some of its messages.
type callEndedEvent struct {
	ends     []attemptEnd
	callDone bool // the call itself has ended, too
}

type attemptEnd struct {
	message *message
	attempt int
	dispatch.AttemptResult
}

// request renders one call.
func request(addr, path, contentType string, m journal.Record, body []byte, told time.Duration) ([]byte, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("User-Agent", "saffronyard")
	if m.ID != "" {
		req.Header.Set("X-Request-Id", m.ID)
	}
	if m.Key != "" {
		req.Header.Set("Idempotency-Key", m.Key)
	}
	if contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(told.Milliseconds(), 10))
	var out bytes.Buffer
	err = req.Write(&out)
	return out.Bytes(), err
}

// waits is how long an endpoint is told that it is waited for, in whole milliseconds: what is left when the call is
// written, as the connection may have taken its time.
func waits(until time.Time) time.Duration {
	return max(time.Millisecond, time.Until(until).Truncate(time.Millisecond))
}

// call makes one attempt with one message and says how it ended. It never makes a second one: an endpoint
// counts each call whose last byte has come. ctx ends it early, its deadline being the time-out; begin does until the
// last byte is written. An answer that begins after the time told in the call is late, however soon it is found that the
// time-out is up: the endpoint's side has given the call up, and does not take the message as delivered.
func (p *pool) call(ctx, begin context.Context, e *endpoint, it batchItem, timeout time.Duration) dispatch.AttemptResult {
	end, until := dispatch.AttemptResult{Endpoint: e.number}, time.Now().Add(timeout)
	resp, c, outcome := p.exchange(ctx, begin, e, func(addr string) (rendered, error) {
		told := waits(until)
		until = time.Now().Add(told)
		out, err := request(addr, "/hook", "", it.Record, it.Body, told)
		return rendered{text: out, permits: []invariant.SendPermit{it.permit}, alone: true}, err
	})
	if c != nil {
		end.ConnectionIdle = c.idle
	}
	late := c != nil && len(c.first) >= len(served) && !c.told.Before(until)
	if resp == nil {
		if late {
			outcome = dispatch.TimedOut
		}
		end.Outcome, end.Final = outcome, outcome == dispatch.Served
		return end
	}
	waitsUntil := p.read(e, resp, c, &end)
	// A first line of 200 is true whatever follows, if it comes in time. Any other answer counts only if it comes whole: that a call
	// never ran is not to be taken from half an answer.
	_, whole := p.rest(e, c, resp)
	if !waitsUntil.IsZero() {
		end.RetryAfter = max(0, time.Until(waitsUntil))
	}
	switch {
	case late:
		end = dispatch.AttemptResult{Endpoint: e.number, Outcome: dispatch.TimedOut, RetryAfter: end.RetryAfter, ConnectionIdle: end.ConnectionIdle}
	case !whole && end.Outcome != dispatch.Served:
		end = dispatch.AttemptResult{Endpoint: e.number, Outcome: unread(ctx), RetryAfter: end.RetryAfter, ConnectionIdle: end.ConnectionIdle}
	}
	return end
}

// part is a message in a call that several share.
type batchEntry struct {
	ID   string `json:"id"`
	Key  string `json:"key,omitempty"`
	Body []byte `json:"body"`
}

// callMany makes one attempt with several messages, which share its fate unless the answer tells each one's. Those
// that have ended before it is written are left out.
func (p *pool) callMany(ctx, begin context.Context, e *endpoint, items []batchItem, timeout time.Duration) []dispatch.AttemptResult {
	ends, unsent := make([]dispatch.AttemptResult, len(items)), dispatch.NotSent
	all := func(end dispatch.AttemptResult) []dispatch.AttemptResult {
		for i := range ends {
			if ends[i] = end; items[i].state.Load() != itemWritten {
				ends[i] = dispatch.AttemptResult{Endpoint: e.number, Outcome: unsent}
			}
		}
		return ends
	}
	end, until := dispatch.AttemptResult{Endpoint: e.number}, time.Now().Add(timeout)
	resp, c, outcome := p.exchange(ctx, begin, e, func(addr string) (rendered, error) {
		var parts []batchEntry
		var permits []invariant.SendPermit
		var by time.Time
		for _, it := range items {
			if !it.markWritten() {
				continue
			}
			if it.Body == nil {
				it.Body = []byte{}
			}
			parts, permits = append(parts, batchEntry{it.ID, it.Key, it.Body}), append(permits, it.permit)
			if by.IsZero() || it.startBy.Before(by) {
				by = it.startBy
			}
		}
		if len(parts) == 0 {
			return rendered{}, errNobody
		}
		body, err := json.Marshal(parts)
		if err != nil {
			return rendered{}, err
		}
		told := waits(until)
		until = time.Now().Add(told)
		out, err := request(addr, "/hook/batch", "application/json", journal.Record{}, body, told)
		return rendered{text: out, permits: permits, by: by, way: items[0].call}, err
	})
	if c != nil {
		end.ConnectionIdle = c.idle
	}
	if resp == nil {
		if outcome == dispatch.Served { // a first line alone tells of no message how it fared
			outcome = dispatch.ConnectionBroken
		}
		if end.Outcome = outcome; c == nil {
			unsent = outcome
		}
		return all(end)
	}
	waitsUntil := p.read(e, resp, c, &end)
	body, whole := p.rest(e, c, resp)
	if !waitsUntil.IsZero() {
		end.RetryAfter = max(0, time.Until(waitsUntil))
	}
	switch {
	case !time.Now().Before(until): // here the whole answer counts, so all of it has to come in time
		return all(dispatch.AttemptResult{Endpoint: e.number, Outcome: dispatch.TimedOut, RetryAfter: end.RetryAfter, ConnectionIdle: end.ConnectionIdle})
	case !whole:
		return all(dispatch.AttemptResult{Endpoint: e.number, Outcome: unread(ctx), RetryAfter: end.RetryAfter, ConnectionIdle: end.ConnectionIdle})
	case resp.StatusCode == http.StatusOK:
	case resp.StatusCode == http.StatusBadRequest || resp.StatusCode == http.StatusRequestEntityTooLarge:
		end.Outcome = dispatch.NotSent // by the protocol none of them has run
		return all(end)
	default:
		return all(end)
	}
	var told []struct {
		ID    string `json:"id"`
		State string `json:"state"`
	}
	end.Outcome, end.Final = dispatch.Errored, false // what the answer leaves open may have run
	all(end)
	if json.Unmarshal(body, &told) != nil {
		return ends
	}
	states := make(map[string]string, len(told))
	for _, t := range told {
		if state, twice := states[t.ID]; twice && state != t.State {
			t.State = "" // nobody knows which is true: it may have run
		}
		states[t.ID] = t.State
	}
	for i, it := range items {
		if it.state.Load() != itemWritten {
			continue
		}
		switch states[it.ID] {
		case "ok":
			ends[i].Outcome, ends[i].Final = dispatch.Served, true
		case "later":
			ends[i].Outcome = dispatch.Rejected
		case "gone":
			ends[i].Outcome, ends[i].Final = dispatch.NotSent, true
		case "exhausted":
			ends[i].Outcome = dispatch.NotSent
		}
	}
	return ends
}

// rendered is a call as it is written.
type rendered struct {
	text    []byte
	permits []invariant.SendPermit // of its messages
	by      time.Time              // its last byte is written by then or never; the zero time for no bound
	way     *batchCall             // nil if nobody else may end it
	alone   bool                   // it is a call for one message
}

var errNobody = errors.New("no message is left for this call")

// exchange writes one request, rendered once there is a connection, and reads the head of its answer. Without an answer that can be read it closes
// the connection, which it returns if the request was written, and tells the outcome: Served if the first line
// says so.
func (p *pool) exchange(ctx, begin context.Context, e *endpoint, render func(addr string) (rendered, error)) (*http.Response, *conn, dispatch.Outcome) {
	// Nothing has been written yet: however it fails up to the last byte, the call never ran.
	c, err := p.get(begin, e)
	if err != nil {
		return nil, nil, unbegun(ctx, begin)
	}
	out, err := render(c.addr)
	if err != nil || begin.Err() != nil { // the connection has come too late for this call, but a further one may use it
		p.put(e, c)
		return nil, nil, unbegun(ctx, begin)
	}
	for c.idle > 0 && !netconn.IsQuiet(c.Conn) { // what has come since it was taken would be read as the answer to this call
		c.Close()
		if c, err = p.get(begin, e); err != nil {
			return nil, nil, unbegun(ctx, begin)
		}
	}
	if p.invariants.CheckSend(e.callTarget(), out.permits) != nil {
		p.put(e, c)
		return nil, nil, dispatch.NotSent
	}
	by, _ := begin.Deadline()
	if !out.by.IsZero() {
		by = out.by
	}
	c.SetWriteDeadline(by)
	c.SetReadDeadline(time.Time{}) // of the answer before
	c.alone = out.alone
	c.until, _ = ctx.Deadline()
	c.stop = context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	out.way.set(c, false)
	defer out.way.set(nil, false) // before a further call can have the connection
	if _, err = c.Write(out.text); err != nil {
		c.drop(p.metrics, droppedUnwritten)
		return nil, nil, dispatch.ConnectFailed
	}
	out.way.set(c, true)
	p.forwarded(len(out.permits))
	c.calls++
	c.first, c.room = c.first[:0], maxAnswer
	resp, err := answer(c.r)
	if err == nil {
		return resp, c, 0
	}
	c.drop(p.metrics, droppedUnread)
	switch {
	case c.saysServed():
		return nil, c, dispatch.Served
	case c.idle > 0 && ctx.Err() == nil && len(c.first) == 0:
		p.closeIdle(e, c.idle) // those idle for longer were dropped by the other side as well
	}
	return nil, c, unread(ctx)
}

// unbegun is the outcome of a call that was not written for want of a connection in time.
func unbegun(ctx, begin context.Context) dispatch.Outcome {
	if ctx.Err() == nil && errors.Is(begin.Err(), context.Canceled) {
		return dispatch.NotSent // withheld
	}
	return dispatch.ConnectFailed
}

// unread is the outcome of a call whose answer did not come whole: it may have run.
func unread(ctx context.Context) dispatch.Outcome {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return dispatch.TimedOut
	case ctx.Err() != nil:
		return dispatch.Cancelled
	}
	return dispatch.ConnectionBroken
}

// rest reads an answer's body, whole or not, and keeps the connection if it can be used again.
func (p *pool) rest(e *endpoint, c *conn, resp *http.Response) (body []byte, whole bool) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	whole = err == nil && len(body) <= maxBody
	if !whole || resp.Close || c.r.Buffered() > 0 || !c.stop() {
		c.drop(p.metrics, droppedIncomplete)
	} else {
		p.put(e, c)
	}
	return body, whole
}

// answer reads a response, passing over interim ones.
func answer(r *bufio.Reader) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(r, &http.Request{Method: http.MethodPost})
		switch {
		case err != nil:
			return nil, err
		case resp.ProtoMajor != 1:
			return nil, fmt.Errorf("an answer of %s", resp.Proto)
		case resp.StatusCode >= 200:
			return resp, nil
		}
	}
}

// read translates an answer. Where it tells a wait and its rest is still to come, the wait is passed on at once, and its end
// returned; else that is the zero time.
func (p *pool) read(e *endpoint, resp *http.Response, c *conn, end *dispatch.AttemptResult) (waitsUntil time.Time) {
	switch resp.StatusCode {
	case http.StatusOK:
		end.Outcome, end.Final = dispatch.Served, true
	case http.StatusTooManyRequests:
		end.Outcome = dispatch.Rejected
	case http.StatusServiceUnavailable:
		end.Outcome = dispatch.Rejected
		switch {
		case resp.Header.Get("X-Over-Slots") == "1":
			end.Outcome = dispatch.NotSent
		case c.calls == 1 && resp.Close:
			// An endpoint with all the connections that it takes turns a further one away like this. It says
			// nothing of the destination's limit; to the module it is a connect that failed.
			end.Outcome = dispatch.ConnectFailed
		}
	case http.StatusGatewayTimeout:
		end.Outcome = dispatch.NotSent
	case http.StatusGone:
		end.Outcome, end.Final = dispatch.NotSent, true
	default:
		end.Outcome = dispatch.Errored
	}
	if ms, err := strconv.ParseFloat(resp.Header.Get("X-RateLimit-Wait-Ms"), 64); err == nil && ms > 0 && ms < 1e9 {
		end.RetryAfter = time.Duration(ms * float64(time.Millisecond))
		e.mu.Lock()
		scope := e.scope
		e.mu.Unlock()
		p.invariants.RetryAfterReceived(scope, end.RetryAfter)
		if resp.ContentLength < 0 || resp.ContentLength > int64(c.r.Buffered()) {
			waitsUntil = time.Now().Add(end.RetryAfter)
			p.waitTold(e, end.RetryAfter)
		}
	}
	report := map[string]float64{}
	for _, part := range strings.Split(resp.Header.Get("X-Load"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if v, err := strconv.ParseFloat(value, 64); err == nil && slices.Contains(p.fields, name) {
			report[name] = v
		}
	}
	end.QuotaLeft, end.HasLoadReport = report["x0"]
	end.RateLimit = report["x1"]
	return waitsUntil
}
