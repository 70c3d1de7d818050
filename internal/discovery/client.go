package discovery

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"time"

	"onyxdyke.example/onyxdyke/internal/metrics"
)

const (
	// The platform behind the agents may be overloaded after a release, because it serves all senders of the deployment
	// one after another. It needs serviceTimePerSender for each. Up to maxUncontendedSenders do not have to queue.
	serviceTimePerSender  = 300 * time.Millisecond
	maxUncontendedSenders = 4
	// maxQueueTime bounds the estimate of the time that the platform needs to serve all senders.
	maxQueueTime = 4 * changeEffectiveAfter

	// If there are many senders, each delays its first call by a random time. The delay is short, because the list that
	// the agent holds is in effect for a new process from its start, and a drain has a grace period of only 0.5 s.
	maxInitialDelay       = 200 * time.Millisecond
	initialDelayPerSender = serviceTimePerSender / 6

	dialTimeout = 1 * time.Second // limit for opening a connection to the platform
	// maxDiscardedBytes bounds how much of a body is read only to make its connection reusable.
	maxDiscardedBytes = 64 << 10
	// maxResponseHead is the maximum size of the head of a response with a list, in bytes.
	maxResponseHead = 16 << 10
)

// Reasons by which calls to the platform are counted, with metrics.ReasonDiscovery.
const (
	ReasonHedged   = "hedged"  // a further request was sent while an earlier one was unanswered
	ReasonRejected = "refused" // the platform answered with something other than the list
	ReasonSilent   = "silent"  // the first request of a call timed out
	ReasonMoved    = "moved"   // the platform moved to another address
	ReasonStale    = "stale"   // no call could be made for longer than the duration of the lease

	ReasonNoticesOverdue = "notices_overdue" // a post of notices was not answered in time
)

// StaleFunc is called when the endpoint list becomes stale, and when it becomes fresh again. It may be called on
// several goroutines.
type StaleFunc func(stale bool)

// Options configure a Client.
type Options struct {
	Address string // of the platform, host and port
	Senders int    // in this deployment
	// Polled states that lists are polled: the dispatcher requests each watch after a failure. Otherwise the platform
	// pushes lists.
	Polled  bool
	Metrics *metrics.Registry // nil for a registry of its own
	Log     *slog.Logger      // nil for no log
	// Control is called for each socket before it connects, as by net.Dialer. It may be nil.
	Control func(network, address string, c syscall.RawConn) error
}

// Client calls the platform: it follows the endpoint list and delivers notices. Its methods are safe for concurrent
// use, except that SkipInitialDelay and OnStaleChange must be called before Follow.
type Client struct {
	platform *platformState
	reserved *connectionReserve
	lease    *endpointListLease
	watcher  *watcher
	notifier *notifier
	metrics  *metrics.Registry
}

// New creates a client. It makes no call before Follow or DeliverNotices.
func New(o Options) *Client {
	if o.Metrics == nil {
		o.Metrics = metrics.New(nil)
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	dialer := &net.Dialer{Timeout: dialTimeout, Control: o.Control}
	reserved := &connectionReserve{dial: dialer.DialContext}
	platform := &platformState{reserved: reserved}
	lease := &endpointListLease{}
	queueTime, initialDelay := contention(o.Senders)
	c := &Client{
		platform: platform,
		reserved: reserved,
		lease:    lease,
		watcher: &watcher{
			list:         newListClient(newHTTPClient(dialer.DialContext), lease, o.Polled),
			platform:     platform,
			lease:        lease,
			polled:       o.Polled,
			queueTime:    queueTime,
			initialDelay: initialDelay,
			metrics:      o.Metrics,
			log:          o.Log,
			knownVersion: noVersion,
		},
		notifier: newNotifier(reserved, platform, o.Metrics),
		metrics:  o.Metrics,
	}
	c.Move(o.Address)
	platform.recordContact()
	return c
}

// contention returns how long the platform may need to serve all senders, and a random delay for the first call of this
// sender. Both are zero if there are few senders.
func contention(senders int) (queueTime, initialDelay time.Duration) {
	queued := time.Duration(max(0, senders-maxUncontendedSenders))
	queueTime = min(queued*serviceTimePerSender, maxQueueTime)
	if queueTime > 0 { // after a release all senders call at the same time
		initialDelay = rand.N(min(queued*initialDelayPerSender, maxInitialDelay))
	}
	return queueTime, initialDelay
}

// newHTTPClient returns the HTTP client for the list. It opens its connections with dial and follows no redirects.
func newHTTPClient(dial dialFunc) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:           dial,
			DisableCompression:    true,
			MaxIdleConnsPerHost:   2,
			ResponseHeaderTimeout: polledLongPoll + changeEffectiveAfter,

			MaxResponseHeaderBytes: maxResponseHead,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// discard reads the rest of a body that is not needed, so that its connection can be reused.
func discard(body io.Reader) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxDiscardedBytes)) // an error only prevents the reuse
}

// Move switches to another address of the platform. Calls to the old address are cancelled and repeated at the new one,
// and connections for notices are reserved to the new one. Move does nothing if the address is the current one.
func (c *Client) Move(address string) {
	if c.platform.move(address) {
		c.metrics.CountReason(metrics.ReasonDiscovery, ReasonMoved)
		c.ReserveConnection()
	}
}

// ReserveConnection opens the reserved connections for notices that are missing, in the background. The event loop
// calls it from time to time.
func (c *Client) ReserveConnection() { go c.reserved.refill() }

// ReleaseReserved removes the usable reserved connections for notices and returns them, to be passed to a successor,
// which may be unable to open a connection when it starts because the machine is short of resources. The caller owns
// them.
func (c *Client) ReleaseReserved() []ReservedConnection { return c.reserved.release() }

// AdoptReserved adds the reserved connections of a predecessor to those of this client.
func (c *Client) AdoptReserved(reserved []ReservedConnection) { c.reserved.adopt(reserved) }

// SkipInitialDelay removes the delay before the first call, because a process that takes over from another one does not
// start at the same time as all other senders. It must be called before Follow.
func (c *Client) SkipInitialDelay() { c.watcher.initialDelay = 0 }

// IsListStale reports whether the endpoint list is stale. While it is, the sender must not call any endpoint.
func (c *Client) IsListStale() bool { return c.lease.isStale() }

// OnStaleChange sets the function that is called when the endpoint list becomes stale or fresh. It must be called
// before Follow.
func (c *Client) OnStaleChange(notify StaleFunc) { c.lease.onChange = notify }

// Follow follows the endpoint list, starting after a version, or with the full list if the version is -1, until ctx
// ends. It starts a watch when it receives from requests. After a failure it calls failed and waits for the next
// request. The next watch starts with the full list, because changes may have been missed. Follow calls updated and
// failed on the goroutine of its caller.
func (c *Client) Follow(
	ctx context.Context, version int64, requests <-chan struct{}, updated UpdateFunc, failed FailureFunc,
) {
	c.watcher.follow(ctx, version, requests, updated, failed)
}

// DeliverNotices posts each batch of notices, until ctx ends, and calls delivered once the batch is accepted, or its
// post has failed or is overdue.
func (c *Client) DeliverNotices(ctx context.Context, batches <-chan []Notice, delivered DeliveredFunc) {
	c.notifier.run(ctx, batches, delivered)
}

// Close closes the reserved connections for notices. No more are opened after that. Follow and DeliverNotices end with
// their contexts.
func (c *Client) Close() { c.reserved.close() }
