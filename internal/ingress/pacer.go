package ingress

import "time"

const (
	// maxRequestRate is how many requests a second are served on one connection once its burst is used up. It is far
	// above what a client reaches that sends one request at a time.
	maxRequestRate = 500
	// requestBurst is how many requests a connection may send at once; while slots are scarce, it is crowdedBurst.
	requestBurst = 50
	crowdedBurst = 2
)

// pacer limits the rate of the requests on one connection, as a token bucket. Without it a client that sends without
// pause would take the processor from all others.
type pacer struct {
	tokens    float64
	updatedAt time.Time // the zero time before the first request
}

// take counts a request and returns how long its response has to be delayed.
func (p *pacer) take(now time.Time, isCrowded bool) time.Duration {
	burst := float64(requestBurst)
	if isCrowded {
		burst = crowdedBurst
	}
	if p.updatedAt.IsZero() {
		p.tokens = burst
	}
	earned := now.Sub(p.updatedAt).Seconds() * maxRequestRate
	p.tokens = min(burst, p.tokens+earned) - 1
	p.updatedAt = now
	return max(0, time.Duration(-p.tokens/maxRequestRate*float64(time.Second)))
}
