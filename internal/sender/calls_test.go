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

// testEndpoint returns an endpoint with an address.
func testEndpoint(address string) *listedEndpoint {
	e := &listedEndpoint{Endpoint: &endpoint.Endpoint{}}
	e.SetAddress(address)
	return e
}

// testMessage returns a message with an ID and no calls in flight.
func testMessage(id string) *message {
	return &message{Message: &journal.Message{Record: journal.Record{ID: id}}, calls: map[int]*inFlightCall{}}
}

// callOnce makes a call with one message and returns its result.
func callOnce(pool *endpoint.Pool, e *listedEndpoint, timeout time.Duration, body string) dispatch.AttemptResult {
	result := make(chan dispatch.AttemptResult, 1)
	item := &endpoint.Item{ID: "id", Key: "key", Body: []byte(body), Timeout: timeout, LastAttempt: true}
	call := pool.NewCall(context.Background(), e.Endpoint, []*endpoint.Item{item})
	call.Start(true, func(results []endpoint.Result, _ bool) { result <- results[0].AttemptResult })
	return <-result
}

// Guards against calls that ignore a Retry-After because its response has not ended. The pause applies as soon as the
// header has been read, even if the response never ends.
func TestRetryAfterOfAnUnfinishedResponseApplies(t *testing.T) {
	t.Parallel()
	const wait = 1200 * time.Millisecond
	var sentAt atomic.Int64 // Unix ns
	e := st.NewEndpoint(t, func(c st.Call, conn net.Conn) bool {
		if c.ID != "first" {
			return st.AnswerStatus(200)(c, conn)
		}
		sentAt.Store(time.Now().UnixNano())
		writeUnfinishedRetryAfter(conn, wait)
		return st.NeverAnswer(c, conn)
	})
	admin := freeAddress(t)
	s := startSenderIn(t, OperatingSystem(), st.NewAgent(t, e.Addr), func(c *config.Config) { c.Admin = admin })
	st.Submit(t, s.addr, "first", "unsafe", 0, 15*time.Second)
	e.NextCall(t)
	for sentAt.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(150 * time.Millisecond)
	st.Submit(t, s.addr, "second", "safe", 0, 15*time.Second)
	c := e.NextCall(t)
	if after := time.Since(time.Unix(0, sentAt.Load())); c.ID != "second" || after < wait {
		t.Errorf("message %s is sent %v after a Retry-After of %v was received", c.ID, after, wait)
	}
	if got := readMetrics(t, admin)["violations.wait"]; got != 0 {
		t.Errorf("the invariant checker prevented %d calls during the pause", got)
	}
}

// Guards against one timeout after another on old connections. If the machine of an endpoint was cut off, the idle
// connections to it no longer respond. After a timeout at an endpoint its idle connections are closed, so that the next
// call opens a new one.
func TestTimeoutClosesIdleConnections(t *testing.T) {
	t.Parallel()
	var cut atomic.Bool
	arrived := make(chan struct{}, 2)
	release := make(chan struct{})
	e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		if c.ConnNumber <= 2 && cut.Load() {
			return st.NeverAnswer(c, nc)
		}
		if c.ConnNumber <= 2 {
			arrived <- struct{}{}
			<-release // keeps both calls in flight, so that each has a connection of its own
		}
		return st.AnswerStatus(200)(c, nc)
	})
	agent := st.NewAgent(t, e.Addr)
	s := newTestSender(t, agent, nil)
	at := testEndpoint(e.Addr)
	s.list.byNumber = append(s.list.byNumber, at)
	served := make(chan struct{}, 2)
	for range 2 {
		go func() { callOnce(s.pool, at, st.Timeout, ""); served <- struct{}{} }()
	}
	st.Receive(t, arrived)
	st.Receive(t, arrived)
	close(release)
	st.Receive(t, served)
	st.Receive(t, served)
	if n := s.pool.IdleConnections(); n != 2 {
		t.Fatalf("%d idle connections before the timeout, want 2", n)
	}
	cut.Store(true)
	began := time.Now()
	end := callOnce(s.pool, at, 30*time.Millisecond, "")
	end.Elapsed = time.Since(began)
	m := &message{Message: &journal.Message{}, ended: true, calls: map[int]*inFlightCall{0: {cancel: func() {}}}}
	s.handleCallEnd(callEndedEvent{[]attemptEnd{{m, 0, end}}, true})
	if n := s.pool.IdleConnections(); n != 0 {
		t.Errorf("%d idle connections after the timeout, want none", n)
	}
	if got := callOnce(s.pool, at, st.Timeout, ""); !got.Final {
		t.Errorf("the call after the timeout ended with %+v, want a final response", got)
	}
}

// Guards against a retry that the endpoint takes for a new message because it has forgotten the idempotency key. The
// idempotency window is checked when the retry is written, not only when it is decided: a retry whose connection opens
// after the end of the window is not written.
func TestRetryAfterTheIdempotencyWindowIsNotWritten(t *testing.T) {
	t.Parallel()
	const window = 500 * time.Millisecond
	e := st.NewEndpoint(t, st.AnswerStatus(500, "Connection: close"))
	agent := st.NewAgent(t, e.Addr)
	s := newTestSender(t, agent, func(c *config.Config) {
		c.Settings.Classes[1].IdempotencyWindow = window
		c.Settings.MaxAttempts = 2 // the retry is the last attempt, so its timeout is all the time that is left
	})
	var dials atomic.Int32
	retryDialing, releaseDial := make(chan struct{}), make(chan struct{})
	s.pool = s.newPool(func(string, string, syscall.RawConn) error {
		if dials.Add(1) == 2 {
			close(retryDialing)
			<-releaseDial
		}
		return nil
	})
	addr, listen := platformSocket(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx, listen) }()
	st.Submit(t, addr, "m", "keyed", 0, 15*time.Second)
	e.NextCall(t)
	first := time.Now()
	st.Receive(t, retryDialing)
	<-time.After(time.Until(first.Add(window)))
	close(releaseDial)
	if n := st.Receive(t, agent.Notices); n.Message != "m" || n.Outcome != "given_up" {
		t.Errorf("notice %+v", n)
	}
	cancel()
	if err := st.Receive(t, done); err != nil {
		t.Error(err)
	}
	if len(e.Calls) > 0 {
		t.Error("the retry has been written after the idempotency window")
	}
}

// Guards against calls that arrive after an endpoint has started to drain or was removed from the list. A call that
// still waits for its connection then is aborted before it is written.
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
			e := st.NewEndpoint(t, st.AnswerStatus(200))
			agent := st.NewAgent(t, e.Addr, e.Addr)
			s := newTestSender(t, agent, nil)
			dialing, releaseDial := make(chan struct{}, 1), make(chan struct{})
			s.pool = s.newPool(func(string, string, syscall.RawConn) error {
				dialing <- struct{}{}
				<-releaseDial
				return nil
			})
			ctx, list := context.Background(), s.config.EndpointList
			list.Endpoints[1].Cell = 0
			s.dispatch(ctx, []dispatch.Event{s.applyEndpointList(list, true)})
			r := journal.Record{ID: "m1", Class: "safe", Tenant: "acme", Deadline: s.clock.Now() + st.Timeout}
			sub := ingress.Submission{Record: r, Responses: make(chan ingress.Response, 1)}
			s.dispatch(ctx, s.handleEvent(ctx, submissionEvent{sub}))
			st.Receive(t, dialing)
			s.dispatch(ctx, change(s, list))
			close(releaseDial)
			end := st.Receive(t, s.events).(callEndedEvent)
			if got := end.ends[0]; got.message.ID != "m1" || got.Outcome != dispatch.NotSent {
				t.Errorf("the call ended with %+v, want that message m1 was not sent", got)
			}
			if len(e.Calls) > 0 {
				t.Errorf("the endpoint got the call %+v", <-e.Calls)
			}
		})
	}
}
