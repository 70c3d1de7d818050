package sender

import (
	"encoding/json"
	"slices"
	"time"

	"dockshift.example/dockshift/brain"
)

// storedOutage is a brain.Outage as the journal holds it: by the endpoint's id, as numbers are those of one process.
type storedOutage struct {
	Destination uint32        `json:"dest"`
	Endpoint    string        `json:"endpoint,omitempty"` // where routes are apart
	Over        bool          `json:"over,omitempty"`
	Cold        bool          `json:"cold,omitempty"`
	Since       time.Duration `json:"since,omitempty"`
	Began       time.Duration `json:"began,omitempty"`
	Before      float64       `json:"before,omitempty"`
}

// outageMemory is the outages that are known, for the next process. It is kept in the journal.
type outageMemory struct {
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
func (m *outageMemory) note(changes []storedOutage) {
	for _, c := range changes {
		same := func(o storedOutage) bool { return o.Destination == c.Destination && o.Endpoint == c.Endpoint }
		if i := slices.IndexFunc(m.outages, same); i >= 0 {
			m.drop(i)
		}
		if !c.Over {
			m.outages = append(m.outages, c)
			m.cost += c.cost()
		}
	}
	for m.cost > m.most && len(m.outages) > 0 {
		m.drop(0)
	}
}

func (m *outageMemory) drop(i int) {
	m.cost -= m.outages[i].cost()
	m.outages = slices.Delete(m.outages, i, i+1)
}

// storedOutages translates what the Brain notes.
func (l *endpoints) storedOutages(list []brain.Outage) []storedOutage {
	var stored []storedOutage
	for _, o := range list {
		s := storedOutage{Destination: uint32(o.Destination), Over: o.Over, Cold: o.Cold, Since: o.Since, Began: o.Began, Before: o.Before}
		if e, err := l.number(o.Endpoint); o.Apart && err == nil {
			s.Endpoint = e.id
		}
		stored = append(stored, s)
	}
	return stored
}

// knownOutages translates back, by the numbers of this process. What is not listed is left out.
func (l *endpoints) knownOutages(list []storedOutage) brain.KnownOutages {
	var known brain.KnownOutages
	for _, s := range list {
		o := brain.Outage{Destination: brain.DestinationID(s.Destination), Cold: s.Cold, Since: s.Since, Began: s.Began, Before: s.Before}
		if s.Endpoint != "" {
			e := l.byID[s.Endpoint]
			if e == nil {
				continue
			}
			o.Endpoint, o.Apart = e.number, true
		}
		known.Outages = append(known.Outages, o)
	}
	return known
}
