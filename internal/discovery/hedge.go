package discovery

import (
	"context"
	"net/http/httptrace"
	"time"

	"onyxdyke.example/onyxdyke/internal/endpointlist"
	"onyxdyke.example/onyxdyke/internal/metrics"
)

const (
	// When the answer to a call is overdue by hedgeDelay, a further request is sent every hedgeInterval. Each of them
	// may take hedgeTimeout beyond its long poll. With pushedLongPoll, a change is received within 0.25 s after an
	// unresponsive agent answers again. Even if the sender is also paused for 0.15 s, that is within the grace period
	// of a drain, 0.5 s.
	hedgeDelay    = 100 * time.Millisecond
	hedgeInterval = 150 * time.Millisecond
	hedgeTimeout  = 500 * time.Millisecond
	// hedgeDelayInBody is how long an answer that has begun may take before its call is hedged again: a long list takes
	// longer to arrive.
	hedgeDelayInBody = 250 * time.Millisecond

	// An answer that is late by slowAnswer indicates an overloaded platform, as does a rejection. After a rejection, no
	// call is hedged for hedgingPause.
	slowAnswer   = 400 * time.Millisecond
	hedgingPause = 10 * time.Second
)

// fetchResult is the result of one request of a hedged call.
type fetchResult struct {
	update   endpointlist.Update
	err      error
	isHedge  bool          // it was not the first request of its call
	lateness time.Duration // time until the answer beyond the long poll; undefined after an error
}

// hedger decides when the calls for the list are hedged. It belongs to the watcher's goroutine.
type hedger struct {
	pausedUntil time.Time // no call is hedged until then, because the platform has rejected a call
	// lateness is that of the last slow answers. It decays with prompt ones.
	lateness time.Duration
	// unresponsiveSince is when the first of the consecutive unanswered calls was hedged, or zero if the last call was
	// answered.
	unresponsiveSince time.Time
}

// fetchHedged makes a call for the list and hedges it while it is unanswered, each request on a connection of its own.
// It returns the first list that is received, or the error of the first request if that fails before. It then cancels
// the unanswered requests, which ends their goroutines. It does not wait for them, because the next call must be sent
// at once.
func (w *watcher) fetchHedged(
	ctx context.Context, query listQuery, timeout time.Duration,
) (endpointlist.Update, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ctx, firstByte := traceFirstByte(ctx)
	results := make(chan fetchResult)
	go w.list.fetchInto(ctx, results, query, timeout, false)
	timer := time.NewTimer(query.longPoll + w.hedger.delay())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return endpointlist.Update{}, ctx.Err()
		case <-timer.C:
			if w.mayHedge() {
				w.recordHedge()
				w.list.closeIdle() // they may be unresponsive as well, so the hedge gets a new connection
				go w.list.fetchInto(ctx, results, query, query.longPoll+hedgeTimeout, true)
				timer.Reset(hedgeInterval)
			}
		case <-firstByte:
			timer.Reset(hedgeDelayInBody)
		case result := <-results:
			w.recordResult(result)
			if !result.isHedge || result.err == nil {
				return result.update, result.err
			}
		}
	}
}

// traceFirstByte returns a context for requests, and a channel that receives a value when an answer to one of them
// begins.
func traceFirstByte(ctx context.Context) (context.Context, <-chan struct{}) {
	firstByte := make(chan struct{}, 1)
	trace := &httptrace.ClientTrace{GotFirstResponseByte: func() {
		select {
		case firstByte <- struct{}{}:
		default: // a value is pending already
		}
	}}
	return httptrace.WithClientTrace(ctx, trace), firstByte
}

// fetchInto makes one request of a hedged call and sends its result to results, unless the call has ended by then.
func (l *listClient) fetchInto(
	ctx context.Context, results chan<- fetchResult, query listQuery, timeout time.Duration, isHedge bool,
) {
	began := time.Now()
	update, err := l.fetch(ctx, query, timeout)
	lateness := time.Since(began) - query.longPoll
	select {
	case results <- fetchResult{update: update, err: err, isHedge: isHedge, lateness: lateness}:
	case <-ctx.Done():
	}
}

// mayHedge reports whether a call may be hedged now. Calls are not hedged where lists are polled, because no agent
// answers for the platform there, nor while the platform is overloaded: hedges would add to its load.
func (w *watcher) mayHedge() bool {
	return !w.polled && !time.Now().Before(w.hedger.pausedUntil)
}

// recordHedge counts a hedge, and records that the agent is unresponsive.
func (w *watcher) recordHedge() {
	w.metrics.CountReason(metrics.ReasonDiscovery, ReasonHedged)
	if w.hedger.unresponsiveSince.IsZero() {
		w.hedger.unresponsiveSince = time.Now()
	}
}

// recordResult records the result of a request.
func (w *watcher) recordResult(result fetchResult) {
	switch {
	case isRejected(result.err):
		w.hedger.pausedUntil = time.Now().Add(hedgingPause)
		w.metrics.CountReason(metrics.ReasonDiscovery, ReasonRejected)
	case result.err == nil:
		w.hedger.recordLateness(result.lateness)
	}
}

// delay returns how long a call has to be overdue before it is hedged. The delay is longer after slow answers.
func (h *hedger) delay() time.Duration { return max(hedgeDelay, 2*h.lateness) }

// recordLateness records how late an answer was. After a slow answer, calls are hedged later; prompt answers reduce
// that delay again.
func (h *hedger) recordLateness(lateness time.Duration) {
	h.lateness = h.lateness * 3 / 4
	if lateness >= slowAnswer {
		h.lateness = max(h.lateness, lateness)
	}
	if h.lateness < slowAnswer/4 {
		h.lateness = 0
	}
}

// endUnresponsiveness records an answer, and returns how long calls had been unanswered before it.
func (h *hedger) endUnresponsiveness() (duration time.Duration) {
	if !h.unresponsiveSince.IsZero() {
		duration = time.Since(h.unresponsiveSince)
	}
	h.unresponsiveSince = time.Time{}
	return duration
}
