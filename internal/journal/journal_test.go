package journal

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// requireWithinBudget fails the test unless the file and a compaction of it fit into the budget together.
func requireWithinBudget(t *testing.T, j *Journal, accepted int) {
	t.Helper()
	if j.size+j.liveBytes() > j.budget {
		t.Fatalf("after message %d: %d bytes and a compaction of up to %d", accepted, j.size, j.liveBytes())
	}
}

// Old and new file together stay within the budget, however many messages there have been. A message without space is
// rejected, and one that ends makes space again.
func TestFilesStayWithinTheBudget(t *testing.T) {
	const budget, messages = 64 << 10, 3000
	directory := t.TempDir()
	j := openTest(t, directory, budget)
	var accepted []*Message
	rejected := 0
	for i := range messages {
		m, err := j.Accept(Record{ID: fmt.Sprint(i), Body: bytes.Repeat([]byte("x"), i%700)})
		switch {
		case errors.Is(err, ErrFull):
			rejected++
		case err != nil:
			t.Fatal(err)
		default:
			if j.size+j.liveBytes() > budget-budget/acceptReserveDivisor {
				t.Fatalf("message %d uses the space that is left free for further records", i)
			}
			accepted = append(accepted, m)
			for n := range 6 {
				j.AppendAttemptStarted(m, Attempt{SentAt: 1 << 60, Endpoint: "s-5be2a07c"})
				j.AppendAttemptEnded(m, n, true)
			}
			flushTest(t, j)
		}
		requireWithinBudget(t, j, i)
		if i%3 == 0 && len(accepted) > 0 {
			j.AppendMessageEnded(accepted[0], OutcomeDelivered, 0)
			accepted = accepted[1:]
		}
	}
	if rejected == 0 || len(accepted) == 0 || rejected == messages {
		t.Errorf("%d rejected, %d accepted and not ended", rejected, len(accepted))
	}
	closeTest(t, j)
	if again := openTest(t, directory, budget); len(again.byID) != len(accepted) {
		t.Errorf("%d of %d are restored", len(again.byID), len(accepted))
	}
	if _, err := os.Stat(filepath.Join(directory, FileName+".new")); !os.IsNotExist(err) {
		t.Errorf("the new file is left: %v", err)
	}
}

// The settings limit the number of pending messages, not the journal: of what a message may come to only its line in a
// compacted file is reserved. And a few records more do not take a compaction each.
func TestJournalHasSpaceForTheMessagesThatTheSettingsAllow(t *testing.T) {
	const maxPending, bodySize, budget = 650, 600, 2_880_000 // the budget of a limit of 3 MB of disk
	j := openTest(t, t.TempDir(), budget)
	compactions, lastCompaction := 0, j.compactedAt
	idOf := func(i int) string { return fmt.Sprintf("%016x", i) }
	for i := range 4 * maxPending {
		m, err := j.Accept(Record{
			ID: idOf(i), Key: fmt.Sprintf("%032x", i), Class: "application-forward",
			Destination: 10, Deadline: 1 << 60, Body: bytes.Repeat([]byte{255}, bodySize),
		})
		if err != nil {
			t.Fatalf("after %d, %d of them pending: %v", i, len(j.byID), err)
		}
		for n := range 3 {
			j.AppendAttemptStarted(m, Attempt{SentAt: 1 << 60, Endpoint: "s-5be2a07c"})
			j.AppendAttemptEnded(m, n, true)
			flushTest(t, j)
			if j.compactedAt != lastCompaction {
				compactions, lastCompaction = compactions+1, j.compactedAt
			}
			requireWithinBudget(t, j, i)
		}
		if len(j.byID) == maxPending {
			j.AppendMessageEnded(j.byID[idOf(i-maxPending+1)], OutcomeDelivered, 0)
		}
	}
	if compactions > maxPending/10 {
		t.Errorf("%d compactions", compactions)
	}
}

// While the disk is full, messages are rejected and nothing is lost that was written. When there is space again, the
// state is written as a whole.
func TestFullDiskRejectsMessagesAndLosesNone(t *testing.T) {
	directory := t.TempDir()
	j := openTest(t, directory, 1<<20)
	a := acceptTest(t, j, "a")
	full, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
	if err != nil {
		t.Skip(err)
	}
	if err := j.file.Close(); err != nil {
		t.Fatal(err)
	}
	j.file = full
	// No new file can be made either: a directory is in its place.
	if err := os.MkdirAll(filepath.Join(j.path+".new", "x"), 0o700); err != nil {
		t.Fatal(err)
	}
	j.AppendAttemptStarted(a, Attempt{SentAt: 5})
	if err := j.Flush(); err == nil {
		t.Fatal("a record was written to a full disk")
	}
	for range 2 {
		if _, err := j.Accept(Record{ID: "b"}); err == nil {
			t.Fatal("a message was accepted on a full disk")
		}
	}
	if err := os.RemoveAll(j.path + ".new"); err != nil {
		t.Fatal(err)
	}
	j.compactedAt = j.compactedAt.Add(-RetryInterval)
	acceptTest(t, j, "c")
	again := openTest(t, directory, 1<<20)
	if m := again.byID["a"]; len(again.byID) != 2 || m == nil || len(m.Attempts) != 1 {
		t.Errorf("%d messages are restored, a is %+v", len(again.byID), m)
	}
}
