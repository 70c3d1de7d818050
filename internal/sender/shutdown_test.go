package sender

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/handover"
	"onyxdyke.example/onyxdyke/internal/ingress"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// Guards against messages that a shutdown loses, or accepts without a response. Until the process ends, a request on an
// open connection gets a complete response, or was not accepted and may be sent again, even while endpoints hang.
func TestRequestsDuringAShutdownAreAnswered(t *testing.T) {
	t.Parallel()
	hung := st.NewEndpoint(t, st.NeverAnswer)
	s := startStoppable(t, st.NewAgent(t, hung.Addr), func(c *config.Config) {
		c.Settings.MaxPendingMessages, c.Limits.DiskMB = 1e6, 100
	})
	s.shutdown.gracePeriod, s.shutdown.drainTimeout = 150*time.Millisecond, 400*time.Millisecond
	var mu sync.Mutex
	accepted, unanswered := map[string]bool{}, map[string]bool{}
	var clients sync.WaitGroup
	for n := range 20 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for i := 0; ; {
				c, err := net.Dial("tcp", s.addr)
				if err != nil {
					return
				}
				for r := bufio.NewReader(c); err == nil; i++ {
					id := strconv.Itoa(n) + "-" + strconv.Itoa(i)
					req := st.Request(t, s.addr, id, "unsafe", 0, 15*time.Second, "body")
					_ = c.SetDeadline(time.Now().Add(st.Timeout))
					var resp reply
					resp, err = exchange(c, r, req)
					mu.Lock()
					switch {
					case err != nil:
						unanswered[id] = true
					case resp.StatusCode == http.StatusAccepted:
						accepted[id] = true
					case resp.StatusCode != http.StatusServiceUnavailable:
						t.Errorf("message %s is answered %s", id, resp.Status)
					}
					mu.Unlock()
					if err == nil && resp.Close {
						err = io.EOF
					}
				}
				_ = c.Close()
			}
		}()
	}
	hung.NextCall(t)
	s.stop()
	pending := s.awaitEnd(t)
	clients.Wait()
	for id := range pending {
		if unanswered[id] {
			t.Errorf("message %s has been accepted, and its client has no response", id)
		}
	}
	for id := range accepted {
		if pending[id] == nil {
			t.Errorf("message %s has been accepted, and is not in the journal", id)
		}
	}
	if len(accepted) < 100 {
		t.Errorf("only %d requests were accepted", len(accepted))
	}
	t.Logf("%d requests accepted, %d without a response", len(accepted), len(unanswered))
}

// Guards against connections that are reset because they wait to be accepted when the shutdown closes the listener.
// They are answered first.
func TestQueuedConnectionsAreAnsweredDuringAShutdown(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.NeverAnswer)
	s := startStoppable(t, st.NewAgent(t, e.Addr), func(c *config.Config) {
		c.Limits.Sockets = 4 // allows two clients at once
	})
	s.shutdown.gracePeriod, s.shutdown.drainTimeout = 0, 5*time.Second
	st.Submit(t, s.addr, "out", "unsafe", 0, 15*time.Second) // keeps the shutdown from ending at once
	e.NextCall(t)
	var conns []net.Conn
	for i := range 10 {
		c, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(st.Timeout))
		if i < 2 { // these reach the limit, and send half of a request
			_, _ = io.WriteString(c, "POST /api HTTP/1.1\r\nHost: h\r\n")
			continue
		}
		if err := st.Request(t, s.addr, "q"+strconv.Itoa(i), "safe", 0, 15*time.Second, "body").Write(c); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	s.stop()
	for i, c := range conns {
		resp, err := readReply(bufio.NewReader(c))
		if err != nil {
			t.Errorf("queued request %d has no response: %v", i, err)
		} else if resp.StatusCode != http.StatusAccepted && resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("queued request %d is answered %s, want 202 or 503", i, resp.Status)
		}
	}
}

// Guards against a rejection of a message that is delivered all the same. If a client submits a pending message again
// during a shutdown, the submission is accepted.
func TestPendingMessageSentAgainIsAcceptedDuringAShutdown(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.NeverAnswer)
	s := startStoppable(t, st.NewAgent(t, e.Addr), nil)
	s.shutdown.gracePeriod, s.shutdown.drainTimeout = 0, 2*time.Second
	st.Submit(t, s.addr, "pending", "safe", 0, 15*time.Second)
	e.NextCall(t)
	s.stop()
	for n, status := 0, 0; status != http.StatusServiceUnavailable; n++ {
		resp, _ := do(t, st.Request(t, s.addr, strconv.Itoa(n), "safe", 0, 15*time.Second, "body"))
		status = resp.StatusCode
	}
	resp, text := do(t, st.Request(t, s.addr, "pending", "safe", 0, 15*time.Second, "body"))
	if resp.StatusCode != http.StatusAccepted {
		t.Errorf("the pending message is answered %s: %s", resp.Status, text)
	}
	if s.awaitEnd(t)["pending"] == nil {
		t.Error("the pending message is not in the journal")
	}
}

// Guards against a shutdown that takes longer than its bound because clients send nothing, half a request or a request
// at any moment.
func TestShutdownTimeIsBounded(t *testing.T) {
	t.Parallel()
	hung := st.NewEndpoint(t, st.NeverAnswer)
	s := startStoppable(t, st.NewAgent(t, hung.Addr), nil)
	s.shutdown.gracePeriod, s.shutdown.drainTimeout = 100*time.Millisecond, 300*time.Millisecond
	halfBody := "POST /api HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf"
	for _, text := range []string{"", "POST /api HT", halfBody} {
		c, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, text)
	}
	st.Submit(t, s.addr, "out", "unsafe", 0, 15*time.Second)
	hung.NextCall(t)
	s.stop()
	began := time.Now()
	pending := s.awaitEnd(t)
	limit := s.shutdown.drainTimeout + ingress.QueueTimeout + ingress.ResponseTimeout + 500*time.Millisecond
	if took := time.Since(began); took < s.shutdown.drainTimeout || took > limit {
		t.Errorf("the shutdown took %v", took)
	}
	if pending["out"] == nil || len(pending) != 1 {
		t.Errorf("%d messages are pending, want only message out", len(pending))
	}
}

// Guards against a response that the client does not get because unread bytes follow its request. Closing a connection
// with unread bytes would reset it, so the sender reads them before it closes the connection after a response.
func TestResponseSurvivesUnreadRequestsBehindIt(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.NeverAnswer)
	s := startStoppable(t, st.NewAgent(t, e.Addr), nil)
	s.shutdown.gracePeriod, s.shutdown.drainTimeout = 2*time.Second, 2*time.Second
	st.Submit(t, s.addr, "out", "safe", 0, 15*time.Second)
	e.NextCall(t)
	s.stop()
	for { // until a response closes its connection
		if resp, _ := do(t, st.Request(t, s.addr, "out", "safe", 0, 15*time.Second, "body")); resp.Close {
			break
		}
	}
	for i := range 50 {
		c := dial(t, s.addr)
		first := renderRequest(t, st.Request(t, s.addr, "out", "safe", 0, 15*time.Second, "body"))
		body := strings.Repeat("x", 20000)
		second := renderRequest(t, st.Request(t, s.addr, "behind"+strconv.Itoa(i), "safe", 0, 15*time.Second, body))
		_, _ = io.WriteString(c, first+second)
		answers, err := io.ReadAll(c) // to the end of the connection, which must not be a reset
		if err != nil || strings.Count(string(answers), "HTTP/1.1 202") != 1 {
			t.Fatalf("the two requests are answered %q, %v, want one 202", answers, err)
		}
	}
	if pending := s.awaitEnd(t); len(pending) != 1 {
		t.Errorf("requests behind the last one that was answered are accepted: %v", pending)
	}
}

// Guards against open requests that get no response although the sender still runs for a while: a client that has sent
// part of a request, or has just connected, at the end of the grace period is answered.
func TestOpenRequestsAtTheEndOfTheGracePeriodAreAnswered(t *testing.T) {
	t.Parallel()
	hung := st.NewEndpoint(t, st.NeverAnswer)
	s := startStoppable(t, st.NewAgent(t, hung.Addr), nil)
	s.shutdown.gracePeriod, s.shutdown.drainTimeout = 0, 5*time.Second
	st.Submit(t, s.addr, "out", "unsafe", 0, 15*time.Second)
	hung.NextCall(t)
	type client struct {
		net.Conn
		name, rest string
	}
	var clients []client
	request := func(n int) string {
		return renderRequest(t, st.Request(t, s.addr, "late"+strconv.Itoa(n), "safe", 0, 15*time.Second, "body"))
	}
	for n, sent := range []int{0, 1, 40, len(request(2)) - 2} {
		fresh, used := dial(t, s.addr), dial(t, s.addr)
		_, _ = io.WriteString(fresh, request(2 * n)[:sent])
		clients = append(clients, client{fresh, "fresh", request(2 * n)[sent:]})
		if sent == 0 { // a used connection without a request is idle, and may be closed
			continue
		}
		_, _ = io.WriteString(used, renderRequest(t, st.Request(t, s.addr, "out", "unsafe", 0, 15*time.Second, "body")))
		resp, err := readReply(bufio.NewReader(used))
		if err != nil || resp.StatusCode != http.StatusAccepted {
			t.Fatal(resp, err)
		}
		_, _ = io.WriteString(used, request(2*n + 1)[:sent])
		clients = append(clients, client{used, "used", request(2*n + 1)[sent:]})
	}
	s.stop()
	s.awaitDrain(t)
	for _, c := range clients {
		_, _ = io.WriteString(c, c.rest)
		resp, err := readReply(bufio.NewReader(c))
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("a %s connection with %d bytes to send is answered %+v, %v", c.name, len(c.rest), resp, err)
		}
	}
}

// Guards against a call that is written after the end of the grace period or after a hand-over. Its end could not be
// recorded, or only the successor could decide whether it may start. A call that still waits for its connection then is
// not written, and the next process knows that it never ran.
func TestUnsentCallIsLeftToTheNextProcess(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(t *testing.T, s *stoppableSender) *handover.Link{
		"after the grace period": func(t *testing.T, s *stoppableSender) *handover.Link { s.stop(); return nil },
		"hand-over": func(t *testing.T, s *stoppableSender) *handover.Link {
			link, _ := requestSnapshot(t, s.upgrade.stateDir)
			return link
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := st.NewEndpoint(t, st.AnswerStatus(200))
			agent := st.NewAgent(t, e.Addr)
			s := newStoppable(newTestSender(t, agent, nil))
			s.shutdown.gracePeriod, s.shutdown.drainTimeout = 0, 5*time.Second
			dialing, releaseDial := make(chan struct{}, 1), make(chan struct{})
			s.pool = s.newPool(func(string, string, syscall.RawConn) error {
				dialing <- struct{}{}
				<-releaseDial
				return nil
			})
			stoppedSending := make(chan struct{}, 1)
			s.log = slog.New(logTo(func(line string) {
				if strings.Contains(line, "no further calls are started") || strings.Contains(line, "handing over") {
					stoppedSending <- struct{}{}
				}
			}))
			addr, listen := platformSocket(t)
			s.run(listen)
			st.Submit(t, addr, "m", "unsafe", 0, 15*time.Second)
			st.Receive(t, dialing)
			successor := end(t, s)
			st.Receive(t, stoppedSending)
			close(releaseDial)
			if successor != nil {
				packet, err := successor.Receive()
				report, ok := packet.(handover.AttemptReport)
				if err != nil || !ok || report.Result.Outcome != dispatch.NotSent {
					t.Errorf("the successor receives %+v, %v, want a report that the call was not sent", packet, err)
				}
			}
			s.stop()
			if err := st.Receive(t, s.done); err != nil {
				t.Error(err)
			}
			if len(e.Calls) > 0 {
				t.Error("the call has been written")
			}
			if successor != nil {
				return
			}
			startSender(t, agent, func(c *config.Config) { c.State = s.upgrade.stateDir })
			if c := e.NextCall(t); c.ID != "m" {
				t.Errorf("the endpoint got %s, want m", c.ID)
			}
		})
	}
}
