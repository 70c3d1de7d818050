// Package sendertest provides stand-ins for the peers of a sender, for tests that run a single sender: Agent stands in
// for the platform's agent, which serves the endpoint list and accepts notices; Endpoint stands in for an endpoint and
// answers calls by a handler that the test passes; Request, SendRequest and Submit submit messages as a client does.
// Config returns a configuration for the sender itself. The stand-ins listen on loopback addresses, on ports that the
// operating system chooses, and are shut down when the test ends.
//
// Tests of several packages use it, among them those of internal/sender and cmd/sender. The package emulator has
// stand-ins of its own, which follow a plan of faults.
package sendertest

import (
	"testing"
	"time"
)

// Timeout is how long a test waits for an expected event before it fails.
const Timeout = 20 * time.Second

// queueSize is the capacity of the channels on which a test receives calls, notices and list requests. A stand-in
// blocks while its channel is full.
const queueSize = 1000

// Receive returns the next value of a channel. It fails the test if no value arrives within Timeout.
func Receive[T any](t testing.TB, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(Timeout):
		t.Fatal("timed out waiting for a value")
		panic("unreachable")
	}
}
