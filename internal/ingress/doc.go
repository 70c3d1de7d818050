// Package ingress accepts messages from clients over HTTP.
//
// A Server owns the clients' listener, their connections and the parsing of requests. It hands each complete request to
// the event loop as a Submission, and the request's handler waits for the loop's Response. The event loop
// (internal/sender) starts the server and stops it in three steps: Drain, Finish, Close.
//
// Anyone may connect. A peer that sends nothing or stops in the middle of its request may be evicted to free a slot for
// another connection, or a descriptor if the process has none left. Such a peer is closed within 3 s of its connection
// in any case, and its time in the listener's queue counts. A request that was read completely always gets its
// response, even if its connection is evicted or the process stops.
package ingress
