package handover

import (
	"encoding/gob"
	"net"
	"sync"
	"time"
)

const (
	// linkTimeout bounds the writing of a packet, and the wait for a snapshot.
	linkTimeout = 2 * time.Second
	// linkQueue is how many packets may be on their way to the other process.
	linkQueue = 4096
	// peerDeathDelay is how long after the end of a link the other sockets of a dead process may still be open.
	peerDeathDelay = 30 * time.Millisecond
	// CancelTimeout bounds, at the end of a process, the wait for its cancelled calls to be reported.
	CancelTimeout = 250 * time.Millisecond
)

// Link is the connection to the other process. It is safe for concurrent use, but for Receive and Listen, which one
// goroutine calls.
type Link struct {
	conn    *descriptorConn
	decoder *gob.Decoder
	out     chan outgoing
	once    sync.Once
	closed  chan struct{}

	takesConnections bool // the other process takes connections with a snapshot; set before the link is given out
}

// outgoing is a packet to be written, or with flushed a question whether all before it has been.
type outgoing struct {
	packet  Packet        // nil with flushed
	flushed chan struct{} // closed when all packets before it have been written
}

// newLink makes a link on a connection. Its writer's goroutine ends with Close; nobody waits for it, as a write that
// blocks would then hold up the event loop.
func newLink(c *net.UnixConn) *Link {
	conn := &descriptorConn{UnixConn: c}
	l := &Link{
		conn:    conn,
		decoder: gob.NewDecoder(conn),
		out:     make(chan outgoing, linkQueue),
		closed:  make(chan struct{}),
	}
	go l.write()
	return l
}

func (l *Link) write() {
	encoder := gob.NewEncoder(l.conn)
	for {
		select {
		case o := <-l.out:
			if o.flushed != nil {
				close(o.flushed)
				continue
			}
			// A connection that takes no deadline fails in the write as well.
			_ = l.conn.SetWriteDeadline(time.Now().Add(linkTimeout))
			if l.writePacket(encoder, o.packet) != nil {
				l.Close()
				return
			}
		case <-l.closed:
			return
		}
	}
}

// writePacket writes a packet. The connections of a snapshot are the other process's from then on.
func (l *Link) writePacket(encoder *gob.Encoder, p Packet) error {
	if snapshot, ok := p.(*Snapshot); ok {
		l.conn.outgoing = snapshot.connections()
		defer closeAll(l.conn.outgoing)
	}
	return encoder.Encode(p.freeze())
}

// Send queues a packet. It never waits: a process that accepts nothing is as good as dead, and the link is closed.
func (l *Link) Send(p Packet) { l.enqueue(outgoing{packet: p}) }

func (l *Link) enqueue(o outgoing) {
	select {
	case l.out <- o:
	default:
		l.Close()
	}
}

// Receive waits for the next packet of the other process. The packet is nil if this release does not know it.
func (l *Link) Receive() (Packet, error) {
	var f frozenPacket
	if err := l.decoder.Decode(&f); err != nil {
		closeAll(l.conn.takeReceived())
		return nil, err
	}
	p := f.thaw()
	// The decoder reads ahead: what came with a snapshot may have come with a packet before it.
	if snapshot, ok := p.(*Snapshot); ok {
		snapshot.attachConnections(l.conn.takeReceived())
	}
	return p, nil
}

// receiveWithin waits for the next packet for as long as linkTimeout.
func (l *Link) receiveWithin() (Packet, error) {
	// A connection that takes no deadline fails in the read as well.
	_ = l.conn.SetReadDeadline(time.Now().Add(linkTimeout))
	p, err := l.Receive()
	if err == nil {
		_ = l.conn.SetReadDeadline(time.Time{})
	}
	return p, err
}

// TakesConnections reports whether the other process, a successor, takes connections with the snapshot.
func (l *Link) TakesConnections() bool { return l.takesConnections }

// Listen passes on what the other process sends until the link ends, and then that it is lost. It returns after that.
func (l *Link) Listen(receive func(Packet), lost func()) {
	for {
		p, err := l.Receive()
		if err != nil {
			break
		}
		receive(p)
	}
	l.Close()
	time.Sleep(peerDeathDelay)
	lost()
}

// Closed returns a channel that is closed when the link has ended.
func (l *Link) Closed() <-chan struct{} { return l.closed }

// IsClosed reports whether the link has ended.
func (l *Link) IsClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// Close ends the link. It may be called more than once.
func (l *Link) Close() {
	l.once.Do(func() {
		close(l.closed)
		_ = l.conn.Close() // both sides know by then that it ends
	})
}

// Drain waits until what was sent is written, or CancelTimeout has passed, and closes the link.
func (l *Link) Drain() {
	written := make(chan struct{})
	l.enqueue(outgoing{flushed: written})
	select {
	case <-written:
	case <-l.closed:
	case <-time.After(CancelTimeout):
	}
	l.Close()
}
