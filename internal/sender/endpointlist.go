package sender

// The list of endpoints as the loop knows it.

import (
	"fmt"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
)

// endpoints is the list as the loop knows it. Numbers stay with ids, also of those that are gone.
type endpoints struct {
	byID     map[string]*endpoint
	byNumber []*endpoint
	listed   int // lines that the list holds now
}

// changes are the lines of an answer that say something else than what is known, those that a whole list lacks among them.
func (l *endpoints) changes(t Targets) []Target {
	var changed []Target
	told := map[string]bool{} // of a whole list
	for _, line := range t.Servers {
		if t.Full {
			told[line.ID] = true
		}
		e := l.byID[line.ID]
		switch {
		case e == nil && line.isDeleted():
		case line.isDeleted():
			if !e.target.isDeleted() {
				changed = append(changed, Target{ID: line.ID, State: stateDeleted})
			}
		case e == nil || !e.target.sameButRating(line):
			changed = append(changed, line)
		}
	}
	if t.Full {
		for _, e := range l.byNumber {
			if e.listed && !told[e.id] {
				changed = append(changed, Target{ID: e.id, State: stateDeleted})
			}
		}
	}
	return changed
}

// clear forgets what is listed: a whole list says it anew.
func (l *endpoints) clear() {
	for _, e := range l.byNumber {
		e.listed, e.target.State = false, stateDeleted
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
func (l *endpoints) line(t Target, c *Config, p *pool) dispatch.Endpoint {
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
	e.zone, e.most = place(c.Zones, t.Zone, 0), 1
	kind := place(c.Kinds, t.Kind, 0)
	if kind < len(c.Settings.Kinds) {
		e.most = max(1, c.Settings.Kinds[kind].MaxBatchSize)
	}
	ready := t.State == stateServing
	if listed := !t.isDeleted(); listed != e.listed {
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
	e.scope = waitScope{destination: dispatch.DestinationID(t.Cell)}
	if kind < len(c.Settings.Kinds) && c.Settings.Kinds[kind].PerEndpoint {
		e.scope = waitScope{endpoint: e.number, apart: true}
	}
	e.mu.Unlock()
	return dispatch.Endpoint{ID: e.number, Destination: dispatch.DestinationID(t.Cell), Kind: kind,
		Zone: e.zone, Ready: ready, Rating: t.Weight}
}
