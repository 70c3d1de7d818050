package discovery

// The watch of the endpoint list.
//
// If lists are pushed, a change takes effect as soon as the agent on this machine has it, and a drain has a grace
// period of 500 ms. When an unresponsive agent answers again, it does not answer the calls that it received before, and
// nothing else shows that it answers again. So at any time there must be a pending call that is younger than the grace
// period allows: a long poll is held only for pushedLongPoll, and a call that is not answered by then is hedged by
// further ones, each on a connection of its own, until one is answered. This is cheap, because an agent answers at once
// and at no cost. Calls are not hedged while the platform behind the agent appears to be overloaded.
//
// If lists are polled, a change takes effect later (the simulator's askWithin, changeEffectiveAfter), and a long poll
// is held for polledLongPoll.

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"onyxdyke.example/onyxdyke/internal/endpointlist"
	"onyxdyke.example/onyxdyke/internal/metrics"
	"onyxdyke.example/onyxdyke/internal/retry"
)

const (
	// answerTimeout is how long an answer may take beyond the long poll and, if senders queue, beyond the queue time.
	answerTimeout = time.Second
	// maxLongPollLateness bounds the time that an answer may take beyond a long poll, even if senders queue.
	maxLongPollLateness = 2 * time.Second

	initialBackoff = 100 * time.Millisecond // after a rejection; doubles
	maxBackoff     = 500 * time.Millisecond
	failurePause   = 100 * time.Millisecond // after any other failure if lists are pushed
	// maxRejectionPause leaves time for an answer to a further call before changes take effect.
	maxRejectionPause = changeEffectiveAfter - answerTimeout

	// minLoggedUnresponsiveness is the shortest time without an answer that is logged when an answer arrives again.
	minLoggedUnresponsiveness = time.Second
)

// UpdateFunc receives an endpoint list that differs from the previous one, or the first list of a watch.
type UpdateFunc func(endpointlist.Update)

// FailureFunc receives the error that ended a watch. The next watch begins when it is requested.
type FailureFunc func(error)

// watcher follows the endpoint list. Only the goroutine of follow uses it.
type watcher struct {
	list     *listClient
	platform *platformState
	lease    *endpointListLease
	metrics  *metrics.Registry
	log      *slog.Logger

	polled       bool          // the dispatcher requests each watch after a failure; otherwise lists are pushed
	queueTime    time.Duration // time that the platform may need to serve all senders one after another
	initialDelay time.Duration // delay before the first call

	hedger         hedger
	knownVersion   int64         // version of the last accepted list; noVersion if there is none
	failures       int           // consecutive watches without an answer
	rejectionPause time.Duration // minimum pause before the next watch; grows with rejections
}

// follow starts a watch of the list for each request, until ctx ends. The first watch starts after version, the others
// with the full list.
func (w *watcher) follow(
	ctx context.Context, version int64, requests <-chan struct{}, updated UpdateFunc, failed FailureFunc,
) {
	w.knownVersion = version
	w.platform.recordContact()
	if w.initialDelay > 0 && !retry.Wait(ctx, w.initialDelay) {
		return
	}
	for {
		select {
		case <-requests:
		case <-ctx.Done():
			return
		}
		err := w.watchUntilFailure(ctx, version, updated)
		if ctx.Err() != nil {
			return
		}
		failed(err)
		version = noVersion
	}
}

// watchUntilFailure watches the list until a failure that has to be reported, or until ctx ends. After a move it
// continues at once at the new address. After a first failure that is a timeout it continues on a new connection,
// because only the old one may be broken. Each watch except the first begins with the full list, because changes may
// have been missed.
func (w *watcher) watchUntilFailure(ctx context.Context, version int64, updated UpdateFunc) error {
	for {
		retryNow, err := w.watchAtAddress(ctx, version, updated)
		if ctx.Err() != nil || !retryNow {
			return err
		}
		version = noVersion
	}
}

// watchAtAddress watches the list at the current address until the watch fails, and backs off. It reports whether the
// next watch begins without a request. The caller of Follow decides when to request a watch; the backoff grows with
// consecutive failures, so they are reported later and later.
func (w *watcher) watchAtAddress(ctx context.Context, version int64, updated UpdateFunc) (retryNow bool, err error) {
	loc := w.platform.locate(ctx)
	defer loc.release()
	err = w.watch(loc, version, updated)
	w.lengthenRejectionPause(err)
	if !isRejected(err) {
		w.list.closeIdle() // the idle connections may be unresponsive as well
	}
	isTimeout := errors.Is(err, context.DeadlineExceeded)
	if isTimeout {
		w.metrics.CountReason(metrics.ReasonDiscovery, ReasonSilent)
	}
	w.failures++
	if w.rejectionPause > 0 || w.failures > 1 && (w.polled || !isTimeout) {
		w.backOff(loc.ctx, err)
	}
	if loc.hasMoved() {
		w.failures = 0
		return true, err
	}
	return w.failures == 1 && isTimeout, err
}

// watch follows the list from a version on until a call fails, and returns the error. It makes the next call as soon as
// it has passed an answer to updated, because a gap between calls would end the watch. An answer without changes is
// passed on only if it is the first one.
func (w *watcher) watch(loc location, version int64, updated UpdateFunc) error {
	for isFirst := true; ; isFirst = false {
		update, err := w.fetchHedged(loc.ctx, w.list.query(loc.baseURL, version), w.timeout(version))
		if err == nil {
			err = w.accept(update)
		}
		if err != nil {
			return err
		}
		isNewer := update.Version != version
		version = update.Version
		w.failures = 0
		if isFirst || isNewer || len(update.Endpoints) > 0 {
			updated(update)
		}
		w.lease.renew() // after the update, because a list is fresh only once its changes have been passed on
		if isNewer {
			w.shortenRejectionPause()
		}
	}
}

// accept records a list as the known one. It returns an error for an older list, which would restore endpoints that
// have been drained or deleted since.
func (w *watcher) accept(update endpointlist.Update) error {
	if update.Version < w.knownVersion {
		return &versionRegressionError{known: w.knownVersion, received: update.Version}
	}
	w.knownVersion = update.Version
	w.platform.recordContact()
	if unresponsive := w.hedger.endUnresponsiveness(); unresponsive > minLoggedUnresponsiveness {
		w.log.Info("discovery answers again", "after", unresponsive, "version", update.Version)
	}
	return nil
}

// timeout returns how long to wait for the answer to a call. For a call for the full list it is at most half of the
// time until changes take effect, so that a second call can be answered in time, but it grows with consecutive
// failures.
func (w *watcher) timeout(version int64) time.Duration {
	if version >= 0 {
		return w.list.longPoll + min(answerTimeout+w.queueTime, maxLongPollLateness)
	}
	afterFailures := answerTimeout << min(max(0, w.failures-1), 10)
	return min(answerTimeout+w.queueTime, changeEffectiveAfter, max(w.platform.untilEffective()/2, afterFailures))
}

// backOff waits for a jittered time after a failure, or until ctx ends.
func (w *watcher) backOff(ctx context.Context, err error) {
	if !w.polled && !isRejected(err) {
		retry.WaitJittered(ctx, failurePause)
		return
	}
	doublings := max(1, w.failures-1) - 1
	retry.WaitJittered(ctx, max(w.rejectionPause, min(initialBackoff<<min(doublings, 10), maxBackoff)))
}

// lengthenRejectionPause lengthens the pauses after a rejection if senders queue. The platform continues to work on
// calls that it has rejected, and serves no sender while calls arrive faster than it can process them.
func (w *watcher) lengthenRejectionPause(err error) {
	if w.queueTime == 0 || !isRejected(err) {
		return
	}
	longest := maxRejectionPause
	if w.polled { // the request for the next watch needs time as well
		longest -= answerTimeout
	}
	w.rejectionPause = min(max(2*w.rejectionPause, w.queueTime/4), w.queueTime, longest)
}

// shortenRejectionPause shortens the pauses after rejections when the sender has been served. There is never a pause
// within a watch, whatever the cost of each answer, because a change between two calls takes effect at once.
func (w *watcher) shortenRejectionPause() {
	w.rejectionPause = w.rejectionPause * 3 / 4
	if w.rejectionPause < 2*initialBackoff {
		w.rejectionPause = 0
	}
}
