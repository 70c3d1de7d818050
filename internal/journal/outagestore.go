package journal

import (
	"slices"
	"time"
)

// Outages may take 1/outagesBudgetDivisor of the journal's budget.
const outagesBudgetDivisor = 32

// Outage is a dispatch.Outage as it is stored: it names its endpoint by id, as numbers of endpoints are only valid
// within a process.
type Outage struct {
	Destination uint32        `json:"dest"`
	Endpoint    string        `json:"endpoint,omitempty"` // where endpoints have circuit breakers of their own
	Resolved    bool          `json:"over,omitempty"`
	WarmingUp   bool          `json:"cold,omitempty"`
	Since       time.Duration `json:"since,omitempty"`  // when the present state began
	StartedAt   time.Duration `json:"began,omitempty"`  // when the outage began
	RateBefore  float64       `json:"before,omitempty"` // calls per second before the outage
}

// outageStore keeps the outages that are not resolved, for the next process.
type outageStore struct {
	outages []Outage // those that changed last at the end
	size    int64    // upper bound of their bytes in a compacted file
	maxSize int64    // bound of size
}

// apply takes in changes. Beyond the bound the oldest outages are dropped.
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

// record returns the record of all outages for a compacted file, nil if there are none.
func (s *outageStore) record() *Record {
	if len(s.outages) == 0 {
		return nil
	}
	return &Record{Kind: KindOutagesDelta, Outages: s.outages}
}
