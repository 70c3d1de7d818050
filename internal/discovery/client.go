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
	// The platform behind the agents may be overloaded after a release, as it serves all senders of the deployment
	// one after another. It takes serviceTimePerSender for each. Up to maxUncontendedSenders do not need to queue.
	serviceTimePerSender  = 300 * time.Millisecond
	maxUncontendedSenders = 4
	// maxQueueTime bounds how long all senders together are taken to need.
	maxQueueTime = 4 * changeBindsAfter

	// The first calls of many senders are spread over a random delay. What an agent holds binds a new process from
	// its start on, with the grace of 0.5 s that a drain leaves, so the delay is short.
	maxInitialDelay       = 200 * time.Millisecond
	initialDelayPerSender = serviceTimePerSender / 6

	dialTimeout = 1 * time.Second // for a connection to the platform to come up
	// maxDiscardedBytes bounds what is read of a body only so that its connection can be used again.
	maxDiscardedBytes = 64 << 10
)

// Reasons by which calls for the endpoint list are counted, with metrics.ReasonDiscovery.
const (
	ReasonHedged   = "hedged"  // a further request was made beside one that had no answer
	ReasonRejected = "refused" // the platform answered with something other than the list
	ReasonSilent   = "silent"  // a first request had no answer in its time
	ReasonMoved    = "moved"   // the platform moved to another address
	ReasonStale    = "stale"   // no call could be made for longer than the lease lasts
)

// StaleFunc is called when the endpoint list becomes stale, and when it is fresh again. Calls come from several
// goroutines.
type StaleFunc func(stale bool)

// Options configure a Client.
type Options struct {
	Address string // of the platform, host and port
	Senders int    // in this deployment
	// Polled says that the dispatcher requests each call after a failure; otherwise the platform pushes lists.
	Polled  bool
	Metrics *metrics.Registry // nil for one that nobody reads
	Log     *slog.Logger      // nil for none
	// Control is called for each socket before it connects; nil for none.
	Control func(network, address string, c syscall.RawConn) error
}

// Client speaks with the platform: it follows the endpoint list and delivers notices. Its methods are safe for
// concurrent use, except that SkipInitialDelay and OnStaleChange come before Follow.
type Client struct {
	platform *platformState
	reserved *connectionReserve
	lease    *endpointListLease
	watcher  *watcher
	notifier *notifier
	metrics  *metrics.Registry
}

// New makes a client. It makes no call before Follow.
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
		// Notices have an HTTP client of their own: a list that fails leaves their connections alone.
		notifier: &notifier{http: newHTTPClient(reserved.DialContext), platform: platform, reserved: reserved},
		metrics:  o.Metrics,
	}
	c.Move(o.Address)
	platform.noteContact()
	return c
}

// contention returns how long the platform may need for the calls of all senders, and a random delay for the first
// call of this one. Both are zero where senders are few.
func contention(senders int) (queueTime, initialDelay time.Duration) {
	queued := time.Duration(max(0, senders-maxUncontendedSenders))
	queueTime = min(queued*serviceTimePerSender, maxQueueTime)
	if queueTime > 0 { // after a release all senders call at once
		initialDelay = rand.N(min(queued*initialDelayPerSender, maxInitialDelay))
	}
	return queueTime, initialDelay
}

// newHTTPClient makes a client that opens its connections by dial and follows no redirect.
func newHTTPClient(dial dialFunc) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:           dial,
			DisableCompression:    true,
			MaxIdleConnsPerHost:   2,
			ResponseHeaderTimeout: polledLongPoll + changeBindsAfter,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// discard reads the rest of a body that is of no use, so that its connection can be used again.
func discard(body io.Reader) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxDiscardedBytes)) // at worst the connection is closed
}

// Move turns to another address of the platform. Calls to the old one are cancelled and go to the new one, and so
// do the reserved connections for notices. A move to the address of now does nothing.
func (c *Client) Move(address string) {
	if c.platform.move(address) {
		c.metrics.CountReason(metrics.ReasonDiscovery, ReasonMoved)
		c.ReserveConnection()
	}
}

// ReserveConnection opens the reserved connections for notices in the background, as far as they do not stand. The
// event loop calls it now and then.
func (c *Client) ReserveConnection() { go c.reserved.refill() }

// ReleaseReserved gives up the reserved connections for notices that are usable, to a successor: its machine may not
// let it open one when it starts. The caller owns them.
func (c *Client) ReleaseReserved() []ReservedConnection { return c.reserved.release() }

// AdoptReserved takes over the reserved connections of a predecessor.
func (c *Client) AdoptReserved(reserved []ReservedConnection) { c.reserved.adopt(reserved) }

// SkipInitialDelay makes the first call go out at once, as a process that takes over from another one does not start
// together with all other senders. It is called before Follow.
func (c *Client) SkipInitialDelay() { c.watcher.initialDelay = 0 }

// IsListStale reports whether the endpoint list is stale: the sender may call no endpoint by it.
func (c *Client) IsListStale() bool { return c.lease.isStale() }

// OnStaleChange sets the function that hears of staleness. It is called before Follow.
func (c *Client) OnStaleChange(notify StaleFunc) { c.lease.onChange = notify }

// Follow follows the endpoint list from a version on, -1 for none, until ctx ends. It watches when a request comes.
// After a failure it calls failed and waits for the next request, and then it gets the full list, as changes may have
// been missed. It calls updated and failed on its own goroutine.
func (c *Client) Follow(
	ctx context.Context, version int64, requests <-chan struct{}, updated UpdateFunc, failed FailureFunc,
) {
	c.watcher.follow(ctx, version, requests, updated, failed)
}

// DeliverNotices posts batches of notices until ctx ends, each once, and calls delivered after each post.
func (c *Client) DeliverNotices(ctx context.Context, batches <-chan []Notice, delivered DeliveredFunc) {
	c.notifier.run(ctx, batches, delivered)
}

// Close closes the reserved connections for notices, for good. Follow and DeliverNotices end with their contexts.
func (c *Client) Close() { c.reserved.close() }
