package emulator

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// senderVariable is the environment variable that makes the test binary run as a sender.
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

// runAndCheck performs a run with few senders. It fails the test for each violation, and if less than a quarter of the
// messages is delivered, as such a run shows little.
func runAndCheck(t *testing.T, o Options) *Report {
	t.Helper()
	o.Senders, o.Destinations, o.Rate = testSenders, 5, 8
	if o.Directory == "" {
		o.Directory = t.TempDir()
	}
	o.Command = Command{Path: os.Args[0], Env: []string{senderVariable + "=1", "GORACE=atexit_sleep_ms=0"}}
	o.Tolerance = 250 * time.Millisecond // for other tests that run at the same time, and for the race detector
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
		t.Errorf("less than a quarter of the messages was delivered: %v", report.Counts)
	}
	return report
}

// Short runs violate no invariant under plans in which faults of all kinds overlap. The plans of the last three seeds
// combine connection floods with upgrades. The command soak performs longer runs.
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
			runAndCheck(t, Options{Seed: seed, LoadDuration: load, FaultKinds: AllFaultKinds})
		})
	}
}

// Guards against messages that are lost or in two calls at once where endpoints send more than their answers, where the
// connections to the agents fall silent, and where the new processes of upgrades are killed, beside hanging endpoints
// and kills.
func TestSoakOfTheReviewsFaults(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{437, 449} {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			kinds := append([]FaultKind{EndpointsHang, SendersKilled, SendersUpgraded}, SelectableFaultKinds...)
			runAndCheck(t, Options{
				Seed: seed, LoadDuration: 12 * time.Second, FaultKinds: kinds, Directory: memoryDirectory(t),
			})
		})
	}
}

// memoryDirectory returns a directory in memory where the machine has one, as a disk may stall all processes for longer
// than a client waits when many of them start at the same time.
func memoryDirectory(t *testing.T) string {
	t.Helper()
	directory, err := os.MkdirTemp("/dev/shm", "soak")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(directory) }) // what cannot be removed stays
	return directory
}
