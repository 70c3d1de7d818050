package emulator

import (
	"testing"
	"time"
)

// The tests of this file play plans by hand, each for one case in which a sender cannot reach what it needs: discovery,
// sockets or descriptors.

// allSenders is the numbers of all senders of a test.
func allSenders() []int {
	all := make([]int, testSenders)
	for i := range all {
		all[i] = i
	}
	return all
}

// drainAfterSilence is a plan in which the agents of all senders are silent for a span, and learn at its end that the
// endpoints of a destination drain.
func drainAfterSilence(from, until time.Duration, destination int) []Fault {
	return []Fault{
		{Kind: DiscoverySilent, From: from, Until: until, Senders: allSenders()},
		{Kind: EndpointsReplaced, From: until - 100*time.Millisecond, Until: until, Destination: destination},
	}
}

// What an agent learns at the end of a silence binds its sender at once, and a drain leaves 500 ms. No earlier request
// is answered any more then, so only one that is made soon after can bring the change.
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
			playRun(t, Options{Seed: 28, LoadDuration: from + time.Second, Plan: plan})
		})
	}
}

// playDrainsWhilePollingFails plays three drains, each in the middle of one fault that loses list updates and
// another one that prevents polling.
func playDrainsWhilePollingFails(t *testing.T, losesUpdates, preventsPolling FaultKind) {
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
	playRun(t, Options{Seed: 28, LoadDuration: drain, Plan: plan})
}

// A sender that cannot poll its agent, as its machine cannot open a socket for a moment, does not know whether the
// list has changed: it calls nobody by a list that may be stale.
func TestDrainsAreHonouredWhileTheAgentCannotBePolled(t *testing.T) {
	t.Parallel()
	for name, kinds := range map[string]struct{ losesUpdates, preventsPolling FaultKind }{
		"silence, no connects":      {DiscoverySilent, ConnectFails},
		"lost watch, no connects":   {WatchesLost, ConnectFails},
		"new address, no open file": {SendersReloaded, OpenFails},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playDrainsWhilePollingFails(t, kinds.losesUpdates, kinds.preventsPolling)
		})
	}
}

// The same when descriptors are exhausted. It stands alone as clients cannot be accepted then, either.
func TestDrainsAreHonouredWhileDescriptorsAreExhausted(t *testing.T) {
	t.Parallel()
	playDrainsWhilePollingFails(t, DiscoverySilent, DescriptorsExhausted)
}

// A sender whose machine cannot open a socket for a moment, just as a new configuration moves discovery, still ends
// its messages in time: connections at the old address stay open for 1.5 s.
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
	playRun(t, Options{Seed: 29, LoadDuration: 12 * time.Second, Plan: plan})
}

// A process that takes over while its machine cannot open a socket for a moment still ends its messages in time.
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
	playRun(t, Options{Seed: 30, LoadDuration: 12 * time.Second, Plan: plan})
}

// A peer that connects amid a connection flood is released in time also while the sender may open no further descriptor
// for a moment.
func TestPeersAreReleasedInTimeWhileDescriptorsAreExhausted(t *testing.T) {
	t.Parallel()
	affected := []int{0, 1, 2}
	playRun(t, Options{Seed: 31, LoadDuration: 8 * time.Second, Plan: []Fault{
		{Kind: DescriptorsExhausted, From: 2 * time.Second, Until: 3500 * time.Millisecond, Senders: affected},
		{Kind: ConnectionFlood, From: 2200 * time.Millisecond, Until: 6 * time.Second, Senders: affected},
	}})
}
