package sender

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"onyxdyke.example/onyxdyke/internal/retry"
)

// The lock on the state folder, and where its holder listens for a newcomer.

// lockFolder takes the lock on the state folder; nil if another process holds it.
func lockStateDir(dir string) (*os.File, error) {
	f, err := os.Open(dir)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return f, nil
	}
	f.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, nil
	}
	return nil, err
}

// tryLock takes the lock on the state folder, nil if another process holds it.
func (s *Sender) tryLock(ctx context.Context) (lock *os.File, err error) {
	err = retry.OnTransient(ctx, s.log, "the lock on the state folder", func() (err error) {
		lock, err = lockStateDir(s.stateDir)
		return err
	})
	return lock, err
}

// socketAt calls use with the path of the holder's socket. It stands in the temporary folder, as what stands in
// the state folder is kept and counted. A socket's path is short, so a long one is reached through its folder.
func withHandOverSocket(state string, use func(path string) error) error {
	if abs, err := filepath.Abs(state); err == nil {
		state = abs
	}
	h := fnv.New64a()
	h.Write([]byte(state))
	dir, err := os.Open(os.TempDir())
	if err != nil {
		return err
	}
	defer dir.Close()
	return use(fmt.Sprintf("/proc/self/fd/%d/saffronyard-%016x.sock", dir.Fd(), h.Sum64()))
}

// relock waits for the lock that a dead successor has left, and gives it to the loop.
func (s *Sender) waitForLock(ctx context.Context) {
	for {
		if lock, err := s.tryLock(ctx); lock != nil || err != nil {
			s.post(ctx, lockAcquiredEvent{lock})
			return
		}
		select {
		case <-time.After(lockPollInterval):
		case <-ctx.Done():
			return
		}
	}
}
