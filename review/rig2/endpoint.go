package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// call is a call that an endpoint received.
type call struct {
	endpoint *endpoint
	ids      []string
	batch    bool
	begun    time.Time // its first byte was read
	at       time.Time // its last byte was read
}

// answer is what an endpoint does with a call.
type answer struct {
	never  bool          // it takes the call and never answers
	after  time.Duration // it answers after this time
	status int
	waitMS int  // with X-RateLimit-Wait-Ms
	close  bool // it closes the connection with the answer

	whileOpen bool   // it drops the call when the sender closes the connection
	ended     func() // is called when the call is over; may be nil
}

// endpoint stands in for an endpoint of a destination.
type endpoint struct {
	entry  listEntry
	rec    *recorder
	handle func(*call) answer

	mu        sync.Mutex
	calls     []*call
	delivered map[string]time.Time // when the answer 200 was written, by message
}

// newEndpoint starts an endpoint of destination 0, which takes calls at a rate from all senders together.
func newEndpoint(rec *recorder, id string, rate float64, handle func(*call) answer) (*endpoint, error) {
	listener, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	entry := listEntry{
		ID: id, Addr: listener.Addr().String(), Zone: "bangna-dc", Kind: smallEmployer, State: serving,
		Weight: rate,
	}
	e := &endpoint{entry: entry, rec: rec, handle: handle, delivered: map[string]time.Time{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e, nil
}

// serve serves a connection, one call after another.
func (e *endpoint) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		c := &call{endpoint: e, begun: time.Now()}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		c.at = time.Now()
		c.batch = request.URL.Path == "/hook/batch"
		c.ids = []string{request.Header.Get("X-Request-Id")}
		if c.batch {
			var items []struct{ ID string }
			if json.Unmarshal(body, &items) != nil {
				return
			}
			c.ids = nil
			for _, item := range items {
				c.ids = append(c.ids, item.ID)
			}
		}
		e.mu.Lock()
		e.calls = append(e.calls, c)
		e.mu.Unlock()
		e.rec.printAt(c.at, "endpoint %s: call %s", e.entry.ID, strings.Join(c.ids, ","))
		if !e.respond(conn, reader, c) {
			return
		}
	}
}

// respond answers a call, and reports whether the connection stays open.
func (e *endpoint) respond(conn net.Conn, reader *bufio.Reader, c *call) bool {
	a := e.handle(c)
	if a.ended != nil {
		defer a.ended()
	}
	if a.whileOpen && !staysOpen(conn, reader, a.after) {
		return false
	}
	if a.never {
		_, _ = reader.Peek(1) // until the sender ends the call
		return false
	}
	if !a.whileOpen {
		time.Sleep(a.after)
	}
	var text strings.Builder
	body := ""
	if c.batch && a.status == http.StatusOK {
		var states []map[string]string
		for _, id := range c.ids {
			states = append(states, map[string]string{"id": id, "state": "ok"})
		}
		encoded, _ := json.Marshal(states)
		body = string(encoded)
	}
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", a.status, http.StatusText(a.status), len(body))
	if a.waitMS > 0 {
		fmt.Fprintf(&text, "X-RateLimit-Wait-Ms: %d\r\n", a.waitMS)
	}
	if a.close {
		text.WriteString("Connection: close\r\n")
	}
	text.WriteString("\r\n" + body)
	_, err := io.WriteString(conn, text.String())
	at := time.Now()
	if err != nil {
		return false
	}
	e.rec.printAt(at, "endpoint %s: answers %d to %s", e.entry.ID, a.status, strings.Join(c.ids, ","))
	if a.status == http.StatusOK {
		e.mu.Lock()
		for _, id := range c.ids {
			if _, known := e.delivered[id]; !known {
				e.delivered[id] = at
			}
		}
		e.mu.Unlock()
	}
	return !a.close
}

// staysOpen waits, and reports whether the sender has kept the connection open.
func staysOpen(conn net.Conn, reader *bufio.Reader, wait time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	_, err := reader.Peek(1)
	_ = conn.SetReadDeadline(time.Time{})
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// deliveredAt returns when a message was delivered here.
func (e *endpoint) deliveredAt(id string) (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, ok := e.delivered[id]
	return at, ok
}

// received returns the calls so far.
func (e *endpoint) received() []*call {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*call(nil), e.calls...)
}
