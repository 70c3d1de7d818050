package emulator

import (
	"testing"
	"time"
)

// The tests of this file perform runs with fixed plans instead of drawn ones. In each, something that senders need is
// unavailable for some time: the agent, sockets, files or descriptors.

// allSenders returns the numbers of all senders of a test's run.
func allSenders() []int {
	all := make([]int, testSenders)
	for i := range all {
		all[i] = i
	}
	return all
}

// drainAfterSilence returns a plan in which the agents of all senders are silent for a span and learn at its end that
// the endpoints of a destination drain.
func drainAfterSilence(from, until time.Duration, destination int) []Fault {
	return []Fault{
		{Kind: DiscoverySilent, From: from, Until: until, Senders: allSenders()},
		{Kind: EndpointsReplaced, From: until - 100*time.Millisecond, Until: until, Destination: destination},
	}
}

// A sender honours a drain that its agent learns at the end of a silence. The drain takes effect at once, and the
// sender may call the endpoints for 500 ms more. The agent never answers requests from before the end of the silence,
// so a sender that makes no new request soon after it does not learn of the drain in time.
func TestDrainsAtTheEndOfASilenceAreHonoured(t *testing.T) {
	t.Parallel()
	for name, length := range map[string]time.Duration{
		"long":     5 * time.Second,
		"short":    1500 * time.Millisecond,
		"a moment": 300 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var plan []Fault
			from := 1500 * time.Millisecond
			for destination := range 3 {
				plan = append(plan, drainAfterSilence(from, from+length, destination)...)
				from += length + time.Second
			}
			runAndCheck(t, Options{Seed: 28, LoadDuration: from + time.Second, Plan: plan})
		})
	}
}

// runDrainsWhilePollingFails performs a run with three drains. Each happens during one fault that loses list updates
// and another one that prevents polling.
func runDrainsWhilePollingFails(t *testing.T, losesUpdates, preventsPolling FaultKind) {
	t.Helper()
	const pollingFailsFor = 1900 * time.Millisecond
	var plan []Fault
	drain := 2500 * time.Millisecond
	for destination := range 3 {
		pollingFails := drain - 510*time.Millisecond
		plan = append(plan, Fault{
			Kind:    losesUpdates,
			From:    drain - 500*time.Millisecond,
			Until:   drain + 200*time.Millisecond,
			Senders: allSenders(),
		}, Fault{
			Kind:    preventsPolling,
			From:    pollingFails,
			Until:   pollingFails + pollingFailsFor,
			Senders: allSenders(),
		}, Fault{
			Kind:        EndpointsReplaced,
			From:        drain - 300*time.Millisecond,
			Until:       drain,
			Destination: destination,
		})
		drain += 3 * time.Second
	}
	runAndCheck(t, Options{Seed: 28, LoadDuration: drain, Plan: plan})
}

// A sender that cannot poll its agent does not know whether the list has changed. It makes no calls by a list that may
// be stale; otherwise it would call endpoints that drain. It cannot poll because its machine cannot open a socket or a
// file for a moment.
func TestDrainsAreHonouredWhileTheAgentCannotBePolled(t *testing.T) {
	t.Parallel()
	for name, kinds := range map[string]struct{ losesUpdates, preventsPolling FaultKind }{
		"silence, no connects":      {DiscoverySilent, ConnectFails},
		"lost watch, no connects":   {WatchesLost, ConnectFails},
		"new address, no open file": {SendersReloaded, OpenFails},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runDrainsWhilePollingFails(t, kinds.losesUpdates, kinds.preventsPolling)
		})
	}
}

// A sender that cannot poll its agent because its descriptors are exhausted makes no calls by a list that may be stale,
// either. This is a test of its own because clients cannot be accepted while descriptors are exhausted.
func TestDrainsAreHonouredWhileDescriptorsAreExhausted(t *testing.T) {
	t.Parallel()
	runDrainsWhilePollingFails(t, DiscoverySilent, DescriptorsExhausted)
}

// A sender ends its messages in time even if its machine cannot open a socket for a moment just when a new
// configuration moves the agent. Its connections to the agent's old address stay open for 1.5 s, so it can still send
// notices on them.
func TestNoticesArriveWhileTheNewAddressCannotBeReached(t *testing.T) {
	t.Parallel()
	var plan []Fault
	for from := 2 * time.Second; from < 12*time.Second; from += 3 * time.Second {
		plan = append(plan, Fault{
			Kind:    SendersReloaded,
			From:    from,
			Until:   from + time.Millisecond,
			Senders: allSenders(),
		}, Fault{
			Kind:    ConnectFails,
			From:    from - 10*time.Millisecond,
			Until:   from + time.Second,
			Senders: allSenders(),
		})
	}
	runAndCheck(t, Options{Seed: 29, LoadDuration: 12 * time.Second, Plan: plan})
}

// A process that takes over from its predecessor ends its messages in time even if its machine cannot open a socket for
// a moment during the upgrade, so that the process cannot connect to the agent to send notices.
func TestNoticesArriveAfterAnUpgradeWhileNoSocketCanBeOpened(t *testing.T) {
	t.Parallel()
	var plan []Fault
	for from := 2 * time.Second; from < 12*time.Second; from += 3 * time.Second {
		plan = append(plan, Fault{
			Kind:    SendersUpgraded,
			From:    from,
			Until:   from + time.Millisecond,
			Senders: allSenders(),
		}, Fault{
			Kind:    ConnectFails,
			From:    from - 200*time.Millisecond,
			Until:   from + 1200*time.Millisecond,
			Senders: allSenders(),
		})
	}
	runAndCheck(t, Options{Seed: 30, LoadDuration: 12 * time.Second, Plan: plan})
}

// A sender answers or disconnects the peers of a connection flood in time even if it cannot open any further descriptor
// for a moment at the start of the flood.
func TestPeersAreReleasedInTimeWhileDescriptorsAreExhausted(t *testing.T) {
	t.Parallel()
	affectedSenders := []int{0, 1, 2}
	runAndCheck(t, Options{Seed: 31, LoadDuration: 8 * time.Second, Plan: []Fault{
		{Kind: DescriptorsExhausted, From: 2 * time.Second, Until: 3500 * time.Millisecond, Senders: affectedSenders},
		{Kind: ConnectionFlood, From: 2200 * time.Millisecond, Until: 6 * time.Second, Senders: affectedSenders},
	}})
}
