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
	ledger       *Ledger
	rules        Rules
	sender       int
	addr         string
	destinations []float64 // weight of each
	rate         float64   // messages a second

	mu    sync.Mutex
	armed chan struct{} // closed at the next answer that takes a message on; nil for none
	rand  *rand.Rand
	idle  []*clientConn
	next  int
	all   sync.WaitGroup
}

// clientConn is a connection that a client keeps.
type clientConn struct {
	net.Conn
	r     *bufio.Reader
	fresh bool // nothing has been answered on it yet
}

const (
	splitPause     = 20 * time.Millisecond // between the parts of a request that comes in pieces
	splitOneIn     = 8
	retryOneIn     = 2 // refused messages that are handed in again
	retriesMost    = 2
	shortOneIn     = 12 // messages with very little time
	shortLife      = 120 * time.Millisecond
	useAllEach     = 150 * time.Millisecond
	badPeerEach    = 700 * time.Millisecond
	badPeerTime    = 3 * time.Second
	badPeerGivesUp = 4 * time.Second
)

// NewClients prepares the clients of one sender.
func NewClients(l *Ledger, rules Rules, sender int, addr string, destinations []float64, rate float64, seed uint64) *Clients {
	return &Clients{ledger: l, rules: rules, sender: sender, addr: addr, destinations: destinations, rate: rate,
		rand: rand.New(rand.NewPCG(seed, uint64(sender)))}
}

// Run hands messages in until stop is closed, and waits for their answers.
func (c *Clients) Run(stop <-chan struct{}) {
	bad := time.NewTicker(badPeerEach)
	defer bad.Stop()
	for {
		c.mu.Lock()
		pause := time.Duration(c.rand.ExpFloat64() / c.rate * float64(time.Second))
		c.mu.Unlock()
		select {
		case <-stop:
			c.all.Wait()
			c.closeIdle()
			return
		case <-bad.C:
			c.begin(c.badPeer)
		case <-time.After(pause):
			s := c.draw()
			c.begin(func() { c.handIn(s, 0) })
		}
	}
}

// UseAll hands a message in on each connection that is open and idle, again and again until stop is closed.
func (c *Clients) UseAll(stop <-chan struct{}) {
	for {
		c.mu.Lock()
		idle := len(c.idle)
		c.mu.Unlock()
		for range idle {
			s := c.draw()
			c.begin(func() { c.handIn(s, 0) })
		}
		select {
		case <-stop:
			return
		case <-time.After(useAllEach):
		}
	}
}

func (c *Clients) begin(f func()) {
	c.all.Add(1)
	go func() { defer c.all.Done(); f() }()
}

func (c *Clients) chance(oneIn int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rand.IntN(oneIn) == 0
}

// draw makes a new message.
func (c *Clients) draw() Submission {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	at, destination := c.rand.Float64(), 0
	for destination < len(c.destinations)-1 && at >= c.destinations[destination] {
		at -= c.destinations[destination]
		destination++
	}
	s := Submission{ID: fmt.Sprintf("m%d-%d", c.sender, c.next), Effect: Effect(c.rand.IntN(3)), Destination: destination, Sender: c.sender}
	s.Key = "k" + s.ID
	s.Deadline = lifetimes[s.Effect]
	if c.rand.IntN(shortOneIn) == 0 {
		s.Deadline = shortLife
	}
	return s
}

// handIn hands a message in, and again after refusals.
func (c *Clients) handIn(s Submission, retries int) {
	status, hold := c.exchange(s)
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests || retries >= retriesMost || !c.chance(retryOneIn) {
		return
	}
	time.Sleep(hold)
	s.ID = fmt.Sprintf("%s.%d", strings.SplitN(s.ID, ".", 2)[0], retries+1)
	c.handIn(s, retries+1)
}

var errNotWritten = errors.New("the request could not be written whole")

// exchange hands a message in once and returns the answer's status, 0 for none, and for how long to stay away.
func (c *Clients) exchange(s Submission) (status int, hold time.Duration) {
	for try := 0; ; try++ {
		conn, err := c.get(try > 0)
		if err != nil {
			return 0, 0 // nobody listens: the message goes to no sender
		}
		resp, err := c.ask(conn, s)
		switch {
		case err == nil:
			c.ledger.Answer(s.ID, resp.StatusCode)
			c.answered(resp.StatusCode)
			seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			if resp.Close {
				conn.Close()
			} else {
				c.put(conn)
			}
			return resp.StatusCode, time.Duration(seconds * float64(time.Second))
		case errors.Is(err, os.ErrDeadlineExceeded): // it waits no longer
			c.ledger.TimeOut(s.ID)
			conn.Close()
			return 0, 0
		case !conn.fresh && try == 0: // the close crossed the request: it is written once more
			conn.Close()
			continue
		case conn.fresh && !errors.Is(err, errNotWritten):
			c.ledger.Close(s.ID, err)
		}
		conn.Close()
		return 0, 0
	}
}

// atNextAnswer is closed at the next answer that takes a message on.
func (c *Clients) atNextAnswer() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.armed == nil {
		c.armed = make(chan struct{})
	}
	return c.armed
}

func (c *Clients) answered(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.armed != nil && status == http.StatusAccepted {
		close(c.armed)
		c.armed = nil
	}
}

// bodyOf is the body of a message.
func bodyOf(s Submission) string { return "body of " + s.Key }

func requestText(s Submission, body string) string {
	text := fmt.Sprintf("POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline-Ms: %d\r\n"+
		"Content-Length: %d\r\nX-Addressing: dest=%d\r\n", s.ID, s.Effect, s.Deadline.Milliseconds(), len(body), s.Destination)
	if s.Effect == Keyed {
		text += "Idempotency-Key: " + s.Key + "\r\n"
	}
	return text + "\r\n" + body
}

// ask writes a request, some in pieces, and reads its answer.
func (c *Clients) ask(conn *clientConn, s Submission) (*http.Response, error) {
	text := requestText(s, bodyOf(s))
	if c.chance(splitOneIn) {
		c.mu.Lock()
		at := 1 + c.rand.IntN(len(text)-1)
		c.mu.Unlock()
		if _, err := io.WriteString(conn, text[:at]); err != nil {
			return nil, errNotWritten
		}
		time.Sleep(splitPause)
		text = text[at:]
	}
	s.SentAt, s.Fresh = c.ledger.Now(), conn.fresh
	c.ledger.Submit(s)
	if _, err := io.WriteString(conn, text); err != nil {
		return nil, errNotWritten
	}
	conn.SetReadDeadline(time.Now().Add(c.rules.AnswerTime))
	resp, err := http.ReadResponse(conn.r, nil)
	if err != nil {
		return nil, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return nil, err
	}
	return resp, nil
}

// get takes an idle connection, or opens one.
func (c *Clients) get(fresh bool) (*clientConn, error) {
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
	return &clientConn{Conn: conn, r: bufio.NewReader(conn), fresh: true}, nil
}

func (c *Clients) put(conn *clientConn) {
	conn.fresh = false
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
var badPeers = map[string]string{
	"silent":    "",
	"half head": "POST /api HTTP/1.1\r\nX-Request-",
	"half body": "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: bad\r\nX-Class: safe\r\nX-Deadline-Ms: 500\r\nX-Addressing: dest=0\r\nContent-Length: 50\r\n\r\nten bytes.",
	"garbage":   "\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
}

// badPeer connects, sends something that is no request, and waits to be let go of.
func (c *Clients) badPeer() {
	c.mu.Lock()
	kind := []string{"silent", "half head", "half body", "garbage"}[c.rand.IntN(len(badPeers))]
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	peer := BadPeer{Sender: c.sender, Kind: kind, OpenedAt: c.ledger.Now()}
	io.WriteString(conn, badPeers[kind])
	conn.SetReadDeadline(time.Now().Add(badPeerGivesUp))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		peer.LeftAt = c.ledger.Now()
	}
	c.ledger.Peer(peer)
}
