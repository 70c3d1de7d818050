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

// Guards against calls that time out while they are in the queue of a platform that serves many senders one after
// another: the next call would be queued again, so the sender would never receive a list. With few senders there is no
// queue, and a missing answer means that the platform is down.
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
				t.Errorf("the call is answered: %v, want %v; its error is %v", isAnswered, test.isAnswered, err)
			}
		})
	}
}

// Guards against senders that overload a platform by calling it again too soon after rejections: the pauses must grow
// with the number of senders. They are jittered, so that not all senders call at the same time.
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
	// The pauses are a quarter and then half of the time that all senders need. Jitter reduces each by at most half.
	queueTime := client.watcher.queueTime
	if took, least := time.Since(first), (queueTime/4+queueTime/2)/2; took < least {
		t.Errorf("three calls took %v, want at least %v", took, least)
	}
}

// Guards against pauses and timeouts that grow with the number of senders until changes are received too late. A change
// takes effect after the same time for hundreds of senders as for few, so no timeout may be longer than that time.
// After a pause, however many rejections caused it, there must be time for an answer before a change since the
// rejection takes effect. Pauses once grew to 24 s.
func TestPausesAndTimeoutsOfManySendersAreBounded(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		polled bool
		needed time.Duration // between the pause and the time at which a change takes effect
	}{
		"pushed list": {polled: false, needed: answerTimeout},
		"polled list": {polled: true, needed: 2 * answerTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := newServer(t, http.HandlerFunc(neverAnswer))
			watcher := New(Options{Address: address, Senders: manySenders, Polled: test.polled}).watcher
			for rejections := 1; rejections <= 10; rejections++ {
				watcher.lengthenRejectionPause(&RejectedError{Status: "503"})
				if pause := watcher.rejectionPause; pause+test.needed > changeEffectiveAfter {
					t.Errorf("the pause is %v after %d rejections, which is too long", pause, rejections)
				}
			}
			began := time.Now()
			query := watcher.list.query("http://"+address, 7)
			if _, err := watcher.list.fetch(context.Background(), query, watcher.timeout(7)); err == nil {
				t.Error("received an answer from an unresponsive agent")
			}
			if took := time.Since(began); took > watcher.list.longPoll+maxLongPollLateness+time.Second {
				t.Errorf("the call to an unresponsive agent took %v", took)
			}
		})
	}
}

// Guards against a change that is missed because the agent becomes unresponsive during a watch. The sender must start a
// new watch in time to act on the change, within 6 s after the last answer, at whatever point the agent stops answering
// and even if it does not answer the next watch either.
func TestUnresponsiveWatchIsRestartedBeforeChangesTakeEffect(t *testing.T) {
	t.Parallel()
	before, after := answerText(`{"version":7,"full":false,"servers":[]}`), answerVersion(8)
	for name, scripts := range map[string][]http.HandlerFunc{
		"before the first answer":          {neverAnswer, after},
		"in the middle of an answer":       {before, answerPartially, after},
		"right after an answer":            {before, neverAnswer, after},
		"twice in a row":                   {before, neverAnswer, neverAnswer, after},
		"twice from the start":             {neverAnswer, neverAnswer, after},
		"twice in the middle of an answer": {before, answerPartially, answerPartially, after},
	} {
		for _, senders := range []int{fewSenders, manySenders} {
			t.Run(fmt.Sprintf("%s, %d senders", name, senders), func(t *testing.T) {
				t.Parallel()
				agent := newScriptedAgent(t, scripts...)
				client := newTestClient(agent.address, senders)
				began := time.Now()
				awaitVersion(t, follow(t, client, 7), 8)
				// The grace period of a drain ends 500 ms after the change takes effect.
				if took := time.Since(began); took > changeEffectiveAfter+400*time.Millisecond {
					t.Errorf("the change was received after %v", took)
				}
			})
		}
	}
}

// Guards against the same failure when the platform moves to an address that does not answer: the change must be
// received within 4 s after the move.
func TestUnresponsiveWatchIsRestartedBeforeChangesTakeEffectAfterAMove(t *testing.T) {
	t.Parallel()
	before, after := answerText(`{"version":7,"full":false,"servers":[]}`), answerVersion(8)
	for name, scripts := range map[string][]http.HandlerFunc{
		"unresponsive once":                             {neverAnswer, after},
		"unresponsive, then in the middle of an answer": {neverAnswer, answerPartially, after},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := newScriptedAgent(t, before, neverAnswer)
			second := newScriptedAgent(t, scripts...)
			client := newTestClient(first.address, manySenders)
			updates := follow(t, client, 7)
			st.Receive(t, updates)
			for range 2 { // the second call, which is not answered, is pending
				st.Receive(t, first.called)
			}
			began := time.Now()
			client.Move(second.address)
			awaitVersion(t, updates, 8)
			if took := time.Since(began); took > changeEffectiveAfterMove+400*time.Millisecond {
				t.Errorf("the change was received after %v", took)
			}
		})
	}
}

// Guards against pauses within a watch after rejections, which are for the time before a watch only. A change between
// two calls takes effect at once, and a watch continues only if each call is made within 200 ms after the previous
// answer.
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
		t.Errorf("the gap between an answer and the next call was %v", gap)
	}
}
