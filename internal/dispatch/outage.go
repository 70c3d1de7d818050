package dispatch

import "time"

// This file persists outages so that they survive a restart of the process. A destination that recovers from
// an outage can handle only few calls from the senders that saw it fail. A sender that is restarted in the
// meantime has many messages for it and would otherwise send them all at once. So each change of a circuit's
// state is persisted, and the next process begins with the states that were persisted last.

// Outage is the state of a route that is in an outage or in the slow start after one.
type Outage struct {
	Destination DestinationID
	Endpoint    EndpointID    // set only with PerEndpoint
	PerEndpoint bool          // the endpoint is a route of its own
	Resolved    bool          // the route is healthy again; the fields below are not set
	WarmingUp   bool          // the route is in its slow start
	Since       time.Duration // clock time at which that state began
	StartedAt   time.Duration // clock time at which the outage began
	RateBefore  float64       // this sender's calls a second before the outage
}

// persistOutages asks to store the state of the routes whose circuit has changed state in this step.
func (d *Dispatcher) persistOutages() {
	if len(d.changedRoutes) == 0 {
		return
	}
	var outages []Outage
	for _, r := range d.changedRoutes {
		outages = append(outages, r.outage())
	}
	d.changedRoutes = d.changedRoutes[:0]
	d.emit(PersistOutages{Outages: outages})
}

// outage returns the state of r to be persisted.
func (r *route) outage() Outage {
	outage := Outage{
		Destination: r.destination,
		Endpoint:    r.endpoint,
		PerEndpoint: r.perEndpoint,
		Resolved:    r.breaker.state == healthy,
	}
	if !outage.Resolved {
		outage.WarmingUp = r.breaker.state == warmingUp
		outage.Since = r.breaker.since
		outage.StartedAt = r.breaker.outageStartedAt
		outage.RateBefore = r.breaker.rateBefore
	}
	return outage
}

// routeOfOutage returns the route that an outage belongs to, nil if the route is not known.
func (d *Dispatcher) routeOfOutage(outage Outage) *route {
	if !outage.PerEndpoint {
		if dest := d.destinations[outage.Destination]; dest != nil {
			return dest.shared
		}
		return nil
	}
	e := d.endpoints[outage.Endpoint]
	if e == nil || !e.route.perEndpoint {
		return nil
	}
	return e.route
}

// restoreOutages restores the states that an earlier Dispatcher persisted. It skips a route whose slow start
// began so long ago that the route has recovered by now.
func (d *Dispatcher) restoreOutages(outages []Outage) {
	for _, outage := range outages {
		r := d.routeOfOutage(outage)
		hasRecovered := outage.WarmingUp && d.now-outage.Since > d.settings.SlowStartDuration
		if r == nil || outage.Resolved || hasRecovered {
			continue
		}
		r.breaker.state = unavailable
		if outage.WarmingUp {
			r.breaker.state = warmingUp
		}
		r.breaker.since = min(d.now, outage.Since)
		r.breaker.outageStartedAt = min(d.now, outage.StartedAt)
		r.breaker.rateBefore = max(0, outage.RateBefore)
		r.window.size = 1
		r.limiter.set(d.jitter(), d.now)
	}
}
