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

// LinkFault is a fault that a proxy applies to the connections that it relays.
type LinkFault int

// The faults of a link.
const (
	LinkHealthy      LinkFault = iota
	LinkConnectsLate           // nothing is relayed on a new connection for connectDelay
	LinkCut                    // nothing is relayed; open connections are reset when the cut ends
	LinkResets                 // connections are reset resetDelay after bytes were relayed towards the target
	LinkFragments              // requests and answers are relayed a few bytes at a time
)

const (
	connectDelay     = 700 * time.Millisecond
	resetDelay       = 30 * time.Millisecond // from relaying bytes to the reset
	fragmentSize     = 24                    // bytes
	fragmentInterval = time.Millisecond
	cutPollInterval  = 10 * time.Millisecond
	copyBufferSize   = 32 << 10 // bytes
)

// ProxySpec describes what a proxy relays, and with which faults.
type ProxySpec struct {
	Target func() string // returns the address to connect to; called for each connection
	// Preface is written to the target first, followed by how long the proxy has delayed the first call, in µs. Nothing
	// is written if it is empty.
	Preface string
	Fault   func() LinkFault // returns the current fault; called for each connection and each chunk of bytes
	// OnRefused is called when the target cannot be connected to, with the time at which it was dialled. It may be nil.
	OnRefused func(dialled time.Time)
}

// Proxy relays connections from one sender to one endpoint, or from clients to one sender.
type Proxy struct {
	Addr string

	spec     ProxySpec
	listener net.Listener
	relaying sync.WaitGroup // counts the goroutines that accept and relay connections

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

// Close closes the listener and all connections, and waits for the proxy's goroutines.
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

// track registers a connection, so that Close closes it. It reports false and closes the connection if the proxy is
// closed already.
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

// untrack removes a connection from those that Close closes.
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

// relay connects to the target and forwards bytes between the two connections in both directions. When one of them is
// closed, the other is closed as well, and a reset of one is passed on as a reset of the other.
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

// setUp applies the link's fault to a new connection. If the fault delays the connection, it returns the bytes received
// meanwhile and the time since the first of them. connected is false if the connection is never set up.
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

// delayConnect reads from a connection for a time without relaying anything, and returns the bytes received and the
// time since the first byte. If the peer closes the connection meanwhile, connected is false: the connection counts as
// never set up, and nothing has been sent to the target.
func delayConnect(conn net.Conn, duration time.Duration) (received []byte, delay time.Duration, connected bool) {
	limitRead(conn, duration)
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

// forward relays bytes in one direction until one of the connections is closed or the link's fault ends them.
// towardsTarget is set for the direction from the accepted connection to the target.
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
				_ = tcp.CloseWrite() // fails only if the other direction has closed the connection
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// writeFragments writes bytes to a connection, a few at a time if the link's fault is LinkFragments.
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

// senderPreface returns the preface that names the sender whose connections a proxy relays.
func senderPreface(sender int) string { return fmt.Sprintf("sender %d", sender) }

// parsePreface parses the first line that a proxy with a senderPreface writes. It returns the sender's number and how
// long the proxy has delayed the first call.
func parsePreface(line string) (sender int, delay time.Duration, err error) {
	var microseconds int64
	if _, err := fmt.Sscanf(line, "sender %d %d", &sender, &microseconds); err != nil {
		return 0, 0, fmt.Errorf("preface %q: %w", line, err)
	}
	return sender, time.Duration(microseconds) * time.Microsecond, nil
}
