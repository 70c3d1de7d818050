package sender

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/clock"
	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/handover"
	"onyxdyke.example/onyxdyke/internal/journal"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// platformSocket is a clients' socket that the platform holds: each process listens on its own descriptor of it.
func platformSocket(t *testing.T) (addr string, listen func() (net.Listener, error)) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close(); l.Close() })
	return l.Addr().String(), func() (net.Listener, error) { return net.FileListener(f) }
}

// beside starts a sender on a state folder and a socket that others may use, too; it gives the operators' address
// and what stops it.
func beside(t *testing.T, p *st.Platform, state string, listen func() (net.Listener, error)) (admin string, stop func()) {
	t.Helper()
	admin = freeAddr(t)
	s := newTest(t, p, func(c *config.Config) { c.State, c.Admin = state, admin })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx, listen) }()
	stopped := false
	stop = func() {
		if !stopped {
			stopped = true
			cancel()
			if err := st.Receive(t, done); err != nil {
				t.Error(err)
			}
		}
	}
	t.Cleanup(stop)
	waitHealth(t, admin, "ok\n")
	return admin, stop
}

func waitHealth(t *testing.T, admin, want string) {
	t.Helper()
	got := ""
	for end := time.Now().Add(st.Wait); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if got = ask(t, admin, "HEALTH\n"); got == want {
			return
		}
	}
	t.Fatalf("HEALTH: %q, want %q", got, want)
}

// gate is an endpoint's script that answers a call when it is let through.
func gate(open <-chan struct{}) func(st.Call, net.Conn) bool {
	return func(c st.Call, conn net.Conn) bool {
		<-open
		return st.Status(200)(c, conn)
	}
}

// handInOn hands a message in on a connection that the client keeps.
func handInOn(t *testing.T, c net.Conn, r *bufio.Reader, req *http.Request) *http.Response {
	t.Helper()
	c.SetDeadline(time.Now().Add(st.Wait))
	if err := req.Write(c); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(r, req)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp
}

// A second process takes everything over while the first has a call out and a client connected: the call ends
// once, where the new one counts it; what comes on the old connection is answered there and sent by the new one.
func TestUpgrade(t *testing.T) {
	t.Parallel()
	open := make(chan struct{})
	slow, quick := st.NewEndpoint(t, gate(open)), st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, slow.Addr, quick.Addr)
	state := t.TempDir()
	addr, listen := platformSocket(t)
	oldAdmin, stopOld := beside(t, p, state, listen)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	r := bufio.NewReader(c)
	if resp := handInOn(t, c, r, st.Message(t, addr, "out", "unsafe", 0, 15*time.Second, "x")); resp.StatusCode != 202 || resp.Close {
		t.Fatalf("%s, close %v", resp.Status, resp.Close)
	}
	slow.Next(t)

	newAdmin, _ := beside(t, p, state, listen)
	waitHealth(t, oldAdmin, "fail leaving\n")
	wantFigures(t, oldAdmin, map[string]int{"outstanding": 0, "forwards": 1})
	wantFigures(t, newAdmin, map[string]int{"outstanding": 1, "forwards": 0, "discovered": 2})
	if resp := handInOn(t, c, r, st.Message(t, addr, "late", "unsafe", 1, 15*time.Second, "y")); resp.StatusCode != 202 || !resp.Close {
		t.Errorf("on the old connection: %s, close %v", resp.Status, resp.Close)
	}
	if got := quick.Next(t); got.ID != "late" || got.Body != "y" {
		t.Errorf("the endpoint got %+v", got)
	}
	close(open)
	wantFigures(t, newAdmin, map[string]int{"outstanding": 0, "succeeded.unsafe": 2, "forwards": 1})
	wantFigures(t, oldAdmin, map[string]int{"succeeded.unsafe": 0, "forwards": 1})
	stopOld()
	st.HandIn(t, addr, "after", "unsafe", 1, 15*time.Second)
	quick.Next(t)
	for _, e := range []*st.Endpoint{slow, quick} {
		select {
		case again := <-e.Calls:
			t.Errorf("%s is sent again", again.ID)
		default:
		}
	}
}

// A client that comes again with the id of a message that ended just before the hand-over has its answer, and the message is
// not sent a second time.
func TestEndedIDsSurviveAHandOver(t *testing.T) {
	t.Parallel()
	quick := st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, quick.Addr)
	state := t.TempDir()
	addr, listen := platformSocket(t)
	admin, stopOld := beside(t, p, state, listen)
	st.HandIn(t, addr, "done", "unsafe", 0, 15*time.Second)
	quick.Next(t)
	wantFigures(t, admin, map[string]int{"succeeded.unsafe": 1, "outstanding": 0})
	for range 2 { // and a hand-over after that
		_, stop := beside(t, p, state, listen)
		st.HandIn(t, addr, "done", "unsafe", 0, 15*time.Second)
		stopOld()
		stopOld = stop
	}
	st.HandIn(t, addr, "done", "unsafe", 0, 15*time.Second)
	st.HandIn(t, addr, "new", "unsafe", 0, 15*time.Second)
	if c := quick.Next(t); c.ID != "new" {
		t.Errorf("%s is sent again", c.ID)
	}
}

// Calls that the old process still has out when it ends may have run: what may be repeated goes out again, and
// only then.
func TestUpgradeCutsCallsOff(t *testing.T) {
	t.Parallel()
	silent := st.NewEndpoint(t, st.Silent)
	p := st.NewPlatform(t, silent.Addr, silent.Addr)
	state := t.TempDir()
	addr, listen := platformSocket(t)
	_, stopOld := beside(t, p, state, listen)
	st.HandIn(t, addr, "safe", "safe", 0, 15*time.Second)
	silent.Next(t)
	st.HandIn(t, addr, "unsafe", "unsafe", 1, 15*time.Second)
	silent.Next(t)
	admin, _ := beside(t, p, state, listen)
	wantFigures(t, admin, map[string]int{"outstanding": 2, "forwards": 0})
	stopOld()
	if c := silent.Next(t); c.ID != "safe" {
		t.Errorf("%s is sent again", c.ID)
	}
	if n := st.Receive(t, p.Notices); n.Message != "unsafe" || n.Outcome != "given_up" {
		t.Errorf("notice %+v", n)
	}
	wantFigures(t, admin, map[string]int{"aborted.unsafe": 1, "outstanding": 1})
}

// A newcomer that dies half way changes nothing: the old process takes the lock and the journal again and serves
// on, and its call that was out all the time ends as ever.
func TestSuccessorDies(t *testing.T) {
	t.Parallel()
	open := make(chan struct{})
	slow, quick := st.NewEndpoint(t, gate(open)), st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, slow.Addr, quick.Addr)
	state := t.TempDir()
	addr, listen := platformSocket(t)
	admin, _ := beside(t, p, state, listen)
	st.HandIn(t, addr, "out", "unsafe", 0, 15*time.Second)
	slow.Next(t)
	for n := range 2 {
		l, snapshot := takeOver(t, state)
		if len(snapshot.InFlight) != 1 || snapshot.InFlight[0].ID != (handover.AttemptID{Message: "out", Attempt: 0}) {
			t.Errorf("calls handed over: %+v", snapshot.InFlight)
		}
		waitHealth(t, admin, "fail leaving\n")
		l.Close()
		waitHealth(t, admin, "ok\n")
		id := "again" + strconv.Itoa(n)
		st.HandIn(t, addr, id, "unsafe", 1, 15*time.Second)
		if c := quick.Next(t); c.ID != id {
			t.Errorf("the endpoint got %s", c.ID)
		}
		wantFigures(t, admin, map[string]int{"succeeded.unsafe": n + 1}) // else it is handed over as out, too
	}
	close(open)
	wantFigures(t, admin, map[string]int{"outstanding": 0, "succeeded.unsafe": 3, "aborted.unsafe": 0, "forwards": 3})
}

// takeOver plays a successor by hand: it has the snapshot of the holder and does nothing with it.
func takeOver(t *testing.T, state string) (*handover.Link, *handover.Snapshot) {
	t.Helper()
	for until := time.Now().Add(st.Wait); ; time.Sleep(time.Millisecond) { // the holder's socket may come up after its ok
		l, e, err := handover.RequestSnapshot(context.Background(), state)
		if err == nil {
			t.Cleanup(l.Close)
			return l, e
		}
		if time.Now().After(until) {
			t.Fatal(err)
		}
	}
}

// A call that ends while a successor has everything, and dies with the news, has ended all the same: its message is neither
// forgotten nor taken for one that may have run. That holds for calls of the process before, too.
func TestEndsToldToASuccessorThatDies(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		answer func(st.Call, net.Conn) bool
		want   map[string]int
		again  bool
	}{
		"delivered":   {st.Status(200), map[string]int{"outstanding": 0, "succeeded.unsafe": 1, "aborted.unsafe": 0}, false},
		"turned away": {st.Status(503), map[string]int{"outstanding": 1, "aborted.unsafe": 0}, true},
		"in doubt":    {st.Status(500), map[string]int{"outstanding": 0, "aborted.unsafe": 1}, false},
	} {
		for _, processes := range []int{1, 2} {
			t.Run(name+" "+strconv.Itoa(processes), func(t *testing.T) {
				t.Parallel()
				open := make(chan struct{})
				e := st.NewEndpoint(t, func(call st.Call, conn net.Conn) bool { <-open; return c.answer(call, conn) })
				p := st.NewPlatform(t, e.Addr)
				state := t.TempDir()
				addr, listen := platformSocket(t)
				var admin string
				for n := range processes {
					admin, _ = beside(t, p, state, listen)
					if n == 0 {
						st.HandIn(t, addr, "m", "unsafe", 0, 15*time.Second)
						e.Next(t)
					}
				}
				l, snapshot := takeOver(t, state)
				if len(snapshot.InFlight) != 1 {
					t.Fatalf("calls handed over: %+v", snapshot.InFlight)
				}
				close(open)
				packet, err := l.Receive()
				if _, ok := packet.(handover.AttemptReport); err != nil || !ok {
					t.Fatalf("the successor receives %+v, %v", packet, err)
				}
				l.Close()
				waitHealth(t, admin, "ok\n")
				wantFigures(t, admin, c.want)
				if c.again {
					e.Next(t)
				} else if len(e.Calls) > 0 {
					t.Error("it is sent again")
				}
			})
		}
	}
}

// A message that rests after failed attempts does so in the next process, too, and in the old one that takes it up again.
func TestRetryPausesSurviveAHandOver(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(500))
	p := st.NewPlatform(t, e.Addr)
	state := t.TempDir()
	addr, listen := platformSocket(t)
	admin, _ := beside(t, p, state, listen)
	st.HandIn(t, addr, "m", "safe", 0, 15*time.Second)
	for range 3 {
		e.Next(t)
	}
	var rests time.Time
	for booked := false; !booked; { // its last answer may not have been: then its call is handed over as out
		l, est := takeOver(t, state)
		booked = len(est.InFlight) == 0
		until, ok := est.BackoffUntil["m"]
		if rests = time.Unix(0, int64(until)); booked && !ok {
			t.Errorf("it does not rest: %+v", est)
		}
		l.Close()
		waitHealth(t, admin, "ok\n")
	}
	beside(t, p, state, listen) // the old one has it again, and hands it on
	if e.Next(t); time.Now().Before(rests) {
		t.Errorf("it was sent %v too early", time.Until(rests))
	}
}

// Where a successor dies and this process is about to end, nobody can have taken on what comes now: it is refused, and its
// client can come again.
func TestWhatComesAfterASuccessorsDeathWhileLeavingIsRefused(t *testing.T) {
	t.Parallel()
	hung := st.NewEndpoint(t, st.Silent)
	addr, listen := platformSocket(t)
	l := &leaver{Sender: newTest(t, st.NewPlatform(t, hung.Addr), nil), done: make(chan error, 1)}
	l.shutdown.gracePeriod, l.shutdown.drainTimeout = 0, 2*time.Second
	var ctx context.Context
	ctx, l.stop = context.WithCancel(context.Background())
	go func() { l.done <- l.Run(ctx, listen) }()
	st.HandIn(t, addr, "out", "unsafe", 0, 15*time.Second)
	hung.Next(t)
	var halves []net.Conn // whoever is in the middle of a request is not let go
	for i := range 20 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		var text bytes.Buffer
		st.Message(t, addr, "late"+strconv.Itoa(i), "unsafe", 0, 15*time.Second, "xy").Write(&text)
		c.Write(text.Bytes()[:text.Len()-1])
		halves = append(halves, c)
	}
	successor, _ := takeOver(t, l.upgrade.stateDir)
	l.stop()
	successor.Close()
	refused := false
	for _, c := range halves { // until both have been noticed
		io.WriteString(c, "y")
		c.SetDeadline(time.Now().Add(400 * time.Millisecond)) // as long as a client waits
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			if resp.StatusCode == http.StatusInternalServerError {
				continue // passed on before the death was noticed: it may have been taken on
			}
			refused = resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != ""
			break
		}
	}
	if !refused {
		t.Error("no request is refused")
	}
	if left := l.left(t); len(left) != 1 || left["out"] == nil {
		t.Errorf("it leaves %v", left)
	}
}

// What a process that was killed has left stops no start: its socket is a file that nobody listens on.
func TestStaleSocket(t *testing.T) {
	t.Parallel()
	quick := st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, quick.Addr)
	state := t.TempDir()
	if err := handover.WithSocket(state, func(path string) error {
		l, err := net.Listen("unix", path)
		if err != nil {
			return err
		}
		l.(*net.UnixListener).SetUnlinkOnClose(false)
		return l.Close()
	}); err != nil {
		t.Fatal(err)
	}
	addr, listen := platformSocket(t)
	_, stop := beside(t, p, state, listen)
	beside(t, p, state, listen)
	st.HandIn(t, addr, "m", "unsafe", 0, 15*time.Second)
	quick.Next(t)
	stop()
	if err := handover.WithSocket(state, func(path string) error { _, err := os.Stat(path); return err }); err != nil {
		t.Errorf("the new process has no socket: %v", err)
	}
}

// Where no Unix socket can be had the sender starts and serves all the same; only upgrades are not to be had.
func TestNoSocketStopsNoStart(t *testing.T) {
	t.Parallel()
	quick := st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, quick.Addr)
	state := t.TempDir()
	if err := handover.WithSocket(state, func(path string) error { return os.MkdirAll(path+"/taken", 0o700) }); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { handover.WithSocket(state, os.RemoveAll) })
	addr, listen := platformSocket(t)
	beside(t, p, state, listen)
	st.HandIn(t, addr, "m", "unsafe", 0, 15*time.Second)
	if c := quick.Next(t); c.ID != "m" {
		t.Errorf("the endpoint got %s", c.ID)
	}
}

// What was passed on to a successor that dies, while nobody can take the journal again, gets an answer: it may have been taken
// on, so nothing is promised.
func TestRequestsPassedOnToASuccessorThatDiesWhileLeavingAreAnswered(t *testing.T) {
	t.Parallel()
	hung := st.NewEndpoint(t, st.Silent)
	addr, listen := platformSocket(t)
	l := &leaver{Sender: newTest(t, st.NewPlatform(t, hung.Addr), nil), done: make(chan error, 1)}
	l.shutdown.gracePeriod, l.shutdown.drainTimeout = 0, 2*time.Second
	var ctx context.Context
	ctx, l.stop = context.WithCancel(context.Background())
	go func() { l.done <- l.Run(ctx, listen) }()
	c := dial(t, addr)
	r := bufio.NewReader(c)
	if resp := handInOn(t, c, r, st.Message(t, addr, "out", "unsafe", 0, 15*time.Second, "x")); resp.StatusCode != http.StatusAccepted {
		t.Fatal(resp.Status)
	}
	hung.Next(t)
	successor, _ := takeOver(t, l.upgrade.stateDir)
	io.WriteString(c, written(t, st.Message(t, addr, "passed", "unsafe", 0, 15*time.Second, "x")))
	for {
		p, err := successor.Receive()
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := p.(handover.ForwardedRequest); ok {
			break
		}
	}
	l.stop()
	for leaving := false; !leaving; time.Sleep(time.Millisecond) {
		l.server.mu.Lock()
		leaving = l.server.leaving
		l.server.mu.Unlock()
	}
	successor.Close()
	c.SetReadDeadline(time.Now().Add(400 * time.Millisecond)) // as long as a client waits
	resp, err := http.ReadResponse(r, nil)
	if err != nil || resp.StatusCode != http.StatusInternalServerError {
		t.Errorf("%+v, %v", resp, err)
	}
	l.left(t)
}

// While the journal cannot be written it does not hold how messages have ended: it is not handed over then, and a newcomer
// that waits gets it whole.
func TestNoHandOverWhileTheDiskFails(t *testing.T) {
	t.Parallel()
	good := st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, good.Addr)
	state, admin := t.TempDir(), freeAddr(t)
	var failing atomic.Bool
	env := OperatingSystem()
	env.Files = failingFiles{write: func([]byte) error {
		if failing.Load() {
			return syscall.ENOSPC
		}
		return nil
	}}
	gated := make(chan struct{})
	slow := st.NewEndpoint(t, gate(gated))
	p.Change(st.Target("s-1", slow.Addr, 1, "SERVING"))
	first := live(t, env, p, func(c *config.Config) { c.State, c.Admin = state, admin })
	st.HandIn(t, first.addr, "m", "unsafe", 1, 15*time.Second)
	slow.Next(t)
	failing.Store(true)
	close(gated) // it is delivered, and that cannot be written
	wantFigures(t, admin, map[string]int{"succeeded.unsafe": 1, "outstanding": 0})

	took := make(chan struct{})
	go func() {
		defer close(took)
		l, _ := takeOver(t, state)
		defer l.Close()
		j, err := journal.Open(journal.OSFileSystem{}, clock.New(time.Now()), state, 1<<20)
		if err != nil {
			t.Error(err)
			return
		}
		if m := j.Message("m"); m != nil {
			t.Errorf("a message that was delivered is handed over as held: %+v", m.Attempts)
		}
	}()
	select {
	case <-took:
		t.Error("the journal is handed over while it cannot be written")
	case <-time.After(500 * time.Millisecond):
	}
	failing.Store(false)
	st.Receive(t, took)
}

// A wait that an endpoint tells the old process in an answer that never ends binds the new one, too.
func TestAWaitToldToTheOldProcessBindsTheNewOne(t *testing.T) {
	t.Parallel()
	const wait = 1500 * time.Millisecond
	tell, told := make(chan struct{}), make(chan time.Time, 1)
	e := st.NewEndpoint(t, func(c st.Call, conn net.Conn) bool {
		if c.ID != "out" {
			return st.Status(200)(c, conn)
		}
		<-tell
		io.WriteString(conn, "HTTP/1.1 429 X\r\nX-RateLimit-Wait-Ms: "+strconv.FormatInt(wait.Milliseconds(), 10)+"\r\nContent-Length: 100\r\n\r\nhalf")
		told <- time.Now()
		return st.Silent(c, conn)
	})
	p := st.NewPlatform(t, e.Addr)
	state := t.TempDir()
	addr, listen := platformSocket(t)
	beside(t, p, state, listen)
	for n := range 5 { // its window grows, so that a further call would have a place
		st.HandIn(t, addr, "before"+strconv.Itoa(n), "safe", 0, 15*time.Second)
		e.Next(t)
	}
	st.HandIn(t, addr, "out", "unsafe", 0, 15*time.Second)
	e.Next(t)
	beside(t, p, state, listen)
	close(tell)
	at := st.Receive(t, told)
	time.Sleep(100 * time.Millisecond)
	st.HandIn(t, addr, "after", "safe", 0, 15*time.Second)
	if c := e.Next(t); c.ID != "after" || time.Since(at) < wait {
		t.Errorf("%s comes %v after a wait of %v was told", c.ID, time.Since(at), wait)
	}
}
