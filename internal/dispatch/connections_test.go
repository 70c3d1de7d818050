package dispatch

import (
	"testing"
	"time"
)

// Receivers that take few connections were filled by idle ones of 50 senders, on quiet days too. Seven keep theirs
// for a while, until connects fail.
func TestIdleConnectionsAreClosedAfterAFailedConnect(t *testing.T) {
	r := fleetRig(t, 7)
	closes := func(d time.Duration) (n int) {
		for end := r.now + d; r.now < end; r.now += 100 * ms {
			for _, a := range r.dispatcher.Step(r.now, []Event{TimerFired{}}) {
				if _, ok := a.(CloseIdle); ok {
					n++
				}
			}
		}
		return n
	}
	r.serve(3, 1, 30*ms)
	if n := closes(5 * time.Second); n != 0 {
		t.Fatalf("%d closed before any trouble", n)
	}
	s := r.step(r.message(2, 0, 0))
	r.now += 20 * ms
	r.step(r.end(s[0], ConnectFailed))
	r.serve(1, 2, 30*ms)
	if n := closes(5 * time.Second); n == 0 {
		t.Fatal("idle connections are kept after a connect that failed")
	}
}

// Something in between drops idle connections unnoticed: the next call on one hangs and may have run.
func TestIdleTimeoutShrinksWhereConnectionsAreDropped(t *testing.T) {
	r := fleetRig(t, 50)
	r.serve(3, 0, 30*ms)
	r.now += 2 * time.Second
	s := r.step(r.message(0, 0, 0))
	r.now += s[0].Timeout
	s = r.step(r.end(s[0], TimedOut))
	for i := 0; i < 100 && len(s) == 0; i++ {
		r.now += 50 * ms
		s = r.step(TimerFired{})
	}
	r.now += 30 * ms
	r.step(r.end(s[0], Served))
	kept := r.dispatcher.idleTimeout(r.dispatcher.endpoints[1])
	if kept > 1100*ms {
		t.Fatalf("connections are kept for %v though one idle for 2 s was dropped", kept)
	}
}

// An endpoint takes few connections, idle ones included. The more senders there are the shorter each keeps its own
// from the start: to learn it from failed connects costs each of them some.
func TestIdleTimeoutIsShorterInALargerFleet(t *testing.T) {
	for senders, want := range map[int]time.Duration{2: 10 * time.Second, 4: 10 * time.Second, 40: time.Second} {
		s := testSettings()
		s.Senders, s.IdleConnectionTimeout = senders, 10*time.Second
		r := newRig(t, s)
		r.serve(1, 0, 50*ms)
		idle := r.now - 20*ms
		closed := func() bool {
			for _, a := range r.dispatcher.Step(r.now, []Event{TimerFired{}}) {
				if _, ok := a.(CloseIdle); ok {
					return true
				}
			}
			return false
		}
		early, late := false, false
		for ; r.now < idle+12*time.Second && !late; r.now += 50 * ms {
			if c := closed(); c && r.now < idle+want {
				early = true
			} else if c {
				late = true
			}
		}
		// At the full time the endpoint closes them by itself.
		if early || late != (want < s.IdleConnectionTimeout) || r.now > idle+want+300*ms && late {
			t.Errorf("%d senders: closed early %v, in time %v, at %v", senders, early, late, r.now-idle)
		}
	}
}

// Of eighty senders each that called a destination once a second kept its idle connection there in full, and they
// took all the places that there were. Only one with a large share of the destination's traffic may.
func TestFullIdleTimeoutNeedsALargeShareOfTheTraffic(t *testing.T) {
	for name, c := range map[string]struct {
		senders int
		every   time.Duration // between calls
		want    bool          // kept in full
	}{
		"one of many":          {80, time.Second, false},
		"much of all traffic":  {80, 80 * ms, true},
		"one of few":           {4, time.Second, true},
		"many, hardly a call":  {80, 20 * time.Second, false},
		"of few, hardly a one": {4, 20 * time.Second, true},
	} {
		s := testSettings()
		s.Senders, s.IdleConnectionTimeout = c.senders, 10*time.Second
		s.RatingIsRateLimit, s.OverloadWindow = true, 3*time.Second
		r := newRig(t, s)
		r.step(EndpointListUpdate{Endpoints: []Endpoint{{ID: 1, Rating: 40, Ready: true}}})
		for end := r.now + time.Minute; r.now < end; r.now += c.every - 50*ms {
			r.serve(1, 0, 30*ms)
		}
		r.serve(1, 0, 30*ms)
		closed := false
		for end := r.now + 5*time.Second; r.now < end; r.now += 100 * ms {
			for _, a := range r.dispatcher.Step(r.now, []Event{TimerFired{}}) {
				if _, ok := a.(CloseIdle); ok {
					closed = true
				}
			}
		}
		if closed == c.want {
			t.Errorf("%s: closed within 5 s: %v", name, closed)
		}
	}
}

// One of eighty sees a hundred calls to a kind of destination in a minute. Where none of them failed to connect it
// has to learn from those that connections may be kept, as a new one is expensive; a failed connect undoes it.
func TestIdleTimeoutGrowsWithServedCalls(t *testing.T) {
	r := fleetRig(t, 80)
	begin := r.dispatcher.idleTimeout(r.dispatcher.endpoints[1])
	r.serve(100, 0, 30*ms)
	if kept := r.dispatcher.idleTimeout(r.dispatcher.endpoints[1]); kept < begin*3/2 {
		t.Errorf("kept for %v after 100 served calls, %v before", kept, begin)
	}
	s := r.step(r.message(0, 0, 0))
	r.now += 30 * ms
	r.step(r.end(s[0], ConnectFailed))
	if kept := r.dispatcher.idleTimeout(r.dispatcher.endpoints[2]); kept > begin {
		t.Errorf("kept for %v elsewhere after a connect that failed", kept)
	}
}

// Of 3,450 connects that failed in 5 s of a calm day of 300 senders, most were at destinations that were full,
// while the calls served there left their connections unused: a sender with more messages was kept back by its
// pace or its backoff.
func TestNextCallReusesTheConnectionThatServed(t *testing.T) {
	s, list := largeFleet(300)
	t.Run("within the backoff after a failed connect", func(t *testing.T) {
		r := newRig(t, s)
		r.step(list)
		r.serve(3, 0, 60*ms)
		first, other := r.step(r.message(0, 0, 0))[0], r.step(r.message(0, 0, 0))[0]
		r.now += 50 * ms
		if sends := r.step(r.end(other, ConnectFailed)); len(sends) != 0 {
			t.Fatalf("%v is sent at once after a failed connect", sends)
		}
		r.now += 10 * ms
		if sends := r.step(r.end(first, Served)); len(sends) != 1 || sends[0].Message != other.Message {
			t.Errorf("after a call that was served %v is sent, not the message whose connect failed", sends)
		}
	})
	s.RatingIsRateLimit = true
	list.Endpoints[0].Rating = 30
	t.Run("beyond the pace", func(t *testing.T) {
		r := newRig(t, s)
		r.step(list)
		sends := r.step(r.message(0, 0, 0), r.message(0, 0, 0), r.message(0, 0, 0))
		for n := range 3 {
			if len(sends) != 1 {
				t.Fatalf("%d calls at once after %d", len(sends), n)
			}
			r.now += 60 * ms
			sends = r.step(r.end(sends[0], Served))
		}
	})
}

// Where calls are rejected they are counted, and what reuses a connection keeps to the pace.
func TestConnectionReuseKeepsToThePaceAfterARejection(t *testing.T) {
	s, list := largeFleet(300)
	s.RatingIsRateLimit = true
	list.Endpoints[0].Rating = 3000
	r := newRig(t, s)
	r.step(list)
	r.step(r.end(r.step(r.message(0, 0, 0))[0], Rejected))
	r.step(r.message(0, 0, 0))
	var sends []Send
	for range 100 {
		if r.now += 10 * ms; len(sends) == 0 {
			sends = r.step(TimerFired{})
		}
	}
	if len(sends) != 1 {
		t.Fatalf("%d calls in a second", len(sends))
	}
	r.now = r.sentAt[sends[0].Message] + 10*ms
	if next := r.step(r.end(sends[0], Served)); len(next) != 0 {
		t.Errorf("%v reuses the connection", next)
	}
}
