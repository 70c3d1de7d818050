package sender

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/handover"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// A successor that dies halfway changes nothing: the predecessor takes the lock and the journal again and serves, and
// its call that was in flight all the time ends as usual.
func TestPredecessorServesAgainAfterTheSuccessorsDeath(t *testing.T) {
	t.Parallel()
	open := make(chan struct{})
	slow, quick := st.NewEndpoint(t, answerAfter(open)), st.NewEndpoint(t, st.Status(200))
	p := st.NewAgent(t, slow.Addr, quick.Addr)
	state := t.TempDir()
	addr, listen := platformSocket(t)
	admin, _ := startProcess(t, p, state, listen)
	st.Submit(t, addr, "out", "unsafe", 0, 15*time.Second)
	slow.Next(t)
	for n := range 2 {
		l, snapshot := requestSnapshot(t, state)
		if len(snapshot.InFlight) != 1 || snapshot.InFlight[0].ID != (handover.AttemptID{Message: "out", Attempt: 0}) {
			t.Errorf("calls handed over: %+v", snapshot.InFlight)
		}
		awaitHealth(t, admin, "fail leaving\n")
		l.Close()
		awaitHealth(t, admin, "ok\n")
		id := "again" + strconv.Itoa(n)
		st.Submit(t, addr, id, "unsafe", 1, 15*time.Second)
		if c := quick.Next(t); c.ID != id {
			t.Errorf("the endpoint got %s", c.ID)
		}
		awaitMetrics(t, admin, map[string]int{"succeeded.unsafe": n + 1}) // else it is handed over as in flight, too
	}
	close(open)
	awaitMetrics(t, admin, map[string]int{"outstanding": 0, "succeeded.unsafe": 3, "aborted.unsafe": 0, "forwards": 3})
}

// A call that ends while a successor is the owner, and is reported to it just before it dies, has ended all the same:
// its message is neither lost nor treated as one that may have run. That holds for the calls of an earlier process,
// too.
func TestAttemptEndsReportedToADeadSuccessorAreKept(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		answer func(st.Call, net.Conn) bool
		want   map[string]int
		again  bool
	}{
		"delivered": {
			st.Status(200), map[string]int{"outstanding": 0, "succeeded.unsafe": 1, "aborted.unsafe": 0}, false,
		},
		"rejected": {st.Status(503), map[string]int{"outstanding": 1, "aborted.unsafe": 0}, true},
		"in doubt": {st.Status(500), map[string]int{"outstanding": 0, "aborted.unsafe": 1}, false},
	} {
		for _, processes := range []int{1, 2} {
			t.Run(name+" "+strconv.Itoa(processes), func(t *testing.T) {
				t.Parallel()
				open := make(chan struct{})
				e := st.NewEndpoint(t, func(call st.Call, conn net.Conn) bool { <-open; return c.answer(call, conn) })
				p := st.NewAgent(t, e.Addr)
				state := t.TempDir()
				addr, listen := platformSocket(t)
				var admin string
				for n := range processes {
					admin, _ = startProcess(t, p, state, listen)
					if n == 0 {
						st.Submit(t, addr, "m", "unsafe", 0, 15*time.Second)
						e.Next(t)
					}
				}
				l, snapshot := requestSnapshot(t, state)
				if len(snapshot.InFlight) != 1 {
					t.Fatalf("calls handed over: %+v", snapshot.InFlight)
				}
				close(open)
				packet, err := l.Receive()
				if _, ok := packet.(handover.AttemptReport); err != nil || !ok {
					t.Fatalf("the successor receives %+v, %v", packet, err)
				}
				l.Close()
				awaitHealth(t, admin, "ok\n")
				awaitMetrics(t, admin, c.want)
				if c.again {
					e.Next(t)
				} else if len(e.Calls) > 0 {
					t.Error("it is sent again")
				}
			})
		}
	}
}

// Where the successor dies and this process shuts down, nobody can have accepted a new request: it is rejected, and its
// client can send it again.
func TestRequestsAfterTheSuccessorsDeathAreRejectedDuringAShutdown(t *testing.T) {
	t.Parallel()
	hung := st.NewEndpoint(t, st.Hang)
	addr, listen := platformSocket(t)
	l := newStoppable(newTestSender(t, st.NewAgent(t, hung.Addr), nil))
	l.shutdown.gracePeriod, l.shutdown.drainTimeout = 0, 2*time.Second
	l.run(listen)
	st.Submit(t, addr, "out", "unsafe", 0, 15*time.Second)
	hung.Next(t)
	var incomplete []net.Conn // a connection with an incomplete request is not closed
	for i := range 20 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		text := renderRequest(t, st.Request(t, addr, "late"+strconv.Itoa(i), "unsafe", 0, 15*time.Second, "xy"))
		_, _ = io.WriteString(c, text[:len(text)-1])
		incomplete = append(incomplete, c)
	}
	successor, _ := requestSnapshot(t, l.upgrade.stateDir)
	l.stop()
	successor.Close()
	rejected := false
	for _, c := range incomplete { // until both have been noticed
		_, _ = io.WriteString(c, "y")
		_ = c.SetDeadline(time.Now().Add(400 * time.Millisecond)) // as long as a client waits
		if resp, err := readReply(bufio.NewReader(c)); err == nil {
			if resp.StatusCode == http.StatusInternalServerError {
				continue // forwarded before the death was noticed: it may have been accepted
			}
			rejected = resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != ""
			break
		}
	}
	if !rejected {
		t.Error("no request is rejected")
	}
	if pending := l.awaitEnd(t); len(pending) != 1 || pending["out"] == nil {
		t.Errorf("the next process finds %v", pending)
	}
}

// A request that was forwarded to a successor that dies, while nobody can take the journal again, gets a response: it
// may have been accepted, so nothing is promised.
func TestForwardedRequestsAreAnsweredAfterTheSuccessorsDeath(t *testing.T) {
	t.Parallel()
	hung := st.NewEndpoint(t, st.Hang)
	addr, listen := platformSocket(t)
	l := newStoppable(newTestSender(t, st.NewAgent(t, hung.Addr), nil))
	l.shutdown.gracePeriod, l.shutdown.drainTimeout = 0, 2*time.Second
	l.run(listen)
	c := dial(t, addr)
	r := bufio.NewReader(c)
	accepted := sendOn(t, c, r, st.Request(t, addr, "out", "unsafe", 0, 15*time.Second, "x"))
	if accepted.StatusCode != http.StatusAccepted {
		t.Fatal(accepted.Status)
	}
	hung.Next(t)
	successor, _ := requestSnapshot(t, l.upgrade.stateDir)
	_, _ = io.WriteString(c, renderRequest(t, st.Request(t, addr, "forwarded", "unsafe", 0, 15*time.Second, "x")))
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
	for draining := false; !draining; time.Sleep(time.Millisecond) {
		draining = l.server.IsDraining()
	}
	successor.Close()
	_ = c.SetReadDeadline(time.Now().Add(400 * time.Millisecond)) // as long as a client waits
	resp, err := readReply(r)
	if err != nil || resp.StatusCode != http.StatusInternalServerError {
		t.Errorf("%+v, %v", resp, err)
	}
	l.awaitEnd(t)
}
