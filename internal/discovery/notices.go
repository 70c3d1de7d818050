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
	// A notice is due 300 ms after its message's time, and the agent answers at once unless the connection has fallen
	// silent. So the first post times out early, and there is time for two further ones; the timeout doubles up to
	// maxPostTimeout for a platform that is slow.
	initialPostTimeout = 100 * time.Millisecond
	maxPostTimeout     = 500 * time.Millisecond
	// Before the next post there is a pause that doubles up to maxNoticeBackoff, which is short: the agent is on this
	// machine, and takes notices at no cost.
	initialNoticeBackoff = 10 * time.Millisecond
	maxNoticeBackoff     = 40 * time.Millisecond
	// previousAddressPause is the pause where the previous address has taken a batch, until it goes to the new one.
	previousAddressPause = 100 * time.Millisecond
)

// MaxNoticeBatch is the most notices that one call carries.
const MaxNoticeBatch = 256

// Notice says how a message ended that was accepted and not delivered.
type Notice struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	RetryMS *int64 `json:"retry_in_ms,omitempty"` // when the client should come again, nil for no such advice
}

// DeliveredFunc receives the notices of a batch that the platform has taken, none if the post failed. Whatever is
// pending by then goes out with the next batch.
type DeliveredFunc func(delivered []Notice)

// errNoticesNotAccepted is wrapped with the status of an answer to notices other than 204.
var errNoticesNotAccepted = errors.New("notices are not accepted")

// notifier delivers notices. It belongs to the goroutine of run.
type notifier struct {
	http     *http.Client // takes its connections from reserved
	platform *platformState
	reserved *connectionReserve
	failures int // posts that failed in a row
}

// run posts batches of notices until ctx ends, each once, and calls delivered after each post. After a failure all
// notices that are pending by then are posted anew, on another connection: none waits for a silent one longer than
// one post takes.
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

// encodeNotices encodes a batch, one JSON object a line.
func encodeNotices(batch []Notice) []byte {
	var lines bytes.Buffer
	encoder := json.NewEncoder(&lines)
	for _, notice := range batch {
		_ = encoder.Encode(notice) // strings and numbers only: it cannot fail
	}
	return lines.Bytes()
}

// deliver posts a batch once. It reports whether the platform has taken it at its address of now; if not, it has
// backed off.
func (n *notifier) deliver(ctx context.Context, lines []byte) bool {
	at := n.platform.locate(ctx)
	defer at.release()
	err := n.post(at.ctx, at.baseURL, lines, min(initialPostTimeout<<min(n.failures, 10), maxPostTimeout))
	if err == nil {
		n.failures = 0
		return true
	}
	pause := min(initialNoticeBackoff<<min(n.failures, 10), maxNoticeBackoff)
	if n.postToPreviousAddress(at.ctx, err, lines) {
		pause = previousAddressPause
	}
	n.failures++
	if !retry.WaitJittered(at.ctx, pause) {
		n.failures = 0 // the platform has moved
	}
	return false
}

// postToPreviousAddress posts to the address before the last move what could not be posted to the new one for want of
// a connection: connections to the old one stay open for a moment. The batch goes to the new address as well, once
// that can be reached. A connection that failed otherwise may be silent, and so may others to the same address: they
// are closed.
func (n *notifier) postToPreviousAddress(ctx context.Context, postErr error, lines []byte) (isAccepted bool) {
	var opErr *net.OpError
	if !errors.As(postErr, &opErr) || opErr.Op != "dial" {
		n.http.CloseIdleConnections()
		return false
	}
	previous := n.reserved.lastAddress()
	return previous != "" && n.post(ctx, "http://"+previous, lines, initialPostTimeout) == nil
}

// post makes one call with notices.
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
