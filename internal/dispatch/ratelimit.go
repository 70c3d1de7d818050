package dispatch

import (
	"math"
	"time"
)

const (
	// paceIncrease is the growth of the pace for each call served, as a share of this sender's fair share of
	// the limit.
	paceIncrease = 0.1
	// unreportedIncrease multiplies that growth where answers do not report a limit.
	unreportedIncrease = 2
	// paceDecrease is the factor by which a rejection lowers the pace, with up to smallFleetSize senders.
	paceDecrease = 0.7
	// isolatedRejectionFloor is the least pace after an isolated rejection, as a share of this sender's fair
	// share of the limit.
	isolatedRejectionFloor = 0.9
	// rejectionFloor is the same for several rejections in a row.
	rejectionFloor = 0.5
	// growthQuota is the share of the quota that must be left for the pace to grow.
	growthQuota = 0.3
	// degradedPaceFactor bounds the rate at a degraded destination, as a multiple of its served rate.
	degradedPaceFactor = 1.5
	// backoffInitial is the first backoff after a rejection without a Retry-After; it doubles with each
	// further one.
	backoffInitial = 100 * time.Millisecond
	// backoffMax is the longest such backoff: about the span over which destinations count their limits.
	backoffMax = time.Second
	// retryAfterMargin is added to the Retry-After of a destination.
	retryAfterMargin = time.Millisecond
)

// rateLimiter is a token bucket. Its rate, the pace, follows the destination's limit by additive increase and
// multiplicative decrease.
type rateLimiter struct {
	limit      float64 // calls a second that all senders may make, 0 if unknown
	pace       float64 // calls a second that this sender allows itself
	tokens     float64 // calls that may be started now
	refilledAt time.Duration
}

// backoff blocks calls to a route until a time.
type backoff struct {
	until      time.Duration
	delay      time.Duration // the last backoff after a rejection without a Retry-After
	rejectedAt time.Duration // time of the last rejection
}

// set sets the number of tokens in the bucket.
func (l *rateLimiter) set(tokens float64, now time.Duration) { l.tokens, l.refilledAt = tokens, now }

// grow blocks the route for twice as long as the last time, within the bounds of the backoff.
func (b *backoff) grow(now time.Duration) {
	b.delay = min(max(2*b.delay, backoffInitial), backoffMax)
	b.until = max(b.until, now+b.delay)
}

// allowedRate returns how many calls a second r may get now, and how many at once. The concurrency window
// alone does not bound the rate of calls that fail fast, and a recovering destination can handle only few
// calls, rejected ones included.
func (d *Dispatcher) allowedRate(r *route) (rate, burst float64) {
	rate, burst = math.Inf(1), math.Inf(1)
	if r.limiter.limit > 0 {
		rate, burst = r.limiter.pace, max(1, r.limiter.pace)
		if r.maxBatchSize > 1 { // makes waiting messages share a call; one call each would use up the limit
			burst = 1
		}
	}
	switch {
	case r.breaker.state == unavailable:
		rate, burst = min(rate, d.recoveryRate(r), 1/probeInterval.Seconds()), 1
	case r.breaker.state == warmingUp:
		rate, burst = min(rate, d.recoveryRate(r)), 1
	case r.breaker.failureRate > degradedFailureRate:
		rate, burst = min(rate, max(1, degradedPaceFactor*r.traffic.servedRate())), 1
	}
	return rate, burst
}

// refill adds the tokens for the time since the last refill.
func (d *Dispatcher) refill(r *route) {
	rate, burst := d.allowedRate(r)
	if math.IsInf(rate, 1) {
		r.limiter.tokens = 1
	} else {
		r.limiter.tokens = min(burst, r.limiter.tokens+rate*(d.now-r.limiter.refilledAt).Seconds())
	}
	r.limiter.refilledAt = d.now
}

// hasToken reports whether the rate allows a call now. If not, it schedules a step for when it does.
func (d *Dispatcher) hasToken(r *route) bool {
	d.refill(r)
	if r.limiter.tokens >= 1 {
		return true
	}
	rate, _ := d.allowedRate(r)
	missing := time.Duration((1 - r.limiter.tokens) / rate * float64(time.Second))
	d.wakeAt(d.now + missing + time.Millisecond)
	return false
}

// updateRateLimit applies a limit that was reported or listed. The pace starts at initialPace and then
// changes in proportion to the limit.
func (d *Dispatcher) updateRateLimit(r *route, limit float64) {
	if r.limiter.limit == 0 {
		r.limiter.pace = d.initialPace(limit)
	} else {
		r.limiter.pace *= limit / r.limiter.limit
	}
	r.limiter.limit = limit
}

// increasePace raises the pace after a call was served.
func (d *Dispatcher) increasePace(r *route, limitReported bool) {
	l := &r.limiter
	increase := paceIncrease * d.fairShare(l.limit)
	if !limitReported {
		increase *= unreportedIncrease // the listed rating is a capacity, so there is no quota to use up
	}
	maxPace := l.limit
	if r.maxBatchSize > 1 { // more messages do not need more calls
		maxPace = d.initialPace(l.limit)
	}
	l.pace = min(maxPace, max(l.pace, isolatedRejectionFloor*d.fairShare(l.limit))+increase)
}

// decreasePace lowers the pace after a rejection. The more senders there are, the less each learns from one
// call: all together may be far above the limit, and where rejected calls count against the limit, the
// senders keep each other from being served. So each of many senders lowers its pace by more, until the
// backlog drains. A single rejection among served calls is chance: a limit that is counted over a short time
// is exceeded by calls that arrive together, even while the senders make fewer calls in all than it allows.
func (d *Dispatcher) decreasePace(r *route) {
	l := &r.limiter
	senders := float64(max(smallFleetSize, d.settings.Senders))
	floor := rejectionFloor
	if r.breaker.consecutiveFailures == 1 && r.traffic.recentServed > 0 {
		floor = isolatedRejectionFloor
	}
	l.pace = max(l.pace*paceDecrease*smallFleetSize/senders, d.fairShare(l.limit)*floor)
	if senders > smallFleetSize {
		l.set(d.jitter(), d.now) // other senders were rejected at the same time
	}
}

// applyRetryAfter blocks a route of a destination for the delay that the destination asked for, and aborts
// the route's calls that have not been written yet.
func (d *Dispatcher) applyRetryAfter(dest *destination, r *route, delay time.Duration) {
	r.backoff.until = max(r.backoff.until, d.now+delay+retryAfterMargin)
	for _, e := range dest.endpoints {
		if e.route == r {
			d.abortUnsent(e)
		}
	}
}

// isPositiveFinite reports whether x is valid as a rate, as reports and endpoint lists may contain any
// number.
func isPositiveFinite(x float64) bool { return x > 0 && !math.IsInf(x, 1) }
