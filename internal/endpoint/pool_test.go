package endpoint

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/invariant"
	"onyxdyke.example/onyxdyke/internal/netconn"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// A call on an idle connection that the endpoint has closed would be a reset that may have run: such a connection is
// noticed and closed, also where the endpoint announced nothing.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{})
	e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		st.Status(200)(c, nc)
		_ = nc.(*net.TCPConn).CloseWrite()
		close(closed)
		return c.Conn != 1
	})
	p, at := testPool(), &Endpoint{address: e.Addr}
	if got := callOnce(p, at, st.Timeout, ""); got.Outcome != dispatch.Served {
		t.Fatalf("first call: %+v", got)
	}
	st.Receive(t, closed)
	for end := time.Now().Add(st.Timeout); ; time.Sleep(time.Millisecond) { // until the close has come here
		at.mu.Lock()
		gone := len(at.idle) == 0 || !netconn.IsQuiet(at.idle[0].Conn)
		at.mu.Unlock()
		if gone {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the close is not noticed")
		}
	}
	closed = make(chan struct{})
	if got := callOnce(p, at, st.Timeout, ""); got.Outcome != dispatch.Served {
		t.Errorf("second call: %+v", got)
	}
}

func TestIdleConnectionsAreKeptAndClosed(t *testing.T) {
	e := st.NewEndpoint(t, st.Status(200))
	p, at := testPool(), &Endpoint{address: e.Addr}
	on := func() int {
		t.Helper()
		if got := callOnce(p, at, st.Timeout, "x"); got.Outcome != dispatch.Served {
			t.Fatalf("%+v", got)
		}
		return e.Next(t).Conn
	}
	if a, b := on(), on(); a != 1 || b != 1 {
		t.Errorf("connections %d and %d", a, b)
	}
	p.CloseIdle(at, time.Hour)
	if n := on(); n != 1 {
		t.Errorf("a young idle connection was closed")
	}
	p.CloseIdle(at, 0)
	if n := on(); n != 2 {
		t.Errorf("connection %d after the idle ones were closed", n)
	}
	p.keepFor = 0 // older than it may be
	if n := on(); n != 3 {
		t.Errorf("connection %d after the idle one was too old", n)
	}
	p.SetMaxIdle(0)
	p.CloseIdle(at, 0)
	if on(); len(at.idle) != 0 || p.idle.Load() != 0 {
		t.Errorf("%d idle connections where none may be kept, counted %d", len(at.idle), p.idle.Load())
	}
}

// What arrives on an idle connection after it was taken for a call, and before that is written, is no response to it.
func TestStaleResponseIsNotReadAsTheNextOne(t *testing.T) {
	t.Parallel()
	conns := make(chan net.Conn, 2)
	e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		conns <- nc
		if c.ID == "second" {
			return st.Status(503)(c, nc)
		}
		return st.Status(200)(c, nc)
	})
	p, at := testPool(), &Endpoint{address: e.Addr}
	if got := callOnce(p, at, st.Timeout, ""); got.Outcome != dispatch.Served {
		t.Fatalf("first call: %+v", got)
	}
	e.Next(t)
	ctx, cancel := context.WithTimeout(context.Background(), st.Timeout)
	defer cancel()
	taken := at.idle[0]
	x := p.exchange(ctx, ctx, at, func(address string) (request, error) {
		_, _ = io.WriteString(st.Receive(t, conns), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		for netconn.IsQuiet(taken.Conn) { // until it has come here
			time.Sleep(time.Millisecond)
		}
		head := requestHead{path: singlePath, messageID: "second", remainingAtWriting: time.Second}
		text, err := renderRequest(address, head, nil)
		return request{text: text, permits: []invariant.SendPermit{{}}}, err
	})
	if x.response == nil || x.response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("it is answered %+v, %v", x.response, x.outcome)
	}
	if c := e.Next(t); c.ID != "second" || c.Conn != 2 {
		t.Errorf("the endpoint got %+v", c)
	}
}

// An endpoint that moves while a call waits for its connection gets the call at the new address: whose the old one is
// now is not known.
func TestCallGoesToAnAddressThatMovesWhileItConnects(t *testing.T) {
	t.Parallel()
	old, now := st.NewEndpoint(t, st.Status(200)), st.NewEndpoint(t, st.Status(200))
	p, at := testPool(), &Endpoint{address: old.Addr}
	p.dialer.Control = func(string, string, syscall.RawConn) error {
		at.mu.Lock()
		defer at.mu.Unlock()
		at.address = now.Addr
		return nil
	}
	if got := callOnce(p, at, st.Timeout, ""); got.Outcome != dispatch.Served {
		t.Errorf("%+v", got)
	}
	if len(old.Calls) > 0 || len(now.Calls) != 1 {
		t.Errorf("%d calls at the old address, %d at the new one", len(old.Calls), len(now.Calls))
	}
}
