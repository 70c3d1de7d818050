package sender

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/endpoint"
	"onyxdyke.example/onyxdyke/internal/endpointlist"
	"onyxdyke.example/onyxdyke/internal/ingress"
	"onyxdyke.example/onyxdyke/internal/journal"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// testEndpoint is an endpoint that is reached at an address.
func testEndpoint(address string) *listedEndpoint {
	e := &listedEndpoint{Endpoint: &endpoint.Endpoint{}}
	e.SetAddress(address)
	return e
}

// testMessage is a message with an id and no calls.
func testMessage(id string) *message {
	return &message{Message: &journal.Message{Record: journal.Record{ID: id}}, calls: map[int]*inFlightCall{}}
}

// callOnce makes one call with one message and waits for its result.
func callOnce(p *endpoint.Pool, e *listedEndpoint, timeout time.Duration, body string) dispatch.AttemptResult {
	result := make(chan dispatch.AttemptResult, 1)
	item := &endpoint.Item{ID: "id", Key: "key", Body: []byte(body), Timeout: timeout, LastAttempt: true}
	call := p.NewCall(context.Background(), e.Endpoint, []*endpoint.Item{item})
	call.Start(true, func(results []endpoint.Result, _ bool) { result <- results[0].AttemptResult })
	return <-result
}

// A Retry-After applies from its header line on, also where the response never ends.
func TestRetryAfterOfAnUnfinishedResponseApplies(t *testing.T) {
	t.Parallel()
	const wait = 1200 * time.Millisecond
	var sentAt atomic.Int64 // Unix ns
	e := st.NewEndpoint(t, func(c st.Call, conn net.Conn) bool {
		if c.ID != "first" {
			return st.Status(200)(c, conn)
		}
		sentAt.Store(time.Now().UnixNano())
		writeUnfinishedRetryAfter(conn, wait)
		return st.Hang(c, conn)
	})
	admin := freeAddress(t)
	s := startSenderIn(t, OperatingSystem(), st.NewAgent(t, e.Addr), func(c *config.Config) { c.Admin = admin })
	st.Submit(t, s.addr, "first", "unsafe", 0, 15*time.Second)
	e.Next(t)
	for sentAt.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(150 * time.Millisecond)
	st.Submit(t, s.addr, "second", "safe", 0, 15*time.Second)
	c := e.Next(t)
	if after := time.Since(time.Unix(0, sentAt.Load())); c.ID != "second" || after < wait {
		t.Errorf("%s is sent %v after a Retry-After of %v", c.ID, after, wait)
	}
	if got := readMetrics(t, admin)["violations.wait"]; got != 0 {
		t.Errorf("the guard had to stop %d calls", got)
	}
}

// A machine that was cut off leaves idle connections that are silent: after a time-out there the next call opens a new
// connection.
func TestTimeoutClosesIdleConnections(t *testing.T) {
	t.Parallel()
	var cut atomic.Bool
	both := make(chan struct{}, 2)
	answer := make(chan struct{})
	e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		if c.Conn <= 2 && cut.Load() {
			return st.Hang(c, nc)
		}
		if c.Conn <= 2 {
			both <- struct{}{}
			<-answer // two connections are needed
		}
		return st.Status(200)(c, nc)
	})
	p := st.NewAgent(t, e.Addr)
	s := newTestSender(t, p, nil)
	at := testEndpoint(e.Addr)
	s.list.byNumber = append(s.list.byNumber, at)
	served := make(chan struct{}, 2)
	for range 2 {
		go func() { callOnce(s.pool, at, st.Timeout, ""); served <- struct{}{} }()
	}
	st.Receive(t, both)
	st.Receive(t, both)
	close(answer)
	st.Receive(t, served)
	st.Receive(t, served)
	if n := s.pool.IdleConnections(); n != 2 {
		t.Fatalf("%d idle connections", n)
	}
	cut.Store(true)
	began := time.Now()
	end := callOnce(s.pool, at, 30*time.Millisecond, "")
	end.Elapsed = time.Since(began)
	m := &message{Message: &journal.Message{}, ended: true, calls: map[int]*inFlightCall{0: {cancel: func() {}}}}
	s.handleCallEnd(callEndedEvent{[]attemptEnd{{m, 0, end}}, true})
	if n := s.pool.IdleConnections(); n != 0 {
		t.Errorf("%d idle connections after a time-out", n)
	}
	if got := callOnce(s.pool, at, st.Timeout, ""); !got.Final {
		t.Errorf("the next call: %+v", got)
	}
}

// Whether the idempotency window is still open is checked when a retry is written, not when it was decided: one whose
// connection comes up after the window is not written at all.
func TestRetryAfterTheIdempotencyWindowIsNotWritten(t *testing.T) {
	t.Parallel()
	const window = 500 * time.Millisecond
	e := st.NewEndpoint(t, st.Status(500, "Connection: close"))
	p := st.NewAgent(t, e.Addr)
	s := newTestSender(t, p, func(c *config.Config) {
		c.Settings.Classes[1].IdempotencyWindow = window
		c.Settings.MaxAttempts = 2 // the retry is the last attempt, and has all the time that is left
	})
	var dials atomic.Int32
	again, up := make(chan struct{}), make(chan struct{})
	s.pool = s.newPool(func(string, string, syscall.RawConn) error {
		if dials.Add(1) == 2 {
			close(again)
			<-up
		}
		return nil
	})
	addr, listen := platformSocket(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx, listen) }()
	st.Submit(t, addr, "m", "keyed", 0, 15*time.Second)
	e.Next(t)
	first := time.Now()
	st.Receive(t, again)
	<-time.After(time.Until(first.Add(window)))
	close(up)
	if n := st.Receive(t, p.Notices); n.Message != "m" || n.Outcome != "given_up" {
		t.Errorf("notice %+v", n)
	}
	cancel()
	if err := st.Receive(t, done); err != nil {
		t.Error(err)
	}
	if len(e.Calls) > 0 {
		t.Error("its repeat has been written")
	}
}

// A call that still waits for its connection when its endpoint drains or is removed is not written any more: it could
// arrive after the drain applies.
func TestUnsentCallToADrainedEndpointIsAborted(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(s *Sender, list endpointlist.Update) []dispatch.Event{
		"the endpoint drains": func(s *Sender, list endpointlist.Update) []dispatch.Event {
			list.Endpoints[0].State = "DRAINING"
			return []dispatch.Event{s.applyEndpointList(list, false)}
		},
		"the endpoint is gone": func(s *Sender, list endpointlist.Update) []dispatch.Event {
			return []dispatch.Event{s.applyEndpointList(endpointlist.Update{Endpoints: list.Endpoints[1:]}, true)}
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := st.NewEndpoint(t, st.Status(200))
			p := st.NewAgent(t, e.Addr, e.Addr)
			s := newTestSender(t, p, nil)
			dialing, up := make(chan struct{}, 1), make(chan struct{})
			s.pool = s.newPool(func(string, string, syscall.RawConn) error {
				dialing <- struct{}{}
				<-up
				return nil
			})
			ctx, list := context.Background(), s.config.Known
			list.Endpoints[1].Cell = 0
			s.dispatch(ctx, []dispatch.Event{s.applyEndpointList(list, true)})
			r := journal.Record{ID: "m1", Class: "safe", Tenant: "acme", Deadline: s.clock.Now() + st.Timeout}
			sub := ingress.Submission{Record: r, Responses: make(chan ingress.Response, 1)}
			s.dispatch(ctx, s.handleEvent(ctx, submissionEvent{sub}))
			st.Receive(t, dialing)
			s.dispatch(ctx, change(s, list))
			close(up)
			end := st.Receive(t, s.events).(callEndedEvent)
			if got := end.ends[0]; got.message.ID != "m1" || got.Outcome != dispatch.NotSent {
				t.Errorf("%+v", got)
			}
			if len(e.Calls) > 0 {
				t.Errorf("the endpoint got %+v", <-e.Calls)
			}
		})
	}
}
