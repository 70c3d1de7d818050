package emulator

import (
	"net"
	"sync"
	"sync/atomic"
)

// silenceableListener accepts connections that it can make fall silent. It is safe for concurrent use.
type silenceableListener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*silenceableConn]bool // those that are open
}

func newSilenceableListener(listener net.Listener) *silenceableListener {
	return &silenceableListener{Listener: listener, conns: map[*silenceableConn]bool{}}
}

// Accept accepts the next connection.
func (l *silenceableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &silenceableConn{Conn: conn, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c, nil
}

// silence makes the connections that are open fall silent.
func (l *silenceableListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.isSilent.Store(true)
	}
}

// silenceableConn is a connection that stays open while it is silent, but passes on nothing.
type silenceableConn struct {
	net.Conn
	listener *silenceableListener
	isSilent atomic.Bool
}

// Read reads from the connection. Once that is silent, it discards what arrives until the connection ends.
func (c *silenceableConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.isSilent.Load() {
			return n, err
		}
	}
}

// Write writes to the connection, or discards b if the connection is silent.
func (c *silenceableConn) Write(b []byte) (int, error) {
	if c.isSilent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection.
func (c *silenceableConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
