package sendertest

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
)

// Call is an HTTP request as an endpoint received it.
type Call struct {
	ID         string // the header X-Request-Id
	Key        string // the header Idempotency-Key
	Body       string
	Header     http.Header
	ConnNumber int // the number of the connection that carried the call, in order of acceptance, from 1
	Path       string
}

// batchPath is the path of calls that carry a batch of messages.
const batchPath = "/hook/batch"

// BatchEntry is one message of a batch.
type BatchEntry struct {
	ID   string `json:"id"`
	Key  string `json:"key"`
	Body []byte `json:"body"`
}

// Entries returns the messages of a batch. It fails the test if the call does not carry a batch.
func (c Call) Entries(t testing.TB) []BatchEntry {
	t.Helper()
	var entries []BatchEntry
	if err := json.Unmarshal([]byte(c.Body), &entries); c.Path != batchPath || err != nil {
		t.Fatalf("call to %s does not carry a batch: %v, body %q", c.Path, err, c.Body)
	}
	return entries
}

// Handler answers the calls to an endpoint. It receives each call, once that has been read completely, and the
// connection to answer on. It reports whether the endpoint reads a further call from the connection; otherwise the
// endpoint closes the connection.
type Handler func(call Call, conn net.Conn) (keepOpen bool)

// Endpoint stands in for an endpoint of a destination.
type Endpoint struct {
	Addr  string
	Calls chan Call // each call, sent before the handler answers it

	listener   net.Listener
	acceptDone chan struct{} // closed when no more connections are accepted

	mu    sync.Mutex
	conns []net.Conn
}

// NewEndpoint starts an endpoint that answers calls by a handler. Its connections are closed when the test ends. A
// handler that waits for anything but its connection has to be released by the test.
func NewEndpoint(t testing.TB, handler Handler) *Endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &Endpoint{
		Addr:       listener.Addr().String(),
		Calls:      make(chan Call, queueSize),
		listener:   listener,
		acceptDone: make(chan struct{}),
	}
	t.Cleanup(e.close)
	go e.accept(handler)
	return e
}

// close closes the listener and all connections, and waits until accept has returned.
func (e *Endpoint) close() {
	_ = e.listener.Close()
	e.mu.Lock()
	for _, conn := range e.conns {
		_ = conn.Close()
	}
	e.mu.Unlock()
	<-e.acceptDone
}

// accept serves each connection in a goroutine of its own until the listener is closed.
func (e *Endpoint) accept(handler Handler) {
	defer close(e.acceptDone)
	for connNumber := 1; ; connNumber++ {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns = append(e.conns, conn)
		e.mu.Unlock()
		go e.serve(conn, connNumber, handler)
	}
}

// serve answers the calls of one connection, one after another.
func (e *Endpoint) serve(conn net.Conn, connNumber int, handler Handler) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		call := Call{
			ID:         request.Header.Get("X-Request-Id"),
			Key:        request.Header.Get("Idempotency-Key"),
			Body:       string(body),
			Header:     request.Header,
			ConnNumber: connNumber,
			Path:       request.URL.Path,
		}
		e.Calls <- call
		if !handler(call, conn) {
			return
		}
	}
}

// NextCall returns the next call that the endpoint receives. It fails the test if none arrives within Timeout.
func (e *Endpoint) NextCall(t testing.TB) Call {
	t.Helper()
	return Receive(t, e.Calls)
}

// AnswerStatus returns a handler that answers every call with a status and no body. headerLines are added to the
// response.
func AnswerStatus(code int, headerLines ...string) func(Call, net.Conn) bool {
	return AnswerText(code, "", headerLines...)
}

// AnswerText returns a handler that answers every call with a status and a body. headerLines are added to the response.
func AnswerText(code int, body string, headerLines ...string) func(Call, net.Conn) bool {
	text := "HTTP/1.1 " + strconv.Itoa(code) + " X\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n"
	for _, line := range headerLines {
		text += line + "\r\n"
	}
	text += "\r\n" + body
	return func(_ Call, conn net.Conn) bool {
		_, err := io.WriteString(conn, text)
		return err == nil
	}
}

// NeverAnswer is a Handler that answers no call and keeps the connection open until the peer closes it.
func NeverAnswer(_ Call, conn net.Conn) bool {
	_, _ = io.Copy(io.Discard, conn) // the way in which the connection ends does not matter
	return false
}

// ResetConnection is a Handler that resets the connection.
func ResetConnection(_ Call, conn net.Conn) bool {
	_ = conn.(*net.TCPConn).SetLinger(0) // fails only if the connection is closed already
	return false
}
