package journal

import (
	"os"
	"testing"
)

// A kill within a compaction leaves the old file as it was, and beside it a part of the new one, which is never read.
func TestKillWithinACompactionLosesNothing(t *testing.T) {
	t.Parallel()
	directory := t.TempDir()
	j := openTest(t, directory, 1<<20)
	acceptTest(t, j, "a")
	raw := readFile(t, j.path)
	for n := range raw {
		writeFile(t, j.path+".new", raw[:n])
		again := openTest(t, directory, 1<<20)
		if len(again.byID) != 1 || again.byID["a"] == nil {
			t.Fatalf("%d bytes of a new file: the journal has %v", n, again.byID)
		}
		closeTest(t, again)
		if _, err := os.Stat(j.path + ".new"); err == nil {
			t.Fatal("the part is left on the disk")
		}
	}
}
