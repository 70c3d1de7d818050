package journal

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"testing"
)

// requireWithinBudget fails the test unless the file and its compacted version fit into the budget together.
func requireWithinBudget(t *testing.T, j *Journal, accepted int) {
	t.Helper()
	if j.size+j.liveBytes() > j.budget {
		t.Fatalf("after message %d: the file has %d bytes and a compacted one up to %d, which exceeds the budget",
			accepted, j.size, j.liveBytes())
	}
}

// Guards against files that exceed the budget after many messages. A message for which there is no space must be
// rejected, and a message that ends must free its space again.
func TestFilesStayWithinTheBudget(t *testing.T) {
	const budget, messages = 64 << 10, 3000
	directory := t.TempDir()
	j := openJournal(t, directory, budget)
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
			flushJournal(t, j)
		}
		requireWithinBudget(t, j, i)
		if i%3 == 0 && len(accepted) > 0 {
			j.AppendMessageEnded(accepted[0], OutcomeDelivered, 0)
			accepted = accepted[1:]
			j.ended.age(minEndedIDRetention) // otherwise there would soon be no space for further ids
		}
	}
	if rejected == 0 || len(accepted) == 0 || rejected == messages {
		t.Errorf("%d messages are rejected, %d are accepted and have not ended", rejected, len(accepted))
	}
	closeJournal(t, j)
	if again := openJournal(t, directory, budget); len(again.byID) != len(accepted) {
		t.Errorf("%d of %d messages are restored", len(again.byID), len(accepted))
	}
	if _, err := os.Stat(filepath.Join(directory, FileName+".new")); !os.IsNotExist(err) {
		t.Errorf("the new file is left: %v", err)
	}
}

// Guards against a journal that limits the number of pending messages before the settings do, which happens if more is
// reserved for a message than its line in a compacted file. It also guards against a compaction for every few records.
func TestJournalHasSpaceForTheMessagesThatTheSettingsAllow(t *testing.T) {
	const maxPending, bodySize, budget = 650, 600, 2_880_000 // the budget of a limit of 3 MB of disk
	j := openJournal(t, t.TempDir(), budget)
	compactions, lastCompaction := 0, j.compactedAt
	idOf := func(i int) string { return fmt.Sprintf("%016x", i) }
	for i := range 4 * maxPending {
		m, err := j.Accept(Record{
			ID: idOf(i), Key: fmt.Sprintf("%032x", i), Class: "application-forward",
			Destination: 10, Deadline: 1 << 60, Body: bytes.Repeat([]byte{255}, bodySize),
		})
		if err != nil {
			t.Fatalf("message %d is rejected with %d messages pending: %v", i, len(j.byID), err)
		}
		for n := range 3 {
			j.AppendAttemptStarted(m, Attempt{SentAt: 1 << 60, Endpoint: "s-5be2a07c"})
			j.AppendAttemptEnded(m, n, true)
			flushJournal(t, j)
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
		t.Errorf("%d compactions are too many", compactions)
	}
}

// Guards against a loss of messages on a full disk. While writes fail, new messages must be rejected and the written
// ones stay. When there is space again, a compaction must write the whole state, including the record that was not
// written.
func TestFullDiskRejectsMessagesAndLosesNone(t *testing.T) {
	directory := t.TempDir()
	j := openJournal(t, directory, 1<<20)
	a := acceptMessage(t, j, "a")
	full, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
	if err != nil {
		t.Skip(err)
	}
	if err := j.file.Close(); err != nil {
		t.Fatal(err)
	}
	j.file = full
	// A directory at the path of the new file makes compactions fail, too.
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
	acceptMessage(t, j, "c")
	again := openJournal(t, directory, 1<<20)
	if m := again.byID["a"]; len(again.byID) != 2 || m == nil || len(m.Attempts) != 1 {
		t.Errorf("%d messages are restored, want 2; message a is %+v", len(again.byID), m)
	}
}

// Guards against messages that have ended and stay in memory until the next compaction: with a large budget, that is
// many.
func TestEndedMessagesAreDroppedFromMemory(t *testing.T) {
	t.Parallel()
	j := openJournal(t, t.TempDir(), 64<<20)
	kept := acceptRecord(t, j, Record{ID: "kept", Class: "safe"})
	for i := range 5000 {
		m := acceptRecord(t, j, Record{ID: strconv.Itoa(i), Class: "safe"})
		j.AppendMessageEnded(m, OutcomeDelivered, 0)
		if most := 2*2 + maxEndedInOrder + 1; len(j.Messages()) > most {
			t.Fatalf("%d messages are kept for one that has not ended", len(j.Messages()))
		}
	}
	if j.Messages()[0] != kept {
		t.Error("the message that has not ended is not kept")
	}
}
