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

// The pauses before accept is tried again double. They are short at first, as whoever waits in the queue is owed an
// answer.
const (
	minAcceptPause = 500 * time.Microsecond
	maxAcceptPause = 100 * time.Millisecond
	// maxLostInRow is how many connections in a row may turn out to be lost before accept pauses.
	maxLostInRow = 16
	// roomTimeout bounds the wait for a connection to close that makes room for the next one.
	roomTimeout = 20 * time.Millisecond
)

// limitListener is the clients' listener. It accepts so many connections at once; further ones wait in its queue.
// What waits there when a listener is closed is reset, with a response or without, so before its end it accepts all
// that have arrived.
//
// A peer is owed an error or a close within 3 s of its connection, and the time in the queue counts. So accept does not
// wait for a descriptor that others may keep for long: it gives up a reserved one, or lets go of a connection that
// rests. What is left of the peer's time is what it has to send its request (clientConn.releaseBy).
//
// netutil.LimitListener does the counting as well, but its connections hide what tells whether bytes wait unread.
type limitListener struct {
	net.Listener
	places     chan struct{}
	closed     chan struct{}
	emptied    chan struct{} // closed when the queue has been emptied, and with it the listener
	close      func() error
	emptyQueue func()        // accepts what waits in the queue, and closes the listener
	cutsOff    atomic.Bool   // connections are closed at once
	freed      chan struct{} // receives when a connection has been closed

	// The fields of the goroutine that accepts.
	reserve      descriptorReserve
	failingSince time.Time // accept fails; the zero time if it works

	// The callbacks may be nil.
	onClose        func(*clientConn)  // a connection is about to be closed
	onRequestBegun func(*clientConn)  // the first bytes of a request have been read
	onAcceptError  func(error)        // accept has failed and is tried again
	onAccepted     func(acceptReport) // a connection has been accepted
	makeRoom       func() bool        // lets go of a connection that rests, if there is one
}

// acceptReport is what was in the way of a connection that has been accepted.
type acceptReport struct {
	queued    time.Duration // in the listener's queue
	failedFor time.Duration // accept failed for so long just before; zero if it did not
}

func newLimitListener(l net.Listener, limit int) *limitListener {
	limited := &limitListener{
		Listener: l,
		places:   make(chan struct{}, limit),
		closed:   make(chan struct{}),
		emptied:  make(chan struct{}),
		freed:    make(chan struct{}, 1),
		makeRoom: func() bool { return false },
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

// Accept accepts the next client. Its one timeout is that of the emptied queue.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.places <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	l.reserve.hold()
	conn, err := l.acceptRetrying()
	if err == nil {
		return l.newConnection(conn), nil
	}
	<-l.places
	l.reserve.giveUp()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		_ = l.close() // the queue is empty, which is what counts
		close(l.emptied)
		return nil, net.ErrClosed
	}
	return nil, err
}

// newConnection is the client's connection on one that has been accepted.
func (l *limitListener) newConnection(conn net.Conn) *clientConn {
	now, queued := time.Now(), netconn.Age(conn)
	if l.onAccepted != nil {
		report := acceptReport{queued: queued}
		if !l.failingSince.IsZero() {
			report.failedFor = now.Sub(l.failingSince)
		}
		l.onAccepted(report)
	}
	l.failingSince = time.Time{}
	openedAt := now.Add(-queued)
	return &clientConn{
		Conn:           conn,
		openedAt:       openedAt,
		releaseBy:      latest(openedAt.Add(releaseTimeout), now.Add(minFirstReadTime)),
		cutsOff:        &l.cutsOff,
		onClose:        l.onClose,
		onRequestBegun: l.onRequestBegun,
		release:        sync.OnceFunc(l.releasePlace),
	}
}

// latest is the later one of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// releasePlace frees the place of a connection that has been closed.
func (l *limitListener) releasePlace() {
	<-l.places
	select {
	case l.freed <- struct{}{}:
	default: // one signal waits already
	}
}

// acceptRetrying waits for the next connection, whatever fails meanwhile.
func (l *limitListener) acceptRetrying() (net.Conn, error) {
	pause := minAcceptPause
	for lost := 0; ; {
		conn, err := l.Listener.Accept()
		if err == nil || netconn.IsListenerBroken(err) {
			return conn, err
		}
		l.noteFailure(err)
		if netconn.IsConnectionLost(err) && lost < maxLostInRow {
			lost++
			continue
		}
		if netconn.IsOutOfDescriptors(err) {
			if l.reserve.giveUp() {
				continue
			}
			if l.makeRoom() {
				pause = roomTimeout
			}
		}
		if !l.awaitRetry(pause) {
			return nil, net.ErrClosed
		}
		pause = min(2*pause, maxAcceptPause)
	}
}

// noteFailure notes that accept has failed.
func (l *limitListener) noteFailure(err error) {
	if l.failingSince.IsZero() {
		l.failingSince = time.Now()
	}
	if l.onAcceptError != nil {
		l.onAcceptError(err)
	}
}

// awaitRetry waits until accept is worth another try: a connection has been closed, or the pause is over. It reports
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
