package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"onyxdyke.example/onyxdyke/internal/metrics"
	"onyxdyke.example/onyxdyke/internal/retry"
)

const (
	// A notice is due 300 ms after its message's deadline, and the agent answers at once unless the connection has
	// become unresponsive. So a post that is not answered within overdueDelay is followed by one on a new connection,
	// and while posts remain unanswered another one follows every overdueInterval.
	overdueDelay    = 50 * time.Millisecond
	overdueInterval = 150 * time.Millisecond
	// postTimeout bounds a post. One that is overdue continues until then, because the platform may only be slow.
	postTimeout = 500 * time.Millisecond
	// The pause after a post that has failed doubles up to maxNoticeBackoff. It is short because the agent is on this
	// machine and accepts notices at no cost.
	initialNoticeBackoff = 10 * time.Millisecond
	maxNoticeBackoff     = 40 * time.Millisecond
	// previousAddressTimeout bounds a post to the previous address.
	previousAddressTimeout = 100 * time.Millisecond
	// previousAddressPause is the pause after the previous address has accepted a batch, before the batch is posted to
	// the new one.
	previousAddressPause = 100 * time.Millisecond

	// postResultQueue is more than the number of posts that can be in flight, postTimeout / overdueInterval.
	postResultQueue = 16
)

// MaxNoticeBatch is the maximum number of notices in one call.
const MaxNoticeBatch = 256

// Notice reports the outcome of a message that was accepted but not delivered.
type Notice struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	RetryMS *int64 `json:"retry_in_ms,omitempty"` // when the client should submit again; nil for no such advice
}

// DeliveredFunc receives the notices that the platform has accepted since the last call: those of the batch, and of
// earlier batches whose posts were overdue; none if no post has succeeded. Notices that are still pending are to be
// included in the next batch.
type DeliveredFunc func(delivered []Notice)

// notifier delivers notices. It belongs to the goroutine of run.
type notifier struct {
	connections *noticePool
	platform    *platformState
	metrics     *metrics.Registry
	results     chan postResult // of all posts in flight
	// failures counts the posts that have failed or are overdue since the last one that succeeded.
	failures int
	// wasConnected states that the last post had a connection before it failed or became overdue.
	wasConnected bool
}

// newNotifier returns a notifier that takes its connections from a reserve.
func newNotifier(reserved *connectionReserve, platform *platformState, registry *metrics.Registry) *notifier {
	return &notifier{
		connections: newNoticePool(reserved),
		platform:    platform,
		metrics:     registry,
		results:     make(chan postResult, postResultQueue),
	}
}

// noticePost is a post of a batch.
type noticePost struct {
	batch       []Notice
	address     string // host and port
	lines       []byte // the batch in its encoding
	isConnected atomic.Bool
}

// postResult is the result of a post.
type postResult struct {
	post *noticePost
	err  error // nil if the platform has accepted the batch
}

// run posts each batch of notices, until ctx ends, and calls delivered once the batch is accepted, or its post has
// failed or is overdue. The caller sends all notices that are pending by then in the next batch. After a failure that
// is posted on a connection of its own. So an unresponsive connection delays a notice only until its post is overdue.
func (n *notifier) run(ctx context.Context, batches <-chan []Notice, delivered DeliveredFunc) {
	defer n.connections.close()
	for {
		var batch []Notice
		select {
		case batch = <-batches:
		case <-ctx.Done():
			return
		}
		accepted := n.deliver(ctx, batch)
		if ctx.Err() != nil {
			return
		}
		delivered(accepted)
	}
}

// encodeNotices encodes a batch as one JSON object per line.
func encodeNotices(batch []Notice) []byte {
	var lines bytes.Buffer
	encoder := json.NewEncoder(&lines)
	for _, notice := range batch {
		_ = encoder.Encode(notice) // it cannot fail: there are only strings and numbers
	}
	return lines.Bytes()
}

// deliver posts a batch to the current address. It returns the notices that the platform has accepted by the time that
// the post ends or is overdue. After a failure it returns after a pause.
func (n *notifier) deliver(ctx context.Context, batch []Notice) (accepted []Notice) {
	loc := n.platform.locate(ctx)
	defer loc.release()
	post := n.start(ctx, batch)
	overdue := time.NewTimer(n.overdueAfter())
	defer overdue.Stop()
	for {
		select {
		case result := <-n.results:
			if result.err == nil {
				accepted = append(accepted, result.post.batch...)
				n.recordSuccess()
			}
			if result.post != post {
				continue
			}
			if result.err != nil {
				n.handleFailure(loc.ctx, result)
			}
			return accepted
		case <-overdue.C:
			n.handleOverdue(loc.ctx, post)
			return accepted
		case <-ctx.Done():
			return accepted
		}
	}
}

// start posts a batch on a goroutine that sends the result to results. The goroutine ends with ctx, when the platform
// moves, or after postTimeout.
func (n *notifier) start(ctx context.Context, batch []Notice) *noticePost {
	loc := n.platform.locate(ctx)
	post := &noticePost{batch: batch, address: loc.address(), lines: encodeNotices(batch)}
	connect := n.connector()
	go func() {
		defer loc.release()
		err := n.post(loc.ctx, post, connect, postTimeout)
		select {
		case n.results <- postResult{post: post, err: err}:
		case <-ctx.Done():
		}
	}()
	return post
}

// connectFunc returns a connection to an address.
type connectFunc func(ctx context.Context, address string) (*noticeConn, error)

// connector returns the function that connects the next post. After a failure the open connections may be unresponsive,
// so the post gets a new one; but where no new one could be opened, it gets any that is open.
func (n *notifier) connector() connectFunc {
	switch {
	case n.failures == 0:
		return n.connections.getOpen
	case n.wasConnected:
		return n.connections.getNew
	}
	return n.connections.getAny
}

// post makes one call with a batch of notices. It returns an error if the platform does not accept them.
func (n *notifier) post(ctx context.Context, post *noticePost, connect connectFunc, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := connect(ctx, post.address)
	if err != nil {
		return err
	}
	post.isConnected.Store(true)
	isReusable, err := conn.post(ctx, post.lines)
	if isReusable {
		n.connections.put(conn)
	} else {
		_ = conn.Close() // what was read is complete, or of no use
	}
	return err
}

// overdueAfter returns how long the next post may remain unanswered before it is overdue.
func (n *notifier) overdueAfter() time.Duration {
	if n.failures == 0 {
		return overdueDelay
	}
	return overdueInterval
}

// recordSuccess records that the platform has accepted a batch. If posts have failed before, the reserved connections
// are replaced in the background.
func (n *notifier) recordSuccess() {
	if n.failures > 0 {
		go n.connections.reserved.refill()
	}
	n.failures = 0
}

// handleOverdue records that a post is overdue. If it has no connection, it posts the batch to the previous address.
func (n *notifier) handleOverdue(ctx context.Context, post *noticePost) {
	n.metrics.CountReason(metrics.ReasonDiscovery, ReasonNoticesOverdue)
	n.recordFailure(post)
	if !post.isConnected.Load() && n.postToPreviousAddress(ctx, post) {
		retry.WaitJittered(ctx, previousAddressPause)
	}
}

// handleFailure pauses after a post that has failed. If no connection could be opened, it posts the batch to the
// previous address before.
func (n *notifier) handleFailure(ctx context.Context, failed postResult) {
	pause := min(initialNoticeBackoff<<min(n.failures, 10), maxNoticeBackoff)
	n.recordFailure(failed.post)
	var dial *dialError
	if errors.As(failed.err, &dial) && n.postToPreviousAddress(ctx, failed.post) {
		pause = previousAddressPause
	}
	if !retry.WaitJittered(ctx, pause) {
		n.failures = 0 // the platform has moved
	}
}

// recordFailure records that a post has failed or is overdue. If it had a connection, the others to the same address
// may be unresponsive as well.
func (n *notifier) recordFailure(post *noticePost) {
	n.failures++
	n.wasConnected = post.isConnected.Load()
	if n.wasConnected {
		n.connections.distrust(post.address)
	}
}

// postToPreviousAddress posts a batch to the address before the last move, because no connection to the new address
// could be opened: connections to the old one stay open for a short time. It reports whether the batch was accepted
// there. The batch is posted to the new address as well once that can be reached.
func (n *notifier) postToPreviousAddress(ctx context.Context, failed *noticePost) (isAccepted bool) {
	previous := n.connections.reserved.lastAddress()
	if previous == "" {
		return false
	}
	post := &noticePost{batch: failed.batch, address: previous, lines: failed.lines}
	return n.post(ctx, post, n.connections.getOpen, previousAddressTimeout) == nil
}
