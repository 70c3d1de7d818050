package journal

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/clock"
)

func openTest(t *testing.T, dir string, budget int64) *Journal {
	t.Helper()
	j, err := Open(OSFileSystem{}, clock.New(time.Now()), dir, budget)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

func takeTest(t *testing.T, j *Journal, id string) *Message {
	t.Helper()
	m, err := j.Accept(Record{ID: id, Class: "keyed", Key: "k" + id, Destination: 3, Deadline: 99, Body: []byte("body " + id)})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func TestJournalReplay(t *testing.T) {
	dir := t.TempDir()
	j := openTest(t, dir, 1<<20)
	a, b, c, d := takeTest(t, j, "a"), takeTest(t, j, "b"), takeTest(t, j, "c"), takeTest(t, j, "d")
	j.AppendAttemptStarted(a, Attempt{SentAt: 10, Endpoint: "s"})
	j.AppendAttemptEnded(a, 0, true)
	j.AppendAttemptStarted(a, Attempt{SentAt: 20, Endpoint: "s", Zone: 1}) // no outcome: it may have run
	j.AppendAttemptStarted(a, Attempt{SentAt: 30, Endpoint: "s"})
	j.AppendMessageEnded(b, OutcomeDelivered, 0)
	j.AppendMessageEnded(c, OutcomeReturned, 500*time.Millisecond)
	j.AppendMessageEnded(d, OutcomeGivenUp, 0)
	j.AppendNoticeDelivered(d)
	if err := j.Flush(); err != nil {
		t.Fatal(err)
	}
	check := func(j *Journal) {
		t.Helper()
		if len(j.byID) != 2 || len(j.order) != 2 {
			t.Fatalf("holds %d messages", len(j.byID))
		}
		m := j.byID["a"]
		first, may := m.FirstPossibleRun()
		if !may || first.SentAt != 20 || first.Zone != 1 || len(m.Attempts) != 3 || string(m.Body) != "body a" || m.Key != "ka" || m.Destination != 3 || m.Deadline != 99 {
			t.Errorf("a is %+v", m)
		}
		if m := j.byID["c"]; m.PendingOutcome != OutcomeReturned || m.PendingRetryAfterMS != 500 {
			t.Errorf("c is %+v", m)
		}
	}
	check(openTest(t, dir, 1<<20)) // as after a kill: nothing was closed
	check(openTest(t, dir, 1<<20)) // and from the compacted file
}

// A kill may tear the last record at any byte; nothing before it is lost, and a damaged line hides no other.
func TestTornJournal(t *testing.T) {
	dir := t.TempDir()
	j := openTest(t, dir, 1<<20)
	takeTest(t, j, "a")
	whole := j.size
	takeTest(t, j, "b")
	raw, err := os.ReadFile(j.path)
	if err != nil {
		t.Fatal(err)
	}
	for n := whole; n < int64(len(raw)); n++ {
		if err := os.WriteFile(j.path, raw[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		torn := openTest(t, dir, 1<<20)
		if len(torn.byID) != 1 || torn.byID["a"] == nil {
			t.Fatalf("cut at %d: holds %d messages", n, len(torn.byID))
		}
		takeTest(t, torn, "c")
		if again := openTest(t, dir, 1<<20); len(again.byID) != 2 {
			t.Fatalf("cut at %d: what was written after it is lost", n)
		}
	}
	damaged := bytes.Replace(raw, []byte(`"id":"a"`), []byte(`"id":"x"`), 1)
	if err := os.WriteFile(j.path, damaged, 0o600); err != nil {
		t.Fatal(err)
	}
	if j := openTest(t, dir, 1<<20); len(j.byID) != 1 || j.byID["b"] == nil {
		t.Errorf("a damaged line: holds %d messages", len(j.byID))
	}
}

// Damage at any byte of a record, its end included, loses no other.
func TestDamagedJournalLosesNoOtherRecord(t *testing.T) {
	dir := t.TempDir()
	j := openTest(t, dir, 1<<20)
	for _, id := range []string{"a", "b", "c"} {
		takeTest(t, j, id)
	}
	raw, err := os.ReadFile(j.path)
	if err != nil {
		t.Fatal(err)
	}
	lineAt := func(from int) int { return from + bytes.IndexByte(raw[from:], '\n') + 1 }
	afterClock := lineAt(0)
	first := lineAt(afterClock)
	second := lineAt(first)
	for n := range second {
		if afterClock <= n && n < first {
			continue
		}
		for _, wrong := range []byte{0, '\n', '{', ' ', raw[n] ^ 1} {
			damaged := bytes.Clone(raw)
			damaged[n] = wrong
			if err := os.WriteFile(j.path, damaged, 0o600); err != nil {
				t.Fatal(err)
			}
			again := openTest(t, dir, 1<<20)
			if again.byID["a"] == nil || again.byID["c"] == nil || n < first && again.byID["b"] == nil {
				t.Fatalf("byte %d, in the clock's line or the second of three, made %q: holds %d", n, wrong, len(again.byID))
			}
		}
	}
}

// Where the record of an attempt is damaged, what is known of a later one is not taken for it.
func TestDamagedAttemptMayHaveRun(t *testing.T) {
	dir := t.TempDir()
	j := openTest(t, dir, 1<<20)
	m := takeTest(t, j, "a")
	for n, never := range []bool{false, true} {
		j.AppendAttemptStarted(m, Attempt{SentAt: time.Duration(n + 1), Endpoint: "s"})
		if never {
			j.AppendAttemptEnded(m, n, true)
		}
	}
	if err := j.Flush(); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(j.path)
	if err != nil {
		t.Fatal(err)
	}
	raw = bytes.Replace(raw, []byte(`"at":1,`), []byte(`"at":7,`), 1)
	if err := os.WriteFile(j.path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	again := openTest(t, dir, 1<<20)
	if got := again.byID["a"]; again.damagedLines != 1 || got == nil || len(got.Attempts) != 2 {
		t.Fatalf("%d damaged, came back as %+v", again.damagedLines, got)
	} else if _, may := got.FirstPossibleRun(); !may {
		t.Error("an attempt whose record is damaged is taken for one that never ran")
	}
}

// A message whose only attempt's record is damaged may have run, as long as the record still names it: it is not taken for one
// that was never sent.
func TestADamagedRecordOfAnAttemptLeavesADoubt(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	j := openTest(t, dir, 1<<20)
	m := takeTest(t, j, "a")
	from := int(j.size)
	j.AppendAttemptStarted(m, Attempt{SentAt: 1, Endpoint: "s"})
	if err := j.Flush(); err != nil {
		t.Fatal(err)
	}
	to := int(j.size)
	takeTest(t, j, "b")
	raw, err := os.ReadFile(j.path)
	if err != nil {
		t.Fatal(err)
	}
	named := from + bytes.Index(raw[from:], []byte(`"id":"a"`))
	for n := from; n < to; n++ {
		if n >= named && n < named+len(`"id":"a"`) {
			continue
		}
		for _, wrong := range []byte{0, '\n', '{', ' ', raw[n] ^ 1} {
			if wrong == raw[n] || wrong == '\n' && n < named { // cut before its name it names nobody
				continue
			}
			damaged := bytes.Clone(raw)
			damaged[n] = wrong
			if err := os.WriteFile(j.path, damaged, 0o600); err != nil {
				t.Fatal(err)
			}
			again := openTest(t, dir, 1<<20)
			got := again.byID["a"]
			if got == nil || again.byID["b"] == nil || len(again.byID["b"].Attempts) > 0 {
				t.Fatalf("byte %d made %q: holds %v", n-from, wrong, again.byID)
			}
			if _, may := got.FirstPossibleRun(); !may {
				t.Fatalf("byte %d made %q: it is taken for one that was never sent", n-from, wrong)
			}
		}
	}
}

// A kill in the middle of a compaction leaves the old file whole, and beside it a part of the new one, which nobody reads.
func TestAKillInACompaction(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	j := openTest(t, dir, 1<<20)
	takeTest(t, j, "a")
	raw, err := os.ReadFile(j.path)
	if err != nil {
		t.Fatal(err)
	}
	for n := range raw {
		if err := os.WriteFile(j.path+".new", raw[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		again := openTest(t, dir, 1<<20)
		if len(again.byID) != 1 || again.byID["a"] == nil {
			t.Fatalf("%d bytes of a new file: holds %v", n, again.byID)
		}
		if err := again.Close(); err != nil {
			t.Fatal(err)
		}
		if _, err := os.Stat(j.path + ".new"); err == nil {
			t.Fatal("the part is left on the disk")
		}
	}
}

// Old and new file together stay within the budget, however long it goes on; without room for a message
// it is refused, and one that ends makes room again.
func TestJournalStaysWithinItsBudget(t *testing.T) {
	const budget = 64 << 10
	dir := t.TempDir()
	j := openTest(t, dir, budget)
	var held []*Message
	refused := 0
	for i := range 3000 {
		m, err := j.Accept(Record{ID: fmt.Sprint(i), Body: bytes.Repeat([]byte("x"), i%700)})
		if errors.Is(err, ErrFull) {
			refused++
		} else if err != nil {
			t.Fatal(err)
		} else {
			held = append(held, m)
			for n := range 6 {
				j.AppendAttemptStarted(m, Attempt{SentAt: 1 << 60, Endpoint: "s-5be2a07c"})
				j.AppendAttemptEnded(m, n, true)
			}
			if err := j.Flush(); err != nil {
				t.Fatal(err)
			}
		}
		if j.size+j.liveBytes() > budget {
			t.Fatalf("after %d: %d bytes and a compaction of up to %d", i, j.size, j.liveBytes())
		}
		if i%3 == 0 && len(held) > 0 {
			j.AppendMessageEnded(held[0], OutcomeDelivered, 0)
			held = held[1:]
		}
	}
	if refused == 0 || len(held) == 0 || refused == 3000 {
		t.Errorf("%d refused, %d held", refused, len(held))
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	if again := openTest(t, dir, budget); len(again.byID) != len(held) {
		t.Errorf("%d of %d came back", len(again.byID), len(held))
	}
	if _, err := os.Stat(filepath.Join(dir, FileName+".new")); !os.IsNotExist(err) {
		t.Errorf("the new file is left: %v", err)
	}
}

// The room that the settings give for messages is the limit, not the journal's: of what a message may come to
// only its line in a compacted file is set aside. And the file is not written anew for every few records.
func TestJournalHoldsWhatTheSettingsAllow(t *testing.T) {
	const most, body, budget = 650, 600, 2_880_000 // 3 MB of disk
	j := openTest(t, t.TempDir(), budget)
	compacted, last := 0, j.compactedAt
	for i := range 4 * most {
		m, err := j.Accept(Record{ID: fmt.Sprintf("%016x", i), Key: fmt.Sprintf("%032x", i), Class: "application-forward",
			Destination: 10, Deadline: 1 << 60, Body: bytes.Repeat([]byte{255}, body)})
		if err != nil {
			t.Fatalf("after %d, %d held: %v", i, len(j.byID), err)
		}
		for n := range 3 {
			j.AppendAttemptStarted(m, Attempt{SentAt: 1 << 60, Endpoint: "s-5be2a07c"})
			j.AppendAttemptEnded(m, n, true)
			if err := j.Flush(); err != nil {
				t.Fatal(err)
			}
			if j.compactedAt != last {
				compacted, last = compacted+1, j.compactedAt
			}
			if j.size+j.liveBytes() > budget {
				t.Fatalf("after %d: %d bytes and a compaction of up to %d", i, j.size, j.liveBytes())
			}
		}
		if len(j.byID) == most {
			j.AppendMessageEnded(j.byID[fmt.Sprintf("%016x", i-most+1)], OutcomeDelivered, 0)
		}
	}
	if compacted > most/10 {
		t.Errorf("%d compactions", compacted)
	}
}

// A disk that takes nothing more: work is refused, nothing is lost that was written, and when there is
// room again the state is written whole.
func TestFullDisk(t *testing.T) {
	dir := t.TempDir()
	j := openTest(t, dir, 1<<20)
	a := takeTest(t, j, "a")
	full, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
	if err != nil {
		t.Skip(err)
	}
	j.file.Close()
	j.file = full
	// No new file can be made either: a folder stands in its place.
	if err := os.MkdirAll(filepath.Join(j.path+".new", "x"), 0o700); err != nil {
		t.Fatal(err)
	}
	j.AppendAttemptStarted(a, Attempt{SentAt: 5})
	if err := j.Flush(); err == nil {
		t.Fatal("a full disk took a record")
	}
	for range 2 {
		if _, err := j.Accept(Record{ID: "b"}); err == nil {
			t.Fatal("a message was taken on a full disk")
		}
	}
	if err := os.RemoveAll(j.path + ".new"); err != nil {
		t.Fatal(err)
	}
	j.compactedAt = j.compactedAt.Add(-RetryInterval)
	takeTest(t, j, "c")
	again := openTest(t, dir, 1<<20)
	if m := again.byID["a"]; len(again.byID) != 2 || m == nil || len(m.Attempts) != 1 {
		t.Errorf("came back with %d messages, a is %+v", len(again.byID), m)
	}
}

// The id of a message that has ended is known for a while, also by the next process; that of one that was refused is not, as
// its client may come again.
func TestEndedMessagesAreKnown(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	j := openTest(t, dir, 1<<20)
	for _, how := range []string{OutcomeDelivered, OutcomeGivenUp, OutcomeReturned, OutcomeAnswered} {
		m, err := j.Accept(Record{ID: how, Class: "safe"})
		if err != nil {
			t.Fatal(err)
		}
		j.AppendMessageEnded(m, how, 0)
		if how == OutcomeGivenUp || how == OutcomeReturned {
			j.AppendNoticeDelivered(m)
		}
	}
	check := func(j *Journal) {
		for how, want := range map[string]bool{OutcomeDelivered: true, OutcomeGivenUp: true, OutcomeReturned: false, OutcomeAnswered: false} {
			if j.Knows(how) != want {
				t.Errorf("%s is known: %v", how, !want)
			}
		}
	}
	check(j)
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	for range 3 { // a restart within a restart: each start compacts the file
		j = openTest(t, dir, 1<<20)
		check(j)
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// An id that came again after it was forgotten, and was refused then, may come once more, whatever the file says of its first end.
func TestAnIDThatIsUsedAgainIsKnownByItsLastEnd(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	j := openTest(t, dir, 1<<20)
	for _, how := range []string{OutcomeDelivered, OutcomeAnswered} {
		m, err := j.Accept(Record{ID: "a", Class: "safe"})
		if err != nil {
			t.Fatal(err)
		}
		j.AppendMessageEnded(m, how, 0)
		if err := j.Compact(); err != nil {
			t.Fatal(err)
		}
		if how == OutcomeDelivered { // it is forgotten
			j.ended.current, j.ended.previous = idGeneration{}, idGeneration{}
		}
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	if openTest(t, dir, 1<<20).Knows("a") {
		t.Error("a message that was refused is taken for one that has ended")
	}
}

// Ids of messages that have ended are kept within the budget, too, and make no room scarce for good.
func TestEndedIDsStayWithinTheBudget(t *testing.T) {
	t.Parallel()
	const budget = 64 << 10
	dir := t.TempDir()
	j := openTest(t, dir, budget)
	for i := range 5000 {
		m, err := j.Accept(Record{ID: strings.Repeat("<", MaxNameLength-5) + strconv.Itoa(i), Class: "safe"})
		if err != nil {
			t.Fatalf("message %d: %v", i, err)
		}
		j.AppendMessageEnded(m, OutcomeDelivered, 0)
		if err := j.Flush(); err != nil {
			t.Fatalf("message %d: %v", i, err)
		}
		if size := folderSize(t, dir); size > budget {
			t.Fatalf("%d bytes after message %d", size, i)
		}
	}
	if !j.Knows(strings.Repeat("<", MaxNameLength-5) + "4999") {
		t.Error("the last one is forgotten")
	}
}

func folderSize(t *testing.T, dir string) (size int64) {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		info, err := e.Info()
		if err != nil {
			t.Fatal(err)
		}
		size += info.Size()
	}
	return size
}
