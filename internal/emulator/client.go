package emulator

import (
	"bufio"
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

// Clients hand messages in to one sender, through a proxy, and keep their connections.
type Clients struct {
	ledger       *History
	rules        Rules
	sender       int
	addr         string
	destinations []float64 // weight of each
	rate         float64   // messages a second

	mu    sync.Mutex
	accepted chan struct{} // closed at the next answer that takes a message on; nil for none
	rand  *rand.Rand
	idle  []*clientConn
	lastMessage  int
	exchanges   sync.WaitGroup
}

// clientConn is a connection that a client keeps.
type clientConn struct {
	net.Conn
	reader     *bufio.Reader
	isFresh bool // nothing has been answered on it yet
}

const (
	fragmentPause     = 20 * time.Millisecond // between the parts of a request that comes in pieces
	fragmentOneIn     = 8
	retryOneIn     = 2 // refused messages that are handed in again
	maxRetries    = 2
	shortTimeoutOneIn     = 12 // messages with very little time
	shortTimeout      = 120 * time.Millisecond
	idleReuseInterval     = 150 * time.Millisecond
	badPeerInterval    = 700 * time.Millisecond
	badPeerReleaseTime    = 3 * time.Second
	badPeerPatience = 4 * time.Second
)

// NewClients prepares the clients of one sender.
func NewClients(l *History, rules Rules, sender int, addr string, destinations []float64, rate float64, seed uint64) *Clients {
	return &Clients{ledger: l, rules: rules, sender: sender, addr: addr, destinations: destinations, rate: rate,
		rand: rand.New(rand.NewPCG(seed, uint64(sender)))}
}

// Run hands messages in until stop is closed, and waits for their answers.
func (c *Clients) Run(stop <-chan struct{}) {
	bad := time.NewTicker(badPeerInterval)
	defer bad.Stop()
	for {
		c.mu.Lock()
		pause := time.Duration(c.rand.ExpFloat64() / c.rate * float64(time.Second))
		c.mu.Unlock()
		select {
		case <-stop:
			c.exchanges.Wait()
			c.closeIdle()
			return
		case <-bad.C:
			c.spawn(c.badPeer)
		case <-time.After(pause):
			s := c.drawSubmission()
			c.spawn(func() { c.submit(s, 0) })
		}
	}
}

// UseAll hands a message in on each connection that is open and idle, again and again until stop is closed.
func (c *Clients) UseIdleConnections(stop <-chan struct{}) {
	for {
		c.mu.Lock()
		idle := len(c.idle)
		c.mu.Unlock()
		for range idle {
			s := c.drawSubmission()
			c.spawn(func() { c.submit(s, 0) })
		}
		select {
		case <-stop:
			return
		case <-time.After(idleReuseInterval):
		}
	}
}

func (c *Clients) spawn(f func()) {
	c.exchanges.Add(1)
	go func() { defer c.exchanges.Done(); f() }()
}

func (c *Clients) chance(oneIn int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rand.IntN(oneIn) == 0
}

// draw makes a new message.
func (c *Clients) drawSubmission() Submission {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastMessage++
	at, destination := c.rand.Float64(), 0
	for destination < len(c.destinations)-1 && at >= c.destinations[destination] {
		at -= c.destinations[destination]
		destination++
	}
	s := Submission{ID: fmt.Sprintf("m%d-%d", c.sender, c.lastMessage), Effect: Effect(c.rand.IntN(3)), Destination: destination, Sender: c.sender}
	s.Key = "k" + s.ID
	s.DeliveryTimeout = deliveryTimeouts[s.Effect]
	if c.rand.IntN(shortTimeoutOneIn) == 0 {
		s.DeliveryTimeout = shortTimeout
	}
	return s
}

// handIn hands a message in, and again after refusals.
func (c *Clients) submit(s Submission, retries int) {
	status, hold := c.exchange(s)
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests || retries >= maxRetries || !c.chance(retryOneIn) {
		return
	}
	time.Sleep(hold)
	s.ID = fmt.Sprintf("%s.%d", strings.SplitN(s.ID, ".", 2)[0], retries+1)
	c.submit(s, retries+1)
}

var errNotWritten = errors.New("the request could not be written whole")

// exchange hands a message in once and returns the answer's status, 0 for none, and for how long to stay away.
func (c *Clients) exchange(s Submission) (status int, hold time.Duration) {
	for try := 0; ; try++ {
		conn, err := c.acquire(try > 0)
		if err != nil {
			return 0, 0 // nobody listens: the message goes to no sender
		}
		resp, err := c.roundTrip(conn, s)
		switch {
		case err == nil:
			c.ledger.RecordAnswer(s.ID, resp.StatusCode)
			c.noteAnswer(resp.StatusCode)
			seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			if resp.Close {
				conn.Close()
			} else {
				c.release(conn)
			}
			return resp.StatusCode, time.Duration(seconds * float64(time.Second))
		case errors.Is(err, os.ErrDeadlineExceeded): // it waits no longer
			c.ledger.RecordTimeout(s.ID)
			conn.Close()
			return 0, 0
		case !conn.isFresh && try == 0: // the close crossed the request: it is written once more
			conn.Close()
			continue
		case conn.isFresh && !errors.Is(err, errNotWritten):
			c.ledger.RecordClose(s.ID, err)
		}
		conn.Close()
		return 0, 0
	}
}

// atNextAnswer is closed at the next answer that takes a message on.
func (c *Clients) nextAccepted() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.accepted == nil {
		c.accepted = make(chan struct{})
	}
	return c.accepted
}

func (c *Clients) noteAnswer(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.accepted != nil && status == http.StatusAccepted {
		close(c.accepted)
		c.accepted = nil
	}
}

// bodyOf is the body of a message.
func messageBody(s Submission) string { return "body of " + s.Key }

func requestText(s Submission, body string) string {
	text := fmt.Sprintf("POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline-Ms: %d\r\n"+
		"Content-Length: %d\r\nX-Addressing: dest=%d\r\n", s.ID, s.Effect, s.DeliveryTimeout.Milliseconds(), len(body), s.Destination)
	if s.Effect == IdempotentByKey {
		text += "Idempotency-Key: " + s.Key + "\r\n"
	}
	return text + "\r\n" + body
}

// ask writes a request, some in pieces, and reads its answer.
func (c *Clients) roundTrip(conn *clientConn, s Submission) (*http.Response, error) {
	text := requestText(s, messageBody(s))
	if c.chance(fragmentOneIn) {
		c.mu.Lock()
		at := 1 + c.rand.IntN(len(text)-1)
		c.mu.Unlock()
		if _, err := io.WriteString(conn, text[:at]); err != nil {
			return nil, errNotWritten
		}
		time.Sleep(fragmentPause)
		text = text[at:]
	}
	s.SentAt, s.FreshConnection = c.ledger.Now(), conn.isFresh
	c.ledger.RecordSubmission(s)
	if _, err := io.WriteString(conn, text); err != nil {
		return nil, errNotWritten
	}
	conn.SetReadDeadline(time.Now().Add(c.rules.AnswerTimeout))
	resp, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		return nil, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return nil, err
	}
	return resp, nil
}

// get takes an idle connection, or opens one.
func (c *Clients) acquire(fresh bool) (*clientConn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 && !fresh {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn), isFresh: true}, nil
}

func (c *Clients) release(conn *clientConn) {
	conn.isFresh = false
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

func (c *Clients) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}

// badPeers is what peers send that hand in nothing.
var badPeerPayloads = map[string]string{
	"silent":    "",
	"half head": "POST /api HTTP/1.1\r\nX-Request-",
	"half body": "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: bad\r\nX-Class: safe\r\nX-Deadline-Ms: 500\r\nX-Addressing: dest=0\r\nContent-Length: 50\r\n\r\nten bytes.",
	"garbage":   "\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
}

// badPeer connects, sends something that is no request, and waits to be let go of.
func (c *Clients) badPeer() {
	c.mu.Lock()
	kind := []string{"silent", "half head", "half body", "garbage"}[c.rand.IntN(len(badPeerPayloads))]
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	peer := BadPeer{Sender: c.sender, Kind: kind, OpenedAt: c.ledger.Now()}
	io.WriteString(conn, badPeerPayloads[kind])
	conn.SetReadDeadline(time.Now().Add(badPeerPatience))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		peer.ReleasedAt = c.ledger.Now()
	}
	c.ledger.RecordBadPeer(peer)
}
