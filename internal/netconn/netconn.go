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

// HasPeerLeft reports whether the other side of a connection is known to have closed it, also if bytes that it sent
// before have not been read yet. A peer that has only ended its sending looks the same.
func HasPeerLeft(c net.Conn) bool {
	var info *unix.TCPInfo
	err := WithDescriptor(c, func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	if err == nil && (info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE) {
		return true
	}
	count, err := peek(c)
	return count == 0 && (err == nil || errors.Is(err, syscall.ECONNRESET))
}

// UnreadBytes returns how many bytes have arrived on a connection without having been read, 0 if the system does not
// tell.
func UnreadBytes(c net.Conn) (count int) {
	_ = WithDescriptor(c, func(fd int) (err error) { // count stays 0 after an error
		count, err = unix.IoctlGetInt(fd, unix.SIOCINQ)
		return err
	})
	return count
}

// ErrNotAwaited is returned by AwaitReadable for a connection whose descriptor it cannot use.
var ErrNotAwaited = errors.New("the connection does not tell how much has arrived")

// maxEarlyWakes is how often AwaitReadable is woken although too little has arrived before it gives up waiting for
// more: a system that heeds the low water mark wakes it for what had arrived before the mark was set, and then once.
const maxEarlyWakes = 3

// AwaitReadable waits until count bytes can be read from a connection, or as many as the system buffers, or until the
// connection or its read deadline ends. It returns ErrNotAwaited if the system does not offer that.
func AwaitReadable(c net.Conn, count int) error {
	if err := setLowWaterMark(c, count); err != nil {
		return errors.Join(ErrNotAwaited, err)
	}
	defer func() { _ = setLowWaterMark(c, 1) }() // it fails only if the connection is closed
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	wakes := -1 // the first call comes before the wait
	return raw.Read(func(fd uintptr) (done bool) {
		wakes++
		return isReadable(fd) || wakes > maxEarlyWakes
	})
}

// setLowWaterMark sets how many bytes have to arrive on a connection until it counts as readable.
func setLowWaterMark(c net.Conn, count int) error {
	return WithDescriptor(c, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVLOWAT, count)
	})
}
