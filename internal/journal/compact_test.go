package journal

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"testing"

	"onyxdyke.example/onyxdyke/internal/endpointlist"
)

// Guards against a loss of messages when a process is killed during a compaction. The kill leaves an incomplete new
// file next to the unchanged old one; the next process must not read the new file, and must remove it.
func TestKillDuringCompactionLosesNothing(t *testing.T) {
	t.Parallel()
	directory := t.TempDir()
	j := openJournal(t, directory, 1<<20)
	acceptMessage(t, j, "a")
	raw := readFile(t, j.path)
	for n := range raw {
		writeFile(t, j.path+".new", raw[:n])
		again := openJournal(t, directory, 1<<20)
		if len(again.byID) != 1 || again.byID["a"] == nil {
			t.Fatalf("with %d bytes of a new file: the journal has the messages %v, want only a", n, again.byID)
		}
		closeJournal(t, again)
		if _, err := os.Stat(j.path + ".new"); err == nil {
			t.Fatal("the incomplete new file is left on the disk")
		}
	}
}

// failingRename is a file system whose Rename always fails.
type failingRename struct{ OSFileSystem }

var errRename = errors.New("rename fails")

func (failingRename) Rename(string, string) error { return errRename }

// Guards against a compaction whose rename fails and that damages the old file or leaves the new one. The journal must
// report the failure until a compaction succeeds.
func TestFailedCompactionLeavesTheOldFile(t *testing.T) {
	t.Parallel()
	j := openJournal(t, t.TempDir(), 1<<20)
	acceptMessage(t, j, "a")
	raw := readFile(t, j.path)
	j.files = failingRename{}
	if err := j.Compact(); !errors.Is(err, errRename) || !j.Failed() {
		t.Errorf("a compaction without rename: Failed is %v, want true; the error is %v", j.Failed(), err)
	}
	if !bytes.Equal(readFile(t, j.path), raw) {
		t.Error("the old file has changed")
	}
	if _, err := os.Stat(j.path + ".new"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the new file is left: %v", err)
	}
	j.files = OSFileSystem{}
	if err := j.Compact(); err != nil || j.Failed() {
		t.Errorf("the compaction after that: Failed is %v, want false; the error is %v", j.Failed(), err)
	}
}

// Guards against records that are written twice: those in the buffer at a compaction are part of the state that it
// writes, so the next Flush must not write them again.
func TestCompactionWritesBufferedRecordsOnce(t *testing.T) {
	t.Parallel()
	directory := t.TempDir()
	j := openJournal(t, directory, 1<<20)
	j.AppendAttemptStarted(acceptMessage(t, j, "a"), Attempt{SentAt: 1, Endpoint: "s"})
	if err := j.Compact(); err != nil {
		t.Fatal(err)
	}
	flushJournal(t, j)
	if m := openJournal(t, directory, 1<<20).byID["a"]; m == nil || len(m.Attempts) != 1 {
		t.Errorf("message a is restored as %+v, want one attempt", m)
	}
}

// Guards against a compacted file that is larger than the upper bound that liveBytes gives for it, which would let the
// files exceed the budget.
func TestCompactedFileIsWithinItsUpperBound(t *testing.T) {
	t.Parallel()
	const items = 500
	for name, add := range map[string]func(*testing.T, *Journal, int){
		"messages": func(t *testing.T, j *Journal, i int) {
			m := acceptMessage(t, j, fmt.Sprint(i))
			for n := range 5 {
				j.AppendAttemptStarted(m, Attempt{SentAt: 1 << 60, Endpoint: "s-5be2a07c", Zone: 2})
				j.AppendAttemptEnded(m, n, true)
			}
			j.AppendMessageEnded(m, OutcomeReturned, 1<<40)
		},
		"ids of ended messages": func(t *testing.T, j *Journal, i int) {
			j.AppendMessageEnded(acceptMessage(t, j, fmt.Sprint(i)), OutcomeDelivered, 0)
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
			j := openJournal(t, t.TempDir(), 4<<20)
			for i := range items {
				add(t, j, i)
			}
			if err := j.Compact(); err != nil {
				t.Fatal(err)
			}
			if j.size > j.liveBytes() || j.size < items*20 {
				t.Errorf("the compacted file has %d bytes, its upper bound is %d", j.size, j.liveBytes())
			}
		})
	}
}
