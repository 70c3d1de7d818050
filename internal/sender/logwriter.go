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
	logQueueLength  = 1024                   // in lines
	logFlushTimeout = 100 * time.Millisecond // how long the end of the process waits for queued lines
)

// logWriter writes lines to a destination that may block or be closed, and never blocks its caller. While the queue is
// full, lines are dropped; their number is written before the next line that is written.
type logWriter struct {
	destination io.Writer
	lines       chan logLine
	dropped     atomic.Int64
}

// logLine is a line to be written or, if flushed is set, a marker in the queue.
type logLine struct {
	text    []byte
	flushed chan struct{} // closed when all lines before it are written
}

// newLogWriter starts a writer. Its goroutine runs until the process ends, because a write that blocks cannot be
// interrupted.
func newLogWriter(destination io.Writer) *logWriter {
	w := &logWriter{destination: destination, lines: make(chan logLine, logQueueLength)}
	go w.run()
	return w
}

func (w *logWriter) run() {
	for line := range w.lines {
		if line.flushed != nil {
			close(line.flushed)
			continue
		}
		// The errors of writes are ignored: there is no other place to report them.
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.destination, "level=WARN msg=\"log lines dropped\" lines=%d\n", n)
		}
		_, _ = w.destination.Write(line.text)
	}
}

// Write queues a line. It reports success even if the line is dropped.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- logLine{text: append([]byte(nil), line...)}:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// flush waits until the queued lines have been written, for at most logFlushTimeout.
func (w *logWriter) flush() {
	timeout := time.After(logFlushTimeout)
	mark := logLine{flushed: make(chan struct{})}
	select {
	case w.lines <- mark:
	case <-timeout:
		return
	}
	select {
	case <-mark.flushed:
	case <-timeout:
	}
}

// NewLogger returns a logger to standard error, and a function that the caller must call before the process ends. The
// lowest level that is logged is the one that EDGE_LOG_LEVEL names, or info. At debug level the log shows under a
// message's ID what happens to it.
func NewLogger() (log *slog.Logger, flush func()) {
	var level slog.Level
	if level.UnmarshalText([]byte(os.Getenv("EDGE_LOG_LEVEL"))) != nil {
		level = slog.LevelInfo
	}
	w := newLogWriter(os.Stderr)
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})), w.flush
}
