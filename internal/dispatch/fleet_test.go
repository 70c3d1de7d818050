package dispatch

import (
	"math"
	"testing"
	"time"
)

// many is a deployment of n senders with a hundred destinations of one endpoint each.
func many(n int) (Settings, EndpointListUpdate) {
	s := settings()
	s.Senders, s.MaxConcurrentCalls, s.IdleConnectionTimeout = n, 4, 15*time.Second
	s.Kinds = []Kind{{MaxBatchSize: 1}}
	list := EndpointListUpdate{Full: true}
	for i := range 100 {
		list.Endpoints = append(list.Endpoints, Endpoint{ID: EndpointID(i + 1), Destination: DestinationID(i), Ready: true})
	}
	return s, list
}

// fleetRig is one sender of many, driven by hand.
func fleetRig(t *testing.T, n int) *rig {
	s, list := many(n)
	r := newRig(t, s)
	r.dispatcher = New(s, 7)
	r.step(list)
	return r
}

// Rule 4, at 200 senders: each saw a call or two fail, and together they pushed the destination over when
// it returned. Those who saw failures may send what the destination then bears, or less than the others.
func TestManySendersDoNotPushAReturningDestinationOver(t *testing.T) {
	const senders, perSecond, outage = 200, 5, 15 * time.Second
	s, list := many(senders)
	brains := make([]*Dispatcher, senders)
	aware := make([]bool, senders)
	start := time.Hour
	for i := range brains {
		brains[i] = New(s, uint64(i+1))
		brains[i].Step(start, []Event{list})
	}
	type sent struct {
		by  int
		end AttemptResult
		at  time.Duration
	}
	var open []sent
	var fromAware, fromOthers int
	id := MessageID(0)
	tries := map[MessageID]int{}
	for now := start; now < start+outage+s.OverloadWindow; now += 20 * ms {
		events := make([][]Event, senders)
		give := func(i, dest int) {
			id++
			events[i] = append(events[i], Message{ID: id, Destination: DestinationID(dest), Deadline: now + 20*time.Second})
		}
		if tick := int(now / (20 * ms)); tick%(50/perSecond) == 0 {
			give(int(id*37)%senders, 0)
		} else if tick%2 == 0 {
			give(int(id*37)%senders, 1+int(id)%99)
		}
		if now == start+11*time.Second { // a clump for it, at as many senders
			for i := range 40 {
				give(i*5, 0)
			}
		}
		var still []sent
		for _, c := range open {
			if now < c.at {
				still = append(still, c)
				continue
			}
			events[c.by] = append(events[c.by], c.end)
			aware[c.by] = aware[c.by] || c.end.Outcome == ConnectFailed && now < start+outage
		}
		open = still
		for i, b := range brains {
			for _, a := range b.Step(now, append(events[i], TimerFired{})) {
				call, ok := a.(Send)
				if !ok {
					continue
				}
				down := call.Endpoint == 1 && now < start+outage
				end := AttemptResult{Message: call.Message, Attempt: tries[call.Message], Endpoint: call.Endpoint,
					Elapsed: 40 * ms, Outcome: Served, Final: true}
				if down {
					end.Outcome, end.Final = ConnectFailed, false
				}
				tries[call.Message]++
				open = append(open, sent{i, end, now + 40*ms})
				if call.Endpoint == 1 && now >= start+outage {
					if aware[i] {
						fromAware++
					} else {
						fromOthers++
					}
				}
			}
		}
	}
	share := s.SlowStartCapacity + (1-s.SlowStartCapacity)*s.OverloadWindow.Seconds()/s.SlowStartDuration.Seconds()
	bears := s.CollapseLoadFactor * share * perSecond * s.OverloadWindow.Seconds()
	if float64(fromAware+fromOthers) > bears && fromAware >= 2*fromOthers {
		t.Fatalf("%d calls from senders that saw it fail, %d from others, %.1f bearable", fromAware, fromOthers, bears)
	}
}

// A sender of many sees few calls: two failures are an outage there, eight where senders are few.
func TestFailuresThatCallAnOutage(t *testing.T) {
	for senders, want := range map[int]int{3: maxFailureThreshold, 50: minFailureThreshold, 300: minFailureThreshold} {
		r := fleetRig(t, senders)
		r.serve(10, 3, 30*ms)
		r.now += time.Minute
		if n := r.dispatcher.failureThreshold(r.dispatcher.destinations[0].shared); n != want {
			t.Errorf("%d senders: %d failures call an outage, want %d", senders, n, want)
		}
	}
}

// Senders that see an outage begin at once must not go on at once.
func TestSendersSpreadTheirProbes(t *testing.T) {
	s, list := many(100)
	next := map[time.Duration]int{}
	for seed := range uint64(20) {
		r := newRig(t, s)
		r.dispatcher = New(s, seed)
		r.step(list, r.message(0, 0, 0))
		r.dispatcher.openCircuit(r.dispatcher.destinations[0].shared)
		at := time.Duration(0)
		for range 2000 {
			r.now += 10 * ms
			if sends := r.step(r.message(0, 0, 0)); len(sends) > 0 {
				at = r.now
				break
			}
		}
		next[at/(100*ms)]++
	}
	for at, n := range next {
		if n > 10 {
			t.Fatalf("%d of 20 senders go on in the same tenth of a second, %v", n, at)
		}
	}
}

// A limit of a few calls a second over 300 senders left each one call in half a minute.
func TestAPartOfALimitIsOfUseToASenderOfMany(t *testing.T) {
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

// Receivers that take few connections were filled by idle ones of 50 senders, on quiet days too. Seven keep theirs
// for a while, until connects fail.
func TestIdleConnectionsAreClosedWhereConnectsFail(t *testing.T) {
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

// Something between drops idle connections unseen: the next call on one hangs and may have run.
func TestConnectionsDroppedUnseenAreKeptShorter(t *testing.T) {
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

// A key remembered for 6 s was of no use to a call that waited 4 s for its time-out.
func TestAKeyedRepeatFitsIntoItsWindow(t *testing.T) {
	r := fleetRig(t, 50)
	s := r.step(r.message(1, 0, 0))
	if s[0].Timeout > 3*time.Second && s[0].Timeout < 20*time.Second {
		t.Fatalf("time-out %v in a window of 6 s", s[0].Timeout)
	}
}

// What is out to an endpoint may not be written yet when a drain or a wait becomes known: then it is withheld.
func TestCallsAreWithheldWhenADrainOrAWaitIsTold(t *testing.T) {
	for name, news := range map[string]func(r *rig, answered Send) Event{
		"drains": func(*rig, Send) Event { return EndpointListUpdate{Endpoints: []Endpoint{{ID: 1}}} },
		"gone": func(*rig, Send) Event {
			return EndpointListUpdate{Full: true, Endpoints: []Endpoint{{ID: 2, Destination: 1, Ready: true}}}
		},
		"wait": func(r *rig, answered Send) Event {
			e := r.end(answered, Rejected)
			e.RetryAfter = 300 * ms
			return e
		},
	} {
		r := newRig(t, settings())
		r.serve(3, 0, 50*ms)
		sends := r.step(r.message(0, 0, 0), r.message(0, 0, 0))
		if len(sends) != 2 {
			t.Fatalf("%s: sent %+v", name, sends)
		}
		var got []AbortUnsent
		for _, a := range r.dispatcher.Step(r.now, []Event{news(r, sends[0])}) {
			if w, ok := a.(AbortUnsent); ok {
				got = append(got, w)
			}
		}
		if len(got) != 1 || got[0].Endpoint != 1 {
			t.Errorf("%s: withheld %+v", name, got)
		}
	}
}

// A call may wait for its connection. It is begun while the quickest call served there would still be in time, or not
// at all, and a keyed repeat while its key is remembered.
func TestACallHasALatestBeginning(t *testing.T) {
	r := newRig(t, settings())
	r.serve(3, 0, 200*ms)
	first := r.step(r.message(1, 0, 0))[0]
	if want := 20*time.Second - 200*ms; first.StartWithin != want {
		t.Errorf("a message with 20 s left begins within %v, want %v", first.StartWithin, want)
	}
	r.now += time.Second
	r.step(r.end(first, ConnectionBroken))
	r.now += time.Second
	again := r.step(TimerFired{})[0]
	if want := 4*time.Second - processPauseAllowance - 200*ms - 5*ms; again.StartWithin != want {
		t.Errorf("a keyed repeat begins within %v, want %v", again.StartWithin, want)
	}
}

// Input that makes no sense: no panic, no message lost, one lawful answer each.
func TestInputThatMakesNoSense(t *testing.T) {
	bad := math.NaN()
	for name, events := range map[string][]Event{
		"unknown class":       {Message{ID: 1, Class: 9, Deadline: time.Hour + time.Second}},
		"negative class":      {Message{ID: 1, Class: -1, Deadline: time.Hour + time.Second}},
		"unknown tenant":      {Message{ID: 1, Tenant: 7, Deadline: time.Hour + time.Second}},
		"negative tenant":     {Message{ID: 1, Tenant: -7, Deadline: time.Hour + time.Second}},
		"no endpoint":         {Message{ID: 1, Destination: 900, Deadline: time.Hour + time.Second}},
		"deadline in past":    {Message{ID: 1, Deadline: time.Second}},
		"kind out of range":   {EndpointListUpdate{Endpoints: []Endpoint{{ID: 1, Kind: -3, Zone: -1, Ready: true}, {ID: 2, Kind: 99, Zone: 99, Ready: true}}}, Message{ID: 1, Deadline: time.Hour + time.Second}},
		"rating not a number": {EndpointListUpdate{Endpoints: []Endpoint{{ID: 1, Rating: bad, Ready: true}, {ID: 2, Rating: math.Inf(1), Ready: true}, {ID: 3, Rating: -1, Ready: true}}}, Message{ID: 1, Deadline: time.Hour + time.Second}},
		"unknown attempt":     {Message{ID: 1, Deadline: time.Hour + time.Second}, AttemptResult{Message: 1, Attempt: 4}, AttemptResult{Message: 1, Attempt: -4}, AttemptResult{Message: 44}},
		"report out of range": {Message{ID: 1, Deadline: time.Hour + time.Second}, AttemptResult{Message: 1, Outcome: Served, Elapsed: -time.Hour, HasLoadReport: true, QuotaLeft: bad, RateLimit: math.Inf(1), Final: true}},
		"limit of nothing":    {Message{ID: 1, Deadline: time.Hour + time.Second}, AttemptResult{Message: 1, Outcome: Rejected, RetryAfter: -time.Hour, HasLoadReport: true, QuotaLeft: -1, RateLimit: bad}},
	} {
		s := settings()
		s.RatingIsRateLimit, s.ZoneFees = true, []float64{0.1}
		s.Tenants = []Tenant{{Quota: 1, QuotaRate: 10}}
		r := newRig(t, s)
		r.step(events...)
		sent := len(r.sends)
		for range 30 { // the time jumps, too
			r.now += 100 * ms
			r.step(TimerFired{})
		}
		r.now += 5 * time.Hour
		for _, x := range r.sends[sent:] {
			r.step(r.end(x, TimedOut))
		}
		for _, x := range r.sends[:sent] {
			r.step(r.end(x, TimedOut))
		}
		r.step(TimerFired{})
		over := name == "report out of range" || r.failed[1] || r.rejected[1]
		if !over || len(r.dispatcher.pending) != 0 {
			t.Errorf("%s: failed %v, refused %v, %d held", name, r.failed[1], r.rejected[1], len(r.dispatcher.pending))
		}
	}
}

// Settings that make no sense: the interface stays lawful and never panics.
func TestSettingsThatMakeNoSense(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"nothing stated": func(s *Settings) { *s = Settings{} },
		"no slots":       func(s *Settings) { s.MaxConcurrentCalls = 0 },
		"negative": func(s *Settings) {
			s.MaxConcurrentCalls, s.Senders, s.MaxPendingMessages, s.MaxAttempts = -1, -1, -1, -1
		},
		"no deadlines": func(s *Settings) { s.Classes = []Class{{}, {}, {}, {}} },
		"no kinds":     func(s *Settings) { s.Kinds = nil },
		"no rules": func(s *Settings) {
			s.SlowStartDuration, s.OverloadWindow, s.CollapseLoadFactor, s.SlowStartCapacity = 0, 0, 0, 0
		},
	} {
		s := settings()
		change(&s)
		r := newRig(t, s)
		for i := range 5 {
			for _, x := range r.step(r.message(i%4, 0, 0)) {
				r.now += 50 * ms
				r.step(r.end(x, Outcome(i)))
			}
		}
		for range 30 {
			r.now += time.Second
			r.step(TimerFired{})
			for id := range r.dispatcher.messages {
				if m := r.dispatcher.messages[id]; r.now >= m.Deadline && m.inFlight > 0 {
					r.step(AttemptResult{Message: id, Attempt: len(m.attempts) - 1, Outcome: TimedOut})
				}
			}
		}
		if len(r.dispatcher.pending) != 0 {
			t.Errorf("%s: %d messages without an answer", name, len(r.dispatcher.pending))
		}
	}
}

// An endpoint takes few connections, idle ones counted. The more senders there are the shorter each keeps its own
// from the start: to learn it from failed connects costs each of them some.
func TestManySendersKeepIdleConnectionsShorter(t *testing.T) {
	for senders, want := range map[int]time.Duration{2: 10 * time.Second, 4: 10 * time.Second, 40: time.Second} {
		s := settings()
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
// took all the places that there were. Only one with a large part of the destination's traffic may.
func TestIdleConnectionsAreForThoseWithALargePart(t *testing.T) {
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
		s := settings()
		s.Senders, s.IdleConnectionTimeout, s.RatingIsRateLimit, s.OverloadWindow = c.senders, 10*time.Second, true, 3*time.Second
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

// A limit that refused calls use up too: eighty senders that had been refused went on at half a call a second each,
// which was all of the limit, and for seconds every call was refused.
func TestRefusedSendersTogetherStayUnderTheLimit(t *testing.T) {
	const senders, limit = 80, 40
	calls := map[int]int{}
	for seed := range uint64(senders) {
		s := settings()
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

// Eighty senders that knew nothing of a destination's endpoints yet all began at the first on the list, and its table
// of connections was full. Each has a first choice of its own, and goes elsewhere when a connect fails.
func TestManySendersBeginAtDifferentEndpoints(t *testing.T) {
	const senders = 80
	first := map[EndpointID]int{}
	for number := range senders {
		s := settings()
		s.Senders, s.Number = senders, number
		r := newRig(t, s)
		r.step(EndpointListUpdate{Endpoints: []Endpoint{{ID: 7, Ready: true}, {ID: 8, Ready: true}}}) // with 1, for 0
		sent := r.step(r.message(0, 0, 0))
		at := sent[0].Endpoint
		first[at]++
		r.now += 30 * ms
		r.step(r.end(sent[0], ConnectFailed))
		for sent = nil; len(sent) == 0 && r.now < time.Hour+5*time.Second; r.now += 50 * ms {
			sent = r.step(TimerFired{})
		}
		if len(sent) == 0 || sent[0].Endpoint == at {
			t.Errorf("sender %d: %v after a connect to %d had failed", number, sent, at)
		}
	}
	for id, n := range first {
		if n > senders/2 {
			t.Errorf("%d of %d senders begin at endpoint %d", n, senders, id)
		}
	}
}

// Eighty senders told when a destination opens all came in that moment: most connects failed there, and it was taken
// for out again for seconds. They come one after another, as it bears them, and the first of them soon.
func TestManySendersToldOfAnOpeningComeInTurn(t *testing.T) {
	const senders, limit, wait = 80, 70, 8 * time.Second
	came := map[time.Duration]int{}
	for seed := range uint64(senders) {
		s := settings()
		s.Senders, s.RatingIsRateLimit, s.OverloadWindow = senders, true, 3*time.Second
		r := newRig(t, s)
		r.dispatcher = New(s, seed+1)
		r.step(EndpointListUpdate{Full: true, Endpoints: []Endpoint{{ID: 1, Rating: limit, Ready: true}}})
		first := r.step(r.message(0, 0, 0), r.message(0, 0, 0))
		e := r.end(first[0], Rejected)
		e.RetryAfter = wait
		opens := r.now + wait
		sent := r.step(e)
		for ; len(sent) == 0 && r.now < opens+8*time.Second; r.now += 20 * ms {
			sent = r.step(TimerFired{})
		}
		if r.now < opens {
			t.Fatalf("a call %v before the opening", opens-r.now)
		}
		came[(r.now-opens)/time.Second]++
	}
	if came[0] == 0 || came[0] > limit/2 || came[0]+came[1]+came[2]+came[3] < senders/2 {
		t.Errorf("first calls by second after the opening: %v", came)
	}
}

// One of eighty sees a hundred calls to a kind of destination in a minute. Where none of them failed to connect it has
// to learn from those that connections may be kept, as a new one is dear; a connect that fails undoes it.
func TestOneOfManyLearnsToKeepConnections(t *testing.T) {
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

// Of 3,450 connects that failed in 5 s of a calm day of 300 senders, most were at destinations that were full, while the
// calls served there left their connections unused: who had more to send was held back by its pace or its rest.
func TestACallFollowsOnTheConnectionThatServed(t *testing.T) {
	s, list := many(300)
	t.Run("past the rest after a connect that failed", func(t *testing.T) {
		r := newRig(t, s)
		r.step(list)
		r.serve(3, 0, 60*ms)
		first, other := r.step(r.message(0, 0, 0))[0], r.step(r.message(0, 0, 0))[0]
		r.now += 50 * ms
		if sends := r.step(r.end(other, ConnectFailed)); len(sends) != 0 {
			t.Fatalf("%v goes out at once after a connect that failed", sends)
		}
		r.now += 10 * ms
		if sends := r.step(r.end(first, Served)); len(sends) != 1 || sends[0].Message != other.Message {
			t.Errorf("after a call that was served %v goes out, not the message without a place", sends)
		}
	})
	s.RatingIsRateLimit = true
	list.Endpoints[0].Rating = 30
	t.Run("past the pace", func(t *testing.T) {
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

// Where calls are refused they are counted, and what follows keeps to the pace.
func TestNoCallFollowsWhereCallsAreRefused(t *testing.T) {
	s, list := many(300)
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
		t.Errorf("%v follows", next)
	}
}

// Six senders asked for all that a destination takes, and half of its limit went unused: it counts over a fifth of a
// second, so one call in four was refused for meeting another sender's, and each such refusal sent the pace down to
// half of the even part, where it stayed. Refused calls use the limit up here.
func TestRefusalsByChanceLeaveTheEvenPart(t *testing.T) {
	const senders, limit, depth, seconds = 6, 10, 2.0, 30
	s := settings()
	s.Senders, s.RatingIsRateLimit, s.OverloadWindow, s.MaxPendingMessages = senders, true, 3*time.Second, 0
	rigs := make([]*rig, senders)
	for i := range rigs {
		rigs[i] = newRig(t, s)
		rigs[i].dispatcher = New(s, uint64(i+1))
		rigs[i].step(EndpointListUpdate{Full: true, Endpoints: []Endpoint{{ID: 1, Rating: limit, Ready: true}}})
	}
	start, left, served, refused := rigs[0].now, depth, 0, 0
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
				} else if refused++; refused%2 == 0 {
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
