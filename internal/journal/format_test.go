package journal

import (
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/endpointlist"
)

// The journal's format outlives a release. The files under testdata were written by the release of commit 5d1fee9.

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

var goldenRules = Rules{Effect: dispatch.IdempotentByKey, KeyScopedToZone: true, Ordered: true, MaxAttempts: 5, LatencyObjective: 2 * time.Second, Deadline: 20 * time.Second,
	IdempotencyWindow: 6 * time.Second, PriorityWeight: 1.5, LateWeight: 0.25}

// writeGoldenJournal writes a record of every kind.
func writeGoldenJournal(t *testing.T, j *Journal) {
	t.Helper()
	take := func(id string, effect dispatch.Effect) *Message {
		r := goldenRules
		r.Effect = effect
		m, err := j.Accept(Record{ID: id, Key: "key-" + id, Class: "class-" + id, Tenant: "tenant", Destination: 7, Deadline: farAhead,
			Rules: &r, Body: []byte("body of " + id)})
		if err != nil {
			t.Fatal(err)
		}
		return m
	}
	j.AppendEndpointList(41, []endpointlist.Endpoint{{ID: "s-1", Addr: "127.0.0.1:1", Zone: "z-2", Kind: "k-1", Cell: 3, State: "SERVING", Weight: 12.5},
		{ID: "s-2", Addr: "127.0.0.1:2", Cell: 4, State: "DRAINING"}, {ID: "s-3", State: "DELETED"}})
	j.AppendOutages([]Outage{{Destination: 3, Since: 100, StartedAt: 90, RateBefore: 2.5}, {Destination: 4, Endpoint: "s-2", WarmingUp: true, Since: 120, StartedAt: 80, RateBefore: 0.5},
		{Destination: 5, Since: 1, StartedAt: 1}, {Destination: 5, Resolved: true}})
	waiting, tried := take("waiting", dispatch.Idempotent), take("tried", dispatch.IdempotentByKey)
	j.AppendAttemptStarted(tried, Attempt{SentAt: 1000, Endpoint: "s-1", Zone: 2})
	j.AppendAttemptEnded(tried, 0, true)
	j.AppendAttemptStarted(tried, Attempt{SentAt: 2000, Endpoint: "s-2"})
	j.AppendAttemptEnded(tried, 1, false)
	for id, how := range map[string]string{"delivered": OutcomeDelivered, "answered": OutcomeAnswered} {
		j.AppendMessageEnded(take(id, dispatch.NonIdempotent), how, 0)
	}
	j.AppendMessageEnded(take("given-up", dispatch.NonIdempotent), OutcomeGivenUp, 0)
	j.AppendMessageEnded(take("handed-back", dispatch.Idempotent), OutcomeReturned, 750*time.Millisecond)
	told := take("told", dispatch.NonIdempotent)
	j.AppendMessageEnded(told, OutcomeGivenUp, 0)
	j.AppendNoticeDelivered(told)
	if err := j.Flush(); err != nil || waiting == nil {
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
	golden(t, "written.txt", strings.Join(lines, ""))
}

// readGoldenJournal opens a copy of a journal that the release wrote.
func readGoldenJournal(t *testing.T) (j *Journal, dir string) {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", "messages.journal"))
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
	if j.DamagedLines() != 0 || len(j.byID) != 4 {
		t.Fatalf("%d damaged lines, %d messages", j.DamagedLines(), len(j.byID))
	}
	if m := j.byID["waiting"]; m == nil || m.Key != "key-waiting" || m.Class != "class-waiting" || m.Tenant != "tenant" || m.Destination != 7 ||
		m.Deadline != farAhead || string(m.Body) != "body of waiting" || len(m.Attempts) != 0 || m.PendingOutcome != "" {
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
		[]Attempt{{SentAt: 1000, Endpoint: "s-1", Zone: 2, NeverRan: true}, {SentAt: 2000, Endpoint: "s-2"}}) {
		t.Errorf("tried is read as %+v", m)
	}
	if m := j.byID["given-up"]; m == nil || m.PendingOutcome != OutcomeGivenUp || m.Rules.Effect != dispatch.NonIdempotent {
		t.Errorf("given-up is read as %+v", m)
	}
	if m := j.byID["handed-back"]; m == nil || m.PendingOutcome != OutcomeReturned || m.PendingRetryAfterMS != 750 {
		t.Errorf("handed-back is read as %+v", m)
	}
	if !j.Knows("past") {
		t.Error("the id of a message that ended is not known")
	}
	wantList := []endpointlist.Endpoint{{ID: "s-1", Addr: "127.0.0.1:1", Zone: "z-2", Kind: "k-1", Cell: 3, State: "SERVING", Weight: 12.5},
		{ID: "s-2", Addr: "127.0.0.1:2", Cell: 4, State: "DRAINING"}, {ID: "s-3", State: "DELETED"}}
	if j.endpointList.version != 41 || !slices.Equal(j.endpointList.changes, wantList) {
		t.Errorf("the list is read as %+v", j.endpointList)
	}
	wantOutages := []Outage{{Destination: 3, Since: 100, StartedAt: 90, RateBefore: 2.5}, {Destination: 4, Endpoint: "s-2", WarmingUp: true, Since: 120, StartedAt: 80, RateBefore: 0.5}}
	if !slices.Equal(j.outages.outages, wantOutages) {
		t.Errorf("the outages are read as %+v", j.outages.outages)
	}
	raw, err := os.ReadFile(filepath.Join(dir, "messages.journal"))
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.SplitAfter(journalText(t, raw), "\n")
	slices.Sort(lines)
	golden(t, "compacted.txt", strings.Join(lines, ""))
}
