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
		Count:     o.Count,
		Sum:       o.Sum,
		Seen:      o.Seen,
		Past:      o.Past,
		Mean:      o.Mean,
		Best:      o.Best,
		Median:    o.Median,
		Quickest:  o.Quickest,
		Doubled:   o.Doubled,
		DoubledAt: o.DoubledAt,
	}
}

func (f frozenOracle) thaw() dispatch.EstimatorSnapshot {
	return dispatch.EstimatorSnapshot{
		Count:     f.Count,
		Sum:       f.Sum,
		Seen:      f.Seen,
		Past:      f.Past,
		Mean:      f.Mean,
		Best:      f.Best,
		Median:    f.Median,
		Quickest:  f.Quickest,
		Doubled:   f.Doubled,
		DoubledAt: f.DoubledAt,
	}
}

func freezeMemory(m dispatch.Snapshot) frozenMemory {
	f := frozenMemory{
		Started: m.StartedAt,
		Came:    freezeFading(m.Arrivals),
		All:     freezeOracle(m.Overall),
		Keep:    m.IdleTimeouts,
		Random:  m.Random,
		Tenants: m.Tenants,
	}
	for _, c := range m.Classes {
		f.Classes = append(f.Classes, [2]frozenFading{freezeFading(c[0]), freezeFading(c[1])})
	}
	for _, r := range m.Routes {
		f.Routes = append(f.Routes, freezeRoute(r))
	}
	for _, e := range m.Endpoints {
		f.Ends = append(f.Ends, frozenEndpoint{
			Endpoint: uint32(e.Endpoint),
			Recent:   e.Recent,
			Fails:    e.Fails,
			Crowded:  e.Crowded,
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
		Tenants:      f.Tenants,
	}
	for _, c := range f.Classes {
		m.Classes = append(m.Classes, [2]dispatch.DecayingCount{c[0].thaw(), c[1].thaw()})
	}
	for _, r := range f.Routes {
		m.Routes = append(m.Routes, r.thaw())
	}
	for _, e := range f.Ends {
		m.Endpoints = append(m.Endpoints, dispatch.EndpointSnapshot{
			Endpoint: dispatch.EndpointID(e.Endpoint),
			Recent:   e.Recent,
			Fails:    e.Fails,
			Crowded:  e.Crowded,
		})
	}
	return m
}

func freezeRoute(r dispatch.RouteSnapshot) frozenRoute {
	return frozenRoute{Destination: uint32(r.Destination), Endpoint: uint32(r.Endpoint), Apart: r.PerEndpoint,
		Oracle: freezeOracle(r.Estimator), Tried: freezeFading(r.Tried), Done: freezeFading(r.Done),
		Window: r.Window, Fails: r.Fails, Recent: r.Recent, Served: r.Served, Before: r.Before,
		Limit: r.Limit, Pace: r.Pace, Tokens: r.Tokens,
		HalvedAt: r.HalvedAt, ClosedUntil: r.ClosedUntil, Pause: r.Pause, Reopens: r.Reopens,
		LastServed: r.LastServed, SentAt: r.SentAt, ServedSent: r.ServedSent, FirstServed: r.FirstServed,
		OutAt: r.OutAt, Since: r.Since, ProbedAt: r.ProbedAt, Filled: r.Filled,
		Bad: r.Bad, Lost: r.Lost, State: r.State}
}

func (f frozenRoute) thaw() dispatch.RouteSnapshot {
	return dispatch.RouteSnapshot{Destination: dispatch.DestinationID(f.Destination),
		Endpoint: dispatch.EndpointID(f.Endpoint), PerEndpoint: f.Apart,
		Estimator: f.Oracle.thaw(), Tried: f.Tried.thaw(), Done: f.Done.thaw(),
		Window: f.Window, Fails: f.Fails, Recent: f.Recent, Served: f.Served, Before: f.Before,
		Limit: f.Limit, Pace: f.Pace, Tokens: f.Tokens,
		HalvedAt: f.HalvedAt, ClosedUntil: f.ClosedUntil, Pause: f.Pause, Reopens: f.Reopens,
		LastServed: f.LastServed, SentAt: f.SentAt, ServedSent: f.ServedSent, FirstServed: f.FirstServed,
		OutAt: f.OutAt, Since: f.Since, ProbedAt: f.ProbedAt, Filled: f.Filled,
		Bad: f.Bad, Lost: f.Lost, State: f.State}
}
