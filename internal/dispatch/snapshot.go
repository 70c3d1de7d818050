package dispatch

// What a Dispatcher gives to the one that follows it in another process of the same sender. Nothing is
// decided here: it is copied out and in again. All of it has plain exported fields, so that it can travel
// in any encoding.

import (
	"slices"
	"time"
)

// Memory is what a Dispatcher knows beside its messages and the list.
type Snapshot struct {
	StartedAt    time.Duration
	Arrivals     DecayingCount
	Overall      EstimatorSnapshot
	IdleTimeouts []time.Duration
	Random       uint64
	Tenants      [][2]float64       // recent and usual rate
	Classes      [][2]DecayingCount // worth that has ended, and was served
	Routes       []RouteSnapshot
	Endpoints    []EndpointSnapshot
}

// Fading is a count that fades, as of a time.
type DecayingCount struct {
	Value     float64
	UpdatedAt time.Duration
}

// OracleMemory is a latency histogram and the time-out drawn from it.
type EstimatorSnapshot struct {
	BucketWeights, BucketSums                             []float64
	Samples                                               int
	UnansweredWeight, Mean                                float64
	OptimalTau, Median, MinLatency, DoubledTau, DoubledAt time.Duration
}

// RouteMemory is what is known of a destination, or of the route to one endpoint where routes are apart.
type RouteSnapshot struct {
	Destination DestinationID
	Endpoint    EndpointID
	PerEndpoint bool

	Estimator                                                 EstimatorSnapshot
	SentCalls, ServedCalls                                    DecayingCount
	Window, FailureRate, Latency, RecentServed, RateBefore    float64
	Limit, Pace, Tokens                                       float64
	HalvedAt, BackoffUntil, BackoffStep, ReopensAt            time.Duration
	LastServedAt, LastSentAt, LastServedSentAt, FirstServedAt time.Duration
	OutageStartedAt, StateSince, LastProbeAt, RefilledAt      time.Duration
	ConsecutiveFailures, ConsecutiveLosses                    int
	State                                                     uint8
}

// EndpointMemory is what is known of one endpoint.
type EndpointSnapshot struct {
	Endpoint             EndpointID
	Latency, FailureRate float64
	IdleTimeoutCut       time.Duration
}

func (o *timeoutEstimator) snapshot() EstimatorSnapshot {
	m := EstimatorSnapshot{Samples: o.samples, UnansweredWeight: o.unansweredWeight, Mean: o.mean,
		OptimalTau: o.optimum(), Median: o.median,
		MinLatency: o.minLatency, DoubledTau: o.doubledTau, DoubledAt: o.doubledAt}
	for _, k := range o.buckets {
		m.BucketWeights, m.BucketSums = append(m.BucketWeights, k.weight), append(m.BucketSums, k.sum)
	}
	return m
}

func (m EstimatorSnapshot) restore() timeoutEstimator {
	o := timeoutEstimator{samples: m.Samples, unansweredWeight: m.UnansweredWeight, mean: m.Mean,
		optimalTau: m.OptimalTau, median: m.Median, minLatency: m.MinLatency,
		doubledTau: m.DoubledTau, doubledAt: m.DoubledAt}
	for k := range min(len(m.BucketWeights), len(m.BucketSums), bucketCount) {
		o.buckets = append(o.buckets, histogramBucket{m.BucketWeights[k], m.BucketSums[k]})
	}
	return o
}

// Remember copies out what another Dispatcher needs to go on where this one stops. It changes nothing.
func (b *Dispatcher) Snapshot() Snapshot {
	m := Snapshot{StartedAt: b.startedAt, Arrivals: DecayingCount{b.arrivals.value,
		b.arrivals.updatedAt}, Overall: b.overallEstimator.snapshot(),
		IdleTimeouts: slices.Clone(b.idleTimeouts),
		Random:       b.randomState}
	for _, c := range b.classGoodputs {
		m.Classes = append(m.Classes, [2]DecayingCount{{c.ended.value, c.ended.updatedAt},
			{c.served.value, c.served.updatedAt}})
	}
	for _, t := range b.tenantRates {
		m.Tenants = append(m.Tenants, [2]float64{t.recent, t.longTerm})
	}
	route := func(r *route) RouteSnapshot {
		return RouteSnapshot{Estimator: r.timeoutEstimator.snapshot(),
			SentCalls:   DecayingCount{r.sentCalls.value, r.sentCalls.updatedAt},
			ServedCalls: DecayingCount{r.servedCalls.value, r.servedCalls.updatedAt},
			Window:      r.window, FailureRate: r.failureRate, Latency: r.latency,
			RecentServed: r.recentServed, RateBefore: r.rateBefore, Limit: r.limit, Pace: r.pace,
			Tokens: r.tokens, HalvedAt: r.halvedAt, BackoffUntil: r.backoffUntil,
			BackoffStep: r.backoffStep, ReopensAt: r.reopensAt,
			LastServedAt: r.lastServedAt, LastSentAt: r.lastSentAt, LastServedSentAt: r.lastServedSentAt,
			FirstServedAt: r.firstServedAt, OutageStartedAt: r.outageStartedAt,
			StateSince: r.stateSince, LastProbeAt: r.lastProbeAt, RefilledAt: r.refilledAt,
			ConsecutiveFailures: r.consecutiveFailures, ConsecutiveLosses: r.consecutiveLosses,
			State: uint8(r.state)}
	}
	for id, d := range b.destinations {
		if d.shared != nil {
			r := route(d.shared)
			r.Destination = id
			m.Routes = append(m.Routes, r)
		}
	}
	for id, e := range b.endpoints {
		m.Endpoints = append(m.Endpoints, EndpointSnapshot{id, e.latency, e.failureRate, e.idleTimeoutCut})
		if d := b.destinations[e.Destination]; e.route != d.shared {
			r := route(e.route)
			r.Endpoint, r.PerEndpoint = id, true
			m.Routes = append(m.Routes, r)
		}
	}
	return m
}

// Resting is until when messages rest after a failed attempt.
func (b *Dispatcher) BackoffUntil() map[MessageID]time.Duration {
	rests := map[MessageID]time.Duration{}
	for _, m := range b.pending {
		if m.notBefore > b.now && m.inFlight == 0 {
			rests[m.ID] = m.notBefore
		}
	}
	return rests
}

// Recall takes in what an earlier Dispatcher remembered. The list must have been told before, and no message.
func (b *Dispatcher) Restore(m Snapshot) {
	b.startedAt, b.randomState = m.StartedAt, m.Random
	b.arrivals = decayingCounter{m.Arrivals.Value, m.Arrivals.UpdatedAt}
	b.overallEstimator, b.idleTimeouts = m.Overall.restore(), slices.Clone(m.IdleTimeouts)
	for i := range min(len(m.Classes), len(b.classGoodputs)) {
		ended, served := m.Classes[i][0], m.Classes[i][1]
		b.classGoodputs[i] = classGoodput{decayingCounter{ended.Value, ended.UpdatedAt},
			decayingCounter{served.Value, served.UpdatedAt}}
	}
	for i := range min(len(m.Tenants), len(b.tenantRates)) {
		b.tenantRates[i] = tenantRate{m.Tenants[i][0], m.Tenants[i][1]}
	}
	b.tenantRatesDecayedAt = b.now
	for _, k := range m.Routes {
		var r *route
		if k.PerEndpoint {
			if e := b.endpoints[k.Endpoint]; e != nil && e.route != b.destinations[e.Destination].shared {
				r = e.route
			}
		} else if d := b.destinations[k.Destination]; d != nil {
			r = d.shared
		}
		if r == nil {
			continue
		}
		if r.limit > 0 && k.Limit > 0 { // the list's rating counts, and the pace in its proportion
			k.Pace *= r.limit / k.Limit
			k.Limit = r.limit
		}
		r.timeoutEstimator = k.Estimator.restore()
		r.sentCalls, r.servedCalls = decayingCounter{k.SentCalls.Value, k.SentCalls.UpdatedAt},
			decayingCounter{k.ServedCalls.Value, k.ServedCalls.UpdatedAt}
		r.window, r.failureRate, r.latency, r.recentServed, r.rateBefore = max(1, k.Window),
			k.FailureRate, k.Latency, k.RecentServed, k.RateBefore
		r.limit, r.pace, r.tokens, r.refilledAt = k.Limit, k.Pace, k.Tokens, k.RefilledAt
		r.halvedAt, r.backoffUntil, r.backoffStep, r.reopensAt = k.HalvedAt, k.BackoffUntil,
			k.BackoffStep, k.ReopensAt
		r.lastServedAt, r.lastSentAt, r.lastServedSentAt, r.firstServedAt = k.LastServedAt,
			k.LastSentAt, k.LastServedSentAt, k.FirstServedAt
		r.outageStartedAt, r.stateSince, r.lastProbeAt, r.consecutiveFailures, r.consecutiveLosses =
			k.OutageStartedAt, k.StateSince, k.LastProbeAt, k.ConsecutiveFailures, k.ConsecutiveLosses
		r.state = min(circuitState(k.State), warmingUp)
	}
	for _, k := range m.Endpoints {
		if e := b.endpoints[k.Endpoint]; e != nil {
			e.latency, e.failureRate, e.idleTimeoutCut = k.Latency, k.FailureRate, k.IdleTimeoutCut
		}
	}
}

// adopt books an attempt that another process of this sender has out, as if it had been sent from here.
func (b *Dispatcher) inheritCall(m *message, o *InFlightAttempt) {
	e := b.endpoints[o.Endpoint]
	r := e.route
	c := b.inheritedCalls[o.Call]
	if c == nil {
		c = &call{route: r, endpoint: e, sentAt: o.SentAt, isProbe: r.state == unavailable &&
			o.SentAt >= r.stateSince}
		if b.inheritedCalls == nil {
			b.inheritedCalls = map[uint64]*call{}
		}
		b.inheritedCalls[o.Call] = c
		b.callsInFlight++
		r.inFlight++
		e.inFlight++
		if c.isProbe {
			r.probesInFlight++
		}
		r.unanswered = append(r.unanswered, c)
		slices.SortStableFunc(r.unanswered, func(x, y *call) int {
			return int(min(1, max(-1,
				x.sentAt-y.sentAt)))
		})
	}
	m.attempts = append(m.attempts, attempt{call: c, timeout: o.Timeout, untilDeadline: true})
	m.inFlight++
	c.unresolved++
	c.messages = append(c.messages, m)
}
