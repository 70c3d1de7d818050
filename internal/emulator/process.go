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
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Command is how a sender's process is started. Its environment has the EDGE_ variables added, and shimVariable with
// the faults that it has to inject into itself.
type Command struct {
	Path string
	Args []string
	Env  []string
}

const (
	readyWithin       = 10 * time.Second
	readyPollInterval = 10 * time.Millisecond
	readyTimeout      = time.Second             // of one request
	killAfter         = 3700 * time.Millisecond // from SIGTERM to SIGKILL
	restartPause      = 600 * time.Millisecond  // from SIGKILL to the next start
	minReloadAge      = time.Second             // a process gets no SIGHUP for so long from its start

	// firstUpgradePort is the first of the admin ports that processes started by upgrades have.
	firstUpgradePort = 9100
)

// ProcessSpec is what stays the same for all processes of a sender.
type ProcessSpec struct {
	Number     int
	Addr       string // where clients connect
	AdminAddr  string
	Directory  string // holds the state, the configuration and the log
	Command    Command
	Parameters Parameters
	Senders    int // of the deployment
	Agent      *Agent
	Known      List // the list that the configuration holds
	History    *History
}

// Process is one sender: its directory and addresses, and the process that runs at a time.
type Process struct {
	ProcessSpec
	shims        []Shim
	passedSocket *os.File // where clients connect, passed to each process; nil if each listens by itself
	upgrades     int      // begun so far; upgrades come one at a time

	mu            sync.Mutex
	discoveryAddr string
	instance      // the one that clients are to reach
}

// instance is one process of a sender. A goroutine waits for its end and then closes exited.
type instance struct {
	command      *exec.Cmd
	exited       chan struct{}
	exitExpected *atomic.Bool // it was asked to exit or killed
	adminAddr    string
	startedAt    time.Time
	readyAt      time.Time // zero before it is ready
}

// current is the instance that clients are to reach.
func (p *Process) current() instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.instance
}

func (p *Process) configPath() string { return filepath.Join(p.Directory, "config.json") }

func (p *Process) statePath() string { return filepath.Join(p.Directory, "state") }

func (p *Process) logPath() string { return filepath.Join(p.Directory, "log") }

// writeConfig replaces the configuration atomically.
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

// passesSocket reports whether the sender's processes get the socket for clients passed.
func (p *Process) passesSocket() bool { return p.passedSocket != nil }

// Start runs the sender and waits until it is ready.
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

// setReady notes that the current instance is ready.
func (p *Process) setReady() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readyAt = time.Now()
}

// Upgrade starts the next process beside the one that runs, waits until it is healthy, and ends the other.
func (p *Process) Upgrade() error {
	old := p.current()
	host, _, err := net.SplitHostPort(p.AdminAddr)
	if err != nil {
		return err
	}
	p.upgrades++
	next, err := p.launch(net.JoinHostPort(host, strconv.Itoa(firstUpgradePort+p.upgrades)))
	if err != nil {
		return err
	}
	if err := p.awaitReady(next, next.isHealthy); err != nil {
		return err
	}
	p.mu.Lock()
	p.instance = *next
	p.readyAt = time.Now()
	p.mu.Unlock()
	old.exitExpected.Store(true)
	old.signal(syscall.SIGTERM)
	select {
	case <-old.exited:
		return nil
	case <-time.After(killAfter):
		old.signal(syscall.SIGKILL)
		<-old.exited
		return fmt.Errorf("sender %d: the old process had to be killed after an upgrade", p.Number)
	}
}

// launch starts a process of the sender, and a goroutine that waits for its end.
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

// prepare makes the command for a process, and the files that it needs.
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

// awaitExit waits for the end of a process and records it, unless it was to end after an upgrade.
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

// await polls a process until it is ready. The error is for one that ends before, or takes too long.
func (p *Process) awaitReady(i *instance, isReady func() bool) error {
	for until := time.Now().Add(readyWithin); time.Now().Before(until); time.Sleep(readyPollInterval) {
		if isReady() {
			return nil
		}
		select {
		case <-i.exited:
			return fmt.Errorf("sender %d ended before it was ready", p.Number)
		default:
		}
	}
	return fmt.Errorf("sender %d was not ready within %v", p.Number, readyWithin)
}

// isReady reports whether the sender accepts clients.
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

// signal sends a signal to a process. An error means that the process has just exited, which awaitExit records.
func (i *instance) signal(s syscall.Signal) { _ = i.command.Process.Signal(s) }

// expectExit records that the process is about to be signalled, and returns what is closed when it has exited.
func (p *Process) expectExit(phase IncarnationPhase) (exited <-chan struct{}) {
	p.mu.Lock()
	p.exitExpected.Store(true)
	exited = p.exited
	p.mu.Unlock()
	p.History.RecordIncarnationEvent(p.Number, phase, "")
	return exited
}

// Kill ends the process at once.
func (p *Process) Kill() {
	exited := p.expectExit(Killed)
	p.signal(syscall.SIGKILL)
	<-exited
}

// Terminate ends the process by SIGTERM, and by SIGKILL if it is still there at the earliest time for that. It returns
// at that time in any case. The error reports that the process did not exit by itself.
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
	return fmt.Errorf("sender %d had to be killed after SIGTERM", p.Number)
}

// Pause stops the process for a time, as a busy machine does. It is the stopped process that goes on, also where an
// upgrade has made another one the current meanwhile.
func (p *Process) Pause(lasting time.Duration) {
	paused := p.current()
	if paused.command == nil {
		return
	}
	paused.signal(syscall.SIGSTOP)
	time.Sleep(lasting)
	paused.signal(syscall.SIGCONT)
}

// mayReload reports whether the platform may send SIGHUP: not in a process's first second, nor before it is ready.
func (p *Process) mayReload() bool {
	i := p.current()
	return i.command != nil && !i.readyAt.IsZero() && time.Since(i.startedAt) > minReloadAge
}

// Reload writes a configuration with an address of discovery, which may be unchanged, and sends SIGHUP.
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

// LimitDescriptors leaves the process no further descriptors for a time. A process that has just ended is no error.
func (p *Process) LimitDescriptors(lasting time.Duration) error {
	pid := p.current().command.Process.Pid
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return nil // it has just ended
	}
	var usual unix.Rlimit
	if unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &usual) != nil {
		return nil
	}
	limited := usual
	limited.Cur = uint64(len(open))
	if unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limited, nil) != nil {
		return nil
	}
	time.Sleep(lasting)
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &usual, nil); err != nil && !errors.Is(err, syscall.ESRCH) {
		return fmt.Errorf("descriptors of sender %d: %w", p.Number, err)
	}
	return nil
}

// stop kills the process if it still runs, and waits for its end.
func (p *Process) stop() {
	i := p.current()
	if i.command != nil {
		i.exitExpected.Store(true)
		i.signal(syscall.SIGKILL)
		<-i.exited
	}
}
