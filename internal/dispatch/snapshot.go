package dispatch

// What a Dispatcher gives to the one that follows it in another process of the same sender. Nothing is decided here:
// it is copied out and in again. All of it has plain exported fields, so that it can travel in any encoding.

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
	Count, Sum                                 []float64
	Seen                                       int
	Past, Mean                                 float64
	Best, Median, Quickest, Doubled, DoubledAt time.Duration
}

// RouteMemory is what is known of a destination, or of the route to one endpoint where routes are apart.
type RouteSnapshot struct {
	Destination DestinationID
	Endpoint    EndpointID
	PerEndpoint bool

	Estimator                                   EstimatorSnapshot
	Tried, Done                                 DecayingCount
	Window, Fails, Recent, Served, Before       float64
	Limit, Pace, Tokens                         float64
	HalvedAt, ClosedUntil, Pause, Reopens       time.Duration
	LastServed, SentAt, ServedSent, FirstServed time.Duration
	OutAt, Since, ProbedAt, Filled              time.Duration
	Bad, Lost                                   int
	State                                       uint8
}

// EndpointMemory is what is known of one endpoint.
type EndpointSnapshot struct {
	Endpoint      EndpointID
	Recent, Fails float64
	Crowded       time.Duration
}

func (o *timeoutEstimator) remember() EstimatorSnapshot {
	m := EstimatorSnapshot{Seen: o.seen, Past: o.past, Mean: o.mean, Best: o.optimum(), Median: o.median,
		Quickest: o.quickest, Doubled: o.doubled, DoubledAt: o.doubledAt}
	for _, k := range o.bucket {
		m.Count, m.Sum = append(m.Count, k.count), append(m.Sum, k.sum)
	}
	return m
}

func (m EstimatorSnapshot) recall() timeoutEstimator {
	o := timeoutEstimator{seen: m.Seen, past: m.Past, mean: m.Mean, best: m.Best, median: m.Median, quickest: m.Quickest,
		doubled: m.Doubled, doubledAt: m.DoubledAt}
	for k := range min(len(m.Count), len(m.Sum), buckets) {
		o.bucket = append(o.bucket, bucket{m.Count[k], m.Sum[k]})
	}
	return o
}

// Remember copies out what another Dispatcher needs to go on where this one stops. It changes nothing.
func (b *Dispatcher) Snapshot() Snapshot {
	m := Snapshot{StartedAt: b.started, Arrivals: DecayingCount{b.came.n, b.came.when}, Overall: b.all.remember(), IdleTimeouts: slices.Clone(b.keep),
		Random: b.random}
	for _, c := range b.classes {
		m.Classes = append(m.Classes, [2]DecayingCount{{c.ended.n, c.ended.when}, {c.served.n, c.served.when}})
	}
	for _, t := range b.tenants {
		m.Tenants = append(m.Tenants, [2]float64{t.recent, t.usual})
	}
	route := func(r *route) RouteSnapshot {
		return RouteSnapshot{Estimator: r.timeoutEstimator.remember(), Tried: DecayingCount{r.tried.n, r.tried.when}, Done: DecayingCount{r.done.n, r.done.when},
			Window: r.window, Fails: r.fails, Recent: r.recent, Served: r.served, Before: r.before, Limit: r.limit, Pace: r.pace,
			Tokens: r.tokens, HalvedAt: r.halvedAt, ClosedUntil: r.closedUntil, Pause: r.pause, Reopens: r.reopens,
			LastServed: r.lastServed, SentAt: r.sentAt, ServedSent: r.servedSent, FirstServed: r.firstServed, OutAt: r.outAt,
			Since: r.since, ProbedAt: r.probedAt, Filled: r.filled, Bad: r.bad, Lost: r.lost, State: uint8(r.state)}
	}
	for id, d := range b.dests {
		if d.shared != nil {
			r := route(d.shared)
			r.Destination = id
			m.Routes = append(m.Routes, r)
		}
	}
	for id, e := range b.endpoints {
		m.Endpoints = append(m.Endpoints, EndpointSnapshot{id, e.recent, e.fails, e.crowded})
		if d := b.dests[e.Destination]; e.route != d.shared {
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
	for _, m := range b.held {
		if m.notBefore > b.now && m.out == 0 {
			rests[m.ID] = m.notBefore
		}
	}
	return rests
}

// Recall takes in what an earlier Dispatcher remembered. The list must have been told before, and no message.
func (b *Dispatcher) Restore(m Snapshot) {
	b.started, b.random = m.StartedAt, m.Random
	b.came = decayingCounter{m.Arrivals.Value, m.Arrivals.UpdatedAt}
	b.all, b.keep = m.Overall.recall(), slices.Clone(m.IdleTimeouts)
	for i := range min(len(m.Classes), len(b.classes)) {
		ended, served := m.Classes[i][0], m.Classes[i][1]
		b.classes[i] = classCount{decayingCounter{ended.Value, ended.UpdatedAt}, decayingCounter{served.Value, served.UpdatedAt}}
	}
	for i := range min(len(m.Tenants), len(b.tenants)) {
		b.tenants[i] = tenant{m.Tenants[i][0], m.Tenants[i][1]}
	}
	b.tenantsAt = b.now
	for _, k := range m.Routes {
		var r *route
		if k.PerEndpoint {
			if e := b.endpoints[k.Endpoint]; e != nil && e.route != b.dests[e.Destination].shared {
				r = e.route
			}
		} else if d := b.dests[k.Destination]; d != nil {
			r = d.shared
		}
		if r == nil {
			continue
		}
		if r.limit > 0 && k.Limit > 0 { // the list's rating counts, and the pace in its proportion
			k.Pace *= r.limit / k.Limit
			k.Limit = r.limit
		}
		r.timeoutEstimator = k.Estimator.recall()
		r.tried, r.done = decayingCounter{k.Tried.Value, k.Tried.UpdatedAt}, decayingCounter{k.Done.Value, k.Done.UpdatedAt}
		r.window, r.fails, r.recent, r.served, r.before = max(1, k.Window), k.Fails, k.Recent, k.Served, k.Before
		r.limit, r.pace, r.tokens, r.filled = k.Limit, k.Pace, k.Tokens, k.Filled
		r.halvedAt, r.closedUntil, r.pause, r.reopens = k.HalvedAt, k.ClosedUntil, k.Pause, k.Reopens
		r.lastServed, r.sentAt, r.servedSent, r.firstServed = k.LastServed, k.SentAt, k.ServedSent, k.FirstServed
		r.outAt, r.since, r.probedAt, r.bad, r.lost = k.OutAt, k.Since, k.ProbedAt, k.Bad, k.Lost
		r.state = min(state(k.State), warmingUp)
	}
	for _, k := range m.Endpoints {
		if e := b.endpoints[k.Endpoint]; e != nil {
			e.recent, e.fails, e.crowded = k.Recent, k.Fails, k.Crowded
		}
	}
}

// adopt books an attempt that another process of this sender has out, as if it had been sent from here.
func (b *Dispatcher) adopt(m *message, o *InFlightAttempt) {
	e := b.endpoints[o.Endpoint]
	r := e.route
	c := b.adopted[o.Call]
	if c == nil {
		c = &call{route: r, at: e, sent: o.SentAt, probe: r.state == unavailable && o.SentAt >= r.since}
		if b.adopted == nil {
			b.adopted = map[uint64]*call{}
		}
		b.adopted[o.Call] = c
		b.calls++
		r.calls++
		e.calls++
		if c.probe {
			r.probes++
		}
		r.unanswered = append(r.unanswered, c)
		slices.SortStableFunc(r.unanswered, func(x, y *call) int { return int(min(1, max(-1, x.sent-y.sent))) })
	}
	m.attempts = append(m.attempts, attempt{call: c, timeout: o.Timeout, uncut: true})
	m.out++
	c.left++
	c.messages = append(c.messages, m)
}
