package handover

// The dispatcher's snapshot to and from the wire format.

import "onyxdyke.example/onyxdyke/internal/dispatch"

func freezeFading(f dispatch.DecayingCount) frozenFading {
	return frozenFading{N: f.Value, When: f.UpdatedAt}
}

func (f frozenFading) thaw() dispatch.DecayingCount {
	return dispatch.DecayingCount{Value: f.N, UpdatedAt: f.When}
}

func freezeOracle(o dispatch.EstimatorSnapshot) frozenOracle {
	return frozenOracle{
		Count:     o.BucketWeights,
		Sum:       o.BucketSums,
		Seen:      o.Samples,
		Past:      o.UnansweredWeight,
		Mean:      o.Mean,
		Best:      o.OptimalTau,
		Median:    o.Median,
		Quickest:  o.MinLatency,
		Doubled:   o.DoubledTau,
		DoubledAt: o.DoubledAt,
	}
}

func (f frozenOracle) thaw() dispatch.EstimatorSnapshot {
	return dispatch.EstimatorSnapshot{
		BucketWeights:    f.Count,
		BucketSums:       f.Sum,
		Samples:          f.Seen,
		UnansweredWeight: f.Past,
		Mean:             f.Mean,
		OptimalTau:       f.Best,
		Median:           f.Median,
		MinLatency:       f.Quickest,
		DoubledTau:       f.Doubled,
		DoubledAt:        f.DoubledAt,
	}
}

func freezeMemory(m dispatch.Snapshot) frozenMemory {
	f := frozenMemory{
		Started: m.StartedAt,
		Came:    freezeFading(m.Arrivals),
		All:     freezeOracle(m.Overall),
		Keep:    m.IdleTimeouts,
		Random:  m.Random,
	}
	for _, t := range m.Tenants {
		f.Tenants = append(f.Tenants, [2]float64{t.RecentRate, t.LongTermRate})
	}
	for _, c := range m.Classes {
		f.Classes = append(f.Classes, [2]frozenFading{freezeFading(c.Ended), freezeFading(c.Served)})
	}
	for _, r := range m.Routes {
		f.Routes = append(f.Routes, freezeRoute(r))
	}
	for _, e := range m.Endpoints {
		f.Ends = append(f.Ends, frozenEndpoint{
			Endpoint: uint32(e.Endpoint),
			Recent:   e.Latency,
			Fails:    e.FailureRate,
			Crowded:  e.IdleTimeoutCut,
		})
	}
	return f
}

func (f frozenMemory) thaw() dispatch.Snapshot {
	m := dispatch.Snapshot{
		StartedAt:    f.Started,
		Arrivals:     f.Came.thaw(),
		Overall:      f.All.thaw(),
		IdleTimeouts: f.Keep,
		Random:       f.Random,
	}
	for _, t := range f.Tenants {
		m.Tenants = append(m.Tenants, dispatch.TenantSnapshot{RecentRate: t[0], LongTermRate: t[1]})
	}
	for _, c := range f.Classes {
		m.Classes = append(m.Classes, dispatch.ClassSnapshot{Ended: c[0].thaw(), Served: c[1].thaw()})
	}
	for _, r := range f.Routes {
		m.Routes = append(m.Routes, r.thaw())
	}
	for _, e := range f.Ends {
		m.Endpoints = append(m.Endpoints, dispatch.EndpointSnapshot{
			Endpoint:       dispatch.EndpointID(e.Endpoint),
			Latency:        e.Recent,
			FailureRate:    e.Fails,
			IdleTimeoutCut: e.Crowded,
		})
	}
	return m
}

func freezeRoute(r dispatch.RouteSnapshot) frozenRoute {
	return frozenRoute{Destination: uint32(r.Destination), Endpoint: uint32(r.Endpoint), Apart: r.PerEndpoint,
		Oracle: freezeOracle(r.Estimator), Tried: freezeFading(r.SentCalls), Done: freezeFading(r.ServedCalls),
		Window: r.Window, Fails: r.FailureRate, Recent: r.Latency, Served: r.RecentServed, Before: r.RateBefore,
		Limit: r.Limit, Pace: r.Pace, Tokens: r.Tokens,
		HalvedAt: r.HalvedAt, ClosedUntil: r.BackoffUntil, Pause: r.BackoffStep, Reopens: r.ReopensAt,
		LastServed: r.LastServedAt, SentAt: r.LastSentAt, ServedSent: r.LastServedSentAt, FirstServed: r.FirstServedAt,
		OutAt: r.OutageStartedAt, Since: r.StateSince, ProbedAt: r.LastProbeAt, Filled: r.RefilledAt,
		Bad: r.ConsecutiveFailures, Lost: r.ConsecutiveLosses, State: r.State}
}

func (f frozenRoute) thaw() dispatch.RouteSnapshot {
	return dispatch.RouteSnapshot{Destination: dispatch.DestinationID(f.Destination),
		Endpoint: dispatch.EndpointID(f.Endpoint), PerEndpoint: f.Apart,
		Estimator: f.Oracle.thaw(), SentCalls: f.Tried.thaw(), ServedCalls: f.Done.thaw(),
		Window: f.Window, FailureRate: f.Fails, Latency: f.Recent, RecentServed: f.Served, RateBefore: f.Before,
		Limit: f.Limit, Pace: f.Pace, Tokens: f.Tokens,
		HalvedAt: f.HalvedAt, BackoffUntil: f.ClosedUntil, BackoffStep: f.Pause, ReopensAt: f.Reopens,
		LastServedAt: f.LastServed, LastSentAt: f.SentAt, LastServedSentAt: f.ServedSent, FirstServedAt: f.FirstServed,
		OutageStartedAt: f.OutAt, StateSince: f.Since, LastProbeAt: f.ProbedAt, RefilledAt: f.Filled,
		ConsecutiveFailures: f.Bad, ConsecutiveLosses: f.Lost, State: f.State}
}
