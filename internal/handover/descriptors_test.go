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

// unixPair is two ends of a Unix connection.
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

// platformConnection is a connection to a platform's address, and the platform's end of it.
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

// readAll reads a connection to its end.
func readAll(t *testing.T, c net.Conn) string {
	t.Helper()
	text, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// A successor gets connections to the platform with the snapshot and can use them; the owner keeps none of them.
func TestConnectionsGoWithTheSnapshot(t *testing.T) {
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
	if p, err := successor.receiveWithin(); err != nil || p.(ForwardedResponse).Sequence != 1 {
		t.Fatalf("%+v, %v", p, err)
	}
	p, err := successor.receiveWithin()
	if err != nil {
		t.Fatal(err)
	}
	snapshot, ok := p.(*Snapshot)
	if !ok || snapshot.ListVersion != 5 || len(snapshot.Connections) != 2 {
		t.Fatalf("%+v", p)
	}
	if p, err := successor.receiveWithin(); err != nil || p.(ForwardedResponse).Sequence != 2 {
		t.Fatalf("%+v, %v", p, err)
	}
	for i, want := range []string{"a:1", "b:2"} {
		passed := snapshot.Connections[i]
		if passed.Address != want {
			t.Errorf("connection %d is to %s, want %s", i, passed.Address, want)
		}
		if _, err := io.WriteString(passed.Conn, want); err != nil {
			t.Error(err)
		}
		_ = passed.Conn.Close()
	}
	// Their ends come only when no process has a descriptor of them any more.
	if got := readAll(t, firstPlatform) + readAll(t, secondPlatform); got != "a:1b:2" {
		t.Errorf("the platform reads %q", got)
	}
}

// A connection that has been closed before the snapshot is written ends the link as any failed write does: the
// successor asks again.
func TestAClosedConnectionIsNotPassed(t *testing.T) {
	t.Parallel()
	ownerConn, successorConn := unixPair(t)
	owner, successor := newLink(ownerConn), newLink(successorConn)
	defer owner.Close()
	defer successor.Close()
	closed, _ := platformConnection(t)
	_ = closed.Close()
	owner.Send(&Snapshot{Connections: []PassedConnection{{Address: "a:1", Conn: closed}}})
	if p, err := successor.receiveWithin(); err == nil {
		t.Errorf("the successor gets %+v", p)
	}
}

// A release that knows nothing of connections reads a snapshot that comes with some, and the kernel closes them.
func TestAnEarlierReleaseReadsASnapshotWithConnections(t *testing.T) {
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
		t.Fatalf("%+v, %v", read, err)
	}
	if got := readAll(t, platform); got != "" {
		t.Errorf("the platform reads %q", got)
	}
}

// A successor that was not given connections, as by an earlier release, has none.
func TestASnapshotWithoutConnectionsHasNone(t *testing.T) {
	t.Parallel()
	s := &Snapshot{Connections: []PassedConnection{{Address: "a:1"}}} // the descriptor did not come
	s.attachConnections(nil)
	if len(s.Connections) != 0 {
		t.Errorf("connections %+v", s.Connections)
	}
}
