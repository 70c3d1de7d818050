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

// Guards against a call on an idle connection that the endpoint has closed. The call would end in a reset and count as
// one that may have run. So a closed connection has to be noticed and discarded, even if the endpoint did not announce
// the close.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{})
	e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		st.AnswerStatus(200)(c, nc)
		_ = nc.(*net.TCPConn).CloseWrite()
		close(closed)
		return c.ConnNumber != 1
	})
	p, target := testPool(), &Endpoint{address: e.Addr}
	if got := callOnce(p, target, st.Timeout, ""); got.Outcome != dispatch.Served {
		t.Fatalf("first call: %+v", got)
	}
	st.Receive(t, closed)
	for end := time.Now().Add(st.Timeout); ; time.Sleep(time.Millisecond) { // until the close has arrived
		target.mu.Lock()
		isClosed := len(target.idle) == 0 || !netconn.ReadWouldBlock(target.idle[0].Conn)
		target.mu.Unlock()
		if isClosed {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the close was not noticed")
		}
	}
	closed = make(chan struct{})
	if got := callOnce(p, target, st.Timeout, ""); got.Outcome != dispatch.Served {
		t.Errorf("second call: %+v", got)
	}
}

// Guards against closing idle connections too early, or keeping them for too long or in too large a number.
func TestIdleConnectionsAreKeptAndClosed(t *testing.T) {
	e := st.NewEndpoint(t, st.AnswerStatus(200))
	p, target := testPool(), &Endpoint{address: e.Addr}
	call := func() int {
		t.Helper()
		if got := callOnce(p, target, st.Timeout, "x"); got.Outcome != dispatch.Served {
			t.Fatalf("%+v", got)
		}
		return e.NextCall(t).ConnNumber
	}
	if a, b := call(), call(); a != 1 || b != 1 {
		t.Errorf("connections %d and %d", a, b)
	}
	p.CloseIdle(target, time.Hour)
	if n := call(); n != 1 {
		t.Errorf("an idle connection was closed before its time")
	}
	p.CloseIdle(target, 0)
	if n := call(); n != 2 {
		t.Errorf("connection %d after the idle ones were closed", n)
	}
	p.maxIdleTime = 0 // so that every idle connection is too old
	if n := call(); n != 3 {
		t.Errorf("connection %d after the idle one was too old", n)
	}
	p.SetMaxIdle(0)
	p.CloseIdle(target, 0)
	if call(); len(target.idle) != 0 || p.idle.Load() != 0 {
		t.Errorf("%d idle connections where none may be kept, the count is %d", len(target.idle), p.idle.Load())
	}
}

// Guards against reading a stale response as that of the next call: bytes may arrive on an idle connection after it was
// taken for a call and before the call is written.
func TestStaleResponseIsNotReadAsTheNextOne(t *testing.T) {
	t.Parallel()
	conns := make(chan net.Conn, 2)
	e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		conns <- nc
		if c.ID == "second" {
			return st.AnswerStatus(503)(c, nc)
		}
		return st.AnswerStatus(200)(c, nc)
	})
	p, target := testPool(), &Endpoint{address: e.Addr}
	if got := callOnce(p, target, st.Timeout, ""); got.Outcome != dispatch.Served {
		t.Fatalf("first call: %+v", got)
	}
	e.NextCall(t)
	ctx, cancel := context.WithTimeout(context.Background(), st.Timeout)
	defer cancel()
	taken := target.idle[0]
	x := p.roundTrip(ctx, ctx, target, func(address string) (request, error) {
		_, _ = io.WriteString(st.Receive(t, conns), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		for netconn.ReadWouldBlock(taken.Conn) { // until it has arrived
			time.Sleep(time.Millisecond)
		}
		head := requestHead{path: singlePath, messageID: "second", remainingAtWriting: time.Second}
		text, err := renderRequest(address, head, nil)
		return request{text: text, permits: []invariant.SendPermit{{}}}, err
	})
	if x.response == nil || x.response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("response %+v, outcome %v", x.response, x.outcome)
	}
	if c := e.NextCall(t); c.ID != "second" || c.ConnNumber != 2 {
		t.Errorf("the endpoint got %+v", c)
	}
}

// Guards against a call to the old address of an endpoint whose address changes while the call waits for its
// connection: the old address may belong to another endpoint now.
func TestCallFollowsAnAddressThatChangesWhileItConnects(t *testing.T) {
	t.Parallel()
	oldEndpoint, newEndpoint := st.NewEndpoint(t, st.AnswerStatus(200)), st.NewEndpoint(t, st.AnswerStatus(200))
	p, target := testPool(), &Endpoint{address: oldEndpoint.Addr}
	p.dialer.Control = func(string, string, syscall.RawConn) error {
		target.mu.Lock()
		defer target.mu.Unlock()
		target.address = newEndpoint.Addr
		return nil
	}
	if got := callOnce(p, target, st.Timeout, ""); got.Outcome != dispatch.Served {
		t.Errorf("%+v", got)
	}
	if len(oldEndpoint.Calls) > 0 || len(newEndpoint.Calls) != 1 {
		t.Errorf("%d calls to the old address, %d to the new one", len(oldEndpoint.Calls), len(newEndpoint.Calls))
	}
}
