package main

import (
	"strings"
	"syscall"
	"testing"
	"time"
)

// overlapTime is how long a predecessor is left to run beside its successor after SIGTERM at most.
const overlapTime = 3700 * time.Millisecond

// upgrade starts a successor beside old, ends old once the successor is healthy, and waits until it has ended.
func (s *limitedSender) upgrade(t *testing.T, old *process) *process {
	t.Helper()
	next := s.start(t)
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	killer := time.AfterFunc(overlapTime, func() { _ = old.Process.Kill() })
	defer killer.Stop()
	_ = old.Wait()
	return next
}

// Guards against two processes that exceed the limits of the sender together while a crowd is there: each took the
// whole for itself, and the predecessor kept its clients' connections until they timed out. Clients must still be
// served.
func TestUpgradesInCrowdsKeepTheSenderWithinItsLimits(t *testing.T) {
	forEachCrowd(t, false, func(t *testing.T, sender *limitedSender, kinds []crowdKind) {
		old := sender.start(t)
		clients := startGoodClients(t, sender.addr, strings.Repeat("s", 32<<10))
		crowd := startCrowd(sender.addr, sender.limits.descriptors, kinds...)
		time.Sleep(crowdTime)
		sender.upgrade(t, old)
		time.Sleep(crowdTime)
		clients.check(t)
		crowd.leave()
	})
}
