package sender

import (
	"net"
	"os"
	"syscall"
	"time"

	"onyxdyke.example/onyxdyke/internal/journal"
)

// Environment is what a sender gets from its operating system where that may fail or be wrong: clocks, the state
// directory, the clients' listener and sockets to endpoints. Tests and the soak command replace parts of it by ones
// that fail.
type Environment struct {
	// Wall is the wall clock. It may be stepped at any time.
	Wall func() time.Time
	// Files gives access to the state directory.
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
	return Environment{Wall: time.Now, Files: journal.OSFileSystem{}, ReadFile: os.ReadFile}
}

// File is a file in the state directory.
type File = journal.File

// FileSystem gives access to the state directory.
type FileSystem = journal.FileSystem
