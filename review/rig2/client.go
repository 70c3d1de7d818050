package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answerTimeout is how long a client waits for the answer to its message (protocol).
const answerTimeout = 400 * time.Millisecond

// message is a message that a client hands in.
type message struct {
	id, class, key string
	destination    int
	deadline       time.Duration
	body           string

	sentAt     time.Time // its last byte was written
	answeredAt time.Time // the answer was read
	status     int       // 0 for none
	failure    string    // why there is no answer
}

// takenOn reports whether the client has heard that the message is taken on.
func (m *message) takenOn() bool { return m.status == http.StatusAccepted || m.status == http.StatusOK }

// text returns the message's request.
func (m *message) text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\n", m.id)
	fmt.Fprintf(&text, "X-Class: %s\r\n", m.class)
	fmt.Fprintf(&text, "X-Deadline-Ms: %d\r\nX-Addressing: dest=%d\r\n", m.deadline.Milliseconds(), m.destination)
	if m.key != "" {
		fmt.Fprintf(&text, "Idempotency-Key: %s\r\n", m.key)
	}
	fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(m.body), m.body)
	return text.String()
}

// submit hands a message in on a new connection, waits for the answer as clients do, and closes the connection.
func (m *message) submit(rec *recorder, addr string) {
	conn, err := net.DialTimeout("tcp", addr, answerTimeout)
	if err != nil {
		m.failure = "cannot connect: " + err.Error()
		rec.printf("client: %s cannot connect", m.id)
		return
	}
	defer conn.Close()
	m.submitOn(rec, conn, bufio.NewReader(conn))
}

// submitOn hands a message in on an open connection.
func (m *message) submitOn(rec *recorder, conn net.Conn, reader *bufio.Reader) {
	if _, err := io.WriteString(conn, m.text()); err != nil {
		m.failure = "cannot write: " + err.Error()
		rec.printf("client: %s cannot be written", m.id)
		return
	}
	m.sentAt = time.Now()
	_ = conn.SetReadDeadline(m.sentAt.Add(answerTimeout))
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		m.failure = "no answer: " + err.Error()
		rec.printAt(m.sentAt, "client: %s sent; no answer (%v)", m.id, err)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	m.answeredAt, m.status = time.Now(), response.StatusCode
	rec.printAt(m.sentAt, "client: %s (%s, dest %d, %v) sent; answer %d after %v", m.id, m.class, m.destination,
		m.deadline, m.status, m.answeredAt.Sub(m.sentAt).Round(time.Millisecond))
}
