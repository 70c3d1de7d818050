package sender

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// Environment is what a sender takes from its operating system where that may fail or mislead: clocks, the state
// folder, the clients' listener and sockets to endpoints. Tests and the soak command replace parts of it by failing ones.
type Environment struct {
	// Wall is the wall clock. It may be stepped at any time.
	Wall func() time.Time
	// Files gives access to the state folder.
	Files FileSystem
	// ReadFile reads the configuration.
	ReadFile func(path string) ([]byte, error)
	// WrapListener is applied to each listener for clients; nil for none.
	WrapListener func(net.Listener) net.Listener
	// Control is called for each socket before it connects to an endpoint or to discovery; nil for none.
	Control func(network, address string, c syscall.RawConn) error
}

// OperatingSystem is the environment of a sender in service.
func OperatingSystem() Environment {
	return Environment{Wall: time.Now, Files: osFiles{}, ReadFile: os.ReadFile}
}

// File is an open file of the state folder.
type File interface {
	io.Reader
	io.Writer
	io.Closer
}

// FileSystem is the part of a file system that the journal needs. Its errors are those of package os.
type FileSystem interface {
	OpenFile(path string, flag int, mode os.FileMode) (File, error)
	Rename(from, to string) error
	Remove(path string) error
}

// osFiles is the operating system's file system.
type osFiles struct{}

func (osFiles) OpenFile(path string, flag int, mode os.FileMode) (File, error) {
	f, err := os.OpenFile(path, flag, mode)
	if err != nil {
		return nil, err // a nil *os.File would be a File that is not nil
	}
	return f, nil
}

func (osFiles) Rename(from, to string) error { return os.Rename(from, to) }

func (osFiles) Remove(path string) error { return os.Remove(path) }
