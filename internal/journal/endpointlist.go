package journal

import (
	"encoding/json"
	"slices"

	"onyxdyke.example/onyxdyke/internal/endpointlist"
)

// listMemory is what discovery has told beyond the endpoint list of the configuration. It is kept in the journal, as
// a process that starts while discovery is silent has nothing else: the configuration's list may be older, and what an
// earlier process was told of drains binds all the same.
type endpointListStore struct {
	version int64                   // of the last change
	changes []endpointlist.Endpoint // one for each endpoint, in the order last told
	cost    int64                   // bytes that they take in a compacted file, at most
	most    int64                   // bound of cost
}

const (
	// listPart of the journal's budget is the most that changes of the list may take.
	listPart = 16
	// lineCost is what a record of changes adds to them.
	lineCost = 128
)

// costOf is what a change takes in the journal.
func costOf(t endpointlist.Endpoint) int64 {
	text, err := json.Marshal(t)
	if err != nil {
		return lineCost // plain values only: it cannot fail
	}
	return int64(len(text)) + 1
}

// note takes in changes. Beyond the bound the oldest go; endpoints that serve go first, as without them some service is
// lost, and without the others a rule is broken.
func (m *endpointListStore) note(version int64, changes []endpointlist.Endpoint) {
	m.version = max(m.version, version)
	last := make(map[string]int, len(changes)) // place of the last change of each
	for i, t := range changes {
		last[t.ID] = i
	}
	m.changes = slices.DeleteFunc(m.changes, func(t endpointlist.Endpoint) bool {
		_, again := last[t.ID]
		if again {
			m.cost -= costOf(t)
		}
		return again
	})
	for i, t := range changes {
		if last[t.ID] == i {
			m.changes = append(m.changes, t)
			m.cost += costOf(t)
		}
	}
	m.trim(func(t endpointlist.Endpoint) bool { return t.State == endpointlist.StateServing })
	m.trim(func(endpointlist.Endpoint) bool { return true })
}

// trim drops the oldest of some changes until the rest keeps to the bound.
func (m *endpointListStore) trim(which func(endpointlist.Endpoint) bool) {
	if m.cost <= m.most {
		return
	}
	m.changes = slices.DeleteFunc(m.changes, func(t endpointlist.Endpoint) bool {
		drop := m.cost > m.most && which(t)
		if drop {
			m.cost -= costOf(t)
		}
		return drop
	})
}

// applyTo is a list of the configuration with the changes, unless it is as new as they are.
func (m *endpointListStore) applyTo(known endpointlist.Update) endpointlist.Update {
	if len(known.Endpoints) > 0 && known.Version >= m.version {
		return known
	}
	changed := make(map[string]endpointlist.Endpoint, len(m.changes))
	for _, t := range m.changes {
		changed[t.ID] = t
	}
	merged := endpointlist.Update{Version: known.Version, Full: known.Full}
	for _, t := range known.Endpoints {
		if now, told := changed[t.ID]; told {
			delete(changed, t.ID)
			t = now
		}
		if !t.IsDeleted() {
			merged.Endpoints = append(merged.Endpoints, t)
		}
	}
	for _, t := range m.changes {
		if _, fresh := changed[t.ID]; fresh && !t.IsDeleted() {
			merged.Endpoints = append(merged.Endpoints, t)
		}
	}
	return merged
}
