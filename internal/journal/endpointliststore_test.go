package journal

import (
	"reflect"
	"strconv"
	"testing"

	"onyxdyke.example/onyxdyke/internal/endpointlist"
)

func serving(id string) endpointlist.Endpoint {
	return endpointlist.Endpoint{ID: id, Addr: "a-" + id, State: endpointlist.StateServing, Weight: 1}
}
func draining(id string) endpointlist.Endpoint {
	return endpointlist.Endpoint{ID: id, Addr: "a-" + id, State: "DRAINING", Weight: 1}
}
func deleted(id string) endpointlist.Endpoint {
	return endpointlist.Endpoint{ID: id, State: endpointlist.StateDeleted}
}

// Guards against a process that starts with an outdated list while discovery does not answer: it must apply the stored
// changes to the configuration's list, unless that list is as new as they are.
func TestEndpointListChangesAreMergedIntoTheConfiguration(t *testing.T) {
	t.Parallel()
	s := endpointListStore{maxSize: 1 << 20}
	s.apply(5, []endpointlist.Endpoint{draining("a"), serving("new")})
	s.apply(7, []endpointlist.Endpoint{deleted("b"), deleted("never known")})
	s.apply(8, []endpointlist.Endpoint{serving("a2"), deleted("a2"), serving("c")})
	configured := endpointlist.Update{Version: 4, Full: true,
		Endpoints: []endpointlist.Endpoint{serving("a"), serving("b"), serving("c"), serving("d")}}
	want := endpointlist.Update{Version: 4, Full: true,
		Endpoints: []endpointlist.Endpoint{draining("a"), serving("c"), serving("d"), serving("new")}}
	if got := s.mergeInto(configured); !reflect.DeepEqual(got, want) {
		t.Errorf("the merged list is %+v, want %+v", got, want)
	}
	configured.Version = 8
	if got := s.mergeInto(configured); !reflect.DeepEqual(got, configured) {
		t.Errorf("a list of the same version is changed to %+v", got)
	}
}

// Guards against stored changes that exceed their share of the budget, and against the loss of a drain or a deletion
// while the change of a serving endpoint is kept: calls that are not allowed would follow.
func TestEndpointListStoreStaysWithinItsLimit(t *testing.T) {
	t.Parallel()
	s := endpointListStore{maxSize: 20 * encodedItemSize(deleted("x10"))}
	for n := range 100 {
		s.apply(int64(n), []endpointlist.Endpoint{deleted("x" + strconv.Itoa(n)), serving("y" + strconv.Itoa(n))})
	}
	var sum int64
	for _, c := range s.changes {
		sum += encodedItemSize(c)
		if c.State == endpointlist.StateServing {
			t.Errorf("the change of the serving endpoint %s is kept", c.ID)
		}
	}
	if sum != s.size || s.size > s.maxSize || len(s.changes) < 18 {
		t.Errorf("%d changes take %d bytes, are counted as %d, and may take %d", len(s.changes), sum, s.size, s.maxSize)
	}
}

// Guards against changes of the endpoint list that are lost by a compaction or a restart, or that do not count towards
// the budget.
func TestEndpointListChangesSurviveTheProcess(t *testing.T) {
	t.Parallel()
	directory := t.TempDir()
	j := openJournal(t, directory, 1<<20)
	want := []endpointlist.Endpoint{deleted("a"), serving("b")}
	j.AppendEndpointList(3, want)
	flushJournal(t, j)
	for range 2 {
		j = openJournal(t, directory, 1<<20)
		if !reflect.DeepEqual(j.endpointList.changes, want) || j.endpointList.version != 3 {
			t.Fatalf("the endpoint list is restored as %+v", j.endpointList)
		}
		if j.size > j.liveBytes() {
			t.Errorf("the file has %d bytes, its upper bound is %d", j.size, j.liveBytes())
		}
	}
}
