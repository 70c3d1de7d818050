package sender

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/clock"
	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/handover"
	"onyxdyke.example/onyxdyke/internal/journal"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// freeAddress is an address on which nobody listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// adminCall makes one call at the admin address and returns the whole reply.
func adminCall(t *testing.T, addr, call string) string {
	t.Helper()
	var c net.Conn
	var err error
	for end := time.Now().Add(st.Timeout); ; time.Sleep(5 * time.Millisecond) {
		if c, err = net.Dial("tcp", addr); err == nil {
			break
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(st.Timeout))
	if _, err := io.WriteString(c, call); err != nil {
		t.Fatal(err)
	}
	reply, err := io.ReadAll(c)
	if err != nil {
		t.Fatalf("%q: %v", call, err)
	}
	return string(reply)
}

// readMetrics reads the metrics once.
func readMetrics(t *testing.T, addr string) map[string]int {
	t.Helper()
	text, complete := strings.CutSuffix(adminCall(t, addr, "DUMP\n"), "eof\n")
	if !complete {
		t.Fatalf("the metrics have no end: %q", text)
	}
	got := map[string]int{}
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		name, value, _ := strings.Cut(line, "=")
		n, err := strconv.Atoi(value)
		short, ok := strings.CutPrefix(name, "edge_edge.")
		if err != nil || !ok {
			t.Fatalf("line %q", line)
		}
		got[short] = n
	}
	return got
}

// awaitMetrics waits until the metrics are as wanted.
func awaitMetrics(t *testing.T, addr string, want map[string]int) {
	t.Helper()
	var got map[string]int
	for end := time.Now().Add(st.Timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		got = readMetrics(t, addr)
		maps.DeleteFunc(got, func(name string, _ int) bool { _, asked := want[name]; return !asked })
		if maps.Equal(got, want) {
			return
		}
	}
	t.Fatalf("metrics %v, want %v", got, want)
}

// runningSender is a sender in this process that a test may stop.
type runningSender struct {
	*Sender
	addr string
	stop func()
}

// startSenderIn starts a sender in an environment whose calls may fail. edit may change its configuration.
func startSenderIn(t *testing.T, env Environment, p *st.Agent, edit func(c *config.Config)) *runningSender {
	t.Helper()
	s := newTestIn(t, env, p, edit)
	ctx, cancel := context.WithCancel(context.Background())
	done, addr := make(chan error, 1), make(chan string, 1)
	go func() {
		done <- s.Run(ctx, func() (net.Listener, error) {
			l, err := net.Listen("tcp", s.config.Listen)
			if err == nil {
				addr <- l.Addr().String()
			}
			return l, err
		})
	}()
	l := &runningSender{Sender: s, stop: sync.OnceFunc(func() {
		cancel()
		if err := st.Receive(t, done); err != nil {
			t.Error(err)
		}
	})}
	t.Cleanup(l.stop)
	l.addr = st.Receive(t, addr)
	return l
}

// platformSocket is a clients' socket that the platform holds: each process listens on a descriptor of its own.
func platformSocket(t *testing.T) (addr string, listen ListenFunc) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = f.Close(), l.Close() })
	return l.Addr().String(), func() (net.Listener, error) { return net.FileListener(f) }
}

// startProcess starts a sender whose state directory and socket other senders use as well. It returns its admin address
// and what stops it.
func startProcess(
	t *testing.T, p *st.Agent, state string, listen ListenFunc,
) (admin string, stop func()) {
	t.Helper()
	return startProcessIn(t, OperatingSystem(), p, state, listen)
}

// startProcessIn is startProcess in an environment whose calls may fail.
func startProcessIn(
	t *testing.T, env Environment, p *st.Agent, state string, listen ListenFunc,
) (admin string, stop func()) {
	t.Helper()
	admin = freeAddress(t)
	s := newTestIn(t, env, p, func(c *config.Config) { c.State, c.Admin = state, admin })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx, listen) }()
	stopped := false
	stop = func() {
		if !stopped {
			stopped = true
			cancel()
			if err := st.Receive(t, done); err != nil {
				t.Error(err)
			}
		}
	}
	t.Cleanup(stop)
	awaitHealth(t, admin, "ok\n")
	return admin, stop
}

// awaitHealth waits until HEALTH answers as wanted.
func awaitHealth(t *testing.T, admin, want string) {
	t.Helper()
	got := ""
	for end := time.Now().Add(st.Timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if got = adminCall(t, admin, "HEALTH\n"); got == want {
			return
		}
	}
	t.Fatalf("HEALTH: %q, want %q", got, want)
}

// answerOnceOpen is an endpoint's script that answers once open is closed.
func answerOnceOpen(open <-chan struct{}) func(st.Call, net.Conn) bool {
	return func(c st.Call, conn net.Conn) bool {
		<-open
		return st.Status(200)(c, conn)
	}
}

// reply is a response whose body has been read.
type reply struct {
	Status     string
	StatusCode int
	Header     http.Header
	Close      bool // the connection ends with the response
}

func newReply(resp *http.Response) reply {
	return reply{Status: resp.Status, StatusCode: resp.StatusCode, Header: resp.Header, Close: resp.Close}
}

// do sends a request and returns the response and its body.
func do(t *testing.T, r *http.Request) (reply, string) {
	t.Helper()
	resp, body := st.Do(t, r)
	return reply(*resp), body
}

// readReply reads a response from a connection.
func readReply(r *bufio.Reader) (reply, error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	return newReply(resp), nil
}

// sendOn sends a request on a connection that the client keeps.
func sendOn(t *testing.T, c net.Conn, r *bufio.Reader, req *http.Request) reply {
	t.Helper()
	_ = c.SetDeadline(time.Now().Add(st.Timeout))
	resp, err := exchange(c, r, req)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// exchange writes a request and reads its response to the end.
func exchange(c net.Conn, r *bufio.Reader, req *http.Request) (reply, error) {
	if err := req.Write(c); err != nil {
		return reply{}, err
	}
	resp, err := http.ReadResponse(r, req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return newReply(resp), err
}

// requestSnapshot plays a successor: it gets the lock owner's snapshot and does nothing with it.
func requestSnapshot(t *testing.T, state string) (*handover.Link, *handover.Snapshot) {
	t.Helper()
	// The lock owner's socket may open after HEALTH says ok.
	for until := time.Now().Add(st.Timeout); ; time.Sleep(time.Millisecond) {
		link, snapshot, err := handover.RequestSnapshot(context.Background(), state)
		if err == nil {
			t.Cleanup(link.Close)
			return link, snapshot
		}
		if time.Now().After(until) {
			t.Fatal(err)
		}
	}
}

// stoppableSender is a sender whose shutdown a test observes.
type stoppableSender struct {
	*Sender
	addr string
	stop context.CancelFunc // SIGTERM
	done chan error
}

// startStoppable starts a sender and returns once it listens.
func startStoppable(t *testing.T, p *st.Agent, edit func(c *config.Config)) *stoppableSender {
	t.Helper()
	s, addr := newTest(t, p, edit), make(chan string, 1)
	l := newStoppable(s)
	l.run(func() (net.Listener, error) {
		nl, err := net.Listen("tcp", l.config.Listen)
		if err == nil {
			addr <- nl.Addr().String()
		}
		return nl, err
	})
	l.addr = st.Receive(t, addr)
	return l
}

func newStoppable(s *Sender) *stoppableSender {
	return &stoppableSender{Sender: s, done: make(chan error, 1)}
}

// run starts the sender. stop requests its shutdown, and done gets its result.
func (l *stoppableSender) run(listen ListenFunc) {
	var ctx context.Context
	ctx, l.stop = context.WithCancel(context.Background())
	go func() { l.done <- l.Run(ctx, listen) }()
}

// awaitEnd waits for the end of the process and returns the messages that the next one finds.
func (l *stoppableSender) awaitEnd(t *testing.T) map[string]*journal.Message {
	t.Helper()
	if err := st.Receive(t, l.done); err != nil {
		t.Error(err)
	}
	j := openJournal(t, l.upgrade.stateDir)
	defer j.Close()
	pending := map[string]*journal.Message{}
	for _, m := range j.Messages() {
		pending[m.ID] = m
	}
	return pending
}

// openJournal opens a state directory's journal.
func openJournal(t *testing.T, dir string) *journal.Journal {
	t.Helper()
	const budget = 1 << 20 // bytes
	j, err := journal.Open(journal.OSFileSystem{}, clock.New(time.Now()), dir, budget)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// renderRequest is a request as it is written.
func renderRequest(t *testing.T, r *http.Request) string {
	t.Helper()
	var text bytes.Buffer
	if err := r.Write(&text); err != nil {
		t.Fatal(err)
	}
	return text.String()
}

// dial connects to an address until the test ends.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(st.Timeout))
	return c
}

// awaitDrain waits until a sender that shuts down starts no more calls: then it rejects new messages.
func (l *stoppableSender) awaitDrain(t *testing.T) {
	t.Helper()
	for n, status := 0, 0; status != http.StatusServiceUnavailable; n++ {
		resp, _ := do(t, st.Request(t, l.addr, "probe"+strconv.Itoa(n), "safe", 7, 15*time.Second, "body"))
		status = resp.StatusCode
	}
}

// newTest makes a sender with a short shutdown. edit may change its configuration.
func newTest(t *testing.T, p *st.Agent, edit func(c *config.Config)) *Sender {
	t.Helper()
	return newTestIn(t, OperatingSystem(), p, edit)
}

// newTestIn is newTest in an environment whose calls may fail.
func newTestIn(t *testing.T, env Environment, p *st.Agent, edit func(c *config.Config)) *Sender {
	t.Helper()
	raw, err := json.Marshal(st.Config(p, t.TempDir()))
	if err != nil {
		t.Fatal(err)
	}
	c, err := config.Parse(raw)
	if err != nil {
		t.Fatal(err)
	}
	if edit != nil {
		edit(c)
	}
	s, err := NewInEnvironment(context.Background(), env, c, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	s.shutdown.gracePeriod, s.shutdown.drainTimeout = 0, 100*time.Millisecond
	return s
}

// startSender starts a sender in this process and returns its address.
func startSender(t *testing.T, p *st.Agent, edit func(c *config.Config)) string {
	t.Helper()
	return startSenderIn(t, OperatingSystem(), p, edit).addr
}
