package ingress

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/clock"
	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/invariant"
	"onyxdyke.example/onyxdyke/internal/metrics"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// newClientConn returns a connection as limitListener passes it to the connection table.
func newClientConn(t *testing.T) *clientConn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(); _ = peer.Close() })
	return &clientConn{Conn: c, releaseSlot: func() {}, skipsLinger: new(atomic.Bool)}
}

// isClosedOrClosing reports whether a connection is closed, or will be because nothing more is read from it.
func (c *clientConn) isClosedOrClosing() bool {
	_ = c.SetDeadline(time.Now().Add(-time.Second))
	_, err := c.Write([]byte{0})
	return c.isClosingGracefully.Load() || !errors.Is(err, os.ErrDeadlineExceeded)
}

// Guards against evicting the wrong connection when all slots are taken: the one that has been idle for longest has to
// be evicted, and never one whose request is being answered.
func TestIdleConnectionsAreEvictedOldestFirst(t *testing.T) {
	t.Parallel()
	table := newConnectionTable(config.Limits{Sockets: 6}.MaxClientConnections())
	conns := map[string]*clientConn{}
	open := func(name string) {
		conns[name] = newClientConn(t)
		table.track(conns[name], http.StateNew)
	}
	open("busy")
	table.track(conns["busy"], http.StateActive)
	open("held")
	if conns["held"].isClosedOrClosing() {
		t.Error("closed although a slot is free")
	}
	open("new")
	for name, want := range map[string]bool{"busy": false, "held": true, "new": false} {
		if conns[name].isClosedOrClosing() != want {
			t.Errorf("%s: closed or closing: %v", name, !want)
		}
	}
	table.track(conns["held"], http.StateClosed)
	table.track(conns["busy"], http.StateIdle) // idle for less long than the new one
	open("newer")
	for name, want := range map[string]bool{"busy": false, "new": true, "newer": false} {
		if conns[name].isClosedOrClosing() != want {
			t.Errorf("%s: closed or closing: %v", name, !want)
		}
	}
}

// Guards against evicting the wrong connection when no connection is idle: the one whose first request has been
// incomplete for longest has to be evicted, and never one whose request has been read completely, one with a further
// request of its client, or one whose request has only just begun.
func TestIncompleteFirstRequestIsEvicted(t *testing.T) {
	t.Parallel()
	table := newConnectionTable(config.Limits{Sockets: 8}.MaxClientConnections())
	conns := map[string]*clientConn{}
	for _, name := range []string{"client", "whole", "half"} {
		conns[name] = newClientConn(t)
		table.track(conns[name], http.StateNew)
		table.track(conns[name], http.StateActive)
		if name == "client" {
			table.track(conns[name], http.StateIdle)
			table.track(conns[name], http.StateActive)
		}
	}
	table.requestRead(conns["whole"])
	table.track(newClientConn(t), http.StateNew)
	if conns["half"].isClosedOrClosing() {
		t.Error("a request that has just begun to arrive is aborted")
	}
	for until := time.Now().Add(st.Timeout); !conns["half"].isClosedOrClosing(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the connection of an incomplete request is not evicted")
		}
	}
	for _, name := range []string{"client", "whole"} {
		if conns[name].isClosedOrClosing() {
			t.Errorf("%s: closed or closing", name)
		}
	}
}

// Guards against closing a connection without a response when the end of its request is read during its eviction. The
// message may have been accepted, so it gets its response, however long that takes.
func TestRequestCompletedDuringItsEvictionIsAnswered(t *testing.T) {
	t.Parallel()
	table := newConnectionTable(config.Limits{Sockets: 4}.MaxClientConnections())
	half, other := newClientConn(t), newClientConn(t)
	for _, c := range []*clientConn{half, other} {
		table.track(c, http.StateNew)
		table.track(c, http.StateActive)
	}
	closed := make(chan struct{})
	other.releaseSlot = sync.OnceFunc(func() { close(closed) })
	table.track(newClientConn(t), http.StateNew)
	for until := time.Now().Add(st.Timeout); !half.isClosingGracefully.Load(); {
		if time.Now().After(until) {
			t.Fatal("the connection of an incomplete request is not evicted")
		}
	}
	table.requestRead(half)
	table.mu.Lock()
	table.evictPartial(0, EvictionGrace)
	table.mu.Unlock()
	st.Receive(t, closed) // the other one is evicted later, so half would have been closed by now
	if _, err := half.Write([]byte("HTTP/1.1 202 Accepted\r\n\r\n")); err != nil {
		t.Errorf("writing its response: %v", err)
	}
}

// newTestServer returns a server that accepts every message until it is closed.
func newTestServer(t *testing.T) *Server {
	t.Helper()
	raw, err := json.Marshal(st.Config(st.NewAgent(t), t.TempDir()))
	if err != nil {
		t.Fatal(err)
	}
	c, err := config.Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	submit := func(ctx context.Context, sub Submission) bool {
		sub.Responses <- Response{Status: http.StatusAccepted}
		return ctx.Err() == nil
	}
	return New(Options{
		Config: c,
		Clock:  clock.New(time.Now()),
		Log:    slog.New(slog.DiscardHandler),
		Submit: submit,
	})
}

// Guards against losing a complete request whose context has ended: net/http ends it when reading on the connection
// ends, as in an eviction, and the message still has to be submitted.
func TestCompleteRequestIsSubmittedAfterItsContextEnds(t *testing.T) {
	t.Parallel()
	s := newTestServer(t)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	w := httptest.NewRecorder()
	r := st.Request(t, "x", "m", "safe", 0, 5*time.Second, "body")
	r.Header.Set("Content-Length", "4")
	s.handleMessage(w, r.WithContext(ended))
	if w.Code != http.StatusAccepted {
		t.Errorf("response status %d", w.Code)
	}
	s.Close()
	w = httptest.NewRecorder()
	r = st.Request(t, "x", "m2", "safe", 0, 5*time.Second, "body")
	r.Header.Set("Content-Length", "4")
	s.handleMessage(w, r)
	if w.Code != http.StatusServiceUnavailable {
		t.Errorf("response status %d after Close", w.Code)
	}
}

// Guards against a close of a connection with an unanswered request that the invariant check does not count.
func TestConnectionClosedWithAnUnansweredRequestIsCounted(t *testing.T) {
	t.Parallel()
	registry := metrics.New(nil)
	checker := invariant.NewChecker(slog.New(slog.DiscardHandler), registry)
	local, remote := net.Pipe()
	defer remote.Close()
	c := &clientConn{Conn: local, releaseSlot: func() {}, onClose: func(c *clientConn) {
		checker.CheckClose(c.closeReason(), c.isUnanswered.Load())
	}}
	c.isUnanswered.Store(true)
	_ = c.Close()
	if n := registry.ReasonCount(metrics.ReasonViolation, "answer"); n != 1 {
		t.Errorf("violations.answer is %d", n)
	}
}
