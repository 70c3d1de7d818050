package dispatch

import (
	"testing"
	"time"
)

// Rule 5: a retry-after closes the route to all messages; each result of a shared call may name a later end.
func TestRetryAfterClosesTheRoute(t *testing.T) {
	r := newRig(t, testSettings())
	m1, m2 := r.message(0, 2, 0), r.message(0, 2, 0)
	s := r.step(m1, m2)
	if len(s) < 2 || s[0].Endpoint != s[1].Endpoint {
		t.Fatalf("two messages to one route share no call: %+v", s)
	}
	if c := r.dispatcher.callsInFlight; c != 1 {
		t.Fatalf("a shared call counts as %d calls in flight", c)
	}
	e1, e2 := r.end(s[0], Rejected), r.end(s[1], Rejected)
	e1.RetryAfter, e2.RetryAfter = 300*ms, 400*ms
	r.step(e1)
	r.now += 10 * ms
	r.step(e2)
	over := r.now + 400*ms
	for r.now < over {
		for _, x := range r.step(r.message(0, 2, 0)) {
			if x.Endpoint == s[0].Endpoint {
				t.Fatalf("sent %v before the retry-after was over", over-r.now)
			}
		}
		r.now += 20 * ms
	}
}

// Where the list rates a destination but answers report no limit, the pace stayed at half of the rating.
func TestPaceGrowsWhereNoLimitIsReported(t *testing.T) {
	set := testSettings()
	set.RatingIsRateLimit = true
	r := newRig(t, set)
	r.step(EndpointListUpdate{Endpoints: []Endpoint{{ID: 1, Ready: true, Rating: 10}}})
	route := r.dispatcher.destinations[0].shared
	before := route.limiter.pace
	for range 20 {
		sends := r.step(r.message(0, 0, 0))
		r.now += 300 * ms
		for _, x := range sends {
			e := r.end(x, Served)
			e.HasLoadReport = true
			r.step(e)
		}
	}
	if route.limiter.pace <= before || route.limiter.pace > 10 {
		t.Fatalf("pace %v, %v before", route.limiter.pace, before)
	}
}

// Where messages share calls, calls of one message each used up the limit at once, and later ones waited for the
// end of its span. They are spaced at our fair share, and take along what has come meanwhile.
func TestSharedCallsKeepToOurFairShareOfTheLimit(t *testing.T) {
	set := testSettings()
	set.RatingIsRateLimit = true
	set.Kinds[0].MaxBatchSize = 20
	r := newRig(t, set)
	r.step(EndpointListUpdate{Endpoints: []Endpoint{{ID: 1, Ready: true, Rating: 10}}}) // 5 a second for each of two
	submitted, start := 0, r.now
	var at []time.Duration
	var open []Send
	for r.now < start+20*time.Second {
		r.now += 10 * ms
		events := []Event{TimerFired{}}
		var still []Send
		for _, x := range open {
			if r.now < r.sentAt[x.Message]+100*ms {
				still = append(still, x)
				continue
			}
			events = append(events, r.end(x, Served))
		}
		if r.now < start+19*time.Second {
			events = append(events, r.message(0, 0, 0))
			submitted++
		}
		sends := r.step(events...)
		if len(sends) > 0 {
			at = append(at, r.now)
		}
		still = append(still, sends...)
		open = still
	}
	if len(r.sends) != submitted {
		t.Errorf("%d of %d messages sent", len(r.sends), submitted)
	}
	for i := range at {
		n := 0
		for _, x := range at[i:] {
			if x < at[i]+time.Second {
				n++
			}
		}
		if n > 6 {
			t.Fatalf("%d calls in the second from %v on", n, at[i]-start)
		}
	}
}

// A limit of a few calls a second over 300 senders left each one call in half a minute.
func TestSmallShareOfALimitAllowsSingleCalls(t *testing.T) {
	r := fleetRig(t, 300)
	served := 0
	for range 4 {
		served += len(r.step(r.message(0, 0, 0)))
		r.now += 300 * ms
		for _, x := range r.sends[len(r.sends)-min(served, 1):] {
			e := r.end(x, Served)
			e.HasLoadReport, e.QuotaLeft, e.RateLimit = true, 0.8, 5
			r.step(e)
		}
		r.now += 700 * ms
	}
	if n := len(r.sends); n < 4 {
		t.Fatalf("%d of 4 messages sent in 4 s under a limit of 5 a second", n)
	}
}

// A limit that rejected calls use up, too: eighty senders that had been rejected went on at half a call a second
// each, which was all of the limit, and for seconds every call was rejected.
func TestRejectedSendersTogetherStayUnderTheLimit(t *testing.T) {
	const senders, limit = 80, 40
	calls := map[int]int{}
	for seed := range uint64(senders) {
		s := testSettings()
		s.Senders, s.RatingIsRateLimit, s.OverloadWindow = senders, true, 3*time.Second
		r := newRig(t, s)
		r.dispatcher = New(s, seed+1)
		r.step(EndpointListUpdate{Full: true, Endpoints: []Endpoint{{ID: 1, Rating: limit, Ready: true}}})
		first := r.step(r.message(0, 0, 0), r.message(0, 0, 0), r.message(0, 0, 0))
		r.now += 50 * ms
		start := r.now
		e := r.end(first[0], Rejected)
		e.RetryAfter = 500 * ms
		r.step(e)
		for ; r.now < start+8*time.Second; r.now += 50 * ms {
			for _, s := range r.step(TimerFired{}) {
				calls[int((r.now-start)/time.Second)]++
				r.step(r.end(s, Rejected))
			}
		}
	}
	all := 0
	for second, n := range calls {
		if all += n; n > limit*3/4 {
			t.Errorf("%d calls in second %d under a limit of %d", n, second, limit)
		}
	}
	if all < senders/2 {
		t.Errorf("%d calls of %d senders in 8 s", all, senders)
	}
}

// Six senders asked for all that a destination takes, and half of its limit went unused: it counts over a fifth of
// a second, so one call in four was rejected for meeting another sender's, and each such rejection sent the pace
// down to half of the fair share, where it stayed. Rejected calls use the limit up here.
func TestIsolatedRejectionsLeaveTheFairShare(t *testing.T) {
	const senders, limit, depth, seconds = 6, 10, 2.0, 30
	s := testSettings()
	s.Senders, s.RatingIsRateLimit, s.OverloadWindow, s.MaxPendingMessages = senders, true, 3*time.Second, 0
	rigs := make([]*rig, senders)
	for i := range rigs {
		rigs[i] = newRig(t, s)
		rigs[i].dispatcher = New(s, uint64(i+1))
		rigs[i].step(EndpointListUpdate{Full: true, Endpoints: []Endpoint{{ID: 1, Rating: limit, Ready: true}}})
	}
	start, left, served, rejected := rigs[0].now, depth, 0, 0
	open := make([][]Send, senders)
	for tick := range seconds * 100 {
		left = min(depth, left+limit/100.0)
		for i, r := range rigs {
			r.now = start + time.Duration(tick)*10*ms
			events := []Event{TimerFired{}}
			if tick%(100*senders/limit) == 0 {
				events = append(events, r.message(0, 0, 0))
			}
			var out []Send
			for _, x := range open[i] {
				if r.now < r.sentAt[x.Message]+60*ms {
					out = append(out, x)
					continue
				}
				e := r.end(x, Rejected)
				if left >= 1 {
					e, served = r.end(x, Served), served+1
				} else if rejected++; rejected%2 == 0 {
					e.RetryAfter = 500 * ms
				}
				left = max(0, left-1)
				events = append(events, e)
			}
			open[i] = append(out, r.step(events...)...)
		}
	}
	if rate := float64(served) / seconds; rate < 0.65*limit {
		t.Errorf("%.1f calls a second served under a limit of %v", rate, limit)
	}
}
