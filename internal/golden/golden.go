// Package golden compares texts with files that an earlier release wrote. It serves the tests of formats that outlive a
// release. Nothing rewrites the files.
package golden

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Compare compares a text with the file called name under testdata. It reports each line that differs as a failure of
// the test.
func Compare(t testing.TB, name, got string) {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", filepath.FromSlash(name)))
	if err != nil {
		t.Fatal(err)
	}
	if string(raw) == got {
		return
	}
	wantLines, gotLines := strings.Split(string(raw), "\n"), strings.Split(got, "\n")
	for i := range max(len(wantLines), len(gotLines)) {
		if want, line := lineAt(wantLines, i), lineAt(gotLines, i); want != line {
			t.Errorf("%s, line %d:\n want %s\n got  %s", name, i+1, want, line)
		}
	}
}

// lineAt returns the line with an index, or the empty string past the last line.
func lineAt(lines []string, index int) string {
	if index < len(lines) {
		return lines[index]
	}
	return ""
}
