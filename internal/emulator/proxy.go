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
	LinkHealthy      LinkFault = iota
	LinkConnectsLate           // a new connection relays nothing for connectDelay
	LinkCut                    // nothing passes; what is open is reset when the cut ends
	LinkResets                 // connections are reset some time after bytes have passed towards the target
	LinkFragments              // requests and answers pass a few bytes at a time
)

const (
	connectDelay     = 700 * time.Millisecond
	resetDelay       = 30 * time.Millisecond // from bytes that pass to the reset
	fragmentSize     = 24                    // bytes
	fragmentInterval = time.Millisecond
	cutPollInterval  = 10 * time.Millisecond
	copyBufferSize   = 32 << 10 // bytes
)

// ProxySpec says what a proxy relays.
type ProxySpec struct {
	Target func() string // the address to connect to, asked for each connection
	// Preface is written to the target first, with how long the first call has been delayed (µs); "" for nothing.
	Preface string
	Fault   func() LinkFault // asked for each connection and each chunk of bytes
	// OnRefused is called when the target refused a connection that was dialled at a time; nil if nobody asks.
	OnRefused func(dialled time.Time)
}

// Proxy relays connections from one sender to one endpoint, or from clients to one sender.
type Proxy struct {
	Addr string

	spec     ProxySpec
	listener net.Listener
	relaying sync.WaitGroup // the goroutines that accept and relay

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// NewProxy starts a proxy on a port of its own at host.
func NewProxy(host string, spec ProxySpec) (*Proxy, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	p := &Proxy{Addr: listener.Addr().String(), spec: spec, listener: listener, conns: map[net.Conn]bool{}}
	p.relaying.Add(1)
	go func() {
		defer p.relaying.Done()
		p.accept()
	}()
	return p, nil
}

// Close ends the listener and all connections, and waits for the proxy's goroutines.
func (p *Proxy) Close() {
	closeQuietly(p.listener)
	p.mu.Lock()
	p.closed = true
	for conn := range p.conns {
		closeQuietly(conn)
	}
	p.mu.Unlock()
	p.relaying.Wait()
}

// track registers a connection for Close; it reports false if the proxy is closed already.
func (p *Proxy) track(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		closeQuietly(conn)
		return false
	}
	p.conns[conn] = true
	return true
}

func (p *Proxy) untrack(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// accept relays each connection in a goroutine of its own until the listener is closed.
func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.relaying.Add(1)
		go func() {
			defer p.relaying.Done()
			p.relay(conn)
		}()
	}
}

// relay joins a connection with one to the target. The end of either side passes to the other, a reset as a reset.
func (p *Proxy) relay(inbound net.Conn) {
	defer inbound.Close()
	if !p.track(inbound) {
		return
	}
	defer p.untrack(inbound)
	received, delay, connected := p.setUp(inbound)
	if !connected {
		reset(inbound)
		return
	}
	dialled := time.Now()
	outbound, err := net.DialTimeout("tcp", p.spec.Target(), dialTimeout)
	if err != nil {
		if p.spec.OnRefused != nil {
			p.spec.OnRefused(dialled)
		}
		reset(inbound)
		return
	}
	defer outbound.Close()
	if !p.track(outbound) {
		return
	}
	defer p.untrack(outbound)
	if p.spec.Preface != "" {
		if _, err := fmt.Fprintf(outbound, "%s %d\n", p.spec.Preface, delay.Microseconds()); err != nil {
			return
		}
	}
	if _, err := outbound.Write(received); err != nil {
		return
	}
	var directions sync.WaitGroup
	directions.Add(2)
	go func() {
		defer directions.Done()
		p.forward(outbound, inbound, true)
	}()
	go func() {
		defer directions.Done()
		p.forward(inbound, outbound, false)
	}()
	directions.Wait()
}

// setUp applies the link's fault to a new connection. It returns what was received on a connection that is set up
// late and how long ago that began; connected is false for a connection that is never set up.
func (p *Proxy) setUp(inbound net.Conn) (received []byte, delay time.Duration, connected bool) {
	switch p.spec.Fault() {
	case LinkConnectsLate:
		return delayConnect(inbound, connectDelay)
	case LinkCut:
		p.awaitCutEnd()
		return nil, 0, false
	}
	return nil, 0, true
}

// delayConnect receives on a connection for a time without passing anything on, and returns what it received and the
// time since the first byte. If the other side ends the connection meanwhile, it was never set up, and nothing has been
// sent.
func delayConnect(conn net.Conn, lasting time.Duration) (received []byte, delay time.Duration, connected bool) {
	limitRead(conn, lasting)
	defer unlimitRead(conn)
	buffer := make([]byte, copyBufferSize)
	var first time.Time
	for {
		n, err := conn.Read(buffer)
		if n > 0 && first.IsZero() {
			first = time.Now()
		}
		received = append(received, buffer[:n]...)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
		if err != nil {
			return nil, 0, false
		}
	}
	if !first.IsZero() {
		delay = time.Since(first)
	}
	return received, delay, true
}

// awaitCutEnd waits until the link is no longer cut.
func (p *Proxy) awaitCutEnd() {
	for p.spec.Fault() == LinkCut {
		time.Sleep(cutPollInterval)
	}
}

// forward passes bytes in one direction until an end. towardsTarget says which.
func (p *Proxy) forward(to, from net.Conn, towardsTarget bool) {
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := from.Read(buffer)
		fault := p.spec.Fault()
		if fault == LinkCut {
			p.awaitCutEnd()
			reset(to)
			reset(from)
			return
		}
		if writeErr := writeFragments(to, buffer[:n], fault); writeErr != nil {
			reset(from)
			return
		}
		if fault == LinkResets && towardsTarget && n > 0 {
			time.Sleep(resetDelay)
			reset(to)
			reset(from)
			return
		}
		if errors.Is(err, io.EOF) {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // fails only if the other direction has ended the connection
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// writeFragments passes bytes on, a few at a time if that is the link's fault.
func writeFragments(to net.Conn, data []byte, fault LinkFault) error {
	size := max(1, len(data))
	if fault == LinkFragments {
		size = fragmentSize
	}
	for len(data) > 0 {
		fragment := data[:min(size, len(data))]
		if _, err := to.Write(fragment); err != nil {
			return err
		}
		if data = data[len(fragment):]; len(data) > 0 {
			time.Sleep(fragmentInterval)
		}
	}
	return nil
}

// senderPreface says in a proxy's preface which sender its connections are from.
func senderPreface(sender int) string { return fmt.Sprintf("sender %d", sender) }

// parsePreface reads the line that a proxy with a sender's preface writes first.
func parsePreface(line string) (sender int, delay time.Duration, err error) {
	var microseconds int64
	if _, err := fmt.Sscanf(line, "sender %d %d", &sender, &microseconds); err != nil {
		return 0, 0, fmt.Errorf("preface %q: %w", line, err)
	}
	return sender, time.Duration(microseconds) * time.Microsecond, nil
}
