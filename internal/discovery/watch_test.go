package discovery

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// A platform that serves many senders one after another answers late. A call is left in its queue: if it were given
// up, the next one would be queued behind it, for ever. Where senders are few there is no queue, and silence means
// that the platform is down.
func TestQueueTimeExtendsTheAnswerTimeout(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		senders    int
		isAnswered bool
	}{
		"few senders":  {senders: fewSenders, isAnswered: false},
		"many senders": {senders: 36, isAnswered: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := newServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				select {
				case <-time.After(answerTimeout + answerTimeout/2):
					answerVersion(7)(w, r)
				case <-r.Context().Done():
				}
			}))
			watcher := newTestClient(address, test.senders).watcher
			query := watcher.list.query("http://"+address, noVersion)
			update, err := watcher.list.fetch(context.Background(), query, watcher.timeout(noVersion))
			if isAnswered := err == nil && update.Version == 7; isAnswered != test.isAnswered {
				t.Errorf("answered %v, want %v: %v", isAnswered, test.isAnswered, err)
			}
		})
	}
}

// After rejections a sender pauses for as long as all others may need, and no two senders for the same time.
func TestRejectionPausesGrowWithTheNumberOfSenders(t *testing.T) {
	t.Parallel()
	calls := make(chan time.Time, 100)
	address := newServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- time.Now()
		reject(w, r)
	}))
	client := newTestClient(address, 12)
	follow(t, client, noVersion)
	first := st.Receive(t, calls)
	for range 2 {
		st.Receive(t, calls)
	}
	// The pauses are a quarter and then half of the time that all senders need, each jittered down to half at the
	// most.
	queueTime := client.watcher.queueTime
	if took, least := time.Since(first), (queueTime/4+queueTime/2)/2; took < least {
		t.Errorf("three calls in %v, want at least %v", took, least)
	}
}

// Hundreds of senders have as little time as few. No answer is waited for past the time by which a change binds. No
// pause after rejections, however many, takes away the time in which the next answer has to come: what changed after
// a rejection binds by then. Pauses went up to 24 s.
func TestPausesAndTimeoutsOfManySendersAreBounded(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		polled bool
		needed time.Duration // between the pause and the time by which a change binds
	}{
		"pushed list": {polled: false, needed: answerTimeout},
		"polled list": {polled: true, needed: 2 * answerTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := newServer(t, http.HandlerFunc(answerNothing))
			watcher := New(Options{Address: address, Senders: manySenders, Polled: test.polled}).watcher
			for rejections := 1; rejections <= 10; rejections++ {
				watcher.lengthenRejectionPause(&RejectedError{Status: "503"})
				if pause := watcher.rejectionPause; pause+test.needed > changeBindsAfter {
					t.Errorf("a pause of %v after %d rejections", pause, rejections)
				}
			}
			began := time.Now()
			query := watcher.list.query("http://"+address, 7)
			if _, err := watcher.list.fetch(context.Background(), query, watcher.timeout(7)); err == nil {
				t.Error("an answer from an agent that is silent")
			}
			if took := time.Since(began); took > watcher.list.longPoll+maxLongPollLateness+time.Second {
				t.Errorf("waited for a silent agent for %v", took)
			}
		})
	}
}

// A watch that falls silent is given up and opened anew while there is still time to act on what it misses, whenever
// that happens and even if the next one is as silent: 6 s after the silence began.
func TestSilentWatchIsReopenedBeforeChangesBind(t *testing.T) {
	t.Parallel()
	before, after := answerText(`{"version":7,"full":false,"servers":[]}`), answerVersion(8)
	for name, scripts := range map[string][]http.HandlerFunc{
		"before the first answer":          {answerNothing, after},
		"in the middle of an answer":       {before, answerInPart, after},
		"right after an answer":            {before, answerNothing, after},
		"twice in a row":                   {before, answerNothing, answerNothing, after},
		"twice from the start":             {answerNothing, answerNothing, after},
		"twice in the middle of an answer": {before, answerInPart, answerInPart, after},
	} {
		for _, senders := range []int{fewSenders, manySenders} {
			t.Run(fmt.Sprintf("%s, %d senders", name, senders), func(t *testing.T) {
				t.Parallel()
				agent := newScriptedAgent(t, scripts...)
				client := newTestClient(agent.address, senders)
				began := time.Now()
				awaitVersion(t, follow(t, client, 7), 8)
				// A drain leaves 500 ms after the change binds.
				if took := time.Since(began); took > changeBindsAfter+400*time.Millisecond {
					t.Errorf("the change came after %v", took)
				}
			})
		}
	}
}

// The same holds where the platform moves to an address that is silent: 4 s after the move.
func TestSilentWatchIsReopenedBeforeChangesBindAfterAMove(t *testing.T) {
	t.Parallel()
	before, after := answerText(`{"version":7,"full":false,"servers":[]}`), answerVersion(8)
	for name, scripts := range map[string][]http.HandlerFunc{
		"silent once": {answerNothing, after},
		"silent, then in the middle of an answer": {answerNothing, answerInPart, after},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := newScriptedAgent(t, before, answerNothing)
			second := newScriptedAgent(t, scripts...)
			client := newTestClient(first.address, manySenders)
			updates := follow(t, client, 7)
			st.Receive(t, updates)
			for range 2 { // the second call, which is not answered, is under way
				st.Receive(t, first.called)
			}
			began := time.Now()
			client.Move(second.address)
			awaitVersion(t, updates, 8)
			if took := time.Since(began); took > changeBindsAfterMove+400*time.Millisecond {
				t.Errorf("the change came after %v", took)
			}
		})
	}
}

// Rejections make a sender pause before the next watch, never within one: what changes between two calls binds at
// once, and a watch goes on only if each call comes within 200 ms of the answer before.
func TestWatchContinuesWithoutGapAfterRejections(t *testing.T) {
	t.Parallel()
	var answeredAt time.Time // calls come one at a time
	var longestGap atomic.Int64
	version := int64(7)
	answerNewer := func(w http.ResponseWriter, r *http.Request) {
		if !answeredAt.IsZero() {
			longestGap.Store(max(longestGap.Load(), int64(time.Since(answeredAt))))
		}
		version++
		answerVersion(version)(w, r)
		w.(http.Flusher).Flush()
		answeredAt = time.Now()
	}
	agent := newScriptedAgent(t, reject, answerNewer)
	awaitVersion(t, follow(t, newTestClient(agent.address, 12), 7), 20)
	if gap := time.Duration(longestGap.Load()); gap > 200*time.Millisecond {
		t.Errorf("%v between an answer and the next call", gap)
	}
}
