package sender

import (
	"context"
	"errors"
	"log/slog"
	"syscall"
	"time"
)

// transientErrors are those of system calls that may be gone a moment later: the machine is short of something, or a
// signal, a device or the network came in between.
var transientErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.EAGAIN,
	syscall.EIO, syscall.ENOLCK, syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.ENETDOWN, syscall.ENETUNREACH,
	syscall.EHOSTUNREACH, syscall.ECONNABORTED, syscall.ETIMEDOUT}

func isTransient(err error) bool {
	for _, t := range transientErrors {
		if errors.Is(err, t) {
			return true
		}
	}
	return false
}

const (
	keepTryingFor  = 20 * time.Second // a sender is expected to be ready within 30 s
	keepTryingRest = 20 * time.Millisecond
	keepTryingMost = 200 * time.Millisecond // the rest doubles up to this
)

// keepTrying calls f until it works, fails for good, or has failed for keepTryingFor; it gives up early when ctx ends.
func keepTrying(ctx context.Context, log *slog.Logger, what string, f func() error) error {
	began := time.Now()
	for rest := keepTryingRest; ; rest = min(2*rest, keepTryingMost) {
		err := f()
		if err == nil || !isTransient(err) || time.Since(began) > keepTryingFor {
			return err
		}
		if rest == keepTryingRest {
			log.Warn("tried again", "what", what, "err", err)
		}
		if !wait(ctx, rest) {
			return err
		}
	}
}
