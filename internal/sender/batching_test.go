package sender

import (
	"context"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/endpoint"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// A call is written once there is a connection. A message that could not arrive in time by then has ended, and is
// excluded: the call goes on without it.
func TestMessageThatEndsBeforeTheBatchIsWrittenIsExcluded(t *testing.T) {
	t.Parallel()
	for name, short := range map[string]*endpoint.Item{"time up": {Timeout: 10 * time.Millisecond},
		"too late to begin": {StartWithin: 10 * time.Millisecond, Timeout: st.Timeout}} {
		t.Run(name, func(t *testing.T) { testExcluded(t, short) })
	}
}

func testExcluded(t *testing.T, short *endpoint.Item) {
	e := st.NewEndpoint(t, st.Text(200, `[{"id":"b","state":"ok"},{"id":"a","state":"ok"}]`))
	s := newTestSender(t, st.NewAgent(t, e.Addr), nil)
	up := make(chan struct{})
	s.config.ConnectTimeout = st.Timeout
	s.pool = s.newPool(func(string, string, syscall.RawConn) error { <-up; return nil })
	var items []callItem
	for id, item := range map[string]*endpoint.Item{"a": short, "b": {Timeout: st.Timeout}} {
		item.ID, item.LastAttempt = id, true
		items = append(items, callItem{Item: item, message: testMessage(id)})
	}
	s.startCall(context.Background(), testEndpoint(e.Addr), items, true)
	alone := st.Receive(t, s.events).(callEndedEvent)
	if end := alone.ends[0]; alone.callDone || end.message.ID != "a" || end.Outcome != dispatch.NotSent {
		t.Errorf("first ends %s: %+v", end.message.ID, alone)
	}
	close(up)
	if parts := e.Next(t).Entries(t); len(parts) != 1 || parts[0].ID != "b" {
		t.Errorf("the endpoint got %+v", parts)
	}
	for _, end := range st.Receive(t, s.events).(callEndedEvent).ends {
		want := map[string]dispatch.Outcome{"a": dispatch.NotSent, "b": dispatch.Served}[end.message.ID]
		if end.Outcome != want {
			t.Errorf("%s ended as %d, want %d", end.message.ID, end.Outcome, want)
		}
	}
}

// A batch whose bytes have not arrived when one message's time is up would arrive after that message's end: the call is
// abandoned for all.
func TestBatchThatHasNotArrivedIsAbandonedAtATimeout(t *testing.T) {
	t.Parallel()
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) // else the test shows it
		})
	}}
	l, err := small.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	s := newTestSender(t, st.NewAgent(t), nil)
	var items []callItem
	// Until the first timeout the call has to be written: one that is not never ran, and ends otherwise.
	for id, timeout := range map[string]time.Duration{"a": time.Second, "b": time.Hour} {
		item := &endpoint.Item{ID: id, Body: make([]byte, 20<<10), Timeout: timeout, LastAttempt: true}
		items = append(items, callItem{Item: item, message: testMessage(id)})
	}
	s.startCall(context.Background(), testEndpoint(l.Addr().String()), items, true)
	c, err := l.Accept() // nothing is read from it but what the kernel buffers
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	// The call's end may overtake that of the message, which counts once all the same.
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

// What the dispatcher sends to one endpoint at once shares a call where the endpoint's kind allows it: each call counts
// against the destination's limit and takes a slot.
func TestMessagesShareABatchCall(t *testing.T) {
	t.Parallel()
	first, isFirst := make(chan struct{}), true
	e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		if isFirst {
			isFirst = false
			<-first
			return st.Status(200)(c, nc)
		}
		var states []string
		for _, p := range c.Entries(t) {
			states = append(states, `{"id":"`+p.ID+`","state":"ok"}`)
		}
		return st.Text(200, "["+strings.Join(states, ",")+"]")(c, nc)
	})
	addr := startSender(t, st.NewAgent(t, e.Addr), func(c *config.Config) { c.Settings.Kinds[0].MaxBatchSize = 20 })
	st.Submit(t, addr, "m0", "keyed", 0, 15*time.Second)
	if c := e.Next(t); c.Path != "/hook" || c.ID != "m0" {
		t.Errorf("one message goes to %s as %s", c.Path, c.ID)
	}
	for i := range 5 { // they wait: the concurrency window starts at one call
		st.Submit(t, addr, "m"+strconv.Itoa(i+1), "keyed", 0, 15*time.Second)
	}
	close(first)
	parts := e.Next(t).Entries(t)
	for _, p := range parts {
		if p.Key != "key-"+p.ID || string(p.Body) != "body of "+p.ID {
			t.Errorf("the endpoint got %+v", p)
		}
	}
	if len(parts) != 5 {
		t.Errorf("%d messages in the call", len(parts))
	}
}

// The platform counts a call as over at the deadline of its first message. So the message with the latest deadline
// comes first, in whatever order they arrived and were sent: a response after an earlier deadline is still valid for
// the others.
func TestBatchIsOrderedByDeadline(t *testing.T) {
	t.Parallel()
	hold := make(chan struct{})
	e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		if c.Path == "/hook" {
			<-hold
			return st.Status(200)(c, nc)
		}
		return st.Hang(c, nc)
	})
	addr := startSender(t, st.NewAgent(t, e.Addr), func(c *config.Config) { c.Settings.Kinds[0].MaxBatchSize = 20 })
	st.Submit(t, addr, "holds", "unsafe", 0, 15*time.Second)
	e.Next(t)
	for id, left := range map[string]time.Duration{"short": 16, "long": 20, "middle": 18} {
		st.Submit(t, addr, id, "unsafe", 0, left*time.Second)
	}
	close(hold)
	if parts := e.Next(t).Entries(t); len(parts) != 3 || parts[0].ID != "long" {
		t.Errorf("the call is %+v", parts)
	}
}

// In a batch a message whose time is up ends alone. A time-out after which it might be sent again ends the call, as two
// copies must not be in flight at once.
func TestTimeoutsInABatchCall(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		items []*endpoint.Item
		want  [][]dispatch.Outcome // of each event, by message
		over  []bool
	}{
		"time up": {[]*endpoint.Item{{Timeout: 50 * ms, LastAttempt: true}, {Timeout: 150 * ms, LastAttempt: true}},
			[][]dispatch.Outcome{{dispatch.TimedOut}, {dispatch.TimedOut, dispatch.TimedOut}}, []bool{false, true}},
		"restart": {[]*endpoint.Item{{Timeout: 50 * ms}, {Timeout: time.Hour, LastAttempt: true}},
			[][]dispatch.Outcome{{dispatch.TimedOut, dispatch.Cancelled}}, []bool{true}},
	} {
		e := st.NewEndpoint(t, st.Hang)
		s := newTestSender(t, st.NewAgent(t), nil)
		var items []callItem
		for i, item := range c.items {
			item.ID = "m" + strconv.Itoa(i)
			m := testMessage("")
			m.ended = true
			items = append(items, callItem{Item: item, message: m})
		}
		s.startCall(context.Background(), testEndpoint(e.Addr), items, true)
		for i, want := range c.want {
			end := st.Receive(t, s.events).(callEndedEvent)
			var got []dispatch.Outcome
			for _, it := range end.ends {
				got = append(got, it.Outcome)
			}
			if !slices.Equal(got, want) || end.callDone != c.over[i] {
				t.Errorf("%s: event %d: %v, over %v", name, i, got, end.callDone)
			}
		}
	}
}
