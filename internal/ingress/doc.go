// Package ingress accepts messages from clients over HTTP.
//
// A Server owns the clients' listener, their connections and the parsing of requests. It hands each complete request to
// the event loop as a Submission, and the request's handler waits for the loop's Response. The event loop
// (internal/sender) starts the server and stops it in three steps: Drain, Finish, Close.
//
// Anyone may connect, so what peers can make the process hold is bounded: slots limit the connections (slots.go), a
// budget the memory of requests that are not answered yet (memory.go), and heads are parsed only when they are complete
// and not too long (requesthead.go). Where a slot or memory is needed, connections are evicted (eviction.go): among
// others those of peers that send nothing, stop in the middle of a request, do not read their responses or send too
// fast (pacer.go). A peer that sends no complete request is closed within 3 s of its connection in any case, and its
// time in the listener's queue counts. A request that was read completely always gets its response, even if its
// connection is evicted or the process stops.
package ingress
