package dispatch

import (
	"fmt"
	"math"
	"time"
)

const (
	// servedRateSpan is the span over which the served rate is measured.
	servedRateSpan = 10 * time.Second
	// arrivalSpan is the span over which messages and calls are counted.
	arrivalSpan = time.Minute
	// latencySmoothing is the weight of the newest call in the recent latency.
	latencySmoothing = 0.1
	// failureSmoothing is the weight of the newest call in the failure rate.
	failureSmoothing = 0.06
)

// destination is a receiver with its endpoints and the messages that wait for it.
type destination struct {
	endpoints []*endpoint
	shared    *route // nil where each endpoint is a route of its own
	waiting   []*message
}

// endpoint is an endpoint of the list and what is known of it alone.
type endpoint struct {
	Endpoint
	route           *route
	inFlight        int           // calls
	latency         float64       // recent mean, s
	failureRate     float64       // recent mean share of failed calls
	lastSentAt      time.Duration // batch of the last call to it
	connectFailedAt time.Duration // the last connect that failed

	idleSince      time.Duration // since when it has no call in flight, 0 if no connection may be open
	idleTimeoutCut time.Duration // by so much its idle timeout is shorter than its kind's
	freedAt        time.Duration // when a call was served last
	// freedConnections are those that calls served then have left and that no further call has used.
	freedConnections int
}

// route is what this sender has learnt of a destination, or of one endpoint where each is a route of its own.
type route struct {
	destination  DestinationID
	endpoint     EndpointID // only with perEndpoint
	perEndpoint  bool
	maxBatchSize int // messages that may share one call
	lastLoggedAt time.Duration

	estimator timeoutEstimator
	traffic   traffic
	window    concurrencyWindow
	limiter   rateLimiter
	backoff   backoff
	breaker   circuitBreaker
}

// traffic counts the calls of a route and how they fared.
type traffic struct {
	sentCalls         decayingCounter
	servedCalls       decayingCounter
	recentServed      float64 // calls served, decaying over servedRateSpan
	latency           float64 // recent mean, s
	consecutiveLosses int     // calls in a row that were neither served nor rejected
	firstServedAt     time.Duration
	lastServedAt      time.Duration
	lastSentAt        time.Duration
	lastServedSentAt  time.Duration // latest sending of a call that was served
}

func (d *Dispatcher) newRoute(entry Endpoint, perEndpoint bool) *route {
	r := &route{
		destination:  entry.Destination,
		perEndpoint:  perEndpoint,
		lastLoggedAt: longAgo,
		traffic:      traffic{lastServedAt: d.now},
		window:       concurrencyWindow{size: 1},
		limiter:      rateLimiter{tokens: 1, refilledAt: d.now},
		backoff:      backoff{rejectedAt: longAgo},
	}
	if perEndpoint {
		r.endpoint = entry.ID
	}
	d.routes = append(d.routes, r)
	return r
}

// name is the route's name in the log.
func (r *route) name() string {
	if r.perEndpoint {
		return fmt.Sprintf("endpoint %d:", r.endpoint)
	}
	return fmt.Sprintf("destination %d:", r.destination)
}

// recordServed counts a call that was served.
func (t *traffic) recordServed(now, sentAt time.Duration) {
	if t.recentServed == 0 {
		t.firstServedAt = now
	}
	t.recentServed = t.recentServed*math.Exp(-(now-t.lastServedAt).Seconds()/servedRateSpan.Seconds()) + 1
	t.lastServedAt = now
	t.servedCalls.add(1, now)
	t.lastServedSentAt = max(t.lastServedSentAt, sentAt)
	t.consecutiveLosses = 0
}

// servedRate is the rate of calls served, as of the last of them, in calls a second.
func (t *traffic) servedRate() float64 {
	observed := max(t.lastServedAt-t.firstServedAt, time.Second).Seconds()
	return t.recentServed / (servedRateSpan.Seconds() * (1 - math.Exp(-observed/servedRateSpan.Seconds())))
}

// updateMean moves a mean towards a sample. The first sample starts it.
func updateMean(mean *float64, sample, weight float64) {
	if *mean == 0 {
		*mean = sample
	}
	*mean += weight * (sample - *mean)
}

// decayingCounter is a count that decays exponentially over arrivalSpan.
type decayingCounter struct {
	value     float64
	updatedAt time.Duration
}

func (c *decayingCounter) at(now time.Duration) float64 {
	return c.value * math.Exp(-(now-c.updatedAt).Seconds()/arrivalSpan.Seconds())
}

func (c *decayingCounter) add(n float64, now time.Duration) {
	c.value, c.updatedAt = c.at(now)+n, now
}
