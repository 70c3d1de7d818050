package journal

import (
	"slices"

	"onyxdyke.example/onyxdyke/internal/endpointlist"
)

// Changes of the endpoint list may take 1/endpointListBudgetDivisor of the journal's budget.
const endpointListBudgetDivisor = 16

// endpointListStore keeps what discovery has sent beyond the configuration's endpoint list, for the next process. One
// that starts while discovery does not answer has nothing else: the configuration's list may be older, and the drains
// that an earlier process was sent are binding all the same.
type endpointListStore struct {
	version int64                   // of the last change
	changes []endpointlist.Endpoint // one for each endpoint, those that changed last at the end
	size    int64                   // upper bound of their bytes in a compacted file
	maxSize int64                   // bound of size
}

// apply takes in changes. Beyond the bound the oldest are dropped, those of serving endpoints first: without them some
// capacity is lost, without the others calls are made that are forbidden.
func (s *endpointListStore) apply(version int64, changes []endpointlist.Endpoint) {
	s.version = max(s.version, version)
	lastIndex := make(map[string]int, len(changes)) // of each endpoint's last change, by its id
	for i, e := range changes {
		lastIndex[e.ID] = i
	}
	s.deleteFunc(func(e endpointlist.Endpoint) bool {
		_, changed := lastIndex[e.ID]
		return changed
	})
	for i, e := range changes {
		if lastIndex[e.ID] == i {
			s.changes = append(s.changes, e)
			s.size += encodedItemSize(e)
		}
	}
	s.trim(func(e endpointlist.Endpoint) bool { return e.State == endpointlist.StateServing })
	s.trim(func(endpointlist.Endpoint) bool { return true })
}

// trim drops the oldest of the changes that may be dropped, until the others are within the bound.
func (s *endpointListStore) trim(mayDrop func(endpointlist.Endpoint) bool) {
	if s.size <= s.maxSize {
		return
	}
	s.deleteFunc(func(e endpointlist.Endpoint) bool { return s.size > s.maxSize && mayDrop(e) })
}

// deleteFunc drops the changes for which drop is true, from the oldest to the newest. The size is up to date at each
// call.
func (s *endpointListStore) deleteFunc(drop func(endpointlist.Endpoint) bool) {
	s.changes = slices.DeleteFunc(s.changes, func(e endpointlist.Endpoint) bool {
		if !drop(e) {
			return false
		}
		s.size -= encodedItemSize(e)
		return true
	})
}

// mergeInto returns the configuration's list with the changes, unless it is as new as they are.
func (s *endpointListStore) mergeInto(configured endpointlist.Update) endpointlist.Update {
	if len(configured.Endpoints) > 0 && configured.Version >= s.version {
		return configured
	}
	unmerged := make(map[string]endpointlist.Endpoint, len(s.changes)) // changes by endpoint
	for _, e := range s.changes {
		unmerged[e.ID] = e
	}
	merged := endpointlist.Update{Version: configured.Version, Full: configured.Full}
	for _, e := range configured.Endpoints {
		if changed, found := unmerged[e.ID]; found {
			delete(unmerged, e.ID)
			e = changed
		}
		if !e.IsDeleted() {
			merged.Endpoints = append(merged.Endpoints, e)
		}
	}
	for _, e := range s.changes {
		if _, isNew := unmerged[e.ID]; isNew && !e.IsDeleted() {
			merged.Endpoints = append(merged.Endpoints, e)
		}
	}
	return merged
}

// record returns the record of all changes for a compacted file, nil if there are none.
func (s *endpointListStore) record() *Record {
	if len(s.changes) == 0 {
		return nil
	}
	return &Record{Kind: KindEndpointListDelta, Version: s.version, Endpoints: s.changes}
}
