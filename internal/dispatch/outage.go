package dispatch

// Outages outlive a process. A destination that returns from an outage is cold, and bears little from
// those who saw it fail: a sender that is restarted in between holds many messages for it, and would
// otherwise send them all at once. So each change of a route's state is told, and the next process begins
// with the states as last told.

import "time"

// Outage is what is to be known of a route that is in an outage or cold after one.
type Outage struct {
	Destination DestinationID
	Endpoint    EndpointID    // where routes are apart
	PerEndpoint bool          // routes are apart
	Resolved    bool          // it is well again; nothing else is set then but whose it is
	WarmingUp   bool          // it has answered again
	Since       time.Duration // of the state, by the clock
	StartedAt   time.Duration // of the outage
	RateBefore  float64       // our calls a second before it
}

// enter puts a route into another state, which is to be noted at the end of the batch.
func (b *Dispatcher) setState(r *route, to circuitState) {
	r.state, r.stateSince = to, b.now
	for _, known := range b.changedRoutes {
		if known == r {
			return
		}
	}
	b.changedRoutes = append(b.changedRoutes, r)
}

// noteOutages tells which routes have changed in this batch.
func (b *Dispatcher) persistOutages() {
	if len(b.changedRoutes) == 0 {
		return
	}
	var note PersistOutages
	for _, r := range b.changedRoutes {
		o := Outage{Destination: r.destination, Endpoint: r.endpoint, PerEndpoint: r.perEndpoint,
			Resolved: r.state == healthy}
		if !o.Resolved {
			o.WarmingUp, o.Since, o.StartedAt, o.RateBefore = r.state == warmingUp, r.stateSince,
				r.outageStartedAt, r.rateBefore
		}
		note.Outages = append(note.Outages, o)
	}
	b.changedRoutes = b.changedRoutes[:0]
	b.actions = append(b.actions, note)
}

// routeOf is the route that an outage is of, nil if it is not known.
func (b *Dispatcher) routeOfOutage(o Outage) *route {
	if !o.PerEndpoint {
		if d := b.destinations[o.Destination]; d != nil {
			return d.shared
		}
		return nil
	}
	e := b.endpoints[o.Endpoint]
	if e == nil || !e.route.perEndpoint {
		return nil
	}
	return e.route
}

// recallOutages begins with the states that an earlier Dispatcher noted. A route that became cold long ago is
// warm by now.
func (b *Dispatcher) restoreOutages(list []Outage) {
	for _, o := range list {
		r := b.routeOfOutage(o)
		if r == nil || o.Resolved || o.WarmingUp && b.now-o.Since > b.settings.SlowStartDuration {
			continue
		}
		r.state, r.stateSince = unavailable, min(b.now, o.Since)
		r.outageStartedAt, r.rateBefore = min(b.now, o.StartedAt), max(0, o.RateBefore)
		if o.WarmingUp {
			r.state = warmingUp
		}
		r.window, r.tokens, r.refilledAt = 1, b.jitter(), b.now
	}
}
