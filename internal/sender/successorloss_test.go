package sender

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/handover"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// Guards against an upgrade that leaves no process to serve because the successor dies. The predecessor takes the lock
// and the journal again and serves, and its call that was in flight all the time ends as usual.
func TestPredecessorServesAgainAfterTheSuccessorsDeath(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	slow, quick := st.NewEndpoint(t, answerAfter(release)), st.NewEndpoint(t, st.AnswerStatus(200))
	agent := st.NewAgent(t, slow.Addr, quick.Addr)
	state := t.TempDir()
	addr, listen := platformSocket(t)
	admin, _ := startProcess(t, agent, state, listen)
	st.Submit(t, addr, "out", "unsafe", 0, 15*time.Second)
	slow.NextCall(t)
	for n := range 2 {
		link, snapshot := requestSnapshot(t, state)
		if len(snapshot.InFlight) != 1 || snapshot.InFlight[0].ID != (handover.AttemptID{Message: "out", Attempt: 0}) {
			t.Errorf("the snapshot has the attempts in flight %+v, want one of message out", snapshot.InFlight)
		}
		awaitHealth(t, admin, "fail leaving\n")
		link.Close()
		awaitHealth(t, admin, "ok\n")
		id := "again" + strconv.Itoa(n)
		st.Submit(t, addr, id, "unsafe", 1, 15*time.Second)
		if c := quick.NextCall(t); c.ID != id {
			t.Errorf("after the successor's death the endpoint got %s", c.ID)
		}
		awaitMetrics(t, admin, map[string]int{"succeeded.unsafe": n + 1}) // until then its call is in flight, too
	}
	close(release)
	awaitMetrics(t, admin, map[string]int{"outstanding": 0, "succeeded.unsafe": 3, "aborted.unsafe": 0, "forwards": 3})
}

// Guards against the loss of a call's end. A call of the predecessor ends while a successor is the owner, and the end
// is reported to the successor just before that dies. The predecessor has kept the result: the message is neither lost
// nor treated as one that may have run. That holds for the calls of an earlier process, too.
func TestAttemptEndsReportedToADeadSuccessorAreKept(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		answer func(st.Call, net.Conn) bool
		want   map[string]int
		resent bool
	}{
		"delivered": {
			st.AnswerStatus(200), map[string]int{"outstanding": 0, "succeeded.unsafe": 1, "aborted.unsafe": 0}, false,
		},
		"rejected":     {st.AnswerStatus(503), map[string]int{"outstanding": 1, "aborted.unsafe": 0}, true},
		"may have run": {st.AnswerStatus(500), map[string]int{"outstanding": 0, "aborted.unsafe": 1}, false},
	} {
		for _, processes := range []int{1, 2} {
			t.Run(name+" "+strconv.Itoa(processes), func(t *testing.T) {
				t.Parallel()
				release := make(chan struct{})
				e := st.NewEndpoint(t, func(call st.Call, conn net.Conn) bool {
					<-release
					return c.answer(call, conn)
				})
				agent := st.NewAgent(t, e.Addr)
				state := t.TempDir()
				addr, listen := platformSocket(t)
				var admin string
				for n := range processes {
					admin, _ = startProcess(t, agent, state, listen)
					if n == 0 {
						st.Submit(t, addr, "m", "unsafe", 0, 15*time.Second)
						e.NextCall(t)
					}
				}
				link, snapshot := requestSnapshot(t, state)
				if len(snapshot.InFlight) != 1 {
					t.Fatalf("the snapshot has the attempts in flight %+v, want one", snapshot.InFlight)
				}
				close(release)
				packet, err := link.Receive()
				if _, ok := packet.(handover.AttemptReport); err != nil || !ok {
					t.Fatalf("the successor receives %+v, %v, want a report of the attempt", packet, err)
				}
				link.Close()
				awaitHealth(t, admin, "ok\n")
				awaitMetrics(t, admin, c.want)
				if c.resent {
					e.NextCall(t)
				} else if len(e.Calls) > 0 {
					t.Error("the message is sent a second time")
				}
			})
		}
	}
}

// Guards against new requests without a response when the successor dies while the predecessor shuts down. No process
// can have accepted such a request, so it is rejected, and its client can send it again.
func TestRequestsAfterTheSuccessorsDeathAreRejectedDuringAShutdown(t *testing.T) {
	t.Parallel()
	hung := st.NewEndpoint(t, st.NeverAnswer)
	addr, listen := platformSocket(t)
	s := newStoppable(newTestSender(t, st.NewAgent(t, hung.Addr), nil))
	s.shutdown.gracePeriod, s.shutdown.drainTimeout = 0, 2*time.Second
	s.run(listen)
	st.Submit(t, addr, "out", "unsafe", 0, 15*time.Second)
	hung.NextCall(t)
	var incomplete []net.Conn // the shutdown does not close connections with an incomplete request
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
	successor, _ := requestSnapshot(t, s.upgrade.stateDir)
	s.stop()
	successor.Close()
	rejected := false
	for _, c := range incomplete { // until the sender has noticed both the shutdown and the successor's death
		_, _ = io.WriteString(c, "y")
		_ = c.SetDeadline(time.Now().Add(400 * time.Millisecond)) // as long as a client waits
		if resp, err := readReply(bufio.NewReader(c)); err == nil {
			if resp.StatusCode == http.StatusInternalServerError {
				continue // forwarded before the death was noticed: the successor may have accepted it
			}
			rejected = resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != ""
			break
		}
	}
	if !rejected {
		t.Error("no request is rejected with 503 and a Retry-After")
	}
	if pending := s.awaitEnd(t); len(pending) != 1 || pending["out"] == nil {
		t.Errorf("the next process finds the messages %v, want only message out", pending)
	}
}

// Guards against a forwarded request that gets no response because the successor dies while the predecessor shuts down
// and does not take the journal back. The successor may have accepted the request, so the response is a 500, which
// promises nothing.
func TestForwardedRequestsAreAnsweredAfterTheSuccessorsDeath(t *testing.T) {
	t.Parallel()
	hung := st.NewEndpoint(t, st.NeverAnswer)
	addr, listen := platformSocket(t)
	s := newStoppable(newTestSender(t, st.NewAgent(t, hung.Addr), nil))
	s.shutdown.gracePeriod, s.shutdown.drainTimeout = 0, 2*time.Second
	s.run(listen)
	c := dial(t, addr)
	r := bufio.NewReader(c)
	accepted := sendOn(t, c, r, st.Request(t, addr, "out", "unsafe", 0, 15*time.Second, "x"))
	if accepted.StatusCode != http.StatusAccepted {
		t.Fatal(accepted.Status)
	}
	hung.NextCall(t)
	successor, _ := requestSnapshot(t, s.upgrade.stateDir)
	_, _ = io.WriteString(c, renderRequest(t, st.Request(t, addr, "forwarded", "unsafe", 0, 15*time.Second, "x")))
	for {
		packet, err := successor.Receive()
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := packet.(handover.ForwardedRequest); ok {
			break
		}
	}
	s.stop()
	for draining := false; !draining; time.Sleep(time.Millisecond) {
		draining = s.server.IsDraining()
	}
	successor.Close()
	_ = c.SetReadDeadline(time.Now().Add(400 * time.Millisecond)) // as long as a client waits
	resp, err := readReply(r)
	if err != nil || resp.StatusCode != http.StatusInternalServerError {
		t.Errorf("the forwarded request is answered %+v, %v, want 500", resp, err)
	}
	s.awaitEnd(t)
}

// Guards against two attempts of a message at once when the successor dies while the predecessor drains (review case
// 2): the next process must learn of the calls that the predecessor still has in flight.
func TestMessagesAreNotSentAgainWhileADrainingPredecessorHasThemInFlight(t *testing.T) {
	t.Parallel()
	const (
		protocolSlack = 50 * time.Millisecond // by which the protocol lengthens every limit

		messages     = 3 // each to a destination of its own
		gracePeriod  = 200 * time.Millisecond
		drainTimeout = 1500 * time.Millisecond
		nextStart    = 600 * time.Millisecond // from a SIGKILL to the next start, by the protocol
	)
	for name, c := range map[string]struct {
		diesAfter time.Duration // from the predecessor's SIGTERM on
		pause     time.Duration // until the next process starts
	}{
		"at the end of the grace period": {gracePeriod - 10*time.Millisecond, nextStart},
		"at the begin of the drain":      {gracePeriod + 5*time.Millisecond, nextStart},
		"in the drain":                   {gracePeriod + 200*time.Millisecond, nextStart},
		"in the drain, next one at once": {gracePeriod + 200*time.Millisecond, 0},
		"near the end of the drain":      {drainTimeout - 100*time.Millisecond, 0},
		"while the calls are cancelled":  {drainTimeout, 0},
		"next one near the drain's end": {
			gracePeriod + 100*time.Millisecond,
			drainTimeout - gracePeriod - 200*time.Millisecond,
		},
		"next one after the process ends": {gracePeriod + 100*time.Millisecond, drainTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			attempts := newAttemptCounter()
			hung := st.NewEndpoint(t, attempts.neverAnswer)
			agent := st.NewAgent(t, hung.Addr, hung.Addr, hung.Addr)
			addr, listen := platformSocket(t)
			s := newStoppable(newTestSender(t, agent, nil))
			s.shutdown.gracePeriod, s.shutdown.drainTimeout = gracePeriod, drainTimeout
			s.run(listen)
			for n := range messages {
				st.Submit(t, addr, "safe"+strconv.Itoa(n), "safe", n, 15*time.Second)
				hung.NextCall(t)
			}
			link, snapshot := requestSnapshot(t, s.upgrade.stateDir)
			if len(snapshot.InFlight) != messages {
				t.Fatalf("the snapshot has %d attempts in flight, want %d", len(snapshot.InFlight), messages)
			}
			s.stop()
			time.Sleep(c.diesAfter)
			link.Close()
			time.Sleep(c.pause)
			startProcess(t, agent, s.upgrade.stateDir, listen)
			if err := st.Receive(t, s.done); err != nil {
				t.Error(err)
			}
			// The next process sends messages again.
			hung.NextCall(t)
			if id, both := attempts.longestOverlap(); both > protocolSlack {
				t.Errorf("two attempts of %s are in flight at once for %v", id, both)
			}
		})
	}
}

// Guards against calls before a Retry-After is over: an endpoint sends it to a process in the drain of its shutdown,
// and another process takes over before that ends. For the rules the two are one sender.
func TestRetryAfterInADrainBindsTheNextProcess(t *testing.T) {
	t.Parallel()
	const wait = 1200 * time.Millisecond
	release := make(chan struct{})
	limited := st.NewEndpoint(t, func(c st.Call, conn net.Conn) bool {
		<-release
		return st.AnswerStatus(429, "X-RateLimit-Wait-Ms: "+strconv.FormatInt(wait.Milliseconds(), 10))(c, conn)
	})
	hung := st.NewEndpoint(t, st.NeverAnswer) // keeps the first process in its drain
	agent := st.NewAgent(t, limited.Addr, hung.Addr)
	addr, listen := platformSocket(t)
	s := newStoppable(newTestSender(t, agent, nil))
	s.shutdown.gracePeriod, s.shutdown.drainTimeout = 0, 3*time.Second
	s.run(listen)
	st.Submit(t, addr, "limited", "safe", 0, 15*time.Second)
	limited.NextCall(t)
	st.Submit(t, addr, "hung", "safe", 1, 15*time.Second)
	hung.NextCall(t)
	s.stop()
	for !s.server.IsDraining() {
		time.Sleep(time.Millisecond)
	}
	answeredAt := time.Now()
	close(release)
	time.Sleep(100 * time.Millisecond) // until the answer has been read
	startProcess(t, agent, s.upgrade.stateDir, listen)
	limited.NextCall(t)
	if waited := time.Since(answeredAt); waited < wait {
		t.Errorf("the endpoint is called %v after it has asked for a pause of %v", waited, wait)
	}
	if err := st.Receive(t, s.done); err != nil {
		t.Error(err)
	}
}

// Guards against calls before a Retry-After is over: the successor hears it and dies, and the predecessor serves again.
// For the rules the two are one sender.
func TestRetryAfterHeardByADeadSuccessorBinds(t *testing.T) {
	t.Parallel()
	const wait = 1200 * time.Millisecond
	waitHeader := "X-RateLimit-Wait-Ms: " + strconv.FormatInt(wait.Milliseconds(), 10)
	limited := st.NewEndpoint(t, st.AnswerStatus(429, waitHeader))
	agent := st.NewAgent(t, limited.Addr)
	addr, listen := platformSocket(t)
	state, admin := t.TempDir(), freeAddress(t)
	startProcess(t, agent, state, listen)
	successor := newStoppable(newTestSender(t, agent, func(c *config.Config) { c.State, c.Admin = state, admin }))
	successor.run(listen)
	awaitHealth(t, admin, "ok\n")
	st.Submit(t, addr, "limited", "safe", 0, 15*time.Second)
	limited.NextCall(t)
	answeredAt := time.Now()
	time.Sleep(50 * time.Millisecond) // until the answer has been read
	successor.stop()
	if err := st.Receive(t, successor.done); err != nil {
		t.Error(err)
	}
	successor.upgrade.predecessor.Close() // as the end of its process does
	limited.NextCall(t)
	if waited := time.Since(answeredAt); waited < wait {
		t.Errorf("the endpoint is called %v after it has asked for a pause of %v", waited, wait)
	}
}

// Guards against two attempts of a message at once where another process has taken the lock by the time that the
// predecessor notices its successor's death: to that process the predecessor's calls are over, so they have to end.
func TestCallsEndIfAnotherProcessOwnsTheStateAtTheSuccessorsDeath(t *testing.T) {
	t.Parallel()
	const nextStart = 600 * time.Millisecond // from a SIGKILL to the next start, by the protocol
	for _, draining := range []bool{false, true} {
		t.Run("draining "+strconv.FormatBool(draining), func(t *testing.T) {
			t.Parallel()
			attempts := newAttemptCounter()
			hung := st.NewEndpoint(t, attempts.neverAnswer)
			addr, listen := platformSocket(t)
			s := newStoppable(newTestSender(t, st.NewAgent(t, hung.Addr), nil))
			s.shutdown.gracePeriod, s.shutdown.drainTimeout = 0, 5*time.Second
			s.run(listen)
			st.Submit(t, addr, "out", "safe", 0, 15*time.Second)
			hung.NextCall(t)
			link, _ := requestSnapshot(t, s.upgrade.stateDir)
			lock, err := handover.LockStateDir(s.upgrade.stateDir)
			if lock == nil || err != nil {
				t.Fatalf("the lock is not free after the hand-over: %v", err)
			}
			defer lock.Close()
			if draining {
				s.stop()
				for !s.server.IsDraining() {
					time.Sleep(time.Millisecond)
				}
			}
			link.Close()
			diedAt := time.Now()
			for attempts.inFlight("out") > 0 {
				if time.Since(diedAt) > nextStart {
					t.Fatalf("the call is in flight %v after the successor's death", nextStart)
				}
				time.Sleep(time.Millisecond)
			}
			s.stop()
			if err := st.Receive(t, s.done); err != nil {
				t.Error(err)
			}
		})
	}
}

// attemptCounter notes which attempts an endpoint has in flight. It is safe for concurrent use.
type attemptCounter struct {
	mu       sync.Mutex
	attempts map[string][]attemptSpan // by message ID
}

// attemptSpan is the time of one attempt. until is zero while it is in flight.
type attemptSpan struct{ from, until time.Time }

func newAttemptCounter() *attemptCounter {
	return &attemptCounter{attempts: map[string][]attemptSpan{}}
}

// neverAnswer is a handler that answers no call, and notes when the peer ends it.
func (a *attemptCounter) neverAnswer(call st.Call, conn net.Conn) bool {
	a.mu.Lock()
	attempt := len(a.attempts[call.ID])
	a.attempts[call.ID] = append(a.attempts[call.ID], attemptSpan{from: time.Now()})
	a.mu.Unlock()
	keepOpen := st.NeverAnswer(call, conn)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attempts[call.ID][attempt].until = time.Now()
	return keepOpen
}

// inFlight returns how many attempts of a message are in flight.
func (a *attemptCounter) inFlight(id string) (count int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, span := range a.attempts[id] {
		if span.until.IsZero() {
			count++
		}
	}
	return count
}

// longestOverlap returns for how long at most an attempt was in flight when another one of the same message began, and
// the message's ID.
func (a *attemptCounter) longestOverlap() (id string, longest time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for message, spans := range a.attempts {
		for n, later := range spans {
			for _, earlier := range spans[:n] {
				until := earlier.until
				if until.IsZero() {
					until = time.Now()
				}
				if overlap := until.Sub(later.from); overlap > longest {
					id, longest = message, overlap
				}
			}
		}
	}
	return id, longest
}
