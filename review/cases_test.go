// Package review has the cases of an independent review, each with a claim and a script that shows it.
package review

import (
	"os"
	"os/exec"
	"testing"
)

// runCase runs a case's script, and fails the test if the script finds its rule broken. It runs only where REVIEW_CASES
// is 1, after the deploy file's build and build.sh: the cases show faults that are open.
func runCase(t *testing.T, number string) {
	t.Helper()
	if os.Getenv("REVIEW_CASES") != "1" {
		t.Skip("REVIEW_CASES is not 1")
	}
	output, err := exec.Command("sh", number+"/run.sh").CombinedOutput()
	if err != nil {
		t.Errorf("case %s: %v\n%s", number, err, output)
	}
}

// Messages are ended by notices in time when the connections to the agent fall silent.
func TestReviewCase1(t *testing.T) { runCase(t, "1") }

// A message is never in two calls at once when a new process dies in an upgrade.
func TestReviewCase2(t *testing.T) { runCase(t, "2") }

// Messages are ended by notices in time that were handed in while a killed sender was down.
func TestReviewCase3(t *testing.T) { runCase(t, "3") }
