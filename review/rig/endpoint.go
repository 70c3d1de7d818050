package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// endpoint stands in for one endpoint of a destination. It answers each call with 200 after its service time, or, while
// it hangs, takes calls and answers none.
type endpoint struct {
	world       *world
	id          string
	destination int
	listener    net.Listener
	hangs       atomic.Bool
}

func newEndpoint(w *world, id string, destination int) (*endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{world: w, id: id, destination: destination, listener: listener}
	go e.accept()
	return e, nil
}

func (e *endpoint) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(conn)
	}
}

// serve answers the calls on a connection, one after another.
func (e *endpoint) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !e.answer(conn, reader, request) {
			return
		}
	}
}

// answer handles one call and reports whether the connection goes on.
func (e *endpoint) answer(conn net.Conn, reader *bufio.Reader, request *http.Request) bool {
	if request.URL.Path != "/hook" {
		return reply(conn, http.StatusNotFound) == nil
	}
	c, m := e.world.arrived(e.id, request.Header.Get("X-Request-Id"), e.destination)
	if c == nil {
		return reply(conn, http.StatusBadRequest) == nil
	}
	if e.world.now() > m.sentAt+m.deadline {
		return e.end(conn, c, http.StatusGone)
	}
	service := minService + time.Duration(rand.ExpFloat64()*float64(meanService))
	if e.hangs.Load() {
		service = time.Hour
	}
	if endsWithin(conn, reader, service) {
		e.world.ended(c, 0)
		return false
	}
	return e.end(conn, c, http.StatusOK)
}

// end answers a call.
func (e *endpoint) end(conn net.Conn, c *call, status int) bool {
	e.world.ended(c, status)
	return reply(conn, status) == nil
}

func reply(conn net.Conn, status int) error {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
	return err
}

// endsWithin reports whether the sender ends its connection within a time.
func endsWithin(conn net.Conn, reader *bufio.Reader, d time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(d))
	defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	_, err := reader.Peek(1)
	var timeout net.Error
	return err != nil && (!errors.As(err, &timeout) || !timeout.Timeout())
}
