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

// listedEndpoint is an endpoint with its latest entry in the endpoint list.
type listedEndpoint struct {
	*endpoint.Endpoint
	zone         int  // its index in the configuration
	maxBatchSize int  // messages in one call
	isListed     bool // also true while it drains
	entry        endpointlist.Endpoint
}

// endpointTable holds the endpoint list as the event loop knows it. An ID keeps its number even after its endpoint has
// been deleted.
type endpointTable struct {
	byID     map[string]*listedEndpoint
	byNumber []*listedEndpoint
	listed   int // the number of endpoints on the list
}

// changes returns the entries of an update that differ from what is known. Endpoints that a full list lacks are among
// them, as deleted.
func (l *endpointTable) changes(update endpointlist.Update) []endpointlist.Endpoint {
	var changed []endpointlist.Endpoint
	inFullList := map[string]bool{}
	for _, entry := range update.Endpoints {
		if update.Full {
			inFullList[entry.ID] = true
		}
		e := l.byID[entry.ID]
		switch {
		case e == nil && entry.IsDeleted():
		case entry.IsDeleted():
			if !e.entry.IsDeleted() {
				changed = append(changed, endpointlist.Endpoint{ID: entry.ID, State: endpointlist.StateDeleted})
			}
		case e == nil || !e.entry.EqualExceptWeight(entry):
			changed = append(changed, entry)
		}
	}
	if !update.Full {
		return changed
	}
	for _, e := range l.byNumber {
		if e.isListed && !inFullList[e.ID] {
			changed = append(changed, endpointlist.Endpoint{ID: e.ID, State: endpointlist.StateDeleted})
		}
	}
	return changed
}

// unlistAll marks all endpoints as deleted, before a full list is applied.
func (l *endpointTable) unlistAll() {
	for _, e := range l.byNumber {
		e.isListed, e.entry.State = false, endpointlist.StateDeleted
		e.SetServing(false)
	}
	l.listed = 0
}

// lookup returns the endpoint with the dispatcher's number.
func (l *endpointTable) lookup(number dispatch.EndpointID) (*listedEndpoint, error) {
	if int(number) >= len(l.byNumber) {
		return nil, fmt.Errorf("endpoint %d is not known", number)
	}
	return l.byNumber[number], nil
}

// apply updates an endpoint from its entry, or adds it, and returns it in the form that the dispatcher uses.
func (l *endpointTable) apply(entry endpointlist.Endpoint, cfg *config.Config, pool *endpoint.Pool) dispatch.Endpoint {
	e := l.byID[entry.ID]
	if e == nil {
		e = &listedEndpoint{Endpoint: &endpoint.Endpoint{Number: dispatch.EndpointID(len(l.byNumber)), ID: entry.ID}}
		l.byID[entry.ID] = e
		l.byNumber = append(l.byNumber, e)
	}
	if entry.Addr == "" {
		entry.Addr = e.entry.Addr
	}
	e.entry = entry
	e.zone, e.maxBatchSize = config.IndexOf(cfg.Zones, entry.Zone, 0), 1
	kind := config.IndexOf(cfg.Kinds, entry.Kind, 0)
	isKnownKind := kind < len(cfg.Settings.Kinds)
	if isKnownKind {
		e.maxBatchSize = max(1, cfg.Settings.Kinds[kind].MaxBatchSize)
	}
	l.setListed(e, !entry.IsDeleted())
	if entry.Addr != "" {
		e.SetAddress(entry.Addr)
	}
	isReady := entry.State == endpointlist.StateServing
	if !isReady {
		pool.CloseIdle(e.Endpoint, 0)
	}
	e.SetServing(isReady)
	route := invariant.Route{Destination: dispatch.DestinationID(entry.Cell)}
	if isKnownKind && cfg.Settings.Kinds[kind].PerEndpoint {
		route = invariant.Route{Endpoint: e.Number, PerEndpoint: true}
	}
	e.SetRoute(route)
	return dispatch.Endpoint{
		ID:          e.Number,
		Destination: dispatch.DestinationID(entry.Cell),
		Kind:        kind,
		Zone:        e.zone,
		Ready:       isReady,
		Rating:      entry.Weight,
	}
}

// setListed records whether an endpoint is on the list.
func (l *endpointTable) setListed(e *listedEndpoint, isListed bool) {
	switch {
	case isListed == e.isListed:
		return
	case isListed:
		l.listed++
	default:
		l.listed--
	}
	e.isListed = isListed
}

// storedOutages translates the dispatcher's outages for the journal.
func (l *endpointTable) storedOutages(outages []dispatch.Outage) []journal.Outage {
	var stored []journal.Outage
	for _, o := range outages {
		s := journal.Outage{
			Destination: uint32(o.Destination),
			Resolved:    o.Resolved,
			WarmingUp:   o.WarmingUp,
			Since:       o.Since,
			StartedAt:   o.StartedAt,
			RateBefore:  o.RateBefore,
		}
		if e, err := l.lookup(o.Endpoint); o.PerEndpoint && err == nil {
			s.Endpoint = e.ID
		}
		stored = append(stored, s)
	}
	return stored
}

// restoredOutages translates the journal's outages for the dispatcher, with the endpoint numbers of this process.
// Outages of endpoints that were never listed are left out.
func (l *endpointTable) restoredOutages(stored []journal.Outage) dispatch.OutagesRestored {
	var restored dispatch.OutagesRestored
	for _, s := range stored {
		o := dispatch.Outage{
			Destination: dispatch.DestinationID(s.Destination),
			WarmingUp:   s.WarmingUp,
			Since:       s.Since,
			StartedAt:   s.StartedAt,
			RateBefore:  s.RateBefore,
		}
		if s.Endpoint != "" {
			e := l.byID[s.Endpoint]
			if e == nil {
				continue
			}
			o.Endpoint, o.PerEndpoint = e.Number, true
		}
		restored.Outages = append(restored.Outages, o)
	}
	return restored
}
