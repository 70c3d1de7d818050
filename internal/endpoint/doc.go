// Package endpoint makes calls to endpoints and manages the connections to them.
//
// The event loop owns the list of endpoints and decides with the dispatcher to which endpoint each message is sent. It
// hands each call to a Pool, which reports the outcome for each message of the call. A Pool owns the connections: it
// opens, keeps and closes them, and writes one request at a time on each.
//
// The package writes and reads HTTP itself rather than through http.Transport. Whether a call may have run depends on
// whether its last byte was written, which the Transport does not report reliably, and the Transport repeats a request
// on its own when a reused connection breaks. Here one call is one write.
package endpoint
