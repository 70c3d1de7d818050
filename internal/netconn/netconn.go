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
)

// ReadWouldBlock reports whether nothing has arrived on an idle connection, neither data nor its end, so that it can
// still be used. It reads nothing, and returns true for a connection without a descriptor. A call on a connection that
// the other side has already closed would count as one that may have run, and closing a client's connection with an
// unread request would reset it.
func ReadWouldBlock(c net.Conn) bool {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = raw.Control(func(fd uintptr) { // RawConn.Read would wait for a concurrent reader
		var first [1]byte
		_, _, err := syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		wouldBlock = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && wouldBlock
}
