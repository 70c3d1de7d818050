package sender

import (
	"context"
	"fmt"
	"net"

	"onyxdyke.example/onyxdyke/internal/retry"
)

// ListenFunc opens a listener for clients.
type ListenFunc = func() (net.Listener, error)

// clientListener holds the channels that report to the loop that its listener for clients is open or has ended.
type clientListener struct {
	open   func() // starts to open a listener; nil before startListening
	opened chan listenResult
	ended  chan error // receives why the listener has ended, nil if this process has closed it
}

// listenResult is a listener for clients, or the error that prevented one.
type listenResult struct {
	net.Listener
	err error
}

func newClientListener() *clientListener {
	return &clientListener{opened: make(chan listenResult, 1), ended: make(chan error, 1)}
}

// startListening opens the listener for clients, unless the shutdown has been requested already: then the process only
// works on the messages that it has resumed. The goroutine that opens the listener ends by itself, soon after ctx at
// the latest; if the loop has ended by then, its result is not read.
func (s *Sender) startListening(ctx context.Context, listen ListenFunc) {
	s.clientListener.open = func() {
		go func() { s.clientListener.opened <- s.openListener(ctx, listen) }()
	}
	if ctx.Err() == nil {
		s.clientListener.open()
	}
}

// openListener opens a listener for clients. It retries after transient errors, as retry.OnTransient does, and stops
// retrying when ctx ends.
func (s *Sender) openListener(ctx context.Context, listen ListenFunc) listenResult {
	var listener net.Listener
	err := retry.OnTransient(ctx, s.log, "opening the listener for clients", func() (err error) {
		listener, err = listen()
		return err
	})
	return listenResult{Listener: listener, err: err}
}

// handleListener serves a listener that has been opened. After a shutdown request or a hand-over it closes the listener
// instead, because new clients belong to the next process.
func (s *Sender) handleListener(ctx context.Context, opened listenResult) {
	switch {
	case opened.err != nil && ctx.Err() == nil:
		s.shutdown.finish(fmt.Errorf("listen: %w", opened.err))
	case opened.err != nil:
	case ctx.Err() != nil || s.upgrade.handedOver:
		_ = opened.Close() // no client has been accepted on it
	default:
		s.serveListener(opened.Listener)
	}
}

// serveListener accepts clients from a listener. The goroutine ends when the listener is closed, which happens at the
// latest when the server ends.
func (s *Sender) serveListener(listener net.Listener) {
	if s.env.WrapListener != nil {
		listener = s.env.WrapListener(listener)
	}
	limited := s.server.Limit(listener)
	go func() { s.clientListener.ended <- s.server.Serve(limited) }()
	s.server.SetClosing(false)
	s.server.SetReady()
	s.log.Info("ready", "name", s.config.Name, "listen", listener.Addr().String(),
		"resumed", s.messages.pending, "notices", len(s.notices.pending))
}

// handleListenerEnd ends the process if its listener has failed permanently.
func (s *Sender) handleListenerEnd(err error) {
	if err != nil && !s.upgrade.handedOver {
		s.shutdown.finish(fmt.Errorf("accept clients: %w", err))
	}
}
