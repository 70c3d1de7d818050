package dispatch

import (
	"math"
	"math/rand"
	"testing"
	"time"
)

// The optimum must equal the one that is computed directly from the list of samples.
func TestOptimumEqualsDirectComputation(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	for round := range 20 {
		var estimator timeoutEstimator
		var latencies, weights []float64
		unanswered, weight := 0.0, 1.0
		for range 60 + random.Intn(200) {
			weight *= decayFactor
			if random.Intn(12) == 0 {
				estimator.addUnanswered(explorationWeight)
				unanswered += weight * explorationWeight
				continue
			}
			latency := time.Duration(math.Exp(random.NormFloat64()-1) * float64(time.Second))
			estimator.addSample(latency, 1)
			latencies, weights = append(latencies, latency.Seconds()), append(weights, weight)
		}
		// Ê at each bucket bound, computed from the list of samples.
		total := unanswered
		for _, x := range weights {
			total += x
		}
		directExpectedTime := func(bucket int) (expected, upToBound, below float64) {
			bound, lowerBound := float64(bucket+1)*0.06, float64(bucket)*0.06
			n, sum := 0.0, 0.0
			for i, x := range latencies {
				if x < bound {
					n += weights[i]
					sum += weights[i] * x
				}
				if x < lowerBound {
					below += weights[i]
				}
			}
			if n == 0 {
				return math.Inf(1), 0, 0
			}
			f := n / total
			return sum/n/f + (1-f)/f*bound, n, below
		}
		least := math.Inf(1)
		for bucket := range bucketCount {
			expected, _, _ := directExpectedTime(bucket)
			least = min(least, expected)
		}
		longest, floor := 0.0, 0.0
		for bucket := range bucketCount {
			expected, n, below := directExpectedTime(bucket)
			if n > below { // a bucket with samples
				if expected <= least*nearOptimumFactor {
					longest = float64(bucket+1) * 0.06
				}
				if below < answeredShare*(total-unanswered) {
					floor = float64(bucket+1) * 0.06 * answeredMargin
				}
			}
		}
		want := math.Min(math.Max(longest, floor), 60)
		if got := estimator.optimum().Seconds(); math.Abs(got-want) > 1e-6 {
			t.Fatalf("round %d: τ = %v s, computed directly %v s", round, got, want)
		}
	}
}

func TestTauStartsAtItsInitialValueAndDoublesOnTimeouts(t *testing.T) {
	var estimator timeoutEstimator
	if estimator.tau() != tauInitial {
		t.Fatalf("τ = %v before any sample", estimator.tau())
	}
	estimator.recordTimeout(time.Second, 5*time.Second)
	estimator.recordTimeout(time.Second, 5*time.Second) // in flight at the first doubling
	if estimator.tau() != 2*tauInitial {
		t.Fatalf("τ = %v after a timeout, want twice the initial one", estimator.tau())
	}
	for range 10 {
		estimator.recordTimeout(time.Hour, time.Hour)
	}
	if estimator.tau() != tauMax {
		t.Fatalf("τ = %v after many timeouts, want its upper bound", estimator.tau())
	}
}

// Guards against timeouts that are too short for ordinary calls: with few samples, the τ with the least Ê may
// be below the latency of the next ordinary call. A fifth of the calls timed out that way while traffic was
// low.
func TestFewSamplesDoNotShortenTheTimeout(t *testing.T) {
	h := newHarness(t, testSettings())
	h.serve(3, 0, 50*ms)
	sends := h.step(h.newMessage(0, 0, 0))
	if len(sends) != 1 || sends[0].Timeout < tauInitial {
		t.Fatalf("sends %+v after 3 quick calls, want one with at least the initial τ", sends)
	}
}

// Repeats must not give latency samples (Karn's rule).
func TestOnlyServedFirstAttemptsGiveSamples(t *testing.T) {
	h := newHarness(t, testSettings())
	sends := h.step(h.newMessage(0, 0, 0))
	h.now += 100 * ms
	h.step(h.newResult(sends[0], Rejected))
	h.now += time.Second
	sends = h.step(TimerFired{})
	h.now += 100 * ms
	h.step(h.newResult(sends[0], Served))
	if n := h.dispatcher.destinations[0].shared.estimator.samples; n != 0 {
		t.Fatalf("%d samples after a rejected first attempt and a served repeat, want none", n)
	}
}

// Guards against timeouts that leave too little of the idempotency window for a repeat, such as 4 s where a
// key is remembered for 6 s.
func TestTimeoutLeavesTimeForAKeyedRepeat(t *testing.T) {
	h := newFleetHarness(t, 50)
	sends := h.step(h.newMessage(1, 0, 0))
	if sends[0].Timeout > 3*time.Second && sends[0].Timeout < 20*time.Second {
		t.Fatalf("timeout %v with an idempotency window of 6 s, want at most 3 s or the time left",
			sends[0].Timeout)
	}
}
