package discovery

import (
	"context"
	"net/http/httptrace"
	"time"

	"onyxdyke.example/onyxdyke/internal/endpointlist"
	"onyxdyke.example/onyxdyke/internal/metrics"
)

const (
	// A call that is overdue by hedgeDelay is hedged by a further request every hedgeInterval, each of which may take
	// hedgeTimeout beyond its long poll. With pushedLongPoll, a change is received within 0.25 s of the moment in
	// which a silent agent speaks again; a sender may be paused for 0.15 s besides, and a drain's grace is 0.5 s.
	hedgeDelay    = 100 * time.Millisecond
	hedgeInterval = 150 * time.Millisecond
	hedgeTimeout  = 500 * time.Millisecond
	// hedgeDelayInBody is how long an answer that has begun may take to be complete before its call is hedged again:
	// a long list takes its time.
	hedgeDelayInBody = 250 * time.Millisecond

	// An answer that is late by slowAnswer shows an overloaded platform, as does a rejection. After a rejection no
	// call is hedged for hedgingPause.
	slowAnswer   = 400 * time.Millisecond
	hedgingPause = 10 * time.Second
)

// fetchResult is how one request of a hedged call ended.
type fetchResult struct {
	update   endpointlist.Update
	err      error
	isHedge  bool          // not the first request of its call
	lateness time.Duration // of the answer, beyond the long poll; without meaning after an error
}

// hedger decides when the calls for the list are hedged. It belongs to the watcher's goroutine.
type hedger struct {
	pausedUntil time.Time     // the platform has rejected a call: none is hedged until then
	lateness    time.Duration // of the last answers, where they were slow; decays with prompt ones
	silentSince time.Time     // when the first of the calls in a row without an answer was hedged, zero for none
}

// fetchHedged makes a call for the list and hedges it while it stays unanswered, each request on a connection of its
// own. The first list that comes is the result, or the failure of the first request. The requests that are then still
// unanswered are cancelled, and their goroutines end by that; nobody waits for them, as the next call must go out at
// once.
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
				w.noteHedge()
				go w.list.fetchInto(ctx, results, query, query.longPoll+hedgeTimeout, true)
				timer.Reset(hedgeInterval)
			}
		case <-firstByte:
			timer.Reset(hedgeDelayInBody)
		case result := <-results:
			w.noteResult(result)
			if !result.isHedge || result.err == nil {
				return result.update, result.err
			}
		}
	}
}

// traceFirstByte returns a context for requests and a channel that tells that an answer to one of them has begun.
func traceFirstByte(ctx context.Context) (context.Context, <-chan struct{}) {
	firstByte := make(chan struct{}, 1)
	trace := &httptrace.ClientTrace{GotFirstResponseByte: func() {
		select {
		case firstByte <- struct{}{}:
		default: // one signal waits already
		}
	}}
	return httptrace.WithClientTrace(ctx, trace), firstByte
}

// fetchInto makes one request of a hedged call and passes its result on, unless the call is over by then.
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

// mayHedge reports whether a call may be hedged now. Hedges would add to the load of a platform that is polled, as no
// agent answers for it, or that is overloaded.
func (w *watcher) mayHedge() bool {
	return !w.polled && !time.Now().Before(w.hedger.pausedUntil)
}

// noteHedge counts a hedge.
func (w *watcher) noteHedge() {
	w.metrics.CountReason(metrics.ReasonDiscovery, ReasonHedged)
	if w.hedger.silentSince.IsZero() {
		w.hedger.silentSince = time.Now()
	}
}

// noteResult records how a request ended.
func (w *watcher) noteResult(result fetchResult) {
	switch {
	case isRejected(result.err):
		w.hedger.pausedUntil = time.Now().Add(hedgingPause)
		w.metrics.CountReason(metrics.ReasonDiscovery, ReasonRejected)
	case result.err == nil:
		w.hedger.noteLateness(result.lateness)
	}
}

// delay returns by how much a call has to be overdue before it is hedged: longer where the last answers were slow.
func (h *hedger) delay() time.Duration { return max(hedgeDelay, 2*h.lateness) }

// noteLateness records how late an answer came. After a slow one calls are hedged later; that decays with prompt
// ones.
func (h *hedger) noteLateness(lateness time.Duration) {
	h.lateness = h.lateness * 3 / 4
	if lateness >= slowAnswer {
		h.lateness = max(h.lateness, lateness)
	}
	if h.lateness < slowAnswer/4 {
		h.lateness = 0
	}
}

// endSilence records an answer, and returns for how long calls had been without one.
func (h *hedger) endSilence() (silence time.Duration) {
	if !h.silentSince.IsZero() {
		silence = time.Since(h.silentSince)
	}
	h.silentSince = time.Time{}
	return silence
}
