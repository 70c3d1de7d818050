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

// TestMain runs the sender instead of the tests if a test has started this program as a sender's process.
func TestMain(m *testing.M) {
	if os.Getenv("SENDER_TEST_CHILD") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// process is a sender that runs as a process of its own, so that a test can kill it.
type process struct {
	*exec.Cmd
	addr   string
	config string
}

// reload replaces the configuration file and sends SIGHUP.
func (p *process) reload(t *testing.T, text []byte) {
	t.Helper()
	if err := os.WriteFile(p.config, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := p.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
}

// freeAddr returns an address on which no process listens.
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
func start(t *testing.T, agent *st.Agent, state string) *process {
	t.Helper()
	p := launch(t, agent, state, freeAddr(t), nil)
	p.waitReady(t)
	return p
}

// waitReady waits until the sender reports that it is ready.
func (p *process) waitReady(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(st.Timeout); ; time.Sleep(10 * time.Millisecond) {
		resp, err := http.Get("http://" + p.addr + "/-/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(end) {
			t.Fatal("the sender is not ready in time")
		}
	}
}

// passedSocket returns a listening socket for clients, as the platform holds one: each process inherits it.
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

// startOnSocket runs a sender on a socket that it inherits and waits until HEALTH returns ok.
func startOnSocket(t *testing.T, agent *st.Agent, state, addr string, socket *os.File) *process {
	t.Helper()
	admin := freeAddr(t)
	p := launch(t, agent, state, addr, socket, "EDGE_PASSED_SOCKET=3", "EDGE_ADMIN_ADDR="+admin)
	for end := time.Now().Add(st.Timeout); ; time.Sleep(10 * time.Millisecond) {
		if conn, err := net.Dial("tcp", admin); err == nil {
			_, _ = io.WriteString(conn, "HEALTH\n")
			reply, _ := io.ReadAll(conn)
			_ = conn.Close()
			if string(reply) == "ok\n" {
				return p
			}
		}
		if time.Now().After(end) {
			t.Fatal("the sender is not healthy in time")
		}
	}
}

// launch starts a sender's process.
func launch(t *testing.T, agent *st.Agent, state, addr string, socket *os.File, env ...string) *process {
	t.Helper()
	return launchLogging(t, agent, state, addr, socket, os.Stderr, env...)
}

// launchLogging starts a sender's process that writes its log to a file.
func launchLogging(t *testing.T, agent *st.Agent, state, addr string, socket, log *os.File, env ...string) *process {
	t.Helper()
	return launchProgram(t, os.Args[0], agent, state, addr, socket, log, env...)
}

// launchProgram starts a sender's process from the given program.
func launchProgram(
	t *testing.T,
	program string,
	agent *st.Agent,
	state, addr string,
	socket, log *os.File,
	env ...string,
) *process {
	t.Helper()
	raw, err := json.Marshal(st.Config(agent, state))
	if err != nil {
		t.Fatal(err)
	}
	config := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(config, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{exec.Command(program), addr, config}
	p.Env = append(
		os.Environ(),
		"SENDER_TEST_CHILD=1",
		"GORACE=atexit_sleep_ms=0",
		"EDGE_CONFIG="+config,
		"EDGE_LISTEN="+addr,
		"EDGE_STATE="+state,
	)
	p.Env = append(p.Env, env...)
	if socket != nil {
		p.ExtraFiles = []*os.File{socket}
	}
	p.Stderr = log
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.Process.Kill() // it may have ended
		_ = p.Wait()
	})
	return p
}

// Guards against accepted messages that are lost or delivered twice when the sender is killed. The next process must
// send a message whose call was in flight again, with the same id, key and body, if its class allows a repeat, and else
// end it by a notice. It must not send delivered messages again.
func TestMessagesSurviveAKill(t *testing.T) {
	silent := st.NewEndpoint(t, st.NeverAnswer)
	good := st.NewEndpoint(t, st.AnswerStatus(200))
	agent := st.NewAgent(t, good.Addr, silent.Addr, silent.Addr)
	state := t.TempDir()
	sender := start(t, agent, state)
	st.Submit(t, sender.addr, "done", "unsafe", 0, 15*time.Second)
	good.NextCall(t)
	st.Submit(t, sender.addr, "keyed", "keyed", 1, 15*time.Second)
	first := silent.NextCall(t)
	st.Submit(t, sender.addr, "unsafe", "unsafe", 2, 15*time.Second)
	silent.NextCall(t)
	// The test cannot see when the sender has read the response to "done", so it waits for two delivered messages in
	// the journal: "done" and "done-2".
	st.Submit(t, sender.addr, "done-2", "unsafe", 0, 15*time.Second)
	good.NextCall(t)
	waitForText(t, filepath.Join(state, "messages.journal"), 2, `"how":"delivered"`)
	_ = sender.Process.Kill()
	_ = sender.Wait()

	replacement := st.NewEndpoint(t, st.AnswerStatus(200))
	agent.UpdateList(st.ListEntry("s-1", replacement.Addr, 1, "SERVING"))
	start(t, agent, state)
	if c := replacement.NextCall(t); c.ID != "keyed" || c.Key != first.Key || c.Body != first.Body {
		t.Errorf("sent again as %+v, first sent as %+v", c, first)
	}
	if n := st.Receive(t, agent.Notices); n.Message != "unsafe" || n.Outcome != "given_up" {
		t.Errorf("unexpected notice %+v", n)
	}
	select {
	case c := <-good.Calls:
		t.Errorf("%s was delivered and is sent again", c.ID)
	default:
	}
}

// waitForText waits until a file contains a text the given number of times.
func waitForText(t *testing.T, file string, times int, text string) {
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
			t.Fatalf("%s contains %q only %d times", file, text, n)
		}
	}
}

// Guards against requests that are refused, and messages that are lost, after SIGTERM. Clients still connect then,
// and must be served on connections that are closed with the response. The process must exit by itself in time, and
// the next process must deliver the message that is still in flight.
func TestRequestsAreServedDuringTheGracePeriod(t *testing.T) {
	silent := st.NewEndpoint(t, st.NeverAnswer)
	good := st.NewEndpoint(t, st.AnswerStatus(200))
	agent := st.NewAgent(t, good.Addr, silent.Addr)
	state := t.TempDir()
	sender := start(t, agent, state)
	st.Submit(t, sender.addr, "slow", "keyed", 1, 15*time.Second)
	silent.NextCall(t)
	began := time.Now()
	if err := sender.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	// Clients still open new connections for a while, and each must get its response.
	closes := 0
	for n := 0; time.Since(began) < time.Second; n++ {
		r := st.Request(t, sender.addr, "late"+strconv.Itoa(n), "keyed", 0, 15*time.Second, "late")
		resp, body := st.SendRequest(t, r)
		if resp.StatusCode != http.StatusAccepted {
			t.Fatalf("response after SIGTERM: %s %s", resp.Status, body)
		}
		good.NextCall(t)
		if resp.Close {
			closes++
		}
		time.Sleep(5 * time.Millisecond)
	}
	if closes == 0 {
		t.Error("connections are kept open after SIGTERM")
	}
	if err := sender.Wait(); err != nil {
		t.Errorf("the sender exits with %v", err)
	}
	if took := time.Since(began); took > 3700*time.Millisecond {
		t.Errorf("the sender exited only after %v", took)
	}
	replacement := st.NewEndpoint(t, st.AnswerStatus(200))
	agent.UpdateList(st.ListEntry("s-1", replacement.Addr, 1, "SERVING"))
	start(t, agent, state)
	if c := replacement.NextCall(t); c.ID != "slow" {
		t.Errorf("the next process sent %+v, want message slow", c)
	}
}

// Guards against messages that are lost or refused in an upgrade. A second process is started while the first runs, and
// a third while the second runs; the platform holds the clients' socket. Clients that open a connection for each
// request must be served at any time, whether the predecessor exits on SIGTERM or is killed. A call that the
// predecessor has in flight must be made again only once the predecessor has exited.
func TestUpgradesLoseNoMessages(t *testing.T) {
	silent := st.NewEndpoint(t, st.NeverAnswer)
	good := st.NewEndpoint(t, st.AnswerStatus(200))
	agent := st.NewAgent(t, good.Addr, silent.Addr)
	state := t.TempDir()
	addr, socket := passedSocket(t)

	stop, stopped, accepted := make(chan struct{}), make(chan struct{}), 0
	var requestMutex sync.Mutex // held during a request, as a kill would break it
	first := startOnSocket(t, agent, state, addr, socket)
	client := &http.Client{Timeout: st.Timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
			}
			requestMutex.Lock()
			resp, err := client.Do(st.Request(t, addr, "m"+strconv.Itoa(accepted), "unsafe", 0, 15*time.Second, "x"))
			if err != nil {
				t.Errorf("message %d is not answered: %v", accepted, err)
				requestMutex.Unlock()
				return
			}
			_ = resp.Body.Close()
			requestMutex.Unlock()
			if resp.StatusCode != http.StatusAccepted {
				t.Errorf("message %d is answered %s", accepted, resp.Status)
				return
			}
			accepted++
			<-good.Calls
		}
	}()
	st.Submit(t, addr, "out", "safe", 1, 15*time.Second)
	silent.NextCall(t)
	second := startOnSocket(t, agent, state, addr, socket)
	if err := first.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := first.Wait(); err != nil {
		t.Errorf("the first process exits with %v", err)
	}
	if c := silent.NextCall(t); c.ID != "out" {
		t.Errorf("the second process sent %+v, want message out", c)
	}
	startOnSocket(t, agent, state, addr, socket)
	requestMutex.Lock()
	_ = second.Process.Kill()
	_ = second.Wait()
	requestMutex.Unlock()
	if c := silent.NextCall(t); c.ID != "out" {
		t.Errorf("the third process sent %+v, want message out", c)
	}
	close(stop)
	<-stopped
	st.Submit(t, addr, "last", "unsafe", 0, 15*time.Second)
	if c := good.NextCall(t); c.ID != "last" {
		t.Errorf("the endpoint got %s", c.ID)
	}
}

// Guards against a reload that is not applied completely: after SIGHUP the sender must use the platform's new address
// both for the endpoint list and for notices. An invalid file must change nothing; it is only logged.
func TestSIGHUPChangesThePlatformAddress(t *testing.T) {
	oldEndpoint, newEndpoint := st.NewEndpoint(t, st.AnswerStatus(200)), st.NewEndpoint(t, st.AnswerStatus(200))
	agent := st.NewAgent(t, oldEndpoint.Addr)
	sender := start(t, agent, t.TempDir())
	for _, bad := range []string{"", "{", `{"discovery":"nowhere","settings":{}}`, `{"discovery":5}`} {
		sender.reload(t, []byte(bad))
	}
	st.Submit(t, sender.addr, "a", "keyed", 0, 15*time.Second)
	if c := oldEndpoint.NextCall(t); c.ID != "a" {
		t.Errorf("the endpoint got %s", c.ID)
	}
	newAgent := st.NewAgent(t, newEndpoint.Addr)
	agent.SetNoticesUnavailable(true)
	raw, err := json.Marshal(st.Config(newAgent, ""))
	if err != nil {
		t.Fatal(err)
	}
	sender.reload(t, raw)
	for st.Receive(t, newAgent.ListRequests) != "" { // the request for the full list
		t.Error("the first request to the new address is for changes")
	}
	st.Receive(t, newAgent.ListRequests) // the request for changes
	st.Submit(t, sender.addr, "b", "keyed", 0, 15*time.Second)
	if c := newEndpoint.NextCall(t); c.ID != "b" {
		t.Errorf("the new endpoint got %s", c.ID)
	}
	st.Submit(t, sender.addr, "c", "keyed", 9, 100*time.Millisecond) // there is no such destination
	if n := st.Receive(t, newAgent.Notices); n.Message != "c" || n.Outcome != "given_up" {
		t.Errorf("unexpected notice %+v", n)
	}
}

// Guards against signals that disturb a shutdown or are ignored in it: a second SIGTERM must change nothing, and each
// SIGHUP must be applied as before, so that the remaining notices go to the platform's new address.
func TestSignalsDuringTheShutdown(t *testing.T) {
	silent := st.NewEndpoint(t, st.NeverAnswer)
	platforms := []*st.Agent{st.NewAgent(t, silent.Addr), st.NewAgent(t, silent.Addr)}
	admin := freeAddr(t)
	sender := launch(t, platforms[0], t.TempDir(), freeAddr(t), nil, "EDGE_ADMIN_ADDR="+admin)
	waitAdmin := func(call, want string) {
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
				t.Fatalf("the reply to %s is %q, want %q", call, reply, want)
			}
		}
	}
	waitAdmin("HEALTH", "ok")
	st.Submit(t, sender.addr, "out", "unsafe", 0, 1500*time.Millisecond)
	silent.NextCall(t)
	for range 2 {
		if err := sender.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		waitAdmin("HEALTH", "fail leaving")
	}
	for n := range 5 {
		raw, err := json.Marshal(st.Config(platforms[(n+1)%2], ""))
		if err != nil {
			t.Fatal(err)
		}
		sender.reload(t, raw)
		waitAdmin("DUMP", "sighup_applied="+strconv.Itoa(n+1)+"\n")
	}
	if n := st.Receive(t, platforms[1].Notices); n.Message != "out" || n.Outcome != "given_up" {
		t.Errorf("unexpected notice %+v", n)
	}
	if err := sender.Wait(); err != nil {
		t.Errorf("the sender exits with %v", err)
	}
}

func TestInvalidConfigurationEndsTheProcessWithOneLine(t *testing.T) {
	services := func(list string) string { return `{"services":[` + list + `]}` }
	const class = `{"name":"a","effect":"read_like","slo":1,"giveUp":2}`
	for settings, want := range map[string]string{
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
		if err == nil || bytes.Count(out, []byte("\n")) != 1 || !bytes.Contains(out, []byte(want)) {
			t.Errorf("settings %s: exit %v, output %s", settings, err, out)
		}
	}
}

// Guards against a sender that stops because its log cannot be written: the reader of the pipe has closed it, or does
// not read.
func TestBlockedLogDoesNotStopTheSender(t *testing.T) {
	for name, readerClosed := range map[string]bool{"reader closed": true, "reader does not read": false} {
		t.Run(name, func(t *testing.T) {
			good := st.NewEndpoint(t, st.AnswerStatus(200))
			agent := st.NewAgent(t, good.Addr)
			r, w, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			defer r.Close()
			defer w.Close()
			p := launchLogging(t, agent, t.TempDir(), freeAddr(t), nil, w, "EDGE_LOG_LEVEL=debug")
			p.waitReady(t)
			_ = w.Close()
			if readerClosed {
				_ = r.Close()
			}
			client := &http.Client{Timeout: 2 * time.Second}
			for n := range 300 { // each logs about 600 bytes
				resp, err := client.Do(st.Request(t, p.addr, "m"+strconv.Itoa(n), "safe", 0, 5*time.Second, "body"))
				if err != nil {
					t.Fatalf("message %d is not answered: %v", n, err)
				}
				_ = resp.Body.Close()
				if resp.StatusCode != http.StatusAccepted {
					t.Fatalf("message %d is answered %s", n, resp.Status)
				}
				good.NextCall(t)
			}
		})
	}
}
