package dispatch

import (
	"math"
	"time"
)

const (
	// destinationCallShare is the share of the slots for calls that one destination stays under (design).
	destinationCallShare = 0.75
	// windowDecay is what the window loses by a call served while less than half of it is in use.
	windowDecay = 0.25
	// overdueFactor is the age of an unanswered call, as a multiple of the median latency, from which it
	// may be cancelled.
	overdueFactor = 8
	// slowFactor is the recent latency, as a multiple of the usual one, from which a destination is slow.
	slowFactor = 3
	// overdueDoublings is how often that age doubles at most, as calls are cancelled.
	overdueDoublings = 4
)

// concurrencyWindow bounds the calls in flight of a route. It grows by one with each call served and
// halves on rejections and timeouts.
type concurrencyWindow struct {
	size           float64
	halvedAt       time.Duration
	inFlight       int     // calls
	unanswered     []*call // calls in flight, in order of sending
	cancelledCalls int     // calls cancelled since one was served
}

// halve cuts the window, once for all calls that were in flight at the last cut.
func (w *concurrencyWindow) halve(sentAt, now time.Duration) {
	if sentAt >= w.halvedAt {
		w.size, w.halvedAt = max(1, w.size/2), now
	}
}

// recordServed grows the window by a call served. A window that is not in use says nothing about what the
// destination bears: it grows in use only, and decays out of it, so that a destination that falls silent
// takes few slots before that shows.
func (w *concurrencyWindow) recordServed(maxCalls float64) {
	if used := float64(w.inFlight + 1); 2*used >= w.size {
		w.size = min(w.size+1, max(1, maxCalls))
	} else {
		w.size = max(2, w.size-windowDecay)
	}
}

// maxCallsPerDestination is how many calls one destination may have in flight at most (design).
func (d *Dispatcher) maxCallsPerDestination() float64 {
	return math.Ceil(destinationCallShare*float64(d.settings.MaxConcurrentCalls)) - 1
}

// concurrencyLimit is how many calls r may have in flight. A failing, slow or silent one keeps half.
func (d *Dispatcher) concurrencyLimit(r *route) int {
	limit := d.maxCallsPerDestination()
	isSlow := r.traffic.latency > slowFactor*r.estimator.mean && r.estimator.mean > 0
	if r.breaker.failureRate > degradedFailureRate || isSlow || d.isSilent(r, 1) {
		limit = math.Floor(limit / 2)
	}
	return max(1, int(min(limit, r.window.size)))
}

// isFull reports whether r has as many calls in flight as its window and its state allow. In an outage probes
// are counted instead.
func (d *Dispatcher) isFull(r *route) bool {
	return r.breaker.state != unavailable && r.window.inFlight >= d.concurrencyLimit(r)
}

// isSilent reports whether nothing was served since the oldest of n or more unanswered calls was sent,
// long ago.
func (d *Dispatcher) isSilent(r *route, n int) bool {
	if len(r.window.unanswered) < n {
		return false
	}
	oldest := r.window.unanswered[0]
	return r.traffic.lastServedAt <= oldest.sentAt && d.now-oldest.sentAt > r.silenceTimeout()
}

// mayExceedWindow reports whether one more call may go beside those that r has in flight, as all of them
// are overdue: one that may not be repeated holds its place to its deadline, and at an endpoint that hangs
// a few of them would keep all others out of the destination. The additional call goes to an endpoint that
// has none.
func (d *Dispatcher) mayExceedWindow(r *route) bool {
	for _, c := range r.window.unanswered {
		if overdueAt := c.sentAt + d.overdueAfter(c); d.now < overdueAt {
			d.wakeAt(overdueAt)
			return false
		}
	}
	return r.window.inFlight < int(d.maxCallsPerDestination())
}

// silenceTimeout is how old an unanswered call may be before it counts as silence. Calls that came back
// from a hang lengthen the timeout; silence is judged as if they had not.
func (r *route) silenceTimeout() time.Duration {
	return min(r.estimator.optimumOrInitial(), tauInitial)
}

// overdueAfter is the age from which a call may be cancelled for its slot: some times the usual latency,
// which for a route with few samples is that of all routes, if a call sent later was served there already.
// It doubles with each call cancelled there until one is served: what becomes slow then gets the time to
// show it.
func (d *Dispatcher) overdueAfter(c *call) time.Duration {
	r := c.route
	d.overallEstimator.optimum() // brings its median up to date
	usualLatency := d.overallEstimator.median
	if r.estimator.samples >= minSamples {
		usualLatency = r.estimator.median
	} else if d.overallEstimator.samples < minSamples || r.traffic.lastServedSentAt <= c.sentAt {
		return r.silenceTimeout()
	}
	slowLatency := time.Duration(slowFactor * r.traffic.latency * float64(time.Second))
	usualLatency = max(overdueFactor*usualLatency, slowLatency, probeInterval)
	return min(r.silenceTimeout(), usualLatency<<min(r.window.cancelledCalls, overdueDoublings))
}

// cancelOverdue cancels overdue calls while messages wait for slots, the longest overdue first. A call
// that may not be repeated holds its slot to the deadline otherwise, and a few destinations that hang, or
// calls lost here and there, would take all slots. The cost is that a call may be cancelled which would
// have been answered.
func (d *Dispatcher) cancelOverdue(waiting int) {
	for d.settings.CanCancelAttempts && d.cancelledInFlight < waiting {
		victim := d.longestOverdue()
		if victim == nil {
			return
		}
		victim.cancelled = true
		victim.route.window.cancelledCalls++
		d.cancelledInFlight++
		for _, m := range victim.messages {
			if last := len(m.attempts) - 1; !m.attempts[last].ended {
				d.emit(Cancel{Message: m.ID, Attempt: last})
			}
		}
	}
}

// longestOverdue is the call that is the longest overdue and not cancelled, nil if there is none.
func (d *Dispatcher) longestOverdue() *call {
	var victim *call
	longest := time.Duration(0)
	for _, r := range d.routes {
		for _, c := range r.window.unanswered {
			overdue := d.now - c.sentAt - d.overdueAfter(c)
			if overdue > longest && !c.cancelled {
				victim, longest = c, overdue
			}
		}
	}
	return victim
}
