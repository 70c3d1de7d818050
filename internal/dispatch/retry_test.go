package dispatch

import (
	"testing"
	"time"
)

// A message whose attempt may have run must be sent again only if its class allows it.
func TestAttemptsAreRepeatedOnlyAsTheEffectAllows(t *testing.T) {
	for _, c := range []struct {
		name     string
		class    int
		outcome  Outcome
		after    time.Duration
		repeated bool
	}{
		{"idempotent after an error", 0, Errored, time.Second, true},
		{"keyed, in its window, after an error", 1, Errored, time.Second, true},
		{"keyed, past its window, after an error", 1, Errored, 6 * time.Second, false},
		{"non-idempotent after an error", 2, Errored, time.Second, false},
		{"non-idempotent after a rejection", 2, Rejected, time.Second, true},
		{"non-idempotent after a failed connect", 2, ConnectFailed, time.Second, true},
		{"non-idempotent after a broken connection", 2, ConnectionBroken, time.Second, false},
	} {
		h := newHarness(t, testSettings())
		m := h.newMessage(c.class, 0, 0)
		sends := h.step(m)
		h.now += c.after
		h.step(h.newResult(sends[0], c.outcome))
		for range 40 {
			h.now += 50 * ms
			h.step(TimerFired{})
		}
		if repeated := h.attempts[m.ID] > 1; repeated != c.repeated {
			t.Errorf("%s: repeated: %v", c.name, repeated)
		}
		if !c.repeated && !h.failed[m.ID] || h.rejected[m.ID] {
			t.Errorf("%s: failed: %v, rejected: %v", c.name, h.failed[m.ID], h.rejected[m.ID])
		}
	}
}

// Messages with the same ordering key must be sent one after another. After an attempt of unknown outcome,
// which may still run, the next message must wait for OrderedKeySettleTime.
func TestMessagesOfOneKeyAreSentInOrder(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(30, 0, 20*ms)
	first, second := h.newMessage(3, 0, 5), h.newMessage(3, 0, 5)
	sends := h.step(first, second)
	if len(sends) != 1 || sends[0].Message != first.ID {
		t.Fatalf("sends %+v, want only the first message of the key", sends)
	}
	afterCancel := h.step(MessageCancelled{first.ID})
	if len(afterCancel) != 0 {
		t.Fatal("the second message was sent while the first one's attempt was in flight")
	}
	h.now += 4 * time.Second
	timeout := h.newResult(sends[0], TimedOut)
	timeout.Final = true
	if sends := h.step(timeout); len(sends) != 0 {
		t.Fatal("the second message was sent directly after a timeout of the first one's attempt")
	}
	h.now += 299 * ms
	if sends := h.step(TimerFired{}); len(sends) != 0 {
		t.Fatal("the second message was sent before the settle time was over")
	}
	h.now += 6 * ms
	if sends := h.step(TimerFired{}); len(sends) != 1 || sends[0].Message != second.ID {
		t.Fatalf("sends %+v, want the second message after the settle time", sends)
	}
}

// A connection that breaks directly after a call was written to it was dropped while idle. That must not
// count as a failure of the destination, and a message that may be repeated must be sent again without a
// backoff.
func TestDroppedIdleConnectionIsNoFailure(t *testing.T) {
	for class, isRepeated := range map[int]bool{0: true, 1: true, 2: false} {
		h := newHarness(t, testSettings())
		h.serve(20, 0, 30*ms)
		route := h.dispatcher.destinations[0].shared
		rateBefore, failuresBefore := route.breaker.failureRate, route.breaker.consecutiveFailures
		sent := h.step(h.newMessage(class, 0, 0))
		h.now += ms
		result := h.newResult(sent[0], ConnectionBroken)
		result.ConnectionIdle = 100 * ms
		if sends := h.step(result); (len(sends) == 1) != isRepeated ||
			h.failed[sent[0].Message] == isRepeated {
			t.Errorf("class %d: sends %v, failed: %v", class, sends, h.failed[sent[0].Message])
		}
		if route.breaker.failureRate != rateBefore || route.breaker.consecutiveFailures != failuresBefore {
			t.Errorf("class %d: a dropped idle connection counts as a failure of the destination", class)
		}
		// If the connection breaks later than the quickest call served, the destination failed.
		sent = h.step(h.newMessage(0, 0, 0))
		h.now += 100 * ms
		result = h.newResult(sent[0], ConnectionBroken)
		result.ConnectionIdle = 100 * ms
		if sends := h.step(result); len(sends) != 0 || route.breaker.failureRate <= rateBefore {
			t.Errorf("a connection that broke after 100 ms does not count as a failure; sends %v", sends)
		}
	}
}

// A message resumed from an earlier process must not be sent before the end of its backoff.
func TestResumedMessageKeepsItsBackoff(t *testing.T) {
	h := newHarness(t, testSettings())
	m := h.newMessage(0, 0, 0)
	m.PriorAttempts, m.NotBefore = 1, h.now+400*ms
	if sends := h.step(m); len(sends) > 0 {
		t.Errorf("sent during its backoff: %v", sends)
	}
	if until := h.dispatcher.BackoffUntil()[m.ID]; until != m.NotBefore {
		t.Errorf("BackoffUntil returns %v, want %v", until, m.NotBefore)
	}
	h.now += 400 * ms
	if sends := h.step(TimerFired{}); len(sends) != 1 {
		t.Errorf("sends %v after the backoff, want one", sends)
	}
	if until := h.dispatcher.BackoffUntil(); len(until) > 0 {
		t.Errorf("BackoffUntil returns %v after the backoff, want none", until)
	}
}

// A resumed message must keep the history of its attempts in an earlier process. It must not be sent again
// past its idempotency window, if it is non-idempotent and may have run, or if it has no attempts left.
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
		h := newHarness(t, testSettings())
		m := h.newMessage(c.class, 0, 0)
		m.PriorAttempts, m.MayHaveRun, m.FirstRunAt = c.m.PriorAttempts, c.m.MayHaveRun, c.m.FirstRunAt
		if sends := h.step(m); len(sends) == 1 != c.sent || h.failed[m.ID] == c.sent {
			t.Errorf("%s: %d sends, failed: %v", name, len(sends), h.failed[m.ID])
		}
	}
	// The window starts with the first attempt that may have run, also after further attempts.
	h := newHarness(t, testSettings())
	m := h.newMessage(1, 0, 0)
	m.PriorAttempts, m.MayHaveRun, m.FirstRunAt = 1, true, h.now-5*time.Second
	send := h.step(m)[0]
	h.now += 500 * ms
	h.step(h.newResult(send, Errored))
	h.now += 600 * ms
	if sends := h.step(TimerFired{}); len(sends) != 0 || !h.failed[m.ID] {
		t.Errorf("past the idempotency window: %d sends, failed: %v", len(sends), h.failed[m.ID])
	}
}

// A call may have to wait for its connection. It may start only while a call as quick as the quickest one
// served there would still end before the deadline, and the repeat of a keyed message only while its key is
// remembered.
func TestCallStartsWithinItsDeadlineAndWindow(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(3, 0, 200*ms)
	first := h.step(h.newMessage(1, 0, 0))[0]
	if want := 20*time.Second - 200*ms; first.StartWithin != want {
		t.Errorf("StartWithin is %v for a message with 20 s left, want %v", first.StartWithin, want)
	}
	h.now += time.Second
	h.step(h.newResult(first, ConnectionBroken))
	h.now += time.Second
	repeat := h.step(TimerFired{})[0]
	if want := 4*time.Second - processPauseAllowance - 200*ms - 5*ms; repeat.StartWithin != want {
		t.Errorf("StartWithin is %v for a keyed repeat, want %v", repeat.StartWithin, want)
	}
}

// Guards against repeats that arrive after their key is forgotten, because the process was paused for up to
// 0.15 s between reading its clock and writing the call.
func TestIdempotencyWindowAllowsForAPausedProcess(t *testing.T) {
	const pause = 150 * ms
	for _, timeLeft := range []time.Duration{50 * ms, 100 * ms, 140 * ms, 400 * ms} {
		settings := testSettings()
		window := settings.Classes[1].IdempotencyWindow
		h := newHarness(t, settings)
		m := h.newMessage(1, 0, 0)
		first := h.step(m)[0]
		firstSentAt := h.now
		h.now = firstSentAt + window - timeLeft - time.Second
		h.step(h.newResult(first, Errored))
		h.now = firstSentAt + window - timeLeft
		sends := h.step(TimerFired{})
		if isRepeated := timeLeft > pause; len(sends) == 1 != isRepeated || h.failed[m.ID] == isRepeated {
			t.Errorf("%v before the window ends: %d sends, failed: %v", timeLeft, len(sends), h.failed[m.ID])
		}
		for _, send := range sends {
			if latest := h.now + send.StartWithin + pause; latest >= firstSentAt+window {
				t.Errorf("%v before the window ends: the call may be written %v after its end",
					timeLeft, latest-firstSentAt-window)
			}
		}
	}
}
