package sender

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// A notice is due 300 ms after its message's time, and is answered at once, or the connection says nothing any more.
	// So the first try is short, and there is time for two further ones; a platform in trouble is given more.
	noticeFirst = 100 * time.Millisecond
	noticeTime  = 500 * time.Millisecond
	noticeRest  = 10 * time.Millisecond // before the next try; doubles
	noticeMost  = 40 * time.Millisecond // up to this: the agent is on this machine, and takes notices at no cost
	// A watch that was out while discovery was down may never be answered, and nothing shows it but its time:
	// so that is short. The agent answers at once and at no cost.
	watchWait  = 2 * time.Second        // a watch call waits so long for news
	answerTime = time.Second            // and an answer takes no longer than this besides
	backOff    = 100 * time.Millisecond // first pause after a failure; doubles
	backOffTop = 500 * time.Millisecond
	// The platform behind the agent serves all senders of the deployment, and after a release they come at once.
	// Who gives an answer up that is still queued for makes the queue longer with the next call, and nobody is
	// served in time any more. So each waits, and stays away after a refusal, as long as so many need in turn.
	perSender = 300 * time.Millisecond
	fewOfUs   = 4 // senders that need not take turns
	// The turns of hundreds would outlast the protocol's times, though: what the platform has to tell binds after
	// 6 s, and 2 s after a watch's wait, whether its answer has come or not; 4 s after it has moved. So no answer is waited
	// for longer, and of what is left after one that never came each call takes half, that another may follow. No rest is
	// longer either, however many refusals there were: what changes right after one binds within those 6 s, of which the
	// answer needs a second, and where the module asks for the list its own pause before that another.
	bindsBy   = 6 * time.Second
	movedBy   = 4 * time.Second
	watchLate = 2 * time.Second
	restMost  = bindsBy - answerTime
	turnsMost = 4 * bindsBy
	// What the agent holds already binds a sender from its start on, with the 500 ms that a drain leaves: whoever asks
	// later than this sends by an old list. The first calls are spread no further.
	firstMost   = 200 * time.Millisecond
	perFirst    = perSender / 6
	noticeBatch = 256     // notices in one call
	maxList     = 8 << 20 // bytes of a list
)

// Target is an endpoint in discovery's list.
type Target struct {
	ID     string  `json:"id"`
	Addr   string  `json:"addr"`
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Cell   uint32  `json:"cell"`
	State  string  `json:"state"`
	Weight float64 `json:"weight"`
}

// The states of an endpoint. Any other is one in which it takes nothing new.
const (
	stateServing = "SERVING"
	stateDeleted = "DELETED"
)

// Targets is discovery's answer.
type Targets struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []Target `json:"servers"`
}

// discovery speaks with the platform: the list and its changes, and notices.
type discovery struct {
	client   *http.Client // of the list
	notifier *http.Client // of notices: a list that fails leaves their connections alone
	dialer   net.Dialer
	spare    spareDialer
	turns    time.Duration // that all senders need one after another
	first    time.Duration // before the first call; no time at all where a single process has been replaced
	pace     time.Duration // this one's rest after a refusal; it belongs to the watch
	asks     bool          // the module asks for each call after a failure

	held int64 // version of the list held, -1 for none; it belongs to the watch

	mu    sync.Mutex
	base  string
	here  context.Context // until the platform moves
	leave context.CancelFunc
	binds time.Time // by then what has not been told binds all the same
}

// move turns to another address. What is out at the old one is broken off and goes to the new.
func (d *discovery) move(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.base == "http://"+addr {
		return
	}
	if d.leave != nil {
		d.leave()
	}
	if d.base != "" {
		d.binds = time.Now().Add(movedBy)
	}
	d.base = "http://" + addr
	d.here, d.leave = context.WithCancel(context.Background())
}

// heard notes a sign of life: what the platform has to tell from now on binds later.
func (d *discovery) heard() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.binds = time.Now().Add(bindsBy)
}

// left is the time until what has not been told binds.
func (d *discovery) left() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Until(d.binds)
}

// at is where the platform is now, and a context that ends with ctx or when it moves.
func (d *discovery) at(ctx context.Context) (base string, here context.Context, cancel context.CancelFunc) {
	d.mu.Lock()
	base, moved := d.base, d.here
	d.mu.Unlock()
	here, end := context.WithCancel(ctx)
	stop := context.AfterFunc(moved, end)
	return base, here, func() { stop(); end() }
}

// newDiscoveryClient makes a client that opens its connections by dial.
func newDiscoveryClient(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *http.Client {
	return &http.Client{
		Transport: &http.Transport{DialContext: dial, DisableCompression: true, MaxIdleConnsPerHost: 2, ResponseHeaderTimeout: watchWait + bindsBy},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		}}
}

// keepSpare sees to it that a connection for notices is ready. It is called now and then.
func (d *discovery) keepSpare() {
	d.mu.Lock()
	base := d.base
	d.mu.Unlock()
	go d.spare.keep(strings.TrimPrefix(base, "http://"))
}

func newDiscovery(addr string, senders int) *discovery {
	others, first := time.Duration(max(0, senders-fewOfUs)), time.Duration(0)
	turns := min(others*perSender, turnsMost)
	if turns > 0 { // after a release all come at once
		first = rand.N(min(others*perFirst, firstMost))
	}
	d := &discovery{turns: turns, first: first, held: -1}
	d.client = newDiscoveryClient(d.dialer.DialContext)
	d.spare = spareDialer{dial: d.dialer.DialContext}
	d.notifier = newDiscoveryClient(d.spare.DialContext)
	d.move(addr)
	d.heard()
	return d
}

// pause waits after the n-th failure in a row, a little less or more each time; false if ctx ended.
func (d *discovery) pause(ctx context.Context, n int) bool {
	return rest(ctx, max(d.pace, min(backOff<<min(n-1, 10), backOffTop)))
}

// rest waits for d, or a good deal less; false if ctx ended.
func rest(ctx context.Context, d time.Duration) bool {
	return wait(ctx, d/2+rand.N(d/2+1))
}

// wait waits for d; false if ctx ended.
func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// patience is how long an answer to a call for the whole list is waited for, after so many failures in a row.
func (d *discovery) patience(failures int) time.Duration {
	return min(answerTime+d.turns, bindsBy, max(d.left()/2, answerTime<<min(max(0, failures-1), 10)))
}

// list asks for the whole list, or after a version for what is newer, waiting for it. An answer that is no list, or one older
// than what is held, is an error.
func (d *discovery) list(ctx context.Context, base string, after int64, limit time.Duration) (Targets, error) {
	var t struct {
		Targets
		Version *int64 `json:"version"`
	}
	url := base + "/api/targets"
	if after >= 0 {
		url += fmt.Sprintf("?after=%d&wait_ms=%d", after, watchWait.Milliseconds())
		limit = watchWait + min(answerTime+d.turns, watchLate)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return t.Targets, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return t.Targets, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		io.Copy(io.Discard, io.LimitReader(resp.Body, maxBody))
		return t.Targets, refusedError(resp.Status)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return t.Targets, err
	}
	if err := json.Unmarshal(raw, &t); err != nil {
		return t.Targets, fmt.Errorf("discovery's list: %w", err)
	}
	switch {
	case t.Version == nil:
		return t.Targets, errors.New("discovery's list has no version")
	case t.Full && t.Servers == nil:
		return t.Targets, errors.New("discovery's list is whole, and has no servers")
	case *t.Version < d.held: // it would bring back what has drained or gone since
		return t.Targets, fmt.Errorf("discovery's list goes back from version %d to %d", d.held, *t.Version)
	}
	t.Targets.Version, d.held = *t.Version, *t.Version
	d.heard()
	return t.Targets, nil
}

// refusedError is an answer other than the list.
type refusedError string

func (e refusedError) Error() string { return "discovery answers " + string(e) }

// slowDown lengthens the rests after a refusal: the platform goes on with what it has refused meanwhile, and gets
// to nobody while calls come faster than it takes them.
func (d *discovery) slowDown(err error) {
	var refused refusedError
	if d.turns > 0 && errors.As(err, &refused) {
		most := restMost
		if d.asks {
			most -= answerTime
		}
		d.pace = min(max(2*d.pace, d.turns/4), d.turns, most)
	}
}

// watch follows the list from a version on, -1 for none, until a call fails; then it returns. The next
// call goes out as soon as an answer is passed on: a gap would end the watch. A first call that does not wait has so long.
func (d *discovery) watch(ctx context.Context, base string, version int64, patience time.Duration, news func(Targets)) error {
	for {
		t, err := d.list(ctx, base, version, patience)
		if err != nil {
			return err
		}
		fresh := t.Version != version
		version = t.Version
		news(t)
		// Whoever is answered has had its turn: the rests that refusals have led to get shorter, for the next refusal. Here
		// there is none, whatever work each answer is: what changes between two calls counts as told.
		if fresh {
			if d.pace = d.pace * 3 / 4; d.pace < 2*backOff {
				d.pace = 0
			}
		}
	}
}

// follow watches when asked to. After a failure the list is asked for whole, as changes may have been missed;
// who asks decides when, and failures in a row are told of ever later. A first failure that is mere silence is not told: a watch
// may be broken alone, and the next call is made at once, on a connection of its own.
func (d *discovery) follow(ctx context.Context, version int64, asked <-chan struct{}, news func(Targets), failed func(error)) {
	failures := 0
	d.held = version
	d.heard()
	if d.first > 0 && !wait(ctx, d.first) {
		return
	}
	for {
		select {
		case <-asked:
		case <-ctx.Done():
			return
		}
		var err error
		for again := true; again; version = -1 { // at a new address it goes on at once, from the whole list
			base, here, cancel := d.at(ctx)
			err = d.watch(here, base, version, d.patience(failures), func(t Targets) {
				failures = 0
				news(t)
			})
			d.slowDown(err)
			if !errors.As(err, new(refusedError)) {
				d.client.CloseIdleConnections() // they may be as silent
			}
			if failures++; failures > 1 || d.pace > 0 {
				d.pause(here, max(1, failures-1))
			}
			moved := here.Err() != nil
			again = moved || failures == 1 && errors.Is(err, context.DeadlineExceeded)
			if moved {
				failures = 0
			}
			cancel()
			if ctx.Err() != nil {
				return
			}
		}
		failed(err)
	}
}

// notice is a line on a message that was taken on and not delivered.
type notice struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	RetryMS *int64 `json:"retry_in_ms,omitempty"`
}

// tell posts batches of notices, each once, and passes on those that were taken, and none after a failure. Then all that
// is owed by now goes out anew, and on another connection: nothing waits for a silent one longer than its try takes.
func (d *discovery) tell(ctx context.Context, notices <-chan []notice, told func([]notice)) {
	for failures := 0; ; {
		var batch []notice
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
			d.notifier.CloseIdleConnections() // they may be as silent
			if failures++; !rest(here, min(noticeRest<<min(failures-1, 10), noticeMost)) {
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

func (d *discovery) post(ctx context.Context, base string, lines []byte, limit time.Duration) error {
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
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxBody))
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("notices are answered %s", resp.Status)
	}
	return nil
}
