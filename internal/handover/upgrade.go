package handover

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"onyxdyke.example/onyxdyke/internal/netconn"
	"onyxdyke.example/onyxdyke/internal/retry"
)

const (
	// protocolVersion is the version of the packets. A lock owner that does not support the version of a successor's
	// Hello sends no snapshot and keeps the lock.
	protocolVersion = 1
	// LockPollInterval is the interval at which a successor retries to take the lock or to reach its owner.
	LockPollInterval = 50 * time.Millisecond
	// acceptRetryInterval is the pause after a transient failure to accept a connection.
	acceptRetryInterval = 100 * time.Millisecond
)

var errNoSnapshot = errors.New("the lock owner's first packet is not a snapshot")

// RequestSnapshot requests the snapshot of the process that holds the lock on a state directory. The owner releases the
// lock when it sends the snapshot.
func RequestSnapshot(ctx context.Context, stateDir string) (*Link, *Snapshot, error) {
	var conn net.Conn
	err := WithSocket(stateDir, func(path string) (err error) {
		conn, err = (&net.Dialer{Timeout: linkTimeout}).DialContext(ctx, "unix", path)
		return err
	})
	if err != nil {
		return nil, nil, err
	}
	link := newLink(conn.(*net.UnixConn)) // the dialed network is "unix"
	link.Send(Hello{Version: protocolVersion, InheritsConnections: true, KeepsShare: true})
	p, err := link.receiveWithTimeout()
	snapshot, ok := p.(*Snapshot)
	if err == nil && !ok {
		err = errNoSnapshot
	}
	if err != nil {
		link.Close()
		return nil, nil, fmt.Errorf("receive the lock owner's snapshot: %w", err)
	}
	return link, snapshot, nil
}

// AwaitSuccessor waits until a successor requests the snapshot, and returns the link to it. It fails only if ctx ends
// or it cannot listen on the socket. The caller holds the lock, so a file that exists at the socket's path was left by
// an earlier owner and is removed.
func AwaitSuccessor(ctx context.Context, log *slog.Logger, stateDir string) (*Link, error) {
	var listener net.Listener
	err := retry.OnTransient(ctx, log, "listening on the upgrade socket", func() error {
		return WithSocket(stateDir, func(path string) (err error) {
			_ = os.Remove(path) // it may not exist
			listener, err = net.Listen("unix", path)
			return err
		})
	})
	if err != nil {
		log.Warn("no socket for an upgrade", "err", err)
		return nil, err
	}
	listener.(*net.UnixListener).SetUnlinkOnClose(false) // by then the path may belong to another process
	defer listener.Close()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil && !netconn.IsListenerBroken(err) && retry.Wait(ctx, acceptRetryInterval) {
			continue
		}
		if err != nil {
			return nil, err
		}
		link := newLink(conn.(*net.UnixConn)) // the listener's network is "unix"
		p, err := link.receiveWithTimeout()
		if hello, ok := p.(Hello); err == nil && ok && hello.Version == protocolVersion {
			link.inheritsConnections, link.keepsShare = hello.InheritsConnections, hello.KeepsShare
			return link, nil
		}
		log.Warn("closing the link: the successor sent no hello of a supported version", "err", err)
		link.Close()
	}
}
