package main

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

const (
	// crowdTime is how long a crowd stays, and how long before the sender is upgraded and again after that.
	crowdTime = 2 * time.Second
)

// serviceProgram builds the sender as the deploy file does: a program with the race detector needs far more memory.
var serviceProgram = sync.OnceValues(func() (string, error) {
	directory, err := os.MkdirTemp("", "sender-")
	if err != nil {
		return "", err
	}
	program := filepath.Join(directory, "sender")
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", program, ".")
	if output, err := build.CombinedOutput(); err != nil {
		return "", &buildError{output: string(output), err: err}
	}
	return program, nil
})

// buildError is a failed build.
type buildError struct {
	output string
	err    error
}

func (e *buildError) Error() string { return e.err.Error() + ": " + e.output }

// senderLimits are the limits of a sender.
type senderLimits struct{ memoryMB, descriptors int }

// limitedSender is a sender with limits of memory and descriptors, whose processes are watched.
type limitedSender struct {
	limits    senderLimits
	program   string
	config    map[string]any
	state     string
	temporary string
	addr      string
	socket    *os.File
	usage     *usageMonitor
}

func newLimitedSender(t *testing.T, limits senderLimits) *limitedSender {
	t.Helper()
	program, err := serviceProgram()
	if err != nil {
		t.Fatal(err)
	}
	endpoint := st.NewEndpoint(t, st.AnswerStatus(http.StatusOK))
	go func() {
		for range endpoint.Calls { // ends with the test's process
		}
	}()
	agent := st.NewAgent(t, endpoint.Addr)
	s := &limitedSender{limits: limits, program: program, state: t.TempDir(), temporary: t.TempDir()}
	s.addr, s.socket = passedSocket(t)
	s.config = st.Config(agent, s.state)
	s.config["limits"] = map[string]any{
		"cores": 1.0, "memory_mb": limits.memoryMB, "sockets": limits.descriptors, "disk_mb": 3,
	}
	s.usage = monitorUsage(s.state, s.temporary)
	return s
}

// start starts a process and waits until it is healthy.
func (s *limitedSender) start(t *testing.T) *process {
	t.Helper()
	raw, err := json.Marshal(s.config)
	if err != nil {
		t.Fatal(err)
	}
	config := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(config, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	admin := freeAddr(t)
	p := &process{Cmd: exec.Command(s.program), addr: s.addr, config: config}
	p.Env = append(os.Environ(), "EDGE_CONFIG="+config, "EDGE_LISTEN="+s.addr, "EDGE_STATE="+s.state,
		"EDGE_PASSED_SOCKET=3", "EDGE_ADMIN_ADDR="+admin, "TMPDIR="+s.temporary)
	p.ExtraFiles = []*os.File{s.socket}
	p.Stderr = os.Stderr
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.Process.Kill() // it may have ended
		_ = p.Wait()
	})
	s.usage.add(p)
	waitReply(t, admin, "HEALTH", "ok\n")
	return p
}

// goodClients hand in messages, one at a time each, on kept connections.
type goodClients struct {
	stop       chan struct{}
	open       sync.WaitGroup
	answered   atomic.Int64
	unanswered atomic.Int64 // messages that have got no answer in all of their hand-ins
	late       atomic.Int64 // hand-ins that were not answered in time
}

const (
	goodClientCount = 6
	// clientTimeout is how long a client waits for an answer, and handIns how often it hands a message in.
	clientTimeout = 400 * time.Millisecond
	handIns       = 4
	handInPause   = 600 * time.Millisecond
	clientPause   = 100 * time.Millisecond
)

func startGoodClients(t *testing.T, addr, body string) *goodClients {
	t.Helper()
	c := &goodClients{stop: make(chan struct{})}
	for number := range goodClientCount {
		client := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{}}
		c.open.Add(1)
		go func() {
			defer c.open.Done()
			for n := 0; ; n++ {
				select {
				case <-c.stop:
					return
				case <-time.After(clientPause):
				}
				if c.handIn(t, client, addr, "c"+strconv.Itoa(number)+"-"+strconv.Itoa(n), body) {
					c.answered.Add(1)
				} else {
					c.unanswered.Add(1)
				}
			}
		}()
	}
	return c
}

// handIn hands a message in until it is answered, and reports whether it was.
func (c *goodClients) handIn(t *testing.T, client *http.Client, addr, id, body string) bool {
	t.Helper()
	for try := range handIns {
		request := st.Request(t, addr, id+"-"+strconv.Itoa(try), "safe", 0, 5*time.Second, body)
		if response, err := client.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			return true
		}
		c.late.Add(1)
		time.Sleep(handInPause)
	}
	return false
}

// check ends the clients and fails the test if a message was not answered.
func (c *goodClients) check(t *testing.T) {
	t.Helper()
	close(c.stop)
	c.open.Wait()
	t.Logf("messages answered: %d, not answered: %d", c.answered.Load(), c.unanswered.Load())
	if c.unanswered.Load() > 0 || c.answered.Load() == 0 {
		t.Errorf("%d messages of good clients had no answer, %d had one", c.unanswered.Load(), c.answered.Load())
	}
}

// allCrowds is the environment variable that makes the tests play every kind of crowd, by itself and mixed. Without it
// they play those that have taken most.
const allCrowds = "ALL_CROWDS"

// crowdsToPlay returns the crowds by name.
func crowdsToPlay(withHeaviest bool) map[string][]crowdKind {
	crowds := map[string][]crowdKind{"mixed": crowdKinds}
	for _, kind := range crowdKinds {
		if (withHeaviest && kind.isHeaviest) || os.Getenv(allCrowds) != "" {
			crowds[kind.name] = []crowdKind{kind}
		}
	}
	return crowds
}

// forEachCrowd runs a test for each crowd with the least memory that a sender may have, with few and many descriptors.
func forEachCrowd(t *testing.T, withHeaviest bool, test func(*testing.T, *limitedSender, []crowdKind)) {
	t.Helper()
	for _, limits := range []senderLimits{{memoryMB: 32, descriptors: 256}, {memoryMB: 32, descriptors: 1024}} {
		for name, kinds := range crowdsToPlay(withHeaviest && limits.descriptors == 1024) {
			t.Run(name+"/"+strconv.Itoa(limits.descriptors), func(t *testing.T) {
				sender := newLimitedSender(t, limits)
				test(t, sender, kinds)
				sender.usage.stop()
				sender.usage.check(t, limits)
			})
		}
	}
}

// Guards against a sender that holds more memory or descriptors than its limits allow while a crowd of peers holds on
// to as much as it can: one that sent heads of many short fields or stopped half way in a body took five times the
// memory. Clients must still be served.
func TestCrowdsKeepTheSenderWithinItsLimits(t *testing.T) {
	forEachCrowd(t, true, func(t *testing.T, sender *limitedSender, kinds []crowdKind) {
		sender.start(t)
		clients := startGoodClients(t, sender.addr, strings.Repeat("s", 32<<10))
		crowd := startCrowd(sender.addr, sender.limits.descriptors, kinds...)
		time.Sleep(crowdTime)
		clients.check(t)
		crowd.leave()
	})
}
