package journal

import (
	"os"
	"strconv"
	"strings"
	"testing"
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
					j.ended.current, j.ended.previous = idGeneration{}, idGeneration{}
				}
			}
			closeJournal(t, j)
			if openJournal(t, directory, 1<<20).Knows("a") {
				t.Error("the id of a rejected message is known as that of an ended one")
			}
		})
	}
}

// Guards against ids that are dropped too early or never: a complete generation stays until the next one is complete.
// The size must count each id once, as it is part of the budget.
func TestEndedIDsAreDroppedByGeneration(t *testing.T) {
	t.Parallel()
	e := endedIDs{maxGenerationSize: 1 << 30}
	idOf := func(i int) string { return strconv.Itoa(1e6 + i) }
	add := func(from, to int) {
		for i := from; i < to; i++ {
			e.add(idOf(i), 1)
		}
	}
	size := e.size()
	add(0, maxIDsPerGeneration)
	generationSize := e.size() - size
	add(maxIDsPerGeneration, 2*maxIDsPerGeneration)
	if !e.contains(idOf(0)) || !e.contains(idOf(maxIDsPerGeneration)) || e.size() != 2*generationSize {
		t.Errorf("ids are missing, or two generations take %d bytes while one takes %d", e.size(), generationSize)
	}
	add(2*maxIDsPerGeneration, 2*maxIDsPerGeneration+1)
	if e.contains(idOf(0)) || !e.contains(idOf(maxIDsPerGeneration)) || !e.contains(idOf(2*maxIDsPerGeneration)) {
		t.Error("the previous generation is not the last complete one")
	}
	if e.size() != generationSize+generationSize/maxIDsPerGeneration {
		t.Errorf("one generation and one id take %d bytes, one generation takes %d", e.size(), generationSize)
	}
	sizeBefore := e.size()
	e.add(idOf(2*maxIDsPerGeneration), 2)
	if e.size() != sizeBefore {
		t.Error("an id that is added again is counted twice")
	}
}

// Guards against ids of ended messages that exceed the budget or leave no space for new messages, as they would if the
// ids were not counted or not limited.
func TestEndedIDsStayWithinTheBudget(t *testing.T) {
	t.Parallel()
	const budget, messages = 64 << 10, 5000
	directory := t.TempDir()
	j := openJournal(t, directory, budget)
	// The JSON of "<" takes six bytes, so these ids have the maximum size.
	idOf := func(i int) string { return strings.Repeat("<", MaxNameLength-5) + strconv.Itoa(i) }
	for i := range messages {
		m, err := j.Accept(Record{ID: idOf(i), Class: "safe"})
		if err != nil {
			t.Fatalf("message %d: %v", i, err)
		}
		j.AppendMessageEnded(m, OutcomeDelivered, 0)
		if err := j.Flush(); err != nil {
			t.Fatalf("message %d: %v", i, err)
		}
		if size := directorySize(t, directory); size > budget {
			t.Fatalf("the files have %d bytes after message %d, which exceeds the budget", size, i)
		}
	}
	if !j.Knows(idOf(messages - 1)) {
		t.Error("the last id is not known")
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
