package sender

import (
	"onyxdyke.example/onyxdyke/internal/discovery"
	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/endpointlist"
	"onyxdyke.example/onyxdyke/internal/metrics"
)

// handleEndpointList appends the changes of an endpoint list to the journal and applies the list.
func (s *Sender) handleEndpointList(e endpointListEvent) []dispatch.Event {
	changes := s.list.changes(e.Update)
	s.logEndpointList(e.Version, changes)
	s.journal.AppendEndpointList(e.Version, changes)
	return []dispatch.Event{s.applyEndpointList(e.Update, e.Full)}
}

// logEndpointList logs the changes of an endpoint list: one line, and at debug level one for each endpoint that accepts
// no new calls.
func (s *Sender) logEndpointList(version int64, changes []endpointlist.Endpoint) {
	if len(changes) == 0 {
		return
	}
	notServing := 0
	for _, entry := range changes {
		if entry.State != endpointlist.StateServing {
			notServing++
			s.log.Debug("endpoint accepts no new calls",
				"endpoint", entry.ID, "state", entry.State, "version", version)
		}
	}
	s.log.Info("list changed", "version", version, "endpoints", len(changes), "not_serving", notServing)
}

// applyEndpointList updates the endpoints from a list, or from changes to it, and returns the event that reports the
// update to the dispatcher.
func (s *Sender) applyEndpointList(update endpointlist.Update, full bool) dispatch.Event {
	translated := dispatch.EndpointListUpdate{Full: full}
	s.listVersion = update.Version
	if full {
		s.list.unlistAll()
	}
	for _, entry := range update.Endpoints {
		translated.Endpoints = append(translated.Endpoints, s.list.apply(entry, s.config, s.pool))
	}
	return translated
}

// endpointListEvents returns the endpoint list as two events for a dispatcher that has no list yet. In the first, each
// endpoint is ready, so that calls in flight to it can be restored even if it drains or is gone. The second has the
// endpoints as they are.
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

// setEndpointListStale logs that the list has become stale, or fresh again, and returns the event that reports this to
// the dispatcher. When the list becomes stale, the calls that have not been written yet are aborted.
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

// handleDiscoveryFailure returns the event that reports a failure of discovery to the dispatcher, and watches the list
// again if it is pushed.
func (s *Sender) handleDiscoveryFailure(err error) []dispatch.Event {
	s.log.Warn("discovery failed", "err", err)
	if !s.config.Settings.PollsEndpointList {
		s.requestEndpointList()
	}
	return []dispatch.Event{dispatch.EndpointListUpdate{Failed: true}}
}

// requestEndpointList asks discovery's goroutine to watch the list. If the settings have the list pushed, the
// dispatcher never requests it. In that case the sender itself watches the list from its start on, because no change
// arrives over a socket without a request.
func (s *Sender) requestEndpointList() {
	select {
	case s.watchRequests <- struct{}{}:
	default: // one request is queued already
	}
}
