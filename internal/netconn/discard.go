package netconn

import (
	"errors"
	"net"
	"sync"
	"syscall"
)

// discardBufferSize is the size in bytes of the buffer for bytes that are discarded.
const discardBufferSize = 32 << 10

// discardBuffers holds buffers for bytes that are discarded. A call has one only while it reads, not while it waits.
var discardBuffers = sync.Pool{New: func() any { return new([discardBufferSize]byte) }}

// Discard reads from a connection and discards what it reads, until the connection or its read deadline ends or limit
// bytes have been read. While it waits for the other side it holds no buffer. It returns at once for a connection
// without a descriptor.
func Discard(c net.Conn, limit int) {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	// It fails if the connection or its deadline has ended, which is what the caller waits for.
	_ = raw.Read(func(fd uintptr) (done bool) {
		discarded, err := discardFrom(int(fd), limit)
		limit -= discarded
		return !errors.Is(err, syscall.EAGAIN)
	})
}

// DiscardArrived discards what has arrived on a connection, at most limit bytes. It does not wait.
func DiscardArrived(c net.Conn, limit int) {
	// An error only means that there is nothing more to discard.
	_ = WithDescriptor(c, func(fd int) error {
		_, err := discardFrom(fd, limit)
		return err
	})
}

// discardFrom reads from a descriptor until nothing is there or limit bytes have been read, and returns how many it has
// read. The error is nil at the limit and at the end of the connection.
func discardFrom(fd, limit int) (discarded int, err error) {
	buffer := discardBuffers.Get().(*[discardBufferSize]byte)
	defer discardBuffers.Put(buffer)
	for discarded < limit {
		n, err := syscall.Read(fd, buffer[:])
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if err != nil || n == 0 {
			return discarded, err
		}
		discarded += n
	}
	return discarded, nil
}
