package sender

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/discovery"
	"onyxdyke.example/onyxdyke/internal/journal"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// A connection to discovery that has fallen silent delays no notice for longer than its try takes: what has come to be
// owed meanwhile goes with the next one, on another connection, while it is still in time.
func TestASilentConnectionHoldsUpNoNotice(t *testing.T) {
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
	s := newTest(t, st.NewPlatform(t), nil)
	s.discovery.Move(strings.TrimPrefix(p.URL, "http://"))
	owe := func(id string) {
		m, err := s.journal.Accept(journal.Record{ID: id, Class: "safe"})
		if err != nil {
			t.Fatal(err)
		}
		s.journal.AppendMessageEnded(m, journal.OutcomeGivenUp, 0)
		s.pendingNotices = append(s.pendingNotices, noticeOf(m))
		s.deliverNotices()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.discovery.DeliverNotices(ctx, s.noticeBatches, func(n []discovery.Notice) { s.post(ctx, noticesDeliveredEvent{n}) })
	owe("a")
	if text := st.Receive(t, posts); !strings.Contains(text, `"a"`) {
		t.Fatalf("first %s", text)
	}
	began := time.Now()
	owe("b")
	for len(s.pendingNotices) > 0 {
		s.handleEvent(ctx, st.Receive(t, s.events))
		s.deliverNotices()
	}
	if text := st.Receive(t, posts); !strings.Contains(text, `"a"`) || !strings.Contains(text, `"b"`) {
		t.Errorf("then %s", text)
	}
	if took := time.Since(began); took > 300*time.Millisecond {
		t.Errorf("told after %v", took)
	}
}
