package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"onyxdyke.example/onyxdyke/internal/retry"
)

const (
	// A notice is due 300 ms after its message's deadline, and the agent answers at once unless the connection has
	// become unresponsive. So the first post times out early, which leaves time for two further ones. The timeout
	// doubles up to maxPostTimeout for a slow platform.
	initialPostTimeout = 100 * time.Millisecond
	maxPostTimeout     = 500 * time.Millisecond
	// The pause before the next post doubles up to maxNoticeBackoff. It is short because the agent is on this machine
	// and accepts notices at no cost.
	initialNoticeBackoff = 10 * time.Millisecond
	maxNoticeBackoff     = 40 * time.Millisecond
	// previousAddressPause is the pause after the previous address has accepted a batch, before the batch is posted to
	// the new one.
	previousAddressPause = 100 * time.Millisecond
)

// MaxNoticeBatch is the maximum number of notices in one call.
const MaxNoticeBatch = 256

// Notice reports the outcome of a message that was accepted but not delivered.
type Notice struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	RetryMS *int64 `json:"retry_in_ms,omitempty"` // when the client should submit again; nil for no such advice
}

// DeliveredFunc receives the notices that the platform has accepted: the batch, or none if the post failed. Notices
// that are still pending are to be included in the next batch.
type DeliveredFunc func(delivered []Notice)

// errNoticesNotAccepted is returned, wrapped together with the status, for an answer to notices with a status other
// than 204.
var errNoticesNotAccepted = errors.New("the platform did not accept the notices")

// notifier delivers notices. It belongs to the goroutine of run.
type notifier struct {
	http     *http.Client // gets its connections from reserved
	platform *platformState
	reserved *connectionReserve
	failures int // consecutive failed posts
}

// run posts each batch of notices once, until ctx ends, and calls delivered after each post. After a failure, the
// caller sends all notices that are pending by then in the next batch, which is posted on another connection. So an
// unresponsive connection delays a notice only for the duration of one post.
func (n *notifier) run(ctx context.Context, batches <-chan []Notice, delivered DeliveredFunc) {
	for {
		var batch []Notice
		select {
		case batch = <-batches:
		case <-ctx.Done():
			return
		}
		isDelivered := n.deliver(ctx, encodeNotices(batch))
		if ctx.Err() != nil {
			return
		}
		if !isDelivered {
			batch = nil
		}
		delivered(batch)
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

// deliver posts a batch once. It reports whether the platform accepted it at its current address. If not, deliver
// returns after a pause.
func (n *notifier) deliver(ctx context.Context, lines []byte) bool {
	loc := n.platform.locate(ctx)
	defer loc.release()
	err := n.post(loc.ctx, loc.baseURL, lines, min(initialPostTimeout<<min(n.failures, 10), maxPostTimeout))
	if err == nil {
		n.failures = 0
		return true
	}
	pause := min(initialNoticeBackoff<<min(n.failures, 10), maxNoticeBackoff)
	if n.postToPreviousAddress(loc.ctx, err, lines) {
		pause = previousAddressPause
	}
	n.failures++
	if !retry.WaitJittered(loc.ctx, pause) {
		n.failures = 0 // the platform has moved
	}
	return false
}

// postToPreviousAddress posts a batch to the address before the last move if no connection to the new address could be
// opened: connections to the old one stay open for a short time. The batch is posted to the new address as well once
// that can be reached. After any other failure the connection may be unresponsive, and so may the others to the same
// address: postToPreviousAddress closes the idle ones and posts nothing.
func (n *notifier) postToPreviousAddress(ctx context.Context, postErr error, lines []byte) (isAccepted bool) {
	var opErr *net.OpError
	if !errors.As(postErr, &opErr) || opErr.Op != "dial" {
		n.http.CloseIdleConnections()
		return false
	}
	previous := n.reserved.lastAddress()
	return previous != "" && n.post(ctx, "http://"+previous, lines, initialPostTimeout) == nil
}

// post makes one call with notices. It returns an error if the platform does not accept them.
func (n *notifier) post(ctx context.Context, baseURL string, lines []byte, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL+"/v1/notices", bytes.NewReader(lines))
	if err != nil {
		return fmt.Errorf("post notices: %w", err)
	}
	req.Header.Set("Content-Type", "application/x-ndjson")
	resp, err := n.http.Do(req)
	if err != nil {
		return fmt.Errorf("post notices: %w", err)
	}
	defer resp.Body.Close()
	discard(resp.Body)
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("%w: %s", errNoticesNotAccepted, resp.Status)
	}
	return nil
}
