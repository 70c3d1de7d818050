package dispatch

import (
	"testing"
	"time"
)

// Rule 2: an attempt that may have run is repeated only as its class allows.
func TestAttemptsAreRepeatedOnlyAsTheEffectAllows(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   int
		outcome Outcome
		after   time.Duration
		again   bool
	}{
		{"idempotent after an error", 0, Errored, time.Second, true},
		{"keyed in its window", 1, Errored, time.Second, true},
		{"keyed past its window", 1, Errored, 6 * time.Second, false},
		{"non-idempotent after an error", 2, Errored, time.Second, false},
		{"non-idempotent after a rejection", 2, Rejected, time.Second, true},
		{"non-idempotent without a connection", 2, ConnectFailed, time.Second, true},
		{"non-idempotent after a broken connection", 2, ConnectionBroken, time.Second, false},
	} {
		r := newRig(t, testSettings())
		m := r.message(c.class, 0, 0)
		s := r.step(m)
		r.now += c.after
		r.step(r.end(s[0], c.outcome))
		for range 40 {
			r.now += 50 * ms
			r.step(TimerFired{})
		}
		if again := r.attempts[m.ID] > 1; again != c.again {
			t.Errorf("%s: repeated %v", c.name, again)
		}
		if !c.again && !r.failed[m.ID] || r.rejected[m.ID] {
			t.Errorf("%s: failed %v, rejected %v", c.name, r.failed[m.ID], r.rejected[m.ID])
		}
	}
}

// Rule 6: messages of one key are sent one after another, and the key settles after an unknown outcome.
func TestMessagesOfOneKeyAreSentInOrder(t *testing.T) {
	r := newRig(t, testSettings())
	r.serve(30, 0, 20*ms)
	a, b := r.message(3, 0, 5), r.message(3, 0, 5)
	s := r.step(a, b)
	if len(s) != 1 || s[0].Message != a.ID {
		t.Fatalf("first %+v", s)
	}
	s2 := r.step(MessageCancelled{a.ID})
	if len(s2) != 0 {
		t.Fatal("sent while the earlier attempt has no outcome")
	}
	r.now += 4 * time.Second
	e := r.end(s[0], TimedOut)
	e.Final = true
	if s := r.step(e); len(s) != 0 {
		t.Fatal("the key did not settle after a timeout")
	}
	r.now += 299 * ms
	if s := r.step(TimerFired{}); len(s) != 0 {
		t.Fatal("the key settled for too short a time")
	}
	r.now += 6 * ms
	if s := r.step(TimerFired{}); len(s) != 1 || s[0].Message != b.ID {
		t.Fatalf("then %+v", s)
	}
}

// A call that broke at once on a connection that had been idle is no failure of the destination, and what may be
// repeated is sent again without backoff.
func TestDroppedIdleConnectionIsNoFailure(t *testing.T) {
	for class, again := range map[int]bool{0: true, 1: true, 2: false} {
		r := newRig(t, testSettings())
		r.serve(20, 0, 30*ms)
		route := r.dispatcher.destinations[0].shared
		fails, bad := route.breaker.failureRate, route.breaker.consecutiveFailures
		s := r.step(r.message(class, 0, 0))
		r.now += ms
		e := r.end(s[0], ConnectionBroken)
		e.ConnectionIdle = 100 * ms
		if sends := r.step(e); (len(sends) == 1) != again || r.failed[s[0].Message] == again {
			t.Errorf("class %d: sent %v, failed %v", class, sends, r.failed[s[0].Message])
		}
		if route.breaker.failureRate != fails || route.breaker.consecutiveFailures != bad {
			t.Errorf("class %d: counted as a failure", class)
		}
		// One that broke after the time of a call was the destination's.
		s = r.step(r.message(0, 0, 0))
		r.now += 100 * ms
		e = r.end(s[0], ConnectionBroken)
		e.ConnectionIdle = 100 * ms
		if sends := r.step(e); len(sends) != 0 || route.breaker.failureRate <= fails {
			t.Errorf("a late break is no failure: %v", sends)
		}
	}
}

func TestResumedMessageKeepsItsBackoff(t *testing.T) {
	r := newRig(t, testSettings())
	m := r.message(0, 0, 0)
	m.PriorAttempts, m.NotBefore = 1, r.now+400*ms
	if sends := r.step(m); len(sends) > 0 {
		t.Errorf("sent within its backoff: %v", sends)
	}
	if until := r.dispatcher.BackoffUntil()[m.ID]; until != m.NotBefore {
		t.Errorf("its backoff lasts until %v, not %v", until, m.NotBefore)
	}
	r.now += 400 * ms
	if sends := r.step(TimerFired{}); len(sends) != 1 {
		t.Errorf("after its backoff: %v", sends)
	}
	if until := r.dispatcher.BackoffUntil(); len(until) > 0 {
		t.Errorf("backoffs: %v", until)
	}
}

// A message that an earlier process had keeps what was done with it: one past its idempotency window, a
// non-idempotent one that may have run and one without attempts left are not sent again.
func TestResumedMessagesKeepTheirHistory(t *testing.T) {
	for name, c := range map[string]struct {
		class int
		m     Message
		sent  bool
	}{
		"never sent":                {2, Message{}, true},
		"non-idempotent, never ran": {2, Message{PriorAttempts: 2}, true},
		"non-idempotent, may have run": {
			2,
			Message{PriorAttempts: 1, MayHaveRun: true, FirstRunAt: time.Hour - time.Second},
			false,
		},
		"keyed, in its window": {1, Message{
			PriorAttempts: 1,
			MayHaveRun:    true,
			FirstRunAt:    time.Hour - time.Second,
		}, true},
		"keyed, past its window": {1, Message{
			PriorAttempts: 1,
			MayHaveRun:    true,
			FirstRunAt:    time.Hour - 6*time.Second,
		}, false},
		"idempotent, long ago": {0, Message{
			PriorAttempts: 1,
			MayHaveRun:    true,
			FirstRunAt:    time.Hour - 15*time.Second,
		}, true},
		"no attempt left": {0, Message{
			PriorAttempts: 6,
			MayHaveRun:    true,
			FirstRunAt:    time.Hour - time.Second,
		}, false},
	} {
		r := newRig(t, testSettings())
		m := r.message(c.class, 0, 0)
		m.PriorAttempts, m.MayHaveRun, m.FirstRunAt = c.m.PriorAttempts, c.m.MayHaveRun, c.m.FirstRunAt
		if sends := r.step(m); len(sends) == 1 != c.sent || r.failed[m.ID] == c.sent {
			t.Errorf("%s: %d sends, failed %v", name, len(sends), r.failed[m.ID])
		}
	}
	// Its window counts from the first send of all, also after further attempts.
	r := newRig(t, testSettings())
	m := r.message(1, 0, 0)
	m.PriorAttempts, m.MayHaveRun, m.FirstRunAt = 1, true, r.now-5*time.Second
	s := r.step(m)[0]
	r.now += 500 * ms
	r.step(r.end(s, Errored))
	r.now += 600 * ms
	if sends := r.step(TimerFired{}); len(sends) != 0 || !r.failed[m.ID] {
		t.Errorf("past its window: %d sends, failed %v", len(sends), r.failed[m.ID])
	}
}

// A call may wait for its connection. It is started while the quickest call served there would still be in time,
// or not at all, and a keyed repeat while its key is remembered.
func TestCallStartsWithinItsDeadlineAndWindow(t *testing.T) {
	r := newRig(t, testSettings())
	r.serve(3, 0, 200*ms)
	first := r.step(r.message(1, 0, 0))[0]
	if want := 20*time.Second - 200*ms; first.StartWithin != want {
		t.Errorf("a message with 20 s left starts within %v, want %v", first.StartWithin, want)
	}
	r.now += time.Second
	r.step(r.end(first, ConnectionBroken))
	r.now += time.Second
	again := r.step(TimerFired{})[0]
	if want := 4*time.Second - processPauseAllowance - 200*ms - 5*ms; again.StartWithin != want {
		t.Errorf("a keyed repeat starts within %v, want %v", again.StartWithin, want)
	}
}

// The process may be paused for 0.15 s between reading its clock and writing. A repeat has to arrive while its key
// is remembered all the same.
func TestIdempotencyWindowAllowsForAPausedProcess(t *testing.T) {
	const pause = 150 * ms
	for _, before := range []time.Duration{50 * ms, 100 * ms, 140 * ms, 400 * ms} {
		s := testSettings()
		window := s.Classes[1].IdempotencyWindow
		r := newRig(t, s)
		m := r.message(1, 0, 0)
		first := r.step(m)[0]
		begun := r.now
		r.now = begun + window - before - time.Second
		r.step(r.end(first, Errored))
		r.now = begun + window - before
		sends := r.step(TimerFired{})
		if again := before > pause; len(sends) == 1 != again || r.failed[m.ID] == again {
			t.Errorf("%v before its window ends: %d sends, failed %v", before, len(sends), r.failed[m.ID])
		}
		for _, send := range sends {
			if latest := r.now + send.StartWithin + pause; latest >= begun+window {
				t.Errorf("%v before its window ends it may be written %v after it", before, latest-begun-window)
			}
		}
	}
}
