package journal

import (
	"slices"
	"testing"
)

// Guards against a process that starts with outages that are resolved, or with an outdated state of one.
func TestOutageStoreKeepsTheLastChangeOfUnresolvedOutages(t *testing.T) {
	t.Parallel()
	s := outageStore{maxSize: 1 << 20}
	s.apply([]Outage{{Destination: 1, Since: 10}, {Destination: 2, Since: 10}})
	s.apply([]Outage{{Destination: 2, Endpoint: "s", Since: 10}})
	s.apply([]Outage{{Destination: 1, Since: 20, WarmingUp: true}, {Destination: 2, Resolved: true}})
	want := []Outage{{Destination: 2, Endpoint: "s", Since: 10}, {Destination: 1, Since: 20, WarmingUp: true}}
	if !slices.Equal(s.outages, want) {
		t.Errorf("the outages are %+v, want %+v", s.outages, want)
	}
}

// Guards against outages that exceed their share of the budget.
func TestOutageStoreDropsTheOldestBeyondItsLimit(t *testing.T) {
	t.Parallel()
	s := outageStore{maxSize: 10 * encodedItemSize(Outage{Destination: 10, Since: 1})}
	for n := range uint32(30) {
		s.apply([]Outage{{Destination: 10 + n, Since: 1}})
	}
	var sum int64
	for _, o := range s.outages {
		sum += encodedItemSize(o)
	}
	if sum != s.size || s.size > s.maxSize || len(s.outages) != 10 || s.outages[0].Destination != 30 {
		t.Errorf("the outages %+v take %d bytes, are counted as %d, and may take %d", s.outages, sum, s.size, s.maxSize)
	}
}
