package emulator

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"onyxdyke.example/onyxdyke/internal/sender"
)

// shimVariable is the name of the environment variable that holds the shims of a process as JSON.
const shimVariable = "SOAK_SHIMS"

// ShimKind is a kind of fault that a sender's process injects into its own system calls.
type ShimKind string

// The kinds of shims.
const (
	ShimWallStep  ShimKind = "wall_step"  // from From on, the wall clock is off by Step
	ShimDiskFull  ShimKind = "disk_full"  // writes to the state directory fail with ENOSPC
	ShimDiskError ShimKind = "disk_error" // writes to the state directory fail with EIO
	ShimTornWrite ShimKind = "torn_write" // writes to the state directory write the first half and fail with ENOSPC
	ShimAccept    ShimKind = "accept"     // every second accept fails
	ShimConnect   ShimKind = "connect"    // sockets cannot be connected
	ShimRead      ShimKind = "read"       // the configuration and the journal cannot be opened (ENFILE)
)

// Shim is a fault of some kind in a span of time. The span is given by the machine's monotonic clock (ns), which is the
// same for every process.
type Shim struct {
	Kind  ShimKind
	From  int64
	Until int64         // not used by ShimWallStep
	Step  time.Duration // used by ShimWallStep only
}

// monotonicNow returns the time of the machine's monotonic clock, in ns.
func monotonicNow() int64 {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		panic(err) // cannot happen: every Linux has this clock
	}
	return now.Nano()
}

// shimSchedule holds the shims of one process.
type shimSchedule []Shim

// active reports whether a shim of a kind is active now. It does not apply to ShimWallStep, which has no end.
func (s shimSchedule) active(kind ShimKind) bool {
	now := monotonicNow()
	for _, shim := range s {
		if shim.Kind == kind && shim.From <= now && now < shim.Until {
			return true
		}
	}
	return false
}

// wall returns the time of the wall clock with the steps that have happened.
func (s shimSchedule) wall() time.Time {
	now, monotonic := time.Now(), monotonicNow()
	for _, shim := range s {
		if shim.Kind == ShimWallStep && shim.From <= monotonic {
			now = now.Add(shim.Step)
		}
	}
	return now.Round(0) // without Go's monotonic reading
}

// openError returns the error to inject into opening a file for reading, or nil.
func (s shimSchedule) openError(path string) error {
	if s.active(ShimRead) {
		return &os.PathError{Op: "open", Path: path, Err: syscall.ENFILE}
	}
	return nil
}

// writeError returns the error to inject into a change of the state directory, or nil.
func (s shimSchedule) writeError(op, path string) error {
	var errno error
	switch {
	case s.active(ShimDiskFull), s.active(ShimTornWrite):
		errno = syscall.ENOSPC
	case s.active(ShimDiskError):
		errno = syscall.EIO
	default:
		return nil
	}
	return &os.PathError{Op: op, Path: path, Err: errno}
}

// shimFiles is a file system that injects faults into the use of the state directory.
type shimFiles struct {
	sender.FileSystem
	shims shimSchedule
}

// OpenFile opens a file. Opening for reading fails while ShimRead is active, and opening for writing fails while the
// disk has a fault.
func (f shimFiles) OpenFile(path string, flag int, mode os.FileMode) (sender.File, error) {
	err := f.shims.openError(path)
	if flag&(os.O_WRONLY|os.O_RDWR) != 0 {
		err = f.shims.writeError("open", path)
	}
	if err != nil {
		return nil, err
	}
	file, err := f.FileSystem.OpenFile(path, flag, mode)
	if err != nil {
		return nil, err
	}
	return shimFile{File: file, path: path, shims: f.shims}, nil
}

// Rename renames a file. It fails while the disk has a fault.
func (f shimFiles) Rename(from, to string) error {
	if err := f.shims.writeError("rename", to); err != nil {
		return err
	}
	return f.FileSystem.Rename(from, to)
}

// shimFile is a file of the state directory whose writes may fail.
type shimFile struct {
	sender.File
	path  string
	shims shimSchedule
}

// Write writes to the file. It fails while the disk has a fault; if that is a torn write, it writes the first half.
func (f shimFile) Write(b []byte) (int, error) {
	err := f.shims.writeError("write", f.path)
	if err == nil {
		return f.File.Write(b)
	}
	if f.shims.active(ShimTornWrite) {
		n, _ := f.File.Write(b[:len(b)/2]) // the injected error is reported instead
		return n, err
	}
	return 0, err
}

// acceptErrors are the transient errors of accept (accept(2)).
var acceptErrors = []syscall.Errno{
	syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO,
	syscall.ENETDOWN, syscall.EHOSTUNREACH,
}

// connectErrors are the transient errors of socket and connect.
var connectErrors = []syscall.Errno{
	syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.EHOSTUNREACH,
	syscall.ETIMEDOUT,
}

// shimListener is the listener for clients, whose Accept may fail.
type shimListener struct {
	net.Listener
	shims       shimSchedule
	acceptCalls *atomic.Uint32 // number of calls of Accept so far
}

// Accept accepts a connection. While ShimAccept is active, every second call fails, with each of acceptErrors in turn.
func (l shimListener) Accept() (net.Conn, error) {
	if number := int(l.acceptCalls.Add(1)); number%2 == 1 && l.shims.active(ShimAccept) {
		errno := acceptErrors[number/2%len(acceptErrors)]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", errno)}
	}
	return l.Listener.Accept()
}

// SetDeadline sets the deadline of the wrapped listener. A sender needs it to empty the queue of new connections.
func (l shimListener) SetDeadline(t time.Time) error {
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		return d.SetDeadline(t)
	}
	return fmt.Errorf("deadline: %w", os.ErrNoDeadline)
}

// RunSender runs a sender in this process, with the shims that the environment variable shimVariable holds.
func RunSender() error {
	var s shimSchedule
	if text := os.Getenv(shimVariable); text != "" {
		if err := json.Unmarshal([]byte(text), &s); err != nil {
			return fmt.Errorf("%s: %w", shimVariable, err)
		}
	}
	env := sender.OperatingSystem()
	env.Wall = s.wall
	env.Files = shimFiles{FileSystem: env.Files, shims: s}
	env.ReadFile = func(path string) ([]byte, error) {
		if err := s.openError(path); err != nil {
			return nil, err
		}
		return os.ReadFile(path)
	}
	env.WrapListener = func(l net.Listener) net.Listener {
		return shimListener{Listener: l, shims: s, acceptCalls: new(atomic.Uint32)}
	}
	var connectCalls atomic.Uint32
	env.Control = func(string, string, syscall.RawConn) error {
		if s.active(ShimConnect) {
			return os.NewSyscallError("connect", connectErrors[int(connectCalls.Add(1))%len(connectErrors)])
		}
		return nil
	}
	return sender.RunProcess(env)
}
