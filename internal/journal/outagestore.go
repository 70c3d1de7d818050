package journal

import (
	"slices"
	"time"
)

// outagesBudgetDivisor limits the outages to 1/outagesBudgetDivisor of the journal's budget.
const outagesBudgetDivisor = 32

// Outage is the stored form of a dispatch.Outage. It refers to its endpoint by id, because the dispatcher's endpoint
// numbers are valid only within a process.
type Outage struct {
	Destination uint32        `json:"dest"`
	Endpoint    string        `json:"endpoint,omitempty"` // set if each endpoint has a circuit breaker of its own
	Resolved    bool          `json:"over,omitempty"`
	WarmingUp   bool          `json:"cold,omitempty"`
	Since       time.Duration `json:"since,omitempty"`  // when the current state began
	StartedAt   time.Duration `json:"began,omitempty"`  // when the outage began
	RateBefore  float64       `json:"before,omitempty"` // calls per second before the outage
}

// outageStore stores the unresolved outages for the next process.
type outageStore struct {
	outages []Outage // ordered by their last change, from the oldest to the newest
	size    int64    // upper bound of the bytes of outages in a compacted file
	maxSize int64    // limit for size
}

// apply stores changes. If the outages exceed maxSize, it drops the oldest ones.
func (s *outageStore) apply(changes []Outage) {
	for _, changed := range changes {
		isSame := func(o Outage) bool { return o.Destination == changed.Destination && o.Endpoint == changed.Endpoint }
		if i := slices.IndexFunc(s.outages, isSame); i >= 0 {
			s.removeAt(i)
		}
		if !changed.Resolved {
			s.outages = append(s.outages, changed)
			s.size += encodedItemSize(changed)
		}
	}
	for s.size > s.maxSize && len(s.outages) > 0 {
		s.removeAt(0)
	}
}

func (s *outageStore) removeAt(i int) {
	s.size -= encodedItemSize(s.outages[i])
	s.outages = slices.Delete(s.outages, i, i+1)
}

// record returns the record of all outages for a compacted file, or nil if there are none.
func (s *outageStore) record() *Record {
	if len(s.outages) == 0 {
		return nil
	}
	return &Record{Kind: KindOutagesDelta, Outages: s.outages}
}
