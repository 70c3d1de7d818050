package emulator

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// LinkFault is what a proxy does to the connections that pass it.
type LinkFault int

// The faults of a link.
const (
	LinkHealthy    LinkFault = iota
	LinkConnectsLate              // a new connection relays nothing for lateFor
	LinkCut               // nothing passes; what is open is reset when the cut ends
	LinkResets            // connections are reset some time after bytes have passed towards the endpoint
	LinkFragments           // answers and requests pass a few bytes at a time
)

const (
	connectDelay    = 700 * time.Millisecond
	resetAfter = 30 * time.Millisecond
	fragmentSize   = 24
	fragmentInterval  = time.Millisecond
	partitionPollInterval    = 10 * time.Millisecond
)

// Proxy relays connections from one sender to one endpoint, or from clients to one sender.
type Proxy struct {
	Addr string

	preface string // written first to the far side, with how long the first call has been held back (µs); "" for nothing
	target  func() string
	fault   func() LinkFault
	onRefused func(dialled time.Time) // the target took no connection that was dialled then; nil if nobody asks

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	closed   bool
}

// NewProxy listens on a port of its own at host. fault is asked at each connection and chunk of bytes; refused, if there is one,
// is called when the target takes no connection.
func NewProxy(host string, target func() string, preface string, fault func() LinkFault, refused func(dialled time.Time)) (*Proxy, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	p := &Proxy{Addr: l.Addr().String(), preface: preface, target: target, fault: fault, onRefused: refused, listener: l, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Close ends the listener and all connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for c := range p.conns {
		c.Close()
	}
}

func (p *Proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return false
	}
	p.conns[c] = true
	return true
}

func (p *Proxy) forget(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.relay(c)
	}
}

// relay joins a connection with one to the target. The end of either side passes on to the other, a reset as a reset.
func (p *Proxy) relay(near net.Conn) {
	defer near.Close()
	if !p.track(near) {
		return
	}
	defer p.forget(near)
	var early []byte // what came on a late connection before it relays
	var heldFor time.Duration
	switch p.fault() {
	case LinkConnectsLate:
		var stands bool
		if early, heldFor, stands = delayConnect(near, connectDelay); !stands {
			reset(near)
			return
		}
	case LinkCut:
		p.awaitCutEnd()
		reset(near)
		return
	}
	dialled := time.Now()
	far, err := net.DialTimeout("tcp", p.target(), time.Second)
	if err != nil {
		if p.onRefused != nil {
			p.onRefused(dialled)
		}
		reset(near)
		return
	}
	defer far.Close()
	if !p.track(far) {
		return
	}
	defer p.forget(far)
	if p.preface != "" {
		if _, err := fmt.Fprintf(far, "%s %d\n", p.preface, heldFor.Microseconds()); err != nil {
			return
		}
	}
	if _, err := far.Write(early); err != nil {
		return
	}
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); p.forward(far, near, true) }()
	go func() { defer both.Done(); p.forward(near, far, false) }()
	both.Wait()
}

// holdBack takes what comes on a connection for a time, and gives it with the time since its first byte. If the other side
// ends the connection meanwhile, it has never come up, and nothing has been sent.
func delayConnect(c net.Conn, lasting time.Duration) (early []byte, heldFor time.Duration, stands bool) {
	until := time.Now().Add(lasting)
	c.SetReadDeadline(until)
	defer c.SetReadDeadline(time.Time{})
	buffer := make([]byte, 32<<10)
	var first time.Time
	for {
		n, err := c.Read(buffer)
		if n > 0 && first.IsZero() {
			first = time.Now()
		}
		early = append(early, buffer[:n]...)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
		if err != nil {
			return nil, 0, false
		}
	}
	if !first.IsZero() {
		heldFor = time.Since(first)
	}
	return early, heldFor, true
}

func (p *Proxy) awaitCutEnd() {
	for p.fault() == LinkCut {
		time.Sleep(partitionPollInterval)
	}
}

// copy passes bytes on until an end. outward is the direction from the near side to the target.
func (p *Proxy) forward(to, from net.Conn, outward bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		fault := p.fault()
		if fault == LinkCut {
			p.awaitCutEnd()
			reset(to)
			reset(from)
			return
		}
		size := max(1, n)
		if fault == LinkFragments {
			size = fragmentSize
		}
		for rest := buffer[:n]; len(rest) > 0; {
			part := rest[:min(size, len(rest))]
			if _, err := to.Write(part); err != nil {
				reset(from)
				return
			}
			if rest = rest[len(part):]; len(rest) > 0 {
				time.Sleep(fragmentInterval)
			}
		}
		if fault == LinkResets && outward && n > 0 {
			time.Sleep(resetAfter)
			reset(to)
			reset(from)
			return
		}
		if err == io.EOF {
			to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// reset ends a connection so that the other side sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// prefaceOf tells an endpoint which sender a relayed connection is from.
func senderPreface(sender int) string { return fmt.Sprintf("sender %d", sender) }
