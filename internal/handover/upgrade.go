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
	// protocolVersion is that of the packets. A lock owner that does not know it keeps what it has.
	protocolVersion = 1
	// LockPollInterval is how often a successor looks for the lock or its owner.
	LockPollInterval = 50 * time.Millisecond
	// acceptRetryInterval is the pause after an accept that failed for a reason that passes.
	acceptRetryInterval = 100 * time.Millisecond
)

var errNoSnapshot = errors.New("the answer holds no snapshot")

// RequestSnapshot asks the owner of a state directory's lock for its snapshot. The owner frees the lock when it sends
// it.
func RequestSnapshot(ctx context.Context, stateDir string) (*Link, *Snapshot, error) {
	var conn net.Conn
	err := WithSocket(stateDir, func(path string) (err error) {
		conn, err = (&net.Dialer{Timeout: linkTimeout}).DialContext(ctx, "unix", path)
		return err
	})
	if err != nil {
		return nil, nil, err
	}
	link := newLink(conn.(*net.UnixConn)) // the network is unix
	link.Send(Hello{Version: protocolVersion, TakesConnections: true})
	p, err := link.receiveWithin()
	snapshot, ok := p.(*Snapshot)
	if err == nil && !ok {
		err = errNoSnapshot
	}
	if err != nil {
		link.Close()
		return nil, nil, fmt.Errorf("the lock owner's snapshot: %w", err)
	}
	return link, snapshot, nil
}

// AwaitSuccessor waits until a successor asks for the snapshot, and returns the link to it. It fails only when ctx
// ends or the socket cannot be listened on. It is called with the lock held, so what stands at the socket's path is
// left from an earlier owner.
func AwaitSuccessor(ctx context.Context, log *slog.Logger, stateDir string) (*Link, error) {
	var listener net.Listener
	err := retry.OnTransient(ctx, log, "the socket for an upgrade", func() error {
		return WithSocket(stateDir, func(path string) (err error) {
			_ = os.Remove(path) // it need not be there
			listener, err = net.Listen("unix", path)
			return err
		})
	})
	if err != nil {
		log.Warn("no socket for an upgrade", "err", err)
		return nil, err
	}
	listener.(*net.UnixListener).SetUnlinkOnClose(false) // by then it may be another's
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
		link := newLink(conn.(*net.UnixConn)) // its listener's network is unix
		p, err := link.receiveWithin()
		if hello, ok := p.(Hello); err == nil && ok && hello.Version == protocolVersion {
			link.takesConnections = hello.TakesConnections
			return link, nil
		}
		log.Warn("a successor that is not understood", "err", err)
		link.Close()
	}
}
