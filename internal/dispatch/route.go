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
	id        DestinationID
	isListed  bool // an endpoint of it has been on the list
	endpoints []*endpoint
	shared    *route // nil if each endpoint is a route of its own
	waiting   []*message
}

// endpoint is an endpoint of the list with what is known of this endpoint alone.
type endpoint struct {
	Endpoint
	route           *route
	inFlight        int           // calls in flight
	latency         float64       // recent mean (s)
	failureRate     float64       // recent mean share of failed calls
	lastSentAt      time.Duration // time of the step that sent the last call
	connectFailedAt time.Duration // time of the last connect that failed

	idleSince      time.Duration // when its last call ended, 0 if no idle connection may be open
	idleTimeoutCut time.Duration // how much shorter its idle timeout is than that of its kind
	freedAt        time.Duration // time of the step in which a call was served last
	// freedConnections is the number of connections on which a call was served then and that no other call
	// has used since.
	freedConnections int
}

// route holds what this sender has learnt of a destination, or of one endpoint if each is a route of its own.
type route struct {
	destination  DestinationID
	endpoint     EndpointID // set only with perEndpoint
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

// traffic holds the statistics of a route's calls.
type traffic struct {
	sentCalls         decayingCounter
	servedCalls       decayingCounter
	recentServed      float64 // calls served, decaying over servedRateSpan
	latency           float64 // recent mean (s)
	consecutiveLosses int     // calls in a row that were neither served nor rejected
	firstServedAt     time.Duration
	lastServedAt      time.Duration
	lastSentAt        time.Duration
	lastServedSentAt  time.Duration // latest time at which a call that was served had been sent
}

// newRoute adds the route of an endpoint's destination, or of the endpoint alone if perEndpoint is set.
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

// name returns the route's name for log lines.
func (r *route) name() string {
	if r.perEndpoint {
		return fmt.Sprintf("endpoint %d:", r.endpoint)
	}
	return fmt.Sprintf("destination %d:", r.destination)
}

// recordServed updates the statistics for a call that was served.
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

// servedRate returns the rate of calls served at the time of the last of them, in calls a second.
func (t *traffic) servedRate() float64 {
	observed := max(t.lastServedAt-t.firstServedAt, time.Second).Seconds()
	return t.recentServed / (servedRateSpan.Seconds() * (1 - math.Exp(-observed/servedRateSpan.Seconds())))
}

// updateMean moves a mean towards a sample. The first sample sets it.
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
