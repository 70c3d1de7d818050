// Package discovery speaks with the platform: it follows the endpoint list and delivers notices of how messages ended.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"

	"onyxdyke.example/onyxdyke/internal/endpointlist"
	"onyxdyke.example/onyxdyke/internal/metrics"
)

const (
	// What discovery tells binds at the latest bindsBy after it had it, whether its answer has arrived or not, and movedBy after
	// a new configuration has moved it (STANDING). A change binds at once where lists are pushed: see listwatch.go.
	bindsBy = 6 * time.Second
	movedBy = 4 * time.Second
	// The platform behind the agents may be crowded after a release, as it serves all senders of the deployment in turn. Each
	// needs perSender of it; a few need not take turns.
	perSender = 300 * time.Millisecond
	fewOfUs   = 4
	turnsMost = 4 * bindsBy
	// The first calls of many senders are spread over some time. What an agent holds binds a new process from its start on,
	// with the grace that a drain leaves, so that time is short.
	firstMost = 200 * time.Millisecond
	perFirst  = perSender / 6
	maxList   = 8 << 20         // bytes of a list
	dialTime  = 1 * time.Second // for a connection to discovery to come up
	// maxDiscardedBody bounds what is read of a body that is of no use but to keep the connection.
	maxDiscardedBody = 64 << 10
)

// Client speaks with the platform: the list and its changes, and notices.
type Client struct {
	client       *http.Client // of the list
	notifier     *http.Client // of notices: a list that fails leaves their connections alone
	dialer       net.Dialer
	reserved     reservedConnection
	turns        time.Duration     // that all senders need one after another
	initialDelay time.Duration     // before the first call; no time at all where a single process has been replaced
	pace         time.Duration     // this one's rest after a refusal; it belongs to the watch
	polled       bool              // the module asks for each call after a failure; else lists are pushed
	lease        endpointListLease // of the list, where it is pushed
	metrics      *metrics.Registry
	log          *slog.Logger

	// The fields of the watch, which is one goroutine.
	held         int64         // version of the list held, -1 for none
	crowdedUntil time.Time     // the platform has refused a call: none is hedged until then
	silentSince  time.Time     // when the first call was hedged of those that have had no answer, the zero time for none
	late         time.Duration // how late the last answers came, where they were slow

	mu        sync.Mutex
	base      string
	here      context.Context // until the platform moves
	leave     context.CancelFunc
	bindingAt time.Time // by then what has not been told binds all the same
}

// move turns to another address. What is out at the old one is broken off and goes to the new, and so does the connection that
// is kept ready for notices.
func (d *Client) Move(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.base == "http://"+addr {
		return
	}
	if d.leave != nil {
		d.leave()
	}
	moves := d.base != ""
	d.base = "http://" + addr
	d.reserved.setAddress(addr)
	if moves {
		d.bindingAt = time.Now().Add(movedBy)
		d.metrics.CountReason(metrics.ReasonDiscovery, ReasonMoved)
		go d.reserved.refill()
	}
	d.here, d.leave = context.WithCancel(context.Background())
}

// heard notes a sign of life: what the platform has to tell from now on binds later.
func (d *Client) heard() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bindingAt = time.Now().Add(bindsBy)
}

// left is the time until what has not been told binds.
func (d *Client) left() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Until(d.bindingAt)
}

// at is where the platform is now, and a context that ends with ctx or when it moves.
func (d *Client) at(ctx context.Context) (base string, here context.Context, cancel context.CancelFunc) {
	d.mu.Lock()
	base, moved := d.base, d.here
	d.mu.Unlock()
	here, end := context.WithCancel(ctx)
	stop := context.AfterFunc(moved, end)
	return base, here, func() { stop(); end() }
}

// newHTTPClient makes a client that opens its connections by dial.
func newHTTPClient(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *http.Client {
	return &http.Client{
		Transport: &http.Transport{DialContext: dial, DisableCompression: true, MaxIdleConnsPerHost: 2, ResponseHeaderTimeout: askedWait + bindsBy},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		}}
}

// keepSpare sees to it that a connection for notices is ready. It is called now and then.
func (d *Client) ReserveConnection() { go d.reserved.refill() }

// Options are what a client needs to know.
type Options struct {
	Address string // of the platform, host and port
	Senders int    // in this deployment
	// Polled says that the dispatcher asks for each call after a failure; otherwise the platform pushes lists.
	Polled  bool
	Metrics *metrics.Registry
	Log     *slog.Logger
	// Control is called for each socket before it connects; nil for none.
	Control func(network, address string, c syscall.RawConn) error
}

// New makes a client. It makes no call before Follow.
func New(o Options) *Client {
	others, initialDelay := time.Duration(max(0, o.Senders-fewOfUs)), time.Duration(0)
	turns := min(others*perSender, turnsMost)
	if turns > 0 { // after a release all come at once
		initialDelay = rand.N(min(others*perFirst, firstMost))
	}
	d := &Client{turns: turns, initialDelay: initialDelay, held: -1, polled: o.Polled, metrics: o.Metrics, log: o.Log,
		dialer: net.Dialer{Timeout: dialTime, Control: o.Control}}
	if d.metrics == nil {
		d.metrics = metrics.New(nil)
	}
	if d.log == nil {
		d.log = slog.New(slog.DiscardHandler)
	}
	d.client = newHTTPClient(d.dialer.DialContext)
	d.reserved = reservedConnection{dial: d.dialer.DialContext}
	d.notifier = newHTTPClient(d.reserved.DialContext)
	d.Move(o.Address)
	d.heard()
	return d
}

// SkipInitialDelay makes the first call go out at once: a single process has been replaced.
func (d *Client) SkipInitialDelay() { d.initialDelay = 0 }

// StaleFunc is called when the endpoint list becomes stale, and when it is fresh again. Calls come from several
// goroutines.
type StaleFunc func(stale bool)

// IsListStale reports whether the list is stale, see endpointListLease.
func (d *Client) IsListStale() bool { return d.lease.isStale() }

// OnStaleChange makes notify hear when the list becomes stale, and when it is fresh again. It is called before Follow.
func (d *Client) OnStaleChange(notify StaleFunc) { d.lease.onChange = notify }

// Close closes the connection that is kept for notices.
func (d *Client) Close() { d.reserved.close() }

// list makes one call for the list: for the whole of it, or after a version for what is newer, waiting for it. An answer that
// is no list is an error.
func (d *Client) list(ctx context.Context, base string, after int64, limit time.Duration) (endpointlist.Update, error) {
	var t struct {
		endpointlist.Update
		Version *int64 `json:"version"`
	}
	url := base + "/api/targets"
	if after >= 0 {
		url += fmt.Sprintf("?after=%d&wait_ms=%d", after, d.watchWait().Milliseconds())
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			d.lease.noteCall()
		}
	}})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return t.Update, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		d.lease.noteFailure(err)
		return t.Update, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardedBody))
		return t.Update, refusedError(resp.Status)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return t.Update, err
	}
	if err := json.Unmarshal(raw, &t); err != nil {
		return t.Update, fmt.Errorf("discovery's list: %w", err)
	}
	switch {
	case t.Version == nil:
		return t.Update, errors.New("discovery's list has no version")
	case t.Full && t.Endpoints == nil:
		return t.Update, errors.New("discovery's list is whole, and has no servers")
	}
	t.Update.Version = *t.Version
	return t.Update, nil
}

// accept takes a list as the one that is held. One that is older than that is an error: it would bring back what has drained or
// gone since.
func (d *Client) accept(t endpointlist.Update) error {
	if t.Version < d.held {
		return fmt.Errorf("discovery's list goes back from version %d to %d", d.held, t.Version)
	}
	d.held = t.Version
	d.heard()
	if silent := time.Since(d.silentSince); !d.silentSince.IsZero() && silent > silenceLogged {
		d.log.Info("discovery answers again", "after", silent, "version", t.Version)
	}
	d.silentSince = time.Time{}
	return nil
}

// refusedError is an answer other than the list.
type refusedError string

func (e refusedError) Error() string { return "discovery answers " + string(e) }
