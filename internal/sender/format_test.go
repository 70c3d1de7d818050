package sender

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"onyxdyke.example/onyxdyke/internal/discovery"
	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/invariant"
	"onyxdyke.example/onyxdyke/internal/journal"
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
	for got, want := range map[string]string{journal.OutcomeDelivered: "delivered", journal.OutcomeAnswered: "answered", journal.OutcomeGivenUp: "given_up", journal.OutcomeReturned: "handed_back",
		journal.FileName: "messages.journal"} {
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
	f := metrics.New([]string{"safe", "keyed"}, invariant.RuleNames()...)
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
	words := []string{droppedRecalled, droppedUnwritten, droppedUnread, droppedIncomplete, discovery.ReasonMoved,
		discovery.ReasonHedged, discovery.ReasonRejected, discovery.ReasonSilent, discovery.ReasonStale}
	golden(t, "admin/reasons.txt", strings.Join(words, "\n")+"\n")
}
