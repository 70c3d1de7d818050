package journal

import (
	"slices"
	"testing"
)

func TestOutageStoreKeepsTheLastChangeOfUnresolvedOutages(t *testing.T) {
	t.Parallel()
	s := outageStore{maxSize: 1 << 20}
	s.apply([]Outage{{Destination: 1, Since: 10}, {Destination: 2, Since: 10}})
	s.apply([]Outage{{Destination: 2, Endpoint: "s", Since: 10}})
	s.apply([]Outage{{Destination: 1, Since: 20, WarmingUp: true}, {Destination: 2, Resolved: true}})
	want := []Outage{{Destination: 2, Endpoint: "s", Since: 10}, {Destination: 1, Since: 20, WarmingUp: true}}
	if !slices.Equal(s.outages, want) {
		t.Errorf("%+v, want %+v", s.outages, want)
	}
}

func TestOutageStoreDropsTheOldestBeyondItsBound(t *testing.T) {
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
		t.Errorf("%+v take %d bytes, counted as %d, at most %d", s.outages, sum, s.size, s.maxSize)
	}
}
