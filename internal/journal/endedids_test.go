package journal

import (
	"os"
	"strconv"
	"strings"
	"testing"
)

// The id of a message that has ended is known for a while, also by the next process. That of a rejected one is not, as
// its client may submit it again.
func TestIDsOfEndedMessagesAreKnownUnlessRejected(t *testing.T) {
	t.Parallel()
	directory := t.TempDir()
	j := openTest(t, directory, 1<<20)
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
				t.Errorf("%s is known: %v", outcome, !want)
			}
		}
	}
	check(j)
	closeTest(t, j)
	for range 3 { // Each start compacts the file.
		j = openTest(t, directory, 1<<20)
		check(j)
		closeTest(t, j)
	}
}

// An id that is submitted again after it was forgotten, and rejected then, may be submitted once more, whatever the
// file says of its first end.
func TestReusedIDIsKnownByItsLastOutcome(t *testing.T) {
	t.Parallel()
	for name, compacted := range map[string]bool{"after a compaction": true, "without a compaction": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			directory := t.TempDir()
			j := openTest(t, directory, 1<<20)
			for _, outcome := range []Outcome{OutcomeDelivered, OutcomeAnswered} {
				m := acceptRecord(t, j, Record{ID: "a", Class: "safe"})
				j.AppendMessageEnded(m, outcome, 0)
				if compacted || outcome == OutcomeDelivered {
					if err := j.Compact(); err != nil {
						t.Fatal(err)
					}
				}
				if outcome == OutcomeDelivered { // The id is forgotten.
					j.ended.current, j.ended.previous = idGeneration{}, idGeneration{}
				}
			}
			closeTest(t, j)
			if openTest(t, directory, 1<<20).Knows("a") {
				t.Error("the id of a rejected message is known as one that has ended")
			}
		})
	}
}

func TestEndedIDsAreForgottenByGeneration(t *testing.T) {
	t.Parallel()
	e := endedIDs{maxGenerationSize: 1 << 30}
	idOf := func(i int) string { return strconv.Itoa(1e6 + i) }
	add := func(from, to int) {
		for i := from; i < to; i++ {
			e.add(idOf(i), 1)
		}
	}
	size := e.size()
	add(0, maxEndedIDs)
	generationSize := e.size() - size
	add(maxEndedIDs, 2*maxEndedIDs)
	if !e.contains(idOf(0)) || !e.contains(idOf(maxEndedIDs)) || e.size() != 2*generationSize {
		t.Errorf("two generations have %d bytes, one has %d", e.size(), generationSize)
	}
	add(2*maxEndedIDs, 2*maxEndedIDs+1)
	if e.contains(idOf(0)) || !e.contains(idOf(maxEndedIDs)) || !e.contains(idOf(2*maxEndedIDs)) {
		t.Error("the previous generation is not the last one that is complete")
	}
	if e.size() != generationSize+generationSize/maxEndedIDs {
		t.Errorf("a generation and an id have %d bytes, a generation has %d", e.size(), generationSize)
	}
	sizeBefore := e.size()
	e.add(idOf(2*maxEndedIDs), 2)
	if e.size() != sizeBefore {
		t.Error("an id that is added again is counted twice")
	}
}

// The ids of ended messages count towards the budget, and leave space for further messages at any time.
func TestEndedIDsStayWithinTheBudget(t *testing.T) {
	t.Parallel()
	const budget, messages = 64 << 10, 5000
	directory := t.TempDir()
	j := openTest(t, directory, budget)
	// The JSON of "<" takes six bytes: no id is longer.
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
			t.Fatalf("%d bytes after message %d", size, i)
		}
	}
	if !j.Knows(idOf(messages - 1)) {
		t.Error("the last id is forgotten")
	}
}

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
