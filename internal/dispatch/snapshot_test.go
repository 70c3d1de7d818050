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

// A wait that was told binds the sender, not the process that was told.
func TestRecallKeepsWaits(t *testing.T) {
	r := newRig(t, testSettings())
	sends := r.step(r.message(0, 0, 0))
	e := r.end(sends[0], Rejected)
	e.RetryAfter = 700 * ms
	r.step(e)
	n := successor(t, r, testSettings())
	if sends := n.step(n.message(0, 0, 0)); len(sends) > 0 {
		t.Errorf("sent in a wait: %v", sends)
	}
	n.now += 710 * ms
	if sends := n.step(TimerFired{}); len(sends) != 1 {
		t.Errorf("after the wait: %v", sends)
	}
}

// An outage that was seen goes on, with its spacing of calls, and so does what is usual there.
func TestRecallKeepsOutages(t *testing.T) {
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
		t.Errorf("avoided %d before, %d after", had, has)
	}
	if had, has := r.dispatcher.routes[0].estimator.optimum(), n.dispatcher.destinations[0].shared.estimator.optimum(); had != has || had == 0 {
		t.Errorf("the time-out is %v, was %v", has, had)
	}
}

// Calls that the process before has out hold their slots and their messages, and end like any other.
func TestCallsOutHoldTheirSlots(t *testing.T) {
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
		t.Fatalf("sent beyond the slots: %v", sends)
	}
	sends := n.step(AttemptResult{Message: 1, Endpoint: 1, Outcome: ConnectFailed})
	if len(sends) != 1 || sends[0].Message != 3 {
		t.Errorf("with a slot free again: %v", sends)
	}
	n.step(AttemptResult{Message: 2, Endpoint: 1, Outcome: Served, Final: true})
	n.now += time.Second
	if sends := n.step(TimerFired{}); len(sends) != 1 || sends[0].Message != 1 {
		t.Errorf("the one that never ran is not sent again: %v", sends)
	}
	if n.dispatcher.callsInFlight != 2 {
		t.Errorf("%d slots in use", n.dispatcher.callsInFlight)
	}
}
