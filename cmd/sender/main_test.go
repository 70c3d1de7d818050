package main

import (
	"bytes"
	"encoding/json"
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
	"testing"
	"time"

	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// TestMain is the sender itself when a test starts it as a process of its own.
func TestMain(m *testing.M) {
	if os.Getenv("SENDER_TEST_CHILD") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// process is a sender that can be killed.
type process struct {
	*exec.Cmd
	addr   string
	config string
}

// reload replaces the configuration's file and sends SIGHUP.
func (c *process) reload(t *testing.T, text []byte) {
	t.Helper()
	if err := os.WriteFile(c.config, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := c.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}

// freeAddr is an address that nobody listens on.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// start runs a sender and waits until it is ready.
func start(t *testing.T, p *st.Agent, state string) *process {
	t.Helper()
	c := launch(t, p, state, freeAddr(t), nil)
	c.waitReady(t)
	return c
}

func (c *process) waitReady(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(st.Timeout); ; time.Sleep(10 * time.Millisecond) {
		resp, err := http.Get("http://" + c.addr + "/-/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(end) {
			t.Fatal("the sender does not become ready")
		}
	}
}

// passedSocket is a clients' socket that the platform holds: each process inherits it.
func passedSocket(t *testing.T) (addr string, socket *os.File) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	if socket, err = l.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	return l.Addr().String(), socket
}

// startBeside runs a sender on a socket that it inherits and waits until HEALTH says ok.
func startBeside(t *testing.T, p *st.Agent, state, addr string, socket *os.File) *process {
	t.Helper()
	admin := freeAddr(t)
	c := launch(t, p, state, addr, socket, "EDGE_PASSED_SOCKET=3", "EDGE_ADMIN_ADDR="+admin)
	for end := time.Now().Add(st.Timeout); ; time.Sleep(10 * time.Millisecond) {
		if conn, err := net.Dial("tcp", admin); err == nil {
			_, _ = io.WriteString(conn, "HEALTH\n")
			reply, _ := io.ReadAll(conn)
			_ = conn.Close()
			if string(reply) == "ok\n" {
				return c
			}
		}
		if time.Now().After(end) {
			t.Fatal("the sender does not become healthy")
		}
	}
}

// launch starts a sender's process.
func launch(t *testing.T, p *st.Agent, state, addr string, socket *os.File, env ...string) *process {
	t.Helper()
	return launchLogging(t, p, state, addr, socket, os.Stderr, env...)
}

// launchLogging starts a sender's process whose log goes to a file.
func launchLogging(t *testing.T, p *st.Agent, state, addr string, socket, log *os.File, env ...string) *process {
	t.Helper()
	return launchProgram(t, os.Args[0], p, state, addr, socket, log, env...)
}

// launchProgram starts a process of a given program.
func launchProgram(
	t *testing.T,
	program string,
	p *st.Agent,
	state, addr string,
	socket, log *os.File,
	env ...string,
) *process {
	t.Helper()
	raw, err := json.Marshal(st.Config(p, state))
	if err != nil {
		t.Fatal(err)
	}
	config := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(config, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	c := &process{exec.Command(program), addr, config}
	c.Env = append(
		os.Environ(),
		"SENDER_TEST_CHILD=1",
		"GORACE=atexit_sleep_ms=0",
		"EDGE_CONFIG="+config,
		"EDGE_LISTEN="+addr,
		"EDGE_STATE="+state,
	)
	c.Env = append(c.Env, env...)
	if socket != nil {
		c.ExtraFiles = []*os.File{socket}
	}
	c.Stderr = log
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.Process.Kill() // it may have ended
		_ = c.Wait()
	})
	return c
}

// Accepted messages outlive a kill: a message whose call was in flight is sent again with its id, key and body where
// its class allows a repeat, and ends by a notice where it does not. What was delivered stays so.
func TestMessagesOutliveAKill(t *testing.T) {
	silent := st.NewEndpoint(t, st.Hang)
	good := st.NewEndpoint(t, st.Status(200))
	p := st.NewAgent(t, good.Addr, silent.Addr, silent.Addr)
	state := t.TempDir()
	s := start(t, p, state)
	st.Submit(t, s.addr, "done", "unsafe", 0, 15*time.Second)
	good.Next(t)
	st.Submit(t, s.addr, "keyed", "keyed", 1, 15*time.Second)
	first := silent.Next(t)
	st.Submit(t, s.addr, "unsafe", "unsafe", 2, 15*time.Second)
	silent.Next(t)
	// The answer to "done" is read by the sender in its own time: its end shows in a second message.
	st.Submit(t, s.addr, "done-2", "unsafe", 0, 15*time.Second)
	good.Next(t)
	waitFor(t, filepath.Join(state, "messages.journal"), 2, `"how":"delivered"`)
	_ = s.Process.Kill()
	_ = s.Wait()

	again := st.NewEndpoint(t, st.Status(200))
	p.Change(st.Server("s-1", again.Addr, 1, "SERVING"))
	start(t, p, state)
	if c := again.Next(t); c.ID != "keyed" || c.Key != first.Key || c.Body != first.Body {
		t.Errorf("resumed as %+v, was %+v", c, first)
	}
	if n := st.Receive(t, p.Notices); n.Message != "unsafe" || n.Outcome != "given_up" {
		t.Errorf("notice %+v", n)
	}
	select {
	case c := <-good.Calls:
		t.Errorf("%s was delivered and is sent again", c.ID)
	default:
	}
}

// waitFor waits until a text stands so often in a file.
func waitFor(t *testing.T, file string, times int, text string) {
	t.Helper()
	for end := time.Now().Add(st.Timeout); ; time.Sleep(5 * time.Millisecond) {
		raw, _ := os.ReadFile(file)
		n := 0
		for i := 0; i+len(text) <= len(raw); i++ {
			if string(raw[i:i+len(text)]) == text {
				n++
			}
		}
		if n >= times {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%s holds %q %d times", file, text, n)
		}
	}
}

// After SIGTERM new clients are still served, on connections that end with the response; the process ends by itself in
// time, and what is not done is done by the next one.
func TestRequestsAreServedDuringTheGracePeriod(t *testing.T) {
	silent := st.NewEndpoint(t, st.Hang)
	good := st.NewEndpoint(t, st.Status(200))
	p := st.NewAgent(t, good.Addr, silent.Addr)
	state := t.TempDir()
	s := start(t, p, state)
	st.Submit(t, s.addr, "slow", "keyed", 1, 15*time.Second)
	silent.Next(t)
	began := time.Now()
	if err := s.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	// Clients come on fresh connections for a while yet, and each gets its answer.
	closes := 0
	for n := 0; time.Since(began) < time.Second; n++ {
		r := st.Request(t, s.addr, "late"+strconv.Itoa(n), "keyed", 0, 15*time.Second, "late")
		resp, body := st.Do(t, r)
		if resp.StatusCode != http.StatusAccepted {
			t.Fatalf("after SIGTERM: %s %s", resp.Status, body)
		}
		good.Next(t)
		if resp.Close {
			closes++
		}
		time.Sleep(5 * time.Millisecond)
	}
	if closes == 0 {
		t.Error("connections are kept after SIGTERM")
	}
	if err := s.Wait(); err != nil {
		t.Errorf("it leaves with %v", err)
	}
	if took := time.Since(began); took > 3700*time.Millisecond {
		t.Errorf("it left after %v", took)
	}
	again := st.NewEndpoint(t, st.Status(200))
	p.Change(st.Server("s-1", again.Addr, 1, "SERVING"))
	start(t, p, state)
	if c := again.Next(t); c.ID != "slow" {
		t.Errorf("resumed %+v", c)
	}
}

// A second process is started beside the first, and a third beside that; the platform holds the clients' socket.
// Clients that connect for each request are served at any moment, whether the predecessor ends on SIGTERM or is
// killed, and what it had in flight is sent again only once it is gone.
func TestUpgradesByProcessesLoseNothing(t *testing.T) {
	silent := st.NewEndpoint(t, st.Hang)
	good := st.NewEndpoint(t, st.Status(200))
	p := st.NewAgent(t, good.Addr, silent.Addr)
	state := t.TempDir()
	addr, socket := passedSocket(t)

	stop, stopped, taken := make(chan struct{}), make(chan struct{}), 0
	var between sync.Mutex // held while a request is under way: a kill cuts off those on the dead one's connections
	one := startBeside(t, p, state, addr, socket)
	client := &http.Client{Timeout: st.Timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
			}
			between.Lock()
			resp, err := client.Do(st.Request(t, addr, "m"+strconv.Itoa(taken), "unsafe", 0, 15*time.Second, "x"))
			if err != nil {
				t.Errorf("message %d: %v", taken, err)
				between.Unlock()
				return
			}
			_ = resp.Body.Close()
			between.Unlock()
			if resp.StatusCode != http.StatusAccepted {
				t.Errorf("message %d: %s", taken, resp.Status)
				return
			}
			taken++
			<-good.Calls
		}
	}()
	st.Submit(t, addr, "out", "safe", 1, 15*time.Second)
	silent.Next(t)
	two := startBeside(t, p, state, addr, socket)
	if err := one.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := one.Wait(); err != nil {
		t.Errorf("the first leaves with %v", err)
	}
	if c := silent.Next(t); c.ID != "out" {
		t.Errorf("sent again: %+v", c)
	}
	startBeside(t, p, state, addr, socket)
	between.Lock()
	_ = two.Process.Kill()
	_ = two.Wait()
	between.Unlock()
	if c := silent.Next(t); c.ID != "out" {
		t.Errorf("sent again: %+v", c)
	}
	close(stop)
	<-stopped
	st.Submit(t, addr, "last", "unsafe", 0, 15*time.Second)
	if c := good.Next(t); c.ID != "last" {
		t.Errorf("the endpoint got %s", c.ID)
	}
}

// SIGHUP moves the sender to the platform's new address, for the endpoint list and for notices. An invalid file is a
// line in the log and nothing more.
func TestSIGHUPMovesThePlatform(t *testing.T) {
	old, other := st.NewEndpoint(t, st.Status(200)), st.NewEndpoint(t, st.Status(200))
	p := st.NewAgent(t, old.Addr)
	s := start(t, p, t.TempDir())
	for _, bad := range []string{"", "{", `{"discovery":"nowhere","settings":{}}`, `{"discovery":5}`} {
		s.reload(t, []byte(bad))
	}
	st.Submit(t, s.addr, "a", "keyed", 0, 15*time.Second)
	if c := old.Next(t); c.ID != "a" {
		t.Errorf("the endpoint got %s", c.ID)
	}
	moved := st.NewAgent(t, other.Addr)
	p.RejectNotices(true)
	raw, err := json.Marshal(st.Config(moved, ""))
	if err != nil {
		t.Fatal(err)
	}
	s.reload(t, raw)
	for st.Receive(t, moved.ListRequests) != "" { // the full list, and then
		t.Error("the first request to the new address is for changes")
	}
	st.Receive(t, moved.ListRequests) // it is watched
	st.Submit(t, s.addr, "b", "keyed", 0, 15*time.Second)
	if c := other.Next(t); c.ID != "b" {
		t.Errorf("the new endpoint got %s", c.ID)
	}
	st.Submit(t, s.addr, "c", "keyed", 9, 100*time.Millisecond) // there is no such destination
	if n := st.Receive(t, moved.Notices); n.Message != "c" || n.Outcome != "given_up" {
		t.Errorf("notice %+v", n)
	}
}

// During the shutdown a further SIGTERM changes nothing, and each SIGHUP is obeyed as before: the notices that are
// left go to the platform's new address.
func TestSignalsDuringTheShutdown(t *testing.T) {
	silent := st.NewEndpoint(t, st.Hang)
	platforms := []*st.Agent{st.NewAgent(t, silent.Addr), st.NewAgent(t, silent.Addr)}
	admin := freeAddr(t)
	s := launch(t, platforms[0], t.TempDir(), freeAddr(t), nil, "EDGE_ADMIN_ADDR="+admin)
	until := func(call, want string) {
		t.Helper()
		for end := time.Now().Add(st.Timeout); ; time.Sleep(5 * time.Millisecond) {
			var reply []byte
			if conn, err := net.Dial("tcp", admin); err == nil {
				_, _ = io.WriteString(conn, call+"\n")
				reply, _ = io.ReadAll(conn)
				_ = conn.Close()
			}
			if strings.Contains(string(reply), want) {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("%s gives %q, not %q", call, reply, want)
			}
		}
	}
	until("HEALTH", "ok")
	st.Submit(t, s.addr, "out", "unsafe", 0, 1500*time.Millisecond)
	silent.Next(t)
	for range 2 {
		if err := s.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		until("HEALTH", "fail leaving")
	}
	for n := range 5 {
		raw, err := json.Marshal(st.Config(platforms[(n+1)%2], ""))
		if err != nil {
			t.Fatal(err)
		}
		s.reload(t, raw)
		until("DUMP", "sighup_applied="+strconv.Itoa(n+1)+"\n")
	}
	if n := st.Receive(t, platforms[1].Notices); n.Message != "out" || n.Outcome != "given_up" {
		t.Errorf("notice %+v", n)
	}
	if err := s.Wait(); err != nil {
		t.Errorf("it leaves with %v", err)
	}
}

func TestInvalidConfigurationEndsTheProcessWithOneLine(t *testing.T) {
	services := func(list string) string { return `{"services":[` + list + `]}` }
	const class = `{"name":"a","effect":"read_like","slo":1,"giveUp":2}`
	for settings, named := range map[string]string{
		`{"step":"soon"}`:                "setting step",
		`{"balancers":0}`:                "balancers: 0",
		`{"balancers":-3}`:               "balancers: -3",
		`{"balancers":80,"slotNo":80}`:   "slotNo: 80",
		`{"balancers":80,"slotNo":-1}`:   "slotNo: -1",
		`{"balancers":80,"slotNo":"n1"}`: "setting slotNo",
		`{}`:                             "services is missing",
		services(""):                     "services is missing",
		services(class + "," + class):    "stands twice",
		services(`{"effect":"read_like","slo":1,"giveUp":2}`):                  "services.0.name",
		services(`{"name":"a","slo":1,"giveUp":2}`):                            "services.0.effect is missing",
		services(`{"name":"a","effect":"often","slo":1,"giveUp":2}`):           "services.0.effect",
		services(`{"name":"a","effect":"non_idempotent","slo":1}`):             "services.0.giveUp is missing",
		services(`{"name":"a","effect":"non_idempotent","giveUp":2}`):          "services.0.slo is missing",
		services(`{"name":"a","effect":"non_idempotent","slo":1,"giveUp":-2}`): "must be positive",
		services(`{"name":"a","effect":"idempotency_key","dedupScope":"all",` +
			`"slo":1,"giveUp":2}`): "services.0.dedupWindow is missing",
		services(`{"name":"a","effect":"idempotency_key","dedupWindow":5,` +
			`"slo":1,"giveUp":2}`): "services.0.dedupScope is missing",
	} {
		text := `{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":` + settings + `}`
		file := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c := exec.Command(os.Args[0])
		c.Env = append(os.Environ(), "SENDER_TEST_CHILD=1", "EDGE_CONFIG="+file)
		out, err := c.CombinedOutput()
		if err == nil || bytes.Count(out, []byte("\n")) != 1 || !bytes.Contains(out, []byte(named)) {
			t.Errorf("%s: %v: %s", settings, err, out)
		}
	}
}

// A log that nobody reads stops no sender: neither where its reader is gone nor where it stands still.
func TestBlockedLogStopsNothing(t *testing.T) {
	for name, gone := range map[string]bool{"its reader has gone": true, "its reader stands still": false} {
		t.Run(name, func(t *testing.T) {
			good := st.NewEndpoint(t, st.Status(200))
			p := st.NewAgent(t, good.Addr)
			r, w, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			defer r.Close()
			defer w.Close()
			c := launchLogging(t, p, t.TempDir(), freeAddr(t), nil, w, "EDGE_LOG_LEVEL=debug")
			c.waitReady(t)
			_ = w.Close()
			if gone {
				_ = r.Close()
			}
			client := &http.Client{Timeout: 2 * time.Second}
			for n := range 300 { // some 600 bytes of log each
				resp, err := client.Do(st.Request(t, c.addr, "m"+strconv.Itoa(n), "safe", 0, 5*time.Second, "body"))
				if err != nil {
					t.Fatalf("message %d: %v", n, err)
				}
				_ = resp.Body.Close()
				if resp.StatusCode != http.StatusAccepted {
					t.Fatalf("message %d: %s", n, resp.Status)
				}
				good.Next(t)
			}
		})
	}
}
