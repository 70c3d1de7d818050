// Package sender is the event loop that joins the other packages to a message sender.
//
// A Sender owns the messages in memory, the journal, the dispatcher and the lock on the state directory. All of these
// belong to one goroutine, the one that runs Sender.Run: other goroutines (the clients' server, calls to endpoints,
// discovery, the link to another process) post an event, and the loop handles it.
//
// The loop works in steps (loop.go, dispatch.go): it takes the events that wait, translates them for the dispatcher,
// appends the dispatcher's actions to the journal, flushes it, announces to clients what is now on disk, and only
// then carries the actions out.
//
// Run starts, serves, drains and stops (run.go, shutdown.go). An upgrade hands the ownership to a successor between
// two steps (upgrade.go, handover.go, forwarding.go). RunProcess is a sender as a process of its own; cmd/sender and
// the emulator call it.
package sender
