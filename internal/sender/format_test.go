package sender

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"dockshift.example/dockshift/brain"
)

// The formats that outlive a release are pinned here. The files under testdata were written by the release of commit 5d1fee9:
// the journal, the streams of a hand-over between two processes, and the operators' figures.

// golden compares a text with a file of testdata.
func golden(t *testing.T, name, got string) {
	t.Helper()
	file := filepath.Join("testdata", name)
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if string(want) == got {
		return
	}
	wanted, gotten := strings.Split(string(want), "\n"), strings.Split(got, "\n")
	for i := range max(len(wanted), len(gotten)) {
		a, b := "", ""
		if i < len(wanted) {
			a = wanted[i]
		}
		if i < len(gotten) {
			b = gotten[i]
		}
		if a != b {
			t.Errorf("%s, line %d:\n want %s\n got  %s", name, i+1, a, b)
		}
	}
}

// farAhead is a time that no test reaches: what is dropped with age stays.
const farAhead = 200 * 365 * 24 * time.Hour

var goldenRules = rules{Effect: brain.Keyed, InZone: true, Ordered: true, Attempts: 5, Aim: 2 * time.Second, Deadline: 20 * time.Second,
	Window: 6 * time.Second, Worth: 1.5, LateWorth: 0.25}

// writeGoldenJournal writes a record of every kind.
func writeGoldenJournal(t *testing.T, j *journal) {
	t.Helper()
	take := func(id string, effect brain.Effect) *stored {
		r := goldenRules
		r.Effect = effect
		m, err := j.take(record{ID: id, Key: "key-" + id, Class: "class-" + id, Tenant: "tenant", Dest: 7, Deadline: farAhead,
			Rules: &r, Body: []byte("body of " + id)})
		if err != nil {
			t.Fatal(err)
		}
		return m
	}
	j.noteList(41, []Target{{ID: "s-1", Addr: "127.0.0.1:1", Zone: "z-2", Kind: "k-1", Cell: 3, State: "SERVING", Weight: 12.5},
		{ID: "s-2", Addr: "127.0.0.1:2", Cell: 4, State: "DRAINING"}, {ID: "s-3", State: "DELETED"}})
	j.noteOutages([]storedOutage{{Destination: 3, Since: 100, Began: 90, Before: 2.5}, {Destination: 4, Endpoint: "s-2", Cold: true, Since: 120, Began: 80, Before: 0.5},
		{Destination: 5, Since: 1, Began: 1}, {Destination: 5, Over: true}})
	waiting, tried := take("waiting", brain.Safe), take("tried", brain.Keyed)
	j.note(tried, record{Op: "send", Try: 0, Sent: &try{At: 1000, Endpoint: "s-1", Zone: 2}})
	j.note(tried, record{Op: "end", Try: 0, Never: true})
	j.note(tried, record{Op: "send", Try: 1, Sent: &try{At: 2000, Endpoint: "s-2"}})
	j.note(tried, record{Op: "end", Try: 1})
	for id, how := range map[string]string{"delivered": delivered, "answered": answered} {
		j.note(take(id, brain.Unsafe), record{Op: "over", How: how})
	}
	j.note(take("given-up", brain.Unsafe), record{Op: "over", How: givenUp})
	j.note(take("handed-back", brain.Safe), record{Op: "over", How: handedBack, RetryMS: 750})
	told := take("told", brain.Unsafe)
	j.note(told, record{Op: "over", How: givenUp})
	j.note(told, record{Op: "told"})
	if err := j.flush(); err != nil || waiting == nil {
		t.Fatal(err)
	}
}

var (
	journalLine = regexp.MustCompile(`(?m)^([0-9a-f]{8}) (\{.*\})$`)
	writtenAt   = regexp.MustCompile(`"at":[0-9]{12,}`)
	clockLine   = regexp.MustCompile(`"clock":\{"boot":"[^"]*","offset":-?[0-9]+,"uptime":[0-9]+\}`)
)

// journalText is a journal's lines without their checksums, which are checked, and without the times of writing.
func journalText(t *testing.T, raw []byte) string {
	t.Helper()
	var lines []string
	for line := range strings.Lines(string(raw)) {
		parts := journalLine.FindStringSubmatch(strings.TrimSuffix(line, "\n"))
		if parts == nil || parts[1] != fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(parts[2]))) {
			t.Fatalf("a line with no right checksum: %q", line)
		}
		text := clockLine.ReplaceAllString(parts[2], `"clock":{"boot":"B","offset":0,"uptime":0}`)
		lines = append(lines, writtenAt.ReplaceAllString(text, `"at":1`))
	}
	return strings.Join(lines, "\n") + "\n"
}

func TestJournalIsWrittenAsReleased(t *testing.T) {
	dir := t.TempDir()
	j := openTest(t, dir, 1<<20)
	writeGoldenJournal(t, j)
	raw, err := os.ReadFile(filepath.Join(dir, "messages.journal"))
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.SplitAfter(journalText(t, raw), "\n")
	slices.Sort(lines) // two of them are written in no fixed order
	golden(t, "journal/written.txt", strings.Join(lines, ""))
}

// readGoldenJournal opens a copy of a journal that the release wrote.
func readGoldenJournal(t *testing.T) (j *journal, dir string) {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", "journal", "messages.journal"))
	if err != nil {
		t.Fatal(err)
	}
	dir = t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "messages.journal"), raw, 0o600); err != nil {
		t.Fatal(err)
	}
	return openTest(t, dir, 1<<20), dir
}

func TestAReleasedJournalIsReadWithEqualState(t *testing.T) {
	j, dir := readGoldenJournal(t)
	if j.damaged != 0 || len(j.byID) != 4 {
		t.Fatalf("%d damaged lines, %d messages", j.damaged, len(j.byID))
	}
	if m := j.byID["waiting"]; m == nil || m.Key != "key-waiting" || m.Class != "class-waiting" || m.Tenant != "tenant" || m.Dest != 7 ||
		m.Deadline != farAhead || string(m.Body) != "body of waiting" || len(m.Tries) != 0 || m.how != "" {
		t.Errorf("waiting is read as %+v", m)
	}
	if m := j.byID["waiting"]; m == nil || m.Rules == nil {
		t.Errorf("waiting has no rules: %+v", m)
	} else {
		want := goldenRules
		want.Effect = brain.Safe
		if *m.Rules != want {
			t.Errorf("waiting has the rules %+v", *m.Rules)
		}
	}
	if m := j.byID["tried"]; m == nil || m.Rules.Effect != brain.Keyed || !slices.Equal(m.Tries,
		[]try{{At: 1000, Endpoint: "s-1", Zone: 2, Never: true}, {At: 2000, Endpoint: "s-2"}}) {
		t.Errorf("tried is read as %+v", m)
	}
	if m := j.byID["given-up"]; m == nil || m.how != givenUp || m.Rules.Effect != brain.Unsafe {
		t.Errorf("given-up is read as %+v", m)
	}
	if m := j.byID["handed-back"]; m == nil || m.how != handedBack || m.retry != 750 {
		t.Errorf("handed-back is read as %+v", m)
	}
	if !j.has("past") {
		t.Error("the id of a message that ended is not known")
	}
	wantList := []Target{{ID: "s-1", Addr: "127.0.0.1:1", Zone: "z-2", Kind: "k-1", Cell: 3, State: "SERVING", Weight: 12.5},
		{ID: "s-2", Addr: "127.0.0.1:2", Cell: 4, State: "DRAINING"}, {ID: "s-3", State: "DELETED"}}
	if j.list.version != 41 || !slices.Equal(j.list.changes, wantList) {
		t.Errorf("the list is read as %+v", j.list)
	}
	wantOutages := []storedOutage{{Destination: 3, Since: 100, Began: 90, Before: 2.5}, {Destination: 4, Endpoint: "s-2", Cold: true, Since: 120, Began: 80, Before: 0.5}}
	if !slices.Equal(j.outage.outages, wantOutages) {
		t.Errorf("the outages are read as %+v", j.outage.outages)
	}
	raw, err := os.ReadFile(filepath.Join(dir, "messages.journal"))
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.SplitAfter(journalText(t, raw), "\n")
	slices.Sort(lines)
	golden(t, "journal/compacted.txt", strings.Join(lines, ""))
}

func TestStoredWordsAndNumbers(t *testing.T) {
	for effect, number := range map[brain.Effect]uint8{brain.Safe: 0, brain.Keyed: 1, brain.Unsafe: 2} {
		if uint8(effect) != number {
			t.Errorf("effect %d is stored as %d", number, effect)
		}
	}
	outcomes := map[brain.Outcome]string{brain.Served: "served", brain.Errored: "errored", brain.Refused: "refused",
		brain.TimedOut: "timed_out", brain.ConnectFailed: "connect_failed", brain.Broken: "broken", brain.Cancelled: "cancelled",
		brain.NotSent: "not_sent", brain.NotBegun: "not_begun"}
	for outcome, word := range outcomes {
		if outcome.String() != word {
			t.Errorf("outcome %s is told as %s", word, outcome)
		}
	}
	for got, want := range map[string]string{delivered: "delivered", answered: "answered", givenUp: "given_up", handedBack: "handed_back",
		journalName: "messages.journal"} {
		if got != want {
			t.Errorf("%s is written as %s", want, got)
		}
	}
	err := socketAt("/state", func(path string) error {
		if name := filepath.Base(path); name != "saffronyard-87517253f26a8523.sock" {
			t.Errorf("the socket of the state folder is %s", name)
		}
		return nil
	})
	if err != nil {
		t.Error(err)
	}
}

// leaves lists the fields of a value that are not zero, with their paths.
func leaves(path string, v reflect.Value, to *[]string) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			leaves(path, v.Elem(), to)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() {
				leaves(path+"."+f.Name, v.Field(i), to)
			}
		}
	case reflect.Slice, reflect.Array:
		if v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Uint8 {
			*to = append(*to, fmt.Sprintf("%s = %q", path, v.Bytes()))
			return
		}
		for i := range v.Len() {
			leaves(fmt.Sprintf("%s[%d]", path, i), v.Index(i), to)
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			leaves(fmt.Sprintf("%s[%v]", path, key), v.MapIndex(key), to)
		}
	case reflect.Int, reflect.Int64:
		if v.Int() != 0 {
			*to = append(*to, fmt.Sprintf("%s = %d", path, v.Int()))
		}
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		if v.Uint() != 0 {
			*to = append(*to, fmt.Sprintf("%s = %d", path, v.Uint()))
		}
	default:
		if !v.IsZero() {
			*to = append(*to, fmt.Sprintf("%s = %v", path, v.Interface()))
		}
	}
}

func packetText(p any) string {
	var lines []string
	leaves("packet", reflect.ValueOf(p), &lines)
	slices.Sort(lines)
	return strings.Join(lines, "\n") + "\n"
}

// A packet of the release is read whole, and what is written of it holds the same fields under the same names.
func TestHandOverPacketsAreThoseReleased(t *testing.T) {
	for _, name := range []string{"Hello", "Estate", "Submit", "Answer", "Ended", "Wait", "Cancel"} {
		t.Run(name, func(t *testing.T) {
			raw, err := os.ReadFile(filepath.Join("testdata", "handover", name+".gob"))
			if err != nil {
				t.Fatal(err)
			}
			var read frozenPacket
			if err := gob.NewDecoder(bytes.NewReader(raw)).Decode(&read); err != nil {
				t.Fatal(err)
			}
			golden(t, "handover/"+name+".txt", packetText(read))
			var stream bytes.Buffer
			if err := gob.NewEncoder(&stream).Encode(freeze(read.thaw())); err != nil {
				t.Fatal(err)
			}
			var written frozenPacket
			if err := gob.NewDecoder(&stream).Decode(&written); err != nil {
				t.Fatal(err)
			}
			golden(t, "handover/"+name+".txt", packetText(written))
		})
	}
}

// An outcome has the same number on the wire as in the release.
func TestHandOverNumbersOfOutcomes(t *testing.T) {
	numbers := []brain.Outcome{brain.Served, brain.Errored, brain.Refused, brain.TimedOut, brain.ConnectFailed, brain.Broken,
		brain.Cancelled, brain.NotSent, brain.NotBegun}
	for number, outcome := range numbers {
		f := frozenOutcome{Outcome: uint8(number)}
		if f.thaw().Outcome != outcome || freezeOutcome(brain.AttemptEnd{Outcome: outcome}).Outcome != uint8(number) {
			t.Errorf("outcome %s is not %d", outcome, number)
		}
	}
}

func TestFiguresAreDumpedAsReleased(t *testing.T) {
	f := newFigures([]string{"safe", "keyed"})
	f.succeeded("safe")
	f.declined("safe")
	f.declined("unsafe")
	f.aborted("keyed")
	f.forwarded(3)
	f.reloaded(true)
	f.reloaded(false)
	f.set(gauges{4, 5, 6})
	for _, kind := range []reasonKind{reasonViolation, reasonClosed, reasonRefused, reasonRetried, reasonAccept, reasonDropped, reasonDiscovery} {
		f.reason(kind, "why")
	}
	var dump bytes.Buffer
	f.dump(&dump)
	golden(t, "admin/dump.txt", dump.String())
}

func TestReasonsAreNamedAsReleased(t *testing.T) {
	words := []string{droppedRecalled, droppedUnwritten, droppedUnread, droppedIncomplete, movedDiscovery, hedgedCall, refusedCall,
		silentCall, staleList}
	golden(t, "admin/reasons.txt", strings.Join(words, "\n")+"\n")
}
