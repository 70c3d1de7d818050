package netconn

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Age returns how long ago a connection was established, if this side has not sent anything on it yet. For a
// connection that has just been accepted, that is its time in the listener's queue. It returns zero where the system
// does not report the time.
func Age(c net.Conn) time.Duration {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	var age time.Duration
	_ = raw.Control(func(fd uintptr) { // fails only if the connection is closed; the age is zero then
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil { // the kernel sets the time of the last sending when a connection is established
			age = time.Duration(info.Last_data_sent) * time.Millisecond
		}
	})
	return age
}
