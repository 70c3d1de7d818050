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
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/clock"
	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/invariant"
	"onyxdyke.example/onyxdyke/internal/metrics"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// acceptedConn returns a connection as limitListener passes it to the connection table.
func acceptedConn(t *testing.T) *clientConn {
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
	return newClientConn(c, time.Now())
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
	table := newConnectionTable(3)
	conns := map[string]*clientConn{}
	open := func(name string) {
		conns[name] = acceptedConn(t)
		table.opened(conns[name])
	}
	open("busy")
	table.requestBegun(conns["busy"])
	table.requestRead(conns["busy"])
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
	table.closed(conns["held"])
	table.responded(conns["busy"], false) // idle for less long than the new one
	open("newer")
	for name, want := range map[string]bool{"busy": false, "new": true, "newer": false} {
		if conns[name].isClosedOrClosing() != want {
			t.Errorf("%s: closed or closing: %v", name, !want)
		}
	}
}

// awaitEviction waits until a connection has been evicted.
func awaitEviction(t *testing.T, c *clientConn) {
	t.Helper()
	for until := time.Now().Add(st.Timeout); !c.isEvicted.Load(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the connection is not evicted")
		}
	}
}

// Guards against evicting the wrong connection when no connection is idle: the one whose first request has been
// incomplete for longest has to be evicted, and never one whose request has been read completely, or one whose request
// has only just begun. One with a further request of its client comes last.
func TestIncompleteFirstRequestIsEvicted(t *testing.T) {
	t.Parallel()
	table := newConnectionTable(4)
	conns := map[string]*clientConn{}
	for _, name := range []string{"client", "whole", "half"} {
		conns[name] = acceptedConn(t)
		table.opened(conns[name])
		table.requestBegun(conns[name])
		if name == "client" {
			table.responded(conns[name], true)
		}
	}
	table.requestRead(conns["whole"])
	table.mu.Lock()
	table.conns[conns["half"]].since = time.Now() // the test may have stood still since the request began
	table.mu.Unlock()
	began := time.Now()
	table.opened(acceptedConn(t))
	if conns["half"].isEvicted.Load() && time.Since(began) < EvictionGrace {
		t.Error("a request that has just begun to arrive is aborted")
	}
	awaitEviction(t, conns["half"])
	for _, name := range []string{"client", "whole"} {
		if conns[name].isClosedOrClosing() {
			t.Errorf("%s: closed or closing", name)
		}
	}
}

// Guards against peers that keep clients out for seconds, since their connections were never evicted: those that stop
// in a request after they have had a response, and those that do not read a response.
func TestServedPeersThatStopAreEvicted(t *testing.T) {
	t.Parallel()
	for name, stop := range map[string]func(*connectionTable, *clientConn){
		"in a request":  func(table *connectionTable, c *clientConn) { table.responded(c, true) },
		"at a response": func(table *connectionTable, c *clientConn) { table.setState(c, stateResponding) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			table := newConnectionTable(2)
			stopped := acceptedConn(t)
			table.opened(stopped)
			table.requestBegun(stopped)
			stop(table, stopped)
			began := time.Now()
			newcomer := acceptedConn(t)
			table.opened(newcomer)
			table.requestBegun(newcomer)
			table.requestRead(newcomer)
			awaitEviction(t, stopped)
			if after := time.Since(began); after < servedEvictionGrace-EvictionGrace {
				t.Errorf("evicted after %v", after)
			}
		})
	}
}

// Guards against closing a connection without a response when the end of its request is read during its eviction. The
// message may have been accepted, so it gets its response, however long that takes.
func TestRequestCompletedDuringItsEvictionIsAnswered(t *testing.T) {
	t.Parallel()
	table := newConnectionTable(2)
	half, other := acceptedConn(t), acceptedConn(t)
	for _, c := range []*clientConn{half, other} {
		table.opened(c)
		table.requestBegun(c)
	}
	awaitEviction(t, half)
	table.requestRead(half)
	table.opened(acceptedConn(t))
	awaitEviction(t, other)
	table.closed(other)
	table.opened(acceptedConn(t))
	time.Sleep(minPartialTime + 2*EvictionGrace) // half would have been closed by now
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
	c := newClientConn(local, time.Now())
	c.onClose = func(c *clientConn) { checker.CheckClose(c.closeReason(), c.isUnanswered.Load()) }
	c.isUnanswered.Store(true)
	_ = c.Close()
	if n := registry.ReasonCount(metrics.ReasonViolation, "answer"); n != 1 {
		t.Errorf("violations.answer is %d", n)
	}
}
