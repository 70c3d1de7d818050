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

var updateGolden = flag.Bool("update", false, "write the golden files anew")

// compareGolden compares a text with a file of testdata.
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
		t.Errorf("%s differs from what was recorded:\n%s", name, got)
	}
}

// planText is a plan in a form without names: kinds are their places in the list that plans are drawn from.
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

// A seed plays the same day as it did at the release whose plans were recorded.
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
	for first := range AllFaultKinds { // a plan of each kind alone
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

// The clients of a seed submit the same messages in the same order.
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

// The configuration that senders get is as recorded.
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

// The names that kinds of faults had in soak's options before stand for the kinds that have new names.
func TestFormerNamesOfFaultKindsAreAccepted(t *testing.T) {
	t.Parallel()
	former := []string{
		"endpoints hang", "endpoints fail", "endpoints are shut", "endpoints tell waits", "endpoints break connections",
		"endpoints babble", "endpoints are replaced", "links come up late", "links are cut", "links reset",
		"links pass little at a time", "clients send little at a time", "discovery is silent", "watches are lost",
		"senders are terminated", "senders are killed", "senders are reloaded", "senders are held up",
		"senders are upgraded", "senders are killed at an answer", "descriptors are short", "clocks go forward",
		"clocks go back", "disks are full", "disks have errors", "disks tear writes", "accept fails",
		"connect fails", "files cannot be opened", "clients crowd",
	}
	if len(former) != len(AllFaultKinds) {
		t.Fatalf("%d former names for %d kinds", len(former), len(AllFaultKinds))
	}
	for i, want := range AllFaultKinds {
		for _, name := range []string{former[i], string(want)} {
			if got, err := ParseFaultKind(name); err != nil || got != want {
				t.Errorf("%q is read as %q, %v; want %q", name, got, err, want)
			}
		}
	}
	if kind, err := ParseFaultKind("no such kind"); err == nil {
		t.Errorf("an unknown name is read as %q", kind)
	}
}
