// Package dispatch makes a sender's decisions: which message is sent when and to which endpoint, how long
// an attempt may take, whether it is retried, and when a message is rejected or failed.
//
// It owns all state that decisions depend on: the pending messages and their attempts in flight, the key
// queues of ordered messages, the endpoint list, and what was learnt of each destination (latency,
// failures, rate limit, outages). It does no I/O, reads no clock and starts no goroutine. Its callers are
// the sender's event loop and the simulator's adapter.
//
// A sender makes one Dispatcher with New and calls Step with every batch of events. Step takes in all
// events, then decides once, and returns the actions in the order in which they are to be carried out. The
// time is the batch's: it may start anywhere and never goes back. A Dispatcher is deterministic: it draws
// randomness from its seed only, so the same events give the same actions. It is not for concurrent use;
// separate Dispatchers share nothing. The caller owns what it passes in and what it gets back.
//
// Snapshot and Restore hand what a Dispatcher has learnt to its successor in another process of the same
// sender.
package dispatch
