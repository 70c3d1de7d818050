package sender

import (
	"bytes"
	"strings"
	"testing"

	"onyxdyke.example/onyxdyke/internal/discovery"
	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/endpoint"
	"onyxdyke.example/onyxdyke/internal/golden"
	"onyxdyke.example/onyxdyke/internal/invariant"
	"onyxdyke.example/onyxdyke/internal/journal"
	"onyxdyke.example/onyxdyke/internal/metrics"
)

// The formats that outlive a release are pinned here. The files under testdata were written by the release of commit
// 5d1fee9: the journal, the streams of a hand-over between two processes, and the operators' figures.

// What is stored, and printed for the operators, has the form of the release.
func TestStoredStringsAndNumbersAreTheReleased(t *testing.T) {
	for effect, number := range map[dispatch.Effect]uint8{
		dispatch.Idempotent:      0,
		dispatch.IdempotentByKey: 1,
		dispatch.NonIdempotent:   2,
	} {
		if uint8(effect) != number {
			t.Errorf("effect %d is stored as %d", number, effect)
		}
	}
	outcomes := map[dispatch.Outcome]string{
		dispatch.Served:           "served",
		dispatch.Errored:          "errored",
		dispatch.Rejected:         "refused",
		dispatch.TimedOut:         "timed_out",
		dispatch.ConnectFailed:    "connect_failed",
		dispatch.ConnectionBroken: "broken",
		dispatch.Cancelled:        "cancelled",
		dispatch.NotSent:          "not_sent",
		dispatch.NotStarted:       "not_begun",
	}
	for outcome, word := range outcomes {
		if outcome.String() != word {
			t.Errorf("outcome %s is printed as %s", word, outcome)
		}
	}
	for got, want := range map[journal.Outcome]string{
		journal.OutcomeDelivered: "delivered",
		journal.OutcomeAnswered:  "answered",
		journal.OutcomeGivenUp:   "given_up",
		journal.OutcomeReturned:  "handed_back",
	} {
		if string(got) != want {
			t.Errorf("%s is written as %s", want, got)
		}
	}
	if journal.FileName != "messages.journal" {
		t.Errorf("the journal's file is named %s", journal.FileName)
	}
}

func TestMetricsHaveTheReleasedNames(t *testing.T) {
	f := metrics.New([]string{"safe", "keyed"}, invariant.RuleNames()...)
	f.MessageSucceeded("safe")
	f.MessageDeclined("safe")
	f.MessageDeclined("unsafe")
	f.MessageAborted("keyed")
	f.MessagesForwarded(3)
	f.ConfigReloaded(true)
	f.ConfigReloaded(false)
	f.SetGauges(metrics.Gauges{Outstanding: 4, Discovered: 5, Ejected: 6})
	for _, kind := range []metrics.ReasonKind{
		metrics.ReasonViolation, metrics.ReasonClosed, metrics.ReasonRejected, metrics.ReasonRetried,
		metrics.ReasonAccept, metrics.ReasonDropped, metrics.ReasonDiscovery,
	} {
		f.CountReason(kind, "why")
	}
	var dump bytes.Buffer
	f.Dump(&dump)
	golden.Compare(t, "admin/dump.txt", dump.String())
}

func TestReasonsHaveTheReleasedNames(t *testing.T) {
	words := []string{
		endpoint.DroppedAbandoned, endpoint.DroppedUnwritten, endpoint.DroppedUnread, endpoint.DroppedIncomplete,
		discovery.ReasonMoved, discovery.ReasonHedged, discovery.ReasonRejected, discovery.ReasonSilent,
		discovery.ReasonStale,
	}
	golden.Compare(t, "admin/reasons.txt", strings.Join(words, "\n")+"\n")
}
