package journal

import (
	"fmt"
	"hash/crc32"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/endpointlist"
	"onyxdyke.example/onyxdyke/internal/golden"
)

// These tests guard the compatibility of the journal's format across releases. The files under testdata were written by
// the release of commit 5d1fee9.

// distantDeadline is so late that no message expires during a test.
const distantDeadline = 200 * 365 * 24 * time.Hour

var goldenRules = Rules{
	Effect:            dispatch.IdempotentByKey,
	KeyScopedToZone:   true,
	Ordered:           true,
	MaxAttempts:       5,
	LatencyObjective:  2 * time.Second,
	Deadline:          20 * time.Second,
	IdempotencyWindow: 6 * time.Second,
	PriorityWeight:    1.5,
	LateWeight:        0.25,
}

var goldenEndpoints = []endpointlist.Endpoint{
	{ID: "s-1", Addr: "127.0.0.1:1", Zone: "z-2", Kind: "k-1", Cell: 3, State: "SERVING", Weight: 12.5},
	{ID: "s-2", Addr: "127.0.0.1:2", Cell: 4, State: "DRAINING"},
	{ID: "s-3", State: "DELETED"},
}

var goldenOutages = []Outage{
	{Destination: 3, Since: 100, StartedAt: 90, RateBefore: 2.5},
	{Destination: 4, Endpoint: "s-2", WarmingUp: true, Since: 120, StartedAt: 80, RateBefore: 0.5},
}

// writeGoldenJournal writes records of all kinds.
func writeGoldenJournal(t *testing.T, j *Journal) {
	t.Helper()
	accept := func(id string, effect dispatch.Effect) *Message {
		rules := goldenRules
		rules.Effect = effect
		return acceptRecord(t, j, Record{
			ID: id, Key: "key-" + id, Class: "class-" + id, Tenant: "tenant", Destination: 7, Deadline: distantDeadline,
			Rules: &rules, Body: []byte("body of " + id),
		})
	}
	j.AppendEndpointList(41, goldenEndpoints)
	j.AppendOutages(append(slices.Clone(goldenOutages),
		Outage{Destination: 5, Since: 1, StartedAt: 1}, Outage{Destination: 5, Resolved: true}))
	accept("waiting", dispatch.Idempotent)
	tried := accept("tried", dispatch.IdempotentByKey)
	j.AppendAttemptStarted(tried, Attempt{SentAt: 1000, Endpoint: "s-1", Zone: 2})
	j.AppendAttemptEnded(tried, 0, true)
	j.AppendAttemptStarted(tried, Attempt{SentAt: 2000, Endpoint: "s-2"})
	j.AppendAttemptEnded(tried, 1, false)
	j.AppendMessageEnded(accept("delivered", dispatch.NonIdempotent), OutcomeDelivered, 0)
	j.AppendMessageEnded(accept("answered", dispatch.NonIdempotent), OutcomeAnswered, 0)
	j.AppendMessageEnded(accept("given-up", dispatch.NonIdempotent), OutcomeGivenUp, 0)
	j.AppendMessageEnded(accept("handed-back", dispatch.Idempotent), OutcomeReturned, 750*time.Millisecond)
	notified := accept("told", dispatch.NonIdempotent)
	j.AppendMessageEnded(notified, OutcomeGivenUp, 0)
	j.AppendNoticeDelivered(notified)
	flushJournal(t, j)
}

var (
	lineFormat  = regexp.MustCompile(`(?m)^([0-9a-f]{8}) (\{.*\})$`)
	timeWritten = regexp.MustCompile(`"at":[0-9]{12,}`)
	clockState  = regexp.MustCompile(`"clock":\{"boot":"[^"]*","offset":-?[0-9]+,"uptime":[0-9]+\}`)
)

// sortedRecords returns the records of a file as JSON in alphabetical order, because the ids of ended messages are
// written in no fixed order. It checks and removes their checksums, and replaces the times of writing by fixed values.
func sortedRecords(t *testing.T, path string) string {
	t.Helper()
	var lines []string
	for line := range strings.Lines(string(readFile(t, path))) {
		parts := lineFormat.FindStringSubmatch(strings.TrimSuffix(line, "\n"))
		if parts == nil || parts[1] != fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(parts[2]))) {
			t.Fatalf("a line without a correct checksum: %q", line)
		}
		text := clockState.ReplaceAllString(parts[2], `"clock":{"boot":"B","offset":0,"uptime":0}`)
		lines = append(lines, timeWritten.ReplaceAllString(text, `"at":1`)+"\n")
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}

// Guards against a change of what is written, which an earlier release could not read after a roll-back.
func TestJournalIsWrittenAsReleased(t *testing.T) {
	directory := t.TempDir()
	writeGoldenJournal(t, openJournal(t, directory, 1<<20))
	golden.Compare(t, "written.txt", sortedRecords(t, filepath.Join(directory, "messages.journal")))
}

// openGoldenJournal opens a copy of the journal under testdata.
func openGoldenJournal(t *testing.T) (j *Journal, directory string) {
	t.Helper()
	directory = t.TempDir()
	raw := readFile(t, filepath.Join("testdata", "messages.journal"))
	writeFile(t, filepath.Join(directory, "messages.journal"), raw)
	return openJournal(t, directory, 1<<20), directory
}

// Guards against a change that keeps this release from reading the journal of an earlier one after an upgrade.
func TestReleasedJournalIsReadWithEqualState(t *testing.T) {
	j, directory := openGoldenJournal(t)
	if j.DamagedLines() != 0 || len(j.byID) != 4 {
		t.Fatalf("the journal has %d damaged lines and %d messages, want 0 and 4", j.DamagedLines(), len(j.byID))
	}
	t.Run("a message without attempts", func(t *testing.T) {
		m := requireMessage(t, j, "waiting")
		if m.Key != "key-waiting" || m.Class != "class-waiting" || m.Tenant != "tenant" || m.Destination != 7 ||
			m.Deadline != distantDeadline || string(m.Body) != "body of waiting" {
			t.Errorf("it is read as %+v", m)
		}
		if len(m.Attempts) != 0 || m.PendingOutcome != "" {
			t.Errorf("it is read with the attempts %+v and the outcome %q", m.Attempts, m.PendingOutcome)
		}
		want := goldenRules
		want.Effect = dispatch.Idempotent
		if m.Rules == nil || *m.Rules != want {
			t.Errorf("it is read with the rules %+v, want %+v", m.Rules, want)
		}
	})
	t.Run("a message with attempts", func(t *testing.T) {
		m := requireMessage(t, j, "tried")
		want := []Attempt{{SentAt: 1000, Endpoint: "s-1", Zone: 2, NeverRan: true}, {SentAt: 2000, Endpoint: "s-2"}}
		if m.Rules.Effect != dispatch.IdempotentByKey || !slices.Equal(m.Attempts, want) {
			t.Errorf("it is read as %+v", m)
		}
	})
	t.Run("messages with a pending notice", func(t *testing.T) {
		m := requireMessage(t, j, "given-up")
		if m.PendingOutcome != OutcomeGivenUp || m.Rules.Effect != dispatch.NonIdempotent {
			t.Errorf("given-up is read as %+v", m)
		}
		m = requireMessage(t, j, "handed-back")
		if m.PendingOutcome != OutcomeReturned || m.PendingRetryAfterMS != 750 {
			t.Errorf("handed-back is read as %+v", m)
		}
	})
	t.Run("the id of an ended message", func(t *testing.T) {
		if !j.Knows("past") {
			t.Error("it is not known")
		}
	})
	t.Run("the endpoint list", func(t *testing.T) {
		if j.endpointList.version != 41 || !slices.Equal(j.endpointList.changes, goldenEndpoints) {
			t.Errorf("it is read as %+v", j.endpointList)
		}
	})
	t.Run("outages", func(t *testing.T) {
		if !slices.Equal(j.outages.outages, goldenOutages) {
			t.Errorf("they are read as %+v", j.outages.outages)
		}
	})
	t.Run("the compacted file", func(t *testing.T) {
		golden.Compare(t, "compacted.txt", sortedRecords(t, filepath.Join(directory, "messages.journal")))
	})
}

// requireMessage returns the message with an id, and fails the test if it or its rules are missing.
func requireMessage(t *testing.T, j *Journal, id string) *Message {
	t.Helper()
	m := j.byID[id]
	if m == nil || m.Rules == nil {
		t.Fatalf("%s is read as %+v", id, m)
	}
	return m
}
