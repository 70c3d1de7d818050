package dispatch

import (
	"testing"
	"time"
)

// A Retry-After must block the route for all messages. Each result of a call with several messages may carry
// a Retry-After of its own, and the latest end applies.
func TestRetryAfterClosesTheRoute(t *testing.T) {
	h := newHarness(t, testSettings())
	m1, m2 := h.newMessage(0, 2, 0), h.newMessage(0, 2, 0)
	sends := h.step(m1, m2)
	if len(sends) < 2 || sends[0].Endpoint != sends[1].Endpoint {
		t.Fatalf("two messages to one endpoint are not sent in one call: %+v", sends)
	}
	if calls := h.dispatcher.callsInFlight; calls != 1 {
		t.Fatalf("a call with two messages counts as %d calls in flight", calls)
	}
	result1, result2 := h.newResult(sends[0], Rejected), h.newResult(sends[1], Rejected)
	result1.RetryAfter, result2.RetryAfter = 300*ms, 400*ms
	h.step(result1)
	h.now += 10 * ms
	h.step(result2)
	closedUntil := h.now + 400*ms
	for h.now < closedUntil {
		for _, send := range h.step(h.newMessage(0, 2, 0)) {
			if send.Endpoint == sends[0].Endpoint {
				t.Fatalf("sent %v before the end of the Retry-After", closedUntil-h.now)
			}
		}
		h.now += 20 * ms
	}
}

// Guards against a pace that does not grow where the endpoint list has a rating but answers report no limit:
// it stayed at its initial value, half of the rating for two senders.
func TestPaceGrowsWhereNoLimitIsReported(t *testing.T) {
	settings := testSettings()
	settings.RatingIsRateLimit = true
	h := newHarness(t, settings)
	h.step(EndpointListUpdate{Endpoints: []Endpoint{{ID: 1, Ready: true, Rating: 10}}})
	route := h.dispatcher.destinations[0].shared
	paceBefore := route.limiter.pace
	for range 20 {
		sends := h.step(h.newMessage(0, 0, 0))
		h.now += 300 * ms
		for _, send := range sends {
			result := h.newResult(send, Served)
			result.HasLoadReport = true
			h.step(result)
		}
	}
	if route.limiter.pace <= paceBefore || route.limiter.pace > 10 {
		t.Fatalf("pace %v after 20 served calls, %v before, want more but at most the rating of 10",
			route.limiter.pace, paceBefore)
	}
}

// Guards against calls with one message each using up the limit where messages may share calls, so that later
// messages wait until the span over which the limit is counted ends. The calls must be spaced at this
// sender's fair share of the limit, and carry the messages that were submitted in the meantime.
func TestBatchedCallsKeepToTheFairShareOfTheLimit(t *testing.T) {
	settings := testSettings()
	settings.RatingIsRateLimit = true
	settings.Kinds[0].MaxBatchSize = 20
	h := newHarness(t, settings)
	// The limit is 10 calls a second, 5 for each of the two senders.
	h.step(EndpointListUpdate{Endpoints: []Endpoint{{ID: 1, Ready: true, Rating: 10}}})
	submitted, start := 0, h.now
	var sendTimes []time.Duration
	var inFlight []Send
	for h.now < start+20*time.Second {
		h.now += 10 * ms
		events := []Event{TimerFired{}}
		var remaining []Send
		for _, send := range inFlight {
			if h.now < h.sentAt[send.Message]+100*ms {
				remaining = append(remaining, send)
				continue
			}
			events = append(events, h.newResult(send, Served))
		}
		if h.now < start+19*time.Second {
			events = append(events, h.newMessage(0, 0, 0))
			submitted++
		}
		sends := h.step(events...)
		if len(sends) > 0 {
			sendTimes = append(sendTimes, h.now)
		}
		remaining = append(remaining, sends...)
		inFlight = remaining
	}
	if len(h.sends) != submitted {
		t.Errorf("%d of %d messages sent", len(h.sends), submitted)
	}
	for i := range sendTimes {
		n := 0
		for _, sendTime := range sendTimes[i:] {
			if sendTime < sendTimes[i]+time.Second {
				n++
			}
		}
		if n > 6 {
			t.Fatalf("%d calls in the second from %v on, want at most 6", n, sendTimes[i]-start)
		}
	}
}

// Guards against a pace that is too low to send anything: an equal share of a limit of a few calls a second
// among 300 senders is about one call in half a minute.
func TestSmallShareOfALimitAllowsSingleCalls(t *testing.T) {
	h := newFleetHarness(t, 300)
	sent := 0
	for range 4 {
		sent += len(h.step(h.newMessage(0, 0, 0)))
		h.now += 300 * ms
		for _, send := range h.sends[len(h.sends)-min(sent, 1):] {
			result := h.newResult(send, Served)
			result.HasLoadReport, result.QuotaLeft, result.RateLimit = true, 0.8, 5
			h.step(result)
		}
		h.now += 700 * ms
	}
	if n := len(h.sends); n < 4 {
		t.Fatalf("%d of 4 messages sent in 4 s under a limit of 5 calls a second", n)
	}
}

// Guards against senders keeping each other from being served where rejected calls count against the limit.
// After a rejection, eighty senders continued at half a call a second each, which used up the whole limit,
// and for seconds every call was rejected.
func TestRejectedSendersTogetherStayUnderTheLimit(t *testing.T) {
	const senders, limit = 80, 40
	calls := map[int]int{}
	for seed := range uint64(senders) {
		s := testSettings()
		s.Senders, s.RatingIsRateLimit, s.OverloadWindow = senders, true, 3*time.Second
		h := newHarness(t, s)
		h.dispatcher = New(s, seed+1)
		h.step(EndpointListUpdate{Full: true, Endpoints: []Endpoint{{ID: 1, Rating: limit, Ready: true}}})
		first := h.step(h.newMessage(0, 0, 0), h.newMessage(0, 0, 0), h.newMessage(0, 0, 0))
		h.now += 50 * ms
		start := h.now
		rejection := h.newResult(first[0], Rejected)
		rejection.RetryAfter = 500 * ms
		h.step(rejection)
		for ; h.now < start+8*time.Second; h.now += 50 * ms {
			for _, send := range h.step(TimerFired{}) {
				calls[int((h.now-start)/time.Second)]++
				h.step(h.newResult(send, Rejected))
			}
		}
	}
	total := 0
	for second, n := range calls {
		if total += n; n > limit*3/4 {
			t.Errorf("%d calls in second %d, want at most three quarters of the limit of %d",
				n, second, limit)
		}
	}
	if total < senders/2 {
		t.Errorf("%d calls of %d senders in 8 s, want at least half as many as senders", total, senders)
	}
}

// Guards against half of a limit staying unused while six senders together submit as much as it allows. The
// destination counts its limit over a fifth of a second, so it rejected one call in four because another
// sender's call came at the same time. Each such rejection lowered the pace to half of the fair share, where
// it stayed. In this test rejected calls count against the limit.
func TestIsolatedRejectionsLeaveTheFairShare(t *testing.T) {
	const senders, limit, burst, seconds = 6, 10, 2.0, 30
	settings := testSettings()
	settings.Senders, settings.RatingIsRateLimit, settings.OverloadWindow, settings.MaxPendingMessages =
		senders, true, 3*time.Second, 0
	harnesses := make([]*harness, senders)
	for i := range harnesses {
		harnesses[i] = newHarness(t, settings)
		harnesses[i].dispatcher = New(settings, uint64(i+1))
		harnesses[i].step(EndpointListUpdate{
			Full:      true,
			Endpoints: []Endpoint{{ID: 1, Rating: limit, Ready: true}},
		})
	}
	start, tokens, served, rejected := harnesses[0].now, burst, 0, 0
	inFlight := make([][]Send, senders)
	for tick := range seconds * 100 {
		tokens = min(burst, tokens+limit/100.0)
		for i, h := range harnesses {
			h.now = start + time.Duration(tick)*10*ms
			events := []Event{TimerFired{}}
			if tick%(100*senders/limit) == 0 {
				events = append(events, h.newMessage(0, 0, 0))
			}
			var remaining []Send
			for _, send := range inFlight[i] {
				if h.now < h.sentAt[send.Message]+60*ms {
					remaining = append(remaining, send)
					continue
				}
				result := h.newResult(send, Rejected)
				if tokens >= 1 {
					result, served = h.newResult(send, Served), served+1
				} else if rejected++; rejected%2 == 0 {
					result.RetryAfter = 500 * ms
				}
				tokens = max(0, tokens-1)
				events = append(events, result)
			}
			inFlight[i] = append(remaining, h.step(events...)...)
		}
	}
	if rate := float64(served) / seconds; rate < 0.65*limit {
		t.Errorf("%.1f calls a second served, want at least 0.65 of the limit of %v", rate, limit)
	}
}
