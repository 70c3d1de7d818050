package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// readyWithin is how long a case waits for a process to be ready.
const readyWithin = 10 * time.Second

// sender is one sender of the deployment, with the platform's side of it: the clients' socket, which all of its
// processes inherit, its configuration, and its folders.
type sender struct {
	world                         *world
	name, root, folder, run, addr string
	configPath                    string
	socket                        *os.File
}

// process is one process of a sender.
type process struct {
	name, admin string
	command     *exec.Cmd
	exited      chan struct{}
}

// all holds the processes that were started, so that they can be ended.
var all struct {
	sync.Mutex
	processes []*process
}

// killAll ends all processes that were started.
func killAll() {
	all.Lock()
	defer all.Unlock()
	for _, p := range all.processes {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range all.processes {
		<-p.exited
	}
}

// runCommand returns the command that the deploy file names for a sender.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "run = \""); ok {
			command, _, _ := strings.Cut(value, "\"")
			return command, nil
		}
	}
	return "", fmt.Errorf("the deploy file names no run")
}

// newSender prepares a sender: its folders, its configuration and the clients' socket.
func newSender(w *world, name, root, folder string, config map[string]any) (*sender, error) {
	run, err := runCommand(root)
	if err != nil {
		return nil, err
	}
	s := &sender{world: w, name: name, root: root, folder: filepath.Join(folder, name), run: run}
	for _, sub := range []string{"state", "tmp"} {
		if err := os.MkdirAll(filepath.Join(s.folder, sub), 0o700); err != nil {
			return nil, err
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = listener.Addr().String()
	if s.socket, err = listener.(*net.TCPListener).File(); err != nil {
		return nil, err
	}
	if err := listener.Close(); err != nil { // the file keeps the socket open
		return nil, err
	}
	config["name"], config["listen"], config["state"] = name, s.addr, filepath.Join(s.folder, "state")
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return nil, err
	}
	s.configPath = filepath.Join(s.folder, "config.json")
	return s, os.WriteFile(s.configPath, text, 0o600)
}

// start starts a process of the sender, as the deploy file says.
func (s *sender) start(name string) (*process, error) {
	admin, err := freeAddress()
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(s.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &process{name: name, admin: admin, exited: make(chan struct{})}
	p.command = exec.Command("/bin/sh", "-c", s.run)
	p.command.Dir = s.root
	p.command.Env = append(os.Environ(),
		"EDGE_CONFIG="+s.configPath, "EDGE_ADMIN_ADDR="+admin, "EDGE_PASSED_SOCKET=3",
		"TMPDIR="+filepath.Join(s.folder, "tmp"))
	p.command.ExtraFiles = []*os.File{s.socket}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	s.world.note("process %s starts", name)
	all.Lock()
	all.processes = append(all.processes, p)
	all.Unlock()
	go func() {
		err := p.command.Wait()
		s.world.note("process %s has ended: %v", name, err)
		close(p.exited)
	}()
	return p, nil
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// awaitHealth waits until the process says yes at its admin address.
func (p *process) awaitHealth() error {
	for until := time.Now().Add(readyWithin); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if p.hasEnded() {
			return fmt.Errorf("%s has ended before it was ready", p.name)
		}
		if p.ask("HEALTH") == "ok" {
			return nil
		}
	}
	return fmt.Errorf("%s was not ready in time", p.name)
}

// ask makes a call at the admin address and returns the first line of the reply.
func (p *process) ask(call string) string {
	conn, err := net.DialTimeout("tcp", p.admin, time.Second)
	if err != nil {
		return ""
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = fmt.Fprintln(conn, call)
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line)
}

// awaitReady waits until the sender answers its readiness check with 200.
func (s *sender) awaitReady() error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(readyWithin); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		response, err := client.Get("http://" + s.addr + "/-/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s was not ready in time", s.name)
}
