package sender

import (
	"fmt"

	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/endpoint"
	"onyxdyke.example/onyxdyke/internal/endpointlist"
	"onyxdyke.example/onyxdyke/internal/invariant"
	"onyxdyke.example/onyxdyke/internal/journal"
)

// listedEndpoint is an endpoint with its entry in the list, as the event loop knows it.
type listedEndpoint struct {
	*endpoint.Endpoint
	zone         int
	maxBatchSize int  // messages in one call
	isListed     bool // draining ones are
	entry        endpointlist.Endpoint
}

// endpoints is the list as the loop knows it. Numbers stay with ids, also of those that are gone.
type endpoints struct {
	byID     map[string]*listedEndpoint
	byNumber []*listedEndpoint
	listed   int // lines that the list holds now
}

// changes are the lines of an answer that say something else than what is known, those that a whole list lacks among
// them.
func (l *endpoints) changes(t endpointlist.Update) []endpointlist.Endpoint {
	var changed []endpointlist.Endpoint
	told := map[string]bool{} // of a whole list
	for _, line := range t.Endpoints {
		if t.Full {
			told[line.ID] = true
		}
		e := l.byID[line.ID]
		switch {
		case e == nil && line.IsDeleted():
		case line.IsDeleted():
			if !e.entry.IsDeleted() {
				changed = append(changed, endpointlist.Endpoint{ID: line.ID, State: endpointlist.StateDeleted})
			}
		case e == nil || !e.entry.EqualExceptWeight(line):
			changed = append(changed, line)
		}
	}
	if t.Full {
		for _, e := range l.byNumber {
			if e.isListed && !told[e.ID] {
				changed = append(changed, endpointlist.Endpoint{ID: e.ID, State: endpointlist.StateDeleted})
			}
		}
	}
	return changed
}

// clear forgets what is listed: a whole list says it anew.
func (l *endpoints) clear() {
	for _, e := range l.byNumber {
		e.isListed, e.entry.State = false, endpointlist.StateDeleted
		e.SetServing(false)
	}
	l.listed = 0
}

func (l *endpoints) number(n dispatch.EndpointID) (*listedEndpoint, error) {
	if int(n) >= len(l.byNumber) {
		return nil, fmt.Errorf("endpoint %d is not known", n)
	}
	return l.byNumber[n], nil
}

// line books a line of the list and translates it for the dispatcher.
func (l *endpoints) line(t endpointlist.Endpoint, c *config.Config, p *endpoint.Pool) dispatch.Endpoint {
	e := l.byID[t.ID]
	if e == nil {
		e = &listedEndpoint{Endpoint: &endpoint.Endpoint{Number: dispatch.EndpointID(len(l.byNumber)), ID: t.ID}}
		l.byID[t.ID] = e
		l.byNumber = append(l.byNumber, e)
	}
	if t.Addr == "" {
		t.Addr = e.entry.Addr
	}
	e.entry = t
	e.zone, e.maxBatchSize = config.IndexOf(c.Zones, t.Zone, 0), 1
	kind := config.IndexOf(c.Kinds, t.Kind, 0)
	if kind < len(c.Settings.Kinds) {
		e.maxBatchSize = max(1, c.Settings.Kinds[kind].MaxBatchSize)
	}
	ready := t.State == endpointlist.StateServing
	if listed := !t.IsDeleted(); listed != e.isListed {
		e.isListed = listed
		if listed {
			l.listed++
		} else {
			l.listed--
		}
	}
	if t.Addr != "" {
		e.SetAddress(t.Addr)
	}
	if !ready {
		p.CloseIdle(e.Endpoint, 0)
	}
	e.SetServing(ready)
	scope := invariant.Scope{Destination: dispatch.DestinationID(t.Cell)}
	if kind < len(c.Settings.Kinds) && c.Settings.Kinds[kind].PerEndpoint {
		scope = invariant.Scope{Endpoint: e.Number, PerEndpoint: true}
	}
	e.SetScope(scope)
	return dispatch.Endpoint{ID: e.Number, Destination: dispatch.DestinationID(t.Cell), Kind: kind,
		Zone: e.zone, Ready: ready, Rating: t.Weight}
}

// storedOutages translates what the dispatcher notes.
func (l *endpoints) storedOutages(list []dispatch.Outage) []journal.Outage {
	var stored []journal.Outage
	for _, o := range list {
		s := journal.Outage{Destination: uint32(o.Destination), Resolved: o.Resolved, WarmingUp: o.WarmingUp, Since: o.Since, StartedAt: o.StartedAt, RateBefore: o.RateBefore}
		if e, err := l.number(o.Endpoint); o.PerEndpoint && err == nil {
			s.Endpoint = e.ID
		}
		stored = append(stored, s)
	}
	return stored
}

// knownOutages translates back, by the numbers of this process. What is not listed is left out.
func (l *endpoints) knownOutages(list []journal.Outage) dispatch.OutagesRestored {
	var known dispatch.OutagesRestored
	for _, s := range list {
		o := dispatch.Outage{Destination: dispatch.DestinationID(s.Destination), WarmingUp: s.WarmingUp, Since: s.Since, StartedAt: s.StartedAt, RateBefore: s.RateBefore}
		if s.Endpoint != "" {
			e := l.byID[s.Endpoint]
			if e == nil {
				continue
			}
			o.Endpoint, o.PerEndpoint = e.Number, true
		}
		known.Outages = append(known.Outages, o)
	}
	return known
}
