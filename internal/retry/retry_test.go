package retry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

func TestIsTransient(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		err  error
		want bool
	}{
		{err: nil, want: false},
		{err: syscall.EMFILE, want: true},
		{err: syscall.EADDRINUSE, want: true},
		{err: fmt.Errorf("state: %w", &fs.PathError{Op: "open", Path: "/x", Err: syscall.EIO}), want: true},
		{err: errors.Join(errors.New("other"), os.NewSyscallError("accept", syscall.ENOBUFS)), want: true},
		{err: syscall.ENOSPC, want: false},
		{err: syscall.EACCES, want: false},
		{err: os.ErrNotExist, want: false},
		{err: errors.New("other"), want: false},
	} {
		t.Run(fmt.Sprint(c.err), func(t *testing.T) {
			t.Parallel()
			if got := IsTransient(c.err); got != c.want {
				t.Errorf("IsTransient returns %v", got)
			}
		})
	}
}

func TestOnTransientRepeatsTransientErrorsOnly(t *testing.T) {
	t.Parallel()
	permanent := errors.New("permanent")
	for name, c := range map[string]struct {
		results     []error // of the calls, one after the other
		contextDone bool
		want        error
		wantCalls   int
		wantLines   int // in the log
	}{
		"success":         {results: []error{nil}, wantCalls: 1},
		"permanent error": {results: []error{permanent}, want: permanent, wantCalls: 1},
		"transient error, then success": {
			results: []error{syscall.EIO, nil}, wantCalls: 2, wantLines: 1,
		},
		"two transient errors, then success": {
			results: []error{syscall.EIO, syscall.EMFILE, nil}, wantCalls: 3, wantLines: 1,
		},
		"transient error, then a permanent one": {
			results: []error{syscall.EIO, permanent}, want: permanent, wantCalls: 2, wantLines: 1,
		},
		"transient error after the end of the context": {
			results: []error{syscall.EIO}, contextDone: true, want: syscall.EIO, wantCalls: 1, wantLines: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if c.contextDone {
				cancel()
			}
			var log bytes.Buffer
			calls := 0
			err := OnTransient(ctx, slog.New(slog.NewTextHandler(&log, nil)), "the operation", func() error {
				calls++
				return c.results[calls-1]
			})
			if !errors.Is(err, c.want) || calls != c.wantCalls {
				t.Errorf("%d calls, want %d; error %v, want %v", calls, c.wantCalls, err, c.want)
			}
			if lines := strings.Count(log.String(), "\n"); lines != c.wantLines {
				t.Errorf("the log has %d lines, want %d:\n%s", lines, c.wantLines, &log)
			}
		})
	}
}

func TestOnTransientWaitsBetweenCalls(t *testing.T) {
	t.Parallel()
	var calledAt []time.Time
	err := OnTransient(context.Background(), slog.New(slog.DiscardHandler), "the operation", func() error {
		calledAt = append(calledAt, time.Now())
		if len(calledAt) < 4 {
			return syscall.EAGAIN
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []time.Duration{initialBackoff, 2 * initialBackoff, 4 * initialBackoff} {
		if got := calledAt[i+1].Sub(calledAt[i]); got < want {
			t.Errorf("waited %v before retry %d, want at least %v", got, i+1, want)
		}
	}
}

func TestWaits(t *testing.T) {
	t.Parallel()
	const duration = 20 * time.Millisecond
	for name, c := range map[string]struct {
		wait        func(context.Context, time.Duration) bool
		minDuration time.Duration
	}{
		"Wait":         {wait: Wait, minDuration: duration},
		"WaitJittered": {wait: WaitJittered, minDuration: duration / 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			started := time.Now()
			if !c.wait(context.Background(), duration) {
				t.Error("the wait reports that the context ended")
			}
			if elapsed := time.Since(started); elapsed < c.minDuration {
				t.Errorf("the wait returned after %v", elapsed)
			}
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			if c.wait(ctx, time.Hour) {
				t.Error("the wait reports that the context did not end")
			}
		})
	}
}
