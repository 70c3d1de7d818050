package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// callCounter counts the calls that an endpoint gets for each message.
type callCounter struct {
	mu    sync.Mutex
	calls map[string]int
}

// countCalls counts the calls of an endpoint until the test program ends.
func countCalls(e *st.Endpoint) *callCounter {
	c := &callCounter{calls: map[string]int{}}
	go func() {
		for call := range e.Calls {
			c.mu.Lock()
			c.calls[call.ID]++
			c.mu.Unlock()
		}
	}()
	return c
}

// matching returns the number of calls for messages whose ID has a prefix.
func (c *callCounter) matching(prefix string) (count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, calls := range c.calls {
		if strings.HasPrefix(id, prefix) {
			count += calls
		}
	}
	return count
}

// settle is how long a test waits for calls that must not come.
const settle = time.Second

// pipelinedSubmissions returns requests that submit messages whose IDs are the prefix and a number.
func pipelinedSubmissions(prefix string, count int) []byte {
	var text bytes.Buffer
	for n := range count {
		fmt.Fprintf(&text, "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s%d\r\nX-Class: unsafe\r\n"+
			"X-Tenant: acme\r\nX-Deadline-Ms: 9000\r\nX-Addressing: dest=0\r\nContent-Length: 1\r\n\r\nx", prefix, n)
	}
	return text.Bytes()
}

// whileStopped calls do while a process is stopped.
func whileStopped(t *testing.T, p *process, do func()) {
	t.Helper()
	if err := p.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	do()
	if err := p.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
}

// writeTime is how long a client writes before it leaves, if the system does not take all at once.
const writeTime = 200 * time.Millisecond

// sendAndLeave writes as much of a text to a connection as it takes, and closes it.
func sendAndLeave(t *testing.T, conn net.Conn, text []byte) {
	t.Helper()
	_ = conn.SetDeadline(time.Now().Add(writeTime))
	_, _ = conn.Write(text)
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
}

// Guards against messages that are sent after their client has closed its connection, with many of its requests unread:
// it does not learn that they are accepted, and hands them in again.
func TestRequestsOfAClientThatHasLeftAreNotSent(t *testing.T) {
	for _, requests := range []int{1, 50, 20_000} {
		t.Run(strconv.Itoa(requests), func(t *testing.T) { playLeavingClient(t, requests) })
	}
}

func playLeavingClient(t *testing.T, requests int) {
	t.Helper()
	endpoint := st.NewEndpoint(t, st.AnswerStatus(http.StatusOK))
	calls := countCalls(endpoint)
	sender := start(t, st.NewAgent(t, endpoint.Addr), t.TempDir())
	conn, err := net.Dial("tcp", sender.addr)
	if err != nil {
		t.Fatal(err)
	}
	whileStopped(t, sender, func() { sendAndLeave(t, conn, pipelinedSubmissions("left-", requests)) })
	st.Submit(t, sender.addr, "other", "unsafe", 0, 9*time.Second)
	time.Sleep(settle)
	if sent := calls.matching("left-"); sent > 0 {
		t.Errorf("%d of %d messages are sent after their client has left", sent, requests)
	}
	if sent := calls.matching("other"); sent != 1 {
		t.Errorf("another client's message is sent %d times", sent)
	}
}

// Guards against messages that run twice because their client has left the predecessor and hands them in again, under
// the same ids, to the successor: the predecessor reads them late and forwards them.
func TestRequestsOfAClientThatHasLeftThePredecessorRunOnce(t *testing.T) {
	const requests = 20
	endpoint := st.NewEndpoint(t, st.AnswerStatus(http.StatusOK))
	calls := countCalls(endpoint)
	agent := st.NewAgent(t, endpoint.Addr)
	state := t.TempDir()
	addr, socket := passedSocket(t)
	old := startOnSocket(t, agent, state, addr, socket)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	request := []byte("GET /-/healthy HTTP/1.1\r\nHost: h\r\n\r\n")
	if _, err := conn.Write(request); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	startOnSocket(t, agent, state, addr, socket)
	whileStopped(t, old, func() {
		sendAndLeave(t, conn, pipelinedSubmissions("again-", requests))
		again, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer again.Close()
		if _, err := again.Write(pipelinedSubmissions("again-", requests)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(settle)
	})
	time.Sleep(settle)
	if sent := calls.matching("again-"); sent != requests {
		t.Errorf("%d messages are sent in %d calls", requests, sent)
	}
}

// Guards against a message that runs twice because its id was forgotten when it came again: many messages had ended
// since then, and the ids of ended messages were dropped by their number.
func TestIDThatComesAgainAfterManyOthersRunsOnce(t *testing.T) {
	const clients = 20
	endpoint := st.NewEndpoint(t, st.AnswerStatus(http.StatusOK))
	calls := countCalls(endpoint)
	sender := start(t, st.NewAgent(t, endpoint.Addr), t.TempDir())
	st.Submit(t, sender.addr, "first", "unsafe", 0, 9*time.Second)
	began := time.Now()
	until := began.Add(2 * time.Second)
	var sending sync.WaitGroup
	for number := range clients {
		sending.Add(1)
		go func() {
			defer sending.Done()
			client := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{}}
			for n := 0; time.Now().Before(until); n++ {
				id := fmt.Sprintf("other-%d-%d", number, n)
				response, err := client.Do(st.Request(t, sender.addr, id, "unsafe", 0, 9*time.Second, "x"))
				if err == nil {
					_ = response.Body.Close()
				}
			}
		}()
	}
	sending.Wait()
	st.Submit(t, sender.addr, "first", "unsafe", 0, 9*time.Second)
	time.Sleep(settle)
	t.Logf("%d other messages were sent; the first one came again after %v",
		calls.matching("other-"), time.Since(began))
	if sent := calls.matching("first"); sent != 1 {
		t.Errorf("the message is sent %d times", sent)
	}
}
