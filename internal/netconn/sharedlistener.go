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

// maxPollerAttempts bounds the attempts to have Go's poller watch a socket whose mode others change meanwhile.
const maxPollerAttempts = 10

var (
	errNoTCPListener = errors.New("the socket is not a TCP listener")
	errNotPollable   = errors.New("the socket stays in blocking mode")
)

// SharedListener is a listener on a socket that other processes have, too. They share its open file description and so
// its mode: whoever passes the socket on makes it blocking for a while (os.File.Fd does). An accept that finds no
// connection then blocks in the kernel until somebody connects, and a close waits for that accept. So a SharedListener
// calls accept only when a connection is there, for which it waits in Go's poller whatever the mode is. One process at
// a time may accept.
type SharedListener struct {
	*net.TCPListener
	watched *os.File // a descriptor of the socket that Go's poller watches
	raw     syscall.RawConn
}

// NewSharedListener makes a listener of a socket, which stays open when the listener is closed.
func NewSharedListener(socket *os.File) (*SharedListener, error) {
	listener, err := net.FileListener(socket)
	if err != nil {
		return nil, err
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return nil, errors.Join(errNoTCPListener, listener.Close())
	}
	watched, err := watch(tcp)
	if err != nil {
		return nil, errors.Join(err, tcp.Close())
	}
	raw, err := watched.SyscallConn()
	if err != nil {
		return nil, errors.Join(err, watched.Close(), tcp.Close())
	}
	return &SharedListener{TCPListener: tcp, watched: watched, raw: raw}, nil
}

// watch returns a descriptor of a listener's socket that Go's poller watches. A file takes part in that only if its
// socket is non-blocking when the file is made.
func watch(listener *net.TCPListener) (*os.File, error) {
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

// isReadable reports whether a read of a descriptor would not block. Where the system does not tell, the read will.
func isReadable(descriptor uintptr) bool {
	ready := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}
	for {
		n, err := unix.Poll(ready, 0)
		if !errors.Is(err, unix.EINTR) {
			return n > 0 || err != nil
		}
	}
}

// SetDeadline makes an accept fail that takes until then.
func (l *SharedListener) SetDeadline(deadline time.Time) error {
	return errors.Join(l.watched.SetDeadline(deadline), l.TCPListener.SetDeadline(deadline))
}

// Close closes the listener. It waits for no connection.
func (l *SharedListener) Close() error {
	return errors.Join(l.watched.Close(), l.TCPListener.Close())
}
