package handover

import (
	"encoding/gob"
	"io"
	"net"
	"path/filepath"
	"testing"
	"time"

	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// unixPair returns the two ends of a Unix connection.
func unixPair(t *testing.T) (owner, successor *net.UnixConn) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "socket")
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if successor, err = net.DialUnix("unix", nil, listener.Addr().(*net.UnixAddr)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = successor.Close() })
	if owner, err = listener.AcceptUnix(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = owner.Close() })
	return owner, successor
}

// platformConnection opens a connection to a listener that stands in for the platform, and returns both of its ends.
func platformConnection(t *testing.T) (ours, platform net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if ours, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if platform, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = platform.Close() })
	_ = platform.SetDeadline(time.Now().Add(st.Timeout))
	return ours, platform
}

// readAll reads from a connection until its other end is closed.
func readAll(t *testing.T, c net.Conn) string {
	t.Helper()
	text, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Guards against connections to the platform that are lost or mixed up when they are passed with a snapshot, or that
// the lock owner keeps open as well.
func TestConnectionsArePassedWithTheSnapshot(t *testing.T) {
	t.Parallel()
	ownerConn, successorConn := unixPair(t)
	owner, successor := newLink(ownerConn), newLink(successorConn)
	defer owner.Close()
	defer successor.Close()
	first, firstPlatform := platformConnection(t)
	second, secondPlatform := platformConnection(t)
	owner.Send(ForwardedResponse{Sequence: 1})
	owner.Send(&Snapshot{
		ListVersion: 5,
		Connections: []PassedConnection{{Address: "a:1", Conn: first}, {Address: "b:2", Conn: second}},
	})
	owner.Send(ForwardedResponse{Sequence: 2})
	if p, err := successor.receiveWithTimeout(); err != nil || p.(ForwardedResponse).Sequence != 1 {
		t.Fatalf("received the packet %+v with the error %v", p, err)
	}
	p, err := successor.receiveWithTimeout()
	if err != nil {
		t.Fatal(err)
	}
	snapshot, ok := p.(*Snapshot)
	if !ok || snapshot.ListVersion != 5 || len(snapshot.Connections) != 2 {
		t.Fatalf("received the packet %+v, want a snapshot of list version 5 with two connections", p)
	}
	if p, err := successor.receiveWithTimeout(); err != nil || p.(ForwardedResponse).Sequence != 2 {
		t.Fatalf("received the packet %+v with the error %v", p, err)
	}
	for i, want := range []string{"a:1", "b:2"} {
		passed := snapshot.Connections[i]
		if passed.Address != want {
			t.Errorf("connection %d has the address %s, want %s", i, passed.Address, want)
		}
		if _, err := io.WriteString(passed.Conn, want); err != nil {
			t.Error(err)
		}
		_ = passed.Conn.Close()
	}
	// The platform reads to the end of a connection only if no process holds a descriptor of it any more.
	if got := readAll(t, firstPlatform) + readAll(t, secondPlatform); got != "a:1b:2" {
		t.Errorf("the platform reads %q", got)
	}
}

// A connection that is closed before the snapshot is written makes the write fail, which closes the link, as any failed
// write does. The successor then requests the snapshot again.
func TestClosedConnectionIsNotPassed(t *testing.T) {
	t.Parallel()
	ownerConn, successorConn := unixPair(t)
	owner, successor := newLink(ownerConn), newLink(successorConn)
	defer owner.Close()
	defer successor.Close()
	closed, _ := platformConnection(t)
	_ = closed.Close()
	owner.Send(&Snapshot{Connections: []PassedConnection{{Address: "a:1", Conn: closed}}})
	if p, err := successor.receiveWithTimeout(); err == nil {
		t.Errorf("the successor received %+v, want an error", p)
	}
}

// An earlier release, which does not support connections, must be able to read a snapshot that has some. The kernel
// closes the connections then.
func TestEarlierReleaseReadsSnapshotWithConnections(t *testing.T) {
	t.Parallel()
	type earlierSnapshot struct{ ListVersion int64 }
	type earlierPacket struct{ Estate *earlierSnapshot }
	ownerConn, successorConn := unixPair(t)
	owner := newLink(ownerConn)
	defer owner.Close()
	ours, platform := platformConnection(t)
	owner.Send(&Snapshot{ListVersion: 5, Connections: []PassedConnection{{Address: "a:1", Conn: ours}}})
	var read earlierPacket
	_ = successorConn.SetDeadline(time.Now().Add(st.Timeout))
	if err := gob.NewDecoder(successorConn).Decode(&read); err != nil || read.Estate.ListVersion != 5 {
		t.Fatalf("the earlier release read %+v with the error %v", read, err)
	}
	if got := readAll(t, platform); got != "" {
		t.Errorf("the platform reads %q", got)
	}
}

// If the descriptors are missing, a snapshot must not have connections that are nil: only their addresses were
// received.
func TestAddressesWithoutDescriptorsAreDropped(t *testing.T) {
	t.Parallel()
	s := &Snapshot{Connections: []PassedConnection{{Address: "a:1"}}} // its descriptor was not received
	s.attachConnections(nil)
	if len(s.Connections) != 0 {
		t.Errorf("the snapshot has the connections %+v, want none", s.Connections)
	}
}
