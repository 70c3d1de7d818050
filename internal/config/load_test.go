package config

import (
	"net"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// acceptEntryTime is time for a goroutine to enter the system call of its accept, which nothing tells.
const acceptEntryTime = 50 * time.Millisecond

// collectionTime is time for the runtime to close what it has found to be garbage, which nothing tells.
const collectionTime = 5 * time.Millisecond

// inheritSocket is a listening socket that the platform holds, and the descriptor of it that a process inherits.
func inheritSocket(t *testing.T) (platform *os.File, passed int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if platform, err = l.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = platform.Close() })
	if passed, err = syscall.Dup(int(platform.Fd())); err != nil {
		t.Fatal(err)
	}
	return platform, passed
}

// The clients' listener of an inherited socket can be closed at any time, as a hand-over does between two steps of the
// event loop. The socket is one open file description for all processes: whoever starts the next process makes it
// blocking for a while, and an accept that begins then blocks in the kernel. The close waits for that accept, so the
// upgrade used to stand still until the next client connected. Shown by a goroutine dump: the loop in handOver, in the
// close of the listener, and the accepting goroutine in accept4.
func TestInheritedListenerClosesWhileItsSocketIsBlocking(t *testing.T) {
	t.Parallel()
	platform, passed := inheritSocket(t)
	listen, err := (&Config{Passed: passed}).Listener()
	if err != nil {
		t.Fatal(err)
	}
	l, err := listen()
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.SetNonblock(int(platform.Fd()), false); err != nil {
		t.Fatal(err)
	}
	accepted, ended := make(chan struct{}), make(chan error, 1)
	go func() { // the listener's close ends it
		conn, err := l.Accept()
		if err == nil {
			_ = conn.Close()
			close(accepted)
			_, err = l.Accept() // begins while the socket is blocking
		}
		ended <- err
	}()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	st.Receive(t, accepted)
	time.Sleep(acceptEntryTime)
	closed := make(chan error, 1)
	go func() { closed <- l.Close() }()
	select {
	case err := <-closed:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(time.Second):
		t.Fatal("the close waits for the next client")
	}
	if err := st.Receive(t, ended); err == nil {
		t.Error("accept goes on after the close")
	}
}

// The inherited socket stays open where no listener can be made of it at first, as when the process has no descriptor
// left for a moment: the attempt is repeated. The file of a failed attempt used to be garbage collected, which closed
// the socket.
func TestInheritedSocketOutlivesAFailedAttempt(t *testing.T) {
	t.Parallel()
	reader, writer, err := os.Pipe() // no listener can be made of it
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	defer writer.Close()
	passed, err := syscall.Dup(int(writer.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	c := &Config{Passed: passed}
	for range 20 {
		if _, err := c.Listener(); err == nil {
			t.Fatal("a pipe is taken for a listener")
		}
		runtime.GC()
		time.Sleep(collectionTime)
	}
	if _, err := syscall.Dup(passed); err != nil {
		t.Errorf("the descriptor is closed: %v", err)
	}
	runtime.KeepAlive(c)
}
