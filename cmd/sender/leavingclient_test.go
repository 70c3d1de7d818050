package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
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
