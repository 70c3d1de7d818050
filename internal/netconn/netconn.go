// Package netconn inspects connections without reading from them, classifies the errors of accept, and shares a
// listener among processes.
//
// The package has no state. The pool of connections to endpoints, the discovery client, the clients' listener, the
// configuration and the hand-over use it.
package netconn

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SettleTime is how long a connection has to rest after a response before the next call is written: bytes that do not
// belong to the response may be right behind it.
const SettleTime = 2 * time.Millisecond

// ReadWouldBlock reports whether nothing has arrived on an idle connection, neither data nor its end, so that it can
// still be used. It reads nothing, and returns true for a connection without a descriptor. A call on a connection that
// the other side has already closed would count as one that may have run, and closing a client's connection with an
// unread request would reset it.
func ReadWouldBlock(c net.Conn) bool {
	_, err := peek(c)
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, errNoDescriptor)
}

// HasUnread reports whether data has arrived on a connection that has not been read. It reads nothing, and returns
// false for a connection without a descriptor.
func HasUnread(c net.Conn) bool {
	count, err := peek(c)
	return err == nil && count > 0
}

// peek returns how many bytes can be read from a connection, at most 1; 0 without an error if it has ended.
func peek(c net.Conn) (count int, err error) {
	err = WithDescriptor(c, func(fd int) (err error) {
		var first [1]byte
		count, _, err = syscall.Recvfrom(fd, first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err
	})
	return count, err
}

// UnacknowledgedBytes returns how many of the bytes that were written to a connection the TCP stack of the other side
// has not acknowledged yet. It reports false if the system does not tell.
func UnacknowledgedBytes(c net.Conn) (count int, ok bool) {
	err := WithDescriptor(c, func(fd int) (err error) {
		count, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err
	})
	return count, err == nil
}

// ReceivedBeforeSent reports whether the last data that was received on a connection arrived before the last data was
// sent. It returns false if both happened within the resolution of the system, some milliseconds, or if the system does
// not tell.
func ReceivedBeforeSent(c net.Conn) bool {
	var info *unix.TCPInfo
	err := WithDescriptor(c, func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	return err == nil && info.Last_data_recv > info.Last_data_sent // both count backwards, in milliseconds
}

var errNoDescriptor = errors.New("the connection has no file descriptor")

// WithDescriptor calls use with a connection's descriptor, which is not closed meanwhile, and returns the error of use.
// It does not wait for a concurrent reader, as RawConn.Read would.
func WithDescriptor(c net.Conn, use func(fd int) error) error {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return errNoDescriptor
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var useErr error
	err = raw.Control(func(fd uintptr) { useErr = use(int(fd)) })
	return errors.Join(err, useErr)
}
