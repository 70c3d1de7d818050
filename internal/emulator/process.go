package emulator

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Command is how a sender's process is started. Its environment has the EDGE_ variables added, and shimVariable with
// the faults that it has to show by itself.
type Command struct {
	Path string
	Args []string
	Env  []string
}

const (
	readyWithin = 10 * time.Second
	readyPollInterval   = 10 * time.Millisecond
	// The operators' addresses of processes that come by upgrades have ports from here on.
	firstUpgradePort = 9100
	killAfter    = 3700 * time.Millisecond // from SIGTERM to SIGKILL
	restartPause  = 600 * time.Millisecond  // from SIGKILL to the next start
	reloadHoldOff  = time.Second             // from its start a process gets no SIGHUP for so long
)

// Process is one sender: its folder and addresses, and the process that runs at a time.
type Process struct {
	Number int
	Addr   string // where clients connect
	Admin  string
	Shims  []Shim

	ledger  *History
	command Command
	directory  string // holds its state, its configuration and its log
	rules   Rules
	senders int
	agent   *Agent
	known   List
	passedSocket  *os.File // where clients connect, passed to each process; nil if it listens by itself

	mu        sync.Mutex
	discovery string
	upgrades  int
	instance  // the one that clients are to come to
}

// instance is one process of a sender.
type instance struct {
	running  *exec.Cmd
	exited   chan struct{}
	exitExpected *atomic.Bool // it was told to end
	admin    string
	started  time.Time
	ready    time.Time // the zero time before
}

func (p *Process) config() string { return filepath.Join(p.directory, "config.json") }

// writeConfig replaces the configuration at once.
func (p *Process) writeConfig() error {
	p.mu.Lock()
	discovery := p.discovery
	p.mu.Unlock()
	text, err := json.Marshal(senderConfig(p.rules, p.senders, p.Number, p.agent.pollsEndpointList, discovery, filepath.Join(p.directory, "state"), p.known))
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.config()+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(p.config()+".new", p.config())
}

// passes reports whether the sender's processes get the socket for clients passed.
func (p *Process) passesSocket() bool { return p.passedSocket != nil }

// Start runs the sender and waits until it is ready.
func (p *Process) Start() error {
	i, err := p.launch(p.Admin)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.instance = *i
	p.mu.Unlock()
	p.ledger.RecordIncarnationEvent(p.Number, Started, "")
	return p.awaitReady(i)
}

// Upgrade starts the next process beside the one that runs, waits until that is ready, and ends the other.
func (p *Process) Upgrade() error {
	p.mu.Lock()
	old := p.instance
	p.mu.Unlock()
	host, _, err := net.SplitHostPort(p.Admin)
	if err != nil {
		return err
	}
	p.upgrades++
	next, err := p.launch(net.JoinHostPort(host, strconv.Itoa(firstUpgradePort+p.upgrades)))
	if err != nil {
		return err
	}
	if err := p.awaitHealthy(next); err != nil {
		return err
	}
	p.mu.Lock()
	p.instance = *next
	p.ready = time.Now()
	p.mu.Unlock()
	old.exitExpected.Store(true)
	old.running.Process.Signal(syscall.SIGTERM)
	select {
	case <-old.exited:
		return nil
	case <-time.After(killAfter):
		old.running.Process.Kill()
		<-old.exited
		return fmt.Errorf("sender %d: the old process had to be killed after an upgrade", p.Number)
	}
}

// launch starts a process of the sender.
func (p *Process) launch(admin string) (*instance, error) {
	if err := os.MkdirAll(filepath.Join(p.directory, "state"), 0o700); err != nil {
		return nil, err
	}
	if err := p.writeConfig(); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(p.directory, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	shims, err := json.Marshal(p.Shims)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(p.command.Path, p.command.Args...)
	cmd.Env = append(append(os.Environ(), p.command.Env...), "EDGE_CONFIG="+p.config(), "EDGE_LISTEN="+p.Addr,
		"EDGE_ADMIN_ADDR="+admin, "EDGE_LOG_LEVEL=debug", shimVariable+"="+string(shims), "TMPDIR="+p.directory)
	if p.passesSocket() {
		cmd.Env = append(cmd.Env, "EDGE_PASSED_SOCKET=3")
		cmd.ExtraFiles = []*os.File{p.passedSocket}
	}
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	i := &instance{running: cmd, exited: make(chan struct{}), exitExpected: new(atomic.Bool), admin: admin, started: time.Now()}
	go func() {
		err := cmd.Wait()
		detail := ""
		if !i.exitExpected.Load() {
			detail = fmt.Sprintf("unasked: %v", err)
		}
		p.mu.Lock()
		serves := p.running == cmd
		p.mu.Unlock()
		if serves || detail != "" {
			p.ledger.RecordIncarnationEvent(p.Number, Exited, detail)
		}
		close(i.exited)
	}()
	return i, nil
}

// awaitReady waits until the sender takes clients.
func (p *Process) awaitReady(i *instance) error {
	err := p.await(i, p.isReady)
	if err == nil {
		p.ledger.RecordIncarnationEvent(p.Number, Ready, "")
		p.mu.Lock()
		p.ready = time.Now()
		p.mu.Unlock()
	}
	return err
}

// awaitHealthy waits until a process says at the operators' address that it serves.
func (p *Process) awaitHealthy(i *instance) error {
	return p.await(i, func() bool {
		reply, err := callAdmin(i.admin, "HEALTH")
		return err == nil && reply == "ok\n"
	})
}

func (p *Process) await(i *instance, ready func() bool) error {
	for until := time.Now().Add(readyWithin); time.Now().Before(until); time.Sleep(readyPollInterval) {
		if ready() {
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

func (p *Process) isReady() bool {
	c, err := net.DialTimeout("tcp", p.Addr, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(c, "GET /-/ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	return err == nil && resp.StatusCode == http.StatusOK
}

func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running != nil {
		p.running.Process.Signal(s)
	}
}

// told books that the process is told to end, and gives what is closed when it has.
func (p *Process) expectExit(event IncarnationPhase) (exited <-chan struct{}) {
	p.mu.Lock()
	p.exitExpected.Store(true)
	exited = p.exited
	p.mu.Unlock()
	p.ledger.RecordIncarnationEvent(p.Number, event, "")
	return exited
}

// Kill ends the process at once.
func (p *Process) Kill() {
	exited := p.expectExit(Killed)
	p.signal(syscall.SIGKILL)
	<-exited
}

// Terminate ends the process by SIGTERM, and by SIGKILL if it is still there at the earliest time for that. It returns at that
// time in any case. The error tells that the process did not end by itself.
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

// Pause holds the process up for a time, as a busy machine does.
func (p *Process) Pause(d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

// mayReload reports whether the platform may send SIGHUP: not in a process's first second, nor before it is ready.
func (p *Process) mayReload() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running != nil && !p.ready.IsZero() && time.Since(p.started) > reloadHoldOff
}

// Reload gives the process a configuration with an address of discovery, which may be the one that it has.
func (p *Process) Reload(discovery string) error {
	p.mu.Lock()
	p.discovery = discovery
	p.mu.Unlock()
	if err := p.writeConfig(); err != nil {
		return err
	}
	p.signal(syscall.SIGHUP)
	return nil
}

// LimitDescriptors leaves the process no further descriptors for a time.
func (p *Process) LimitDescriptors(d time.Duration) error {
	p.mu.Lock()
	running := p.running
	p.mu.Unlock()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", running.Process.Pid))
	if err != nil {
		return nil // it has just ended
	}
	var usual unix.Rlimit
	if err := unix.Prlimit(running.Process.Pid, unix.RLIMIT_NOFILE, nil, &usual); err != nil {
		return nil
	}
	short := usual
	short.Cur = uint64(len(open))
	if err := unix.Prlimit(running.Process.Pid, unix.RLIMIT_NOFILE, &short, nil); err != nil {
		return nil
	}
	time.Sleep(d)
	if err := unix.Prlimit(running.Process.Pid, unix.RLIMIT_NOFILE, &usual, nil); err != nil && !errors.Is(err, syscall.ESRCH) {
		return fmt.Errorf("descriptors of sender %d: %w", p.Number, err)
	}
	return nil
}

// callAdmin makes one call at an operators' address.
func callAdmin(addr, call string) (string, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(c, call+"\n"); err != nil {
		return "", err
	}
	reply, err := io.ReadAll(c)
	return string(reply), err
}

// Figures reads what the process reports of itself.
func (p *Process) Metrics() (map[string]int, error) {
	p.mu.Lock()
	admin := p.admin
	p.mu.Unlock()
	text, err := callAdmin(admin, "DUMP")
	if err != nil {
		return nil, err
	}
	figures := map[string]int{}
	for _, line := range strings.Split(text, "\n") {
		name, value, found := strings.Cut(line, "=")
		if n, err := strconv.Atoi(value); found && err == nil {
			figures[name] = n
		}
	}
	return figures, nil
}

// end kills the process if it still runs.
func (p *Process) stop() {
	p.mu.Lock()
	i := p.instance
	p.mu.Unlock()
	if i.running != nil {
		i.exitExpected.Store(true)
		i.running.Process.Kill()
		<-i.exited
	}
}
