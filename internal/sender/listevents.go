package sender

import (
	"onyxdyke.example/onyxdyke/internal/discovery"
	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/endpointlist"
	"onyxdyke.example/onyxdyke/internal/metrics"
)

// What the loop does with news of the endpoint list.

// relist is the list as news for a module that knows nothing yet: each endpoint once, so that the calls that are
// out have theirs even if it drains or is gone, and then the list as it is.
func (s *Sender) endpointListEvents() []dispatch.Event {
	var all, now dispatch.EndpointListUpdate
	all.Full, now.Full = true, true
	for _, e := range s.list.byNumber {
		line := s.list.line(e.entry, s.config, s.pool)
		ready := line
		ready.Ready = true
		all.Endpoints, now.Endpoints = append(all.Endpoints, ready), append(now.Endpoints, line)
	}
	return []dispatch.Event{all, now}
}

// listStale books whether the list is stale. What has not been written by then is not written any more.
func (s *Sender) setEndpointListStale(stale bool) dispatch.Event {
	if stale {
		s.metrics.CountReason(metrics.ReasonDiscovery, discovery.ReasonStale)
		s.log.Warn("the list is stale: discovery cannot be asked, and nothing is sent")
		s.abortUnsent(func(*outCall) bool { return true })
	} else {
		s.log.Info("the list is fresh again")
	}
	return dispatch.EndpointListStale{Stale: stale}
}

// logList logs what a list changes: one line, and where the log level asks for it one for each endpoint that takes nothing
// new any more.
func (s *Sender) logList(version int64, changes []endpointlist.Endpoint) {
	if len(changes) == 0 {
		return
	}
	stopped := 0
	for _, t := range changes {
		if t.State != endpointlist.StateServing {
			stopped++
			s.log.Debug("endpoint stops", "endpoint", t.ID, "state", t.State, "version", version)
		}
	}
	s.log.Info("list changed", "version", version, "endpoints", len(changes), "not_serving", stopped)
}

func (s *Sender) applyEndpointList(t endpointlist.Update, whole bool) dispatch.Event {
	news := dispatch.EndpointListUpdate{Full: whole}
	s.listVersion = t.Version
	if whole {
		s.list.clear()
	}
	for _, line := range t.Endpoints {
		news.Endpoints = append(news.Endpoints, s.list.line(line, s.config, s.pool))
	}
	return news
}

// ask begins a watch of the list. Where the settings have the list pushed, the module asks for nothing, and the
// sender watches by itself from its start on: on sockets a change comes to nobody unasked.
func (s *Sender) requestEndpointList() {
	select {
	case s.watchRequests <- struct{}{}:
	default:
	}
}
