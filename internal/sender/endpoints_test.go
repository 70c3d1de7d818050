package sender

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dockshift.example/dockshift/brain"
	st "dockshift.example/dockshift/internal/sendertest"
)

func testPool() *pool {
	return newPool(&Config{ConnectTimeout: time.Second, Limits: Limits{Sockets: 64}, Fields: []string{"x0", "x1"},
		Settings: brain.Settings{IdleConnections: 15 * time.Second}})
}

func callOnce(p *pool, e *endpoint, timeout time.Duration, body string) brain.AttemptEnd {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return p.call(ctx, ctx, e, item{record: record{ID: "id", Key: "key", Body: []byte(body)}}, timeout)
}

func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(st.Call, net.Conn) bool
		want   brain.AttemptEnd
	}{
		"delivered":   {st.Status(200, "X-Load: x0=0.4,x1=25,other=7"), brain.AttemptEnd{Outcome: brain.Served, Over: true, Reported: true, Left: 0.4, Limit: 25}},
		"error":       {st.Status(500), brain.AttemptEnd{Outcome: brain.Errored}},
		"wait":        {st.Status(429, "X-RateLimit-Wait-Ms: 250"), brain.AttemptEnd{Outcome: brain.Refused, Wait: 250 * time.Millisecond}},
		"table full":  {st.Status(503, "Connection: close"), brain.AttemptEnd{Outcome: brain.ConnectFailed}},
		"turned away": {st.Status(503), brain.AttemptEnd{Outcome: brain.Refused}},
		"over slots":  {st.Status(503, "X-Over-Slots: 1"), brain.AttemptEnd{Outcome: brain.NotSent}},
		"no attempts": {st.Status(504), brain.AttemptEnd{Outcome: brain.NotSent}},
		"over":        {st.Status(410), brain.AttemptEnd{Outcome: brain.NotSent, Over: true}},
		"redirect":    {st.Status(307, "Location: /elsewhere"), brain.AttemptEnd{Outcome: brain.Errored}},
		"reset":       {st.Reset, brain.AttemptEnd{Outcome: brain.Broken}},
		// Delivered as soon as the first line is written, whatever breaks then.
		"cut after 200": {func(_ st.Call, c net.Conn) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-")
			return false
		}, brain.AttemptEnd{Outcome: brain.Served, Over: true}},
		"a number like 200": {func(_ st.Call, c net.Conn) bool {
			io.WriteString(c, "HTTP/1.1 2001 OK\r\n\r\n")
			return false
		}, brain.AttemptEnd{Outcome: brain.Broken}},
		// Half an answer does not prove that the call never ran.
		"refusal cut": {func(_ st.Call, c net.Conn) bool {
			io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 20\r\n\r\nhalf")
			return false
		}, brain.AttemptEnd{Outcome: brain.Broken}},
		"end cut": {func(_ st.Call, c net.Conn) bool {
			io.WriteString(c, "HTTP/1.1 410 Gone\r\nContent-Length: 20\r\n\r\nhalf")
			return false
		}, brain.AttemptEnd{Outcome: brain.Broken}},
		"head without end": {func(_ st.Call, c net.Conn) bool {
			io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\n")
			for line := "X-Pad: " + strings.Repeat("p", 4000) + "\r\n"; ; {
				if _, err := io.WriteString(c, line); err != nil {
					return false
				}
			}
		}, brain.AttemptEnd{Outcome: brain.Broken}},
		"another protocol": {func(_ st.Call, c net.Conn) bool {
			io.WriteString(c, "HTTP/2.0 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			return true
		}, brain.AttemptEnd{Outcome: brain.Broken}},
		"two lengths": {func(_ st.Call, c net.Conn) bool {
			io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n")
			return true
		}, brain.AttemptEnd{Outcome: brain.Broken}},
		"interim answers without end": {func(_ st.Call, c net.Conn) bool {
			for {
				if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
					return false
				}
			}
		}, brain.AttemptEnd{Outcome: brain.Broken}},
		"cut before": {func(_ st.Call, c net.Conn) bool {
			io.WriteString(c, "HTTP/1.1 ")
			return false
		}, brain.AttemptEnd{Outcome: brain.Broken}},
	} {
		t.Run(name, func(t *testing.T) {
			e := st.NewEndpoint(t, c.answer)
			got := callOnce(testPool(), &endpoint{addr: e.Addr}, st.Wait, "body")
			if got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
			call := e.Next(t)
			if call.ID != "id" || call.Key != "key" || call.Body != "body" || toldTime(call) > st.Wait || toldTime(call) < st.Wait/2 ||
				call.Header.Get("Accept-Encoding") != "" {
				t.Errorf("the endpoint got %+v", call)
			}
		})
	}
}

// toldTime is how long an endpoint was told that it is waited for.
func toldTime(c st.Call) time.Duration {
	ms, _ := strconv.Atoi(c.Header.Get("X-Deadline-Ms"))
	return time.Duration(ms) * time.Millisecond
}

// An endpoint is told how long it is waited for from when the call is written, whatever the connection took.
func TestACallTellsTheTimeThatIsLeft(t *testing.T) {
	t.Parallel()
	const took = 50 * time.Millisecond
	e := st.NewEndpoint(t, st.Status(200))
	p, at := testPool(), &endpoint{addr: e.Addr}
	p.dialer.Control = func(string, string, syscall.RawConn) error { <-time.After(took); return nil }
	callOnce(p, at, st.Wait, "body")
	if told := toldTime(e.Next(t)); told > st.Wait-took {
		t.Errorf("told %v", told)
	}
	ctx, cancel := context.WithTimeout(context.Background(), st.Wait)
	defer cancel()
	p.closeIdle(at, 0)
	p.callMany(ctx, ctx, at, []item{{record: record{ID: "a"}, place: new(atomic.Int32)}}, st.Wait)
	if told := toldTime(e.Next(t)); told > st.Wait-took {
		t.Errorf("told %v in a shared call", told)
	}
}

// A call on a connection that has served before is turned away for another cause than the number of connections,
// also where the endpoint closes it then.
func TestTurnedAwayOnAServedConnection(t *testing.T) {
	answers := []func(st.Call, net.Conn) bool{st.Status(200), st.Status(503, "Connection: close")}
	e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		a := answers[0]
		answers = answers[1:]
		return a(c, nc)
	})
	p, at := testPool(), &endpoint{addr: e.Addr}
	for _, want := range []brain.Outcome{brain.Served, brain.Refused} {
		if got := callOnce(p, at, st.Wait, ""); got.Outcome != want || e.Next(t).Conn != 1 {
			t.Errorf("got %+v, want %v", got, want)
		}
	}
}

// A connection dropped while idle shows at the next call, which may have run. The module hears that the connection
// had been idle, and those idle for longer are not tried.
func TestDroppedIdleConnection(t *testing.T) {
	both, answer := make(chan struct{}, 2), make(chan struct{})
	e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		if c.Body == "again" && c.Conn <= 2 {
			return st.Reset(c, nc)
		}
		if c.Conn <= 2 {
			both <- struct{}{}
			<-answer // two connections are needed
		}
		return st.Status(200)(c, nc)
	})
	p, at := testPool(), &endpoint{addr: e.Addr}
	served := make(chan brain.AttemptEnd, 2)
	for range 2 {
		go func() { served <- callOnce(p, at, st.Wait, "") }()
	}
	for range 2 {
		st.Receive(t, both)
	}
	close(answer)
	for range 2 {
		if got := st.Receive(t, served); got.Idle != 0 || !got.Over {
			t.Errorf("on a fresh connection: %+v", got)
		}
	}
	if got := callOnce(p, at, st.Wait, "again"); got.Outcome != brain.Broken || got.Idle <= 0 {
		t.Errorf("on a dropped connection: %+v", got)
	}
	if n := p.idle.Load(); n != 0 {
		t.Errorf("%d idle connections are left", n)
	}
	if got := callOnce(p, at, st.Wait, "again"); !got.Over || got.Idle != 0 {
		t.Errorf("the next call: %+v", got)
	}
}

// Messages that share a call share its fate, unless the answer tells how each one fared.
func TestSharedOutcomes(t *testing.T) {
	each := func(outcomes ...brain.Outcome) (ends []brain.AttemptEnd) {
		for _, o := range outcomes {
			ends = append(ends, brain.AttemptEnd{Outcome: o, Over: o == brain.Served})
		}
		return ends
	}
	wait := func(ends []brain.AttemptEnd) []brain.AttemptEnd {
		for i := range ends {
			ends[i].Wait = 250 * time.Millisecond
		}
		return ends
	}
	cut := st.Text(200, `[{"id":"a","state":"ok"}`)
	for name, c := range map[string]struct {
		answer func(st.Call, net.Conn) bool
		want   []brain.AttemptEnd
	}{
		"each its own": {st.Text(200, `[{"id":"b","state":"later"},{"id":"a","state":"ok"},{"id":"c","state":"error"}]`),
			each(brain.Served, brain.Refused, brain.Errored)},
		"with a wait": {st.Text(200, `[{"id":"a","state":"ok"},{"id":"b","state":"later"},{"id":"c","state":"later"}]`,
			"X-RateLimit-Wait-Ms: 250"), wait(each(brain.Served, brain.Refused, brain.Refused))},
		"spent": {st.Text(200, `[{"id":"a","state":"ok"},{"id":"b","state":"exhausted"},{"id":"c","state":"ok"}]`),
			each(brain.Served, brain.NotSent, brain.Served)},
		"one left out": {st.Text(200, `[{"id":"a","state":"ok"},{"id":"c","state":"ok"}]`), each(brain.Served, brain.Errored, brain.Served)},
		"told twice": {st.Text(200, `[{"id":"a","state":"ok"},{"id":"a","state":"later"},{"id":"b","state":"later"},{"id":"b","state":"later"},{"id":"c","state":"ok"}]`),
			each(brain.Errored, brain.Refused, brain.Served)},
		"unknown state": {st.Text(200, `[{"id":"a","state":"fine"}]`), each(brain.Errored, brain.Errored, brain.Errored)},
		"no JSON":       {st.Text(200, `<html>`), each(brain.Errored, brain.Errored, brain.Errored)},
		"cut JSON":      {cut, each(brain.Errored, brain.Errored, brain.Errored)},
		"cut body": {func(_ st.Call, c net.Conn) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n[{\"id\":\"a\",\"state\":\"ok\"}]")
			return false
		}, each(brain.Broken, brain.Broken, brain.Broken)},
		"cut head": {func(_ st.Call, c net.Conn) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-")
			return false
		}, each(brain.Broken, brain.Broken, brain.Broken)},
		"told to wait": {st.Status(429, "X-RateLimit-Wait-Ms: 250"), wait(each(brain.Refused, brain.Refused, brain.Refused))},
		"turned away":  {st.Status(503), each(brain.Refused, brain.Refused, brain.Refused)},
		"over slots":   {st.Status(503, "X-Over-Slots: 1"), each(brain.NotSent, brain.NotSent, brain.NotSent)},
		"too many":     {st.Status(413), each(brain.NotSent, brain.NotSent, brain.NotSent)},
		"all failed":   {st.Status(500), each(brain.Errored, brain.Errored, brain.Errored)},
		"reset":        {st.Reset, each(brain.Broken, brain.Broken, brain.Broken)},
	} {
		t.Run(name, func(t *testing.T) {
			e := st.NewEndpoint(t, c.answer)
			ctx, cancel := context.WithTimeout(context.Background(), st.Wait)
			defer cancel()
			items := []item{{record: record{ID: "a", Key: "k", Body: []byte{0, 255, '"'}}}, {record: record{ID: "b"}}, {record: record{ID: "c"}}}
			for i := range items {
				items[i].place = new(atomic.Int32)
			}
			got := testPool().callMany(ctx, ctx, &endpoint{addr: e.Addr}, items, st.Wait)
			if !slices.Equal(got, c.want) {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
			parts := e.Next(t).Parts(t)
			if len(parts) != 3 || parts[0].ID != "a" || parts[0].Key != "k" || string(parts[0].Body) != "\x00\xff\"" || parts[2].ID != "c" {
				t.Errorf("the endpoint got %+v", parts)
			}
		})
	}
}

// An answer that comes after the time told in its call is a time-out, though it is still read: the other side has given
// the call up. A first line of 200 in time is true, however long the rest takes.
func TestALateAnswerIsATimeOut(t *testing.T) {
	t.Parallel()
	const told = 300 * time.Millisecond
	late := func(answer func(st.Call, net.Conn) bool) func(st.Call, net.Conn) bool {
		return func(c st.Call, nc net.Conn) bool {
			<-time.After(told + 50*time.Millisecond)
			return answer(c, nc)
		}
	}
	both := `[{"id":"a","state":"ok"},{"id":"b","state":"ok"}]`
	for name, c := range map[string]struct {
		answer func(st.Call, net.Conn) bool
		shared bool
		want   brain.AttemptEnd
	}{
		"served":       {late(st.Status(200)), false, brain.AttemptEnd{Outcome: brain.TimedOut}},
		"cut":          {late(func(_ st.Call, nc net.Conn) bool { io.WriteString(nc, "HTTP/1.1 200 OK\r\n"); return false }), false, brain.AttemptEnd{Outcome: brain.TimedOut}},
		"told to wait": {late(st.Status(429, "X-RateLimit-Wait-Ms: 250")), false, brain.AttemptEnd{Outcome: brain.TimedOut, Wait: 250 * time.Millisecond}},
		"first line in time": {func(_ st.Call, nc net.Conn) bool {
			io.WriteString(nc, "HTTP/1.1 200 OK\r\n")
			<-time.After(told + 50*time.Millisecond)
			io.WriteString(nc, "Content-Length: 0\r\n\r\n")
			return true
		}, false, brain.AttemptEnd{Outcome: brain.Served, Over: true}},
		"shared": {late(st.Text(200, both)), true, brain.AttemptEnd{Outcome: brain.TimedOut}},
		"shared, end late": {func(_ st.Call, nc net.Conn) bool {
			io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(both))+"\r\n\r\n"+both[:9])
			<-time.After(told + 50*time.Millisecond)
			io.WriteString(nc, both[9:])
			return true
		}, true, brain.AttemptEnd{Outcome: brain.TimedOut}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			at, p := &endpoint{addr: st.NewEndpoint(t, c.answer).Addr}, testPool()
			ctx, cancel := context.WithTimeout(context.Background(), st.Wait)
			defer cancel()
			got := []brain.AttemptEnd{}
			if c.shared {
				items := []item{{record: record{ID: "a"}, place: new(atomic.Int32)}, {record: record{ID: "b"}, place: new(atomic.Int32)}}
				got = p.callMany(ctx, ctx, at, items, told)
			} else {
				got = append(got, p.call(ctx, ctx, at, item{record: record{ID: "a"}}, told))
			}
			for _, end := range got {
				if end != c.want {
					t.Errorf("got %+v, want %+v", end, c.want)
				}
			}
		})
	}
}

// A library may repeat a request with an Idempotency-Key by itself when a reused connection breaks; each
// would count as a call that the module knows nothing of.
func TestOneSendIsOneCall(t *testing.T) {
	for _, body := range []string{"body", ""} {
		first := true
		e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
			if first {
				first = false
				return st.Status(200)(c, nc)
			}
			return st.Reset(c, nc)
		})
		p, at := testPool(), &endpoint{addr: e.Addr}
		if got := callOnce(p, at, st.Wait, body); got.Outcome != brain.Served {
			t.Fatalf("first call: %+v", got)
		}
		if got := callOnce(p, at, st.Wait, body); got.Outcome != brain.Broken {
			t.Errorf("on a connection that breaks: %+v", got)
		}
		e.Next(t)
		if c := e.Next(t); c.Conn != 1 {
			t.Errorf("the connection was not used again")
		}
		if len(e.Calls) != 0 {
			t.Errorf("the call was repeated: %+v", <-e.Calls)
		}
	}
}

// A call whose last byte was not written has never run, however much of it was.
func TestResetBeforeTheLastByteNeverRan(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		io.ReadFull(c, make([]byte, 100))
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}()
	// Far more than the sockets' buffers hold, so that the write is under way when the reset comes.
	got := callOnce(testPool(), &endpoint{addr: l.Addr().String()}, st.Wait, strings.Repeat("x", 64<<20))
	if got.Outcome != brain.ConnectFailed {
		t.Errorf("got %+v", got)
	}
}

func TestNobodyListens(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	if got := callOnce(testPool(), &endpoint{addr: l.Addr().String()}, st.Wait, ""); got.Outcome != brain.ConnectFailed {
		t.Errorf("got %+v", got)
	}
}

// A time-out and a cancel close the connection: the endpoint holds a slot of ours for as long as it is open.
func TestSilentEndpoint(t *testing.T) {
	closed := make(chan struct{}, 2)
	e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		st.Silent(c, nc)
		closed <- struct{}{}
		return false
	})
	p, at := testPool(), &endpoint{addr: e.Addr}
	if got := callOnce(p, at, 30*time.Millisecond, ""); got.Outcome != brain.TimedOut {
		t.Errorf("time-out: %+v", got)
	}
	st.Receive(t, closed)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan brain.AttemptEnd, 1)
	go func() { ended <- p.call(ctx, ctx, at, item{record: record{ID: "id"}}, st.Wait) }()
	e.Next(t)
	e.Next(t)
	cancel()
	if got := st.Receive(t, ended); got.Outcome != brain.Cancelled {
		t.Errorf("cancel: %+v", got)
	}
	st.Receive(t, closed)
}

// An endpoint that has closed an idle connection would see a call on it as a reset that may have run: such
// a connection is noticed and left, also when it announced nothing.
func TestIdleConnectionClosedByTheEndpoint(t *testing.T) {
	closed := make(chan struct{})
	e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		st.Status(200)(c, nc)
		nc.(*net.TCPConn).CloseWrite()
		close(closed)
		return c.Conn != 1
	})
	p, at := testPool(), &endpoint{addr: e.Addr}
	if got := callOnce(p, at, st.Wait, ""); got.Outcome != brain.Served {
		t.Fatalf("first call: %+v", got)
	}
	st.Receive(t, closed)
	for end := time.Now().Add(st.Wait); ; time.Sleep(time.Millisecond) { // until the close has come here
		at.mu.Lock()
		gone := len(at.idle) == 0 || !quiet(at.idle[0].Conn)
		at.mu.Unlock()
		if gone {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the close is not noticed")
		}
	}
	closed = make(chan struct{})
	if got := callOnce(p, at, st.Wait, ""); got.Outcome != brain.Served {
		t.Errorf("second call: %+v", got)
	}
}

func TestConnectionsAreKeptAndClosed(t *testing.T) {
	e := st.NewEndpoint(t, st.Status(200))
	p, at := testPool(), &endpoint{addr: e.Addr}
	on := func() int {
		t.Helper()
		if got := callOnce(p, at, st.Wait, "x"); got.Outcome != brain.Served {
			t.Fatalf("%+v", got)
		}
		return e.Next(t).Conn
	}
	if a, b := on(), on(); a != 1 || b != 1 {
		t.Errorf("connections %d and %d", a, b)
	}
	p.closeIdle(at, time.Hour)
	if n := on(); n != 1 {
		t.Errorf("a young idle connection was closed")
	}
	p.closeIdle(at, 0)
	if n := on(); n != 2 {
		t.Errorf("connection %d after the idle ones were closed", n)
	}
	p.keep = 0 // older than it may be
	if n := on(); n != 3 {
		t.Errorf("connection %d after the idle one was too old", n)
	}
	p.most.Store(0)
	p.closeIdle(at, 0)
	if on(); len(at.idle) != 0 || p.idle.Load() != 0 {
		t.Errorf("%d idle connections where none may be kept, counted %d", len(at.idle), p.idle.Load())
	}
}

// A call whose answer begins with 200 has ended, and its slot is free, soon after: whether the rest of that answer ever comes is of
// no interest. A shared call's answer counts as a whole and is waited for.
func TestTheRestOfADeliveryIsNotWaitedForLong(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{
		"in the line":  "HTTP/1.1 200",
		"in the head":  "HTTP/1.1 200 OK\r\nContent-Le",
		"in the body":  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhal",
		"drop by drop": "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := st.NewEndpoint(t, func(_ st.Call, c net.Conn) bool {
				for io.WriteString(c, text); name == "drop by drop"; time.Sleep(10 * time.Millisecond) {
					if _, err := c.Write([]byte("x")); err != nil {
						return false
					}
				}
				return st.Silent(st.Call{}, c)
			})
			began := time.Now()
			got := callOnce(testPool(), &endpoint{addr: e.Addr}, st.Wait, "")
			if took := time.Since(began); got.Outcome != brain.Served || !got.Over || took > st.Wait/4 {
				t.Errorf("%+v after %v", got, took)
			}
			ctx, cancel := context.WithTimeout(context.Background(), restTime+300*time.Millisecond)
			defer cancel()
			items := []item{{record: record{ID: "a"}, place: new(atomic.Int32)}}
			if ends := testPool().callMany(ctx, ctx, &endpoint{addr: e.Addr}, items, time.Second); ends[0].Outcome == brain.Served || ctx.Err() == nil {
				t.Errorf("of a shared call: %+v, %v", ends, ctx.Err())
			}
		})
	}
	slow := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool { // the next answer on the connection has all its time
		if c.ID == "id" && c.Body == "slow" {
			time.Sleep(restTime + 100*time.Millisecond)
		}
		return st.Status(200)(c, nc)
	})
	p, at := testPool(), &endpoint{addr: slow.Addr}
	for _, body := range []string{"quick", "slow"} {
		if got := callOnce(p, at, st.Wait, body); got.Outcome != brain.Served {
			t.Errorf("%s: %+v", body, got)
		}
		if c := slow.Next(t); c.Conn != 1 {
			t.Errorf("%s: on connection %d", body, c.Conn)
		}
	}
}

// What comes on an idle connection after it was taken for a call, and before that is written, is no answer to it.
func TestAStaleAnswerIsNotThatToTheNextCall(t *testing.T) {
	t.Parallel()
	conns := make(chan net.Conn, 2)
	e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		conns <- nc
		if c.ID == "second" {
			return st.Status(503)(c, nc)
		}
		return st.Status(200)(c, nc)
	})
	p, at := testPool(), &endpoint{addr: e.Addr}
	if got := callOnce(p, at, st.Wait, ""); got.Outcome != brain.Served {
		t.Fatalf("first call: %+v", got)
	}
	e.Next(t)
	ctx, cancel := context.WithTimeout(context.Background(), st.Wait)
	defer cancel()
	taken := at.idle[0]
	resp, _, outcome := p.exchange(ctx, ctx, at, func(addr string) (rendered, error) {
		io.WriteString(st.Receive(t, conns), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		for quiet(taken.Conn) { // until it has come here
			time.Sleep(time.Millisecond)
		}
		text, err := request(addr, "/hook", "", record{ID: "second"}, nil, time.Second)
		return rendered{text: text, permits: []permit{{}}}, err
	})
	if resp == nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("it is answered %+v, %v", resp, outcome)
	}
	if c := e.Next(t); c.ID != "second" || c.Conn != 2 {
		t.Errorf("the endpoint got %+v", c)
	}
}

// An endpoint that moves while a call waits for its connection gets the call at the new address: whose the old one is now
// is not known.
func TestAnAddressThatMovesWhileACallWaits(t *testing.T) {
	t.Parallel()
	old, now := st.NewEndpoint(t, st.Status(200)), st.NewEndpoint(t, st.Status(200))
	p, at := testPool(), &endpoint{addr: old.Addr}
	p.dialer.Control = func(string, string, syscall.RawConn) error {
		at.mu.Lock()
		defer at.mu.Unlock()
		at.addr = now.Addr
		return nil
	}
	if got := callOnce(p, at, st.Wait, ""); got.Outcome != brain.Served {
		t.Errorf("%+v", got)
	}
	if len(old.Calls) > 0 || len(now.Calls) != 1 {
		t.Errorf("%d calls at the old address, %d at the new one", len(old.Calls), len(now.Calls))
	}
}

// What an abandoned call has written must not arrive later: its connection is reset, not ended in order.
func TestAnAbandonedCallResetsItsConnection(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ended := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, err = io.Copy(io.Discard, c)
			c.Close()
		}
		ended <- err
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	p := newPool(&Config{ConnectTimeout: time.Second, Limits: Limits{Sockets: 64}})
	p.call(ctx, ctx, &endpoint{addr: l.Addr().String()}, item{record: record{ID: "id"}}, 50*time.Millisecond)
	if err := st.Receive(t, ended); err == nil {
		t.Error("the connection ended in order")
	}
}

// A call's bytes wait for a connection. A message that could not arrive in time any more by then has ended, and is not
// written: the call goes on without it.
func TestAMessageThatEndsBeforeItsSharedCallIsWrittenIsLeftOut(t *testing.T) {
	t.Parallel()
	for name, short := range map[string]item{"time up": {timeout: 10 * time.Millisecond},
		"too late to begin": {begin: 10 * time.Millisecond, timeout: st.Wait}} {
		t.Run(name, func(t *testing.T) { testLeftOut(t, short) })
	}
}

func testLeftOut(t *testing.T, short item) {
	e := st.NewEndpoint(t, st.Text(200, `[{"id":"b","state":"ok"},{"id":"a","state":"ok"}]`))
	s := newTest(t, st.NewPlatform(t, e.Addr), nil)
	up := make(chan struct{})
	s.pool.connectTimeout = st.Wait
	s.pool.dialer.Control = func(string, string, syscall.RawConn) error { <-up; return nil }
	var items []item
	for id, it := range map[string]item{"a": short, "b": {timeout: st.Wait}} {
		it.message = &message{stored: &stored{record: record{ID: id}}, calls: map[int]*outCall{}}
		it.record, it.last = it.message.record, true
		items = append(items, it)
	}
	s.call(context.Background(), &endpoint{addr: e.Addr, most: len(items)}, items, true)
	alone := st.Receive(t, s.events).(callEnd)
	if end := alone.ends[0]; alone.over || end.message.ID != "a" || end.Outcome != brain.NotSent {
		t.Errorf("first ends %s: %+v", end.message.ID, alone)
	}
	close(up)
	if parts := e.Next(t).Parts(t); len(parts) != 1 || parts[0].ID != "b" {
		t.Errorf("the endpoint got %+v", parts)
	}
	for _, end := range st.Receive(t, s.events).(callEnd).ends {
		if want := map[string]brain.Outcome{"a": brain.NotSent, "b": brain.Served}[end.message.ID]; end.Outcome != want {
			t.Errorf("%s ended as %d, want %d", end.message.ID, end.Outcome, want)
		}
	}
}

// What cannot arrive in time is not begun, though its time-out is not up: the connection is not waited for any longer.
func TestACallIsNotBegunTooLate(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	p, at := testPool(), &endpoint{addr: e.Addr}
	ctx, cancel := context.WithTimeout(context.Background(), st.Wait)
	defer cancel()
	begin, end := context.WithTimeout(ctx, 10*time.Millisecond)
	defer end()
	p.dialer.Control = func(string, string, syscall.RawConn) error { <-begin.Done(); return nil }
	if got := p.call(ctx, begin, at, item{record: record{ID: "late"}}, st.Wait); got.Outcome != brain.ConnectFailed {
		t.Errorf("begun too late: %+v", got)
	}
	if got := callOnce(p, at, st.Wait, "next"); got.Outcome != brain.Served {
		t.Errorf("the next call: %+v", got)
	}
	if c := e.Next(t); c.Body != "next" {
		t.Errorf("the endpoint got %+v", c)
	}
}

// In a shared call whose bytes have not arrived when one message's time is up, they would arrive after its end: the call
// is abandoned for all.
func TestASharedCallThatHasNotArrivedIsAbandonedAtAnEnd(t *testing.T) {
	t.Parallel()
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	l, err := small.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	s := newTest(t, st.NewPlatform(t), nil)
	var items []item
	for id, timeout := range map[string]time.Duration{"a": 50 * time.Millisecond, "b": time.Hour} {
		it := item{record: record{ID: id, Body: make([]byte, 20<<10)}, timeout: timeout, last: true}
		it.message = &message{stored: &stored{record: it.record}, calls: map[int]*outCall{}}
		items = append(items, it)
	}
	s.call(context.Background(), &endpoint{addr: l.Addr().String(), most: len(items)}, items, true)
	c, err := l.Accept() // it takes nothing in but what the machine does
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	// The call's end may overtake that of the message alone, which is booked once all the same.
	for over := false; !over; {
		end := st.Receive(t, s.events).(callEnd)
		over = end.over
		for _, it := range end.ends {
			if it.message.ID == "b" && it.Outcome != brain.Broken {
				t.Errorf("b ended as %d", it.Outcome)
			}
		}
	}
	if _, err := io.Copy(io.Discard, c); err == nil {
		t.Error("the connection ended in order")
	}
}
