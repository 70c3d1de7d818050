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

// everySecondFails is a listener with an unlimited queue whose Accept fails every second time.
type everySecondFails struct {
	net.Listener
	calls atomic.Uint32
	errno syscall.Errno
}

func (l *everySecondFails) Accept() (net.Conn, error) {
	if l.calls.Add(1)%2 == 1 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.errno)}
	}
	local, _ := net.Pipe()
	return local, nil
}

// Guards against connections that stay in the queue because accept fails for a moment and pauses too long: a peer there
// must get an error or a close within 3 s of its connection, and a request its response within 0.4 s.
func TestQueueIsEmptiedWhileAcceptFails(t *testing.T) {
	t.Parallel()
	const waiting, within = 300, time.Second
	for _, errno := range []syscall.Errno{
		syscall.ECONNABORTED, syscall.EPROTO, syscall.ENETDOWN, syscall.ENFILE, syscall.ENOBUFS,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			l := newLimitListener(&everySecondFails{errno: errno}, newSlots(waiting))
			began := time.Now()
			for range waiting {
				if _, err := l.Accept(); err != nil {
					t.Fatal(err)
				}
			}
			if took := time.Since(began); took > within {
				t.Errorf("accepting %d connections took %v", waiting, took)
			}
		})
	}
}

// connectionPair returns both ends of a client's connection: the server's and the client's.
func connectionPair(t *testing.T) (*clientConn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	remote, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	local, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = remote.Close(); _ = local.Close() })
	return newClientConn(local, time.Now()), remote
}

// Guards against a request that is cut short because its connection is closed gracefully just as the request begins to
// arrive: it has to be read to its end.
func TestGracefulCloseReadsABegunRequestToItsEnd(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		partRead, readBlocked bool // a part has been read, or a read is blocked, when the graceful close begins
		want                  string
	}{
		"nothing has arrived":  {},
		"a part has been read": {partRead: true, want: "first second"},
		"a read is blocked":    {partRead: true, readBlocked: true, want: "first second"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, client := connectionPair(t)
			got, parts := "", make(chan string, 10)
			read := func() {
				b := make([]byte, 100)
				n, _ := conn.Read(b)
				parts <- string(b[:n])
			}
			if c.partRead {
				_, _ = io.WriteString(client, "first ")
				read()
				got += <-parts
			}
			if c.readBlocked {
				go read()
				time.Sleep(20 * time.Millisecond)
			}
			conn.closeGracefully(ClosedShutdown)
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(client, "second")
			if !c.readBlocked {
				go read()
			}
			if got += st.Receive(t, parts); got != c.want {
				t.Errorf("read %q, want %q", got, c.want)
			}
		})
	}
}

// descriptorLimitedListener is a listener of a process with a limited number of descriptors for connections. Open
// connections and the reserve take one each, and accept fails while none is free.
type descriptorLimitedListener struct {
	net.Listener
	free atomic.Int32
}

// countedConn frees its descriptor when it is closed.
type countedConn struct {
	*net.TCPConn
	close func()
}

func (c countedConn) Close() error {
	c.close()
	return c.TCPConn.Close()
}

func (l *descriptorLimitedListener) Accept() (net.Conn, error) {
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

// Guards against a flood of peers that stay in the queue beyond their 3 s while the process has almost no descriptors.
// It came about when accept waited until somebody else closed a connection; now each peer is evicted for the next one.
func TestPeersAreEvictedWhileDescriptorsAreExhausted(t *testing.T) {
	t.Parallel()
	const peers, descriptors, closedWithin = 60, 2, 3 * time.Second
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &descriptorLimitedListener{Listener: inner}
	l.free.Store(descriptors)
	serveOn(t, l)
	closeTimes := make(chan time.Duration, peers)
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
			closeTimes <- time.Since(began)
		}()
	}
	for range peers {
		if after := st.Receive(t, closeTimes); after > closedWithin {
			t.Errorf("a peer's connection is closed after %v", after)
		}
	}
}

// Guards against a time limit that begins only when the connection is accepted: it counts from its establishment, so a
// peer that was accepted late is closed as early as others.
func TestFirstRequestTimeoutCountsFromTheConnection(t *testing.T) {
	t.Parallel()
	const queued, closedWithin = 1200 * time.Millisecond, 3 * time.Second
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
				t.Fatal("the connection is not closed")
			}
			if after := time.Since(began); after > closedWithin {
				t.Errorf("the connection is closed after %v", after)
			}
		})
	}
}
