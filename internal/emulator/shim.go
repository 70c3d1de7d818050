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

// shimVariable names the environment variable with the shims of a process, as JSON.
const shimVariable = "SOAK_SHIMS"

// ShimKind is a fault that is injected into the system calls of a sender's process, by that process itself.
type ShimKind string

// The kinds of shims.
const (
	ShimWallStep  ShimKind = "wall_step"  // the wall clock is off by Step from then on
	ShimDiskFull  ShimKind = "disk_full"  // writes to the state directory fail with ENOSPC
	ShimDiskError ShimKind = "disk_error" // writes to the state directory fail with EIO
	ShimTornWrite ShimKind = "torn_write" // writes to it are cut in the middle, and fail with ENOSPC
	ShimAccept    ShimKind = "accept"     // accept fails now and then
	ShimConnect   ShimKind = "connect"    // sockets cannot be connected
	ShimRead      ShimKind = "read"       // the configuration and the journal cannot be opened (ENFILE)
)

// Shim is such a fault in a span of the machine's monotonic clock (ns), so that it means the same to every process.
type Shim struct {
	Kind  ShimKind
	From  int64
	Until int64         // not used by ShimWallStep
	Step  time.Duration // of ShimWallStep
}

// monotonicNow is the machine's monotonic clock.
func monotonicNow() int64 {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		panic(err) // every Linux has it
	}
	return now.Nano()
}

// shimSchedule is the faults of one process.
type shimSchedule []Shim

// active reports whether a kind of fault lasts now.
func (s shimSchedule) active(kind ShimKind) bool {
	now := monotonicNow()
	for _, shim := range s {
		if shim.Kind == kind && shim.From <= now && now < shim.Until {
			return true
		}
	}
	return false
}

// wall is the wall clock with its steps.
func (s shimSchedule) wall() time.Time {
	now, monotonic := time.Now(), monotonicNow()
	for _, shim := range s {
		if shim.Kind == ShimWallStep && shim.From <= monotonic {
			now = now.Add(shim.Step)
		}
	}
	return now.Round(0) // without Go's monotonic reading
}

// openError is the error of opening a file for reading, nil if it succeeds.
func (s shimSchedule) openError(path string) error {
	if s.active(ShimRead) {
		return &os.PathError{Op: "open", Path: path, Err: syscall.ENFILE}
	}
	return nil
}

// writeError is the error of changes to the state directory, nil if they succeed.
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

// shimFiles is the state directory with faults.
type shimFiles struct {
	sender.FileSystem
	shims shimSchedule
}

// OpenFile fails while files cannot be opened or, for one to be written, while the disk has a fault.
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

// Rename fails while the disk has a fault.
func (f shimFiles) Rename(from, to string) error {
	if err := f.shims.writeError("rename", to); err != nil {
		return err
	}
	return f.FileSystem.Rename(from, to)
}

// shimFile is a file of the state directory with faults.
type shimFile struct {
	sender.File
	path  string
	shims shimSchedule
}

// Write fails while the disk has a fault; a torn write passes the first half on.
func (f shimFile) Write(b []byte) (int, error) {
	err := f.shims.writeError("write", f.path)
	if err == nil {
		return f.File.Write(b)
	}
	if f.shims.active(ShimTornWrite) {
		n, _ := f.File.Write(b[:len(b)/2]) // the injected error is the one to report
		return n, err
	}
	return 0, err
}

// acceptErrors are those that accept may fail with for a moment (accept(2)).
var acceptErrors = []syscall.Errno{
	syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO,
	syscall.ENETDOWN, syscall.EHOSTUNREACH,
}

// connectErrors are those that socket and connect may fail with for a moment.
var connectErrors = []syscall.Errno{
	syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.EHOSTUNREACH,
	syscall.ETIMEDOUT,
}

// shimListener is the listener for clients with faults.
type shimListener struct {
	net.Listener
	shims       shimSchedule
	acceptCalls *atomic.Uint32 // begun so far
}

// Accept fails every second time while it has a fault, by each error in turn.
func (l shimListener) Accept() (net.Conn, error) {
	if number := int(l.acceptCalls.Add(1)); number%2 == 1 && l.shims.active(ShimAccept) {
		errno := acceptErrors[number/2%len(acceptErrors)]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", errno)}
	}
	return l.Listener.Accept()
}

// SetDeadline is the listener's own, which a sender needs to empty the queue of new connections.
func (l shimListener) SetDeadline(t time.Time) error {
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		return d.SetDeadline(t)
	}
	return fmt.Errorf("deadline: %w", os.ErrNoDeadline)
}

// RunSender runs a sender's process with the shims that its environment names.
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
