package emulator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Behaviour is how an endpoint takes calls at a time.
type Behaviour int

// The behaviours of an endpoint.
const (
	Healthy     Behaviour = iota
	Hanging            // takes calls and answers none
	Failing            // answers 500 at once
	Unavailable               // answers 503 at once
	RateLimiting           // answers 429 with a wait
	Resetting           // resets the connection behind a whole call
	Malformed           // answers that cannot be read, or never end
)

const (
	serviceTime = 15 * time.Millisecond
	rateLimitWait    = 600 * time.Millisecond
)

// Endpoint is one of a destination's. Its connections come through proxies, which say whose they are.
type Endpoint struct {
	ID          string
	Destination int
	AcceptsBatches      bool // takes calls with several messages

	ledger    *History
	behaviour func() Behaviour
	listener  net.Listener
	calls     atomic.Uint64
	mu        sync.Mutex
	conns     map[net.Conn]bool
	closed      bool
}

// NewEndpoint starts an endpoint at host that asks at each call how to behave.
func NewEndpoint(host string, l *History, id string, destination int, shares bool, behaviour func() Behaviour) (*Endpoint, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	e := &Endpoint{ID: id, Destination: destination, AcceptsBatches: shares, ledger: l, behaviour: behaviour, listener: listener, conns: map[net.Conn]bool{}}
	go e.accept()
	return e, nil
}

// Addr is where it listens.
func (e *Endpoint) Addr() string { return e.listener.Addr().String() }

// Close ends it as a process that dies.
func (e *Endpoint) Close() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for c := range e.conns {
		reset(c)
	}
}

func (e *Endpoint) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if e.closed {
			reset(c)
		}
		e.conns[c] = true
		e.mu.Unlock()
		go func() {
			e.serve(c)
			c.Close()
			e.mu.Lock()
			delete(e.conns, c)
			e.mu.Unlock()
		}()
	}
}

// part is a message of a shared call.
type batchEntry struct {
	ID   string `json:"id"`
	Key  string `json:"key"`
	Body []byte `json:"body"`
}

// readCall reads the messages of one call.
func readCall(r *bufio.Reader) (path string, parts []batchEntry, err error) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return "", nil, err
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return "", nil, err
	}
	if request.URL.Path == "/hook/batch" {
		err = json.Unmarshal(body, &parts)
		return request.URL.Path, parts, err
	}
	return request.URL.Path, []batchEntry{{request.Header.Get("X-Request-Id"), request.Header.Get("Idempotency-Key"), body}}, nil
}

func (e *Endpoint) serve(c net.Conn) {
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	if err != nil {
		return
	}
	sender, held := 0, int64(0)
	if _, err := fmt.Sscanf(line, "sender %d %d", &sender, &held); err != nil {
		return
	}
	heldFor := time.Duration(held) * time.Microsecond
	for {
		path, parts, err := readCall(r)
		if err != nil {
			return
		}
		var attempts []*Attempt
		call := e.calls.Add(1)
		for _, p := range parts {
			attempts = append(attempts, e.ledger.BeginAttempt(Attempt{ID: p.ID, Endpoint: e.ID, Destination: e.Destination, Sender: sender, Body: string(p.Body), Call: call, ConnectDelay: heldFor}))
		}
		heldFor = 0 // that was the first call
		if !e.answer(c, r, path, parts, attempts) {
			return
		}
	}
}

// answer behaves as it has to and reports whether the connection goes on.
func (e *Endpoint) answer(c net.Conn, r *bufio.Reader, path string, parts []batchEntry, attempts []*Attempt) bool {
	end := func(status int, mayRun bool, wait time.Duration) {
		for _, a := range attempts {
			e.ledger.EndAttempt(a, status, mayRun, wait)
		}
	}
	write := func(status int, mayRun bool, wait time.Duration, text string) bool {
		// What was written may be read at once: the books come first.
		end(status, mayRun, wait)
		_, err := io.WriteString(c, text)
		return err == nil
	}
	switch e.behaviour() {
	case Hanging:
		awaitClose(c, r)
		end(0, true, 0)
		return false
	case Failing:
		return write(500, true, 0, answerText(500, ""))
	case Unavailable:
		return write(503, false, 0, answerText(503, ""))
	case RateLimiting:
		return write(429, false, rateLimitWait, answerText(429, "", fmt.Sprintf("X-RateLimit-Wait-Ms: %d", rateLimitWait.Milliseconds())))
	case Resetting:
		end(0, true, 0)
		reset(c)
		return false
	case Malformed:
		return e.answerMalformed(c, r, attempts, write)
	}
	if closesWithin(c, r, serviceTime) { // the sender has gone, and the work goes on
		end(0, true, 0)
		return false
	}
	if path == "/hook/batch" {
		return write(200, true, 0, answerText(200, batchAnswer(parts)))
	}
	return write(200, true, 0, answerText(200, ""))
}

// babble answers with one of several texts that break the protocol. All of them may have run.
func (e *Endpoint) answerMalformed(c net.Conn, r *bufio.Reader, attempts []*Attempt, write func(int, bool, time.Duration, string) bool) bool {
	const endless = "Content-Length: 4000\r\n\r\nnot so many"
	switch hash(attempts[0].ID) % 4 {
	case 0: // a wait whose answer never ends: the wait counts from its line on
		write(0, true, rateLimitWait, fmt.Sprintf("HTTP/1.1 429 X\r\nX-RateLimit-Wait-Ms: %d\r\n%s", rateLimitWait.Milliseconds(), endless))
	case 1:
		write(0, true, 0, "HTTP/1.1 500 X\r\n"+endless)
	case 2:
		write(0, true, 0, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 99")
	case 3:
		write(0, true, 0, "SSH-2.0-nonsense\r\n")
	}
	awaitClose(c, r)
	return false
}

func answerText(status int, body string, headers ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n", status, len(body))
	for _, h := range headers {
		text += h + "\r\n"
	}
	return text + "\r\n" + body
}

func batchAnswer(parts []batchEntry) string {
	type state struct {
		ID    string `json:"id"`
		State string `json:"state"`
	}
	var states []state
	for _, p := range parts {
		states = append(states, state{p.ID, "ok"})
	}
	text, _ := json.Marshal(states) // strings only: it cannot fail
	return string(text)
}

// hash makes a choice that stays the same when a run is repeated.
func hash(id string) uint32 {
	h := fnv.New32a()
	io.WriteString(h, id)
	return h.Sum32()
}

// waitForEnd waits until the other side ends the connection.
func awaitClose(c net.Conn, r *bufio.Reader) {
	c.SetReadDeadline(time.Now().Add(time.Minute))
	r.Peek(1)
}

// endsWithin reports whether the other side ends the connection within a time.
func closesWithin(c net.Conn, r *bufio.Reader, d time.Duration) bool {
	c.SetReadDeadline(time.Now().Add(d))
	defer c.SetReadDeadline(time.Time{})
	_, err := r.Peek(1)
	timeout, ok := err.(net.Error)
	return err != nil && !(ok && timeout.Timeout())
}
