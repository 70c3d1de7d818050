package journal

import (
	"encoding/json"
	"slices"
	"time"
)

// storedOutage is a dispatch.Outage as the journal holds it: by the endpoint's id, as numbers are those of one process.
type Outage struct {
	Destination uint32        `json:"dest"`
	Endpoint    string        `json:"endpoint,omitempty"` // where routes are apart
	Resolved    bool          `json:"over,omitempty"`
	WarmingUp   bool          `json:"cold,omitempty"`
	Since       time.Duration `json:"since,omitempty"`
	StartedAt   time.Duration `json:"began,omitempty"`
	RateBefore  float64       `json:"before,omitempty"`
}

// outageMemory is the outages that are known, for the next process. It is kept in the journal.
type outageStore struct {
	outages []Outage // in the order last told
	cost    int64    // bytes that they take in a compacted file, at most
	most    int64    // bound of cost
}

// outagePart of the journal's budget is the most that outages may take.
const outagePart = 32

func (o Outage) cost() int64 {
	text, err := json.Marshal(o)
	if err != nil {
		return lineCost // plain values only: it cannot fail
	}
	return int64(len(text)) + 1
}

// note takes in changes. Beyond the bound the oldest go.
func (m *outageStore) note(changes []Outage) {
	for _, c := range changes {
		same := func(o Outage) bool { return o.Destination == c.Destination && o.Endpoint == c.Endpoint }
		if i := slices.IndexFunc(m.outages, same); i >= 0 {
			m.drop(i)
		}
		if !c.Resolved {
			m.outages = append(m.outages, c)
			m.cost += c.cost()
		}
	}
	for m.cost > m.most && len(m.outages) > 0 {
		m.drop(0)
	}
}

func (m *outageStore) drop(i int) {
	m.cost -= m.outages[i].cost()
	m.outages = slices.Delete(m.outages, i, i+1)
}
