// Package golden compares texts with files that an earlier release wrote. Tests of the formats that outlive a release
// use it; nothing rewrites the files.
package golden

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Compare fails the test where a text differs from a file under testdata, with each line that does.
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

// lineAt is a line by its index, empty behind the last one.
func lineAt(lines []string, index int) string {
	if index < len(lines) {
		return lines[index]
	}
	return ""
}
