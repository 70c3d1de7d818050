package sender

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync/atomic"
	"time"
)

const (
	logRoom  = 1024                   // lines on their way
	logFlush = 100 * time.Millisecond // at the end, for those to be written
)

// logWriter writes lines to a destination that may stand still or be gone, and never holds its caller up: lines for
// which there is no room are dropped, and their number is written when there is room again.
type logWriter struct {
	to      io.Writer
	lines   chan logLine
	dropped atomic.Int64
}

// logLine is a line to be written or, with done, a mark that is closed when it is reached.
type logLine struct {
	text []byte
	done chan struct{}
}

func newLogWriter(to io.Writer) *logWriter {
	w := &logWriter{to: to, lines: make(chan logLine, logRoom)}
	go w.run()
	return w
}

func (w *logWriter) run() {
	for line := range w.lines {
		if line.done != nil {
			close(line.done)
			continue
		}
		if n := w.dropped.Swap(0); n > 0 {
			fmt.Fprintf(w.to, "level=WARN msg=\"log lines dropped\" lines=%d\n", n)
		}
		w.to.Write(line.text) // nobody could be told that it fails
	}
}

// Write takes a line. It reports success also where the line is dropped.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- logLine{text: append([]byte(nil), line...)}:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// flush waits a moment until what was taken has been written.
func (w *logWriter) flush() {
	timeout := time.After(logFlush)
	mark := logLine{done: make(chan struct{})}
	select {
	case w.lines <- mark:
	case <-timeout:
		return
	}
	select {
	case <-mark.done:
	case <-timeout:
	}
}

// NewLogger writes to standard error from the level that EDGE_LOG_LEVEL names, else from info. At debug each message is
// followed by its id. flush is to be called before the process ends.
func NewLogger() (log *slog.Logger, flush func()) {
	var level slog.Level
	if level.UnmarshalText([]byte(os.Getenv("EDGE_LOG_LEVEL"))) != nil {
		level = slog.LevelInfo
	}
	w := newLogWriter(os.Stderr)
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})), w.flush
}
