package handover

// Translation of the dispatcher's snapshot to and from the wire format, which frozen.go defines.

import "onyxdyke.example/onyxdyke/internal/dispatch"

func countToWire(c dispatch.DecayingCount) frozenFading {
	return frozenFading{N: c.Value, When: c.UpdatedAt}
}

func (f frozenFading) fromWire() dispatch.DecayingCount {
	return dispatch.DecayingCount{Value: f.N, UpdatedAt: f.When}
}

func estimatorToWire(e dispatch.EstimatorSnapshot) frozenOracle {
	return frozenOracle{
		Count:     e.BucketWeights,
		Sum:       e.BucketSums,
		Seen:      e.Samples,
		Past:      e.UnansweredWeight,
		Mean:      e.Mean,
		Best:      e.OptimalTau,
		Median:    e.Median,
		Quickest:  e.MinLatency,
		Doubled:   e.DoubledTau,
		DoubledAt: e.DoubledAt,
	}
}

func (f frozenOracle) fromWire() dispatch.EstimatorSnapshot {
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

func dispatcherToWire(s dispatch.Snapshot) frozenMemory {
	f := frozenMemory{
		Started: s.StartedAt,
		Came:    countToWire(s.Arrivals),
		All:     estimatorToWire(s.Overall),
		Keep:    s.IdleTimeouts,
		Random:  s.Random,
	}
	for _, t := range s.Tenants {
		f.Tenants = append(f.Tenants, [2]float64{t.RecentRate, t.LongTermRate})
	}
	for _, c := range s.Classes {
		f.Classes = append(f.Classes, [2]frozenFading{countToWire(c.Ended), countToWire(c.Served)})
	}
	for _, r := range s.Routes {
		f.Routes = append(f.Routes, routeToWire(r))
	}
	for _, e := range s.Endpoints {
		f.Ends = append(f.Ends, frozenEndpoint{
			Endpoint: uint32(e.Endpoint),
			Recent:   e.Latency,
			Fails:    e.FailureRate,
			Crowded:  e.IdleTimeoutCut,
		})
	}
	return f
}

func (f frozenMemory) fromWire() dispatch.Snapshot {
	s := dispatch.Snapshot{
		StartedAt:    f.Started,
		Arrivals:     f.Came.fromWire(),
		Overall:      f.All.fromWire(),
		IdleTimeouts: f.Keep,
		Random:       f.Random,
	}
	for _, t := range f.Tenants {
		s.Tenants = append(s.Tenants, dispatch.TenantSnapshot{RecentRate: t[0], LongTermRate: t[1]})
	}
	for _, c := range f.Classes {
		s.Classes = append(s.Classes, dispatch.ClassSnapshot{Ended: c[0].fromWire(), Served: c[1].fromWire()})
	}
	for _, r := range f.Routes {
		s.Routes = append(s.Routes, r.fromWire())
	}
	for _, e := range f.Ends {
		s.Endpoints = append(s.Endpoints, dispatch.EndpointSnapshot{
			Endpoint:       dispatch.EndpointID(e.Endpoint),
			Latency:        e.Recent,
			FailureRate:    e.Fails,
			IdleTimeoutCut: e.Crowded,
		})
	}
	return s
}

func routeToWire(r dispatch.RouteSnapshot) frozenRoute {
	return frozenRoute{Destination: uint32(r.Destination), Endpoint: uint32(r.Endpoint), Apart: r.PerEndpoint,
		Oracle: estimatorToWire(r.Estimator), Tried: countToWire(r.SentCalls), Done: countToWire(r.ServedCalls),
		Window: r.Window, Fails: r.FailureRate, Recent: r.Latency, Served: r.RecentServed, Before: r.RateBefore,
		Limit: r.Limit, Pace: r.Pace, Tokens: r.Tokens,
		HalvedAt: r.HalvedAt, ClosedUntil: r.BackoffUntil, Pause: r.BackoffDelay, Reopens: r.ReopensAt,
		LastServed: r.LastServedAt, SentAt: r.LastSentAt, ServedSent: r.LastServedSentAt, FirstServed: r.FirstServedAt,
		OutAt: r.OutageStartedAt, Since: r.StateSince, ProbedAt: r.LastProbeAt, Filled: r.RefilledAt,
		Bad: r.ConsecutiveFailures, Lost: r.ConsecutiveLosses, State: r.State}
}

func (f frozenRoute) fromWire() dispatch.RouteSnapshot {
	return dispatch.RouteSnapshot{Destination: dispatch.DestinationID(f.Destination),
		Endpoint: dispatch.EndpointID(f.Endpoint), PerEndpoint: f.Apart,
		Estimator: f.Oracle.fromWire(), SentCalls: f.Tried.fromWire(), ServedCalls: f.Done.fromWire(),
		Window: f.Window, FailureRate: f.Fails, Latency: f.Recent, RecentServed: f.Served, RateBefore: f.Before,
		Limit: f.Limit, Pace: f.Pace, Tokens: f.Tokens,
		HalvedAt: f.HalvedAt, BackoffUntil: f.ClosedUntil, BackoffDelay: f.Pause, ReopensAt: f.Reopens,
		LastServedAt: f.LastServed, LastSentAt: f.SentAt, LastServedSentAt: f.ServedSent, FirstServedAt: f.FirstServed,
		OutageStartedAt: f.OutAt, StateSince: f.Since, LastProbeAt: f.ProbedAt, RefilledAt: f.Filled,
		ConsecutiveFailures: f.Bad, ConsecutiveLosses: f.Lost, State: f.State}
}
