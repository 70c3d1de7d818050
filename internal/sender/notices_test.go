package sender

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/discovery"
	"onyxdyke.example/onyxdyke/internal/journal"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// Guards against notices that are late after an outage: a notice is delivered as soon as sockets can be opened again,
// and at most 0.3 s after its message's end.
func TestNoticeIsDeliveredOnceSocketsWorkAgain(t *testing.T) {
	t.Parallel()
	const deadline, failing = 500 * time.Millisecond, 250 * time.Millisecond
	for n := range 8 {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			t.Parallel()
			agent := st.NewAgent(t)
			var from, until atomic.Int64 // Unix ns
			env := OperatingSystem()
			env.Control = func(string, string, syscall.RawConn) error {
				if now := time.Now().UnixNano(); from.Load() <= now && now < until.Load() {
					return os.NewSyscallError("socket", syscall.ENFILE)
				}
				return nil
			}
			s := startSenderIn(t, env, agent, nil)
			at := time.Now()
			from.Store(at.UnixNano())
			until.Store(at.Add(deadline + failing).UnixNano())
			st.Submit(t, s.addr, "m", "safe", 5, deadline)
			if n := st.Receive(t, agent.Notices); n.Message != "m" {
				t.Errorf("notice %+v, want one of message m", n)
			}
			if late := time.Since(at) - deadline; late > 300*time.Millisecond {
				t.Errorf("the notice is delivered %v after the deadline", late)
			}
		})
	}
}

// Guards against late notices while no socket can be opened at all: a connection is reserved for them.
func TestNoticeIsDeliveredOnTheReservedConnection(t *testing.T) {
	t.Parallel()
	const deadline = 1200 * time.Millisecond
	for name, earlier := range map[string]int{"the first notice": 0, "a later notice": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			agent := st.NewAgent(t)
			var failing atomic.Bool
			env := OperatingSystem()
			env.Control = func(string, string, syscall.RawConn) error {
				if failing.Load() {
					return os.NewSyscallError("socket", syscall.ENFILE)
				}
				return nil
			}
			s := startSenderIn(t, env, agent, nil)
			for n := range earlier {
				st.Submit(t, s.addr, "before"+strconv.Itoa(n), "safe", 5, 50*time.Millisecond)
				st.Receive(t, agent.Notices)
			}
			time.Sleep(200 * time.Millisecond)
			failing.Store(true)
			at := time.Now()
			st.Submit(t, s.addr, "m", "safe", 5, deadline)
			select {
			case n := <-agent.Notices:
				if late := time.Since(at) - deadline; n.Message != "m" || late > 300*time.Millisecond {
					t.Errorf("notice %+v is delivered %v after the deadline, want one of m within 300 ms", n, late)
				}
			case <-time.After(deadline + 500*time.Millisecond):
				t.Error("the notice is not delivered")
			}
			failing.Store(false)
		})
	}
}

// Guards against notices that are late because discovery no longer responds on a connection. The first delivery times
// out; the next batch is sent on another connection, and holds also the notices that were added in the meantime, while
// they are still in time.
func TestSilentDiscoveryConnectionDelaysNoNotice(t *testing.T) {
	t.Parallel()
	posts := make(chan string, 10)
	var received atomic.Bool
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		first := received.CompareAndSwap(false, true)
		posts <- string(body)
		if first {
			<-r.Context().Done()
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	t.Cleanup(platform.Close)
	s := newTestSender(t, st.NewAgent(t), nil)
	s.discovery.Move(strings.TrimPrefix(platform.URL, "http://"))
	addNotice := func(id string) {
		m, err := s.journal.Accept(journal.Record{ID: id, Class: "safe"})
		if err != nil {
			t.Fatal(err)
		}
		s.journal.AppendMessageEnded(m, journal.OutcomeGivenUp, 0)
		s.notices.add(noticeOf(m))
		s.notices.deliver()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.discovery.DeliverNotices(ctx, s.notices.batches, func(n []discovery.Notice) {
		s.post(ctx, noticesDeliveredEvent{n})
	})
	addNotice("a")
	if text := st.Receive(t, posts); !strings.Contains(text, `"a"`) {
		t.Fatalf("the first batch is %s, want a notice of a", text)
	}
	began := time.Now()
	addNotice("b")
	for len(s.notices.pending) > 0 {
		s.handleEvent(ctx, st.Receive(t, s.events))
		s.notices.deliver()
	}
	if text := st.Receive(t, posts); !strings.Contains(text, `"a"`) || !strings.Contains(text, `"b"`) {
		t.Errorf("the second batch is %s, want notices of a and b", text)
	}
	if took := time.Since(began); took > 300*time.Millisecond {
		t.Errorf("the notices are delivered after %v", took)
	}
}

// Guards against notices that are lost because a batch shares its memory with the queue: a notice that is added while a
// batch is being delivered stays pending.
func TestNoticesAddedDuringADeliveryStayPending(t *testing.T) {
	t.Parallel()
	s := newTestSender(t, st.NewAgent(t), nil)
	for _, id := range []string{"a", "b", "c", "d"} {
		m, err := s.journal.Accept(journal.Record{ID: id, Class: "safe"})
		if err != nil {
			t.Fatal(err)
		}
		s.journal.AppendMessageEnded(m, journal.OutcomeGivenUp, 0)
		s.notices.add(noticeOf(m))
		if id == "c" {
			s.notices.deliver()
		}
	}
	batch := st.Receive(t, s.notices.batches)
	s.handleEvent(context.Background(), noticesDeliveredEvent{batch})
	pending := s.notices.pending
	if len(pending) != 1 || pending[0].Message != "d" || s.journal.Message("d") == nil || s.journal.Len() != 1 {
		t.Errorf("delivered %v, pending %v, %d in the journal; want only d pending", batch, pending, s.journal.Len())
	}
}

// Guards against notices that come too late when the connections to the agent fall silent (review case 1): the next
// connections to be tried had been open before the silence as well. New connections work all the time, or do so again
// at the end of a longer silence. A message has to be ended at most 300 ms after its deadline.
func TestNoticesAreInTimeWhenConnectionsFallSilent(t *testing.T) {
	t.Parallel()
	const (
		firstDeadline = 800 * time.Millisecond
		interval      = 20 * time.Millisecond // between two deadlines
		messages      = 60
		noticeDue     = 300 * time.Millisecond // after the deadline, by the protocol
	)
	for name, silences := range map[string][]time.Duration{ // times from the first deadline on
		"once":             {300 * time.Millisecond},
		"at a deadline":    {0},
		"twice":            {300 * time.Millisecond, 370 * time.Millisecond},
		"again and again":  {100 * time.Millisecond, 250 * time.Millisecond, 400 * time.Millisecond},
		"while it is idle": {-500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			agent, proxy, addr := startSenderBehindProxy(t)
			began := time.Now()
			deadlines := submitExpiring(t, addr, began.Add(firstDeadline), interval, messages)
			go func() {
				for _, at := range silences {
					time.Sleep(time.Until(began.Add(firstDeadline + at)))
					proxy.Silence()
				}
			}()
			checkNoticesInTime(t, agent, deadlines, noticeDue)
		})
	}
}

// Guards against notices that come too late after the agent did not answer on any connection, new ones included: the
// time that a post without an answer took had grown meanwhile, and the first one to reach the agent came after that.
func TestNoticesAreInTimeAtTheEndOfASilence(t *testing.T) {
	t.Parallel()
	const noticeDue = 300 * time.Millisecond // after the deadline, by the protocol
	for _, silence := range []time.Duration{900 * time.Millisecond, 1300 * time.Millisecond, 2 * time.Second} {
		t.Run(silence.String(), func(t *testing.T) {
			t.Parallel()
			agent, proxy, addr := startSenderBehindProxy(t)
			proxy.SetSilent(true)
			ends := time.Now().Add(silence)
			st.Submit(t, addr, "early", "safe", 5, 50*time.Millisecond)
			deadlines := submitExpiring(t, addr, ends, 20*time.Millisecond, 30)
			time.Sleep(time.Until(ends))
			proxy.SetSilent(false)
			checkNoticesInTime(t, agent, deadlines, noticeDue)
		})
	}
}

// startSenderBehindProxy starts a sender whose connections to its agent pass through a proxy, and waits until those in
// reserve are open.
func startSenderBehindProxy(t *testing.T) (agent *st.Agent, proxy *st.Proxy, addr string) {
	t.Helper()
	agent = st.NewAgent(t)
	proxy = st.NewProxy(t, agent.Addr)
	agent.Addr = proxy.Addr
	addr = startSender(t, agent, nil)
	time.Sleep(100 * time.Millisecond)
	return agent, proxy, addr
}

// submitExpiring submits messages that no endpoint takes, whose deadlines are spaced evenly from the first one on, and
// returns the deadlines by message ID.
func submitExpiring(
	t *testing.T, addr string, first time.Time, interval time.Duration, messages int,
) map[string]time.Time {
	t.Helper()
	deadlines := map[string]time.Time{}
	for n := range messages {
		id, deadline := "m"+strconv.Itoa(n), first.Add(time.Duration(n)*interval)
		deadlines[id] = deadline
		st.Submit(t, addr, id, "safe", 5, time.Until(deadline))
	}
	return deadlines
}

// checkNoticesInTime waits for the notices of messages, and fails the test if one arrives later than due after its
// message's deadline.
func checkNoticesInTime(t *testing.T, agent *st.Agent, deadlines map[string]time.Time, due time.Duration) {
	t.Helper()
	noticed := map[string]bool{}
	for len(noticed) < len(deadlines) {
		n := st.Receive(t, agent.Notices)
		deadline, ok := deadlines[n.Message]
		if !ok || noticed[n.Message] {
			continue
		}
		noticed[n.Message] = true
		if late := time.Since(deadline); late > due {
			t.Errorf("the notice of %s arrives %v after its deadline, %v are allowed", n.Message, late, due)
		}
	}
}
