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

// Call is a request as an endpoint received it.
type Call struct {
	ID     string // X-Request-Id
	Key    string // Idempotency-Key
	Body   string
	Header http.Header
	Conn   int // the number of the connection on which it came, from 1
	Path   string
}

// batchPath is the path of calls with several messages.
const batchPath = "/hook/batch"

// Entry is a message of a batch.
type Entry struct {
	ID   string `json:"id"`
	Key  string `json:"key"`
	Body []byte `json:"body"`
}

// Entries reads the messages of a batch, and fails the test for a call that is none.
func (c Call) Entries(t testing.TB) []Entry {
	t.Helper()
	var entries []Entry
	if err := json.Unmarshal([]byte(c.Body), &entries); c.Path != batchPath || err != nil {
		t.Fatalf("%s is no batch: %v %q", c.Path, err, c.Body)
	}
	return entries
}

// Answer is the script of an endpoint. It gets each whole call and the connection to answer on; if it reports false,
// the connection is closed without more.
type Answer func(call Call, conn net.Conn) (goesOn bool)

// Endpoint is an endpoint of a destination.
type Endpoint struct {
	Addr  string
	Calls chan Call

	listener net.Listener
	accepted chan struct{} // closed when no more connections are accepted

	mu    sync.Mutex
	conns []net.Conn
}

// NewEndpoint starts an endpoint. Its connections end with the test; a script that waits for anything else has to be
// released by the test.
func NewEndpoint(t testing.TB, answer Answer) *Endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &Endpoint{
		Addr:     listener.Addr().String(),
		Calls:    make(chan Call, queueSize),
		listener: listener,
		accepted: make(chan struct{}),
	}
	t.Cleanup(e.close)
	go e.accept(answer)
	return e
}

// close ends the listener and all connections.
func (e *Endpoint) close() {
	_ = e.listener.Close()
	e.mu.Lock()
	for _, conn := range e.conns {
		_ = conn.Close()
	}
	e.mu.Unlock()
	<-e.accepted
}

// accept serves each connection in a goroutine of its own until the listener is closed.
func (e *Endpoint) accept(answer Answer) {
	defer close(e.accepted)
	for number := 1; ; number++ {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns = append(e.conns, conn)
		e.mu.Unlock()
		go e.serve(conn, number, answer)
	}
}

// serve answers the calls of one connection, one after another.
func (e *Endpoint) serve(conn net.Conn, number int, answer Answer) {
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
			ID:     request.Header.Get("X-Request-Id"),
			Key:    request.Header.Get("Idempotency-Key"),
			Body:   string(body),
			Header: request.Header,
			Conn:   number,
			Path:   request.URL.Path,
		}
		e.Calls <- call
		if !answer(call, conn) {
			return
		}
	}
}

// Next waits for the next call.
func (e *Endpoint) Next(t testing.TB) Call {
	t.Helper()
	return Receive(t, e.Calls)
}

// Status is a script that gives every call one answer without a body, with further header lines.
func Status(code int, headerLines ...string) func(Call, net.Conn) bool {
	return Text(code, "", headerLines...)
}

// Text is a script that gives every call one answer with a body, with further header lines.
func Text(code int, body string, headerLines ...string) func(Call, net.Conn) bool {
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

// Hang is a script that answers nothing and keeps the connection until its other side closes it.
func Hang(_ Call, conn net.Conn) bool {
	_, _ = io.Copy(io.Discard, conn) // any end will do
	return false
}

// Reset is a script that resets the connection.
func Reset(_ Call, conn net.Conn) bool {
	_ = conn.(*net.TCPConn).SetLinger(0) // fails only if the connection has ended
	return false
}
