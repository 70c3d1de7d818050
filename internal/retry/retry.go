// Package retry retries operations that fail with transient errors of the operating system, and waits with a context.
//
// It has no state. The sender uses it for the state directory, sockets and the configuration; the discovery client uses
// its waits.
package retry

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"syscall"
	"time"
)

const (
	// maxElapsed is the maximum duration of the retries of one operation: a sender must be ready within 30 s.
	maxElapsed     = 20 * time.Second
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 200 * time.Millisecond
)

// transientErrors are the errors of system calls that may succeed a moment later: the machine lacks a resource, or a
// signal, a device or the network caused the failure.
var transientErrors = []error{
	syscall.EADDRINUSE,
	syscall.EADDRNOTAVAIL,
	syscall.EAGAIN,
	syscall.ECONNABORTED,
	syscall.EHOSTUNREACH,
	syscall.EINTR,
	syscall.EIO,
	syscall.EMFILE,
	syscall.ENETDOWN,
	syscall.ENETUNREACH,
	syscall.ENFILE,
	syscall.ENOBUFS,
	syscall.ENOLCK,
	syscall.ENOMEM,
	syscall.ETIMEDOUT,
}

// IsTransient reports whether err is, or wraps, an error after which a retry may succeed.
func IsTransient(err error) bool {
	for _, transient := range transientErrors {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// OnTransient calls operation until it succeeds, fails with an error that is not transient, or has failed for 20 s. It
// backs off exponentially between calls and stops early when ctx ends. It returns the last error of operation. what is
// the name of the operation in the log.
func OnTransient(ctx context.Context, log *slog.Logger, what string, operation func() error) error {
	began := time.Now()
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		err := operation()
		if err == nil || !IsTransient(err) || time.Since(began) > maxElapsed {
			return err
		}
		if backoff == initialBackoff {
			log.Warn("retrying after a transient error", "what", what, "err", err)
		}
		if !Wait(ctx, backoff) {
			return err
		}
	}
}

// Wait waits for d. It reports false if ctx ended first.
func Wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// WaitJittered waits for a random time between half of d and d, so that many senders do not act at the same moment. It
// reports false if ctx ended first.
func WaitJittered(ctx context.Context, d time.Duration) bool {
	return Wait(ctx, d/2+rand.N(d/2+1))
}
