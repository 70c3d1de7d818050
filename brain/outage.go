package brain

// Outages outlive a process. A destination that returns from an outage is cold, and bears little from
// those who saw it fail: a sender that is restarted in between holds many messages for it, and would
// otherwise send them all at once. So each change of a route's state is told, and the next process begins
// with the states as last told.

import "time"

// Outage is what is to be known of a route that is in an outage or cold after one.
type Outage struct {
	Destination DestinationID
	Endpoint    EndpointID    // where routes are apart
	Apart       bool          // routes are apart
	Over        bool          // it is well again; nothing else is set then but whose it is
	Cold        bool          // it has answered again
	Since       time.Duration // of the state, by the clock
	Began       time.Duration // of the outage
	Before      float64       // our calls a second before it
}

// NoteOutages says how routes have changed: those that are in an outage now, cold, or well again.
type NoteOutages struct{ Outages []Outage }

// KnownOutages tells a Brain what an earlier one noted last. The list must have been told before,
// and no message.
type KnownOutages struct{ Outages []Outage }

func (NoteOutages) action() {}
func (KnownOutages) event() {}

// enter puts a route into another state, which is to be noted at the end of the batch.
func (b *Brain) enter(r *route, to state) {
	r.state, r.since = to, b.now
	for _, known := range b.changed {
		if known == r {
			return
		}
	}
	b.changed = append(b.changed, r)
}

// noteOutages tells which routes have changed in this batch.
func (b *Brain) noteOutages() {
	if len(b.changed) == 0 {
		return
	}
	var note NoteOutages
	for _, r := range b.changed {
		o := Outage{Destination: r.destination, Endpoint: r.endpoint, Apart: r.apart, Over: r.state == well}
		if !o.Over {
			o.Cold, o.Since, o.Began, o.Before = r.state == cold, r.since, r.outAt, r.before
		}
		note.Outages = append(note.Outages, o)
	}
	b.changed = b.changed[:0]
	b.acts = append(b.acts, note)
}

// routeOf is the route that an outage is of, nil if it is not known.
func (b *Brain) routeOf(o Outage) *route {
	if !o.Apart {
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

// recallOutages begins with the states that an earlier Brain noted. A route that became cold long ago is
// warm by now.
func (b *Brain) recallOutages(list []Outage) {
	for _, o := range list {
		r := b.routeOf(o)
		if r == nil || o.Over || o.Cold && b.now-o.Since > b.s.Cold {
			continue
		}
		r.state, r.since, r.outAt, r.before = out, min(b.now, o.Since), min(b.now, o.Began), max(0, o.Before)
		if o.Cold {
			r.state = cold
		}
		r.window, r.tokens, r.filled = 1, b.spread(), b.now
	}
}
