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

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/metrics"
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

var goldenRules = rules{Effect: dispatch.IdempotentByKey, KeyScopedToZone: true, Ordered: true, MaxAttempts: 5, LatencyObjective: 2 * time.Second, Deadline: 20 * time.Second,
	IdempotencyWindow: 6 * time.Second, PriorityWeight: 1.5, LateWeight: 0.25}

// writeGoldenJournal writes a record of every kind.
func writeGoldenJournal(t *testing.T, j *journal) {
	t.Helper()
	take := func(id string, effect dispatch.Effect) *storedMessage {
		r := goldenRules
		r.Effect = effect
		m, err := j.take(record{ID: id, Key: "key-" + id, Class: "class-" + id, Tenant: "tenant", Destination: 7, Deadline: farAhead,
			Rules: &r, Body: []byte("body of " + id)})
		if err != nil {
			t.Fatal(err)
		}
		return m
	}
	j.appendEndpointList(41, []Target{{ID: "s-1", Addr: "127.0.0.1:1", Zone: "z-2", Kind: "k-1", Cell: 3, State: "SERVING", Weight: 12.5},
		{ID: "s-2", Addr: "127.0.0.1:2", Cell: 4, State: "DRAINING"}, {ID: "s-3", State: "DELETED"}})
	j.appendOutages([]storedOutage{{Destination: 3, Since: 100, StartedAt: 90, RateBefore: 2.5}, {Destination: 4, Endpoint: "s-2", WarmingUp: true, Since: 120, StartedAt: 80, RateBefore: 0.5},
		{Destination: 5, Since: 1, StartedAt: 1}, {Destination: 5, Resolved: true}})
	waiting, tried := take("waiting", dispatch.Idempotent), take("tried", dispatch.IdempotentByKey)
	j.append(tried, record{Op: "send", Attempt: 0, Sent: &attempt{SentAt: 1000, Endpoint: "s-1", Zone: 2}})
	j.append(tried, record{Op: "end", Attempt: 0, NeverRan: true})
	j.append(tried, record{Op: "send", Attempt: 1, Sent: &attempt{SentAt: 2000, Endpoint: "s-2"}})
	j.append(tried, record{Op: "end", Attempt: 1})
	for id, how := range map[string]string{"delivered": delivered, "answered": answered} {
		j.append(take(id, dispatch.NonIdempotent), record{Op: "over", Outcome: how})
	}
	j.append(take("given-up", dispatch.NonIdempotent), record{Op: "over", Outcome: givenUp})
	j.append(take("handed-back", dispatch.Idempotent), record{Op: "over", Outcome: returned, RetryAfterMS: 750})
	told := take("told", dispatch.NonIdempotent)
	j.append(told, record{Op: "over", Outcome: givenUp})
	j.append(told, record{Op: "told"})
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
	if m := j.byID["waiting"]; m == nil || m.Key != "key-waiting" || m.Class != "class-waiting" || m.Tenant != "tenant" || m.Destination != 7 ||
		m.Deadline != farAhead || string(m.Body) != "body of waiting" || len(m.Attempts) != 0 || m.outcome != "" {
		t.Errorf("waiting is read as %+v", m)
	}
	if m := j.byID["waiting"]; m == nil || m.Rules == nil {
		t.Errorf("waiting has no rules: %+v", m)
	} else {
		want := goldenRules
		want.Effect = dispatch.Idempotent
		if *m.Rules != want {
			t.Errorf("waiting has the rules %+v", *m.Rules)
		}
	}
	if m := j.byID["tried"]; m == nil || m.Rules.Effect != dispatch.IdempotentByKey || !slices.Equal(m.Attempts,
		[]attempt{{SentAt: 1000, Endpoint: "s-1", Zone: 2, NeverRan: true}, {SentAt: 2000, Endpoint: "s-2"}}) {
		t.Errorf("tried is read as %+v", m)
	}
	if m := j.byID["given-up"]; m == nil || m.outcome != givenUp || m.Rules.Effect != dispatch.NonIdempotent {
		t.Errorf("given-up is read as %+v", m)
	}
	if m := j.byID["handed-back"]; m == nil || m.outcome != returned || m.retryAfterMS != 750 {
		t.Errorf("handed-back is read as %+v", m)
	}
	if !j.knows("past") {
		t.Error("the id of a message that ended is not known")
	}
	wantList := []Target{{ID: "s-1", Addr: "127.0.0.1:1", Zone: "z-2", Kind: "k-1", Cell: 3, State: "SERVING", Weight: 12.5},
		{ID: "s-2", Addr: "127.0.0.1:2", Cell: 4, State: "DRAINING"}, {ID: "s-3", State: "DELETED"}}
	if j.endpointList.version != 41 || !slices.Equal(j.endpointList.changes, wantList) {
		t.Errorf("the list is read as %+v", j.endpointList)
	}
	wantOutages := []storedOutage{{Destination: 3, Since: 100, StartedAt: 90, RateBefore: 2.5}, {Destination: 4, Endpoint: "s-2", WarmingUp: true, Since: 120, StartedAt: 80, RateBefore: 0.5}}
	if !slices.Equal(j.outages.outages, wantOutages) {
		t.Errorf("the outages are read as %+v", j.outages.outages)
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
	for effect, number := range map[dispatch.Effect]uint8{dispatch.Idempotent: 0, dispatch.IdempotentByKey: 1, dispatch.NonIdempotent: 2} {
		if uint8(effect) != number {
			t.Errorf("effect %d is stored as %d", number, effect)
		}
	}
	outcomes := map[dispatch.Outcome]string{dispatch.Served: "served", dispatch.Errored: "errored", dispatch.Rejected: "refused",
		dispatch.TimedOut: "timed_out", dispatch.ConnectFailed: "connect_failed", dispatch.ConnectionBroken: "broken", dispatch.Cancelled: "cancelled",
		dispatch.NotSent: "not_sent", dispatch.NotStarted: "not_begun"}
	for outcome, word := range outcomes {
		if outcome.String() != word {
			t.Errorf("outcome %s is told as %s", word, outcome)
		}
	}
	for got, want := range map[string]string{delivered: "delivered", answered: "answered", givenUp: "given_up", returned: "handed_back",
		journalName: "messages.journal"} {
		if got != want {
			t.Errorf("%s is written as %s", want, got)
		}
	}
	err := withHandOverSocket("/state", func(path string) error {
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
	numbers := []dispatch.Outcome{dispatch.Served, dispatch.Errored, dispatch.Rejected, dispatch.TimedOut, dispatch.ConnectFailed, dispatch.ConnectionBroken,
		dispatch.Cancelled, dispatch.NotSent, dispatch.NotStarted}
	for number, outcome := range numbers {
		f := frozenOutcome{Outcome: uint8(number)}
		if f.thaw().Outcome != outcome || freezeOutcome(dispatch.AttemptResult{Outcome: outcome}).Outcome != uint8(number) {
			t.Errorf("outcome %s is not %d", outcome, number)
		}
	}
}

func TestFiguresAreDumpedAsReleased(t *testing.T) {
	f := metrics.New([]string{"safe", "keyed"}, ruleNames()...)
	f.MessageSucceeded("safe")
	f.MessageDeclined("safe")
	f.MessageDeclined("unsafe")
	f.MessageAborted("keyed")
	f.MessagesForwarded(3)
	f.ConfigReloaded(true)
	f.ConfigReloaded(false)
	f.SetGauges(metrics.Gauges{Outstanding: 4, Discovered: 5, Ejected: 6})
	for _, kind := range []metrics.ReasonKind{metrics.ReasonViolation, metrics.ReasonClosed, metrics.ReasonRejected, metrics.ReasonRetried, metrics.ReasonAccept, metrics.ReasonDropped, metrics.ReasonDiscovery} {
		f.CountReason(kind, "why")
	}
	var dump bytes.Buffer
	f.Dump(&dump)
	golden(t, "admin/dump.txt", dump.String())
}

func TestReasonsAreNamedAsReleased(t *testing.T) {
	words := []string{droppedRecalled, droppedUnwritten, droppedUnread, droppedIncomplete, movedDiscovery, hedgedCall, refusedCall,
		silentCall, staleList}
	golden(t, "admin/reasons.txt", strings.Join(words, "\n")+"\n")
}
