package main

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
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// sender is one sender of a case: its addresses, its folders, and its processes.
type sender struct {
	name     string
	rec      *recorder
	root     string // of the project
	run      string // the deploy file's command
	dir      string // temporary
	addr     string // where clients connect
	socket   *os.File
	agent    *agent
	limits   map[string]any
	settings map[string]any
	known    map[string]any

	mu        sync.Mutex
	processes []*process
}

// process is a process of a sender.
type process struct {
	*exec.Cmd
	admin  string
	exited chan struct{}
}

// runCommand returns the command of the deploy file that runs a sender.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^run *= *"([^"]*)"`).FindSubmatch(text)
	if found == nil {
		return "", errors.New("the deploy file names no run")
	}
	return string(found[1]), nil
}

// listenLoopback listens on a loopback address that no other run of the rig uses at the same time.
func listenLoopback() (net.Listener, error) {
	pid := os.Getpid()
	return net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid/200/200%200, 1+pid/200%200, 1+pid%200))
}

// freeAddr returns a loopback address on which nobody listens.
func freeAddr() (string, error) {
	listener, err := listenLoopback()
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// serveSoon answers a call after the time of a partner system of usual pace.
func serveSoon(*call) answer { return answer{after: 170 * time.Millisecond, status: http.StatusOK} }

// newSender prepares a sender of a deployment with some senders, its agent, and a destination with two endpoints. If
// passed is set, the platform holds the clients' socket.
func (r *rig) newSender(senders int, passed bool, handle func(*call) answer) (*sender, []*endpoint, error) {
	var entries []listEntry
	var endpoints []*endpoint
	for n := range 2 {
		e, err := newEndpoint(r.rec, fmt.Sprintf("s-%d", n), float64(max(60, 10*senders)), handle)
		if err != nil {
			return nil, nil, err
		}
		entries, endpoints = append(entries, e.entry), append(endpoints, e)
	}
	a, err := newAgent(r.rec, entries)
	if err != nil {
		return nil, nil, err
	}
	s := &sender{
		name: "n0", rec: r.rec, root: r.root, run: r.run, agent: a, settings: deployment(senders),
		dir:    filepath.Join(r.dir, "n0"),
		limits: map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
	}
	if err := s.prepare(passed); err != nil {
		return nil, nil, err
	}
	s.known = a.known()
	r.mu.Lock()
	r.senders = append(r.senders, s)
	r.mu.Unlock()
	return s, endpoints, nil
}

// prepare makes the sender's folders and chooses its address.
func (s *sender) prepare(passed bool) error {
	for _, folder := range []string{"state", "tmp"} {
		if err := os.MkdirAll(filepath.Join(s.dir, folder), 0o700); err != nil {
			return err
		}
	}
	listener, err := listenLoopback()
	if err != nil {
		return err
	}
	s.addr = listener.Addr().String()
	if passed {
		if s.socket, err = listener.(*net.TCPListener).File(); err != nil {
			return err
		}
	}
	return listener.Close()
}

// writeConfig writes the configuration file.
func (s *sender) writeConfig() error {
	text, err := json.MarshalIndent(map[string]any{
		"name": s.name, "listen": s.addr, "discovery": s.agent.addr, "state": s.state(),
		"seed": fmt.Sprintf("%016x", time.Now().UnixNano()), "limits": s.limits, "known": s.known,
		"settings": s.settings,
	}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(s.configPath(), text, 0o600)
}

func (s *sender) configPath() string { return filepath.Join(s.dir, "config.json") }

func (s *sender) state() string { return filepath.Join(s.dir, "state") }

// start starts a process of the sender by the deploy file's command.
func (s *sender) start() (*process, error) {
	if err := s.writeConfig(); err != nil {
		return nil, err
	}
	admin, err := freeAddr()
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	number := len(s.processes) + 1
	log, err := os.Create(filepath.Join(s.dir, fmt.Sprintf("log-%d.txt", number)))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &process{Cmd: exec.Command("/bin/sh", "-c", s.run), admin: admin, exited: make(chan struct{})}
	p.Dir, p.Stdout, p.Stderr = s.root, log, log
	p.Env = append(os.Environ(), "EDGE_NAME="+s.name, "EDGE_LISTEN="+s.addr, "EDGE_DISCOVERY="+s.agent.addr,
		"EDGE_STATE="+s.state(), "EDGE_CONFIG="+s.configPath(), "EDGE_ADMIN_ADDR="+admin,
		"TMPDIR="+filepath.Join(s.dir, "tmp"))
	if s.socket != nil {
		p.ExtraFiles = []*os.File{s.socket}
		p.Env = append(p.Env, "EDGE_PASSED_SOCKET=3")
	}
	if err := p.Start(); err != nil {
		return nil, err
	}
	s.processes = append(s.processes, p)
	s.rec.printf("sender %s: process %d is started", s.name, number)
	go func() {
		err := p.Wait()
		s.rec.printf("sender %s: process %d has ended (%v)", s.name, number, err)
		close(p.exited)
	}()
	return p, nil
}

// hasExited reports whether the process has ended.
func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process.
func (s *sender) signal(p *process, signal syscall.Signal) {
	s.rec.printf("sender %s: %v", s.name, signal)
	_ = p.Process.Signal(signal)
}

// waitHealthy waits until HEALTH of a process says ok.
func (s *sender) waitHealthy(p *process) error {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if lines := p.ask("HEALTH"); len(lines) == 1 && lines[0] == "ok" {
			s.rec.printf("sender %s: ready", s.name)
			return nil
		}
		if p.hasExited() {
			break
		}
	}
	return errors.New("the sender is not ready in time")
}

// waitReady waits until the sender answers /-/ready with 200.
func (s *sender) waitReady(p *process) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if response, err := client.Get("http://" + s.addr + "/-/ready"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				s.rec.printf("sender %s: ready", s.name)
				return nil
			}
		}
		if p.hasExited() {
			break
		}
	}
	return errors.New("the sender is not ready in time")
}

// ask makes an operator's call and returns the lines of the reply.
func (p *process) ask(line string) []string {
	conn, err := net.DialTimeout("tcp", p.admin, time.Second)
	if err != nil {
		return nil
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = io.WriteString(conn, line+"\n")
	text, _ := io.ReadAll(bufio.NewReader(conn))
	return strings.Split(strings.TrimSpace(string(text)), "\n")
}

// end ends all processes of the sender.
func (s *sender) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		if !p.hasExited() {
			_ = p.Process.Kill()
			<-p.exited
		}
	}
}
