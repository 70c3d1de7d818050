package sender

// The list of endpoints as the loop knows it.

import (
	"fmt"
	"time"

	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/endpointlist"
	"onyxdyke.example/onyxdyke/internal/invariant"
	"onyxdyke.example/onyxdyke/internal/journal"
)

// endpoints is the list as the loop knows it. Numbers stay with ids, also of those that are gone.
type endpoints struct {
	byID     map[string]*endpoint
	byNumber []*endpoint
	listed   int // lines that the list holds now
}

// changes are the lines of an answer that say something else than what is known, those that a whole list lacks among them.
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
			if !e.target.IsDeleted() {
				changed = append(changed, endpointlist.Endpoint{ID: line.ID, State: endpointlist.StateDeleted})
			}
		case e == nil || !e.target.EqualExceptWeight(line):
			changed = append(changed, line)
		}
	}
	if t.Full {
		for _, e := range l.byNumber {
			if e.listed && !told[e.id] {
				changed = append(changed, endpointlist.Endpoint{ID: e.id, State: endpointlist.StateDeleted})
			}
		}
	}
	return changed
}

// clear forgets what is listed: a whole list says it anew.
func (l *endpoints) clear() {
	for _, e := range l.byNumber {
		e.listed, e.target.State = false, endpointlist.StateDeleted
		e.mu.Lock()
		if e.drained.IsZero() {
			e.drained = time.Now()
		}
		e.mu.Unlock()
	}
	l.listed = 0
}

func (l *endpoints) number(n dispatch.EndpointID) (*endpoint, error) {
	if int(n) >= len(l.byNumber) {
		return nil, fmt.Errorf("endpoint %d is not known", n)
	}
	return l.byNumber[n], nil
}

// line books a line of the list and translates it for the dispatcher.
func (l *endpoints) line(t endpointlist.Endpoint, c *config.Config, p *pool) dispatch.Endpoint {
	e := l.byID[t.ID]
	if e == nil {
		e = &endpoint{number: dispatch.EndpointID(len(l.byNumber)), id: t.ID}
		l.byID[t.ID] = e
		l.byNumber = append(l.byNumber, e)
	}
	if t.Addr == "" {
		t.Addr = e.target.Addr
	}
	e.target = t
	e.zone, e.most = config.IndexOf(c.Zones, t.Zone, 0), 1
	kind := config.IndexOf(c.Kinds, t.Kind, 0)
	if kind < len(c.Settings.Kinds) {
		e.most = max(1, c.Settings.Kinds[kind].MaxBatchSize)
	}
	ready := t.State == endpointlist.StateServing
	if listed := !t.IsDeleted(); listed != e.listed {
		e.listed = listed
		if listed {
			l.listed++
		} else {
			l.listed--
		}
	}
	e.mu.Lock()
	if t.Addr != "" {
		e.addr = t.Addr
	}
	e.mu.Unlock()
	if !ready {
		p.closeIdle(e, 0)
	}
	e.mu.Lock()
	switch {
	case ready:
		e.drained = time.Time{}
	case e.drained.IsZero():
		e.drained = time.Now()
	}
	e.scope = invariant.Scope{Destination: dispatch.DestinationID(t.Cell)}
	if kind < len(c.Settings.Kinds) && c.Settings.Kinds[kind].PerEndpoint {
		e.scope = invariant.Scope{Endpoint: e.number, PerEndpoint: true}
	}
	e.mu.Unlock()
	return dispatch.Endpoint{ID: e.number, Destination: dispatch.DestinationID(t.Cell), Kind: kind,
		Zone: e.zone, Ready: ready, Rating: t.Weight}
}

// storedOutages translates what the dispatcher notes.
func (l *endpoints) storedOutages(list []dispatch.Outage) []journal.Outage {
	var stored []journal.Outage
	for _, o := range list {
		s := journal.Outage{Destination: uint32(o.Destination), Resolved: o.Resolved, WarmingUp: o.WarmingUp, Since: o.Since, StartedAt: o.StartedAt, RateBefore: o.RateBefore}
		if e, err := l.number(o.Endpoint); o.PerEndpoint && err == nil {
			s.Endpoint = e.id
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
			o.Endpoint, o.PerEndpoint = e.number, true
		}
		known.Outages = append(known.Outages, o)
	}
	return known
}
