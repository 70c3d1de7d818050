package journal

import (
	"errors"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Guards against a message that is accepted twice: its client submits it again after a broken connection, to the same
// process or to the next one. The id of a rejected message must not be known, as its client may submit it again.
func TestIDsOfEndedMessagesAreKnownUnlessRejected(t *testing.T) {
	t.Parallel()
	directory := t.TempDir()
	j := openJournal(t, directory, 1<<20)
	wantKnown := map[Outcome]bool{
		OutcomeDelivered: true, OutcomeGivenUp: true, OutcomeReturned: false, OutcomeAnswered: false,
	}
	for outcome := range wantKnown {
		m := acceptRecord(t, j, Record{ID: string(outcome), Class: "safe"})
		j.AppendMessageEnded(m, outcome, 0)
		if outcome == OutcomeGivenUp || outcome == OutcomeReturned {
			j.AppendNoticeDelivered(m)
		}
	}
	check := func(j *Journal) {
		t.Helper()
		for outcome, want := range wantKnown {
			if j.Knows(string(outcome)) != want {
				t.Errorf("a message with the outcome %s: Knows returns %v", outcome, !want)
			}
		}
	}
	check(j)
	closeJournal(t, j)
	for range 3 { // Each start compacts the file.
		j = openJournal(t, directory, 1<<20)
		check(j)
		closeJournal(t, j)
	}
}

// Guards against a rejected message whose id stays known because of an earlier outcome in the file. The id was
// delivered, dropped from the ended ids, submitted again and rejected: its client may submit it once more.
func TestReusedIDIsKnownByItsLastOutcome(t *testing.T) {
	t.Parallel()
	for name, compacted := range map[string]bool{"after a compaction": true, "without a compaction": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			directory := t.TempDir()
			j := openJournal(t, directory, 1<<20)
			for _, outcome := range []Outcome{OutcomeDelivered, OutcomeAnswered} {
				m := acceptRecord(t, j, Record{ID: "a", Class: "safe"})
				j.AppendMessageEnded(m, outcome, 0)
				if compacted || outcome == OutcomeDelivered {
					if err := j.Compact(); err != nil {
						t.Fatal(err)
					}
				}
				if outcome == OutcomeDelivered { // Drop the id from the ended ones.
					j.ended.remove("a")
				}
			}
			closeJournal(t, j)
			if openJournal(t, directory, 1<<20).Knows("a") {
				t.Error("the id of a rejected message is known as that of an ended one")
			}
		})
	}
}

// Guards against ids that are dropped too early or never: the id of a message that may have run stays for
// minEndedIDRetention however many others end, there is no space for further ones then, and it is dropped when it is
// older and its space is needed, or after endedIDRetention. The size must count each id once, as it is part of the
// budget.
func TestIDsOfMessagesThatMayHaveRunAreKept(t *testing.T) {
	t.Parallel()
	e := newEndedIDs(64 << 10)
	idOf := func(i int) string { return strconv.Itoa(1e6 + i) }
	e.add(idOf(0), time.Second, true)
	idSize := e.size()
	count := 1
	for ; e.hasSpace(1, time.Second+minEndedIDRetention-1); count++ {
		e.add(idOf(count), time.Second+time.Duration(count), true)
	}
	if e.size() != int64(count)*idSize || e.size()+idSize+endedIDReserve < e.mayHaveRun.maxSize {
		t.Errorf("%d ids of %d bytes each take %d bytes of %d", count, idSize, e.size(), e.mayHaveRun.maxSize)
	}
	e.add(idOf(count-1), time.Second+time.Duration(count), true)
	if e.size() != int64(count)*idSize {
		t.Error("an id that is added again is counted twice")
	}
	for i := range count {
		if !e.contains(idOf(i)) {
			t.Fatalf("id %d of %d is not known", i, count)
		}
	}
	if !e.hasSpace(1, time.Second+minEndedIDRetention) || e.contains(idOf(0)) || !e.contains(idOf(2)) {
		t.Error("no space is made by dropping just the ids that are old enough")
	}
	e.add("later", time.Second+endedIDRetention+time.Duration(count), true)
	if e.contains(idOf(count-1)) || e.size() >= 2*idSize {
		t.Error("ids are not dropped after their retention")
	}
}

// Guards against ids of messages that have run and are displaced by those of any number of messages that never ran.
func TestIDsOfMessagesThatNeverRanDisplaceNoOthers(t *testing.T) {
	t.Parallel()
	j := openJournal(t, t.TempDir(), 1<<20)
	ran := acceptRecord(t, j, Record{ID: "ran", Class: "safe"})
	j.AppendAttemptStarted(ran, Attempt{SentAt: 1, Endpoint: "s"})
	j.AppendMessageEnded(ran, OutcomeDelivered, 0)
	const others = 20_000
	for i := range others {
		m := acceptRecord(t, j, Record{ID: strconv.Itoa(i), Class: "safe"})
		j.AppendMessageEnded(m, OutcomeGivenUp, 0)
		j.AppendNoticeDelivered(m)
		flushJournal(t, j)
	}
	if !j.Knows("ran") || !j.Knows(strconv.Itoa(others-1)) {
		t.Error("the id of a message that has run, or the last one, is not known")
	}
	if size := j.ended.neverRan.size; size > j.ended.neverRan.maxSize {
		t.Errorf("the ids of messages that never ran take %d bytes of %d", size, j.ended.neverRan.maxSize)
	}
}

// Guards against ids of ended messages that exceed the budget, or are forgotten while their clients may come again:
// once they take their part of the budget, messages are rejected, until ids are old enough to be dropped.
func TestEndedIDsStayWithinTheBudget(t *testing.T) {
	t.Parallel()
	const budget, messages, rounds = 64 << 10, 1000, 5
	directory := t.TempDir()
	j := openJournal(t, directory, budget)
	// The JSON of "<" takes six bytes, so these ids have the maximum size.
	idOf := func(i int) string { return strings.Repeat("<", MaxNameLength-5) + strconv.Itoa(i) }
	for round := range rounds {
		var known []string
		for i := range messages {
			id := idOf(round*messages + i)
			m, err := j.Accept(Record{ID: id, Class: "safe"})
			if errors.Is(err, ErrFull) {
				break
			}
			if err != nil {
				t.Fatalf("message %s: %v", id, err)
			}
			j.AppendMessageEnded(m, OutcomeDelivered, 0)
			known = append(known, id)
			flushJournal(t, j)
			if size := directorySize(t, directory); size > budget {
				t.Fatalf("the files have %d bytes after message %s, which exceeds the budget", size, id)
			}
		}
		if len(known) == 0 || len(known) == messages {
			t.Fatalf("%d of %d messages are accepted within the retention of their ids", len(known), messages)
		}
		for _, id := range known {
			if !j.Knows(id) {
				t.Fatalf("the id %s is not known", id)
			}
		}
		j.ended.age(minEndedIDRetention)
	}
}

// age makes all ids older.
func (e *endedIDs) age(by time.Duration) {
	for _, q := range []*idQueue{&e.mayHaveRun, &e.neverRan} {
		q.order = q.all()
		for i := range q.order {
			q.order[i].endedAt -= by
			q.entries[q.order[i].id] = q.order[i]
		}
	}
}

// directorySize returns the total size of the files in a directory.
func directorySize(t *testing.T, directory string) (size int64) {
	t.Helper()
	entries, err := os.ReadDir(directory)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		info, err := entry.Info()
		if err != nil {
			t.Fatal(err)
		}
		size += info.Size()
	}
	return size
}
