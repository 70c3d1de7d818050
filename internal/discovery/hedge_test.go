package discovery

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// Guards against a change that is received too late after the agent was unresponsive. When the agent answers again, it
// does not answer the earlier calls, and its changes take effect at once. The grace period of a drain is 500 ms, of
// which the sender may be paused for 150 ms, so the change has to be received within the rest.
func TestChangeIsReceivedSoonAfterAgentAnswersAgain(t *testing.T) {
	t.Parallel()
	const receivedWithin = 350 * time.Millisecond
	pauses := []time.Duration{50 * time.Millisecond, 700 * time.Millisecond, 2500 * time.Millisecond, 6 * time.Second}
	for _, senders := range []int{fewSenders, manySenders} {
		for _, pause := range pauses {
			t.Run(fmt.Sprintf("%d senders, unresponsive for %v", senders, pause), func(t *testing.T) {
				t.Parallel()
				agent := &interruptedAgent{version: 7, changed: make(chan struct{})}
				updates := follow(t, newTestClient(newServer(t, agent), senders), noVersion)
				st.Receive(t, updates)
				for range 3 {
					time.Sleep(110 * time.Millisecond) // so that the pauses begin at different times of a watch
					version := agent.stopAnswering(pause)
					began := time.Now()
					awaitVersion(t, updates, version)
					if took := time.Since(began); took > receivedWithin {
						t.Errorf("the change was received %v after the agent answered again", took)
					}
				}
			})
		}
	}
}

// Guards against hedges for an answer that has begun: a long list takes time to arrive, and further requests for it
// would add to the load.
func TestAnswerInProgressIsNotHedged(t *testing.T) {
	t.Parallel()
	var requests atomic.Int32 // for the full list
	answerSlowly := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" { // a long poll
			neverAnswer(w, r)
			return
		}
		requests.Add(1)
		for _, part := range []string{`{"version":7,`, `"full":true,`, `"servers":[]}`} {
			write(w, part)
			time.Sleep(60 * time.Millisecond)
		}
	}
	agent := newScriptedAgent(t, answerSlowly)
	st.Receive(t, follow(t, newTestClient(agent.address, fewSenders), noVersion))
	if n := requests.Load(); n != 1 {
		t.Errorf("%d requests for the full list, want 1", n)
	}
}

// Guards against a change that is received too late after the connections to the agent fell silent: a hedge on another
// connection that was idle at that time is not answered either.
func TestHedgesGetNewConnections(t *testing.T) {
	t.Parallel()
	const receivedWithin = 350 * time.Millisecond // a drain has 500 ms, of which the sender may be paused for 150 ms
	for _, offset := range []time.Duration{0, 40 * time.Millisecond, 80 * time.Millisecond, 120 * time.Millisecond} {
		t.Run(offset.String(), func(t *testing.T) {
			t.Parallel()
			agent := &interruptedAgent{version: 7, changed: make(chan struct{})}
			proxy := st.NewProxy(t, newServer(t, agent))
			client := newTestClient(proxy.Addr, fewSenders)
			list := client.watcher.list
			var polls sync.WaitGroup
			query := list.query("http://"+proxy.Addr, 7)
			for range 3 { // three long polls at once need connections of their own, which are idle after that
				polls.Add(1)
				go func() {
					defer polls.Done()
					if _, err := list.fetch(context.Background(), query, st.Timeout); err != nil {
						t.Error(err)
					}
				}()
			}
			polls.Wait()
			updates := follow(t, client, noVersion)
			awaitVersion(t, updates, 7)
			time.Sleep(offset) // so that the silence begins at different times of a watch
			proxy.Silence()
			began := time.Now()
			agent.change(func() { agent.version++ })
			awaitVersion(t, updates, 8)
			if took := time.Since(began); took > receivedWithin {
				t.Errorf("the change is received after %v", took)
			}
		})
	}
}

// interruptedAgent is an agent that pauses, during which it is unresponsive, and has a newer version of its list after
// each pause.
type interruptedAgent struct {
	mu             sync.Mutex
	version        int64
	isUnresponsive bool
	pauses         int           // pauses that have begun
	changed        chan struct{} // closed and replaced at each change of the fields above
}

// stopAnswering makes the agent unresponsive for a time, and returns the version of the list after that. The calls that
// are pending when the pause begins and those that arrive during it are never answered.
func (a *interruptedAgent) stopAnswering(length time.Duration) (version int64) {
	a.change(func() {
		a.isUnresponsive = true
		a.pauses++
	})
	time.Sleep(length)
	a.change(func() {
		a.isUnresponsive = false
		a.version++
		version = a.version
	})
	return version
}

// change calls apply with the lock held, and wakes up the pending calls.
func (a *interruptedAgent) change(apply func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	apply()
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *interruptedAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	isFull := err != nil
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms")) // 0 for the full list
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	a.mu.Lock()
	isDropped, pauses := a.isUnresponsive, a.pauses
	a.mu.Unlock()
	for isOver := false; ; {
		a.mu.Lock()
		version, changed := a.version, a.changed
		isDropped = isDropped || a.pauses != pauses
		a.mu.Unlock()
		switch {
		case isDropped:
			<-r.Context().Done()
			return
		case isFull || version > after || isOver:
			write(w, fmt.Sprintf(`{"version":%d,"full":%v,"servers":[]}`, version, isFull))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			isOver = true
		}
	}
}
