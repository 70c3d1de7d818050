package ingress

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// everySecondFails is a listener with a long queue, of which every second accept fails.
type everySecondFails struct {
	net.Listener
	calls atomic.Uint32
	errno syscall.Errno
}

func (l *everySecondFails) Accept() (net.Conn, error) {
	if l.calls.Add(1)%2 == 1 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.errno)}
	}
	ours, _ := net.Pipe()
	return ours, nil
}

// A full queue is emptied also while accept fails for a moment: whoever waits there is owed an error or a close within
// 3 s of having connected, and a request its response within 0.4 s.
func TestQueueIsEmptiedWhileAcceptFails(t *testing.T) {
	t.Parallel()
	const waiting, within = 300, time.Second
	for _, errno := range []syscall.Errno{
		syscall.ECONNABORTED, syscall.EPROTO, syscall.ENETDOWN, syscall.ENFILE, syscall.ENOBUFS,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			d := newLimitListener(&everySecondFails{errno: errno}, waiting)
			began := time.Now()
			for range waiting {
				if _, err := d.Accept(); err != nil {
					t.Fatal(err)
				}
			}
			if took := time.Since(began); took > within {
				t.Errorf("%d connections are accepted within %v", waiting, took)
			}
		})
	}
}

// pipeEnds is a client's connection, as the server has it, and the client's end.
func pipeEnds(t *testing.T) (*clientConn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	theirs, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	ours, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = theirs.Close(); _ = ours.Close() })
	return &clientConn{Conn: ours, cutsOff: new(atomic.Bool), release: func() {}}, theirs
}

// A connection that is dismissed just as a request begins to arrive is read until that is complete.
func TestDismissedConnectionReadsABegunRequestToItsEnd(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		before, after bool // parts of the request that are read before the connection is let go of
		want          string
	}{
		"nothing has come":  {},
		"a part has come":   {before: true, want: "first second"},
		"a reader is at it": {before: true, after: true, want: "first second"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g, client := pipeEnds(t)
			got, parts := "", make(chan string, 10)
			read := func() {
				b := make([]byte, 100)
				n, _ := g.Read(b)
				parts <- string(b[:n])
			}
			if c.before {
				_, _ = io.WriteString(client, "first ")
				read()
				got += <-parts
			}
			if c.after {
				go read()
				time.Sleep(20 * time.Millisecond)
			}
			g.dismiss(ClosedLeaving)
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(client, "second")
			if !c.after {
				go read()
			}
			if got += st.Receive(t, parts); got != c.want {
				t.Errorf("%q is read, want %q", got, c.want)
			}
		})
	}
}

// outOfDescriptors is a listener of a process that has so many descriptors for connections, those that are open and its
// reserve included. accept fails once they are taken.
type outOfDescriptors struct {
	net.Listener
	free atomic.Int32
}

// countedConn gives its descriptor back when it is closed.
type countedConn struct {
	*net.TCPConn
	close func()
}

func (c countedConn) Close() error {
	c.close()
	return c.TCPConn.Close()
}

func (l *outOfDescriptors) Accept() (net.Conn, error) {
	if l.free.Add(-1) < 0 {
		l.free.Add(1)
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn.(*net.TCPConn), sync.OnceFunc(func() { l.free.Add(1) })}, nil
}

// serveOn serves on a listener until the end of the test.
func serveOn(t *testing.T, l net.Listener) {
	t.Helper()
	s := newTestServer(t)
	done := make(chan error, 1)
	limited := s.Limit(l)
	go func() { done <- s.Serve(limited) }()
	t.Cleanup(func() {
		s.StopAccepting()
		s.Close()
		if err := st.Receive(t, done); err != nil {
			t.Error(err)
		}
	})
}

// Peers of a flood are let go of in time also while the process has hardly a descriptor for them: each makes room for
// the next. accept used to wait until somebody else closed one, and the peers' 3 s went by in the queue.
func TestPeersMakeRoomWhileDescriptorsAreExhausted(t *testing.T) {
	t.Parallel()
	const peers, descriptors, releaseWithin = 60, 2, 3 * time.Second
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &outOfDescriptors{Listener: inner}
	l.free.Store(descriptors)
	serveOn(t, l)
	releases := make(chan time.Duration, peers)
	for n := range peers {
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		if n%4 == 0 {
			_, _ = io.WriteString(conn, "POST /api HTTP/1.1\r\nX-Request-")
		}
		began := time.Now()
		go func() { // ends with the connection
			_, _ = conn.Read(make([]byte, 1))
			releases <- time.Since(began)
		}()
	}
	for range peers {
		if after := st.Receive(t, releases); after > releaseWithin {
			t.Errorf("a peer is let go of after %v", after)
		}
	}
}

// A peer's time counts from when it connected: one that was accepted late is let go of as early as others.
func TestAPeersTimeCountsFromItsConnection(t *testing.T) {
	t.Parallel()
	const queued, releaseWithin = 1200 * time.Millisecond, 3 * time.Second
	for name, text := range map[string]string{
		"silent":    "",
		"half head": "POST /api HTTP/1.1\r\nX-Request-",
		"half body": "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: a\r\nX-Class: safe\r\nX-Deadline-Ms: 500\r\n" +
			"X-Addressing: dest=0\r\nContent-Length: 50\r\n\r\nten bytes.",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			conn, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			began := time.Now()
			_, _ = io.WriteString(conn, text)
			time.Sleep(queued)
			serveOn(t, l)
			_ = conn.SetReadDeadline(time.Now().Add(st.Timeout))
			_, err = conn.Read(make([]byte, 1))
			if errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatal("it is not let go of")
			}
			if after := time.Since(began); after > releaseWithin {
				t.Errorf("it is let go of after %v", after)
			}
		})
	}
}
