package dispatch

// The time-out of calls: the restart oracle of the paper, section III.D, for one destination or route,
// and how long a call may go unanswered before that counts. The design page tells what is the paper's
// and what is ours.

import (
	"math"
	"time"
)

const (
	bucketCount         = 1000             // H: buckets of the latency histogram (paper, table I)
	tauMax              = 60 * time.Second // the histogram's span (paper, table I)
	tauInitial          = 4 * time.Second  // time-out before any sample (paper, table I)
	restartCost         = 0.0              // c, s: cost of a restart (paper, table I)
	explorationInterval = 20               // one first attempt in so many runs to its time left
	explorationWeight   = 20               // samples: weight of such a run, as it stands for so many
	// all samples weigh so much less with each new one: about 200 count
	agingFactor = 1.005
	// bounds within this factor of the least Ê are as good: take the longest
	nearOptimumFactor = 1.1
	answeredShare     = 0.99 // share of the answered calls that a time-out must leave, with
	// so many times their time, as the next may be slower than any seen
	answeredMargin = 2
	minSamples     = 20 // samples before a time-out may be under tauFirst
)

// sample books a first attempt's time, or with late one that was never answered.
func (o *timeoutEstimator) addSample(d time.Duration, weight float64, late bool) {
	for k := range o.buckets {
		o.buckets[k].weight /= agingFactor
		o.buckets[k].sum /= agingFactor
	}
	o.unansweredWeight /= agingFactor
	if late || d >= tauMax {
		o.unansweredWeight += weight
	} else {
		k := int(d * bucketCount / tauMax)
		for len(o.buckets) <= k {
			o.buckets = append(o.buckets, histogramBucket{})
		}
		o.samples++
		o.buckets[k].weight += weight
		o.buckets[k].sum += weight * d.Seconds()
		if o.minLatency == 0 || d < o.minLatency {
			o.minLatency = d
		}
	}
	o.needsUpdate = true
}

// expected is Ê of restarting at bound tau, for the weight and the mean of samples up to it.
func expectedTime(upTo, all, mean, tau float64) float64 {
	f := upTo / all
	return mean/f + (1-f)/f*(tau+restartCost)
}

// optimum is the argmin of Ê. Where the curve is flat its least point is chance and may lie short,
// so of the bounds that are as good the longest is taken: it restarts less. Nor does it cut calls that
// come back: a repeat takes as long again, and the first may still run.
func (o *timeoutEstimator) optimum() time.Duration {
	if !o.needsUpdate {
		return o.optimalTau
	}
	o.needsUpdate = false
	all := o.unansweredWeight
	for _, k := range o.buckets {
		all += k.weight
	}
	least, longest := math.Inf(1), tauInitial
	came, floor := all-o.unansweredWeight, time.Duration(0)
	for pass := range 2 { // first the least Ê, then the longest bound that is as good
		n, t := 0.0, 0.0
		for k, at := range o.buckets {
			if at.weight == 0 {
				continue
			}
			n += at.weight
			t += at.sum
			bound := tauMax * time.Duration(k+1) / bucketCount
			e := expectedTime(n, all, t/n, bound.Seconds())
			if pass == 0 {
				least = min(least, e)
			} else {
				if e <= least*nearOptimumFactor {
					longest = bound
				}
				if n-at.weight < came/2 {
					o.median = bound
				}
				if n-at.weight < answeredShare*came {
					floor = bound * answeredMargin
				}
			}
		}
		if n > 0 {
			o.mean = t / n
		}
	}
	if o.samples < minSamples {
		floor = max(floor, tauInitial)
	}
	o.optimalTau = min(max(longest, floor), tauMax)
	return o.optimalTau
}

// tau is the time-out now.
func (o *timeoutEstimator) tau() time.Duration {
	if o.doubledTau > 0 {
		return o.doubledTau
	}
	if o.optimalTau == 0 && !o.needsUpdate {
		return tauInitial
	}
	return o.optimum()
}

// expired doubles the time-out, once for all calls that were out at the last doubling.
func (o *timeoutEstimator) expire(sent, now time.Duration) {
	if o.doubledTau == 0 || sent >= o.doubledAt {
		o.doubledTau, o.doubledAt = min(2*o.tau(), tauMax), now
	}
}

// patience is how old an unanswered call may be before it counts as silence. Calls that came back from
// a hang lengthen the time-out; silence is judged as if they had not.
func (r *route) silenceTimeout() time.Duration { return min(r.optimumOrInitial(), tauInitial) }

// haste is the patience for taking slots back: some times the usual latency, which for a route with few
// samples is that of all routes, if a call sent later was served there already. It doubles with each
// call taken back there until one is served: what turns slow then gets the time to show it.
func (b *Dispatcher) overdueAfter(c *call) time.Duration {
	r := c.route
	b.overallEstimator.optimum()
	usual := b.overallEstimator.median
	if r.samples >= minSamples {
		usual = r.median
	} else if b.overallEstimator.samples < minSamples || r.lastServedSentAt <= c.sentAt {
		return r.silenceTimeout()
	}
	usual = max(overdueFactor*usual, time.Duration(slowFactor*r.latency*float64(time.Second)), probeInterval)
	return min(r.silenceTimeout(), usual<<min(r.cancelledCalls, 4))
}

func (r *route) optimumOrInitial() time.Duration {
	if r.optimalTau == 0 && !r.needsUpdate {
		return tauInitial
	}
	return r.optimum()
}
