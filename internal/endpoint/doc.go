// Package endpoint makes calls to endpoints and keeps the connections to them.
//
// The event loop owns the list of endpoints and decides with the dispatcher which message goes where; it hands each
// call to a Pool, which reports how the call ended for each of its messages. A Pool owns the connections: it opens,
// keeps and closes them, and writes one request at a time on each.
//
// Calls are written and read here rather than through http.Transport: whether a call may have run depends on whether
// its last byte was written, which the Transport cannot tell for sure, and it repeats a request by itself when a
// reused connection breaks. Here one call is one write.
package endpoint
