package emulator

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Command describes how a sender's process is started. The EDGE_ variables are added to its environment, and
// shimVariable with the faults that the process has to inject into itself.
type Command struct {
	Path string
	Args []string
	Env  []string
}

const (
	readyWithin       = 10 * time.Second
	readyPollInterval = 10 * time.Millisecond
	readyTimeout      = time.Second             // for the answer to one readiness request
	killAfter         = 3700 * time.Millisecond // from SIGTERM to SIGKILL
	restartPause      = 600 * time.Millisecond  // from the end of a process by SIGTERM or SIGKILL to the next start
	minReloadAge      = time.Second             // age of a process before which it gets no SIGHUP

	// upgradePortBase plus the number of an upgrade, from 1, is the admin port of the process that the upgrade starts.
	upgradePortBase = 9100
)

// ProcessSpec holds what is the same for all processes of a sender.
type ProcessSpec struct {
	Number     int
	Addr       string // address at which clients connect
	AdminAddr  string // of the processes that Start starts; each process of an upgrade has a port of its own
	Directory  string // directory for the state, the configuration and the log
	Command    Command
	Parameters Parameters
	Senders    int // number of senders in the deployment
	Agent      *Agent
	Known      List // endpoint list in the configuration
	History    *History
}

// Process manages the processes of one sender, which have the same directory and the same address for clients. One of
// them is the current one.
type Process struct {
	ProcessSpec
	shims        []Shim
	passedSocket *os.File // the clients' socket, passed to each process; nil if each process listens by itself
	upgrades     int      // number of upgrades begun; there is one at a time

	mu            sync.Mutex
	discoveryAddr string
	instance      // the current process, which clients are to reach
}

// instance is one process of a sender. A goroutine waits until it has exited and then closes exited.
type instance struct {
	command      *exec.Cmd
	exited       chan struct{}
	exitExpected *atomic.Bool // set before the process is sent SIGTERM or SIGKILL
	adminAddr    string
	startedAt    time.Time
	readyAt      time.Time // zero until the process is ready
}

// current returns the current process, which clients are to reach.
func (p *Process) current() instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.instance
}

func (p *Process) configPath() string { return filepath.Join(p.Directory, "config.json") }

func (p *Process) statePath() string { return filepath.Join(p.Directory, "state") }

func (p *Process) logPath() string { return filepath.Join(p.Directory, "log") }

// writeConfig replaces the configuration file atomically.
func (p *Process) writeConfig() error {
	p.mu.Lock()
	discoveryAddr := p.discoveryAddr
	p.mu.Unlock()
	text, err := json.Marshal(senderConfig(p.ProcessSpec, discoveryAddr, p.statePath()))
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	next := p.configPath() + ".new"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, p.configPath())
}

// passesSocket reports whether the sender's processes are passed the clients' socket.
func (p *Process) passesSocket() bool { return p.passedSocket != nil }

// Start starts a process of the sender and waits until it is ready.
func (p *Process) Start() error {
	started, err := p.launch(p.AdminAddr)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.instance = *started
	p.mu.Unlock()
	p.History.RecordIncarnationEvent(p.Number, Started, "")
	if err := p.awaitReady(started, p.isReady); err != nil {
		return err
	}
	p.History.RecordIncarnationEvent(p.Number, Ready, "")
	p.setReady()
	return nil
}

// setReady records that the current process is ready.
func (p *Process) setReady() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readyAt = time.Now()
}

// launch starts a process of the sender, and a goroutine that waits until it has exited.
func (p *Process) launch(adminAddr string) (*instance, error) {
	cmd, err := p.prepare(adminAddr)
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close() // the process has a descriptor of its own
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	i := &instance{
		command:      cmd,
		exited:       make(chan struct{}),
		exitExpected: new(atomic.Bool),
		adminAddr:    adminAddr,
		startedAt:    time.Now(),
	}
	go p.awaitExit(i)
	return i, nil
}

// prepare creates the files that a process needs and returns the command that starts it.
func (p *Process) prepare(adminAddr string) (*exec.Cmd, error) {
	if err := os.MkdirAll(p.statePath(), 0o700); err != nil {
		return nil, err
	}
	if err := p.writeConfig(); err != nil {
		return nil, err
	}
	shims, err := json.Marshal(p.shims)
	if err != nil {
		return nil, fmt.Errorf("encode shims: %w", err)
	}
	cmd := exec.Command(p.Command.Path, p.Command.Args...)
	cmd.Env = append(append(os.Environ(), p.Command.Env...),
		"EDGE_CONFIG="+p.configPath(),
		"EDGE_LISTEN="+p.Addr,
		"EDGE_ADMIN_ADDR="+adminAddr,
		"EDGE_LOG_LEVEL=debug",
		shimVariable+"="+string(shims),
		"TMPDIR="+p.Directory)
	if p.passesSocket() {
		cmd.Env = append(cmd.Env, "EDGE_PASSED_SOCKET=3") // the first of ExtraFiles
		cmd.ExtraFiles = []*os.File{p.passedSocket}
	}
	return cmd, nil
}

// awaitExit waits until a process has exited and records that, unless the process is the predecessor in an upgrade and
// its exit was expected.
func (p *Process) awaitExit(i *instance) {
	err := i.command.Wait()
	detail := ""
	if !i.exitExpected.Load() {
		detail = fmt.Sprintf("unexpected exit: %v", err)
	}
	isCurrent := p.current().command == i.command
	if isCurrent || detail != "" {
		p.History.RecordIncarnationEvent(p.Number, Exited, detail)
	}
	close(i.exited)
}

// awaitReady polls a process until it is ready. It returns an error if the process exits first, or is not ready within
// readyWithin.
func (p *Process) awaitReady(i *instance, isReady func() bool) error {
	for until := time.Now().Add(readyWithin); time.Now().Before(until); time.Sleep(readyPollInterval) {
		if isReady() {
			return nil
		}
		select {
		case <-i.exited:
			return fmt.Errorf("sender %d exited before it was ready", p.Number)
		default:
		}
	}
	return fmt.Errorf("sender %d was not ready within %v", p.Number, readyWithin)
}

// isReady reports whether the sender answers a readiness request with 200.
func (p *Process) isReady() bool {
	conn, err := net.DialTimeout("tcp", p.Addr, dialTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	limitRead(conn, readyTimeout)
	writeQuietly(conn, "GET /-/ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// signal sends a signal to the current process, if there is one.
func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		p.instance.signal(s)
	}
}

// signal sends a signal to a process. It ignores the error, which means that the process has just exited, as awaitExit
// records that.
func (i *instance) signal(s syscall.Signal) { _ = i.command.Process.Signal(s) }

// expectExit records that the current process is about to be sent SIGTERM or SIGKILL, and returns a channel that is
// closed when it has exited.
func (p *Process) expectExit(phase IncarnationPhase) (exited <-chan struct{}) {
	p.mu.Lock()
	p.exitExpected.Store(true)
	exited = p.exited
	p.mu.Unlock()
	p.History.RecordIncarnationEvent(p.Number, phase, "")
	return exited
}

// Kill kills the current process by SIGKILL and waits until it has exited.
func (p *Process) Kill() {
	exited := p.expectExit(Killed)
	p.signal(syscall.SIGKILL)
	<-exited
}

// Terminate stops the current process by SIGTERM, and by SIGKILL if it has not exited after killAfter, which is the
// earliest time for that. It never returns before killAfter. The error reports that the process had to be killed.
func (p *Process) Terminate() error {
	kill := time.After(killAfter)
	exited := p.expectExit(Terminated)
	p.signal(syscall.SIGTERM)
	<-kill
	select {
	case <-exited:
		return nil
	default:
	}
	p.Kill()
	return fmt.Errorf("sender %d did not exit after SIGTERM, and was killed", p.Number)
}

// Pause stops the current process by SIGSTOP for a time, which emulates a busy machine. It continues the process that
// it has stopped, even if an upgrade has made another process the current one meanwhile.
func (p *Process) Pause(duration time.Duration) {
	paused := p.current()
	if paused.command == nil {
		return
	}
	paused.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	paused.signal(syscall.SIGCONT)
}

// mayReload reports whether the current process may be sent SIGHUP. The platform sends none in a process's first second
// and none before it is ready.
func (p *Process) mayReload() bool {
	i := p.current()
	return i.command != nil && !i.readyAt.IsZero() && time.Since(i.startedAt) > minReloadAge
}

// Reload writes a configuration with an address of the agent, which may be unchanged, and sends SIGHUP.
func (p *Process) Reload(discoveryAddr string) error {
	p.mu.Lock()
	p.discoveryAddr = discoveryAddr
	p.mu.Unlock()
	if err := p.writeConfig(); err != nil {
		return err
	}
	p.signal(syscall.SIGHUP)
	return nil
}

// LimitDescriptors lowers the limit of the current process for a time to the number of descriptors that it has open, so
// that it can open no further ones. It is no error if the process exits meanwhile.
func (p *Process) LimitDescriptors(duration time.Duration) error {
	pid := p.current().command.Process.Pid
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return nil // the process has just exited
	}
	var normal unix.Rlimit
	if unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &normal) != nil {
		return nil
	}
	limited := normal
	limited.Cur = uint64(len(open))
	if unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limited, nil) != nil {
		return nil
	}
	time.Sleep(duration)
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &normal, nil); err != nil && !errors.Is(err, syscall.ESRCH) {
		return fmt.Errorf("restore the descriptor limit of sender %d: %w", p.Number, err)
	}
	return nil
}

// stop kills the current process if it still runs, and waits until it has exited.
func (p *Process) stop() {
	i := p.current()
	if i.command != nil {
		i.exitExpected.Store(true)
		i.signal(syscall.SIGKILL)
		<-i.exited
	}
}
