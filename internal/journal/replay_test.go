package journal

import (
	"bytes"
	"testing"
	"time"
)

// Guards against messages, attempts or pending notices that are lost when a process is killed, both when the next
// process replays the file and when the one after it replays the compacted file.
func TestReplayRestoresUnendedMessagesAndPendingNotices(t *testing.T) {
	directory := t.TempDir()
	j := openJournal(t, directory, 1<<20)
	a, b, c, d := acceptMessage(t, j, "a"), acceptMessage(t, j, "b"), acceptMessage(t, j, "c"), acceptMessage(t, j, "d")
	j.AppendAttemptStarted(a, Attempt{SentAt: 10, Endpoint: "s"})
	j.AppendAttemptEnded(a, 0, true)
	j.AppendAttemptStarted(a, Attempt{SentAt: 20, Endpoint: "s", Zone: 1}) // no end is recorded: it may have run
	j.AppendAttemptStarted(a, Attempt{SentAt: 30, Endpoint: "s"})
	j.AppendMessageEnded(b, OutcomeDelivered, 0)
	j.AppendMessageEnded(c, OutcomeReturned, 500*time.Millisecond)
	j.AppendMessageEnded(d, OutcomeGivenUp, 0)
	j.AppendNoticeDelivered(d)
	flushJournal(t, j)
	check := func(j *Journal) {
		t.Helper()
		if len(j.byID) != 2 || len(j.order) != 2 {
			t.Fatalf("the journal has %d messages, want 2", len(j.byID))
		}
		m := j.byID["a"]
		first, mayHaveRun := m.FirstPossibleRun()
		if !mayHaveRun || first.SentAt != 20 || first.Zone != 1 || len(m.Attempts) != 3 {
			t.Errorf("message a has the attempts %+v", m.Attempts)
		}
		if string(m.Body) != "body a" || m.Key != "ka" || m.Destination != 3 || m.Deadline != 99 {
			t.Errorf("message a is %+v", m)
		}
		if m := j.byID["c"]; m.PendingOutcome != OutcomeReturned || m.PendingRetryAfterMS != 500 {
			t.Errorf("message c is %+v", m)
		}
	}
	check(openJournal(t, directory, 1<<20)) // as after a kill: the journal was not closed
	check(openJournal(t, directory, 1<<20)) // from the compacted file
}

// Guards against the loss of other records when a kill truncates the last line, which can happen at any byte. What the
// next process writes after that line must not be lost either.
func TestTruncatedLineLosesNoOtherRecord(t *testing.T) {
	directory := t.TempDir()
	j := openJournal(t, directory, 1<<20)
	acceptMessage(t, j, "a")
	intactSize := j.size
	acceptMessage(t, j, "b")
	raw := readFile(t, j.path)
	for n := intactSize; n < int64(len(raw)); n++ {
		writeFile(t, j.path, raw[:n])
		truncated := openJournal(t, directory, 1<<20)
		if len(truncated.byID) != 1 || truncated.byID["a"] == nil {
			t.Fatalf("truncated to %d bytes: the journal has %d messages, want 1", n, len(truncated.byID))
		}
		acceptMessage(t, truncated, "c")
		if again := openJournal(t, directory, 1<<20); len(again.byID) != 2 {
			t.Fatalf("truncated to %d bytes: the record written after that is lost", n)
		}
	}
	writeFile(t, j.path, bytes.Replace(raw, []byte(`"id":"a"`), []byte(`"id":"x"`), 1))
	if j := openJournal(t, directory, 1<<20); len(j.byID) != 1 || j.byID["b"] == nil {
		t.Errorf("with a damaged line the journal has %d messages, want 1", len(j.byID))
	}
}

// replacements returns the bytes with which the tests replace a byte to simulate damage.
func replacements(original byte) []byte { return []byte{0, '\n', '{', ' ', original ^ 1} }

// Guards against the loss of further records when one byte of a line is damaged, including its newline: without the
// newline, the next record is at the end of the damaged line.
func TestDamagedLineLosesNoOtherRecord(t *testing.T) {
	directory := t.TempDir()
	j := openJournal(t, directory, 1<<20)
	for _, id := range []string{"a", "b", "c"} {
		acceptMessage(t, j, id)
	}
	raw := readFile(t, j.path)
	lineEnd := func(start int) int { return start + bytes.IndexByte(raw[start:], '\n') + 1 }
	clockEnd := lineEnd(0)
	firstEnd := lineEnd(clockEnd)
	secondEnd := lineEnd(firstEnd)
	for n := range secondEnd {
		if clockEnd <= n && n < firstEnd {
			continue
		}
		for _, replacement := range replacements(raw[n]) {
			damaged := bytes.Clone(raw)
			damaged[n] = replacement
			writeFile(t, j.path, damaged)
			again := openJournal(t, directory, 1<<20)
			if again.byID["a"] == nil || again.byID["c"] == nil || n < firstEnd && again.byID["b"] == nil {
				t.Fatalf("byte %d, in the line of the clock or of b, replaced by %q: the journal has %d messages",
					n, replacement, len(again.byID))
			}
		}
	}
}

// Guards against a message that is sent again although an attempt may have run: if the record of an attempt is damaged,
// the recorded end of a later attempt must not be applied to it.
func TestDamagedAttemptBeforeAnIntactOneMayHaveRun(t *testing.T) {
	directory := t.TempDir()
	j := openJournal(t, directory, 1<<20)
	m := acceptMessage(t, j, "a")
	j.AppendAttemptStarted(m, Attempt{SentAt: 1, Endpoint: "s"})
	j.AppendAttemptStarted(m, Attempt{SentAt: 2, Endpoint: "s"})
	j.AppendAttemptEnded(m, 1, true)
	flushJournal(t, j)
	writeFile(t, j.path, bytes.Replace(readFile(t, j.path), []byte(`"at":1,`), []byte(`"at":7,`), 1))
	again := openJournal(t, directory, 1<<20)
	restored := again.byID["a"]
	if again.DamagedLines() != 1 || restored == nil || len(restored.Attempts) != 2 {
		t.Fatalf("%d damaged lines, message a is restored as %+v", again.DamagedLines(), restored)
	}
	if _, mayHaveRun := restored.FirstPossibleRun(); !mayHaveRun {
		t.Error("an attempt whose record is damaged counts as one that never ran")
	}
}

// Guards against a message that counts as never sent because the record of its only attempt is damaged. As long as the
// damaged record still contains the message's id, the message must count as one that may have run.
func TestDamagedOnlyAttemptMayHaveRun(t *testing.T) {
	t.Parallel()
	directory := t.TempDir()
	j := openJournal(t, directory, 1<<20)
	m := acceptMessage(t, j, "a")
	start := int(j.size)
	j.AppendAttemptStarted(m, Attempt{SentAt: 1, Endpoint: "s"})
	flushJournal(t, j)
	end := int(j.size)
	acceptMessage(t, j, "b")
	raw := readFile(t, j.path)
	id := []byte(`"id":"a"`)
	idStart := start + bytes.Index(raw[start:], id)
	for n := start; n < end; n++ {
		if n >= idStart && n < idStart+len(id) {
			continue
		}
		for _, replacement := range replacements(raw[n]) {
			// A newline before the id ends the line there, so that line contains no id.
			if replacement == raw[n] || replacement == '\n' && n < idStart {
				continue
			}
			damaged := bytes.Clone(raw)
			damaged[n] = replacement
			writeFile(t, j.path, damaged)
			again := openJournal(t, directory, 1<<20)
			restored := again.byID["a"]
			if restored == nil || again.byID["b"] == nil || len(again.byID["b"].Attempts) > 0 {
				t.Fatalf("byte %d replaced by %q: the journal has the messages %v", n-start, replacement, again.byID)
			}
			if _, mayHaveRun := restored.FirstPossibleRun(); !mayHaveRun {
				t.Fatalf("byte %d replaced by %q: the message counts as never sent", n-start, replacement)
			}
		}
	}
}

// Guards against attempts that never happened: a damaged record adds an unknown attempt only if it may have been that
// of a started attempt.
func TestDamagedRecordsOfOtherKindsAddNoAttempt(t *testing.T) {
	t.Parallel()
	for kind, wantAttempts := range map[RecordKind]int{
		KindAttemptStarted: 1, KindMessageAccepted: 0, KindAttemptEnded: 0, KindMessageEnded: 0,
		KindNoticeDelivered: 0, KindEndedID: 0,
	} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			directory := t.TempDir()
			j := openJournal(t, directory, 1<<20)
			acceptMessage(t, j, "a")
			j.bufferRecord(&Record{Kind: kind, ID: "a", Outcome: "damaged"})
			flushJournal(t, j)
			raw := readFile(t, j.path)
			writeFile(t, j.path, bytes.Replace(raw, []byte(`"how":"damaged"`), []byte(`"how":"xxxxxxx"`), 1))
			again := openJournal(t, directory, 1<<20)
			m := again.byID["a"]
			if again.DamagedLines() != 1 || m == nil || len(m.Attempts) != wantAttempts {
				t.Errorf("%d damaged lines, message a is restored as %+v", again.DamagedLines(), m)
			}
		})
	}
}
