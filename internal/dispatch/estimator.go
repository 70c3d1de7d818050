package dispatch

import (
	"math"
	"time"
)

// The terms of the paper: table I.
const (
	bucketCount = 1000             // H: buckets of the latency histogram
	tauMax      = 60 * time.Second // the histogram's span
	tauInitial  = 4 * time.Second  // τ before any sample
	restartCost = 0.0              // c, s
)

// Our own terms (design).
const (
	// decayFactor is how much less all samples weigh with each new one: about 200 count.
	decayFactor = 1.005
	// nearOptimumFactor: bounds with an Ê within this factor of the least are as good; the longest is taken.
	nearOptimumFactor = 1.1
	// answeredShare is the share of the answered calls that τ must not cut short, with
	answeredShare = 0.99
	// answeredMargin times their latency, as the next call may be slower than any seen.
	answeredMargin = 2
	// minSamples is the number of samples before τ may be less than tauInitial.
	minSamples = 20
)

// timeoutEstimator chooses the timeout of calls, τ: the QEST restart oracle of the paper, section III.D,
// for one route. The design page says what is the paper's and what is ours.
type timeoutEstimator struct {
	buckets          []histogramBucket // up to the last in use
	samples          int               // number taken
	unansweredWeight float64           // weight of the calls unanswered past tauMax
	minLatency       time.Duration     // of all samples

	needsUpdate bool          // samples have come since the figures below were computed
	optimalTau  time.Duration // by Ê, 0 if not computed yet
	median      time.Duration // of the samples
	mean        float64       // of all samples, s

	doubledTau time.Duration // τ since an expiry, 0 if none since the last sample
	doubledAt  time.Duration
}

// histogramBucket holds the weight of the samples of one bucket, and the weighted sum of their latencies (s).
type histogramBucket struct{ weight, sum float64 }

// bucketBound is the upper bound of a bucket.
func bucketBound(bucket int) time.Duration { return tauMax * time.Duration(bucket+1) / bucketCount }

// addSample takes in the latency of a first attempt that was served.
func (q *timeoutEstimator) addSample(latency time.Duration, weight float64) {
	if latency >= tauMax {
		q.addUnanswered(weight)
		return
	}
	q.decaySamples()
	bucket := int(latency * bucketCount / tauMax)
	for len(q.buckets) <= bucket {
		q.buckets = append(q.buckets, histogramBucket{})
	}
	q.samples++
	q.buckets[bucket].weight += weight
	q.buckets[bucket].sum += weight * latency.Seconds()
	if q.minLatency == 0 || latency < q.minLatency {
		q.minLatency = latency
	}
}

// addUnanswered takes in a first attempt that was not answered within its time left.
func (q *timeoutEstimator) addUnanswered(weight float64) {
	q.decaySamples()
	q.unansweredWeight += weight
}

// decaySamples lowers the weight of all samples, as a new one comes.
func (q *timeoutEstimator) decaySamples() {
	for i := range q.buckets {
		q.buckets[i].weight /= decayFactor
		q.buckets[i].sum /= decayFactor
	}
	q.unansweredWeight /= decayFactor
	q.needsUpdate = true
}

// expectedTime is Ê of restarting at τ: M̂/F̂ + (1-F̂)/F̂·(τ+c), for the weight and the mean of the
// samples up to τ and the weight of all.
func expectedTime(upToTau, total, mean, tau float64) float64 {
	f := upToTau / total
	return mean/f + (1-f)/f*(tau+restartCost)
}

// optimum is the τ that minimises Ê. Where the curve is flat its least point is chance and may be too
// short, so of the bounds that are as good the longest is taken: it restarts less. Nor does it cut calls
// that are answered: a repeat takes as long again, and the first attempt may still run.
func (q *timeoutEstimator) optimum() time.Duration {
	if !q.needsUpdate {
		return q.optimalTau
	}
	q.needsUpdate = false
	total := q.unansweredWeight
	for _, bucket := range q.buckets {
		total += bucket.weight
	}
	longest, floor := q.longestNearOptimum(total, q.leastExpectedTime(total))
	if q.samples < minSamples {
		floor = max(floor, tauInitial)
	}
	q.optimalTau = min(max(longest, floor), tauMax)
	return q.optimalTau
}

// leastExpectedTime is the least Ê of all bounds.
func (q *timeoutEstimator) leastExpectedTime(total float64) float64 {
	least := math.Inf(1)
	weight, sum := 0.0, 0.0
	for i, bucket := range q.buckets {
		if bucket.weight == 0 {
			continue
		}
		weight += bucket.weight
		sum += bucket.sum
		least = min(least, expectedTime(weight, total, sum/weight, bucketBound(i).Seconds()))
	}
	return least
}

// longestNearOptimum is the longest bound whose Ê is near the least, and the bound below which answered calls
// would be cut. It brings the median and the mean up to date.
func (q *timeoutEstimator) longestNearOptimum(total, least float64) (longest, floor time.Duration) {
	longest = tauInitial
	answered := total - q.unansweredWeight
	weight, sum := 0.0, 0.0
	for i, bucket := range q.buckets {
		if bucket.weight == 0 {
			continue
		}
		weight += bucket.weight
		sum += bucket.sum
		bound := bucketBound(i)
		if expectedTime(weight, total, sum/weight, bound.Seconds()) <= least*nearOptimumFactor {
			longest = bound
		}
		if weight-bucket.weight < answered/2 {
			q.median = bound
		}
		if weight-bucket.weight < answeredShare*answered {
			floor = bound * answeredMargin
		}
	}
	if weight > 0 {
		q.mean = sum / weight
	}
	return longest, floor
}

// optimumOrInitial is the optimum, or the initial τ before any sample.
func (q *timeoutEstimator) optimumOrInitial() time.Duration {
	if q.optimalTau == 0 && !q.needsUpdate {
		return tauInitial
	}
	return q.optimum()
}

// tau is the timeout now.
func (q *timeoutEstimator) tau() time.Duration {
	if q.doubledTau > 0 {
		return q.doubledTau
	}
	return q.optimumOrInitial()
}

// recordTimeout doubles τ, once for all calls that were in flight at the last doubling.
func (q *timeoutEstimator) recordTimeout(sentAt, now time.Duration) {
	if q.doubledTau == 0 || sentAt >= q.doubledAt {
		q.doubledTau, q.doubledAt = min(2*q.tau(), tauMax), now
	}
}
