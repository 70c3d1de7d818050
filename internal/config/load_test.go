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

// acceptEntryTime is long enough for a goroutine to enter the accept system call, which cannot be observed.
const acceptEntryTime = 50 * time.Millisecond

// collectionTime is long enough for the runtime to close files that are garbage, which cannot be observed.
const collectionTime = 5 * time.Millisecond

// inheritSocket returns a listening socket that the platform holds, and the descriptor of it that a process inherits.
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

// Guards against an upgrade that hangs until the next client connects: the event loop closes the listener of an
// inherited socket in handOver, between two steps, and that close waited for an accept that blocked in the kernel
// (accept4). An accept blocks there because all processes share one open file description of the socket, and starting
// the next process makes it blocking for a while.
func TestInheritedListenerClosesWhileItsSocketIsBlocking(t *testing.T) {
	t.Parallel()
	platform, passed := inheritSocket(t)
	listen, err := (&Config{PassedDescriptor: passed}).Listener()
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
			_, err = l.Accept() // starts while the socket is in blocking mode
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
		t.Fatal("closing the listener waits for the next client")
	}
	if err := st.Receive(t, ended); err == nil {
		t.Error("Accept returns no error after the listener was closed")
	}
}

// Guards against an inherited socket that is closed after a failed attempt to create a listener from it, as when the
// process has no free descriptor for a moment. The attempt is repeated, but the file of the failed attempt was garbage
// collected, which closed the socket.
func TestInheritedSocketOutlivesAFailedAttempt(t *testing.T) {
	t.Parallel()
	reader, writer, err := os.Pipe() // no listener can be created from it
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	defer writer.Close()
	passed, err := syscall.Dup(int(writer.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	c := &Config{PassedDescriptor: passed}
	for range 20 {
		if _, err := c.Listener(); err == nil {
			t.Fatal("Listener accepts a pipe")
		}
		runtime.GC()
		time.Sleep(collectionTime)
	}
	if _, err := syscall.Dup(passed); err != nil {
		t.Errorf("the descriptor is closed: %v", err)
	}
	runtime.KeepAlive(c)
}
