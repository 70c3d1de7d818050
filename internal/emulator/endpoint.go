package emulator

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Behaviour is how an endpoint answers calls at a time.
type Behaviour int

// The behaviours of an endpoint.
const (
	Healthy      Behaviour = iota
	Hanging                // accepts calls and answers none
	Failing                // answers 500 at once
	Unavailable            // answers 503 at once
	RateLimiting           // answers 429 with a wait
	Resetting              // resets the connection once it has read a complete call
	Malformed              // sends answers that cannot be parsed, or never end
)

const (
	serviceTime   = 15 * time.Millisecond
	rateLimitWait = 600 * time.Millisecond
	longestHang   = time.Minute // a connection on which nothing is answered is given up after this
	batchPath     = "/hook/batch"
)

// rateLimitHeader is the header line by which an endpoint tells a sender to wait.
var rateLimitHeader = fmt.Sprintf("X-RateLimit-Wait-Ms: %d", rateLimitWait.Milliseconds())

// Endpoint is one of a destination's endpoints. Its connections come through proxies, whose preface says which sender
// they are from.
type Endpoint struct {
	ID          string
	Destination int

	history   *History
	behaviour func() Behaviour
	listener  net.Listener
	calls     atomic.Uint64
	serving   sync.WaitGroup // the goroutines that accept and serve

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// EndpointSpec says which endpoint to start.
type EndpointSpec struct {
	ID          string
	Destination int
	Behaviour   func() Behaviour // asked at each call
}

// NewEndpoint starts an endpoint at host.
func NewEndpoint(host string, h *History, spec EndpointSpec) (*Endpoint, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	e := &Endpoint{
		ID:          spec.ID,
		Destination: spec.Destination,
		history:     h,
		behaviour:   spec.Behaviour,
		listener:    listener,
		conns:       map[net.Conn]bool{},
	}
	e.serving.Add(1)
	go func() {
		defer e.serving.Done()
		e.accept()
	}()
	return e, nil
}

// Addr is where it listens.
func (e *Endpoint) Addr() string { return e.listener.Addr().String() }

// Close ends it as a process that dies, and waits for its goroutines.
func (e *Endpoint) Close() {
	closeQuietly(e.listener)
	e.mu.Lock()
	e.closed = true
	for conn := range e.conns {
		reset(conn)
	}
	e.mu.Unlock()
	e.serving.Wait()
}

// accept serves each connection in a goroutine of its own until the listener is closed.
func (e *Endpoint) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if e.closed {
			reset(conn)
		}
		e.conns[conn] = true
		e.mu.Unlock()
		e.serving.Add(1)
		go func() {
			defer e.serving.Done()
			e.serve(conn)
			closeQuietly(conn)
			e.mu.Lock()
			delete(e.conns, conn)
			e.mu.Unlock()
		}()
	}
}

// batchEntry is a message of a batch.
type batchEntry struct {
	ID   string `json:"id"`
	Key  string `json:"key"`
	Body []byte `json:"body"`
}

// endpointCall is one call as an endpoint reads it.
type endpointCall struct {
	isBatch  bool
	entries  []batchEntry // one unless it is a batch
	attempts []*Attempt   // one for each entry
}

// readCall reads the messages of one call.
func readCall(r *bufio.Reader) (*endpointCall, error) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, err
	}
	if request.URL.Path == batchPath {
		call := &endpointCall{isBatch: true}
		return call, json.Unmarshal(body, &call.entries)
	}
	return &endpointCall{entries: []batchEntry{{
		ID:   request.Header.Get("X-Request-Id"),
		Key:  request.Header.Get("Idempotency-Key"),
		Body: body,
	}}}, nil
}

// serve answers the calls of one connection, one after another.
func (e *Endpoint) serve(conn net.Conn) {
	r := bufio.NewReader(conn)
	line, err := r.ReadString('\n')
	if err != nil {
		return
	}
	sender, connectDelay, err := parsePreface(line)
	if err != nil {
		return
	}
	for {
		call, err := readCall(r)
		if err != nil {
			return
		}
		number := e.calls.Add(1)
		for _, entry := range call.entries {
			call.attempts = append(call.attempts, e.history.BeginAttempt(Attempt{
				ID:           entry.ID,
				Endpoint:     e.ID,
				Destination:  e.Destination,
				Sender:       sender,
				Body:         string(entry.Body),
				Call:         number,
				ConnectDelay: connectDelay,
			}))
		}
		connectDelay = 0 // that was the first call
		if goesOn := e.answer(conn, r, call); !goesOn {
			return
		}
	}
}

// end records how all attempts of a call ended.
func (e *Endpoint) end(call *endpointCall, end AttemptEnd) {
	for _, a := range call.attempts {
		e.history.EndAttempt(a, end)
	}
}

// write ends a call with a text and reports whether it could be written. What was written may be read at once, so
// the end is recorded first.
func (e *Endpoint) write(conn net.Conn, call *endpointCall, end AttemptEnd, text string) bool {
	e.end(call, end)
	_, err := io.WriteString(conn, text)
	return err == nil
}

// reply ends a call with an answer of the end's status and reports whether it could be written.
func (e *Endpoint) reply(conn net.Conn, call *endpointCall, end AttemptEnd, body string, headers ...string) bool {
	return e.write(conn, call, end, answerText(end.Status, body, headers...))
}

// answer behaves as the endpoint has to at the time and reports whether the connection goes on.
func (e *Endpoint) answer(conn net.Conn, r *bufio.Reader, call *endpointCall) bool {
	lost := AttemptEnd{MayHaveRun: true}
	switch e.behaviour() {
	case Hanging:
		awaitClose(conn, r)
		e.end(call, lost)
		return false
	case Failing:
		return e.reply(conn, call, AttemptEnd{Status: http.StatusInternalServerError, MayHaveRun: true}, "")
	case Unavailable:
		return e.reply(conn, call, AttemptEnd{Status: http.StatusServiceUnavailable}, "")
	case RateLimiting:
		end := AttemptEnd{Status: http.StatusTooManyRequests, RetryAfter: rateLimitWait}
		return e.reply(conn, call, end, "", rateLimitHeader)
	case Resetting:
		e.end(call, lost)
		reset(conn)
		return false
	case Malformed:
		e.answerMalformed(conn, call)
		awaitClose(conn, r)
		return false
	}
	if closesWithin(conn, r, serviceTime) { // the sender has gone, and the work goes on
		e.end(call, lost)
		return false
	}
	body := ""
	if call.isBatch {
		body = batchAnswer(call.entries)
	}
	return e.reply(conn, call, AttemptEnd{Status: http.StatusOK, MayHaveRun: true}, body)
}

// answerMalformed sends one of several answers that break the protocol. The call may have run whichever it is.
func (e *Endpoint) answerMalformed(conn net.Conn, call *endpointCall) {
	const endless = "Content-Length: 4000\r\n\r\nnot so many"
	end := AttemptEnd{MayHaveRun: true}
	var text string
	switch stableHash(call.attempts[0].ID) % 4 {
	case 0: // a wait in an answer that never ends: the wait counts from its header line on
		end.RetryAfter = rateLimitWait
		text = "HTTP/1.1 429 X\r\n" + rateLimitHeader + "\r\n" + endless
	case 1:
		text = "HTTP/1.1 500 X\r\n" + endless
	case 2:
		text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 99"
	case 3:
		text = "SSH-2.0-nonsense\r\n"
	}
	e.write(conn, call, end, text)
}

// answerText is an answer with a body and further header lines.
func answerText(status int, body string, headers ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n", status, len(body))
	for _, header := range headers {
		text += header + "\r\n"
	}
	return text + "\r\n" + body
}

// batchAnswer is the body that reports every message of a batch as done.
func batchAnswer(entries []batchEntry) string {
	type state struct {
		ID    string `json:"id"`
		State string `json:"state"`
	}
	var states []state
	for _, entry := range entries {
		states = append(states, state{ID: entry.ID, State: "ok"})
	}
	text, err := json.Marshal(states)
	if err != nil {
		panic(err) // strings only: it cannot fail
	}
	return string(text)
}

// stableHash makes a choice that stays the same when a run is repeated.
func stableHash(id string) uint32 {
	h := fnv.New32a()
	_, _ = io.WriteString(h, id) // a hash never fails to write
	return h.Sum32()
}

// awaitClose waits until the other side ends the connection.
func awaitClose(conn net.Conn, r *bufio.Reader) {
	limitRead(conn, longestHang)
	_, _ = r.Peek(1) // any end will do
}

// closesWithin reports whether the other side ends the connection within a time.
func closesWithin(conn net.Conn, r *bufio.Reader, timeout time.Duration) bool {
	limitRead(conn, timeout)
	defer unlimitRead(conn)
	_, err := r.Peek(1)
	if err == nil {
		return false
	}
	var netError net.Error
	return !errors.As(err, &netError) || !netError.Timeout()
}
