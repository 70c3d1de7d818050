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

// The tests in this file pin the formats that must stay the same from one release to the next. The files under testdata
// were written by the release of commit 5d1fee9: the journal, the streams of a hand-over between two processes, and the
// operators' metrics.

// Guards against a renamed or renumbered value that journals of earlier releases contain, or that operators' tools
// match.
func TestStoredValuesMatchTheRelease(t *testing.T) {
	for effect, number := range map[dispatch.Effect]uint8{
		dispatch.Idempotent:      0,
		dispatch.IdempotentByKey: 1,
		dispatch.NonIdempotent:   2,
	} {
		if uint8(effect) != number {
			t.Errorf("the effect that is released as %d is now stored as %d", number, effect)
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
	for outcome, name := range outcomes {
		if outcome.String() != name {
			t.Errorf("the outcome that is released as %s is now printed as %s", name, outcome)
		}
	}
	for got, want := range map[journal.Outcome]string{
		journal.OutcomeDelivered: "delivered",
		journal.OutcomeAnswered:  "answered",
		journal.OutcomeGivenUp:   "given_up",
		journal.OutcomeReturned:  "handed_back",
	} {
		if string(got) != want {
			t.Errorf("the journal outcome that is released as %s is now written as %s", want, got)
		}
	}
	if journal.FileName != "messages.journal" {
		t.Errorf("the journal file is named %s, want messages.journal", journal.FileName)
	}
}

func TestMetricsHaveTheReleasedNames(t *testing.T) {
	registry := metrics.New([]string{"safe", "keyed"}, invariant.RuleNames()...)
	registry.MessageSucceeded("safe")
	registry.MessageDeclined("safe")
	registry.MessageDeclined("unsafe")
	registry.MessageAborted("keyed")
	registry.MessagesForwarded(3)
	registry.ConfigReloaded(true)
	registry.ConfigReloaded(false)
	registry.SetGauges(metrics.Gauges{Outstanding: 4, Discovered: 5, Ejected: 6})
	for _, kind := range []metrics.ReasonKind{
		metrics.ReasonViolation, metrics.ReasonClosed, metrics.ReasonRejected, metrics.ReasonRetried,
		metrics.ReasonAccept, metrics.ReasonDropped, metrics.ReasonDiscovery,
	} {
		registry.CountReason(kind, "why")
	}
	var dump bytes.Buffer
	registry.Dump(&dump)
	golden.Compare(t, "admin/dump.txt", dump.String())
}

func TestReasonsHaveTheReleasedNames(t *testing.T) {
	reasons := []string{
		endpoint.DroppedAbandoned, endpoint.DroppedUnwritten, endpoint.DroppedUnread, endpoint.DroppedIncomplete,
		discovery.ReasonMoved, discovery.ReasonHedged, discovery.ReasonRejected, discovery.ReasonSilent,
		discovery.ReasonStale,
	}
	golden.Compare(t, "admin/reasons.txt", strings.Join(reasons, "\n")+"\n")
}
