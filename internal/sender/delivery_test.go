package sender

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/ingress"
	"onyxdyke.example/onyxdyke/internal/journal"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// Guards against different responses to one message. If a message is submitted twice in one step and the dispatcher
// rejects it, both submissions are rejected.
func TestDuplicateInOneStepGetsTheSameResponse(t *testing.T) {
	t.Parallel()
	s := newTestSender(t, st.NewAgent(t, "127.0.0.1:1"), func(c *config.Config) { c.Settings.MaxPendingMessages = 20 })
	defer s.journal.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	newSubmission := func(id string) ingress.Submission {
		deadline := s.clock.Now() + time.Minute
		record := journal.Record{ID: id, Class: "safe", Tenant: "acme", Destination: 5, Deadline: deadline}
		return ingress.Submission{Record: record, Responses: make(chan ingress.Response, 1)}
	}
	for i := range 19 {
		s.processEvents(ctx, submissionEvent{newSubmission("m" + strconv.Itoa(i))})
	}
	first, second := newSubmission("x"), newSubmission("x")
	s.events <- submissionEvent{second}
	s.processEvents(ctx, submissionEvent{first})
	a, b := st.Receive(t, first.Responses), st.Receive(t, second.Responses)
	if a.Status != http.StatusServiceUnavailable || b != a {
		t.Errorf("the two submissions are answered %+v and %+v, want 503 for both", a, b)
	}
	if s.messages.pending != 19 {
		t.Errorf("%d messages are pending, want 19", s.messages.pending)
	}
}

// The endpoint gets a message with its ID, its idempotency key and its body, also for a body of the largest size.
func TestMessageIsDelivered(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.AnswerStatus(200))
	addr := startSender(t, st.NewAgent(t, e.Addr), nil)
	body := string([]byte{0, 255, '\r', '\n'}) + strings.Repeat("x", ingress.MaxBody-4)
	r := st.Request(t, addr, "m1", "keyed", 0, 5*time.Second, body)
	r.Header.Set("X-Addressing", "other=1, dest=0")
	if resp, text := do(t, r); resp.StatusCode != http.StatusAccepted {
		t.Fatalf("m1 is answered %s: %s", resp.Status, text)
	}
	if c := e.NextCall(t); c.ID != "m1" || c.Key != "key-m1" || c.Body != body {
		t.Errorf("the endpoint got ID %s, key %s and a body of %d bytes", c.ID, c.Key, len(c.Body))
	}
}

// Guards against special treatment of spaces and commas in the names of classes and tenants: the settings may contain
// any name.
func TestNamesMayContainBlanksAndCommas(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.AnswerStatus(200))
	agent := st.NewAgent(t, e.Addr)
	text := st.Config(agent, t.TempDir())
	settings := text["settings"].(map[string]any)
	settings["services"].([]any)[1].(map[string]any)["name"] = "order, new"
	settings["orgs"].([]any)[0].(map[string]any)["name"] = "acme & sons"
	raw, err := json.Marshal(text)
	if err != nil {
		t.Fatal(err)
	}
	addr := startSender(t, agent, func(c *config.Config) {
		parsed, err := config.Parse(raw)
		if err != nil {
			t.Fatal(err)
		}
		*c = *parsed
	})
	r := st.Request(t, addr, "m", "order, new", 0, 5*time.Second, "x")
	r.Header.Set("X-Tenant", "acme & sons")
	if resp, text := do(t, r); resp.StatusCode != http.StatusAccepted {
		t.Fatalf("m is answered %s: %s", resp.Status, text)
	}
	if c := e.NextCall(t); c.ID != "m" {
		t.Errorf("the endpoint got %s", c.ID)
	}
}

// Guards against sending a message that cannot be stored. It is rejected first, and the response states when the client
// may retry.
func TestMessagesOverTheLimitAreRejected(t *testing.T) {
	t.Parallel()
	for name, edit := range map[string]func(*config.Config){
		"message limit": func(c *config.Config) { c.Settings.MaxPendingMessages = 3 },
		"disk":          func(c *config.Config) { c.Limits.DiskMB = 0.012 },
	} {
		e := st.NewEndpoint(t, st.NeverAnswer)
		addr := startSender(t, st.NewAgent(t, e.Addr), edit)
		rejected := false
		for i := 0; i < 20 && !rejected; i++ {
			resp, _ := do(t, st.Request(t, addr, "m"+strconv.Itoa(i), "safe", 0, 15*time.Second, "body"))
			switch resp.StatusCode {
			case http.StatusAccepted:
			case http.StatusServiceUnavailable:
				rejected = true
				if wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err != nil || wait != 2 {
					t.Errorf("%s: Retry-After is %q, want 2 s", name, resp.Header.Get("Retry-After"))
				}
			default:
				t.Fatalf("%s: a message is answered %s", name, resp.Status)
			}
			if i == 0 && rejected {
				t.Errorf("%s: the first message is rejected", name)
			}
		}
		if !rejected {
			t.Errorf("%s: no message is rejected", name)
		}
	}
}

// Guards against clients that wait until the deadline for a message that the dispatcher has given up. Its end is
// announced at once: in the response, or, if the client already has one, by a notice, which is repeated until discovery
// accepts it.
func TestGivenUpMessageEndsAtOnce(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.AnswerStatus(500))
	agent := st.NewAgent(t, e.Addr)
	agent.SetNoticesUnavailable(true)
	addr := startSender(t, agent, nil)
	resp, _ := do(t, st.Request(t, addr, "late", "safe", 0, 0, ""))
	if resp.StatusCode != http.StatusInternalServerError {
		t.Errorf("a message whose deadline has passed is answered %s, want 500", resp.Status)
	}
	began := time.Now()
	st.Submit(t, addr, "doubt", "unsafe", 0, 19*time.Second)
	e.NextCall(t)
	agent.SetNoticesUnavailable(false)
	if n := st.Receive(t, agent.Notices); n.Message != "doubt" || n.Outcome != "given_up" {
		t.Errorf("notice %+v, want that message doubt is given up", n)
	}
	if took := time.Since(began); took > 10*time.Second {
		t.Errorf("the notice was delivered after %v", took)
	}
	if len(e.Calls) != 0 {
		t.Error("an unsafe message that may have run was sent again")
	}
}

// Guards against clients that never learn the end of a message. By the client's clock, a message that is delivered just
// before its deadline may be late, and then the client expects a notice. So a notice is sent, and none of a message
// that was delivered well before its deadline.
func TestDeliveryNearTheDeadlineIsNotified(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.AnswerStatus(200))
	agent := st.NewAgent(t, e.Addr)
	addr := startSender(t, agent, nil)
	st.Submit(t, addr, "early", "safe", 0, 20*time.Second)
	e.NextCall(t)
	st.Submit(t, addr, "close", "safe", 0, deliveryMargin-10*time.Millisecond)
	if n := st.Receive(t, agent.Notices); n.Message != "close" || n.Outcome != "given_up" {
		t.Errorf("notice %+v, want that message close is given up", n)
	}
	if len(agent.Notices) > 0 {
		t.Errorf("unexpected second notice: %+v", <-agent.Notices)
	}
}

// Guards against clients that do not learn when to retry a returned message: the end of a message that the dispatcher
// rejects after it was accepted is announced by a notice with the time to wait, or by a 503 with a Retry-After if the
// message has no response yet.
func TestReturnedMessageIsNotified(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.NeverAnswer)
	agent := st.NewAgent(t, e.Addr)
	addr := startSender(t, agent, func(c *config.Config) { c.Settings.MaxPendingMessages = 20 })
	for i := range 20 { // the dispatcher sheds load from 95% on
		resp, body := do(t, st.Request(t, addr, "m"+strconv.Itoa(i), "safe", 0, 15*time.Second, ""))
		if resp.StatusCode != http.StatusAccepted && resp.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("a message is answered %s: %s", resp.Status, body)
		}
		if resp.StatusCode == http.StatusServiceUnavailable {
			if resp.Header.Get("Retry-After") != "2.000" {
				t.Errorf("Retry-After is %q, want 2.000", resp.Header.Get("Retry-After"))
			}
			return
		}
	}
	if n := st.Receive(t, agent.Notices); n.Outcome != "handed_back" || n.RetryMS != 2000 {
		t.Errorf("notice %+v, want handed_back and 2000 ms", n)
	}
}

// Guards against calls to a destination during the pause that its Retry-After asks for.
func TestRetryAfterDelaysCalls(t *testing.T) {
	t.Parallel()
	var first atomic.Bool
	rejected := make(chan time.Time, 1)
	e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		if first.CompareAndSwap(false, true) {
			rejected <- time.Now()
			return st.AnswerStatus(429, "X-RateLimit-Wait-Ms: 700")(c, nc)
		}
		return st.AnswerStatus(200)(c, nc)
	})
	addr := startSender(t, st.NewAgent(t, e.Addr), nil)
	st.Submit(t, addr, "a", "keyed", 0, 15*time.Second)
	e.NextCall(t)
	from := st.Receive(t, rejected)
	st.Submit(t, addr, "b", "keyed", 0, 15*time.Second)
	e.NextCall(t)
	if waited := time.Since(from); waited < 700*time.Millisecond {
		t.Errorf("the next call is sent %v after a Retry-After of 700 ms", waited)
	}
}
