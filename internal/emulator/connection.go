package emulator

import (
	"io"
	"net"
	"time"
)

// The helpers of this file do what can fail only because the other side has ended the connection. The next read reports
// that, so their errors are dropped.

// closeQuietly closes what nothing depends on any more.
func closeQuietly(c io.Closer) { _ = c.Close() }

// writeQuietly writes what the other side need not receive.
func writeQuietly(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// limitRead makes reads fail after a time.
func limitRead(conn net.Conn, timeout time.Duration) {
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
}

// unlimitRead makes reads wait without limit again.
func unlimitRead(conn net.Conn) { _ = conn.SetReadDeadline(time.Time{}) }

// reset ends a connection so that the other side sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	closeQuietly(conn)
}
