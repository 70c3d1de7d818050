package sender

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/clock"
	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/handover"
	"onyxdyke.example/onyxdyke/internal/journal"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// leaver is a sender whose end a test brings about.
type leaver struct {
	*Sender
	addr string
	stop context.CancelFunc // SIGTERM
	done chan error
}

func startLeaver(t *testing.T, p *st.Platform, edit func(c *config.Config)) *leaver {
	t.Helper()
	l := &leaver{Sender: newTest(t, p, edit), done: make(chan error, 1)}
	addr := make(chan string, 1)
	listen := func() (net.Listener, error) {
		nl, err := net.Listen("tcp", l.config.Listen)
		if err == nil {
			addr <- nl.Addr().String()
		}
		return nl, err
	}
	var ctx context.Context
	ctx, l.stop = context.WithCancel(context.Background())
	go func() { l.done <- l.Run(ctx, listen) }()
	l.addr = st.Receive(t, addr)
	return l
}

// left waits for the end, and gives the messages that the next process finds.
func (l *leaver) left(t *testing.T) map[string]*journal.Message {
	t.Helper()
	if err := st.Receive(t, l.done); err != nil {
		t.Error(err)
	}
	j, err := journal.Open(journal.OSFileSystem{}, clock.New(time.Now()), l.upgrade.stateDir, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	held := map[string]*journal.Message{}
	for _, m := range j.Messages() {
		held[m.ID] = m
	}
	return held
}

// openJournal opens a state directory's journal.
func openJournal(t *testing.T, dir string, budget int64) *journal.Journal {
	t.Helper()
	j, err := journal.Open(journal.OSFileSystem{}, clock.New(time.Now()), dir, budget)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// While it leaves, a request that was written on a connection that stood gets a whole answer, or was never taken on and
// may come again. It goes on to the last moment, whatever else hangs.
func TestEachRequestWhileLeavingGetsAWholeAnswer(t *testing.T) {
	t.Parallel()
	hung := st.NewEndpoint(t, st.Silent)
	l := startLeaver(t, st.NewPlatform(t, hung.Addr), func(c *config.Config) { c.Settings.MaxPendingMessages = 1e6; c.Limits.DiskMB = 100 })
	l.shutdown.gracePeriod, l.shutdown.drainTimeout = 150*time.Millisecond, 400*time.Millisecond
	var mu sync.Mutex
	taken, open := map[string]bool{}, map[string]bool{} // answered 202, and not answered
	var clients sync.WaitGroup
	for n := range 20 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for i := 0; ; {
				c, err := net.Dial("tcp", l.addr)
				if err != nil {
					return
				}
				for r := bufio.NewReader(c); err == nil; i++ {
					req := st.Message(t, l.addr, strconv.Itoa(n)+"-"+strconv.Itoa(i), "unsafe", 0, 15*time.Second, "body")
					c.SetDeadline(time.Now().Add(st.Wait))
					var resp *http.Response
					if err = req.Write(c); err == nil {
						resp, err = http.ReadResponse(r, req)
					}
					if err == nil {
						_, err = io.Copy(io.Discard, resp.Body)
					}
					mu.Lock()
					switch id := req.Header.Get("X-Request-Id"); {
					case err != nil:
						open[id] = true
					case resp.StatusCode == http.StatusAccepted:
						taken[id] = true
					case resp.StatusCode != http.StatusServiceUnavailable:
						t.Errorf("%s is answered %s", id, resp.Status)
					}
					mu.Unlock()
					if err == nil && resp.Close {
						err = io.EOF
					}
				}
				c.Close()
			}
		}()
	}
	hung.Next(t)
	l.stop()
	left := l.left(t)
	clients.Wait()
	for id := range left {
		if open[id] {
			t.Errorf("%s has been taken on, and its client has no answer", id)
		}
	}
	for id := range taken {
		if left[id] == nil {
			t.Errorf("%s has been answered, and is lost", id)
		}
	}
	if len(taken) < 100 {
		t.Errorf("only %d requests were taken on", len(taken))
	}
	t.Logf("%d taken on, %d without an answer", len(taken), len(open))
}

// Connections that wait to be accepted when the sender leaves are answered: closing the listener would reset them.
func TestConnectionsInTheQueueAreAnsweredWhileLeaving(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Silent)
	l := startLeaver(t, st.NewPlatform(t, e.Addr), func(c *config.Config) { c.Limits.Sockets = 4 }) // two clients at once
	l.shutdown.gracePeriod, l.shutdown.drainTimeout = 0, 5*time.Second
	st.HandIn(t, l.addr, "out", "unsafe", 0, 15*time.Second) // keeps it from leaving at once
	e.Next(t)
	var conns []net.Conn
	for i := range 10 {
		c, err := net.Dial("tcp", l.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(st.Wait))
		if i < 2 { // these take the places, and say half of what they have to
			io.WriteString(c, "POST /api HTTP/1.1\r\nHost: h\r\n")
			continue
		}
		if err := st.Message(t, l.addr, "q"+strconv.Itoa(i), "safe", 0, 15*time.Second, "body").Write(c); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	l.stop()
	for i, c := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Errorf("request %d in the queue: %v", i, err)
		} else if resp.StatusCode != http.StatusAccepted && resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("request %d in the queue: %s", i, resp.Status)
		}
	}
}

// A request that comes again with the id of one that is held is that one, also while the sender leaves: refused, it would
// be delivered all the same.
func TestAHeldMessageThatComesAgainIsNotRefusedWhileLeaving(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Silent)
	l := startLeaver(t, st.NewPlatform(t, e.Addr), nil)
	l.shutdown.gracePeriod, l.shutdown.drainTimeout = 0, 2*time.Second
	st.HandIn(t, l.addr, "held", "safe", 0, 15*time.Second)
	e.Next(t)
	l.stop()
	for n, status := 0, 0; status != http.StatusServiceUnavailable; n++ {
		resp, _ := st.Do(t, st.Message(t, l.addr, strconv.Itoa(n), "safe", 0, 15*time.Second, "body"))
		status = resp.StatusCode
	}
	if resp, text := st.Do(t, st.Message(t, l.addr, "held", "safe", 0, 15*time.Second, "body")); resp.StatusCode != http.StatusAccepted {
		t.Errorf("it is answered %s: %s", resp.Status, text)
	}
	if l.left(t)["held"] == nil {
		t.Error("it is lost")
	}
}

// silentAtFirst is a platform that answers nothing on the first connections: no list, and no notice. Notices it is told
// later go to told.
func silentAtFirst(t *testing.T, connections int) (addr string, told <-chan string) {
	t.Helper()
	ids := make(chan string, 10000)
	var mu sync.Mutex
	seen := map[net.Conn]bool{}
	type key struct{}
	p := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if silent := r.Context().Value(key{}).(bool); silent || r.Method != http.MethodPost {
			io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		for lines := bufio.NewScanner(r.Body); lines.Scan(); {
			var n st.Notice
			if err := json.Unmarshal(lines.Bytes(), &n); err != nil {
				t.Error(err)
			}
			ids <- n.Message
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	p.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		mu.Lock()
		defer mu.Unlock()
		seen[c] = true
		return context.WithValue(ctx, key{}, len(seen) <= connections)
	}
	p.Start()
	t.Cleanup(func() { p.CloseClientConnections(); p.Close() })
	return strings.TrimPrefix(p.URL, "http://"), ids
}

// A message whose time ends between SIGTERM and the next process's start is ended by one of the two within the protocol's
// 1.5 s of ready, however many there are, with endpoints hanging and connections to discovery silent.
func TestWhatEndsDuringARestartIsEndedByEither(t *testing.T) {
	t.Parallel()
	hung := st.NewEndpoint(t, st.Silent)
	addr, told := silentAtFirst(t, 3) // the list, and notices before and after the restart
	open := map[string]bool{}
	edit := func(c *config.Config) { c.Settings.MaxPendingMessages = 1e6; c.Limits.DiskMB = 10; c.Discovery = addr }
	l := startLeaver(t, st.NewPlatform(t, hung.Addr), edit)
	l.shutdown.gracePeriod, l.shutdown.drainTimeout = 500*time.Millisecond, 700*time.Millisecond
	hand := func(from, to int, class string, left time.Duration) {
		for i := from; i < to; i++ {
			id := class + strconv.Itoa(i)
			st.HandIn(t, l.addr, id, class, 0, left)
			open[id] = true
		}
	}
	hand(0, 500, "safe", 900*time.Millisecond)
	hand(0, 500, "unsafe", 900*time.Millisecond)
	l.stop()
	began := time.Now()
	hand(500, 510, "unsafe", 250*time.Millisecond) // some end while it leaves
	if err := st.Receive(t, l.done); err != nil {
		t.Error(err)
	}
	if took := time.Since(began); took > l.shutdown.drainTimeout+queueTime+answersEnd+500*time.Millisecond { // with room for a slow machine
		t.Errorf("it left after %v", took)
	}
	next := startLeaver(t, st.NewPlatform(t, hung.Addr), func(c *config.Config) { edit(c); c.State = l.upgrade.stateDir })
	ready := time.Now()
	for len(open) > 0 {
		delete(open, st.Receive(t, told))
	}
	if took := time.Since(ready); took > 1500*time.Millisecond {
		t.Errorf("all is told %v after ready", took)
	}
	next.stop()
	if err := st.Receive(t, next.done); err != nil {
		t.Error(err)
	}
}

// Leaving takes no longer than its bound, with clients that say nothing, half or a request every moment.
func TestLeavingHasABound(t *testing.T) {
	t.Parallel()
	hung := st.NewEndpoint(t, st.Silent)
	l := startLeaver(t, st.NewPlatform(t, hung.Addr), nil)
	l.shutdown.gracePeriod, l.shutdown.drainTimeout = 100*time.Millisecond, 300*time.Millisecond
	for _, text := range []string{"", "POST /api HT", "POST /api HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf"} {
		c, err := net.Dial("tcp", l.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, text)
	}
	st.HandIn(t, l.addr, "out", "unsafe", 0, 15*time.Second)
	hung.Next(t)
	l.stop()
	began := time.Now()
	left := l.left(t)
	if took := time.Since(began); took < l.shutdown.drainTimeout || took > l.shutdown.drainTimeout+queueTime+answersEnd+500*time.Millisecond {
		t.Errorf("it left after %v", took)
	}
	if left["out"] == nil || len(left) != 1 {
		t.Errorf("it leaves %d messages", len(left))
	}
}

// A client that comes again at once with the same id, at the same process or the next, held or ended, has one message with
// one end: what may have run and may not be repeated is not sent a second time, nor what was delivered.
func TestAnIDThatComesAgainAcrossARestartIsOneMessage(t *testing.T) {
	t.Parallel()
	hung, quick := st.NewEndpoint(t, st.Silent), st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, hung.Addr, quick.Addr)
	l := startLeaver(t, p, nil)
	again := func(addr string) {
		st.HandIn(t, addr, "doubt", "unsafe", 0, 3*time.Second)
		st.HandIn(t, addr, "done", "unsafe", 1, 3*time.Second)
	}
	again(l.addr)
	hung.Next(t)
	quick.Next(t)
	again(l.addr)
	l.stop()
	if err := st.Receive(t, l.done); err != nil {
		t.Error(err)
	}
	next := startLeaver(t, p, func(c *config.Config) { c.State = l.upgrade.stateDir })
	again(next.addr)
	if n := st.Receive(t, p.Notices); n.Message != "doubt" || n.Outcome != "given_up" {
		t.Errorf("notice %+v", n)
	}
	again(next.addr) // its end has been told, or is on its way
	next.stop()
	if err := st.Receive(t, next.done); err != nil {
		t.Error(err)
	}
	if len(hung.Calls)+len(quick.Calls) > 0 {
		t.Errorf("sent a second time: %d, %d", len(hung.Calls), len(quick.Calls))
	}
}

// written is a request as it is sent.
func written(t *testing.T, r *http.Request) string {
	t.Helper()
	var text bytes.Buffer
	if err := r.Write(&text); err != nil {
		t.Fatal(err)
	}
	return text.String()
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(st.Wait))
	return c
}

// inQuitting waits until a leaving sender begins no call any more: then it refuses what is new.
func (l *leaver) inQuitting(t *testing.T) {
	t.Helper()
	for n, status := 0, 0; status != http.StatusServiceUnavailable; n++ {
		resp, _ := st.Do(t, st.Message(t, l.addr, "probe"+strconv.Itoa(n), "safe", 7, 15*time.Second, "body"))
		status = resp.StatusCode
	}
}

// What lies unread behind a request whose answer ends the connection does not destroy that answer: a close over unread
// bytes would be a reset.
func TestAnAnswerOutlivesWhatLiesUnreadBehindIt(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Silent)
	l := startLeaver(t, st.NewPlatform(t, e.Addr), nil)
	l.shutdown.gracePeriod, l.shutdown.drainTimeout = 2*time.Second, 2*time.Second
	st.HandIn(t, l.addr, "out", "safe", 0, 15*time.Second)
	e.Next(t)
	l.stop()
	for { // until answers end their connections
		if resp, _ := st.Do(t, st.Message(t, l.addr, "out", "safe", 0, 15*time.Second, "body")); resp.Close {
			break
		}
	}
	for i := range 50 {
		c := dial(t, l.addr)
		first := written(t, st.Message(t, l.addr, "out", "safe", 0, 15*time.Second, "body"))
		second := written(t, st.Message(t, l.addr, "behind"+strconv.Itoa(i), "safe", 0, 15*time.Second, strings.Repeat("x", 20000)))
		io.WriteString(c, first+second)
		answers, err := io.ReadAll(c) // to the end, which is no reset
		if err != nil || strings.Count(string(answers), "HTTP/1.1 202") != 1 {
			t.Fatalf("answered %q, %v", answers, err)
		}
	}
	if left := l.left(t); len(left) != 1 {
		t.Errorf("requests are taken on behind the last answer: %v", left)
	}
}

// Whoever has begun to speak, or has just come, when the grace is over gets an answer: the sender is there for a while yet.
func TestWhoHasBegunToSpeakWhenTheGraceEndsIsAnswered(t *testing.T) {
	t.Parallel()
	hung := st.NewEndpoint(t, st.Silent)
	l := startLeaver(t, st.NewPlatform(t, hung.Addr), nil)
	l.shutdown.gracePeriod, l.shutdown.drainTimeout = 0, 5*time.Second
	st.HandIn(t, l.addr, "out", "unsafe", 0, 15*time.Second)
	hung.Next(t)
	type client struct {
		net.Conn
		name, rest string
	}
	var clients []client
	request := func(n int) string {
		return written(t, st.Message(t, l.addr, "late"+strconv.Itoa(n), "safe", 0, 15*time.Second, "body"))
	}
	for n, said := range []int{0, 1, 40, len(request(2)) - 2} {
		fresh, used := dial(t, l.addr), dial(t, l.addr)
		io.WriteString(fresh, request(2 * n)[:said])
		clients = append(clients, client{fresh, "fresh", request(2 * n)[said:]})
		if said == 0 { // at rest: that may be closed
			continue
		}
		io.WriteString(used, written(t, st.Message(t, l.addr, "out", "unsafe", 0, 15*time.Second, "body")))
		if resp, err := http.ReadResponse(bufio.NewReader(used), nil); err != nil || resp.StatusCode != http.StatusAccepted {
			t.Fatal(resp, err)
		}
		io.WriteString(used, request(2*n + 1)[:said])
		clients = append(clients, client{used, "used", request(2*n + 1)[said:]})
	}
	l.stop()
	l.inQuitting(t)
	for _, c := range clients {
		io.WriteString(c, c.rest)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("a %s connection with %d bytes to come: %+v, %v", c.name, len(c.rest), resp, err)
		}
	}
}

// A message that comes twice in one step has one fate: where the first is refused the second is not taken on.
func TestARequestThatComesTwiceAtOnceHasOneAnswer(t *testing.T) {
	t.Parallel()
	s := newTest(t, st.NewPlatform(t, "127.0.0.1:1"), func(c *config.Config) { c.Settings.MaxPendingMessages = 20 })
	defer s.journal.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	hand := func(id string) submission {
		return submission{Record: journal.Record{ID: id, Class: "safe", Tenant: "acme", Destination: 5, Deadline: s.clock.Now() + time.Minute},
			answer: make(chan clientResponse, 1)}
	}
	for i := range 19 {
		s.processEvents(ctx, submissionEvent{hand("m" + strconv.Itoa(i))})
	}
	first, second := hand("x"), hand("x")
	s.events <- submissionEvent{second}
	s.processEvents(ctx, submissionEvent{first})
	if a, b := st.Receive(t, first.answer), st.Receive(t, second.answer); a.status != http.StatusServiceUnavailable || b != a {
		t.Errorf("answered %+v and %+v", a, b)
	}
	if s.messages.pending != 19 {
		t.Errorf("%d messages are held", s.messages.pending)
	}
}

// A call that still waits for its connection when the grace is over, or when a successor takes everything, is not written any
// more: nobody would hear how it ends, or whether it may. It never ran, and the next process hears so.
func TestACallThatWaitsForItsConnectionIsLeftToTheNextProcess(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(t *testing.T, l *leaver) *handover.Link{
		"after the grace": func(t *testing.T, l *leaver) *handover.Link { l.stop(); return nil },
		"hand-over":       func(t *testing.T, l *leaver) *handover.Link { link, _ := takeOver(t, l.upgrade.stateDir); return link },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := st.NewEndpoint(t, st.Status(200))
			p := st.NewPlatform(t, e.Addr)
			l := &leaver{Sender: newTest(t, p, nil), done: make(chan error, 1)}
			l.shutdown.gracePeriod, l.shutdown.drainTimeout = 0, 5*time.Second
			dialing, up := make(chan struct{}, 1), make(chan struct{})
			l.pool = l.newPool(func(string, string, syscall.RawConn) error {
				dialing <- struct{}{}
				<-up
				return nil
			})
			withheld := make(chan struct{}, 1)
			l.log = slog.New(onLine(func(line string) {
				if strings.Contains(line, "no further calls are started") || strings.Contains(line, "handing over") {
					withheld <- struct{}{}
				}
			}))
			addr, listen := platformSocket(t)
			var ctx context.Context
			ctx, l.stop = context.WithCancel(context.Background())
			go func() { l.done <- l.Run(ctx, listen) }()
			st.HandIn(t, addr, "m", "unsafe", 0, 15*time.Second)
			st.Receive(t, dialing)
			successor := end(t, l)
			st.Receive(t, withheld)
			close(up)
			if successor != nil {
				packet, err := successor.Receive()
				report, ok := packet.(handover.AttemptReport)
				if err != nil || !ok || report.Result.Outcome != dispatch.NotSent {
					t.Errorf("the successor receives %+v, %v", packet, err)
				}
			}
			l.stop()
			if err := st.Receive(t, l.done); err != nil {
				t.Error(err)
			}
			if len(e.Calls) > 0 {
				t.Error("the call has been written")
			}
			if successor != nil {
				return
			}
			run(t, p, func(c *config.Config) { c.State = l.upgrade.stateDir })
			if c := e.Next(t); c.ID != "m" {
				t.Errorf("the endpoint got %s", c.ID)
			}
		})
	}
}

// onLine is a log whose lines a test hears.
func onLine(heard func(line string)) slog.Handler {
	return slog.NewTextHandler(writer(heard), nil)
}

type writer func(line string)

func (w writer) Write(b []byte) (int, error) { w(string(b)); return len(b), nil }

// What a restart finds untried goes out at once, whatever its class and however many there are, also while discovery says
// nothing and with all room taken: none of it is given up or handed back first.
func TestWhatARestartFindsUntriedIsTriedAtOnce(t *testing.T) {
	t.Parallel()
	const many = 95
	e := st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, e.Addr)
	classes := []string{"safe", "keyed", "unsafe"}
	began := time.Now()
	s := newTest(t, p, func(c *config.Config) {
		j := openJournal(t, c.State, 1<<20)
		for i := range many {
			if _, err := j.Accept(journal.Record{ID: strconv.Itoa(i), Key: "k" + strconv.Itoa(i), Class: classes[i%3], Tenant: "acme",
				Deadline: clock.New(time.Now()).Now() + 15*time.Second}); err != nil {
				t.Fatal(err)
			}
		}
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
		c.Settings.MaxPendingMessages, c.Discovery = 50, "127.0.0.1:1" // less room than before
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx, func() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }) }()
	seen := map[string]bool{}
	for range many {
		seen[e.Next(t).ID] = true
	}
	if took := time.Since(began); len(seen) != many || took > 5*time.Second {
		t.Errorf("%d messages were tried, in %v", len(seen), took)
	}
	cancel()
	if err := st.Receive(t, done); err != nil {
		t.Error(err)
	}
}

// Told to end before it is ready, a sender takes nothing up and lets nobody come; what it found is there for the next.
func TestToldToEndBeforeItIsReady(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Silent)
	p := st.NewPlatform(t, e.Addr)
	s := newTest(t, p, func(c *config.Config) {
		j := openJournal(t, c.State, 1<<20)
		if _, err := j.Accept(journal.Record{ID: "m", Class: "unsafe", Tenant: "acme", Deadline: clock.New(time.Now()).Now() + time.Minute}); err != nil {
			t.Fatal(err)
		}
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := s.Run(ctx, func() (net.Listener, error) { t.Error("it listens"); return nil, net.ErrClosed }); err != nil {
		t.Error(err)
	}
	j := openJournal(t, s.upgrade.stateDir, 1<<20)
	if m := j.Message("m"); m == nil || len(m.Attempts) > 0 {
		t.Errorf("it leaves %+v", m)
	}
	j.Close()
	run(t, p, func(c *config.Config) { c.State = s.upgrade.stateDir })
	if c := e.Next(t); c.ID != "m" {
		t.Errorf("the endpoint got %s", c.ID)
	}
}
