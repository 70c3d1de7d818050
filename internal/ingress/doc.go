// Package ingress accepts messages from clients over HTTP.
//
// A Server owns the clients' listener, their connections and the parsing of requests. Each complete request becomes a
// Submission, which is handed to the event loop, and its handler waits for the loop's Response. The event loop
// (internal/sender) starts the server, and ends it in three steps: Drain, Finish, Close.
//
// Anyone may connect. A peer that says nothing or stops half-way loses its place, or its descriptor where the process
// has no other, and is closed within 3 s of its connection, the time in the listener's queue included. But a request
// that was read completely always gets its response, also where its connection makes room or the process ends.
package ingress
