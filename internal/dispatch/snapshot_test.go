package dispatch

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"
)

// newSuccessor returns a harness for a new Dispatcher with the snapshot of the one in h, encoded and decoded
// as for another process.
func newSuccessor(t *testing.T, h *harness, settings Settings) *harness {
	t.Helper()
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(h.dispatcher.Snapshot()); err != nil {
		t.Fatal(err)
	}
	var snapshot Snapshot
	if err := gob.NewDecoder(&encoded).Decode(&snapshot); err != nil {
		t.Fatal(err)
	}
	next := newHarness(t, settings)
	next.now, next.lastID = h.now, h.lastID
	next.step()
	next.dispatcher.Restore(snapshot)
	return next
}

// A Retry-After must still apply after a hand-over to another process of the sender.
func TestSnapshotKeepsRetryAfter(t *testing.T) {
	h := newHarness(t, testSettings())
	sends := h.step(h.newMessage(0, 0, 0))
	rejection := h.newResult(sends[0], Rejected)
	rejection.RetryAfter = 700 * ms
	h.step(rejection)
	next := newSuccessor(t, h, testSettings())
	if sends := next.step(next.newMessage(0, 0, 0)); len(sends) > 0 {
		t.Errorf("sent within the Retry-After: %v", sends)
	}
	next.now += 710 * ms
	if sends := next.step(TimerFired{}); len(sends) != 1 {
		t.Errorf("sends %v after the Retry-After, want one", sends)
	}
}

// An outage must continue after a hand-over to another process of the sender, with the interval between its
// probes, and the latency statistics must be kept.
func TestSnapshotKeepsOutages(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(30, 0, 50*ms)
	for range 12 {
		for _, send := range h.step(h.newMessage(0, 0, 0)) {
			h.step(h.newResult(send, Errored))
		}
		h.now += 300 * ms
	}
	next := newSuccessor(t, h, testSettings())
	if before, after := h.dispatcher.EjectedEndpoints(),
		next.dispatcher.EjectedEndpoints(); before != 1 || after != 1 {
		t.Errorf("%d endpoints in an outage before the hand-over, %d after, want 1", before, after)
	}
	before := h.dispatcher.routes[0].estimator.optimum()
	after := next.dispatcher.destinations[0].shared.estimator.optimum()
	if before != after || before == 0 {
		t.Errorf("the optimal timeout is %v after the hand-over, %v before", after, before)
	}
}

// Calls that an earlier process has in flight must count against this process's maximum of calls, and their
// results must be handled like those of its own calls.
func TestInheritedCallsCountAsInFlight(t *testing.T) {
	settings := testSettings()
	settings.MaxConcurrentCalls = 2
	h := newHarness(t, settings)
	var events []Event
	for call := range uint64(2) {
		m := h.newMessage(0, 0, 0)
		m.MayHaveRun, m.FirstRunAt = true, h.now-ms
		m.InFlight = &InFlightAttempt{Endpoint: 1, Call: call, SentAt: h.now - ms, Timeout: 5 * time.Second}
		h.attempts[m.ID]++
		events = append(events, m)
	}
	if sends := h.step(append(events, h.newMessage(0, 1, 0))...); len(sends) > 0 {
		t.Fatalf("sends %v while inherited calls occupy all slots", sends)
	}
	sends := h.step(AttemptResult{Message: 1, Endpoint: 1, Outcome: ConnectFailed})
	if len(sends) != 1 || sends[0].Message != 3 {
		t.Errorf("sends %v after one inherited call ended, want the waiting message", sends)
	}
	h.step(AttemptResult{Message: 2, Endpoint: 1, Outcome: Served, Final: true})
	h.now += time.Second
	if sends := h.step(TimerFired{}); len(sends) != 1 || sends[0].Message != 1 {
		t.Errorf("sends %v, want the message whose inherited call never ran", sends)
	}
	if h.dispatcher.callsInFlight != 2 {
		t.Errorf("%d calls in flight, want 2", h.dispatcher.callsInFlight)
	}
}
