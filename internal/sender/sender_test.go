package sender

import (
	"context"
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
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// visitor is a connection as the server is told of it.
func visitor(t *testing.T) *clientConn {
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
	t.Cleanup(func() { c.Close(); peer.Close() })
	return &clientConn{Conn: c, left: func() {}, cut: new(atomic.Bool)}
}

// letGo reports whether a connection is closed or will be, as nothing more is read from it.
func (g *clientConn) letGo() bool {
	g.SetDeadline(time.Now().Add(-time.Second))
	_, err := g.Write([]byte{0})
	return g.gone.Load() || !errors.Is(err, os.ErrDeadlineExceeded)
}

// Peers that only hold their connections make room for those that come: first who has been quiet for longest,
// and nobody whose request is being answered.
func TestHeldConnectionsMakeRoom(t *testing.T) {
	t.Parallel()
	s := newServer(&config.Config{Limits: config.Limits{Sockets: 6}}, clock.New(time.Now()), slog.New(slog.DiscardHandler), nil)
	conns := map[string]*clientConn{}
	open := func(name string) {
		conns[name] = visitor(t)
		s.track(conns[name], http.StateNew)
	}
	open("busy")
	s.track(conns["busy"], http.StateActive)
	open("held")
	if conns["held"].letGo() {
		t.Error("let go with room left")
	}
	open("new")
	for name, want := range map[string]bool{"busy": false, "held": true, "new": false} {
		if conns[name].letGo() != want {
			t.Errorf("%s: let go %v", name, !want)
		}
	}
	s.track(conns["held"], http.StateClosed)
	s.track(conns["busy"], http.StateIdle) // quiet for less long than the new one
	open("newer")
	for name, want := range map[string]bool{"busy": false, "new": true, "newer": false} {
		if conns[name].letGo() != want {
			t.Errorf("%s: let go %v", name, !want)
		}
	}
}

// Where no silent peer is left to make room, one that stops in the middle of its first request does; not a request
// that has been read whole, nor a client's further one, nor one that has only just begun to come.
func TestHalfSpokenPeersMakeRoom(t *testing.T) {
	t.Parallel()
	s := newServer(&config.Config{Limits: config.Limits{Sockets: 8}}, clock.New(time.Now()), slog.New(slog.DiscardHandler), nil)
	conns := map[string]*clientConn{}
	for _, name := range []string{"client", "whole", "half"} {
		conns[name] = visitor(t)
		s.track(conns[name], http.StateNew)
		s.track(conns[name], http.StateActive)
		if name == "client" {
			s.track(conns[name], http.StateIdle)
			s.track(conns[name], http.StateActive)
		}
	}
	s.whole((&http.Request{}).WithContext(withConn(context.Background(), conns["whole"])))
	s.track(visitor(t), http.StateNew)
	if conns["half"].letGo() {
		t.Error("a request that has just begun to come is cut off")
	}
	for until := time.Now().Add(st.Wait); !conns["half"].letGo(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("half a request holds its place")
		}
	}
	for _, name := range []string{"client", "whole"} {
		if conns[name].letGo() {
			t.Errorf("%s: let go", name)
		}
	}
}

// A request whose end is read in the moment in which its connection makes room is owed its answer: it may have been
// taken on, however long the answer takes.
func TestARequestReadWholeAsItMakesRoomIsAnswered(t *testing.T) {
	t.Parallel()
	s := newServer(&config.Config{Limits: config.Limits{Sockets: 4}}, clock.New(time.Now()), slog.New(slog.DiscardHandler), nil)
	half, other := visitor(t), visitor(t)
	for _, g := range []*clientConn{half, other} {
		s.track(g, http.StateNew)
		s.track(g, http.StateActive)
	}
	closed := make(chan struct{})
	other.left = sync.OnceFunc(func() { close(closed) })
	s.track(visitor(t), http.StateNew)
	for until := time.Now().Add(st.Wait); !half.gone.Load(); {
		if time.Now().After(until) {
			t.Fatal("half a request holds its place")
		}
	}
	s.whole((&http.Request{}).WithContext(withConn(context.Background(), half)))
	s.mu.Lock()
	s.evictHalf()
	s.mu.Unlock()
	st.Receive(t, closed) // the next one makes room, later than this one would have been closed
	if _, err := half.Write([]byte("HTTP/1.1 202 Accepted\r\n\r\n")); err != nil {
		t.Errorf("its answer: %v", err)
	}
}

// A request that has been read whole goes to the loop also where reading on its connection has ended meanwhile, as
// when that had to make room: net/http ends the request's context then.
func TestARequestReadWholeIsHandedOnThoughItsContextHasEnded(t *testing.T) {
	t.Parallel()
	c, err := config.Parse(marshalConfig(t, st.Config(st.NewPlatform(t), t.TempDir())))
	if err != nil {
		t.Fatal(err)
	}
	s := newServer(c, clock.New(time.Now()), slog.New(slog.DiscardHandler), func(ctx context.Context, sub submission) bool {
		sub.answer <- clientResponse{status: http.StatusAccepted}
		return ctx.Err() == nil
	})
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	w := httptest.NewRecorder()
	r := st.Message(t, "x", "m", "safe", 0, 5*time.Second, "body")
	r.Header.Set("Content-Length", "4")
	s.take(w, r.WithContext(ended))
	if w.Code != http.StatusAccepted {
		t.Errorf("answered %d", w.Code)
	}
	s.close()
	w = httptest.NewRecorder()
	r = st.Message(t, "x", "m2", "safe", 0, 5*time.Second, "body")
	r.Header.Set("Content-Length", "4")
	s.take(w, r)
	if w.Code != http.StatusServiceUnavailable {
		t.Errorf("answered %d after the end", w.Code)
	}
}
