package dispatch

import (
	"math"
	"time"
)

const (
	// destinationCallShare is the share of all call slots (MaxConcurrentCalls) that the calls of one
	// destination stay below.
	destinationCallShare = 0.75
	// windowDecay is subtracted from the window for each call served while less than half of it is in use.
	windowDecay = 0.25
	// overdueFactor is the age of an unanswered call, as a multiple of the median latency, from which it
	// may be cancelled.
	overdueFactor = 8
	// slowFactor is the recent latency, as a multiple of the usual one, from which a destination is slow.
	slowFactor = 3
	// overdueDoublings is the maximum number of times that the age from which a call may be cancelled
	// doubles, as calls are cancelled.
	overdueDoublings = 4
)

// concurrencyWindow bounds the calls in flight of a route. It grows by one with each call served and
// halves on rejections and timeouts.
type concurrencyWindow struct {
	size           float64
	halvedAt       time.Duration
	inFlight       int     // calls
	unanswered     []*call // calls in flight, in the order in which they were sent
	cancelledCalls int     // calls cancelled since the last one that was served
}

// halve halves the window, at most once for all calls that were in flight at the last halving.
func (w *concurrencyWindow) halve(sentAt, now time.Duration) {
	if sentAt >= w.halvedAt {
		w.size, w.halvedAt = max(1, w.size/2), now
	}
}

// recordServed adjusts the window for a call served. The window grows only while at least half of it is in
// use, as otherwise it does not show how many calls the destination can handle. It shrinks while less is in
// use, so that a destination that stops answering occupies few slots before that is noticed.
func (w *concurrencyWindow) recordServed(maxCalls float64) {
	if used := float64(w.inFlight + 1); 2*used >= w.size {
		w.size = min(w.size+1, max(1, maxCalls))
	} else {
		w.size = max(2, w.size-windowDecay)
	}
}

// maxCallsPerDestination returns how many calls one destination may have in flight at most.
func (d *Dispatcher) maxCallsPerDestination() float64 {
	return math.Ceil(destinationCallShare*float64(d.settings.MaxConcurrentCalls)) - 1
}

// concurrencyLimit returns how many calls r may have in flight: its window, up to the maximum for one
// destination, or up to half of that if r is failing, slow or silent.
func (d *Dispatcher) concurrencyLimit(r *route) int {
	limit := d.maxCallsPerDestination()
	isSlow := r.traffic.latency > slowFactor*r.estimator.mean && r.estimator.mean > 0
	if r.breaker.failureRate > degradedFailureRate || isSlow || d.isSilent(r, 1) {
		limit = math.Floor(limit / 2)
	}
	return max(1, int(min(limit, r.window.size)))
}

// isFull reports whether r has as many calls in flight as its window and its state allow. In an outage it
// returns false, and acceptsCall limits the number of probes instead.
func (d *Dispatcher) isFull(r *route) bool {
	return r.breaker.state != unavailable && r.window.inFlight >= d.concurrencyLimit(r)
}

// isSilent reports whether r has n or more unanswered calls, the oldest of them was sent longer ago than the
// silence timeout, and no call was served since it was sent.
func (d *Dispatcher) isSilent(r *route, n int) bool {
	if len(r.window.unanswered) < n {
		return false
	}
	oldest := r.window.unanswered[0]
	return r.traffic.lastServedAt <= oldest.sentAt && d.now-oldest.sentAt > r.silenceTimeout()
}

// mayExceedWindow reports whether r may have one more call in flight than its window allows, because all its
// calls in flight are overdue. A call that may not be repeated stays in flight until its deadline, and at an
// endpoint that hangs a few of them would block all other calls to the destination. The additional call goes
// to an endpoint that has none in flight.
func (d *Dispatcher) mayExceedWindow(r *route) bool {
	for _, c := range r.window.unanswered {
		if overdueAt := c.sentAt + d.overdueAfter(c); d.now < overdueAt {
			d.wakeAt(overdueAt)
			return false
		}
	}
	return r.window.inFlight < int(d.maxCallsPerDestination())
}

// silenceTimeout returns how old an unanswered call may be before r counts as silent. Calls that were
// answered after a hang lengthen the optimal timeout; the bound of tauInitial keeps them from lengthening the
// silence timeout, too.
func (r *route) silenceTimeout() time.Duration {
	return min(r.estimator.optimumOrInitial(), tauInitial)
}

// overdueAfter returns the age from which c may be cancelled to free its slot. The age is a multiple of the
// route's usual latency. If the route has few samples, it is a multiple of the usual latency over all routes,
// but only once a call sent after c was served by the route. Otherwise it is the silence timeout, which is
// also its maximum. The age doubles with each call cancelled at the route until one is served there: a
// destination that has become slow then gets the time to answer, which shows its new latency.
func (d *Dispatcher) overdueAfter(c *call) time.Duration {
	r := c.route
	d.overallEstimator.optimum() // updates its median
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

// cancelOverdue cancels overdue calls while messages wait for slots, the longest overdue first. Otherwise a
// call that may not be repeated holds its slot until its deadline, and a few destinations that hang, or
// single calls that are never answered, would occupy all slots. The cost is that a cancelled call might still
// have been answered.
func (d *Dispatcher) cancelOverdue(waiting int) {
	for d.settings.CanCancelAttempts && d.cancelledInFlight < waiting {
		overdueCall := d.longestOverdue()
		if overdueCall == nil {
			return
		}
		overdueCall.cancelled = true
		overdueCall.route.window.cancelledCalls++
		d.cancelledInFlight++
		for _, m := range overdueCall.messages {
			if last := len(m.attempts) - 1; !m.attempts[last].ended {
				d.emit(Cancel{Message: m.ID, Attempt: last})
			}
		}
	}
}

// longestOverdue returns the call that has been overdue for the longest time, cancelled ones aside. It
// returns nil if there is none.
func (d *Dispatcher) longestOverdue() *call {
	var longestCall *call
	longest := time.Duration(0)
	for _, r := range d.routes {
		for _, c := range r.window.unanswered {
			overdue := d.now - c.sentAt - d.overdueAfter(c)
			if overdue > longest && !c.cancelled {
				longestCall, longest = c, overdue
			}
		}
	}
	return longestCall
}
