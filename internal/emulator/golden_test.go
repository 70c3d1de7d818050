package emulator

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

var updateGolden = flag.Bool("update", false, "rewrite the golden files")

// compareGolden compares a text with a file under testdata, after rewriting that file if the flag update is set.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *updateGolden {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("output differs from the golden file %s:\n%s", name, got)
	}
}

// planText formats a plan without the names of kinds, which may change. Each kind is written as its index in the list
// that plans are drawn from, and each affected sender with its first random numbers for signals.
func planText(o Options, plan []Fault) string {
	var b strings.Builder
	for _, f := range plan {
		fmt.Fprintf(&b, "kind %d from %d until %d destination %d senders %v step %d",
			slices.Index(AllFaultKinds, f.Kind), f.From, f.Until, f.Destination, f.Senders, f.Step)
		for _, i := range f.Senders {
			random := f.signalRandom(o.Seed, i)
			fmt.Fprintf(&b, " %d:%d,%d,%d", i, random.IntN(3), random.IntN(2), random.Int64N(1_000_000))
		}
		b.WriteString("\n")
	}
	return b.String()
}

// A seed draws the same plan as in the release whose plans were recorded, so that a run that failed can be repeated by
// its seed. A change of the draws or of their order, or of the kinds' order, makes this test fail.
func TestPlansOfASeedAreAsRecorded(t *testing.T) {
	t.Parallel()
	var b strings.Builder
	for seed := uint64(1); seed <= 8; seed++ {
		for _, senders := range []int{testSenders, 24} {
			o := Options{
				Seed:         seed,
				Senders:      senders,
				Destinations: 6,
				LoadDuration: 20 * time.Second,
				FaultKinds:   AllFaultKinds,
			}
			fmt.Fprintf(&b, "seed %d senders %d\n%s", seed, senders, planText(o, drawPlan(o)))
		}
	}
	for first := range AllFaultKinds { // one plan for each kind alone
		o := Options{
			Seed:         99,
			Senders:      16,
			Destinations: 5,
			LoadDuration: 9 * time.Second,
			FaultKinds:   AllFaultKinds[first : first+1],
		}
		fmt.Fprintf(&b, "kind %d alone\n%s", first, planText(o, drawPlan(o)))
	}
	compareGolden(t, "plans.txt", b.String())
}

// The clients of a seed submit the same messages in the same order as in the release whose messages were recorded.
func TestMessagesOfASeedAreAsRecorded(t *testing.T) {
	t.Parallel()
	var b strings.Builder
	for sender := range 3 {
		c := NewClients(NewHistory(), DefaultParameters(), sender, "", zipfShares(6), 8, 7)
		for range 60 {
			s := c.drawSubmission()
			request := strings.ReplaceAll(requestText(s, messageBody(s)), "\r\n", "|")
			fmt.Fprintf(&b, "%s %s effect %d destination %d sender %d for %d\n%s\n",
				s.ID, s.Key, int(s.Class), s.Destination, s.Sender, s.DeliveryTimeout, request)
		}
	}
	compareGolden(t, "messages.txt", b.String())
}

// The configuration of a sender, with a pushed and with a polled endpoint list, is the same as in the release whose
// configurations were recorded.
func TestConfigurationIsAsRecorded(t *testing.T) {
	t.Parallel()
	servers := []Server{{ID: "e0-0", Addr: "127.0.0.1:1", Zone: "a", Kind: "shared", State: Serving, Weight: 1}}
	var b strings.Builder
	for _, pollsEndpointList := range []bool{false, true} {
		spec := ProcessSpec{
			Number:     5,
			Senders:    24,
			Parameters: DefaultParameters(),
			Agent:      NewAgent(NewHistory(), 5, pollsEndpointList, nil),
			Known:      List{Version: 3, Full: true, Servers: servers},
		}
		text, err := json.MarshalIndent(senderConfig(spec, "127.0.0.1:2", "state"), "", " ")
		if err != nil {
			t.Fatal(err)
		}
		b.Write(append(text, '\n'))
	}
	compareGolden(t, "config.json", b.String())
}

// ParseFaultKind accepts the former name and the current name of each kind, because write-ups of earlier runs quote the
// former ones. It rejects unknown names.
func TestFormerNamesOfFaultKindsAreAccepted(t *testing.T) {
	t.Parallel()
	formerNames := []string{
		"endpoints hang", "endpoints fail", "endpoints are shut", "endpoints tell waits", "endpoints break connections",
		"endpoints babble", "endpoints are replaced", "links come up late", "links are cut", "links reset",
		"links pass little at a time", "clients send little at a time", "discovery is silent", "watches are lost",
		"senders are terminated", "senders are killed", "senders are reloaded", "senders are held up",
		"senders are upgraded", "senders are killed at an answer", "descriptors are short", "clocks go forward",
		"clocks go back", "disks are full", "disks have errors", "disks tear writes", "accept fails",
		"connect fails", "files cannot be opened", "clients crowd",
	}
	if len(formerNames) != len(AllFaultKinds) {
		t.Fatalf("%d former names for %d kinds", len(formerNames), len(AllFaultKinds))
	}
	for i, want := range AllFaultKinds {
		for _, name := range []string{formerNames[i], string(want)} {
			if got, err := ParseFaultKind(name); err != nil || got != want {
				t.Errorf("ParseFaultKind(%q) = %q, %v; want %q", name, got, err, want)
			}
		}
	}
	if kind, err := ParseFaultKind("no such kind"); err == nil {
		t.Errorf("ParseFaultKind returns %q for an unknown name, want an error", kind)
	}
}
