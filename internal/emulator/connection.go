package emulator

import (
	"io"
	"net"
	"time"
)

// The helpers of this file ignore errors. Their operations fail only if the peer has closed the connection, and the
// next read reports that.

// closeQuietly closes something that is no longer used, and ignores the error.
func closeQuietly(c io.Closer) { _ = c.Close() }

// writeQuietly writes a text that the peer need not receive.
func writeQuietly(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// limitRead makes reads fail after a timeout, counted from now.
func limitRead(conn net.Conn, timeout time.Duration) {
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
}

// unlimitRead removes the limit that limitRead has set.
func unlimitRead(conn net.Conn) { _ = conn.SetReadDeadline(time.Time{}) }

// reset closes a connection so that the peer sees a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	closeQuietly(conn)
}
