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

	st "dockshift.example/dockshift/internal/sendertest"
)

// A platform that serves many senders in turn answers late. What queues there is waited for; given up, the next
// call would queue behind it, for ever. Where senders are few nothing queues, and silence means that it is down.
func TestManySendersWaitForTheirTurn(t *testing.T) {
	for name, c := range map[string]struct {
		senders int
		served  bool
	}{"few": {3, false}, "many": {36, true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				select {
				case <-time.After(answerTime + answerTime/2):
					w.Write([]byte(`{"version":7,"full":true,"servers":[]}`))
				case <-r.Context().Done():
				}
			}))
			t.Cleanup(s.Close)
			d := newDiscovery(strings.TrimPrefix(s.URL, "http://"), c.senders)
			list, err := d.list(context.Background(), s.URL, -1)
			if served := err == nil && list.Version == 7; served != c.served {
				t.Errorf("served %v: %v", served, err)
			}
		})
	}
}

// After a refusal each stays away as long as all others may need, and no two for the same time.
func TestManySendersStayAway(t *testing.T) {
	t.Parallel()
	calls := make(chan time.Time, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls <- time.Now()
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(s.Close)
	d := newDiscovery(strings.TrimPrefix(s.URL, "http://"), 12)
	ctx, cancel := context.WithCancel(context.Background())
	asked, done := make(chan struct{}, 1), make(chan struct{})
	asked <- struct{}{}
	go func() {
		defer close(done)
		d.follow(ctx, -1, asked, func(Targets) {}, func(error) { asked <- struct{}{} })
	}()
	began := st.Receive(t, calls)
	for range 2 {
		st.Receive(t, calls)
	}
	// After each refusal a pause of a quarter and then half of all turns, of which at least half is waited.
	if took, least := time.Since(began), (d.turns/4+d.turns/2)/2; took < least {
		t.Errorf("three calls in %v, sooner than %v", took, least)
	}
	cancel()
	st.Receive(t, done)
}

// What the agent holds binds a sender from its start on, and what drains may get calls for 500 ms more. Whoever of
// three hundred asked after 15 s, its turn then, sent by an old list until then. Where senders are few nobody waits.
func TestSendersAskForTheListBeforeADrainBinds(t *testing.T) {
	for _, senders := range []int{fewOfUs + 1, 80, 300, 100_000} {
		spread := map[time.Duration]bool{}
		for range 100 {
			first := newDiscovery("127.0.0.1:1", senders).first
			if first > 200*time.Millisecond {
				t.Fatalf("one of %d asks after %v", senders, first)
			}
			spread[first] = true
		}
		if len(spread) < 10 {
			t.Errorf("%d senders ask at %d times", senders, len(spread))
		}
	}
	if first := newDiscovery("127.0.0.1:1", fewOfUs).first; first != 0 {
		t.Errorf("one of few waits for %v", first)
	}
}

// Hundreds of senders have as little time as few: no answer is waited for past the time by which it binds, and the
// first rest after a refusal is no longer than that either.
func TestTimesThatGrowWithTheSendersHaveACeiling(t *testing.T) {
	d := newDiscovery("127.0.0.1:1", 300)
	if d.slowDown(refusedError("503")); d.pace > bindsBy {
		t.Errorf("a rest of %v after the first refusal", d.pace)
	}
	for range 10 {
		d.slowDown(refusedError("503"))
	}
	if d.pace > restMost {
		t.Errorf("a rest of %v", d.pace)
	}
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(s.Close)
	began := time.Now()
	if _, err := d.list(context.Background(), s.URL, 7); err == nil {
		t.Error("an answer from an agent that is silent")
	}
	if took := time.Since(began); took > watchWait+watchLate+time.Second {
		t.Errorf("%v waited for an agent that is silent", took)
	}
}

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
	s.disc.move(strings.TrimPrefix(p.URL, "http://"))
	owe := func(id string) {
		m, err := s.journal.take(record{ID: id, Class: "safe"})
		if err != nil {
			t.Fatal(err)
		}
		s.journal.note(m, record{Op: "over", How: givenUp})
		s.owed = append(s.owed, m.notice())
		s.tell()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.disc.tell(ctx, s.notices, func(n []notice) { s.post(ctx, toldEvent{n}) })
	owe("a")
	if text := st.Receive(t, posts); !strings.Contains(text, `"a"`) {
		t.Fatalf("first %s", text)
	}
	began := time.Now()
	owe("b")
	for len(s.owed) > 0 {
		s.take(ctx, st.Receive(t, s.events))
		s.tell()
	}
	if text := st.Receive(t, posts); !strings.Contains(text, `"a"`) || !strings.Contains(text, `"b"`) {
		t.Errorf("then %s", text)
	}
	if took := time.Since(began); took > 300*time.Millisecond {
		t.Errorf("told after %v", took)
	}
}
