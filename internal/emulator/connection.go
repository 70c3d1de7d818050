package emulator

import (
	"io"
	"net"
	"time"
)

// The helpers of this file do to a connection what may fail only because the other side has ended it. The next read of
// the connection tells, so their errors are dropped.

// closeQuietly closes what nothing depends on any more.
func closeQuietly(c io.Closer) { _ = c.Close() }

// writeQuietly writes what the other side need not receive.
func writeQuietly(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// limitRead lets reads fail from a time on.
func limitRead(conn net.Conn, timeout time.Duration) {
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
}

// unlimitRead lets reads wait for as long as it takes.
func unlimitRead(conn net.Conn) { _ = conn.SetReadDeadline(time.Time{}) }

// reset ends a connection so that the other side sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	closeQuietly(conn)
}
