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
	logQueueLength  = 1024                   // lines that wait to be written
	logFlushTimeout = 100 * time.Millisecond // at the end of the process, for those to be written
)

// logWriter writes lines to a destination that may block or be closed, and never blocks its caller: lines for which the
// queue is full are dropped, and their number is written once there is room again.
type logWriter struct {
	destination io.Writer
	lines       chan logLine
	dropped     atomic.Int64
}

// logLine is a line to be written or, with flushed, a mark in the queue.
type logLine struct {
	text    []byte
	flushed chan struct{} // closed when all lines before it are written
}

// newLogWriter starts a writer. Its goroutine ends with the process only: a write that blocks cannot be ended.
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
		// Where a write fails there is nobody left to report that to.
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.destination, "level=WARN msg=\"log lines dropped\" lines=%d\n", n)
		}
		_, _ = w.destination.Write(line.text)
	}
}

// Write queues a line. It reports success also where the line is dropped.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- logLine{text: append([]byte(nil), line...)}:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// flush waits until what is queued has been written, at most for logFlushTimeout.
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

// NewLogger logs to standard error, from the level that EDGE_LOG_LEVEL names, else from info. At debug level each
// message's way is logged under its ID. The caller calls flush before the process ends.
func NewLogger() (log *slog.Logger, flush func()) {
	var level slog.Level
	if level.UnmarshalText([]byte(os.Getenv("EDGE_LOG_LEVEL"))) != nil {
		level = slog.LevelInfo
	}
	w := newLogWriter(os.Stderr)
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level})), w.flush
}
