package dispatch

import (
	"slices"
	"time"
)

// Snapshot is what a Dispatcher passes to its successor in another process of the same sender: all that it
// has learnt, but not its messages and the endpoint list. Its fields are plain and exported, so that it can
// be encoded in any format.
type Snapshot struct {
	StartedAt    time.Duration
	Arrivals     DecayingCount
	Overall      EstimatorSnapshot
	IdleTimeouts []time.Duration // by kind of destination
	Random       uint64
	Tenants      []TenantSnapshot // in the order of the settings
	Classes      []ClassSnapshot  // in the order of the settings
	Routes       []RouteSnapshot
	Endpoints    []EndpointSnapshot
}

// TenantSnapshot holds how many messages a second a tenant submits.
type TenantSnapshot struct {
	RecentRate   float64
	LongTermRate float64
}

// ClassSnapshot holds the priority weight of a class's messages that have ended, and the part of it that was
// served.
type ClassSnapshot struct {
	Ended  DecayingCount
	Served DecayingCount
}

// DecayingCount is the value of a count that decays, and the time at which it had that value.
type DecayingCount struct {
	Value     float64
	UpdatedAt time.Duration
}

// EstimatorSnapshot holds a latency histogram and the timeouts computed from it.
type EstimatorSnapshot struct {
	BucketWeights    []float64
	BucketSums       []float64
	Samples          int
	UnansweredWeight float64
	Mean             float64
	OptimalTau       time.Duration
	Median           time.Duration
	MinLatency       time.Duration
	DoubledTau       time.Duration
	DoubledAt        time.Duration
}

// RouteSnapshot holds what is known of a destination, or of one endpoint that is a route of its own.
type RouteSnapshot struct {
	Destination DestinationID
	Endpoint    EndpointID
	PerEndpoint bool

	Estimator EstimatorSnapshot

	SentCalls         DecayingCount
	ServedCalls       DecayingCount
	RecentServed      float64
	Latency           float64
	ConsecutiveLosses int
	FirstServedAt     time.Duration
	LastServedAt      time.Duration
	LastSentAt        time.Duration
	LastServedSentAt  time.Duration

	Window   float64
	HalvedAt time.Duration

	Limit      float64
	Pace       float64
	Tokens     float64
	RefilledAt time.Duration

	BackoffUntil time.Duration
	BackoffDelay time.Duration

	State               uint8
	StateSince          time.Duration
	FailureRate         float64
	ConsecutiveFailures int
	OutageStartedAt     time.Duration
	RateBefore          float64
	ReopensAt           time.Duration // announced end of the outage
	LastProbeAt         time.Duration
}

// EndpointSnapshot holds what is known of one endpoint.
type EndpointSnapshot struct {
	Endpoint       EndpointID
	Latency        float64
	FailureRate    float64
	IdleTimeoutCut time.Duration
}

// Snapshot returns what another Dispatcher needs to continue in place of this one. It does not affect any
// decision of this one.
func (d *Dispatcher) Snapshot() Snapshot {
	s := Snapshot{
		StartedAt:    d.startedAt,
		Arrivals:     d.arrivals.snapshot(),
		Overall:      d.overallEstimator.snapshot(),
		IdleTimeouts: slices.Clone(d.idleTimeouts),
		Random:       d.randomState,
	}
	for _, goodput := range d.classGoodputs {
		s.Classes = append(s.Classes, ClassSnapshot{
			Ended:  goodput.ended.snapshot(),
			Served: goodput.served.snapshot(),
		})
	}
	for _, rate := range d.tenantRates {
		s.Tenants = append(s.Tenants, TenantSnapshot{RecentRate: rate.recent, LongTermRate: rate.longTerm})
	}
	for id, dest := range d.destinations {
		if dest.shared != nil {
			r := dest.shared.snapshot()
			r.Destination = id
			s.Routes = append(s.Routes, r)
		}
	}
	for id, e := range d.endpoints {
		s.Endpoints = append(s.Endpoints, EndpointSnapshot{
			Endpoint:       id,
			Latency:        e.latency,
			FailureRate:    e.failureRate,
			IdleTimeoutCut: e.idleTimeoutCut,
		})
		if dest := d.destinations[e.Destination]; e.route != dest.shared {
			r := e.route.snapshot()
			r.Endpoint, r.PerEndpoint = id, true
			s.Routes = append(s.Routes, r)
		}
	}
	return s
}

// BackoffUntil returns the end of the backoff of each message that waits after a failed attempt.
func (d *Dispatcher) BackoffUntil() map[MessageID]time.Duration {
	until := map[MessageID]time.Duration{}
	for _, m := range d.pending {
		if m.notBefore > d.now && m.inFlight == 0 {
			until[m.ID] = m.notBefore
		}
	}
	return until
}

// Restore restores the snapshot of an earlier Dispatcher. It must be called after the first endpoint list and
// before any message.
func (d *Dispatcher) Restore(s Snapshot) {
	d.startedAt, d.randomState = s.StartedAt, s.Random
	d.arrivals = s.Arrivals.restore()
	d.overallEstimator, d.idleTimeouts = s.Overall.restore(), slices.Clone(s.IdleTimeouts)
	for i := range min(len(s.Classes), len(d.classGoodputs)) {
		d.classGoodputs[i] = classGoodput{
			ended:  s.Classes[i].Ended.restore(),
			served: s.Classes[i].Served.restore(),
		}
	}
	for i := range min(len(s.Tenants), len(d.tenantRates)) {
		d.tenantRates[i] = tenantRate{recent: s.Tenants[i].RecentRate, longTerm: s.Tenants[i].LongTermRate}
	}
	d.tenantRatesDecayedAt = d.now
	for _, snapshot := range s.Routes {
		if r := d.routeOfSnapshot(snapshot); r != nil {
			r.restore(snapshot)
		}
	}
	for _, snapshot := range s.Endpoints {
		if e := d.endpoints[snapshot.Endpoint]; e != nil {
			e.latency, e.failureRate = snapshot.Latency, snapshot.FailureRate
			e.idleTimeoutCut = snapshot.IdleTimeoutCut
		}
	}
}

// routeOfSnapshot returns the route that a snapshot belongs to, nil if the route is not known.
func (d *Dispatcher) routeOfSnapshot(s RouteSnapshot) *route {
	if !s.PerEndpoint {
		if dest := d.destinations[s.Destination]; dest != nil {
			return dest.shared
		}
		return nil
	}
	if e := d.endpoints[s.Endpoint]; e != nil && e.route != d.destinations[e.Destination].shared {
		return e.route
	}
	return nil
}

func (c *decayingCounter) snapshot() DecayingCount {
	return DecayingCount{Value: c.value, UpdatedAt: c.updatedAt}
}

func (s DecayingCount) restore() decayingCounter {
	return decayingCounter{value: s.Value, updatedAt: s.UpdatedAt}
}

func (q *timeoutEstimator) snapshot() EstimatorSnapshot {
	s := EstimatorSnapshot{
		Samples:          q.samples,
		UnansweredWeight: q.unansweredWeight,
		Mean:             q.mean,
		OptimalTau:       q.optimum(),
		Median:           q.median,
		MinLatency:       q.minLatency,
		DoubledTau:       q.doubledTau,
		DoubledAt:        q.doubledAt,
	}
	for _, bucket := range q.buckets {
		s.BucketWeights = append(s.BucketWeights, bucket.weight)
		s.BucketSums = append(s.BucketSums, bucket.sum)
	}
	return s
}

func (s EstimatorSnapshot) restore() timeoutEstimator {
	q := timeoutEstimator{
		samples:          s.Samples,
		unansweredWeight: s.UnansweredWeight,
		mean:             s.Mean,
		optimalTau:       s.OptimalTau,
		median:           s.Median,
		minLatency:       s.MinLatency,
		doubledTau:       s.DoubledTau,
		doubledAt:        s.DoubledAt,
	}
	for i := range min(len(s.BucketWeights), len(s.BucketSums), bucketCount) {
		q.buckets = append(q.buckets, histogramBucket{weight: s.BucketWeights[i], sum: s.BucketSums[i]})
	}
	return q
}

func (r *route) snapshot() RouteSnapshot {
	return RouteSnapshot{
		Estimator: r.estimator.snapshot(),

		SentCalls:         r.traffic.sentCalls.snapshot(),
		ServedCalls:       r.traffic.servedCalls.snapshot(),
		RecentServed:      r.traffic.recentServed,
		Latency:           r.traffic.latency,
		ConsecutiveLosses: r.traffic.consecutiveLosses,
		FirstServedAt:     r.traffic.firstServedAt,
		LastServedAt:      r.traffic.lastServedAt,
		LastSentAt:        r.traffic.lastSentAt,
		LastServedSentAt:  r.traffic.lastServedSentAt,

		Window:   r.window.size,
		HalvedAt: r.window.halvedAt,

		Limit:      r.limiter.limit,
		Pace:       r.limiter.pace,
		Tokens:     r.limiter.tokens,
		RefilledAt: r.limiter.refilledAt,

		BackoffUntil: r.backoff.until,
		BackoffDelay: r.backoff.delay,

		State:               uint8(r.breaker.state),
		StateSince:          r.breaker.since,
		FailureRate:         r.breaker.failureRate,
		ConsecutiveFailures: r.breaker.consecutiveFailures,
		OutageStartedAt:     r.breaker.outageStartedAt,
		RateBefore:          r.breaker.rateBefore,
		ReopensAt:           r.breaker.announcedEndAt,
		LastProbeAt:         r.breaker.lastProbeAt,
	}
}

// restore restores a snapshot of the route. If the endpoint list has a rating, that remains the limit, and
// the pace is scaled to it. What depends on the calls in flight is not changed.
func (r *route) restore(s RouteSnapshot) {
	if r.limiter.limit > 0 && s.Limit > 0 {
		s.Pace *= r.limiter.limit / s.Limit
		s.Limit = r.limiter.limit
	}
	r.estimator = s.Estimator.restore()
	r.traffic = traffic{
		sentCalls:         s.SentCalls.restore(),
		servedCalls:       s.ServedCalls.restore(),
		recentServed:      s.RecentServed,
		latency:           s.Latency,
		consecutiveLosses: s.ConsecutiveLosses,
		firstServedAt:     s.FirstServedAt,
		lastServedAt:      s.LastServedAt,
		lastSentAt:        s.LastSentAt,
		lastServedSentAt:  s.LastServedSentAt,
	}
	r.window.size, r.window.halvedAt = max(1, s.Window), s.HalvedAt
	r.limiter = rateLimiter{limit: s.Limit, pace: s.Pace, tokens: s.Tokens, refilledAt: s.RefilledAt}
	r.backoff.until, r.backoff.delay = s.BackoffUntil, s.BackoffDelay
	r.breaker.state = min(circuitState(s.State), warmingUp)
	r.breaker.since = s.StateSince
	r.breaker.failureRate = s.FailureRate
	r.breaker.consecutiveFailures = s.ConsecutiveFailures
	r.breaker.outageStartedAt = s.OutageStartedAt
	r.breaker.rateBefore = s.RateBefore
	r.breaker.announcedEndAt = s.ReopensAt
	r.breaker.lastProbeAt = s.LastProbeAt
}
