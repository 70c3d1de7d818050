package sender

import (
	"bufio"
	"net"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/handover"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// A successor takes over while the first process has a call in flight and a client connected: the call ends once, where
// the successor counts it; a request on the old connection is answered there and sent by the successor.
func TestUpgradeHandsOverCallsAndRequests(t *testing.T) {
	t.Parallel()
	open := make(chan struct{})
	slow, quick := st.NewEndpoint(t, answerAfter(open)), st.NewEndpoint(t, st.Status(200))
	p := st.NewAgent(t, slow.Addr, quick.Addr)
	state := t.TempDir()
	addr, listen := platformSocket(t)
	oldAdmin, stopOld := startProcess(t, p, state, listen)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	r := bufio.NewReader(c)
	resp := sendOn(t, c, r, st.Request(t, addr, "out", "unsafe", 0, 15*time.Second, "x"))
	if resp.StatusCode != 202 || resp.Close {
		t.Fatalf("%s, close %v", resp.Status, resp.Close)
	}
	slow.Next(t)

	newAdmin, _ := startProcess(t, p, state, listen)
	awaitHealth(t, oldAdmin, "fail leaving\n")
	awaitMetrics(t, oldAdmin, map[string]int{"outstanding": 0, "forwards": 1})
	awaitMetrics(t, newAdmin, map[string]int{"outstanding": 1, "forwards": 0, "discovered": 2})
	resp = sendOn(t, c, r, st.Request(t, addr, "late", "unsafe", 1, 15*time.Second, "y"))
	if resp.StatusCode != 202 || !resp.Close {
		t.Errorf("on the old connection: %s, close %v", resp.Status, resp.Close)
	}
	if got := quick.Next(t); got.ID != "late" || got.Body != "y" {
		t.Errorf("the endpoint got %+v", got)
	}
	close(open)
	awaitMetrics(t, newAdmin, map[string]int{"outstanding": 0, "succeeded.unsafe": 2, "forwards": 1})
	awaitMetrics(t, oldAdmin, map[string]int{"succeeded.unsafe": 0, "forwards": 1})
	stopOld()
	st.Submit(t, addr, "after", "unsafe", 1, 15*time.Second)
	quick.Next(t)
	for _, e := range []*st.Endpoint{slow, quick} {
		select {
		case again := <-e.Calls:
			t.Errorf("%s is sent again", again.ID)
		default:
		}
	}
}

// A client that sends the ID of a message again that ended just before the hand-over gets its response, and the message
// is not sent a second time.
func TestEndedIDsSurviveAHandOver(t *testing.T) {
	t.Parallel()
	quick := st.NewEndpoint(t, st.Status(200))
	p := st.NewAgent(t, quick.Addr)
	state := t.TempDir()
	addr, listen := platformSocket(t)
	admin, stopOld := startProcess(t, p, state, listen)
	st.Submit(t, addr, "done", "unsafe", 0, 15*time.Second)
	quick.Next(t)
	awaitMetrics(t, admin, map[string]int{"succeeded.unsafe": 1, "outstanding": 0})
	for range 2 { // and a hand-over after that
		_, stop := startProcess(t, p, state, listen)
		st.Submit(t, addr, "done", "unsafe", 0, 15*time.Second)
		stopOld()
		stopOld = stop
	}
	st.Submit(t, addr, "done", "unsafe", 0, 15*time.Second)
	st.Submit(t, addr, "new", "unsafe", 0, 15*time.Second)
	if c := quick.Next(t); c.ID != "new" {
		t.Errorf("%s is sent again", c.ID)
	}
}

// Calls that the predecessor still has in flight at its end may have run: what may be repeated is sent again, and only
// then.
func TestPredecessorCancelsCallsAtItsEnd(t *testing.T) {
	t.Parallel()
	silent := st.NewEndpoint(t, st.Hang)
	p := st.NewAgent(t, silent.Addr, silent.Addr)
	state := t.TempDir()
	addr, listen := platformSocket(t)
	_, stopOld := startProcess(t, p, state, listen)
	st.Submit(t, addr, "safe", "safe", 0, 15*time.Second)
	silent.Next(t)
	st.Submit(t, addr, "unsafe", "unsafe", 1, 15*time.Second)
	silent.Next(t)
	admin, _ := startProcess(t, p, state, listen)
	awaitMetrics(t, admin, map[string]int{"outstanding": 2, "forwards": 0})
	stopOld()
	if c := silent.Next(t); c.ID != "safe" {
		t.Errorf("%s is sent again", c.ID)
	}
	if n := st.Receive(t, p.Notices); n.Message != "unsafe" || n.Outcome != "given_up" {
		t.Errorf("notice %+v", n)
	}
	awaitMetrics(t, admin, map[string]int{"aborted.unsafe": 1, "outstanding": 1})
}

// A message's backoff after failed attempts applies in the successor, too, and in the predecessor that becomes the
// owner again.
func TestRetryBackoffSurvivesAHandOver(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(500))
	p := st.NewAgent(t, e.Addr)
	state := t.TempDir()
	addr, listen := platformSocket(t)
	admin, _ := startProcess(t, p, state, listen)
	st.Submit(t, addr, "m", "safe", 0, 15*time.Second)
	for range 3 {
		e.Next(t)
	}
	var backoffUntil time.Time
	for recorded := false; !recorded; { // until its last response is: before, its call is handed over as in flight
		link, snapshot := requestSnapshot(t, state)
		recorded = len(snapshot.InFlight) == 0
		until, ok := snapshot.BackoffUntil["m"]
		if backoffUntil = time.Unix(0, int64(until)); recorded && !ok {
			t.Errorf("it has no backoff: %+v", snapshot)
		}
		link.Close()
		awaitHealth(t, admin, "ok\n")
	}
	startProcess(t, p, state, listen) // the predecessor has it again, and hands it over
	if e.Next(t); time.Now().Before(backoffUntil) {
		t.Errorf("it was sent %v too early", time.Until(backoffUntil))
	}
}

// A successor whose machine lets it open no socket delivers the notices that are due meanwhile in time: the predecessor
// passes its reserved connections on. Before that it had none until sockets worked, and notices were as late.
func TestASuccessorThatCanOpenNoSocketDeliversNotices(t *testing.T) {
	t.Parallel()
	const deadline, noticeGrace = 1200 * time.Millisecond, 300 * time.Millisecond
	p := st.NewAgent(t)
	state := t.TempDir()
	addr, listen := platformSocket(t)
	startProcess(t, p, state, listen)
	began := time.Now()
	st.Submit(t, addr, "m", "safe", 5, deadline)
	st.Submit(t, addr, "earlier", "safe", 5, 300*time.Millisecond)
	if n := st.Receive(t, p.Notices); n.Message != "earlier" {
		t.Fatalf("first notice %+v", n)
	}
	noSockets := OperatingSystem()
	noSockets.Control = func(string, string, syscall.RawConn) error {
		return os.NewSyscallError("socket", syscall.ENFILE)
	}
	admin, _ := startProcessIn(t, noSockets, p, state, listen)
	awaitMetrics(t, admin, map[string]int{"outstanding": 1})
	if n := st.Receive(t, p.Notices); n.Message != "m" {
		t.Errorf("notice %+v", n)
	}
	if late := time.Since(began) - deadline; late > noticeGrace {
		t.Errorf("the notice comes %v after the deadline", late)
	}
}

// The socket that a killed process has left, a file on which nobody listens, prevents no start.
func TestStaleSocketIsReplaced(t *testing.T) {
	t.Parallel()
	quick := st.NewEndpoint(t, st.Status(200))
	p := st.NewAgent(t, quick.Addr)
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
	_, stop := startProcess(t, p, state, listen)
	startProcess(t, p, state, listen)
	st.Submit(t, addr, "m", "unsafe", 0, 15*time.Second)
	quick.Next(t)
	stop()
	if err := handover.WithSocket(state, func(path string) error { _, err := os.Stat(path); return err }); err != nil {
		t.Errorf("the new process has no socket: %v", err)
	}
}

// Where the Unix socket cannot be opened the sender starts and serves all the same, without upgrades.
func TestStartWithoutAnUpgradeSocket(t *testing.T) {
	t.Parallel()
	quick := st.NewEndpoint(t, st.Status(200))
	p := st.NewAgent(t, quick.Addr)
	state := t.TempDir()
	err := handover.WithSocket(state, func(path string) error { return os.MkdirAll(path+"/taken", 0o700) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = handover.WithSocket(state, os.RemoveAll) })
	addr, listen := platformSocket(t)
	startProcess(t, p, state, listen)
	st.Submit(t, addr, "m", "unsafe", 0, 15*time.Second)
	if c := quick.Next(t); c.ID != "m" {
		t.Errorf("the endpoint got %s", c.ID)
	}
}

// A Retry-After that the predecessor gets in a response that never ends applies in the successor, too.
func TestRetryAfterIsReportedToTheSuccessor(t *testing.T) {
	t.Parallel()
	const wait = 1500 * time.Millisecond
	answer, answered := make(chan struct{}), make(chan time.Time, 1)
	e := st.NewEndpoint(t, func(c st.Call, conn net.Conn) bool {
		if c.ID != "out" {
			return st.Status(200)(c, conn)
		}
		<-answer
		writeUnfinishedRetryAfter(conn, wait)
		answered <- time.Now()
		return st.Hang(c, conn)
	})
	p := st.NewAgent(t, e.Addr)
	state := t.TempDir()
	addr, listen := platformSocket(t)
	startProcess(t, p, state, listen)
	for n := range 5 { // the concurrency window grows, so that it allows a further call
		st.Submit(t, addr, "before"+strconv.Itoa(n), "safe", 0, 15*time.Second)
		e.Next(t)
	}
	st.Submit(t, addr, "out", "unsafe", 0, 15*time.Second)
	e.Next(t)
	startProcess(t, p, state, listen)
	close(answer)
	at := st.Receive(t, answered)
	time.Sleep(100 * time.Millisecond)
	st.Submit(t, addr, "after", "safe", 0, 15*time.Second)
	if c := e.Next(t); c.ID != "after" || time.Since(at) < wait {
		t.Errorf("%s is sent %v after a Retry-After of %v", c.ID, time.Since(at), wait)
	}
}
