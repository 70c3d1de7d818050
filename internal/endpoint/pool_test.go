package endpoint

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
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

// crossingConn is a connection on which something happens while a call is about to be written.
type crossingConn struct {
	*net.TCPConn
	beforeWrite func()
}

func (c *crossingConn) Write(b []byte) (int, error) {
	c.beforeWrite()
	return c.TCPConn.Write(b)
}

// awaitUnread waits until something has arrived on a connection.
func awaitUnread(t *testing.T, c net.Conn) {
	t.Helper()
	for end := time.Now().Add(st.Timeout); netconn.ReadWouldBlock(c); time.Sleep(10 * time.Microsecond) {
		if time.Now().After(end) {
			t.Fatal("nothing arrives on the connection")
		}
	}
}

// Guards against an answer that is taken for that of the next call: an endpoint sends more than belongs to an answer,
// and that crosses the next call, behind the last look at the connection. The next call may have run then, and nothing
// else is known of it; its own answer shows that it was neither delivered nor rejected. The sender may be paused
// between the look and the write.
func TestExcessBytesThatCrossACallAreNotItsAnswer(t *testing.T) {
	t.Parallel()
	excesses := map[string]string{
		"second copy":        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"copy of a 503":      "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
		"copy with a wait":   "HTTP/1.1 429 X\r\nX-RateLimit-Wait-Ms: 400\r\nContent-Length: 0\r\n\r\n",
		"half a status line": "HTTP/1.1 2",
		"noise":              "\x00\x01noise\r\n\r\n",
	}
	for name, excess := range excesses {
		for _, pause := range []time.Duration{0, time.Millisecond, 30 * time.Millisecond} {
			for _, reusedAfter := range []time.Duration{0, 400 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, paused %v, used again after %v", name, pause, reusedAfter), func(t *testing.T) {
					t.Parallel()
					e := newSilentSecondEndpoint(t)
					p, target := testPool(), &Endpoint{address: e.Addr}
					for range 3 { // the endpoint's machine acknowledges the first calls at once
						if got := callOnce(p, target, st.Timeout, "first"); got.Outcome != dispatch.Served {
							t.Fatalf("first call: %+v", got)
						}
					}
					time.Sleep(reusedAfter)
					idle := target.idle[0]
					idle.Conn = &crossingConn{TCPConn: idle.Conn.(*net.TCPConn), beforeWrite: func() {
						_, _ = io.WriteString(e.conn(), excess)
						awaitUnread(t, idle.Conn)
						time.Sleep(pause)
					}}
					got := callOnce(p, target, st.Timeout, secondBody)
					if got.Outcome != dispatch.ConnectionBroken || got.Final || got.RetryAfter != 0 {
						t.Errorf("second call: %+v, want one that may have run", got)
					}
					if len(target.idle) != 0 {
						t.Error("the connection is kept")
					}
				})
			}
		}
	}
}

// secondBody is the body of the call that a silentSecondEndpoint does not answer.
const secondBody = "second"

// silentSecondEndpoint is an endpoint that answers 200 to all calls but one.
type silentSecondEndpoint struct {
	*st.Endpoint
	lastConn atomic.Pointer[net.Conn]
}

func newSilentSecondEndpoint(t *testing.T) *silentSecondEndpoint {
	t.Helper()
	e := &silentSecondEndpoint{}
	e.Endpoint = st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		e.lastConn.Store(&nc)
		if c.Body == secondBody {
			return st.NeverAnswer(c, nc)
		}
		return st.AnswerStatus(200)(c, nc)
	})
	return e
}

// conn returns the endpoint's end of the connection that carried the last call.
func (e *silentSecondEndpoint) conn() net.Conn { return *e.lastConn.Load() }

// sendUnlessCalled sends excess bytes if no call waits on a connection. It reports whether a call waits right after
// that: then it may have done so before, and the other side cannot tell the bytes from an answer.
func sendUnlessCalled(nc net.Conn, excess string) (hasCrossed bool) {
	if !netconn.ReadWouldBlock(nc) {
		return false
	}
	_, _ = io.WriteString(nc, excess)
	return !netconn.ReadWouldBlock(nc)
}

// Guards against excess bytes behind an answer that are taken for the next answer, on a connection that is used again
// at once or later: an endpoint sends them with the answer, right behind it, or a little later, if no call has arrived
// meanwhile.
func TestExcessBytesBehindAnAnswerAreNotTheNextAnswer(t *testing.T) {
	t.Parallel()
	const okay = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	send := map[string]func(nc net.Conn, excess string) (hasCrossed bool){
		"with the answer": func(nc net.Conn, excess string) bool {
			_, _ = io.WriteString(nc, okay+excess)
			return false
		},
		"right behind it": func(nc net.Conn, excess string) bool {
			_, _ = io.WriteString(nc, okay)
			return sendUnlessCalled(nc, excess)
		},
		"a little later": func(nc net.Conn, excess string) bool {
			_, _ = io.WriteString(nc, okay)
			time.Sleep(500 * time.Microsecond)
			return sendUnlessCalled(nc, excess)
		},
	}
	for name, answer := range send {
		for _, excess := range []string{okay, "noise", "\r\n"} {
			for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, %.5q, used again after %v", name, excess, pause), func(t *testing.T) {
					t.Parallel()
					var hasCrossed atomic.Bool // the last call may have waited already when the excess bytes were sent
					e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
						if c.Body == "error" {
							return st.AnswerStatus(500)(c, nc)
						}
						hasCrossed.Store(answer(nc, excess))
						return true
					})
					p, target := testPool(), &Endpoint{address: e.Addr}
					for range 100 {
						if got := callOnce(p, target, st.Timeout, "served"); got.Outcome != dispatch.Served {
							t.Fatalf("a call that is answered 200: %+v", got)
						}
						time.Sleep(pause)
						got := callOnce(p, target, st.Timeout, "error")
						// The bytes may cross a call; then it is one that may have run, as its answer says.
						if got.Outcome == dispatch.Errored || got.Outcome == dispatch.ConnectionBroken {
							continue
						}
						time.Sleep(50 * time.Millisecond) // until the endpoint has looked
						if !hasCrossed.Load() {
							t.Fatalf("a call that is answered 500: %+v", got)
						}
					}
				})
			}
		}
	}
}
