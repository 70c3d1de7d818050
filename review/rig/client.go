package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	classStatus  = "vacancy-status"
	classForward = "application-forward"

	mostRetries = 3 // of a message that gets no answer

	answerTimeout = 400 * time.Millisecond // how long a client waits for an answer
)

// deadlines holds the time of each class's messages.
var deadlines = map[string]time.Duration{classStatus: 5 * time.Second, classForward: 28 * time.Second}

// clients stands in for the clients of one sender: they send messages at random times, one at a time on a connection,
// keep their connections, and open further ones when all are busy.
type clients struct {
	world        *world
	sender, addr string
	perSecond    float64
	weights      [destinations]float64 // the destinations' shares of the messages
	statusShare  float64               // of the messages, the others are of classForward
	retries      int                   // how often a message is handed in again that gets no answer

	mu    sync.Mutex
	idle  []*clientConn
	count int
}

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	used   bool // a request has been answered on it
}

// run sends messages until ctx ends.
func (c *clients) run(ctx context.Context) {
	for {
		pause := time.Duration(rand.ExpFloat64() / c.perSecond * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
			go c.submit(c.draw())
		}
	}
}

// draw draws a message.
func (c *clients) draw() *message {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	class := classStatus
	if rand.Float64() >= c.statusShare {
		class = classForward
	}
	id := fmt.Sprintf("%s-%05d", c.sender, c.count)
	return &message{
		id: id, class: class, sender: c.sender,
		destination: c.drawDestination(), deadline: deadlines[class],
	}
}

// drawDestination draws a destination by its share of the clients' messages.
func (c *clients) drawDestination() int {
	position := rand.Float64() * sum(c.weights)
	for n, weight := range c.weights {
		if position -= weight; position < 0 {
			return n
		}
	}
	return destinations - 1
}

// submit hands a message in. One that gets no answer is handed in again at once, under a new id and with the time that
// is left, at most as often as retries says.
func (c *clients) submit(m *message) {
	first, began := *m, time.Now()
	for retry := 1; ; retry++ {
		status, err := c.handIn(m)
		c.world.answered(m, status, problemOf(err))
		left := first.deadline - time.Since(began)
		if status != 0 || retry > c.retries || left <= 0 {
			return
		}
		m = &message{
			id: fmt.Sprintf("%s.%d", first.id, retry), class: first.class, sender: first.sender,
			destination: first.destination, deadline: left.Truncate(time.Millisecond),
		}
	}
}

// handIn hands a message in once. Where the sender has closed a connection between two requests, the request is sent
// once more on a new one.
func (c *clients) handIn(m *message) (status int, err error) {
	conn, err := c.take()
	if err == nil && conn.used {
		status, err := c.exchange(conn, m)
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			return status, err
		}
		if conn, err = c.dial(); err != nil {
			return 0, err
		}
	}
	if err != nil {
		return 0, err
	}
	return c.exchange(conn, m)
}

func problemOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// exchange writes a request and reads its answer.
func (c *clients) exchange(conn *clientConn, m *message) (status int, err error) {
	body, key := "body of "+m.id, ""
	if m.class == classForward {
		key = "Idempotency-Key: key-" + m.id + "\r\n"
	}
	text := fmt.Sprintf("POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Class: %s\r\n"+
		"X-Deadline-Ms: %d\r\n%sContent-Length: %d\r\nX-Addressing: dest=%d\r\n\r\n%s",
		m.id, m.class, m.deadline.Milliseconds(), key, len(body), m.destination, body)
	c.world.handedIn(m)
	if _, err = io.WriteString(conn, text); err != nil {
		_ = conn.Close()
		return 0, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(answerTimeout))
	response, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		_ = conn.Close()
		return 0, err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.Close {
		_ = conn.Close()
	} else {
		c.release(conn)
	}
	return response.StatusCode, nil
}

func (c *clients) dial() (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", c.addr, answerTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// take returns an idle connection, or a new one.
func (c *clients) take() (*clientConn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	return c.dial()
}

func (c *clients) release(conn *clientConn) {
	conn.used = true
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}
