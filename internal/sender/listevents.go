package sender

import (
	"onyxdyke.example/onyxdyke/internal/discovery"
	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/endpointlist"
	"onyxdyke.example/onyxdyke/internal/metrics"
)

// handleEndpointList appends what a list changes to the journal and applies it.
func (s *Sender) handleEndpointList(e endpointListEvent) []dispatch.Event {
	changes := s.list.changes(e.Update)
	s.logEndpointList(e.Version, changes)
	s.journal.AppendEndpointList(e.Version, changes)
	return []dispatch.Event{s.applyEndpointList(e.Update, e.Full)}
}

// logEndpointList logs what a list changes: one line, and at debug level one for each endpoint that accepts no new
// calls.
func (s *Sender) logEndpointList(version int64, changes []endpointlist.Endpoint) {
	if len(changes) == 0 {
		return
	}
	notServing := 0
	for _, t := range changes {
		if t.State != endpointlist.StateServing {
			notServing++
			s.log.Debug("endpoint stops", "endpoint", t.ID, "state", t.State, "version", version)
		}
	}
	s.log.Info("list changed", "version", version, "endpoints", len(changes), "not_serving", notServing)
}

// applyEndpointList updates the endpoints by a list, or by changes to it, and translates that for the dispatcher.
func (s *Sender) applyEndpointList(update endpointlist.Update, full bool) dispatch.Event {
	translated := dispatch.EndpointListUpdate{Full: full}
	s.listVersion = update.Version
	if full {
		s.list.unlistAll()
	}
	for _, target := range update.Endpoints {
		translated.Endpoints = append(translated.Endpoints, s.list.apply(target, s.config, s.pool))
	}
	return translated
}

// endpointListEvents is the list for a dispatcher that knows nothing yet. It comes first with each endpoint as ready,
// so that the calls in flight have theirs even if it drains or is gone, and then as it is.
func (s *Sender) endpointListEvents() (allReady, current dispatch.EndpointListUpdate) {
	allReady.Full, current.Full = true, true
	for _, e := range s.list.byNumber {
		translated := s.list.apply(e.entry, s.config, s.pool)
		ready := translated
		ready.Ready = true
		allReady.Endpoints = append(allReady.Endpoints, ready)
		current.Endpoints = append(current.Endpoints, translated)
	}
	return allReady, current
}

// setEndpointListStale notes whether the list is stale. Calls that are not written by then are aborted.
func (s *Sender) setEndpointListStale(stale bool) []dispatch.Event {
	if stale {
		s.metrics.CountReason(metrics.ReasonDiscovery, discovery.ReasonStale)
		s.log.Warn("the list is stale: discovery cannot be asked, and nothing is sent")
		s.abortUnsent(func(*inFlightCall) bool { return true })
	} else {
		s.log.Info("the list is fresh again")
	}
	return []dispatch.Event{dispatch.EndpointListStale{Stale: stale}}
}

// handleDiscoveryFailure watches the list again.
func (s *Sender) handleDiscoveryFailure(err error) []dispatch.Event {
	s.log.Warn("discovery failed", "err", err)
	if !s.config.Settings.PollsEndpointList {
		s.requestEndpointList()
	}
	return []dispatch.Event{dispatch.EndpointListUpdate{Failed: true}}
}

// requestEndpointList asks discovery's goroutine to watch the list. Where the settings have the list pushed, the
// dispatcher never asks for it, and the sender watches by itself from its start on: on a socket no change arrives
// without a request.
func (s *Sender) requestEndpointList() {
	select {
	case s.watchRequests <- struct{}{}:
	default: // one request is queued already
	}
}
