package discovery

// Notices: how the platform is told of messages that were taken on and not delivered.

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"onyxdyke.example/onyxdyke/internal/retry"
)

const (
	// A notice is due 300 ms after its message's time, and is answered at once, or the connection says nothing any more.
	// So the first try is short, and there is time for two further ones; a platform in trouble is given more.
	noticeFirst = 100 * time.Millisecond
	noticeTime  = 500 * time.Millisecond
	noticeRest  = 10 * time.Millisecond // before the next try; doubles
	noticeMost  = 40 * time.Millisecond // up to this: the agent is on this machine, and takes notices at no cost
	// Until what an address before has taken is told at the new one.
	noticeBefore   = 100 * time.Millisecond
	MaxNoticeBatch = 256 // notices in one call
)

// notice is a line on a message that was taken on and not delivered.
type Notice struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	RetryMS *int64 `json:"retry_in_ms,omitempty"`
}

// tell posts batches of notices, each once, and passes on those that were taken, and none after a failure. Then all that
// is owed by now goes out anew, and on another connection: nothing waits for a silent one longer than its try takes.
func (d *Client) DeliverNotices(ctx context.Context, notices <-chan []Notice, told func([]Notice)) {
	for failures := 0; ; {
		var batch []Notice
		select {
		case batch = <-notices:
		case <-ctx.Done():
			return
		}
		var lines bytes.Buffer
		enc := json.NewEncoder(&lines)
		for _, n := range batch {
			enc.Encode(n) // strings and numbers only: it cannot fail
		}
		base, here, cancel := d.at(ctx)
		err := d.post(here, base, lines.Bytes(), min(noticeFirst<<min(failures, 10), noticeTime))
		if err == nil {
			failures = 0
		} else {
			batch = nil
			pause := min(noticeRest<<min(failures, 10), noticeMost)
			if d.postBefore(here, err, lines.Bytes()) {
				pause = noticeBefore
			}
			if failures++; !retry.WaitJittered(here, pause) {
				failures = 0 // it has moved
			}
		}
		cancel()
		if ctx.Err() != nil {
			return
		}
		told(batch)
	}
}

// postBefore tells the address before the last move what could not be told at the new one, for want of a connection: open ones
// stay there for a moment. It all goes to the new address as well, once that can be reached. A connection that failed
// otherwise may be silent, and so may others to the same address: they are closed.
func (d *Client) postBefore(ctx context.Context, err error, lines []byte) (told bool) {
	var op *net.OpError
	if !errors.As(err, &op) || op.Op != "dial" {
		d.notifier.CloseIdleConnections()
		return false
	}
	previous := d.reserved.lastAddress()
	return previous != "" && d.post(ctx, "http://"+previous, lines, noticeFirst) == nil
}

func (d *Client) post(ctx context.Context, base string, lines []byte, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/notices", bytes.NewReader(lines))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/x-ndjson")
	resp, err := d.notifier.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardedBody))
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("notices are answered %s", resp.Status)
	}
	return nil
}
