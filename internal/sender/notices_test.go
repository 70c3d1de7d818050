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

// A notice is delivered as soon as the platform can be reached again: it has 0.3 s from its message's end.
func TestNoticeIsDeliveredOnceSocketsWorkAgain(t *testing.T) {
	t.Parallel()
	const deadline, failing = 500 * time.Millisecond, 250 * time.Millisecond
	for n := range 8 {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			t.Parallel()
			p := st.NewAgent(t)
			var from, until atomic.Int64 // Unix ns
			env := OperatingSystem()
			env.Control = func(string, string, syscall.RawConn) error {
				if now := time.Now().UnixNano(); from.Load() <= now && now < until.Load() {
					return os.NewSyscallError("socket", syscall.ENFILE)
				}
				return nil
			}
			s := startSenderIn(t, env, p, nil)
			at := time.Now()
			from.Store(at.UnixNano())
			until.Store(at.Add(deadline + failing).UnixNano())
			st.Submit(t, s.addr, "m", "safe", 5, deadline)
			if n := st.Receive(t, p.Notices); n.Message != "m" {
				t.Errorf("%+v", n)
			}
			if late := time.Since(at) - deadline; late > 300*time.Millisecond {
				t.Errorf("it is delivered %v after the deadline", late)
			}
		})
	}
}

// A notice is delivered in time also while no socket can be opened at all: a connection is reserved for notices.
func TestNoticeIsDeliveredOnTheReservedConnection(t *testing.T) {
	t.Parallel()
	const deadline = 1200 * time.Millisecond
	for name, earlier := range map[string]int{"the first notice": 0, "a later notice": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := st.NewAgent(t)
			var failing atomic.Bool
			env := OperatingSystem()
			env.Control = func(string, string, syscall.RawConn) error {
				if failing.Load() {
					return os.NewSyscallError("socket", syscall.ENFILE)
				}
				return nil
			}
			s := startSenderIn(t, env, p, nil)
			for n := range earlier {
				st.Submit(t, s.addr, "before"+strconv.Itoa(n), "safe", 5, 50*time.Millisecond)
				st.Receive(t, p.Notices)
			}
			time.Sleep(200 * time.Millisecond)
			failing.Store(true)
			at := time.Now()
			st.Submit(t, s.addr, "m", "safe", 5, deadline)
			select {
			case n := <-p.Notices:
				if late := time.Since(at) - deadline; n.Message != "m" || late > 300*time.Millisecond {
					t.Errorf("%+v, %v after the deadline", n, late)
				}
			case <-time.After(deadline + 500*time.Millisecond):
				t.Error("it is not delivered")
			}
			failing.Store(false)
		})
	}
}

// A connection to discovery that has become silent delays no notice for longer than one try: notices added meanwhile go
// with the next batch, on another connection, while they are still in time.
func TestSilentDiscoveryConnectionDelaysNoNotice(t *testing.T) {
	t.Parallel()
	posts := make(chan string, 10)
	var heard atomic.Bool
	p := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		first := heard.CompareAndSwap(false, true)
		posts <- string(body)
		if first {
			<-r.Context().Done()
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	t.Cleanup(p.Close)
	s := newTestSender(t, st.NewAgent(t), nil)
	s.discovery.Move(strings.TrimPrefix(p.URL, "http://"))
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
		t.Fatalf("first %s", text)
	}
	began := time.Now()
	addNotice("b")
	for len(s.notices.pending) > 0 {
		s.handleEvent(ctx, st.Receive(t, s.events))
		s.notices.deliver()
	}
	if text := st.Receive(t, posts); !strings.Contains(text, `"a"`) || !strings.Contains(text, `"b"`) {
		t.Errorf("then %s", text)
	}
	if took := time.Since(began); took > 300*time.Millisecond {
		t.Errorf("delivered after %v", took)
	}
}

// A notice that is added while a batch is on its way stays pending: the batch and the queue share no memory.
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
		t.Errorf("delivered %v, still pending %v, in the journal %d", batch, pending, s.journal.Len())
	}
}
