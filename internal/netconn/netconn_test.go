package netconn

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (local, remote net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	remote, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = remote.Close() })
	local, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = local.Close() })
	return local, remote
}

// awaitArrival waits until something has arrived on a connection, without reading it.
func awaitArrival(t *testing.T, c net.Conn) {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Read(func(fd uintptr) (done bool) {
		var first [1]byte
		_, _, err := syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return !errors.Is(err, syscall.EAGAIN)
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against using a connection that is closed or has unread data.
func TestReadWouldBlock(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		prepare func(t *testing.T, local, remote net.Conn)
		want    bool
	}{
		"nothing has arrived": {prepare: func(*testing.T, net.Conn, net.Conn) {}, want: true},
		"data has arrived": {prepare: func(t *testing.T, local, remote net.Conn) {
			if _, err := remote.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}
			awaitArrival(t, local)
		}},
		"the remote end was closed": {prepare: func(t *testing.T, local, remote net.Conn) {
			if err := remote.Close(); err != nil {
				t.Fatal(err)
			}
			awaitArrival(t, local)
		}},
		"the local end was closed": {prepare: func(t *testing.T, local, _ net.Conn) {
			if err := local.Close(); err != nil {
				t.Fatal(err)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			local, remote := connect(t)
			c.prepare(t, local, remote)
			if got := ReadWouldBlock(local); got != c.want {
				t.Errorf("ReadWouldBlock returned %v", got)
			}
		})
	}
}

// Guards against a check that consumes a byte of the next request or response.
func TestReadWouldBlockReadsNothing(t *testing.T) {
	t.Parallel()
	local, remote := connect(t)
	if _, err := remote.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	awaitArrival(t, local)
	if ReadWouldBlock(local) {
		t.Error("ReadWouldBlock returned true for a connection with unread data")
	}
	var first [1]byte
	if n, err := local.Read(first[:]); n != 1 || err != nil || first[0] != 'x' {
		t.Errorf("read %d bytes, %q: %v", n, first, err)
	}
}

// Guards against discarding connections that cannot be checked because they have no descriptor.
func TestReadWouldBlockWithoutDescriptor(t *testing.T) {
	t.Parallel()
	local, remote := net.Pipe()
	t.Cleanup(func() { _, _ = local.Close(), remote.Close() })
	if !ReadWouldBlock(local) {
		t.Error("ReadWouldBlock returned false for a pipe")
	}
}

// Guards against a response that is taken for a stale one, or the reverse: what arrives before the other side has
// received anything is known to be no response, and what arrives after that is not taken for stale.
func TestOrderOfSendingAndReceiving(t *testing.T) {
	local, remote := connect(t)
	if HasUnread(local) {
		t.Error("there is something to read on a new connection")
	}
	for _, first := range []net.Conn{remote, local} { // the one that writes first
		second := map[net.Conn]net.Conn{remote: local, local: remote}[first]
		const pause = 30 * time.Millisecond // above the resolution of the system
		if _, err := first.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		awaitArrival(t, second)
		time.Sleep(pause)
		if _, err := second.Write([]byte("y")); err != nil {
			t.Fatal(err)
		}
		awaitArrival(t, first)
		if got, want := ReceivedBeforeSent(local), first == remote; got != want {
			t.Errorf("received before sent: %v, want %v", got, want)
		}
		if !HasUnread(local) {
			t.Error("there is nothing to read")
		}
		for _, c := range []net.Conn{local, remote} {
			if _, err := c.Read(make([]byte, 1)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(pause)
	}
	_ = remote.Close()
	awaitArrival(t, local)
	if HasUnread(local) {
		t.Error("the end of a connection is taken for something to read")
	}
}

// Guards against bytes that count as unacknowledged although the other side has answered them: an answer acknowledges.
func TestAnAnswerAcknowledges(t *testing.T) {
	local, remote := connect(t)
	for range 100 {
		if _, err := local.Write([]byte("call")); err != nil {
			t.Fatal(err)
		}
		if _, err := remote.Read(make([]byte, 8)); err != nil {
			t.Fatal(err)
		}
		if _, err := remote.Write([]byte("answer")); err != nil {
			t.Fatal(err)
		}
		if _, err := local.Read(make([]byte, 8)); err != nil {
			t.Fatal(err)
		}
		if count, ok := UnacknowledgedBytes(local); count != 0 || !ok {
			t.Fatalf("%d bytes are unacknowledged behind an answer, %v", count, ok)
		}
	}
}

// Guards against reading a request before it has arrived, which takes memory for as long as its peer likes: the wait
// ends when the bytes are there, when more than the system buffers is waited for, or when the connection ends. What
// comes later is noticed again as soon as one byte has arrived.
func TestAwaitReadable(t *testing.T) {
	local, remote := connect(t)
	const count = 60 << 10
	if _, err := remote.Write(make([]byte, count-1)); err != nil {
		t.Fatal(err)
	}
	_ = local.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if err := AwaitReadable(local, count); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("one byte is missing, and the wait ends with %v", err)
	}
	time.AfterFunc(20*time.Millisecond, func() { _, _ = remote.Write([]byte{0}) })
	_ = local.SetReadDeadline(time.Now().Add(10 * time.Second))
	if err := AwaitReadable(local, count); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(local, make([]byte, count)); err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(20*time.Millisecond, func() { _, _ = remote.Write([]byte{0}) })
	if n, err := local.Read(make([]byte, 2)); n != 1 || err != nil {
		t.Fatalf("read %d bytes, %v", n, err)
	}
	go func() { _, _ = remote.Write(make([]byte, 64<<20)) }() // ends when the connection is closed
	if err := AwaitReadable(local, 64<<20); err != nil {
		t.Fatalf("more than the system buffers: %v", err)
	}
	_ = remote.Close()
	if err := AwaitReadable(local, 64<<20); err != nil {
		t.Fatalf("the connection has ended: %v", err)
	}
	piped, _ := net.Pipe()
	if err := AwaitReadable(piped, 1); !errors.Is(err, ErrNotAwaited) {
		t.Errorf("a connection without a descriptor: %v", err)
	}
}
