// Package sendertest holds stand-ins for what a sender talks to, for tests of one sender: Agent is discovery with
// its notices, Endpoint answers calls as a test scripts it, and the functions around Request submit messages as a
// client. All of it listens on loopback addresses at ports that the system chooses, and ends with the test.
//
// It is called by the tests of internal/sender and cmd/sender. The package emulator has stand-ins of its own, which
// follow a plan of faults.
package sendertest

import (
	"testing"
	"time"
)

// Timeout is how long a test waits for an event that should come.
const Timeout = 20 * time.Second

// queueSize is how many calls, notices or list requests a stand-in keeps until the test receives them.
const queueSize = 1000

// Receive waits for a value, and fails the test if none comes.
func Receive[T any](t testing.TB, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(Timeout):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}
