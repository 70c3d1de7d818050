package ingress

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"onyxdyke.example/onyxdyke/internal/netconn"
)

// The pause before the next attempt to accept doubles with each failure. It is short at first because the clients in
// the queue wait for their responses.
const (
	minAcceptPause = 500 * time.Microsecond
	maxAcceptPause = 100 * time.Millisecond
	// maxLostInRow is how many connections in a row may turn out to be lost before the next attempt is paused.
	maxLostInRow = 16
	// evictionTimeout bounds the wait until an evicted connection is closed and its descriptor free.
	evictionTimeout = 20 * time.Millisecond
)

// limitListener is the clients' listener. It limits how many connections are open at once; further ones wait in its
// queue. The kernel resets the connections that are still in the queue when a listener is closed, so emptyQueue has all
// that have arrived accepted before it closes the listener.
//
// A peer must get an error or a close within 3 s of its connection, and its time in the queue counts. So accept does
// not wait for a descriptor that others may keep for long: it releases a reserved one, or evicts a connection. The
// remainder of the peer's time is for sending its request (clientConn.firstRequestBy).
//
// netutil.LimitListener limits the number in the same way, but its connections do not expose the raw connection, which
// is needed to check for unread bytes.
type limitListener struct {
	net.Listener
	slots        *slots // shared by all listeners of a server
	closed       chan struct{}
	queueEmptied chan struct{} // closed when the queue has been emptied and the listener closed
	close        func() error
	emptyQueue   func()        // makes Accept accept what is in the queue, and close the listener then
	skipsLinger  atomic.Bool   // connections are closed without waiting for their clients
	freed        chan struct{} // receives a value when a connection has been closed

	// These fields belong to the goroutine that accepts.
	reserve      descriptorReserve
	failingSince time.Time // since when accept fails; the zero time if it succeeds

	// The callbacks may be nil.
	onClose            func(*clientConn)  // a connection is about to be closed
	onRequestBegun     func(*clientConn)  // the first bytes of a request have been read
	onAcceptError      func(error)        // accept has failed and is tried again
	onAccepted         func(acceptReport) // a connection has been accepted
	evictForDescriptor func() bool        // evicts a connection; false if none can be evicted
}

// acceptReport holds how long a connection was delayed before it was accepted.
type acceptReport struct {
	queued    time.Duration // in the listener's queue
	failedFor time.Duration // how long accept had failed just before; zero if it had not
}

func newLimitListener(l net.Listener, slots *slots) *limitListener {
	limited := &limitListener{
		Listener:           l,
		slots:              slots,
		closed:             make(chan struct{}),
		queueEmptied:       make(chan struct{}),
		freed:              make(chan struct{}, 1),
		evictForDescriptor: func() bool { return false },
	}
	limited.close = sync.OnceValue(func() error {
		close(limited.closed)
		return l.Close()
	})
	limited.emptyQueue = sync.OnceFunc(func() {
		withDeadline, ok := l.(interface{ SetDeadline(time.Time) error })
		if !ok || withDeadline.SetDeadline(time.Now().Add(QueueTimeout)) != nil {
			_ = limited.close() // the queue cannot be emptied
		}
	})
	return limited
}

// Close closes the listener; further calls have no effect.
func (l *limitListener) Close() error { return l.close() }

// Accept accepts the next client. A timeout occurs only once emptyQueue has set a deadline: then the queue is empty.
func (l *limitListener) Accept() (net.Conn, error) {
	if !l.slots.acquire(l.closed) {
		return nil, net.ErrClosed
	}
	l.reserve.ensureOpen()
	conn, err := l.acceptRetrying()
	if err == nil {
		return l.newClientConn(conn), nil
	}
	l.slots.release()
	l.reserve.release()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		_ = l.close() // the queue is empty, so no client is affected if it fails
		close(l.queueEmptied)
		return nil, net.ErrClosed
	}
	return nil, err
}

// newClientConn returns the clientConn for an accepted connection.
func (l *limitListener) newClientConn(conn net.Conn) *clientConn {
	now, queued := time.Now(), netconn.Age(conn)
	if l.onAccepted != nil {
		report := acceptReport{queued: queued}
		if !l.failingSince.IsZero() {
			report.failedFor = now.Sub(l.failingSince)
		}
		l.onAccepted(report)
	}
	l.failingSince = time.Time{}
	c := newClientConn(conn, now.Add(-queued))
	c.firstRequestBy = latest(c.openedAt.Add(firstRequestTimeout), now.Add(minFirstReadTime))
	c.skipsLinger = &l.skipsLinger
	c.onClose, c.onRequestBegun = l.onClose, l.onRequestBegun
	c.releaseSlot = sync.OnceFunc(l.freeSlot)
	return c
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// freeSlot frees the slot of a connection that has been closed.
func (l *limitListener) freeSlot() {
	l.slots.release()
	select {
	case l.freed <- struct{}{}:
	default: // a signal is pending already
	}
}

// acceptRetrying waits for the next connection and retries after errors. It fails only if the listener is broken or
// closed.
func (l *limitListener) acceptRetrying() (net.Conn, error) {
	pause := minAcceptPause
	for lost := 0; ; {
		conn, err := l.Listener.Accept()
		if err == nil || netconn.IsListenerBroken(err) {
			return conn, err
		}
		l.recordFailure(err)
		if netconn.IsConnectionLost(err) && lost < maxLostInRow {
			lost++
			continue
		}
		if netconn.IsOutOfDescriptors(err) {
			if l.reserve.release() {
				continue
			}
			if l.evictForDescriptor() {
				pause = evictionTimeout
			}
		}
		if !l.awaitRetry(pause) {
			return nil, net.ErrClosed
		}
		pause = min(2*pause, maxAcceptPause)
	}
}

// recordFailure records that accept has failed.
func (l *limitListener) recordFailure(err error) {
	if l.failingSince.IsZero() {
		l.failingSince = time.Now()
	}
	if l.onAcceptError != nil {
		l.onAcceptError(err)
	}
}

// awaitRetry waits until accept can be tried again: when a connection has been closed or the pause is over. It returns
// false if the listener has been closed.
func (l *limitListener) awaitRetry(pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.freed:
	case <-l.closed:
		return false
	}
	return true
}
