package discovery

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/endpointlist"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
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
				case <-time.After(answerTimeout + answerTimeout/2):
					w.Write([]byte(`{"version":7,"full":true,"servers":[]}`))
				case <-r.Context().Done():
				}
			}))
			t.Cleanup(s.Close)
			d := newTestClient(strings.TrimPrefix(s.URL, "http://"), c.senders)
			list, err := d.watcher.list.fetch(context.Background(), d.watcher.list.query(s.URL, noVersion), d.watcher.timeout(noVersion))
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
	d := newTestClient(strings.TrimPrefix(s.URL, "http://"), 12)
	ctx, cancel := context.WithCancel(context.Background())
	asked, done := make(chan struct{}, 1), make(chan struct{})
	asked <- struct{}{}
	go func() {
		defer close(done)
		d.Follow(ctx, -1, asked, func(endpointlist.Update) {}, func(error) { asked <- struct{}{} })
	}()
	began := st.Receive(t, calls)
	for range 2 {
		st.Receive(t, calls)
	}
	// After each refusal a pause of a quarter and then half of all turns, of which at least half is waited.
	if took, least := time.Since(began), (d.watcher.queueTime/4+d.watcher.queueTime/2)/2; took < least {
		t.Errorf("three calls in %v, sooner than %v", took, least)
	}
	cancel()
	st.Receive(t, done)
}

// What the agent holds binds a sender from its start on, and what drains may get calls for 500 ms more. Whoever of
// three hundred asked after 15 s, its turn then, sent by an old list until then. Where senders are few nobody waits.
func TestSendersAskForTheListBeforeADrainBinds(t *testing.T) {
	for _, senders := range []int{maxUncontendedSenders + 1, 80, 300, 100_000} {
		spread := map[time.Duration]bool{}
		for range 100 {
			first := newTestClient("127.0.0.1:1", senders).watcher.initialDelay
			if first > 200*time.Millisecond {
				t.Fatalf("one of %d asks after %v", senders, first)
			}
			spread[first] = true
		}
		if len(spread) < 10 {
			t.Errorf("%d senders ask at %d times", senders, len(spread))
		}
	}
	if first := newTestClient("127.0.0.1:1", maxUncontendedSenders).watcher.initialDelay; first != 0 {
		t.Errorf("one of few waits for %v", first)
	}
}

// Hundreds of senders have as little time as few: no answer is waited for past the time by which it binds, and no
// rest after refusals, however many, takes the time away in which the next answer has to come: what changed after a
// refusal binds by then. Rests went up to 24 s.
func TestTimesThatGrowWithTheSendersHaveACeiling(t *testing.T) {
	d := newTestClient("127.0.0.1:1", 300)
	for name, needs := range map[string]time.Duration{"pushed": answerTimeout, "asked for": 2 * answerTimeout} {
		d.watcher.rejectionPause, d.watcher.polled = 0, needs > answerTimeout
		for n := range 10 {
			if d.watcher.lengthenRejectionPause(&RejectedError{Status: "503"}); d.watcher.rejectionPause+needs > changeBindsAfter {
				t.Errorf("a list that is %s: a rest of %v after %d refusals", name, d.watcher.rejectionPause, n+1)
			}
		}
	}
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(s.Close)
	began := time.Now()
	if _, err := d.watcher.list.fetch(context.Background(), d.watcher.list.query(s.URL, 7), d.watcher.timeout(7)); err == nil {
		t.Error("an answer from an agent that is silent")
	}
	if took := time.Since(began); took > d.watcher.list.longPoll+maxLongPollLateness+time.Second {
		t.Errorf("%v waited for an agent that is silent", took)
	}
}

// scripted is an agent whose calls for the list are answered by one script after another, the last one for all
// further ones.
func scripted(t *testing.T, scripts ...http.HandlerFunc) (addr string, calls *atomic.Int32) {
	t.Helper()
	calls = new(atomic.Int32)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		scripts[min(int(calls.Add(1)), len(scripts))-1](w, r)
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return strings.TrimPrefix(s.URL, "http://"), calls
}

func silent(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func lists(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, text) }
}

// half begins an answer and says no more.
func half(w http.ResponseWriter, r *http.Request) {
	io.WriteString(w, `{"version":9,"full":true,"ser`)
	w.(http.Flusher).Flush()
	<-r.Context().Done()
}

// newsOf follows an agent's list from a version on, and gives what is told.
func newsOf(t *testing.T, d *Client, version int64) <-chan endpointlist.Update {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	asked, done, told := make(chan struct{}, 1), make(chan struct{}), make(chan endpointlist.Update, 1000)
	asked <- struct{}{}
	go func() {
		defer close(done)
		d.Follow(ctx, version, asked, func(n endpointlist.Update) { told <- n }, func(error) { asked <- struct{}{} })
	}()
	t.Cleanup(func() { cancel(); st.Receive(t, done) })
	return told
}

// A watch that falls silent is given up and opened anew while there is still time to heed what it misses, whenever
// that happens and even where the next one is as silent: 6 s after the silence began, or 4 s after a new address was
// told.
func TestASilentWatchIsOpenedAnewInTime(t *testing.T) {
	t.Parallel()
	old, now := lists(`{"version":7,"full":false,"servers":[]}`), lists(`{"version":8,"full":true,"servers":[]}`)
	for name, scripts := range map[string][]http.HandlerFunc{
		"before its first answer": {silent, now},
		"in mid-answer":           {old, half, now},
		"right after an answer":   {old, silent, now},
		"twice in a row":          {old, silent, silent, now},
		"twice from the start":    {silent, silent, now},
		"twice in mid-answer":     {old, half, half, now},
	} {
		for _, senders := range []int{3, 300} {
			t.Run(fmt.Sprint(name, " ", senders), func(t *testing.T) {
				t.Parallel()
				addr, _ := scripted(t, scripts...)
				d := newTestClient(addr, senders)
				began := time.Now()
				for told := newsOf(t, d, 7); st.Receive(t, told).Version < 8; {
				}
				if took := time.Since(began); took > changeBindsAfter+400*time.Millisecond { // a drain leaves 500 ms after that
					t.Errorf("it took %v", took)
				}
			})
		}
	}
	for name, scripts := range map[string][]http.HandlerFunc{
		"during a reload":       {silent, now},
		"twice during a reload": {silent, half, now},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, calls := scripted(t, old, silent)
			next, _ := scripted(t, scripts...)
			d := newTestClient(first, 300)
			told := newsOf(t, d, 7)
			st.Receive(t, told)
			for calls.Load() < 2 { // the watch is out
				time.Sleep(time.Millisecond)
			}
			began := time.Now()
			d.Move(next)
			for st.Receive(t, told).Version < 8 {
			}
			if took := time.Since(began); took > changeBindsAfterMove+400*time.Millisecond {
				t.Errorf("it took %v", took)
			}
		})
	}
}

// An answer that is no list, or an older one than is held, changes nothing: it would bring back what has drained
// since.
func TestListsThatCannotBeUsedChangeNothing(t *testing.T) {
	t.Parallel()
	good := "{\r\n  \"version\" : 9,\r\n\t\"full\" : true,\r\n  \"servers\" : [ ]\r\n}\r\n" // indented
	for name, text := range map[string]string{
		"older":            `{"version":6,"full":true,"servers":[]}`,
		"an older change":  `{"version":6,"full":false,"servers":[]}`,
		"no version":       `{"full":true,"servers":[]}`,
		"a word for it":    `{"version":"8","full":true,"servers":[]}`,
		"no servers":       `{"version":8,"full":true}`,
		"null for servers": `{"version":8,"full":true,"servers":null}`,
		"empty":            "",
		"cut":              `{"version":8,"full":true,"servers":[{"id":"s-1"`,
		"a page":           "<html>busy</html>",
		"an empty object":  "{}",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, _ := scripted(t, lists(`{"version":7,"full":true,"servers":[]}`), lists(text), lists(text), lists(good))
			told := newsOf(t, newTestClient(addr, 3), -1)
			for _, want := range []int64{7, 9} {
				if n := st.Receive(t, told); n.Version != want {
					t.Errorf("told %+v, not version %d", n, want)
				}
			}
		})
	}
}

// Refusals make a sender rest before it asks again, never within a watch: what changes between two calls counts as
// told, and a watch goes on only if each call comes within 200 ms of the answer before.
func TestAWatchGoesOnAtOnceAlsoAfterRefusals(t *testing.T) {
	t.Parallel()
	var answered time.Time
	var late atomic.Int64
	version := 7
	news := func(w http.ResponseWriter, r *http.Request) { // one call at a time
		if !answered.IsZero() {
			late.Store(max(late.Load(), int64(time.Since(answered))))
		}
		version++
		fmt.Fprintf(w, `{"version":%d,"full":true,"servers":[]}`, version)
		w.(http.Flusher).Flush()
		answered = time.Now()
	}
	refused := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	addr, _ := scripted(t, refused, news)
	told := newsOf(t, newTestClient(addr, 12), 7)
	for st.Receive(t, told).Version < 20 {
	}
	if gap := time.Duration(late.Load()); gap > 200*time.Millisecond {
		t.Errorf("%v between an answer and the next call", gap)
	}
}

// An agent that is silent answers no call of that time when it speaks again, and what it has by then counts as told
// at once. A drain leaves 500 ms, of which a sender may be held up for 150 ms: the rest is the time to hear of it.
func TestAnAgentThatSpeaksAgainIsHeardInTime(t *testing.T) {
	t.Parallel()
	const hearWithin = 350 * time.Millisecond
	for _, senders := range []int{3, 300} {
		for _, length := range []time.Duration{50 * time.Millisecond, 700 * time.Millisecond, 2500 * time.Millisecond, 6 * time.Second} {
			t.Run(fmt.Sprint(senders, " ", length), func(t *testing.T) {
				t.Parallel()
				agent := &quietAgent{version: 7}
				s := httptest.NewServer(agent)
				t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
				told := newsOf(t, newTestClient(strings.TrimPrefix(s.URL, "http://"), senders), -1)
				st.Receive(t, told)
				for range 3 {
					time.Sleep(110 * time.Millisecond) // the silences begin at several moments of a watch
					agent.silence(length)
					spoke := time.Now()
					for st.Receive(t, told).Version < agent.now() {
					}
					if took := time.Since(spoke); took > hearWithin {
						t.Errorf("heard %v after it spoke again", took)
					}
				}
			})
		}
	}
}

// A list that takes its time to come, as long ones do, is not asked for again meanwhile.
func TestAnAnswerThatHasBegunIsNotHedged(t *testing.T) {
	t.Parallel()
	var lists atomic.Int32
	slowly := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" { // a watch
			silent(w, r)
			return
		}
		lists.Add(1)
		for _, piece := range []string{`{"version":7,`, `"full":true,`, `"servers":[]}`} {
			io.WriteString(w, piece)
			w.(http.Flusher).Flush()
			time.Sleep(60 * time.Millisecond)
		}
	}
	addr, _ := scripted(t, slowly)
	st.Receive(t, newsOf(t, newTestClient(addr, 3), -1))
	if n := lists.Load(); n != 1 {
		t.Errorf("the list is asked for %d times", n)
	}
}

// quietAgent is an agent with a list that has a newer version after each silence.
type quietAgent struct {
	mu      sync.Mutex
	version int64
	quiet   bool
	lost    int
}

func (a *quietAgent) now() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.version
}

// silence lasts for a time. Calls that are out when it begins are lost as well.
func (a *quietAgent) silence(length time.Duration) {
	a.mu.Lock()
	a.quiet = true
	a.lost++
	a.mu.Unlock()
	time.Sleep(length)
	a.mu.Lock()
	a.quiet = false
	a.version++
	a.mu.Unlock()
}

func (a *quietAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	a.mu.Lock()
	lost := a.lost
	if a.quiet {
		lost--
	}
	a.mu.Unlock()
	for {
		a.mu.Lock()
		version, gone := a.version, lost != a.lost
		a.mu.Unlock()
		switch {
		case gone:
			<-r.Context().Done()
			return
		case err != nil || version > after || time.Now().After(until):
			fmt.Fprintf(w, `{"version":%d,"full":%v,"servers":[]}`, version, err != nil)
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// The connection that is kept ready for notices follows discovery to a new address at once: sockets may be short
// there right after.
func TestANoticeIsToldRightAfterAMoveWhileNoSocketCanBeHad(t *testing.T) {
	t.Parallel()
	taken := func() *httptest.Server {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
		t.Cleanup(s.Close)
		return s
	}
	before, now := taken(), taken()
	var failing atomic.Bool
	d := New(Options{
		Address: strings.TrimPrefix(before.URL, "http://"),
		Senders: 3,
		Control: func(string, string, syscall.RawConn) error {
			if failing.Load() {
				return syscall.ENOBUFS
			}
			return nil
		},
	})
	t.Cleanup(d.reserved.close)
	d.ReserveConnection()
	time.Sleep(100 * time.Millisecond)
	failing.Store(true) // also as it moves, for a moment
	d.Move(strings.TrimPrefix(now.URL, "http://"))
	time.Sleep(100 * time.Millisecond)
	failing.Store(false)
	time.Sleep(200 * time.Millisecond)
	failing.Store(true)
	if err := d.notifier.post(context.Background(), now.URL, []byte("{}\n"), maxPostTimeout); err != nil {
		t.Error(err)
	}
}

// newTestClient makes a client of one of so many senders.
func newTestClient(address string, senders int) *Client {
	return New(Options{Address: address, Senders: senders})
}
