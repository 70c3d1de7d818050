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

func TestListMemoryGoesOnTopOfTheConfiguration(t *testing.T) {
	t.Parallel()
	m := endpointListStore{maxSize: 1 << 20}
	m.apply(5, []endpointlist.Endpoint{draining("a"), serving("new")})
	m.apply(7, []endpointlist.Endpoint{deleted("b"), deleted("never known")})
	m.apply(8, []endpointlist.Endpoint{serving("a2"), deleted("a2"), serving("c")})
	known := endpointlist.Update{Version: 4, Full: true, Endpoints: []endpointlist.Endpoint{serving("a"), serving("b"), serving("c"), serving("d")}}
	want := endpointlist.Update{Version: 4, Full: true, Endpoints: []endpointlist.Endpoint{draining("a"), serving("c"), serving("d"), serving("new")}}
	if got := m.mergeInto(known); !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
	known.Version = 8
	if got := m.mergeInto(known); !reflect.DeepEqual(got, known) {
		t.Errorf("a list that is as new is changed to %+v", got)
	}
}

// Where there is no room for all changes, those that forbid calls stay longest.
func TestListMemoryStaysWithinItsBound(t *testing.T) {
	t.Parallel()
	m := endpointListStore{maxSize: 20 * encodedItemSize(deleted("x10"))}
	for n := range 100 {
		m.apply(int64(n), []endpointlist.Endpoint{deleted("x" + strconv.Itoa(n)), serving("y" + strconv.Itoa(n))})
	}
	var sum int64
	for _, c := range m.changes {
		sum += encodedItemSize(c)
		if c.State == endpointlist.StateServing {
			t.Errorf("%s is kept", c.ID)
		}
	}
	if sum != m.size || m.size > m.maxSize || len(m.changes) < 18 {
		t.Errorf("%d changes take %d bytes, counted as %d, at most %d", len(m.changes), sum, m.size, m.maxSize)
	}
}

// The list survives compactions and processes, and a journal that holds it stays within its budget.
func TestJournalKeepsChangesOfTheList(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	j := openTest(t, dir, 1<<20)
	j.AppendEndpointList(3, []endpointlist.Endpoint{deleted("a"), serving("b")})
	if err := j.Flush(); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		j = openTest(t, dir, 1<<20)
		if !reflect.DeepEqual(j.endpointList.changes, []endpointlist.Endpoint{deleted("a"), serving("b")}) || j.endpointList.version != 3 {
			t.Fatalf("%+v", j.endpointList)
		}
		if j.size > j.liveBytes() {
			t.Errorf("the file has %d bytes, and %d at most are counted", j.size, j.liveBytes())
		}
	}
}
