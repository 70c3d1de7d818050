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
		t.Errorf("%+v, want %+v", got, want)
	}
	configured.Version = 8
	if got := s.mergeInto(configured); !reflect.DeepEqual(got, configured) {
		t.Errorf("a list that is as new is changed to %+v", got)
	}
}

// Where there is no space for all changes, those that forbid calls are kept longest.
func TestEndpointListStoreStaysWithinItsBound(t *testing.T) {
	t.Parallel()
	s := endpointListStore{maxSize: 20 * encodedItemSize(deleted("x10"))}
	for n := range 100 {
		s.apply(int64(n), []endpointlist.Endpoint{deleted("x" + strconv.Itoa(n)), serving("y" + strconv.Itoa(n))})
	}
	var sum int64
	for _, c := range s.changes {
		sum += encodedItemSize(c)
		if c.State == endpointlist.StateServing {
			t.Errorf("%s is kept, which is serving", c.ID)
		}
	}
	if sum != s.size || s.size > s.maxSize || len(s.changes) < 18 {
		t.Errorf("%d changes take %d bytes, counted as %d, at most %d", len(s.changes), sum, s.size, s.maxSize)
	}
}

// The changes outlive compactions and processes, and count towards the budget.
func TestEndpointListChangesOutliveTheProcess(t *testing.T) {
	t.Parallel()
	directory := t.TempDir()
	j := openTest(t, directory, 1<<20)
	want := []endpointlist.Endpoint{deleted("a"), serving("b")}
	j.AppendEndpointList(3, want)
	flushTest(t, j)
	for range 2 {
		j = openTest(t, directory, 1<<20)
		if !reflect.DeepEqual(j.endpointList.changes, want) || j.endpointList.version != 3 {
			t.Fatalf("%+v", j.endpointList)
		}
		if j.size > j.liveBytes() {
			t.Errorf("the file has %d bytes, and %d at most are counted", j.size, j.liveBytes())
		}
	}
}
