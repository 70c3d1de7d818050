package netconn

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxPollerAttempts bounds the attempts to register a socket with Go's poller while other processes change its mode.
const maxPollerAttempts = 10

var (
	errNoTCPListener = errors.New("the socket is not a TCP listener")
	errNotPollable   = errors.New("the socket stays in blocking mode")
)

// SharedListener is a listener on a socket that other processes have open, too. The processes share its open file
// description and so its blocking mode: a process that passes the socket on makes it blocking for a while (os.File.Fd
// does). An accept that finds no connection then blocks in the kernel until a client connects, and a close waits for
// that accept. So a SharedListener first waits in Go's poller until a connection has arrived, which works in either
// mode, and only then calls accept. Only one process at a time may accept.
type SharedListener struct {
	*net.TCPListener
	polled *os.File // a descriptor of the socket, registered with Go's poller
	raw    syscall.RawConn
}

// NewSharedListener returns a listener on a socket. The socket stays open when the listener is closed.
func NewSharedListener(socket *os.File) (*SharedListener, error) {
	listener, err := net.FileListener(socket)
	if err != nil {
		return nil, err
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return nil, errors.Join(errNoTCPListener, listener.Close())
	}
	polled, err := registerWithPoller(tcp)
	if err != nil {
		return nil, errors.Join(err, tcp.Close())
	}
	raw, err := polled.SyscallConn()
	if err != nil {
		return nil, errors.Join(err, polled.Close(), tcp.Close())
	}
	return &SharedListener{TCPListener: tcp, polled: polled, raw: raw}, nil
}

// registerWithPoller returns a descriptor of a listener's socket that is registered with Go's poller. That requires the
// socket to be non-blocking when the file is created.
func registerWithPoller(listener *net.TCPListener) (*os.File, error) {
	for range maxPollerAttempts {
		file, err := listener.File()
		if err != nil {
			return nil, err
		}
		if file.SetDeadline(time.Time{}) == nil {
			return file, nil
		}
		err = syscall.SetNonblock(int(file.Fd()), true)
		if err = errors.Join(err, file.Close()); err != nil {
			return nil, err
		}
	}
	return nil, errNotPollable
}

// Accept waits for the next connection.
func (l *SharedListener) Accept() (net.Conn, error) {
	err := l.raw.Read(isReadable)
	if errors.Is(err, os.ErrClosed) {
		return nil, net.ErrClosed
	}
	if err != nil {
		return nil, fmt.Errorf("wait for a connection: %w", err)
	}
	return l.TCPListener.Accept()
}

// isReadable reports whether a read of a descriptor would not block. It returns true if that cannot be determined, so
// that the following call returns the error.
func isReadable(descriptor uintptr) bool {
	ready := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}
	for {
		n, err := unix.Poll(ready, 0)
		if !errors.Is(err, unix.EINTR) {
			return n > 0 || err != nil
		}
	}
}

// SetDeadline sets the time at which a waiting or later Accept fails with a timeout.
func (l *SharedListener) SetDeadline(deadline time.Time) error {
	return errors.Join(l.polled.SetDeadline(deadline), l.TCPListener.SetDeadline(deadline))
}

// Close closes the listener without waiting for a connection.
func (l *SharedListener) Close() error {
	return errors.Join(l.polled.Close(), l.TCPListener.Close())
}
