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

// During a shutdown a request that was written on an open connection gets a complete response, or was never accepted
// and may be sent again. That holds up to the end, whatever else hangs.
func TestRequestsDuringAShutdownAreAnswered(t *testing.T) {
	t.Parallel()
	hung := st.NewEndpoint(t, st.Hang)
	l := startStoppable(t, st.NewAgent(t, hung.Addr), func(c *config.Config) {
		c.Settings.MaxPendingMessages, c.Limits.DiskMB = 1e6, 100
	})
	l.shutdown.gracePeriod, l.shutdown.drainTimeout = 150*time.Millisecond, 400*time.Millisecond
	var mu sync.Mutex
	accepted, unanswered := map[string]bool{}, map[string]bool{}
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
					id := strconv.Itoa(n) + "-" + strconv.Itoa(i)
					req := st.Request(t, l.addr, id, "unsafe", 0, 15*time.Second, "body")
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
						t.Errorf("%s is answered %s", id, resp.Status)
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
	hung.Next(t)
	l.stop()
	pending := l.awaitEnd(t)
	clients.Wait()
	for id := range pending {
		if unanswered[id] {
			t.Errorf("%s has been accepted, and its client has no response", id)
		}
	}
	for id := range accepted {
		if pending[id] == nil {
			t.Errorf("%s has been answered, and is lost", id)
		}
	}
	if len(accepted) < 100 {
		t.Errorf("only %d requests were accepted", len(accepted))
	}
	t.Logf("%d accepted, %d without a response", len(accepted), len(unanswered))
}

// Connections that wait to be accepted at the shutdown are answered: closing the listener would reset them.
func TestQueuedConnectionsAreAnsweredDuringAShutdown(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Hang)
	l := startStoppable(t, st.NewAgent(t, e.Addr), func(c *config.Config) {
		c.Limits.Sockets = 4 // two clients at once
	})
	l.shutdown.gracePeriod, l.shutdown.drainTimeout = 0, 5*time.Second
	st.Submit(t, l.addr, "out", "unsafe", 0, 15*time.Second) // keeps the shutdown from finishing at once
	e.Next(t)
	var conns []net.Conn
	for i := range 10 {
		c, err := net.Dial("tcp", l.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(st.Timeout))
		if i < 2 { // these use up the limit, and send half of a request
			_, _ = io.WriteString(c, "POST /api HTTP/1.1\r\nHost: h\r\n")
			continue
		}
		if err := st.Request(t, l.addr, "q"+strconv.Itoa(i), "safe", 0, 15*time.Second, "body").Write(c); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	l.stop()
	for i, c := range conns {
		resp, err := readReply(bufio.NewReader(c))
		if err != nil {
			t.Errorf("request %d in the queue: %v", i, err)
		} else if resp.StatusCode != http.StatusAccepted && resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("request %d in the queue: %s", i, resp.Status)
		}
	}
}

// A request with the ID of a pending message is that message, also during a shutdown: if it were rejected it would be
// delivered all the same.
func TestPendingMessageSentAgainIsAcceptedDuringAShutdown(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Hang)
	l := startStoppable(t, st.NewAgent(t, e.Addr), nil)
	l.shutdown.gracePeriod, l.shutdown.drainTimeout = 0, 2*time.Second
	st.Submit(t, l.addr, "pending", "safe", 0, 15*time.Second)
	e.Next(t)
	l.stop()
	for n, status := 0, 0; status != http.StatusServiceUnavailable; n++ {
		resp, _ := do(t, st.Request(t, l.addr, strconv.Itoa(n), "safe", 0, 15*time.Second, "body"))
		status = resp.StatusCode
	}
	resp, text := do(t, st.Request(t, l.addr, "pending", "safe", 0, 15*time.Second, "body"))
	if resp.StatusCode != http.StatusAccepted {
		t.Errorf("it is answered %s: %s", resp.Status, text)
	}
	if l.awaitEnd(t)["pending"] == nil {
		t.Error("it is lost")
	}
}

// A shutdown takes no longer than its bound, with clients that send nothing, half a request or a request at any moment.
func TestShutdownTimeIsBounded(t *testing.T) {
	t.Parallel()
	hung := st.NewEndpoint(t, st.Hang)
	l := startStoppable(t, st.NewAgent(t, hung.Addr), nil)
	l.shutdown.gracePeriod, l.shutdown.drainTimeout = 100*time.Millisecond, 300*time.Millisecond
	halfBody := "POST /api HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf"
	for _, text := range []string{"", "POST /api HT", halfBody} {
		c, err := net.Dial("tcp", l.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, text)
	}
	st.Submit(t, l.addr, "out", "unsafe", 0, 15*time.Second)
	hung.Next(t)
	l.stop()
	began := time.Now()
	pending := l.awaitEnd(t)
	limit := l.shutdown.drainTimeout + ingress.QueueTimeout + ingress.ResponseTimeout + 500*time.Millisecond
	if took := time.Since(began); took < l.shutdown.drainTimeout || took > limit {
		t.Errorf("it ended after %v", took)
	}
	if pending["out"] == nil || len(pending) != 1 {
		t.Errorf("%d messages are pending", len(pending))
	}
}

// Bytes that are unread behind a request whose response closes the connection do not destroy that response: a close
// with unread bytes would be a reset.
func TestResponseSurvivesUnreadRequestsBehindIt(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Hang)
	l := startStoppable(t, st.NewAgent(t, e.Addr), nil)
	l.shutdown.gracePeriod, l.shutdown.drainTimeout = 2*time.Second, 2*time.Second
	st.Submit(t, l.addr, "out", "safe", 0, 15*time.Second)
	e.Next(t)
	l.stop()
	for { // until responses close their connections
		if resp, _ := do(t, st.Request(t, l.addr, "out", "safe", 0, 15*time.Second, "body")); resp.Close {
			break
		}
	}
	for i := range 50 {
		c := dial(t, l.addr)
		first := renderRequest(t, st.Request(t, l.addr, "out", "safe", 0, 15*time.Second, "body"))
		body := strings.Repeat("x", 20000)
		second := renderRequest(t, st.Request(t, l.addr, "behind"+strconv.Itoa(i), "safe", 0, 15*time.Second, body))
		_, _ = io.WriteString(c, first+second)
		answers, err := io.ReadAll(c) // to its end, which is not a reset
		if err != nil || strings.Count(string(answers), "HTTP/1.1 202") != 1 {
			t.Fatalf("answered %q, %v", answers, err)
		}
	}
	if pending := l.awaitEnd(t); len(pending) != 1 {
		t.Errorf("requests are accepted behind the last response: %v", pending)
	}
}

// A client that has sent part of a request, or has just connected, at the end of the grace period gets a response: the
// sender is there for a while yet.
func TestOpenRequestsAtTheEndOfTheGracePeriodAreAnswered(t *testing.T) {
	t.Parallel()
	hung := st.NewEndpoint(t, st.Hang)
	l := startStoppable(t, st.NewAgent(t, hung.Addr), nil)
	l.shutdown.gracePeriod, l.shutdown.drainTimeout = 0, 5*time.Second
	st.Submit(t, l.addr, "out", "unsafe", 0, 15*time.Second)
	hung.Next(t)
	type client struct {
		net.Conn
		name, rest string
	}
	var clients []client
	request := func(n int) string {
		return renderRequest(t, st.Request(t, l.addr, "late"+strconv.Itoa(n), "safe", 0, 15*time.Second, "body"))
	}
	for n, sent := range []int{0, 1, 40, len(request(2)) - 2} {
		fresh, used := dial(t, l.addr), dial(t, l.addr)
		_, _ = io.WriteString(fresh, request(2 * n)[:sent])
		clients = append(clients, client{fresh, "fresh", request(2 * n)[sent:]})
		if sent == 0 { // an idle connection may be closed
			continue
		}
		_, _ = io.WriteString(used, renderRequest(t, st.Request(t, l.addr, "out", "unsafe", 0, 15*time.Second, "body")))
		resp, err := readReply(bufio.NewReader(used))
		if err != nil || resp.StatusCode != http.StatusAccepted {
			t.Fatal(resp, err)
		}
		_, _ = io.WriteString(used, request(2*n + 1)[:sent])
		clients = append(clients, client{used, "used", request(2*n + 1)[sent:]})
	}
	l.stop()
	l.awaitDrain(t)
	for _, c := range clients {
		_, _ = io.WriteString(c, c.rest)
		resp, err := readReply(bufio.NewReader(c))
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("a %s connection with %d bytes to come: %+v, %v", c.name, len(c.rest), resp, err)
		}
	}
}

// A call that still waits for its connection at the end of the grace period, or at a hand-over, is not written any
// more: nobody would learn how it ends, or whether it may start. It never ran, and the next process learns that.
func TestUnsentCallIsLeftToTheNextProcess(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(t *testing.T, l *stoppableSender) *handover.Link{
		"after the grace": func(t *testing.T, l *stoppableSender) *handover.Link { l.stop(); return nil },
		"hand-over": func(t *testing.T, l *stoppableSender) *handover.Link {
			link, _ := requestSnapshot(t, l.upgrade.stateDir)
			return link
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := st.NewEndpoint(t, st.Status(200))
			p := st.NewAgent(t, e.Addr)
			l := newStoppable(newTestSender(t, p, nil))
			l.shutdown.gracePeriod, l.shutdown.drainTimeout = 0, 5*time.Second
			dialing, up := make(chan struct{}, 1), make(chan struct{})
			l.pool = l.newPool(func(string, string, syscall.RawConn) error {
				dialing <- struct{}{}
				<-up
				return nil
			})
			withheld := make(chan struct{}, 1)
			l.log = slog.New(logTo(func(line string) {
				if strings.Contains(line, "no further calls are started") || strings.Contains(line, "handing over") {
					withheld <- struct{}{}
				}
			}))
			addr, listen := platformSocket(t)
			l.run(listen)
			st.Submit(t, addr, "m", "unsafe", 0, 15*time.Second)
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
			startSender(t, p, func(c *config.Config) { c.State = l.upgrade.stateDir })
			if c := e.Next(t); c.ID != "m" {
				t.Errorf("the endpoint got %s", c.ID)
			}
		})
	}
}
