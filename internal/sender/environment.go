package sender

import (
	"net"
	"os"
	"syscall"
	"time"

	"onyxdyke.example/onyxdyke/internal/journal"
)

// Environment holds the parts of the operating system that a sender uses and that may fail or be wrong: the wall clock,
// files, the listener for clients, and the sockets to endpoints and to discovery. Tests and the soak command replace
// some of them by parts that fail.
type Environment struct {
	// Wall returns the time of the wall clock, which may be stepped at any time.
	Wall func() time.Time
	// Files gives access to the state directory.
	Files FileSystem
	// ReadFile reads the configuration.
	ReadFile func(path string) ([]byte, error)
	// WrapListener wraps each listener for clients. It may be nil.
	WrapListener func(net.Listener) net.Listener
	// Control is called for each socket before it connects to an endpoint or to discovery. It may be nil.
	Control func(network, address string, c syscall.RawConn) error
	// LimitMemory limits the memory of Go's runtime to a number of bytes. It may be nil.
	LimitMemory func(bytes int64)
}

// OperatingSystem returns the environment of a sender in production.
func OperatingSystem() Environment {
	return Environment{Wall: time.Now, Files: journal.OSFileSystem{}, ReadFile: os.ReadFile}
}

// File is a file in the state directory.
type File = journal.File

// FileSystem gives access to the state directory.
type FileSystem = journal.FileSystem
