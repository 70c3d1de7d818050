package dispatch

import (
	"math"
	"time"
)

const (
	// paceIncrease is the growth of the pace by a call served, as a share of our fair share of the limit.
	paceIncrease = 0.1
	// unreportedIncrease multiplies that growth where no limit is reported.
	unreportedIncrease = 2
	// paceDecrease is the share of the pace that is left after a rejection, in a small fleet.
	paceDecrease = 0.7
	// isolatedRejectionFloor is the share of our fair share below which an isolated rejection leaves no pace.
	isolatedRejectionFloor = 0.9
	// rejectionFloor is the same for rejections in a row.
	rejectionFloor = 0.5
	// growthQuota is the share of the quota that must be left for the pace to grow.
	growthQuota = 0.3
	// degradedPaceFactor bounds the rate at a degraded destination, as a multiple of its served rate.
	degradedPaceFactor = 1.5
	// backoffInitial is the first backoff after a rejection that names none; it doubles.
	backoffInitial = 100 * time.Millisecond
	// backoffMax is the longest such backoff: about the span over which limits are counted.
	backoffMax = time.Second
	// retryAfterMargin is added to the delay that a destination asks for.
	retryAfterMargin = time.Millisecond
)

// rateLimiter is a token bucket. Its rate (pace) follows the destination's limit by additive increase and
// multiplicative decrease.
type rateLimiter struct {
	limit      float64 // calls a second that all senders may make, 0 if unknown
	pace       float64 // our part of it
	tokens     float64 // calls that the pace allows now
	refilledAt time.Duration
}

// backoff closes a route for a time.
type backoff struct {
	until      time.Duration
	step       time.Duration // the last backoff after a rejection that named none
	rejectedAt time.Duration // the last rejection
}

// set gives the bucket a number of tokens.
func (l *rateLimiter) set(tokens float64, now time.Duration) { l.tokens, l.refilledAt = tokens, now }

// grow closes the route for the next longer backoff.
func (b *backoff) grow(now time.Duration) {
	b.step = min(max(2*b.step, backoffInitial), backoffMax)
	b.until = max(b.until, now+b.step)
}

// allowedRate is how many calls a second r may get now, and how many at once. A window alone does not bound
// the rate of calls that fail fast, and a recovering destination bears few calls, rejected ones included.
func (d *Dispatcher) allowedRate(r *route) (rate, burst float64) {
	rate, burst = math.Inf(1), math.Inf(1)
	if r.limiter.limit > 0 {
		rate, burst = r.limiter.pace, max(1, r.limiter.pace)
		if r.maxBatchSize > 1 { // waiting messages share a call: one each would use up the limit
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

// hasToken reports whether the rate allows a call now; if not, a batch comes when it does.
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

// updateRateLimit takes in a limit that was reported. Our pace starts at our part of it.
func (d *Dispatcher) updateRateLimit(r *route, limit float64) {
	if r.limiter.limit == 0 {
		r.limiter.pace = d.initialPace(limit)
	} else {
		r.limiter.pace *= limit / r.limiter.limit
	}
	r.limiter.limit = limit
}

// increasePace raises the pace for a call served.
func (d *Dispatcher) increasePace(r *route, limitReported bool) {
	l := &r.limiter
	step := paceIncrease * d.fairShare(l.limit)
	if !limitReported {
		step *= unreportedIncrease // there is no quota to use up: the listed rating is a capacity
	}
	maxPace := l.limit
	if r.maxBatchSize > 1 { // more messages need no more calls
		maxPace = d.initialPace(l.limit)
	}
	l.pace = min(maxPace, max(l.pace, isolatedRejectionFloor*d.fairShare(l.limit))+step)
}

// decreasePace lowers the pace after a rejection. The more senders there are the less does one call tell
// each: all may be far above the limit, and where rejected calls use it up they keep one another out. So each
// goes down until the backlog drains. One rejection among served calls is chance: a limit that is counted
// over a short time is met by calls that come together, also while all of them are fewer than it allows.
func (d *Dispatcher) decreasePace(r *route) {
	l := &r.limiter
	senders := float64(max(smallFleet, d.settings.Senders))
	floor := rejectionFloor
	if r.breaker.consecutiveFailures == 1 && r.traffic.recentServed > 0 {
		floor = isolatedRejectionFloor
	}
	l.pace = max(l.pace*paceDecrease*smallFleet/senders, d.fairShare(l.limit)*floor)
	if senders > smallFleet {
		l.set(d.jitter(), d.now) // others were rejected in the same moment
	}
}

// applyRetryAfter closes a route of a destination for the delay that it asks for.
func (d *Dispatcher) applyRetryAfter(dest *destination, r *route, delay time.Duration) {
	r.backoff.until = max(r.backoff.until, d.now+delay+retryAfterMargin)
	for _, e := range dest.endpoints {
		if e.route == r {
			d.abortUnsent(e)
		}
	}
}

// isPositiveFinite reports whether x may be a rate: a report or a list may hold anything.
func isPositiveFinite(x float64) bool { return x > 0 && !math.IsInf(x, 1) }
