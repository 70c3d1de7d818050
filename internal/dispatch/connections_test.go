package dispatch

import (
	"testing"
	"time"
)

// Guards against idle connections using up all connections that an endpoint accepts: with 50 senders that
// happened even while there were few messages. Among seven senders, each keeps its idle connections for some
// time until a connect fails, and then closes them early.
func TestIdleConnectionsAreClosedAfterAFailedConnect(t *testing.T) {
	h := newFleetHarness(t, 7)
	countCloses := func(duration time.Duration) (n int) {
		for end := h.now + duration; h.now < end; h.now += 100 * ms {
			for _, a := range h.dispatcher.Step(h.now, []Event{TimerFired{}}) {
				if _, ok := a.(CloseIdle); ok {
					n++
				}
			}
		}
		return n
	}
	h.serve(3, 1, 30*ms)
	if n := countCloses(5 * time.Second); n != 0 {
		t.Fatalf("%d idle connections closed before any connect failed", n)
	}
	sends := h.step(h.newMessage(2, 0, 0))
	h.now += 20 * ms
	h.step(h.newResult(sends[0], ConnectFailed))
	h.serve(1, 2, 30*ms)
	if n := countCloses(5 * time.Second); n == 0 {
		t.Fatal("no idle connection is closed after a failed connect")
	}
}

// Guards against calls on connections that were dropped unnoticed while idle, by a device between the sender
// and the endpoint: such a call hangs and may have run. Once one has timed out, idle connections are kept for
// less time.
func TestIdleTimeoutShrinksWhereConnectionsAreDropped(t *testing.T) {
	h := newFleetHarness(t, 50)
	h.serve(3, 0, 30*ms)
	h.now += 2 * time.Second
	sends := h.step(h.newMessage(0, 0, 0))
	h.now += sends[0].Timeout
	sends = h.step(h.newResult(sends[0], TimedOut))
	for i := 0; i < 100 && len(sends) == 0; i++ {
		h.now += 50 * ms
		sends = h.step(TimerFired{})
	}
	h.now += 30 * ms
	h.step(h.newResult(sends[0], Served))
	timeout := h.dispatcher.idleTimeout(h.dispatcher.endpoints[1])
	if timeout > 1100*ms {
		t.Fatalf("idle timeout %v after a connection idle for 2 s was dropped, want at most 1.1 s", timeout)
	}
}

// An endpoint accepts only few connections, idle ones included. The more senders there are, the shorter the
// idle timeout is from the start, as each sender would otherwise learn it only from connects that fail.
func TestIdleTimeoutIsShorterInALargerFleet(t *testing.T) {
	for senders, want := range map[int]time.Duration{
		2:  10 * time.Second,
		4:  10 * time.Second,
		40: time.Second,
	} {
		settings := testSettings()
		settings.Senders, settings.IdleConnectionTimeout = senders, 10*time.Second
		h := newHarness(t, settings)
		h.serve(1, 0, 50*ms)
		idleSince := h.now - 20*ms
		stepCloses := func() bool {
			for _, a := range h.dispatcher.Step(h.now, []Event{TimerFired{}}) {
				if _, ok := a.(CloseIdle); ok {
					return true
				}
			}
			return false
		}
		closedEarly, closedInTime := false, false
		for ; h.now < idleSince+12*time.Second && !closedInTime; h.now += 50 * ms {
			if c := stepCloses(); c && h.now < idleSince+want {
				closedEarly = true
			} else if c {
				closedInTime = true
			}
		}
		// After the full timeout the endpoint closes the connection itself.
		if closedEarly || closedInTime != (want < settings.IdleConnectionTimeout) ||
			h.now > idleSince+want+300*ms && closedInTime {
			t.Errorf("%d senders: idle connection closed before its timeout: %v, after it: %v, at %v",
				senders, closedEarly, closedInTime, h.now-idleSince)
		}
	}
}

// Guards against many senders using up an endpoint's connections with idle ones: it happened when each of
// eighty senders that made one call a second kept its connection for the full idle timeout. Only a sender
// with a large share of the destination's traffic may do so.
func TestFullIdleTimeoutNeedsALargeShareOfTheTraffic(t *testing.T) {
	for name, c := range map[string]struct {
		senders int
		every   time.Duration // between calls
		want    bool          // idle connections are kept for the full idle timeout
	}{
		"large fleet, small share of the traffic": {80, time.Second, false},
		"large fleet, large share of the traffic": {80, 80 * ms, true},
		"small fleet":                   {4, time.Second, true},
		"large fleet, hardly any calls": {80, 20 * time.Second, false},
		"small fleet, hardly any calls": {4, 20 * time.Second, true},
	} {
		settings := testSettings()
		settings.Senders, settings.IdleConnectionTimeout = c.senders, 10*time.Second
		settings.RatingIsRateLimit, settings.OverloadWindow = true, 3*time.Second
		h := newHarness(t, settings)
		h.step(EndpointListUpdate{Endpoints: []Endpoint{{ID: 1, Rating: 40, Ready: true}}})
		for end := h.now + time.Minute; h.now < end; h.now += c.every - 50*ms {
			h.serve(1, 0, 30*ms)
		}
		h.serve(1, 0, 30*ms)
		closed := false
		for end := h.now + 5*time.Second; h.now < end; h.now += 100 * ms {
			for _, a := range h.dispatcher.Step(h.now, []Event{TimerFired{}}) {
				if _, ok := a.(CloseIdle); ok {
					closed = true
				}
			}
		}
		if closed == c.want {
			t.Errorf("%s: idle connection closed within 5 s: %v", name, closed)
		}
	}
}

// One of eighty senders makes about a hundred calls to a kind of destination in a minute. As long as no
// connect fails, these calls must lengthen its idle timeout, as new connections are expensive. A failed
// connect shortens it again.
func TestIdleTimeoutGrowsWithServedCalls(t *testing.T) {
	h := newFleetHarness(t, 80)
	initialTimeout := h.dispatcher.idleTimeout(h.dispatcher.endpoints[1])
	h.serve(100, 0, 30*ms)
	if timeout := h.dispatcher.idleTimeout(h.dispatcher.endpoints[1]); timeout < initialTimeout*3/2 {
		t.Errorf("idle timeout %v after 100 served calls, %v before, want at least 1.5 times that",
			timeout, initialTimeout)
	}
	sends := h.step(h.newMessage(0, 0, 0))
	h.now += 30 * ms
	h.step(h.newResult(sends[0], ConnectFailed))
	if timeout := h.dispatcher.idleTimeout(h.dispatcher.endpoints[2]); timeout > initialTimeout {
		t.Errorf("idle timeout %v at another endpoint after a failed connect, want at most the initial one",
			timeout)
	}
}

// Guards against connections being left unused where they are scarce. With 300 senders under normal load,
// 3,450 connects failed in 5 s, most of them at destinations that had no connections left. Meanwhile calls
// were served there, and their senders had more messages, but the pace or the backoff kept them from reusing
// those connections.
func TestNextCallReusesTheConnectionThatServed(t *testing.T) {
	settings, list := largeFleet(300)
	t.Run("within the backoff after a failed connect", func(t *testing.T) {
		h := newHarness(t, settings)
		h.step(list)
		h.serve(3, 0, 60*ms)
		first, other := h.step(h.newMessage(0, 0, 0))[0], h.step(h.newMessage(0, 0, 0))[0]
		h.now += 50 * ms
		if sends := h.step(h.newResult(other, ConnectFailed)); len(sends) != 0 {
			t.Fatalf("%v is sent without a backoff after a failed connect", sends)
		}
		h.now += 10 * ms
		if sends := h.step(h.newResult(first, Served)); len(sends) != 1 || sends[0].Message != other.Message {
			t.Errorf("%v is sent after a call was served, want the message whose connect failed", sends)
		}
	})
	settings.RatingIsRateLimit = true
	list.Endpoints[0].Rating = 30
	t.Run("beyond the pace", func(t *testing.T) {
		h := newHarness(t, settings)
		h.step(list)
		sends := h.step(h.newMessage(0, 0, 0), h.newMessage(0, 0, 0), h.newMessage(0, 0, 0))
		for n := range 3 {
			if len(sends) != 1 {
				t.Fatalf("%d calls in the step after %d calls were served, want 1", len(sends), n)
			}
			h.now += 60 * ms
			sends = h.step(h.newResult(sends[0], Served))
		}
	})
}

// A route that has rejected a call recently counts the calls that it gets, so calls that reuse a connection
// must keep to the pace there.
func TestConnectionReuseKeepsToThePaceAfterARejection(t *testing.T) {
	settings, list := largeFleet(300)
	settings.RatingIsRateLimit = true
	list.Endpoints[0].Rating = 3000
	h := newHarness(t, settings)
	h.step(list)
	h.step(h.newResult(h.step(h.newMessage(0, 0, 0))[0], Rejected))
	h.step(h.newMessage(0, 0, 0))
	var sends []Send
	for range 100 {
		if h.now += 10 * ms; len(sends) == 0 {
			sends = h.step(TimerFired{})
		}
	}
	if len(sends) != 1 {
		t.Fatalf("%d calls sent in a second, want 1", len(sends))
	}
	h.now = h.sentAt[sends[0].Message] + 10*ms
	if next := h.step(h.newResult(sends[0], Served)); len(next) != 0 {
		t.Errorf("%v is sent on the reused connection ahead of the pace", next)
	}
}
