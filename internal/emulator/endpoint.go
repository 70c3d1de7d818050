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

// Behaviour is the way in which an endpoint answers calls.
type Behaviour int

// The behaviours of an endpoint.
const (
	Healthy      Behaviour = iota
	Hanging                // reads calls and answers none
	Failing                // answers 500 at once
	Unavailable            // answers 503 at once
	RateLimiting           // answers 429 with a time to wait
	Resetting              // resets the connection once it has read a complete call
	Malformed              // sends answers that cannot be parsed or are never complete
	Excessive              // delivers, and sends a second copy of the answer or noise behind it
)

const (
	serviceTime     = 15 * time.Millisecond
	rateLimitWait   = 600 * time.Millisecond
	maxHangDuration = time.Minute // an endpoint closes a connection this long after it stopped answering on it
	batchPath       = "/hook/batch"
)

// rateLimitHeader is the header line with the time that a sender has to wait.
var rateLimitHeader = fmt.Sprintf("X-RateLimit-Wait-Ms: %d", rateLimitWait.Milliseconds())

// Endpoint is one of a destination's endpoints. Senders connect to it through proxies, whose preface names the sender.
type Endpoint struct {
	ID          string
	Destination int

	history   *History
	behaviour func() Behaviour
	listener  net.Listener
	calls     atomic.Uint64
	serving   sync.WaitGroup // counts the goroutines that accept and serve connections

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// EndpointSpec describes an endpoint to start.
type EndpointSpec struct {
	ID          string
	Destination int
	Behaviour   func() Behaviour // called for each call, when it has been read
}

// NewEndpoint starts an endpoint on a port of its own at host.
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

// Addr returns the address at which the endpoint listens.
func (e *Endpoint) Addr() string { return e.listener.Addr().String() }

// Close stops the endpoint as if its process had been killed: it closes the listener and resets all connections. It
// waits for the endpoint's goroutines.
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

// batchEntry is one message of a call.
type batchEntry struct {
	ID   string `json:"id"`
	Key  string `json:"key"`
	Body []byte `json:"body"`
}

// endpointCall is one call as an endpoint received it.
type endpointCall struct {
	isBatch  bool
	entries  []batchEntry // exactly one if the call carries no batch
	attempts []*Attempt   // the attempt of each entry
}

// readCall reads one call with its messages.
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

// serve reads the proxy's preface from a connection, and then answers the calls on it, one after another.
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
		connectDelay = 0 // only the first call on a connection was delayed
		if keepOpen := e.answer(conn, r, call); !keepOpen {
			return
		}
	}
}

// endAttempts records how all attempts of a call ended.
func (e *Endpoint) endAttempts(call *endpointCall, end AttemptEnd) {
	for _, a := range call.attempts {
		e.history.EndAttempt(a, end)
	}
}

// write answers a call with a text and reports whether it could be written. It records the end of the attempts first,
// as the sender may react to the text as soon as it is written.
func (e *Endpoint) write(conn net.Conn, call *endpointCall, end AttemptEnd, text string) bool {
	e.endAttempts(call, end)
	_, err := io.WriteString(conn, text)
	return err == nil
}

// reply answers a call with the status in end, a body and header lines, and reports whether it could be written.
func (e *Endpoint) reply(conn net.Conn, call *endpointCall, end AttemptEnd, body string, headers ...string) bool {
	return e.write(conn, call, end, answerText(end.Status, body, headers...))
}

// answer answers a call by the endpoint's current behaviour, and reports whether the connection stays open for further
// calls.
func (e *Endpoint) answer(conn net.Conn, r *bufio.Reader, call *endpointCall) bool {
	noAnswer := AttemptEnd{MayHaveRun: true}
	behaviour := e.behaviour()
	switch behaviour {
	case Hanging:
		awaitClose(conn, r)
		e.endAttempts(call, noAnswer)
		return false
	case Failing:
		return e.reply(conn, call, AttemptEnd{Status: http.StatusInternalServerError, MayHaveRun: true}, "")
	case Unavailable:
		return e.reply(conn, call, AttemptEnd{Status: http.StatusServiceUnavailable}, "")
	case RateLimiting:
		end := AttemptEnd{Status: http.StatusTooManyRequests, RetryAfter: rateLimitWait}
		return e.reply(conn, call, end, "", rateLimitHeader)
	case Resetting:
		e.endAttempts(call, noAnswer)
		reset(conn)
		return false
	case Malformed:
		e.answerMalformed(conn, call)
		awaitClose(conn, r)
		return false
	}
	if closesWithin(conn, r, serviceTime) { // the sender has closed the connection; the endpoint still does the work
		e.endAttempts(call, noAnswer)
		return false
	}
	body := ""
	if call.isBatch {
		body = batchAnswer(call.entries)
	}
	delivered := AttemptEnd{Status: http.StatusOK, MayHaveRun: true}
	if behaviour == Excessive {
		return e.replyWithExcess(conn, r, call, delivered, body)
	}
	return e.reply(conn, call, delivered, body)
}

// answerMalformed sends one of several answers that violate HTTP, chosen by the message's ID. Whichever it sends, the
// endpoint may have done the work.
func (e *Endpoint) answerMalformed(conn net.Conn, call *endpointCall) {
	const incompleteBody = "Content-Length: 4000\r\n\r\nnot so many"
	end := AttemptEnd{MayHaveRun: true}
	var text string
	switch stableHash(call.attempts[0].ID) % 4 {
	case 0: // an incomplete answer with a time to wait, which counts from when its header line arrives
		end.RetryAfter = rateLimitWait
		text = "HTTP/1.1 429 X\r\n" + rateLimitHeader + "\r\n" + incompleteBody
	case 1:
		text = "HTTP/1.1 500 X\r\n" + incompleteBody
	case 2:
		text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 99"
	case 3:
		text = "SSH-2.0-nonsense\r\n"
	}
	e.write(conn, call, end, text)
}

// answerText returns an HTTP response with a body and further header lines.
func answerText(status int, body string, headers ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n", status, len(body))
	for _, header := range headers {
		text += header + "\r\n"
	}
	return text + "\r\n" + body
}

// batchAnswer returns the body of an answer that confirms every message of a batch.
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
		panic(err) // cannot happen: the structs hold only strings
	}
	return string(text)
}

// stableHash returns a hash of an ID that is the same in every run, so that choices by it are repeatable.
func stableHash(id string) uint32 {
	h := fnv.New32a()
	_, _ = io.WriteString(h, id) // writing to a hash never fails
	return h.Sum32()
}

// awaitClose waits until the peer closes the connection or sends more, or maxHangDuration is over.
func awaitClose(conn net.Conn, r *bufio.Reader) {
	limitRead(conn, maxHangDuration)
	_, _ = r.Peek(1) // the way in which the wait ends does not matter
}

// closesWithin reports whether the peer closes the connection before the timeout.
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
