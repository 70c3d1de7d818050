package sendertest

import (
	"io"
	"net"
	"sync"
	"testing"
)

// Proxy passes connections on to a server, and can make them fall silent: they stay open, and nothing passes on them
// any more, not even their end.
type Proxy struct {
	Addr string

	target   string
	listener net.Listener

	mu       sync.Mutex
	isSilent bool // new connections are silent from the start
	links    []*proxyLink
}

// proxyLink is one connection through a proxy.
type proxyLink struct {
	client, server net.Conn
	silent         chan struct{} // closed when it falls silent
}

// NewProxy starts a proxy for the server at an address. It runs until the test ends.
func NewProxy(t testing.TB, target string) *Proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &Proxy{Addr: listener.Addr().String(), target: target, listener: listener}
	accepting := make(chan struct{})
	go func() {
		defer close(accepting)
		p.accept()
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-accepting
		p.closeAll()
	})
	return p
}

// Silence makes the connections that are open fall silent, and returns their number.
func (p *Proxy) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	silenced := 0
	for _, link := range p.links {
		if link.fallSilent() {
			silenced++
		}
	}
	return silenced
}

// SetSilent makes the connections that are open, and those that are opened from now on, fall silent; or lets new ones
// work again.
func (p *Proxy) SetSilent(isSilent bool) {
	p.mu.Lock()
	p.isSilent = isSilent
	p.mu.Unlock()
	if isSilent {
		p.Silence()
	}
}

// accept connects each client with the server until the listener is closed.
func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close() // as if the server had refused it
			continue
		}
		link := &proxyLink{client: client, server: server, silent: make(chan struct{})}
		p.mu.Lock()
		p.links = append(p.links, link)
		if p.isSilent {
			link.fallSilent()
		}
		p.mu.Unlock()
		go link.pass(server, client)
		go link.pass(client, server)
	}
}

// closeAll closes all connections, silent ones too.
func (p *Proxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, link := range p.links {
		link.close()
	}
}

// fallSilent makes the link fall silent. It reports false if the link was silent already. The caller holds the proxy's
// lock.
func (l *proxyLink) fallSilent() bool {
	if l.isSilent() {
		return false
	}
	close(l.silent)
	return true
}

func (l *proxyLink) isSilent() bool {
	select {
	case <-l.silent:
		return true
	default:
		return false
	}
}

// pass passes on what comes from one end, until that ends or the link falls silent.
func (l *proxyLink) pass(to io.Writer, from io.Reader) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if l.isSilent() {
			return
		}
		if n > 0 {
			_, _ = to.Write(buffer[:n]) // a failure shows at the next read as well
		}
		if err != nil {
			l.close()
			return
		}
	}
}

func (l *proxyLink) close() {
	_ = l.client.Close()
	_ = l.server.Close()
}
