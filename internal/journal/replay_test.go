package journal

import (
	"bytes"
	"testing"
	"time"
)

func TestReplayRestoresUnendedMessagesAndPendingNotices(t *testing.T) {
	directory := t.TempDir()
	j := openTest(t, directory, 1<<20)
	a, b, c, d := acceptTest(t, j, "a"), acceptTest(t, j, "b"), acceptTest(t, j, "c"), acceptTest(t, j, "d")
	j.AppendAttemptStarted(a, Attempt{SentAt: 10, Endpoint: "s"})
	j.AppendAttemptEnded(a, 0, true)
	j.AppendAttemptStarted(a, Attempt{SentAt: 20, Endpoint: "s", Zone: 1}) // without an end: it may have run
	j.AppendAttemptStarted(a, Attempt{SentAt: 30, Endpoint: "s"})
	j.AppendMessageEnded(b, OutcomeDelivered, 0)
	j.AppendMessageEnded(c, OutcomeReturned, 500*time.Millisecond)
	j.AppendMessageEnded(d, OutcomeGivenUp, 0)
	j.AppendNoticeDelivered(d)
	flushTest(t, j)
	check := func(j *Journal) {
		t.Helper()
		if len(j.byID) != 2 || len(j.order) != 2 {
			t.Fatalf("the journal has %d messages", len(j.byID))
		}
		m := j.byID["a"]
		first, mayHaveRun := m.FirstPossibleRun()
		if !mayHaveRun || first.SentAt != 20 || first.Zone != 1 || len(m.Attempts) != 3 {
			t.Errorf("a has the attempts %+v", m.Attempts)
		}
		if string(m.Body) != "body a" || m.Key != "ka" || m.Destination != 3 || m.Deadline != 99 {
			t.Errorf("a is %+v", m)
		}
		if m := j.byID["c"]; m.PendingOutcome != OutcomeReturned || m.PendingRetryAfterMS != 500 {
			t.Errorf("c is %+v", m)
		}
	}
	check(openTest(t, directory, 1<<20)) // after a kill: nothing was closed
	check(openTest(t, directory, 1<<20)) // from the compacted file
}

// A kill may tear the last line at any byte.
func TestTornLineLosesNoOtherRecord(t *testing.T) {
	directory := t.TempDir()
	j := openTest(t, directory, 1<<20)
	acceptTest(t, j, "a")
	intactSize := j.size
	acceptTest(t, j, "b")
	raw := readFile(t, j.path)
	for n := intactSize; n < int64(len(raw)); n++ {
		writeFile(t, j.path, raw[:n])
		torn := openTest(t, directory, 1<<20)
		if len(torn.byID) != 1 || torn.byID["a"] == nil {
			t.Fatalf("cut at %d: the journal has %d messages", n, len(torn.byID))
		}
		acceptTest(t, torn, "c")
		if again := openTest(t, directory, 1<<20); len(again.byID) != 2 {
			t.Fatalf("cut at %d: what was written after it is lost", n)
		}
	}
	writeFile(t, j.path, bytes.Replace(raw, []byte(`"id":"a"`), []byte(`"id":"x"`), 1))
	if j := openTest(t, directory, 1<<20); len(j.byID) != 1 || j.byID["b"] == nil {
		t.Errorf("after a damaged line the journal has %d messages", len(j.byID))
	}
}

// replacements are bytes that a damage may leave in place of one.
func replacements(original byte) []byte { return []byte{0, '\n', '{', ' ', original ^ 1} }

// Any byte of a line may be damaged, its newline included.
func TestDamagedLineLosesNoOtherRecord(t *testing.T) {
	directory := t.TempDir()
	j := openTest(t, directory, 1<<20)
	for _, id := range []string{"a", "b", "c"} {
		acceptTest(t, j, id)
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
			again := openTest(t, directory, 1<<20)
			if again.byID["a"] == nil || again.byID["c"] == nil || n < firstEnd && again.byID["b"] == nil {
				t.Fatalf("byte %d, in the clock's line or the second of three, made %q: the journal has %d messages",
					n, replacement, len(again.byID))
			}
		}
	}
}

// Where the record of an attempt is damaged, what is known of a later attempt is not taken for it.
func TestDamagedAttemptBeforeAnIntactOneMayHaveRun(t *testing.T) {
	directory := t.TempDir()
	j := openTest(t, directory, 1<<20)
	m := acceptTest(t, j, "a")
	j.AppendAttemptStarted(m, Attempt{SentAt: 1, Endpoint: "s"})
	j.AppendAttemptStarted(m, Attempt{SentAt: 2, Endpoint: "s"})
	j.AppendAttemptEnded(m, 1, true)
	flushTest(t, j)
	writeFile(t, j.path, bytes.Replace(readFile(t, j.path), []byte(`"at":1,`), []byte(`"at":7,`), 1))
	again := openTest(t, directory, 1<<20)
	restored := again.byID["a"]
	if again.DamagedLines() != 1 || restored == nil || len(restored.Attempts) != 2 {
		t.Fatalf("%d damaged lines, a is restored as %+v", again.DamagedLines(), restored)
	}
	if _, mayHaveRun := restored.FirstPossibleRun(); !mayHaveRun {
		t.Error("an attempt whose record is damaged is taken for one that never ran")
	}
}

// A message whose only attempt's record is damaged is not taken for one that was never sent, as long as the record
// still names it.
func TestDamagedOnlyAttemptMayHaveRun(t *testing.T) {
	t.Parallel()
	directory := t.TempDir()
	j := openTest(t, directory, 1<<20)
	m := acceptTest(t, j, "a")
	start := int(j.size)
	j.AppendAttemptStarted(m, Attempt{SentAt: 1, Endpoint: "s"})
	flushTest(t, j)
	end := int(j.size)
	acceptTest(t, j, "b")
	raw := readFile(t, j.path)
	id := []byte(`"id":"a"`)
	idStart := start + bytes.Index(raw[start:], id)
	for n := start; n < end; n++ {
		if n >= idStart && n < idStart+len(id) {
			continue
		}
		for _, replacement := range replacements(raw[n]) {
			// Cut before its id the line names no message.
			if replacement == raw[n] || replacement == '\n' && n < idStart {
				continue
			}
			damaged := bytes.Clone(raw)
			damaged[n] = replacement
			writeFile(t, j.path, damaged)
			again := openTest(t, directory, 1<<20)
			restored := again.byID["a"]
			if restored == nil || again.byID["b"] == nil || len(again.byID["b"].Attempts) > 0 {
				t.Fatalf("byte %d made %q: the journal has %v", n-start, replacement, again.byID)
			}
			if _, mayHaveRun := restored.FirstPossibleRun(); !mayHaveRun {
				t.Fatalf("byte %d made %q: the message is taken for one that was never sent", n-start, replacement)
			}
		}
	}
}

// A damaged record adds an attempt only where it may be that of a started one.
func TestDamagedRecordsOfOtherKindsAddNoAttempt(t *testing.T) {
	t.Parallel()
	for kind, wantAttempts := range map[RecordKind]int{
		KindAttemptStarted: 1, KindMessageAccepted: 0, KindAttemptEnded: 0, KindMessageEnded: 0,
		KindNoticeDelivered: 0, KindEndedID: 0,
	} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			directory := t.TempDir()
			j := openTest(t, directory, 1<<20)
			acceptTest(t, j, "a")
			j.bufferRecord(&Record{Kind: kind, ID: "a", Outcome: "damaged"})
			flushTest(t, j)
			raw := readFile(t, j.path)
			writeFile(t, j.path, bytes.Replace(raw, []byte(`"how":"damaged"`), []byte(`"how":"xxxxxxx"`), 1))
			again := openTest(t, directory, 1<<20)
			m := again.byID["a"]
			if again.DamagedLines() != 1 || m == nil || len(m.Attempts) != wantAttempts {
				t.Errorf("%d damaged lines, a is restored as %+v", again.DamagedLines(), m)
			}
		})
	}
}
