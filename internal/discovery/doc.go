// Package discovery is the client of the platform: it follows the endpoint list and delivers notices of how messages
// ended.
//
// Callers. The sender's event loop creates one Client. It starts Follow and DeliverNotices once, each on its own
// goroutine, which ends with the context that it is given. The signal handler calls Move when a new configuration
// has another address. The event loop and the signal handler do not share state. Follow and DeliverNotices return
// results by calling the functions that are passed to them, on their own goroutines, which these functions may block.
//
// Owners of state. The watcher belongs to the goroutine of Follow and the notifier to that of DeliverNotices; neither
// has a lock. Three parts are shared, each with a mutex of its own: platformState (the platform's address, and the
// time at which its changes take effect), connectionReserve and endpointListLease. Only one lock is ever taken while
// another one is held: that of connectionReserve while that of platformState is held.
//
// Further goroutines. Each request of a hedged call has a goroutine, which ends when the call returns and cancels its
// requests. The reserve of connections is refilled on a goroutine that ends when the reserve is complete or soon after
// Close. Nothing waits for these goroutines: the next call of a watch must be sent at once, and a socket that cannot be
// opened must not delay a stop. The lease starts a timer that does nothing if the list is fresh by then.
//
// Terms. An agent on the sender's own machine answers for the platform. A call with a version is a long poll: the agent
// holds it until there is a newer version or its wait time is over. A watch is a sequence of long polls without a gap.
// A change takes effect for the sender at the time at which the protocol assumes that the sender knows it, whether or
// not the answer with the change has arrived. From then on, the sender is responsible for calls that violate it.
package discovery
