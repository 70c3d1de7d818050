package dispatch

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"
)

// follow is a rig whose Dispatcher goes on where another one stops, in another process: all travels as bytes.
func successor(t *testing.T, r *rig, s Settings) *rig {
	t.Helper()
	var wire bytes.Buffer
	if err := gob.NewEncoder(&wire).Encode(r.dispatcher.Snapshot()); err != nil {
		t.Fatal(err)
	}
	var m Snapshot
	if err := gob.NewDecoder(&wire).Decode(&m); err != nil {
		t.Fatal(err)
	}
	n := newRig(t, s)
	n.now, n.next = r.now, r.next
	n.step()
	n.dispatcher.Restore(m)
	return n
}

// A retry-after binds the sender, not the process that received it.
func TestSnapshotKeepsRetryAfter(t *testing.T) {
	r := newRig(t, testSettings())
	sends := r.step(r.message(0, 0, 0))
	e := r.end(sends[0], Rejected)
	e.RetryAfter = 700 * ms
	r.step(e)
	n := successor(t, r, testSettings())
	if sends := n.step(n.message(0, 0, 0)); len(sends) > 0 {
		t.Errorf("sent within the retry-after: %v", sends)
	}
	n.now += 710 * ms
	if sends := n.step(TimerFired{}); len(sends) != 1 {
		t.Errorf("after the retry-after: %v", sends)
	}
}

// An outage goes on in the next process, with its spacing of probes, and so does what was learnt of latencies.
func TestSnapshotKeepsOutages(t *testing.T) {
	r := newRig(t, testSettings())
	r.serve(30, 0, 50*ms)
	for range 12 {
		for _, s := range r.step(r.message(0, 0, 0)) {
			r.step(r.end(s, Errored))
		}
		r.now += 300 * ms
	}
	n := successor(t, r, testSettings())
	if had, has := r.dispatcher.EjectedEndpoints(), n.dispatcher.EjectedEndpoints(); had != 1 || has != 1 {
		t.Errorf("%d endpoints ejected before, %d after", had, has)
	}
	had := r.dispatcher.routes[0].estimator.optimum()
	has := n.dispatcher.destinations[0].shared.estimator.optimum()
	if had != has || had == 0 {
		t.Errorf("the timeout is %v, was %v", has, had)
	}
}

// Calls that an earlier process has in flight count as ours, with their messages, and end like any other.
func TestInheritedCallsCountAsInFlight(t *testing.T) {
	s := testSettings()
	s.MaxConcurrentCalls = 2
	n := newRig(t, s)
	var out []Event
	for call := range uint64(2) {
		m := n.message(0, 0, 0)
		m.MayHaveRun, m.FirstRunAt = true, n.now-ms
		m.InFlight = &InFlightAttempt{Endpoint: 1, Call: call, SentAt: n.now - ms, Timeout: 5 * time.Second}
		n.attempts[m.ID]++
		out = append(out, m)
	}
	if sends := n.step(append(out, n.message(0, 1, 0))...); len(sends) > 0 {
		t.Fatalf("sent beyond the bound of calls: %v", sends)
	}
	sends := n.step(AttemptResult{Message: 1, Endpoint: 1, Outcome: ConnectFailed})
	if len(sends) != 1 || sends[0].Message != 3 {
		t.Errorf("with one call ended: %v", sends)
	}
	n.step(AttemptResult{Message: 2, Endpoint: 1, Outcome: Served, Final: true})
	n.now += time.Second
	if sends := n.step(TimerFired{}); len(sends) != 1 || sends[0].Message != 1 {
		t.Errorf("the one that never ran is not sent again: %v", sends)
	}
	if n.dispatcher.callsInFlight != 2 {
		t.Errorf("%d calls in flight", n.dispatcher.callsInFlight)
	}
}
