package sender

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/endpoint"
	"onyxdyke.example/onyxdyke/internal/journal"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// testEndpoint is an endpoint that is reached at an address.
func testEndpoint(address string) *listedEndpoint {
	e := &listedEndpoint{Endpoint: &endpoint.Endpoint{}}
	e.SetAddress(address)
	return e
}

// testMessage is a message with an id and no calls.
func testMessage(id string) *message {
	return &message{Message: &journal.Message{Record: journal.Record{ID: id}}, calls: map[int]*outCall{}}
}

// callOnce makes one call with one message and waits for its result.
func callOnce(p *endpoint.Pool, e *listedEndpoint, timeout time.Duration, body string) dispatch.AttemptResult {
	result := make(chan dispatch.AttemptResult, 1)
	item := &endpoint.Item{ID: "id", Key: "key", Body: []byte(body), Timeout: timeout, LastAttempt: true}
	call := p.NewCall(context.Background(), e.Endpoint, []*endpoint.Item{item})
	call.Start(true, func(results []endpoint.Result, _ bool) { result <- results[0].AttemptResult })
	return <-result
}

// A call's bytes wait for a connection. A message that could not arrive in time any more by then has ended, and is not
// written: the call goes on without it.
func TestAMessageThatEndsBeforeItsSharedCallIsWrittenIsLeftOut(t *testing.T) {
	t.Parallel()
	for name, short := range map[string]*endpoint.Item{"time up": {Timeout: 10 * time.Millisecond},
		"too late to begin": {StartWithin: 10 * time.Millisecond, Timeout: st.Wait}} {
		t.Run(name, func(t *testing.T) { testLeftOut(t, short) })
	}
}

func testLeftOut(t *testing.T, short *endpoint.Item) {
	e := st.NewEndpoint(t, st.Text(200, `[{"id":"b","state":"ok"},{"id":"a","state":"ok"}]`))
	s := newTest(t, st.NewPlatform(t, e.Addr), nil)
	up := make(chan struct{})
	s.config.ConnectTimeout = st.Wait
	s.pool = s.newPool(func(string, string, syscall.RawConn) error { <-up; return nil })
	var items []callItem
	for id, item := range map[string]*endpoint.Item{"a": short, "b": {Timeout: st.Wait}} {
		item.ID, item.LastAttempt = id, true
		items = append(items, callItem{Item: item, message: testMessage(id)})
	}
	s.startCall(context.Background(), testEndpoint(e.Addr), items, true)
	alone := st.Receive(t, s.events).(callEndedEvent)
	if end := alone.ends[0]; alone.callDone || end.message.ID != "a" || end.Outcome != dispatch.NotSent {
		t.Errorf("first ends %s: %+v", end.message.ID, alone)
	}
	close(up)
	if parts := e.Next(t).Parts(t); len(parts) != 1 || parts[0].ID != "b" {
		t.Errorf("the endpoint got %+v", parts)
	}
	for _, end := range st.Receive(t, s.events).(callEndedEvent).ends {
		if want := map[string]dispatch.Outcome{"a": dispatch.NotSent, "b": dispatch.Served}[end.message.ID]; end.Outcome != want {
			t.Errorf("%s ended as %d, want %d", end.message.ID, end.Outcome, want)
		}
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
	var items []callItem
	for id, timeout := range map[string]time.Duration{"a": 50 * time.Millisecond, "b": time.Hour} {
		item := &endpoint.Item{ID: id, Body: make([]byte, 20<<10), Timeout: timeout, LastAttempt: true}
		items = append(items, callItem{Item: item, message: testMessage(id)})
	}
	s.startCall(context.Background(), testEndpoint(l.Addr().String()), items, true)
	c, err := l.Accept() // it takes nothing in but what the machine does
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	// The call's end may overtake that of the message alone, which is booked once all the same.
	for over := false; !over; {
		end := st.Receive(t, s.events).(callEndedEvent)
		over = end.callDone
		for _, it := range end.ends {
			if it.message.ID == "b" && it.Outcome != dispatch.ConnectionBroken {
				t.Errorf("b ended as %d", it.Outcome)
			}
		}
	}
	if _, err := io.Copy(io.Discard, c); err == nil {
		t.Error("the connection ended in order")
	}
}
