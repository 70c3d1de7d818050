package handover

import (
	"errors"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// Connections go to the other process as descriptors beside the bytes of the stream (SCM_RIGHTS). A release that does
// not know of them reads the bytes alone, and the kernel closes the descriptors.

// maxPassedConnections bounds the connections that go with one packet.
const maxPassedConnections = 8

var errNoDescriptor = errors.New("a connection without a descriptor")

// descriptorConn is the Unix connection of a link, with the descriptors that pass on it. Reading and writing are for
// one goroutine each.
type descriptorConn struct {
	*net.UnixConn
	outgoing []net.Conn // to go with the next bytes written
	received []int      // descriptors not yet taken by takeReceived
}

// Write writes bytes, and with the first of them the outgoing connections.
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

// withDescriptors calls use with the descriptors of connections, behind those that are given. None of them can be
// closed meanwhile. A copy of a descriptor would take one more, which the machine may not have.
func withDescriptors(conns []net.Conn, descriptors []int, use func(descriptors []int) error) error {
	if len(conns) == 0 {
		return use(descriptors)
	}
	conn, ok := conns[0].(syscall.Conn)
	if !ok {
		return errNoDescriptor
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var useErr error
	err = raw.Control(func(fd uintptr) {
		useErr = withDescriptors(conns[1:], append(descriptors, int(fd)), use)
	})
	return errors.Join(err, useErr)
}

// Read reads bytes and keeps the descriptors that come with them.
func (c *descriptorConn) Read(b []byte) (int, error) {
	control := make([]byte, unix.CmsgSpace(maxPassedConnections*4))
	n, controlLength, _, _, err := c.ReadMsgUnix(b, control)
	if controlLength > 0 {
		c.received = append(c.received, parseDescriptors(control[:controlLength])...)
	}
	return max(0, n), err // n is -1 after an error
}

// parseDescriptors returns the descriptors of a control message. What cannot be parsed has none.
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

// takeReceived returns the connections of the descriptors that were received, in order, nil for one of which none can
// be made. It keeps none of them.
func (c *descriptorConn) takeReceived() []net.Conn {
	var conns []net.Conn
	for _, descriptor := range c.received {
		conns = append(conns, connectionOf(descriptor))
	}
	c.received = nil
	return conns
}

// connectionOf makes a connection of a descriptor, which it closes. It is nil if that fails, as it needs a second
// descriptor for a moment.
func connectionOf(descriptor int) net.Conn {
	file := os.NewFile(uintptr(descriptor), "passed connection")
	defer file.Close()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil
	}
	return conn
}

// closeAll closes connections on which nothing was sent, those that are not nil.
func closeAll(conns []net.Conn) {
	for _, conn := range conns {
		if conn != nil {
			_ = conn.Close()
		}
	}
}
