package journal

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"testing"

	"onyxdyke.example/onyxdyke/internal/endpointlist"
)

// A kill within a compaction leaves the old file as it was, and beside it a part of the new one, which is never read.
func TestKillWithinACompactionLosesNothing(t *testing.T) {
	t.Parallel()
	directory := t.TempDir()
	j := openTest(t, directory, 1<<20)
	acceptTest(t, j, "a")
	raw := readFile(t, j.path)
	for n := range raw {
		writeFile(t, j.path+".new", raw[:n])
		again := openTest(t, directory, 1<<20)
		if len(again.byID) != 1 || again.byID["a"] == nil {
			t.Fatalf("%d bytes of a new file: the journal has %v", n, again.byID)
		}
		closeTest(t, again)
		if _, err := os.Stat(j.path + ".new"); err == nil {
			t.Fatal("the part is left on the disk")
		}
	}
}

// failingRename is a file system on which no file can be renamed.
type failingRename struct{ OSFileSystem }

var errRename = errors.New("no rename")

func (failingRename) Rename(string, string) error { return errRename }

func TestFailedCompactionLeavesTheOldFile(t *testing.T) {
	t.Parallel()
	j := openTest(t, t.TempDir(), 1<<20)
	acceptTest(t, j, "a")
	raw := readFile(t, j.path)
	j.files = failingRename{}
	if err := j.Compact(); !errors.Is(err, errRename) || !j.Failed() {
		t.Errorf("failed: %v, with the error %v", j.Failed(), err)
	}
	if !bytes.Equal(readFile(t, j.path), raw) {
		t.Error("the old file has changed")
	}
	if _, err := os.Stat(j.path + ".new"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the new file is left: %v", err)
	}
	j.files = OSFileSystem{}
	if err := j.Compact(); err != nil || j.Failed() {
		t.Errorf("failed: %v, with the error %v", j.Failed(), err)
	}
}

// What is buffered at a compaction is part of the state that it writes, and not written once more.
func TestCompactionWritesBufferedRecordsOnce(t *testing.T) {
	t.Parallel()
	directory := t.TempDir()
	j := openTest(t, directory, 1<<20)
	j.AppendAttemptStarted(acceptTest(t, j, "a"), Attempt{SentAt: 1, Endpoint: "s"})
	if err := j.Compact(); err != nil {
		t.Fatal(err)
	}
	flushTest(t, j)
	if m := openTest(t, directory, 1<<20).byID["a"]; m == nil || len(m.Attempts) != 1 {
		t.Errorf("a is restored as %+v", m)
	}
}

// A compacted file is never larger than what is reserved for it.
func TestCompactedFileIsWithinItsUpperBound(t *testing.T) {
	t.Parallel()
	const items = 500
	for name, add := range map[string]func(*testing.T, *Journal, int){
		"messages": func(t *testing.T, j *Journal, i int) {
			m := acceptTest(t, j, fmt.Sprint(i))
			for n := range 5 {
				j.AppendAttemptStarted(m, Attempt{SentAt: 1 << 60, Endpoint: "s-5be2a07c", Zone: 2})
				j.AppendAttemptEnded(m, n, true)
			}
			j.AppendMessageEnded(m, OutcomeReturned, 1<<40)
		},
		"ids of ended messages": func(t *testing.T, j *Journal, i int) {
			j.AppendMessageEnded(acceptTest(t, j, fmt.Sprint(i)), OutcomeDelivered, 0)
		},
		"changes of the endpoint list": func(_ *testing.T, j *Journal, i int) {
			j.AppendEndpointList(int64(i), []endpointlist.Endpoint{draining(fmt.Sprint(i))})
		},
		"outages": func(_ *testing.T, j *Journal, i int) {
			j.AppendOutages([]Outage{{Destination: uint32(i), Since: 1 << 60, StartedAt: 1 << 60, RateBefore: 0.1}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			j := openTest(t, t.TempDir(), 4<<20)
			for i := range items {
				add(t, j, i)
			}
			if err := j.Compact(); err != nil {
				t.Fatal(err)
			}
			if j.size > j.liveBytes() || j.size < items*20 {
				t.Errorf("the file has %d bytes, and %d at most are counted", j.size, j.liveBytes())
			}
		})
	}
}
