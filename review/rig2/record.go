package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the lines of a case's record, each with the time since the case's start.
type recorder struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
}

// newRecorder creates a case's record.
func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: file}, nil
}

// printf writes a line that tells what happened now.
func (r *recorder) printf(format string, args ...any) { r.printAt(time.Now(), format, args...) }

// printAt writes a line that tells what happened at a time.
func (r *recorder) printAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintf(r.file, "%9.3f %s\n", at.Sub(r.start).Seconds(), text)
}

// close closes the record.
func (r *recorder) close() { _ = r.file.Close() }
