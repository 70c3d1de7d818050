package dispatch

import (
	"math"
	"time"
)

// The parameters of QEST, named in table I of its paper.
const (
	bucketCount = 1000             // H: number of buckets of the latency histogram
	tauMax      = 60 * time.Second // upper bound of the histogram
	tauInitial  = 4 * time.Second  // τ before there are samples
	restartCost = 0.0              // c: additional time that a restart costs (s)
)

// The parameters of this program's additions to QEST.
const (
	// decayFactor divides the weight of all samples each time that one is added, so that about 200 samples
	// count.
	decayFactor = 1.005
	// nearOptimumFactor is the multiple of the least Ê up to which a bucket bound counts as equally good. The
	// longest of these bounds is chosen.
	nearOptimumFactor = 1.1
	// answeredShare is the share of the answered calls that τ must not cut short: τ is at least
	// answeredMargin times the latency within which that share was answered.
	answeredShare = 0.99
	// answeredMargin allows for a next call that is slower than any seen.
	answeredMargin = 2
	// minSamples is the number of samples from which τ may be less than tauInitial.
	minSamples = 20
)

// timeoutEstimator chooses the timeout τ (tau) of the calls of one route by the QEST algorithm. A call
// without an answer after τ is given up and its message is sent again, which is called a restart. A long τ
// wastes time on calls that are never answered; a short one gives up calls that would have been answered
// soon.
//
// QEST keeps a histogram of recent latencies. From the histogram it estimates, for each τ, the mean time that
// a message takes until its answer, restarts included, and chooses the τ for which that time is the least. A
// hat marks an estimate:
//
//   - F̂ (F-hat) is the share of calls that are answered within τ.
//   - M̂ (M-hat) is the mean latency of the calls that are answered within τ.
//   - Ê (E-hat) is the expected time until the answer: M̂/F̂ + (1-F̂)/F̂·(τ+c). Here (1-F̂)/F̂ is the mean
//     number of restarts, and c is what each costs in addition to τ.
//
// The source is the restart oracle in section III.D of the QEST paper. The second group of constants above is
// not from the paper.
type timeoutEstimator struct {
	buckets          []histogramBucket // up to the last one in use
	samples          int               // number of samples added
	unansweredWeight float64           // weight of the calls not answered within tauMax or their time left
	minLatency       time.Duration     // least latency of all samples

	needsUpdate bool          // samples were added since the values below were computed
	optimalTau  time.Duration // τ chosen by Ê, 0 if not computed yet
	median      time.Duration // median latency of the samples
	mean        float64       // mean latency of the samples (s)

	doubledTau time.Duration // τ after a timeout, 0 if there was none since the last sample
	doubledAt  time.Duration // time of the last doubling
}

// histogramBucket holds the weight of the samples of one bucket, and the weighted sum of their latencies (s).
type histogramBucket struct{ weight, sum float64 }

// bucketBound returns the upper bound of a bucket.
func bucketBound(bucket int) time.Duration { return tauMax * time.Duration(bucket+1) / bucketCount }

// addSample adds the latency of a first attempt that was served.
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

// addUnanswered adds a first attempt that was not answered within its time left.
func (q *timeoutEstimator) addUnanswered(weight float64) {
	q.decaySamples()
	q.unansweredWeight += weight
}

// decaySamples lowers the weight of all samples before a new one is added.
func (q *timeoutEstimator) decaySamples() {
	for i := range q.buckets {
		q.buckets[i].weight /= decayFactor
		q.buckets[i].sum /= decayFactor
	}
	q.unansweredWeight /= decayFactor
	q.needsUpdate = true
}

// expectedTime returns Ê for a timeout of tau: M̂/F̂ + (1-F̂)/F̂·(τ+c). F̂ is upToTau, the weight of the
// samples up to tau, divided by total, the weight of all samples. M̂ is mean, the mean latency of the samples
// up to tau.
func expectedTime(upToTau, total, mean, tau float64) float64 {
	f := upToTau / total
	return mean/f + (1-f)/f*(tau+restartCost)
}

// optimum returns the τ with the least Ê, with two exceptions. Where Ê hardly changes with τ, the place of
// its minimum is random and may be too short, so the longest bound that is about as good is chosen, as it
// causes fewer restarts. And τ does not cut short calls that are answered: a repeat takes as long again, and
// the first attempt may still run.
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

// leastExpectedTime returns the least Ê of all bucket bounds.
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

// longestNearOptimum returns the longest bucket bound whose Ê is near the least, and the floor: the shortest
// τ that does not cut short answered calls. It updates the median and the mean.
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

// optimumOrInitial returns the optimum, or tauInitial before there are samples.
func (q *timeoutEstimator) optimumOrInitial() time.Duration {
	if q.optimalTau == 0 && !q.needsUpdate {
		return tauInitial
	}
	return q.optimum()
}

// tau returns the current timeout: the doubled one after a timeout, else the optimum.
func (q *timeoutEstimator) tau() time.Duration {
	if q.doubledTau > 0 {
		return q.doubledTau
	}
	return q.optimumOrInitial()
}

// recordTimeout doubles τ after a call timed out, at most once for all calls that were in flight at the last
// doubling.
func (q *timeoutEstimator) recordTimeout(sentAt, now time.Duration) {
	if q.doubledTau == 0 || sentAt >= q.doubledAt {
		q.doubledTau, q.doubledAt = min(2*q.tau(), tauMax), now
	}
}
