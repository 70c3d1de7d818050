package journal

import (
	"slices"

	"onyxdyke.example/onyxdyke/internal/endpointlist"
)

// endpointListBudgetDivisor limits the changes of the endpoint list to 1/endpointListBudgetDivisor of the journal's
// budget.
const endpointListBudgetDivisor = 16

// endpointListStore stores, for the next process, the changes that discovery has sent since the endpoint list of the
// configuration. A process that starts while discovery does not answer depends on them: the configuration's list may be
// older, and the process must respect the drains that were sent to an earlier process.
type endpointListStore struct {
	version int64                   // of the last change
	changes []endpointlist.Endpoint // the last change of each endpoint, ordered from the oldest to the newest
	size    int64                   // upper bound of the bytes of changes in a compacted file
	maxSize int64                   // limit for size
}

// apply stores changes. If they exceed maxSize, it drops the oldest ones, those of serving endpoints first: a missing
// one of these loses some capacity, while a missing drain or deletion leads to calls that are not allowed.
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

// trim drops the oldest changes for which mayDrop is true, until the others are within maxSize.
func (s *endpointListStore) trim(mayDrop func(endpointlist.Endpoint) bool) {
	if s.size <= s.maxSize {
		return
	}
	s.deleteFunc(func(e endpointlist.Endpoint) bool { return s.size > s.maxSize && mayDrop(e) })
}

// deleteFunc drops the changes for which drop is true, from the oldest to the newest. It updates the size before the
// next call of drop.
func (s *endpointListStore) deleteFunc(drop func(endpointlist.Endpoint) bool) {
	s.changes = slices.DeleteFunc(s.changes, func(e endpointlist.Endpoint) bool {
		if !drop(e) {
			return false
		}
		s.size -= encodedItemSize(e)
		return true
	})
}

// mergeInto returns the configuration's list with the changes applied, or the list itself if its version is at least
// that of the changes.
func (s *endpointListStore) mergeInto(configured endpointlist.Update) endpointlist.Update {
	if len(configured.Endpoints) > 0 && configured.Version >= s.version {
		return configured
	}
	unmerged := make(map[string]endpointlist.Endpoint, len(s.changes)) // by the endpoint's id
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

// record returns the record of all changes for a compacted file, or nil if there are none.
func (s *endpointListStore) record() *Record {
	if len(s.changes) == 0 {
		return nil
	}
	return &Record{Kind: KindEndpointListDelta, Version: s.version, Endpoints: s.changes}
}
