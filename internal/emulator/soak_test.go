package emulator

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// senderVariable makes the test's own program one of the senders.
const senderVariable = "EMULATOR_TEST_SENDER"

func TestMain(m *testing.M) {
	if os.Getenv(senderVariable) != "" {
		if err := RunSender(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

const testSenders = 8

// playRun plays a run of few senders and fails for each violation.
func playRun(t *testing.T, o Options) *Report {
	t.Helper()
	o.Senders, o.Destinations, o.Rate, o.Directory = testSenders, 5, 8, t.TempDir()
	o.Command = Command{Path: os.Args[0], Env: []string{senderVariable + "=1", "GORACE=atexit_sleep_ms=0"}}
	o.Tolerance = 250 * time.Millisecond // beside other tests, and with the race detector
	report, err := Run(o)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range report.Violations {
		t.Error(v)
	}
	if t.Failed() {
		for _, fault := range report.Plan {
			t.Log(fault)
		}
	}
	if report.Counts["delivered"] < report.Counts["submissions"]/4 {
		t.Errorf("hardly anything is delivered: %v", report.Counts)
	}
	return report
}

// A short soak by plans in which faults of all kinds overlap; the last three have connection floods beside upgrades.
// Longer ones are played by the command soak.
func TestShortSoak(t *testing.T) {
	t.Parallel()
	for seed, load := range map[uint64]time.Duration{
		2:  11 * time.Second,
		3:  11 * time.Second,
		16: 14 * time.Second,
		22: 14 * time.Second,
		58: 14 * time.Second,
	} {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			playRun(t, Options{Seed: seed, LoadDuration: load, FaultKinds: AllFaultKinds})
		})
	}
}
