package sender

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/clock"
	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/endpointlist"
	"onyxdyke.example/onyxdyke/internal/journal"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// Guards against calls to endpoints that have drained or were removed. While discovery does not respond, a restarted
// sender uses the latest list that the earlier process received, which the journal holds, and not the older one in the
// configuration: the endpoint that drains or is gone gets no calls, and the one that was added instead does.
func TestRestartUsesTheLastKnownListWhileDiscoveryIsSilent(t *testing.T) {
	t.Parallel()
	for name, state := range map[string]string{"draining": "DRAINING", "gone": "DELETED"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			old, kept := st.NewEndpoint(t, st.AnswerStatus(200)), st.NewEndpoint(t, st.AnswerStatus(200))
			fresh := st.NewEndpoint(t, st.AnswerStatus(200))
			agent := st.NewAgent(t, old.Addr, kept.Addr)
			directory := t.TempDir()
			var known endpointlist.Update
			first := startSenderIn(t, OperatingSystem(), agent, func(c *config.Config) {
				c.State, known = directory, c.EndpointList
			})
			agent.UpdateList(st.ListEntry("s-0", old.Addr, 0, state))
			agent.UpdateList(st.ListEntry("s-2", fresh.Addr, 0, "SERVING"))
			st.Submit(t, first.addr, "before", "unsafe", 0, 15*time.Second)
			for applied, n := false, 0; !applied; n++ {
				select {
				case <-old.Calls:
					st.Submit(t, first.addr, "again"+strconv.Itoa(n), "unsafe", 0, 15*time.Second)
				case <-fresh.Calls:
					applied = true
				case <-time.After(st.Timeout):
					t.Fatal("the message is sent to neither endpoint")
				}
			}
			first.stop()
			second := startSenderIn(t, OperatingSystem(), agent, func(c *config.Config) {
				c.State, c.EndpointList, c.Discovery = directory, known, silentAddress(t)
			})
			for _, id := range []string{"a", "b", "c"} {
				st.Submit(t, second.addr, id, "unsafe", 0, 15*time.Second)
			}
			st.Submit(t, second.addr, "other", "unsafe", 1, 15*time.Second)
			kept.NextCall(t)
			for range 3 {
				select {
				case call := <-fresh.Calls:
					t.Log(call.ID, "is sent to the new endpoint")
				case call := <-old.Calls:
					t.Fatalf("message %s is sent to the old endpoint, which accepts no more calls", call.ID)
				case <-time.After(3 * time.Second):
					t.Fatal("no message is sent to the new endpoint")
				}
			}
		})
	}
}

// awaitWatch waits until the sender requests the changes of the list after a version.
func awaitWatch(t *testing.T, agent *st.Agent, version int) {
	t.Helper()
	for !strings.HasPrefix(st.Receive(t, agent.ListRequests), "after="+strconv.Itoa(version)+"&") {
	}
}

// forEachListMode runs a test with a list that the dispatcher polls, and with one that is pushed. Over sockets the
// sender watches the list in both modes.
func forEachListMode(t *testing.T, test func(t *testing.T, edit func(*config.Config))) {
	t.Parallel()
	for name, polled := range map[string]bool{"on request": true, "pushed": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(t, func(c *config.Config) { c.Settings.PollsEndpointList = polled })
		})
	}
}

func TestDrainingEndpointGetsNoCalls(t *testing.T) { forEachListMode(t, testDrain) }

func testDrain(t *testing.T, edit func(*config.Config)) {
	old, other := st.NewEndpoint(t, st.AnswerStatus(200)), st.NewEndpoint(t, st.AnswerStatus(200))
	agent := st.NewAgent(t, old.Addr)
	addr := startSender(t, agent, edit)
	st.Submit(t, addr, "a", "keyed", 0, 15*time.Second)
	old.NextCall(t)
	awaitWatch(t, agent, 1)
	agent.UpdateList(st.ListEntry("s-0", old.Addr, 0, "DRAINING"))
	awaitWatch(t, agent, 2)
	st.Submit(t, addr, "b", "keyed", 0, 15*time.Second)
	agent.UpdateList(st.ListEntry("s-9", other.Addr, 0, "SERVING"))
	if c := other.NextCall(t); c.ID != "b" {
		t.Errorf("the new endpoint got %s, want b", c.ID)
	}
	if len(old.Calls) != 0 {
		t.Error("the draining endpoint got a call")
	}
}

// Guards against a discovery outage that stops deliveries. While discovery fails, the sender uses the list that it has.
// After the outage it requests the full list, because it has missed changes, and watches the list from that version on.
func TestDiscoveryOutageKeepsTheKnownList(t *testing.T) { forEachListMode(t, testDiscoveryOutage) }

func testDiscoveryOutage(t *testing.T, edit func(*config.Config)) {
	e, other := st.NewEndpoint(t, st.AnswerStatus(200)), st.NewEndpoint(t, st.AnswerStatus(200))
	agent := st.NewAgent(t, e.Addr)
	addr := startSender(t, agent, edit)
	awaitWatch(t, agent, 1)
	agent.SetListUnavailable(true)
	for st.Receive(t, agent.ListRequests) != "" { // until the sender requests the full list, which fails
	}
	st.Submit(t, addr, "a", "keyed", 0, 15*time.Second)
	e.NextCall(t)
	agent.UpdateList(st.ListEntry("s-0", other.Addr, 0, "SERVING"))
	agent.SetListUnavailable(false)
	awaitWatch(t, agent, 2)
	st.Submit(t, addr, "b", "keyed", 0, 15*time.Second)
	if c := other.NextCall(t); c.ID != "b" {
		t.Errorf("the new address got %s", c.ID)
	}
}

// Guards against an outdated list: after an outage of discovery a watch may never be answered. The watch times out, and
// the sender requests the list again within 6 s, before it sends many messages to endpoints that are gone.
func TestUnansweredWatchIsRepeated(t *testing.T) { forEachListMode(t, testUnansweredWatch) }

func testUnansweredWatch(t *testing.T, edit func(*config.Config)) {
	e, other := st.NewEndpoint(t, st.AnswerStatus(200)), st.NewEndpoint(t, st.AnswerStatus(200))
	agent := st.NewAgent(t, e.Addr)
	addr := startSender(t, agent, edit)
	awaitWatch(t, agent, 1)
	agent.LoseWatches()
	began := time.Now()
	agent.UpdateList(st.ListEntry("s-0", other.Addr, 0, "SERVING"))
	awaitWatch(t, agent, 2)
	if took := time.Since(began); took > 6*time.Second {
		t.Errorf("the new list was received after %v", took)
	}
	st.Submit(t, addr, "a", "keyed", 0, 15*time.Second)
	if c := other.NextCall(t); c.ID != "a" {
		t.Errorf("the new address got %s", c.ID)
	}
}

// Guards against sending a resumed message to an endpoint that has drained. The list in the configuration may be older
// than the one that the earlier process knew, so the sender waits for a response of discovery before it sends.
func TestResumedMessageAvoidsADrainedEndpoint(t *testing.T) {
	t.Parallel()
	old, other := st.NewEndpoint(t, st.AnswerStatus(200)), st.NewEndpoint(t, st.AnswerStatus(200))
	agent := st.NewAgent(t, old.Addr)
	agent.UpdateList(st.ListEntry("s-0", old.Addr, 0, "DRAINING"))
	agent.UpdateList(st.ListEntry("s-1", other.Addr, 0, "SERVING"))
	startSender(t, agent, func(c *config.Config) {
		serving := endpointlist.Endpoint{ID: "s-0", Addr: old.Addr, State: "SERVING", Zone: "a", Kind: "plain"}
		c.EndpointList = endpointlist.Update{Version: 1, Full: true, Endpoints: []endpointlist.Endpoint{serving}}
		j := openJournal(t, c.State)
		deadline := clock.New(time.Now()).Now() + 15*time.Second
		record := journal.Record{ID: "m", Class: "keyed", Key: "k", Tenant: "acme", Deadline: deadline}
		if _, err := j.Accept(record); err != nil {
			t.Fatal(err)
		}
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
	})
	if c := other.NextCall(t); c.ID != "m" {
		t.Errorf("the new endpoint got %s, want m", c.ID)
	}
	if len(old.Calls) != 0 {
		t.Error("the drained endpoint got a call")
	}
}
