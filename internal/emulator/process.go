package emulator

import (
	"bufio"
	"encoding/json"
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
	"syscall"
	"time"
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
	readyLook   = 10 * time.Millisecond
	killAfter   = 3700 * time.Millisecond // from SIGTERM to SIGKILL
	restartRest = 600 * time.Millisecond  // from SIGKILL to the next start
)

// Process is one sender: its folder and addresses, and the process that runs at a time.
type Process struct {
	Number int
	Addr   string // where clients connect
	Admin  string
	Shims  []Shim

	ledger  *Ledger
	command Command
	folder  string // holds its state, its configuration and its log
	rules   Rules
	senders int
	agent   *Agent
	known   List

	mu        sync.Mutex
	discovery string
	running   *exec.Cmd
	exited    chan struct{} // of the one that runs
	expected  bool          // it was told to end
}

func (p *Process) config() string { return filepath.Join(p.folder, "config.json") }

// writeConfig replaces the configuration at once.
func (p *Process) writeConfig() error {
	p.mu.Lock()
	discovery := p.discovery
	p.mu.Unlock()
	text, err := json.Marshal(configFor(p.rules, p.senders, p.Number, discovery, filepath.Join(p.folder, "state"), p.known))
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.config()+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(p.config()+".new", p.config())
}

// Start runs the sender and waits until it is ready.
func (p *Process) Start() error {
	if err := os.MkdirAll(filepath.Join(p.folder, "state"), 0o700); err != nil {
		return err
	}
	if err := p.writeConfig(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	shims, err := json.Marshal(p.Shims)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.command.Path, p.command.Args...)
	cmd.Env = append(append(os.Environ(), p.command.Env...), "EDGE_CONFIG="+p.config(), "EDGE_LISTEN="+p.Addr,
		"EDGE_ADMIN_ADDR="+p.Admin, "EDGE_LOG_LEVEL=debug", shimVariable+"="+string(shims), "TMPDIR="+p.folder)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.running, p.exited, p.expected = cmd, exited, false
	p.mu.Unlock()
	p.ledger.Live(p.Number, Started, "")
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		expected := p.expected
		p.mu.Unlock()
		detail := ""
		if !expected {
			detail = fmt.Sprintf("unasked: %v", err)
		}
		p.ledger.Live(p.Number, Exited, detail)
		close(exited)
	}()
	for until := time.Now().Add(readyWithin); time.Now().Before(until); time.Sleep(readyLook) {
		if p.ready() {
			p.ledger.Live(p.Number, Ready, "")
			return nil
		}
		select {
		case <-exited:
			return fmt.Errorf("sender %d ended before it was ready", p.Number)
		default:
		}
	}
	return fmt.Errorf("sender %d was not ready within %v", p.Number, readyWithin)
}

func (p *Process) ready() bool {
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

// Kill ends the process at once.
func (p *Process) Kill() {
	p.mu.Lock()
	p.expected = true
	exited := p.exited
	p.mu.Unlock()
	p.ledger.Live(p.Number, Killed, "")
	p.signal(syscall.SIGKILL)
	<-exited
}

// Terminate ends the process by SIGTERM, and by SIGKILL if it is still there at the end of its time. The error tells that
// it did not end by itself.
func (p *Process) Terminate() error {
	p.mu.Lock()
	p.expected = true
	exited := p.exited
	p.mu.Unlock()
	p.ledger.Live(p.Number, Terminated, "")
	p.signal(syscall.SIGTERM)
	select {
	case <-exited:
		return nil
	case <-time.After(killAfter):
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

// Reload moves discovery to another address and tells the process.
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

// Figures reads what the process reports of itself.
func (p *Process) Figures() (map[string]int, error) {
	c, err := net.DialTimeout("tcp", p.Admin, time.Second)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(c, "DUMP\n"); err != nil {
		return nil, err
	}
	text, err := io.ReadAll(c)
	if err != nil {
		return nil, err
	}
	figures := map[string]int{}
	for _, line := range strings.Split(string(text), "\n") {
		name, value, found := strings.Cut(line, "=")
		if n, err := strconv.Atoi(value); found && err == nil {
			figures[name] = n
		}
	}
	return figures, nil
}

// end kills the process if it still runs.
func (p *Process) end() {
	p.mu.Lock()
	p.expected = true
	running, exited := p.running, p.exited
	p.mu.Unlock()
	if running != nil {
		running.Process.Kill()
		<-exited
	}
}
