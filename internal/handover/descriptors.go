package handover

import (
	"net"
	"os"

	"golang.org/x/sys/unix"

	"onyxdyke.example/onyxdyke/internal/netconn"
)

// Connections are passed to the other process as file descriptors in control messages (SCM_RIGHTS) that accompany the
// bytes of the stream. An earlier release without support for them reads the bytes only, and the kernel closes the
// descriptors.

// maxPassedConnections is the maximum number of connections that are passed with one packet.
const maxPassedConnections = 8

// descriptorConn is the Unix connection of a link, together with the descriptors that are passed on it. One goroutine
// may read and one may write at a time.
type descriptorConn struct {
	*net.UnixConn
	outgoing []net.Conn // to be passed with the next bytes written
	received []int      // descriptors that takeReceived has not yet returned
}

// Write writes bytes, and passes the outgoing connections with the first of them.
func (c *descriptorConn) Write(b []byte) (int, error) {
	if len(c.outgoing) == 0 {
		return c.UnixConn.Write(b)
	}
	conns := c.outgoing
	c.outgoing = nil
	written := 0
	err := withDescriptors(conns, nil, func(descriptors []int) (err error) {
		written, _, err = c.WriteMsgUnix(b, unix.UnixRights(descriptors...), nil)
		return err
	})
	if err != nil || written == len(b) {
		return written, err
	}
	n, err := c.UnixConn.Write(b[written:])
	return written + n, err
}

// withDescriptors calls use with the given descriptors followed by those of conns. No connection can be closed during
// the call. The descriptors are not duplicated, because a duplicate needs a further descriptor and the machine may have
// none left.
func withDescriptors(conns []net.Conn, descriptors []int, use func(descriptors []int) error) error {
	if len(conns) == 0 {
		return use(descriptors)
	}
	return netconn.WithDescriptor(conns[0], func(fd int) error {
		return withDescriptors(conns[1:], append(descriptors, fd), use)
	})
}

// Read reads bytes and stores the descriptors that are received with them.
func (c *descriptorConn) Read(b []byte) (int, error) {
	control := make([]byte, unix.CmsgSpace(maxPassedConnections*4))
	n, controlLength, _, _, err := c.ReadMsgUnix(b, control)
	if controlLength > 0 {
		c.received = append(c.received, parseDescriptors(control[:controlLength])...)
	}
	return max(0, n), err // n is -1 after an error
}

// parseDescriptors returns the descriptors in a control message, and none if it cannot be parsed.
func parseDescriptors(control []byte) []int {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return nil
	}
	var descriptors []int
	for _, message := range messages {
		if rights, err := unix.ParseUnixRights(&message); err == nil {
			descriptors = append(descriptors, rights...)
		}
	}
	return descriptors
}

// takeReceived returns the connections of the received descriptors in order, and clears the list of descriptors. The
// entry is nil for a descriptor that cannot be converted to a connection.
func (c *descriptorConn) takeReceived() []net.Conn {
	var conns []net.Conn
	for _, descriptor := range c.received {
		conns = append(conns, connectionOf(descriptor))
	}
	c.received = nil
	return conns
}

// connectionOf converts a descriptor to a connection and closes the descriptor. It returns nil if the conversion fails,
// which can happen because it needs a second descriptor for a moment.
func connectionOf(descriptor int) net.Conn {
	file := os.NewFile(uintptr(descriptor), "passed connection")
	defer file.Close()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	return conn
}

// closeAll closes the connections that are not nil. Nothing was sent on any of them.
func closeAll(conns []net.Conn) {
	for _, conn := range conns {
		if conn != nil {
			_ = conn.Close()
		}
	}
}
