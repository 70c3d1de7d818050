package discovery

// How the endpoint list is watched.
//
// Where lists are pushed, a change binds as soon as the agent on this machine has it, and a drain leaves a grace of
// 500 ms. An agent that was silent answers no call of that time when it speaks again, and nothing else shows that it
// does. So at any time a call must be on its way that is younger than that grace allows: a long poll is held for
// pushedLongPoll only, and a call that is not answered then is hedged by further ones, each on a connection of its
// own, until one is answered. An agent answers at once and at no cost; hedging pauses where an overloaded platform
// shows behind it.
//
// Where the list comes on request, a change binds later (the simulator's askWithin, changeBindsAfter), and a long
// poll is held for polledLongPoll.

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
	// answerTimeout is how long an answer may take beyond a long poll and, where senders queue, beyond their queue.
	answerTimeout = time.Second
	// maxLongPollLateness bounds that for a long poll, also where senders queue.
	maxLongPollLateness = 2 * time.Second

	initialBackoff = 100 * time.Millisecond // after a rejection; doubles
	maxBackoff     = 500 * time.Millisecond
	failurePause   = 100 * time.Millisecond // after any other failure where lists are pushed
	// maxRejectionPause leaves time for a further call to be answered before changes bind.
	maxRejectionPause = changeBindsAfter - answerTimeout

	// minLoggedSilence is the shortest silence that is logged, when it ends.
	minLoggedSilence = time.Second
)

// UpdateFunc receives an endpoint list that differs from the last one, or the first list of a watch.
type UpdateFunc func(endpointlist.Update)

// FailureFunc receives why a watch has ended. The next one begins when it is requested.
type FailureFunc func(error)

// watcher follows the endpoint list. All of it belongs to the goroutine of follow.
type watcher struct {
	list     *listClient
	platform *platformState
	lease    *endpointListLease
	metrics  *metrics.Registry
	log      *slog.Logger

	polled       bool          // the dispatcher requests each call after a failure; else lists are pushed
	queueTime    time.Duration // that the platform may need to serve all senders one after another
	initialDelay time.Duration // before the first call

	hedger         hedger
	knownVersion   int64         // of the list that was accepted last, noVersion for none
	failures       int           // watches in a row without an answer
	rejectionPause time.Duration // least pause before the next watch; grows with rejections
}

// follow watches the list each time that a request comes, until ctx ends. The first watch begins at version.
func (w *watcher) follow(
	ctx context.Context, version int64, requests <-chan struct{}, updated UpdateFunc, failed FailureFunc,
) {
	w.knownVersion = version
	w.platform.noteContact()
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

// watchUntilFailure watches the list until a failure that has to be reported, or until ctx ends. After a move it goes
// on at once at the new address, and after a first failure that is a mere timeout with a new connection, as that
// watch may have been broken alone. Any watch but the first begins with the full list, as changes may have been
// missed.
func (w *watcher) watchUntilFailure(ctx context.Context, version int64, updated UpdateFunc) error {
	for {
		retryNow, err := w.watchAtAddress(ctx, version, updated)
		if ctx.Err() != nil || !retryNow {
			return err
		}
		version = noVersion
	}
}

// watchAtAddress watches the list at the address of now until it fails, and backs off. It reports whether the next
// watch begins without a request. Whoever requests watches decides when; failures in a row are reported ever later.
func (w *watcher) watchAtAddress(ctx context.Context, version int64, updated UpdateFunc) (retryNow bool, err error) {
	at := w.platform.locate(ctx)
	defer at.release()
	err = w.watch(at, version, updated)
	w.lengthenRejectionPause(err)
	if !isRejected(err) {
		w.list.closeIdle() // the connections may be as silent
	}
	isTimeout := errors.Is(err, context.DeadlineExceeded)
	if isTimeout {
		w.metrics.CountReason(metrics.ReasonDiscovery, ReasonSilent)
	}
	w.failures++
	if w.rejectionPause > 0 || w.failures > 1 && (w.polled || !isTimeout) {
		w.backOff(at.ctx, err)
	}
	if at.hasMoved() {
		w.failures = 0
		return true, err
	}
	return w.failures == 1 && isTimeout, err
}

// watch follows the list from a version on until a call fails, and returns why. The next call goes out as soon as an
// answer has been passed on: a gap would end the watch. An answer without changes is passed on only if it is the
// first.
func (w *watcher) watch(at location, version int64, updated UpdateFunc) error {
	for isFirst := true; ; isFirst = false {
		update, err := w.fetchHedged(at.ctx, w.list.query(at.baseURL, version), w.timeout(version))
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
		w.lease.renew() // after the update: a list is fresh once its changes have been passed on
		if isNewer {
			w.shortenRejectionPause()
		}
	}
}

// accept makes a list the known one. A list that is older is an error: it would bring back endpoints that have
// drained or gone since.
func (w *watcher) accept(update endpointlist.Update) error {
	if update.Version < w.knownVersion {
		return &versionRegressionError{known: w.knownVersion, received: update.Version}
	}
	w.knownVersion = update.Version
	w.platform.noteContact()
	if silence := w.hedger.endSilence(); silence > minLoggedSilence {
		w.log.Info("discovery answers again", "after", silence, "version", update.Version)
	}
	return nil
}

// timeout returns how long an answer is waited for: to a call for the full list no longer than half of the time until
// changes bind, so that a second call can be answered in time, but longer with failures in a row.
func (w *watcher) timeout(version int64) time.Duration {
	if version >= 0 {
		return w.list.longPoll + min(answerTimeout+w.queueTime, maxLongPollLateness)
	}
	afterFailures := answerTimeout << min(max(0, w.failures-1), 10)
	return min(answerTimeout+w.queueTime, changeBindsAfter, max(w.platform.untilChangesBind()/2, afterFailures))
}

// backOff waits after a failure, for a jittered time, or until ctx ends.
func (w *watcher) backOff(ctx context.Context, err error) {
	if !w.polled && !isRejected(err) {
		retry.WaitJittered(ctx, failurePause)
		return
	}
	doublings := max(1, w.failures-1) - 1
	retry.WaitJittered(ctx, max(w.rejectionPause, min(initialBackoff<<min(doublings, 10), maxBackoff)))
}

// lengthenRejectionPause makes the pauses longer after a rejection, where senders queue: the platform goes on with
// what it has rejected meanwhile, and serves nobody while calls come faster than it takes them.
func (w *watcher) lengthenRejectionPause(err error) {
	if w.queueTime == 0 || !isRejected(err) {
		return
	}
	longest := maxRejectionPause
	if w.polled { // the request for the next watch takes its time, too
		longest -= answerTimeout
	}
	w.rejectionPause = min(max(2*w.rejectionPause, w.queueTime/4), w.queueTime, longest)
}

// shortenRejectionPause makes the pauses after rejections shorter, as the sender has been served. Within a watch
// there is no pause, whatever work each answer is: what changes between two calls binds at once.
func (w *watcher) shortenRejectionPause() {
	w.rejectionPause = w.rejectionPause * 3 / 4
	if w.rejectionPause < 2*initialBackoff {
		w.rejectionPause = 0
	}
}
