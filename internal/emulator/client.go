package emulator

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
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	fragmentPause     = 20 * time.Millisecond // between the two parts of a request that is written in parts
	fragmentOneIn     = 8                     // one request in this many is written in two parts
	retryOneIn        = 2                     // one rejected message in this many is submitted again
	maxRetries        = 2                     // of one rejected message
	shortTimeoutOneIn = 12                    // one message in this many has to be delivered within shortTimeout
	shortTimeout      = 120 * time.Millisecond
	idleReuseInterval = 150 * time.Millisecond // between two rounds of messages on the idle connections
	dialTimeout       = time.Second
)

// Clients stands in for the clients of one sender. They submit messages through a proxy, over persistent connections.
type Clients struct {
	history      *History
	parameters   Parameters
	sender       int
	addr         string
	destinations []float64 // each destination's share of the messages
	rate         float64   // messages per second

	exchanges sync.WaitGroup // counts the goroutines of the clients

	mu          sync.Mutex
	accepted    chan struct{} // closed at the next answer that accepts a message; nil if nothing waits for it
	rand        *rand.Rand
	idle        []*clientConn
	lastMessage int
}

// clientConn is a persistent connection of a client.
type clientConn struct {
	net.Conn
	reader  *bufio.Reader
	isFresh bool // no request has been answered on it yet
}

// NewClients returns the clients of one sender, which they reach at addr. They start no goroutine before Run.
func NewClients(h *History, parameters Parameters, sender int, addr string, destinations []float64, rate float64,
	seed uint64) *Clients {
	return &Clients{
		history:      h,
		parameters:   parameters,
		sender:       sender,
		addr:         addr,
		destinations: destinations,
		rate:         rate,
		rand:         rand.New(rand.NewPCG(seed, uint64(sender))),
	}
}

// Run submits messages and connects as bad peers until the context ends, and waits for the answers.
func (c *Clients) Run(ctx context.Context) {
	badPeers := time.NewTicker(badPeerInterval)
	defer badPeers.Stop()
	for {
		select {
		case <-ctx.Done():
			c.Close()
			return
		case <-badPeers.C:
			c.spawn(c.badPeer)
		case <-time.After(c.drawPause()):
			s := c.drawSubmission()
			c.spawn(func() { c.submit(s, 0) })
		}
	}
}

// Close waits until all goroutines of the clients have returned, and closes the idle connections.
func (c *Clients) Close() {
	c.exchanges.Wait()
	c.closeIdle()
}

// UseIdleConnections submits as many messages as there are idle connections, again every idleReuseInterval until the
// context ends.
func (c *Clients) UseIdleConnections(ctx context.Context) {
	for {
		c.mu.Lock()
		idle := len(c.idle)
		c.mu.Unlock()
		for range idle {
			s := c.drawSubmission()
			c.spawn(func() { c.submit(s, 0) })
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(idleReuseInterval):
		}
	}
}

// spawn runs an exchange in a goroutine that Close waits for.
func (c *Clients) spawn(exchange func()) {
	c.exchanges.Add(1)
	go func() {
		defer c.exchanges.Done()
		exchange()
	}()
}

// chance reports, by a draw, whether an event happens that has a probability of 1/oneIn.
func (c *Clients) chance(oneIn int) bool { return c.drawIntN(oneIn) == 0 }

// drawIntN draws a number from 0 to n-1.
func (c *Clients) drawIntN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rand.IntN(n)
}

// drawPause draws the time until the next message. The submissions are a Poisson process.
func (c *Clients) drawPause() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.rand.ExpFloat64() / c.rate * float64(time.Second))
}

// drawSubmission draws a new message.
func (c *Clients) drawSubmission() Submission {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastMessage++
	position, destination := c.rand.Float64(), 0
	for destination < len(c.destinations)-1 && position >= c.destinations[destination] {
		position -= c.destinations[destination]
		destination++
	}
	s := Submission{
		ID:          fmt.Sprintf("m%d-%d", c.sender, c.lastMessage),
		Class:       Class(c.rand.IntN(len(classNames))),
		Destination: destination,
		Sender:      c.sender,
	}
	s.Key = "k" + s.ID
	s.DeliveryTimeout = deliveryTimeouts[s.Class]
	if c.rand.IntN(shortTimeoutOneIn) == 0 {
		s.DeliveryTimeout = shortTimeout
	}
	return s
}

// submit submits a message. If the sender rejects it, a draw decides whether it is submitted again, up to maxRetries
// times, under a new ID and with the same key, after the wait that the answer asks for.
func (c *Clients) submit(s Submission, retries int) {
	a := c.exchange(s)
	rejected := a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests
	if !rejected || retries >= maxRetries || !c.chance(retryOneIn) {
		return
	}
	time.Sleep(a.retryAfter)
	original, _, _ := strings.Cut(s.ID, ".")
	s.ID = fmt.Sprintf("%s.%d", original, retries+1)
	c.submit(s, retries+1)
}

// answer is a sender's answer to a client. The zero value means that there was no answer.
type answer struct {
	status     int
	closes     bool // the sender closes the connection after it
	retryAfter time.Duration
}

var errNotWritten = errors.New("the request could not be written completely")

// exchange submits a message once. The sender may close an idle connection just as the request is written to it. The
// request is then written once more, on a new connection.
func (c *Clients) exchange(s Submission) answer {
	for try := 0; ; try++ {
		conn, err := c.acquire(try > 0)
		if err != nil {
			return answer{} // no process listens, so the message reaches no sender
		}
		a, err := c.roundTrip(conn, s)
		switch {
		case err == nil:
			c.history.RecordAnswer(s.ID, a.status)
			c.signalAccepted(a.status)
			if a.closes {
				closeQuietly(conn)
			} else {
				c.release(conn)
			}
			return a
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.history.RecordTimeout(s.ID)
			closeQuietly(conn)
			return answer{}
		case !conn.isFresh && try == 0:
			closeQuietly(conn)
			continue
		case conn.isFresh && !errors.Is(err, errNotWritten):
			c.history.RecordClose(s.ID, err)
		}
		closeQuietly(conn)
		return answer{}
	}
}

// nextAccepted returns a channel that is closed at the next answer that accepts a message.
func (c *Clients) nextAccepted() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.accepted == nil {
		c.accepted = make(chan struct{})
	}
	return c.accepted
}

// signalAccepted wakes the goroutines that wait for an accepted message, if the status accepts one.
func (c *Clients) signalAccepted(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.accepted != nil && status == http.StatusAccepted {
		close(c.accepted)
		c.accepted = nil
	}
}

// messageBody returns the body of a message.
func messageBody(s Submission) string { return "body of " + s.Key }

// requestText returns the HTTP request that submits a message.
func requestText(s Submission, body string) string {
	text := fmt.Sprintf("POST /api HTTP/1.1\r\nHost: backend.local\r\n"+
		"X-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\nX-Addressing: dest=%d\r\n",
		s.ID, s.Class, s.DeliveryTimeout.Milliseconds(), len(body), s.Destination)
	if s.Class == IdempotentByKey {
		text += "Idempotency-Key: " + s.Key + "\r\n"
	}
	return text + "\r\n" + body
}

// roundTrip writes a request, records the submission, and reads the answer. One request in fragmentOneIn is written in
// two parts.
func (c *Clients) roundTrip(conn *clientConn, s Submission) (answer, error) {
	text := requestText(s, messageBody(s))
	if c.chance(fragmentOneIn) {
		at := 1 + c.drawIntN(len(text)-1)
		if _, err := io.WriteString(conn, text[:at]); err != nil {
			return answer{}, errNotWritten
		}
		time.Sleep(fragmentPause)
		text = text[at:]
	}
	s.SentAt, s.FreshConnection = c.history.Now(), conn.isFresh
	c.history.RecordSubmission(s)
	if _, err := io.WriteString(conn, text); err != nil {
		return answer{}, errNotWritten
	}
	limitRead(conn, c.parameters.AnswerTimeout)
	response, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return answer{}, err
	}
	a := answer{status: response.StatusCode, closes: response.Close}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return a, nil
}

// acquire returns an idle connection, or opens a new one if there is none or the connection has to be fresh.
func (c *Clients) acquire(fresh bool) (*clientConn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 && !fresh {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", c.addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn), isFresh: true}, nil
}

// release makes a connection available for the next message.
func (c *Clients) release(conn *clientConn) {
	conn.isFresh = false
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

// closeIdle closes the idle connections.
func (c *Clients) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		closeQuietly(conn)
	}
	c.idle = nil
}
