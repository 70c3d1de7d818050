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

// NoteOutages says how routes have changed: those that are in an outage now, cold, or well again.
type PersistOutages struct{ Outages []Outage }

// KnownOutages tells a Dispatcher what an earlier one noted last. The list must have been told before,
// and no message.
type OutagesRestored struct{ Outages []Outage }

func (PersistOutages) action() {}
func (OutagesRestored) event() {}

// enter puts a route into another state, which is to be noted at the end of the batch.
func (b *Dispatcher) enter(r *route, to state) {
	r.state, r.since = to, b.now
	for _, known := range b.changed {
		if known == r {
			return
		}
	}
	b.changed = append(b.changed, r)
}

// noteOutages tells which routes have changed in this batch.
func (b *Dispatcher) noteOutages() {
	if len(b.changed) == 0 {
		return
	}
	var note PersistOutages
	for _, r := range b.changed {
		o := Outage{Destination: r.destination, Endpoint: r.endpoint, PerEndpoint: r.apart,
			Resolved: r.state == healthy}
		if !o.Resolved {
			o.WarmingUp, o.Since, o.StartedAt, o.RateBefore = r.state == warmingUp, r.since, r.outAt, r.before
		}
		note.Outages = append(note.Outages, o)
	}
	b.changed = b.changed[:0]
	b.acts = append(b.acts, note)
}

// routeOf is the route that an outage is of, nil if it is not known.
func (b *Dispatcher) routeOf(o Outage) *route {
	if !o.PerEndpoint {
		if d := b.dests[o.Destination]; d != nil {
			return d.shared
		}
		return nil
	}
	e := b.endpoints[o.Endpoint]
	if e == nil || !e.route.apart {
		return nil
	}
	return e.route
}

// recallOutages begins with the states that an earlier Dispatcher noted. A route that became cold long ago is
// warm by now.
func (b *Dispatcher) recallOutages(list []Outage) {
	for _, o := range list {
		r := b.routeOf(o)
		if r == nil || o.Resolved || o.WarmingUp && b.now-o.Since > b.s.SlowStartDuration {
			continue
		}
		r.state, r.since = unavailable, min(b.now, o.Since)
		r.outAt, r.before = min(b.now, o.StartedAt), max(0, o.RateBefore)
		if o.WarmingUp {
			r.state = warmingUp
		}
		r.window, r.tokens, r.filled = 1, b.spread(), b.now
	}
}
