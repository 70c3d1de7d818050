package journal

import (
	"os"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/clock"
)

// openJournal opens the journal in a directory, as a process does after the previous one was killed.
func openJournal(t *testing.T, directory string, budget int64) *Journal {
	t.Helper()
	j, err := Open(OSFileSystem{}, clock.New(time.Now()), directory, budget)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// acceptMessage accepts a message whose key and body are derived from its id.
func acceptMessage(t *testing.T, j *Journal, id string) *Message {
	t.Helper()
	return acceptRecord(t, j, Record{
		ID: id, Class: "keyed", Key: "k" + id, Destination: 3, Deadline: 99, Body: []byte("body " + id),
	})
}

// acceptRecord accepts a message and fails the test on an error.
func acceptRecord(t *testing.T, j *Journal, r Record) *Message {
	t.Helper()
	m, err := j.Accept(r)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func flushJournal(t *testing.T, j *Journal) {
	t.Helper()
	if err := j.Flush(); err != nil {
		t.Fatal(err)
	}
}

func closeJournal(t *testing.T, j *Journal) {
	t.Helper()
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func writeFile(t *testing.T, path string, raw []byte) {
	t.Helper()
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
}
