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

// Guards against calls and requests that an upgrade loses or repeats. A successor takes over while the predecessor has
// a call in flight and a client connected. The call ends once, and the successor counts its end. A request on the old
// connection is answered on it, and its message is sent by the successor.
func TestUpgradeHandsOverCallsAndRequests(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	slow, quick := st.NewEndpoint(t, answerAfter(release)), st.NewEndpoint(t, st.AnswerStatus(200))
	agent := st.NewAgent(t, slow.Addr, quick.Addr)
	state := t.TempDir()
	addr, listen := platformSocket(t)
	oldAdmin, stopOld := startProcess(t, agent, state, listen)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	r := bufio.NewReader(c)
	resp := sendOn(t, c, r, st.Request(t, addr, "out", "unsafe", 0, 15*time.Second, "x"))
	if resp.StatusCode != 202 || resp.Close {
		t.Fatalf("before the upgrade: %s, close %v, want 202 on a connection that stays open", resp.Status, resp.Close)
	}
	slow.NextCall(t)

	newAdmin, _ := startProcess(t, agent, state, listen)
	awaitHealth(t, oldAdmin, "fail leaving\n")
	awaitMetrics(t, oldAdmin, map[string]int{"outstanding": 0, "forwards": 1})
	awaitMetrics(t, newAdmin, map[string]int{"outstanding": 1, "forwards": 0, "discovered": 2})
	resp = sendOn(t, c, r, st.Request(t, addr, "late", "unsafe", 1, 15*time.Second, "y"))
	if resp.StatusCode != 202 || !resp.Close {
		t.Errorf("after the upgrade: %s, close %v, want 202 on a connection that is closed", resp.Status, resp.Close)
	}
	if got := quick.NextCall(t); got.ID != "late" || got.Body != "y" {
		t.Errorf("the endpoint got %+v, want late", got)
	}
	close(release)
	awaitMetrics(t, newAdmin, map[string]int{"outstanding": 0, "succeeded.unsafe": 2, "forwards": 1})
	awaitMetrics(t, oldAdmin, map[string]int{"succeeded.unsafe": 0, "forwards": 1})
	stopOld()
	st.Submit(t, addr, "after", "unsafe", 1, 15*time.Second)
	quick.NextCall(t)
	for _, e := range []*st.Endpoint{slow, quick} {
		select {
		case repeat := <-e.Calls:
			t.Errorf("message %s is sent a second time", repeat.ID)
		default:
		}
	}
}

// Guards against a second delivery of a message that ended just before a hand-over. If a client submits its ID again,
// the successor accepts the submission and does not send the message.
func TestEndedIDsSurviveAHandOver(t *testing.T) {
	t.Parallel()
	quick := st.NewEndpoint(t, st.AnswerStatus(200))
	agent := st.NewAgent(t, quick.Addr)
	state := t.TempDir()
	addr, listen := platformSocket(t)
	admin, stopOld := startProcess(t, agent, state, listen)
	st.Submit(t, addr, "done", "unsafe", 0, 15*time.Second)
	quick.NextCall(t)
	awaitMetrics(t, admin, map[string]int{"succeeded.unsafe": 1, "outstanding": 0})
	for range 2 { // two hand-overs, one after the other
		_, stop := startProcess(t, agent, state, listen)
		st.Submit(t, addr, "done", "unsafe", 0, 15*time.Second)
		stopOld()
		stopOld = stop
	}
	st.Submit(t, addr, "done", "unsafe", 0, 15*time.Second)
	st.Submit(t, addr, "new", "unsafe", 0, 15*time.Second)
	if c := quick.NextCall(t); c.ID != "new" {
		t.Errorf("message %s is sent a second time", c.ID)
	}
}

// Guards against a message that is in flight twice, and against a repeat of one that may have run. When the predecessor
// ends, it cancels the calls that it still has in flight. These may have run: the successor sends again only the
// messages that may be repeated, and only after that.
func TestPredecessorCancelsCallsAtItsEnd(t *testing.T) {
	t.Parallel()
	silent := st.NewEndpoint(t, st.NeverAnswer)
	agent := st.NewAgent(t, silent.Addr, silent.Addr)
	state := t.TempDir()
	addr, listen := platformSocket(t)
	_, stopOld := startProcess(t, agent, state, listen)
	st.Submit(t, addr, "safe", "safe", 0, 15*time.Second)
	silent.NextCall(t)
	st.Submit(t, addr, "unsafe", "unsafe", 1, 15*time.Second)
	silent.NextCall(t)
	admin, _ := startProcess(t, agent, state, listen)
	awaitMetrics(t, admin, map[string]int{"outstanding": 2, "forwards": 0})
	stopOld()
	if c := silent.NextCall(t); c.ID != "safe" {
		t.Errorf("message %s is sent a second time, want only safe", c.ID)
	}
	if n := st.Receive(t, agent.Notices); n.Message != "unsafe" || n.Outcome != "given_up" {
		t.Errorf("notice %+v, want that message unsafe is given up", n)
	}
	awaitMetrics(t, admin, map[string]int{"aborted.unsafe": 1, "outstanding": 1})
}

// Guards against retries that come too early after a hand-over: a message's backoff after failed attempts also applies
// in the successor, and in a predecessor that becomes the owner again.
func TestRetryBackoffSurvivesAHandOver(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.AnswerStatus(500))
	agent := st.NewAgent(t, e.Addr)
	state := t.TempDir()
	addr, listen := platformSocket(t)
	admin, _ := startProcess(t, agent, state, listen)
	st.Submit(t, addr, "m", "safe", 0, 15*time.Second)
	for range 3 {
		e.NextCall(t)
	}
	var backoffUntil time.Time
	for recorded := false; !recorded; { // until the last response is recorded; before that, its call is in flight
		link, snapshot := requestSnapshot(t, state)
		recorded = len(snapshot.InFlight) == 0
		until, ok := snapshot.BackoffUntil["m"]
		if backoffUntil = time.Unix(0, int64(until)); recorded && !ok {
			t.Errorf("the snapshot has no backoff of the message: %+v", snapshot)
		}
		link.Close()
		awaitHealth(t, admin, "ok\n")
	}
	startProcess(t, agent, state, listen) // the predecessor has become the owner again, and hands over the backoff
	if e.NextCall(t); time.Now().Before(backoffUntil) {
		t.Errorf("the message was sent %v before the end of its backoff", time.Until(backoffUntil))
	}
}

// Guards against late notices from a successor whose machine lets it open no socket. The predecessor passes its
// reserved connections on to it. A successor without them had no connection until sockets could be opened again, and
// delivered its notices only then.
func TestSuccessorThatCanOpenNoSocketDeliversNotices(t *testing.T) {
	t.Parallel()
	const deadline, noticeGrace = 1200 * time.Millisecond, 300 * time.Millisecond
	agent := st.NewAgent(t)
	state := t.TempDir()
	addr, listen := platformSocket(t)
	startProcess(t, agent, state, listen)
	began := time.Now()
	st.Submit(t, addr, "m", "safe", 5, deadline)
	st.Submit(t, addr, "earlier", "safe", 5, 300*time.Millisecond)
	if n := st.Receive(t, agent.Notices); n.Message != "earlier" {
		t.Fatalf("the first notice is %+v, want one of message earlier", n)
	}
	noSockets := OperatingSystem()
	noSockets.Control = func(string, string, syscall.RawConn) error {
		return os.NewSyscallError("socket", syscall.ENFILE)
	}
	admin, _ := startProcessIn(t, noSockets, agent, state, listen)
	awaitMetrics(t, admin, map[string]int{"outstanding": 1})
	if n := st.Receive(t, agent.Notices); n.Message != "m" {
		t.Errorf("the second notice is %+v, want one of message m", n)
	}
	if late := time.Since(began) - deadline; late > noticeGrace {
		t.Errorf("the notice is delivered %v after the deadline", late)
	}
}

// Guards against a start that fails because of the socket file of a killed process: it remains, and nothing listens on
// it.
func TestStaleSocketIsReplaced(t *testing.T) {
	t.Parallel()
	quick := st.NewEndpoint(t, st.AnswerStatus(200))
	agent := st.NewAgent(t, quick.Addr)
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
	_, stop := startProcess(t, agent, state, listen)
	startProcess(t, agent, state, listen)
	st.Submit(t, addr, "m", "unsafe", 0, 15*time.Second)
	quick.NextCall(t)
	stop()
	if err := handover.WithSocket(state, func(path string) error { _, err := os.Stat(path); return err }); err != nil {
		t.Errorf("the new process has no socket: %v", err)
	}
}

// Guards against a start that depends on the Unix socket. If the socket cannot be opened, the sender still starts and
// serves, without upgrades.
func TestStartWithoutAnUpgradeSocket(t *testing.T) {
	t.Parallel()
	quick := st.NewEndpoint(t, st.AnswerStatus(200))
	agent := st.NewAgent(t, quick.Addr)
	state := t.TempDir()
	err := handover.WithSocket(state, func(path string) error { return os.MkdirAll(path+"/taken", 0o700) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = handover.WithSocket(state, os.RemoveAll) })
	addr, listen := platformSocket(t)
	startProcess(t, agent, state, listen)
	st.Submit(t, addr, "m", "unsafe", 0, 15*time.Second)
	if c := quick.NextCall(t); c.ID != "m" {
		t.Errorf("the endpoint got %s, want m", c.ID)
	}
}

// Guards against calls by the successor during a pause that only the predecessor knows: the predecessor gets the
// Retry-After in a response that never ends, and reports it to the successor at once.
func TestRetryAfterIsReportedToTheSuccessor(t *testing.T) {
	t.Parallel()
	const wait = 1500 * time.Millisecond
	release, answered := make(chan struct{}), make(chan time.Time, 1)
	e := st.NewEndpoint(t, func(c st.Call, conn net.Conn) bool {
		if c.ID != "out" {
			return st.AnswerStatus(200)(c, conn)
		}
		<-release
		writeUnfinishedRetryAfter(conn, wait)
		answered <- time.Now()
		return st.NeverAnswer(c, conn)
	})
	agent := st.NewAgent(t, e.Addr)
	state := t.TempDir()
	addr, listen := platformSocket(t)
	startProcess(t, agent, state, listen)
	for n := range 5 { // the concurrency window grows until it allows a second call
		st.Submit(t, addr, "before"+strconv.Itoa(n), "safe", 0, 15*time.Second)
		e.NextCall(t)
	}
	st.Submit(t, addr, "out", "unsafe", 0, 15*time.Second)
	e.NextCall(t)
	startProcess(t, agent, state, listen)
	close(release)
	at := st.Receive(t, answered)
	time.Sleep(100 * time.Millisecond)
	st.Submit(t, addr, "after", "safe", 0, 15*time.Second)
	if c := e.NextCall(t); c.ID != "after" || time.Since(at) < wait {
		t.Errorf("message %s is sent %v after a Retry-After of %v", c.ID, time.Since(at), wait)
	}
}
