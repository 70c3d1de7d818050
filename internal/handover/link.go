package handover

import (
	"encoding/gob"
	"net"
	"sync"
	"time"
)

const (
	// linkTimeout bounds connecting to the socket, the write of one packet, and the wait for the first packet.
	linkTimeout = 2 * time.Second
	// linkQueueLength is the maximum number of packets that wait to be written to the other process.
	linkQueueLength = 4096
	// peerExitDelay is how long the other sockets of a process that has exited may stay open after its link has ended.
	peerExitDelay = 30 * time.Millisecond
	// CancelTimeout bounds how long a process that exits waits until the results of its cancelled calls are reported.
	CancelTimeout = 250 * time.Millisecond
)

// Link is the connection to the other process of an upgrade. It is safe for concurrent use, except that only one
// goroutine may call Receive and Listen.
type Link struct {
	conn      *descriptorConn
	decoder   *gob.Decoder
	queue     chan outgoing
	closeOnce sync.Once
	closed    chan struct{}

	// What the Hello of a successor states; set before the link is returned.
	inheritsConnections, keepsShare bool
}

// outgoing is an entry of the write queue: a packet, or a flush marker without a packet.
type outgoing struct {
	packet  Packet        // nil if flushed is set
	flushed chan struct{} // closed once all packets queued before this entry have been written
}

// newLink creates a link on a connection and starts the goroutine that writes to it, which ends after Close. Nothing
// waits for that goroutine, because a write that blocks would then block the event loop as well.
func newLink(c *net.UnixConn) *Link {
	conn := &descriptorConn{UnixConn: c}
	l := &Link{
		conn:    conn,
		decoder: gob.NewDecoder(conn),
		queue:   make(chan outgoing, linkQueueLength),
		closed:  make(chan struct{}),
	}
	go l.write()
	return l
}

// write writes the queued packets until the link is closed. It closes the link if a write fails.
func (l *Link) write() {
	encoder := gob.NewEncoder(l.conn)
	for {
		select {
		case o := <-l.queue:
			if o.flushed != nil {
				close(o.flushed)
				continue
			}
			// A connection that rejects the deadline fails in the write as well.
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

// writePacket writes a packet. The connections of a snapshot belong to the other process afterwards.
func (l *Link) writePacket(encoder *gob.Encoder, p Packet) error {
	if snapshot, ok := p.(*Snapshot); ok {
		l.conn.outgoing = snapshot.connections()
		defer closeAll(l.conn.outgoing)
	}
	return encoder.Encode(p.toWire())
}

// Send queues a packet for writing. It never blocks: if the queue is full, the other process is considered dead and the
// link is closed.
func (l *Link) Send(p Packet) { l.enqueue(outgoing{packet: p}) }

func (l *Link) enqueue(o outgoing) {
	select {
	case l.queue <- o:
	default:
		l.Close()
	}
}

// Receive waits for the next packet from the other process. It returns a nil packet for a type that this release does
// not know.
func (l *Link) Receive() (Packet, error) {
	var f frozenPacket
	if err := l.decoder.Decode(&f); err != nil {
		closeAll(l.conn.takeReceived())
		return nil, err
	}
	p := f.fromWire()
	// The decoder reads ahead, so the descriptors of a snapshot may have been received while an earlier packet was
	// read.
	if snapshot, ok := p.(*Snapshot); ok {
		snapshot.attachConnections(l.conn.takeReceived())
	}
	return p, nil
}

// receiveWithTimeout waits for the next packet for at most linkTimeout.
func (l *Link) receiveWithTimeout() (Packet, error) {
	// A connection that rejects the deadline fails in the read as well.
	_ = l.conn.SetReadDeadline(time.Now().Add(linkTimeout))
	p, err := l.Receive()
	if err == nil {
		_ = l.conn.SetReadDeadline(time.Time{})
	}
	return p, err
}

// InheritsConnections reports whether the other process, a successor, takes over the open connections that are sent
// with the snapshot.
func (l *Link) InheritsConnections() bool { return l.inheritsConnections }

// KeepsShare reports whether the other process, a successor, keeps to its share of the limits while both run.
func (l *Link) KeepsShare() bool { return l.keepsShare }

// Listen calls receive for each packet from the other process until the link ends, and then calls lost once, after
// peerExitDelay.
func (l *Link) Listen(receive func(Packet), lost func()) {
	for {
		p, err := l.Receive()
		if err != nil {
			break
		}
		receive(p)
	}
	l.Close()
	time.Sleep(peerExitDelay)
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
	l.closeOnce.Do(func() {
		close(l.closed)
		_ = l.conn.Close() // an error has no effect: both sides already treat the link as closed
	})
}

// Drain waits until all queued packets have been written, for at most CancelTimeout, and then closes the link.
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
