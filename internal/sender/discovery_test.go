package sender

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
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

// After a release eighty senders work with an old list until each has had its turn: with a third of a second for each
// that took half a minute, and a quarter of the calls went to endpoints that were gone. All come within a few
// seconds now, but not at once; where senders are few nobody waits.
func TestManySendersAskForTheListSoonButNotAtOnce(t *testing.T) {
	const senders = 80
	seconds := map[time.Duration]int{}
	for range senders {
		first := newDiscovery("127.0.0.1:1", senders).first
		if first > 5*time.Second {
			t.Errorf("a first call after %v", first)
		}
		seconds[first/time.Second]++
	}
	for second, n := range seconds {
		if n > senders/2 {
			t.Errorf("%d of %d first calls in second %d", n, senders, second)
		}
	}
	if first := newDiscovery("127.0.0.1:1", fewOfUs).first; first != 0 {
		t.Errorf("one of few waits for %v", first)
	}
}
