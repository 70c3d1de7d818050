// Package discovery is the client of the platform: it follows the endpoint list and delivers notices of how messages
// ended.
//
// Callers. The sender's event loop makes one Client. It starts Follow and DeliverNotices once, each on a goroutine of
// its own, which ends with the context that it is given. The listener of signals calls Move when a new configuration
// names another address. Neither knows the other's state; results come back by the functions that Follow and
// DeliverNotices take, which are called on these goroutines and may block them.
//
// Owners of state. The watcher belongs to Follow's goroutine and the notifier to that of DeliverNotices; neither has
// a lock. Three parts are shared, each with a mutex of its own: platformState (the platform's address, and by when
// its changes bind), connectionReserve and endpointListLease. Only one lock is ever taken with another one held:
// that of connectionReserve under that of platformState.
//
// Further goroutines. Each request of a hedged call has a goroutine, which ends when the call returns and cancels its
// requests. The reserve of connections is refilled on a goroutine that ends with the first success or soon after Close.
// Nobody waits for these, so that the next call of a watch goes out at once, and a stop is not held up by a socket
// that cannot be had. The lease starts a timer that does nothing once the list is fresh.
//
// Terms. An agent on the sender's own machine answers for the platform. A call with a version is a long poll: it is
// held until there is a newer version or its wait is over. Long polls that follow one another without a gap are a
// watch. A change binds the sender from the moment in which the protocol takes it to be known here, whether the
// answer that carries it has arrived or not: the sender is then judged by it.
package discovery
