package handover

import (
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"syscall"
)

// The lock on the state folder, and where its holder listens for a newcomer.

// lockFolder takes the lock on the state folder; nil if another process holds it.
func LockStateDir(dir string) (*os.File, error) {
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

// socketAt calls use with the path of the holder's socket. It stands in the temporary folder, as what stands in
// the state folder is kept and counted. A socket's path is short, so a long one is reached through its folder.
func WithSocket(state string, use func(path string) error) error {
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
