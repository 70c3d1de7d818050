package discovery

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// An agent that was silent answers no call of that time when it speaks again, and what it has by then binds at once.
// A drain leaves 500 ms, of which a sender may be paused for 150 ms: the rest is the time to receive the change.
func TestChangeIsReceivedSoonAfterSilenceEnds(t *testing.T) {
	t.Parallel()
	const receivedWithin = 350 * time.Millisecond
	silences := []time.Duration{50 * time.Millisecond, 700 * time.Millisecond, 2500 * time.Millisecond, 6 * time.Second}
	for _, senders := range []int{fewSenders, manySenders} {
		for _, silence := range silences {
			t.Run(fmt.Sprintf("%d senders, silent for %v", senders, silence), func(t *testing.T) {
				t.Parallel()
				agent := &interruptedAgent{version: 7, changed: make(chan struct{})}
				updates := follow(t, newTestClient(newServer(t, agent), senders), noVersion)
				st.Receive(t, updates)
				for range 3 {
					time.Sleep(110 * time.Millisecond) // the silences begin at several moments of a watch
					version := agent.beSilent(silence)
					began := time.Now()
					awaitVersion(t, updates, version)
					if took := time.Since(began); took > receivedWithin {
						t.Errorf("the change came %v after the end of the silence", took)
					}
				}
			})
		}
	}
}

// A list that takes its time to arrive, as long ones do, is not requested again meanwhile.
func TestAnswerInProgressIsNotHedged(t *testing.T) {
	t.Parallel()
	var requests atomic.Int32 // for the full list
	answerSlowly := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery != "" { // a long poll
			answerNothing(w, r)
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

// interruptedAgent is an agent that is silent at times, and has a newer version of its list after each silence.
type interruptedAgent struct {
	mu       sync.Mutex
	version  int64
	isSilent bool
	silences int           // that have begun
	changed  chan struct{} // closed and replaced at each change of the fields above
}

// beSilent is silent for a time, and returns the version of the list after that. Calls that are under way when the
// silence begins are lost as well as those that arrive in it.
func (a *interruptedAgent) beSilent(length time.Duration) (version int64) {
	a.change(func() {
		a.isSilent = true
		a.silences++
	})
	time.Sleep(length)
	a.change(func() {
		a.isSilent = false
		a.version++
		version = a.version
	})
	return version
}

// change makes a change with the lock held, and wakes the calls that are under way.
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
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms")) // none for the full list
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	a.mu.Lock()
	isLost, silences := a.isSilent, a.silences
	a.mu.Unlock()
	for isOver := false; ; {
		a.mu.Lock()
		version, changed := a.version, a.changed
		isLost = isLost || a.silences != silences
		a.mu.Unlock()
		switch {
		case isLost:
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
