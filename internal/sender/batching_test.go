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

// Guards against writing a message whose time is up. A batch is written only once its connection is open. A message
// that has timed out by then, or may not be started any more, ends as not sent and is left out; the call carries the
// others.
func TestMessageThatEndsBeforeTheBatchIsWrittenIsExcluded(t *testing.T) {
	t.Parallel()
	for name, short := range map[string]*endpoint.Item{"timed out": {Timeout: 10 * time.Millisecond},
		"too late to start": {StartWithin: 10 * time.Millisecond, Timeout: st.Timeout}} {
		t.Run(name, func(t *testing.T) { testExpiredItemIsExcluded(t, short) })
	}
}

func testExpiredItemIsExcluded(t *testing.T, short *endpoint.Item) {
	e := st.NewEndpoint(t, st.AnswerText(200, `[{"id":"b","state":"ok"},{"id":"a","state":"ok"}]`))
	s := newTestSender(t, st.NewAgent(t, e.Addr), nil)
	releaseDial := make(chan struct{})
	s.config.ConnectTimeout = st.Timeout
	s.pool = s.newPool(func(string, string, syscall.RawConn) error { <-releaseDial; return nil })
	var items []callItem
	for id, item := range map[string]*endpoint.Item{"a": short, "b": {Timeout: st.Timeout}} {
		item.ID, item.LastAttempt = id, true
		items = append(items, callItem{Item: item, message: testMessage(id)})
	}
	s.startCall(context.Background(), testEndpoint(e.Addr), items, true)
	alone := st.Receive(t, s.events).(callEndedEvent)
	if end := alone.ends[0]; alone.callDone || end.message.ID != "a" || end.Outcome != dispatch.NotSent {
		t.Errorf("the first event is for %s: %+v, want that message a was not sent", end.message.ID, alone)
	}
	close(releaseDial)
	if entries := e.NextCall(t).Entries(t); len(entries) != 1 || entries[0].ID != "b" {
		t.Errorf("the endpoint got %+v, want only b", entries)
	}
	for _, end := range st.Receive(t, s.events).(callEndedEvent).ends {
		want := map[string]dispatch.Outcome{"a": dispatch.NotSent, "b": dispatch.Served}[end.message.ID]
		if end.Outcome != want {
			t.Errorf("message %s ended with outcome %d, want %d", end.message.ID, end.Outcome, want)
		}
	}
}

// Guards against a batch that arrives after one of its messages has ended. If the endpoint has not read the whole batch
// when one message times out, the connection is reset, and the call ends for all messages.
func TestBatchThatHasNotArrivedIsAbandonedAtATimeout(t *testing.T) {
	t.Parallel()
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// An error is not handled: with a larger buffer the test fails.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
		})
	}}
	l, err := small.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	s := newTestSender(t, st.NewAgent(t), nil)
	var items []callItem
	// The first timeout leaves time to start writing the call: a call that has not been started never ran, and ends
	// with another outcome.
	for id, timeout := range map[string]time.Duration{"a": time.Second, "b": time.Hour} {
		item := &endpoint.Item{ID: id, Body: make([]byte, 20<<10), Timeout: timeout, LastAttempt: true}
		items = append(items, callItem{Item: item, message: testMessage(id)})
	}
	s.startCall(context.Background(), testEndpoint(l.Addr().String()), items, true)
	c, err := l.Accept() // the test reads nothing from it, so only what the kernel buffers can be written
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	// The event that ends the call may come before the one for message a. The sender counts each attempt once in
	// either order.
	for done := false; !done; {
		end := st.Receive(t, s.events).(callEndedEvent)
		done = end.callDone
		for _, attempt := range end.ends {
			if attempt.message.ID == "b" && attempt.Outcome != dispatch.ConnectionBroken {
				t.Errorf("b ended with outcome %d, want that its connection broke", attempt.Outcome)
			}
		}
	}
	if _, err := io.Copy(io.Discard, c); err == nil {
		t.Error("the connection was closed in order, want a reset")
	}
}

// Guards against one call per message where the endpoint's kind allows batches: messages that the dispatcher sends to
// an endpoint in one step share a call, because each call counts against the destination's limits and
// against the sender's limit on concurrent calls.
func TestMessagesShareABatchCall(t *testing.T) {
	t.Parallel()
	releaseFirst, isFirst := make(chan struct{}), true
	e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		if isFirst {
			isFirst = false
			<-releaseFirst
			return st.AnswerStatus(200)(c, nc)
		}
		var states []string
		for _, entry := range c.Entries(t) {
			states = append(states, `{"id":"`+entry.ID+`","state":"ok"}`)
		}
		return st.AnswerText(200, "["+strings.Join(states, ",")+"]")(c, nc)
	})
	addr := startSender(t, st.NewAgent(t, e.Addr), func(c *config.Config) { c.Settings.Kinds[0].MaxBatchSize = 20 })
	st.Submit(t, addr, "m0", "keyed", 0, 15*time.Second)
	if c := e.NextCall(t); c.Path != "/hook" || c.ID != "m0" {
		t.Errorf("a single message is sent to %s with the ID %s", c.Path, c.ID)
	}
	for i := range 5 { // they wait: the concurrency window starts at one call
		st.Submit(t, addr, "m"+strconv.Itoa(i+1), "keyed", 0, 15*time.Second)
	}
	close(releaseFirst)
	entries := e.NextCall(t).Entries(t)
	for _, entry := range entries {
		if entry.Key != "key-"+entry.ID || string(entry.Body) != "body of "+entry.ID {
			t.Errorf("the endpoint got the batch entry %+v", entry)
		}
	}
	if len(entries) != 5 {
		t.Errorf("%d messages share the second call, want 5", len(entries))
	}
}

// Guards against responses that the platform ignores. It accepts a response to a call only until the deadline of the
// first message in it. The message with the latest deadline comes first, whatever the order in which the messages were
// submitted, so that a response after an earlier deadline still counts for the others.
func TestBatchIsOrderedByDeadline(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		if c.Path == "/hook" {
			<-release
			return st.AnswerStatus(200)(c, nc)
		}
		return st.NeverAnswer(c, nc)
	})
	addr := startSender(t, st.NewAgent(t, e.Addr), func(c *config.Config) { c.Settings.Kinds[0].MaxBatchSize = 20 })
	st.Submit(t, addr, "holds", "unsafe", 0, 15*time.Second)
	e.NextCall(t)
	for id, left := range map[string]time.Duration{"short": 16, "long": 20, "middle": 18} {
		st.Submit(t, addr, id, "unsafe", 0, left*time.Second)
	}
	close(release)
	if entries := e.NextCall(t).Entries(t); len(entries) != 3 || entries[0].ID != "long" {
		t.Errorf("the batch is %+v, want three messages, long first", entries)
	}
}

// Guards against two copies of a message in flight at once. A message of a batch that times out ends alone if it will
// not be sent again, and the call continues. If it may be sent again, its timeout ends the whole call.
func TestTimeoutsInABatchCall(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		items []*endpoint.Item
		want  [][]dispatch.Outcome // of each event, by message
		done  []bool               // of each event: the call has ended
	}{
		"no retry": {[]*endpoint.Item{{Timeout: 50 * ms, LastAttempt: true}, {Timeout: 150 * ms, LastAttempt: true}},
			[][]dispatch.Outcome{{dispatch.TimedOut}, {dispatch.TimedOut, dispatch.TimedOut}}, []bool{false, true}},
		"retry": {[]*endpoint.Item{{Timeout: 50 * ms}, {Timeout: time.Hour, LastAttempt: true}},
			[][]dispatch.Outcome{{dispatch.TimedOut, dispatch.Cancelled}}, []bool{true}},
	} {
		e := st.NewEndpoint(t, st.NeverAnswer)
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
			for _, attempt := range end.ends {
				got = append(got, attempt.Outcome)
			}
			if !slices.Equal(got, want) || end.callDone != c.done[i] {
				t.Errorf("%s: event %d has the outcomes %v, call done %v", name, i, got, end.callDone)
			}
		}
	}
}
