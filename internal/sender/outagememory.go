package sender

import (
	"encoding/json"
	"slices"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
)

// storedOutage is a dispatch.Outage as the journal holds it: by the endpoint's id, as numbers are those of one process.
type storedOutage struct {
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
	outages []storedOutage // in the order last told
	cost    int64          // bytes that they take in a compacted file, at most
	most    int64          // bound of cost
}

// outagePart of the journal's budget is the most that outages may take.
const outagePart = 32

func (o storedOutage) cost() int64 {
	text, err := json.Marshal(o)
	if err != nil {
		return lineCost // plain values only: it cannot fail
	}
	return int64(len(text)) + 1
}

// note takes in changes. Beyond the bound the oldest go.
func (m *outageStore) note(changes []storedOutage) {
	for _, c := range changes {
		same := func(o storedOutage) bool { return o.Destination == c.Destination && o.Endpoint == c.Endpoint }
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

// storedOutages translates what the dispatcher notes.
func (l *endpoints) storedOutages(list []dispatch.Outage) []storedOutage {
	var stored []storedOutage
	for _, o := range list {
		s := storedOutage{Destination: uint32(o.Destination), Resolved: o.Resolved, WarmingUp: o.WarmingUp, Since: o.Since, StartedAt: o.StartedAt, RateBefore: o.RateBefore}
		if e, err := l.number(o.Endpoint); o.PerEndpoint && err == nil {
			s.Endpoint = e.id
		}
		stored = append(stored, s)
	}
	return stored
}

// knownOutages translates back, by the numbers of this process. What is not listed is left out.
func (l *endpoints) knownOutages(list []storedOutage) dispatch.OutagesRestored {
	var known dispatch.OutagesRestored
	for _, s := range list {
		o := dispatch.Outage{Destination: dispatch.DestinationID(s.Destination), WarmingUp: s.WarmingUp, Since: s.Since, StartedAt: s.StartedAt, RateBefore: s.RateBefore}
		if s.Endpoint != "" {
			e := l.byID[s.Endpoint]
			if e == nil {
				continue
			}
			o.Endpoint, o.PerEndpoint = e.number, true
		}
		known.Outages = append(known.Outages, o)
	}
	return known
}
