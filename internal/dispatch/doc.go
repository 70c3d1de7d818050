// Package dispatch makes a sender's decisions: which message is sent when and to which endpoint, how long
// an attempt may take, whether it is retried, and when a message is rejected or failed.
//
// It owns all state that decisions depend on: the pending messages and their attempts in flight, the key
// queues of ordered messages, the endpoint list, and what was learnt of each destination (latency,
// failures, rate limit, outages). It does no I/O, reads no clock and starts no goroutine. Its callers are
// the sender's event loop and the simulator's adapter.
//
// A sender makes one Dispatcher with New and passes its events to Step in batches. Step handles all events of
// a batch, then decides once, and returns the actions in the order in which the caller must carry them out.
// The caller passes the time to Step: it may start at any value and never goes back. A Dispatcher is
// deterministic: its only source of randomness is its seed, so the same events give the same actions. It is
// not safe for concurrent use; separate Dispatchers share no state. The caller owns what it passes in and
// what it gets back.
//
// Snapshot and Restore pass what a Dispatcher has learnt to its successor in another process of the same
// sender.
package dispatch
