// Package sender implements a message sender: it holds the event loop that connects the other packages.
//
// A Sender owns the messages in memory, the journal, the dispatcher and the lock on the state directory. All of these
// belong to one goroutine, the one that runs Sender.Run: other goroutines (the clients' server, calls to endpoints,
// discovery, the link to another process) post an event, and the loop handles it.
//
// The loop works in steps (loop.go, dispatch.go): it takes the queued events, translates them for the dispatcher,
// appends the dispatcher's actions to the journal, flushes the journal, announces to clients what is now on disk, and
// only then executes the actions.
//
// Run starts, serves, drains and stops (run.go, shutdown.go). An upgrade hands the ownership to a successor between
// two steps (upgrade.go, handover.go, peer.go, forwarding.go). RunProcess runs a sender as a process of its own;
// cmd/sender and the emulator call it.
package sender
