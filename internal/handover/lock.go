package handover

import (
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"syscall"
)

// LockStateDir tries to take the lock on a state directory. It returns the lock file, whose closing releases the lock,
// or nil without an error if another process holds the lock.
func LockStateDir(dir string) (*os.File, error) {
	lock, err := os.Open(dir)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return lock, nil
	}
	_ = lock.Close() // it was opened for reading only
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, nil
	}
	return nil, err
}

// WithSocket calls use with the path of the Unix socket on which the lock owner listens for a successor. The socket is
// in the temporary directory, because files in the state directory are kept and count towards the disk limit. The
// length of a socket's path is limited, so the path refers to the directory by its descriptor.
func WithSocket(stateDir string, use func(path string) error) error {
	if abs, err := filepath.Abs(stateDir); err == nil {
		stateDir = abs
	}
	hash := fnv.New64a()
	hash.Write([]byte(stateDir))
	dir, err := os.Open(os.TempDir())
	if err != nil {
		return err
	}
	defer dir.Close()
	return use(fmt.Sprintf("/proc/self/fd/%d/saffronyard-%016x.sock", dir.Fd(), hash.Sum64()))
}
