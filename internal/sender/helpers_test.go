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

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// adminCommand sends a command to the admin address, once it can be reached, and returns the whole reply.
func adminCommand(t *testing.T, addr, command string) string {
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
	if _, err := io.WriteString(c, command); err != nil {
		t.Fatal(err)
	}
	reply, err := io.ReadAll(c)
	if err != nil {
		t.Fatalf("reading the reply to the admin command %q: %v", command, err)
	}
	return string(reply)
}

// readMetrics returns the current metrics by name, without the prefix that all names share.
func readMetrics(t *testing.T, addr string) map[string]int {
	t.Helper()
	text, complete := strings.CutSuffix(adminCommand(t, addr, "DUMP\n"), "eof\n")
	if !complete {
		t.Fatalf("the reply to DUMP does not end with eof: %q", text)
	}
	got := map[string]int{}
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		name, value, _ := strings.Cut(line, "=")
		n, err := strconv.Atoi(value)
		shortName, ok := strings.CutPrefix(name, "edge_edge.")
		if err != nil || !ok {
			t.Fatalf("invalid line in the reply to DUMP: %q", line)
		}
		got[shortName] = n
	}
	return got
}

// awaitMetrics waits until each metric in want has the value that is given there.
func awaitMetrics(t *testing.T, addr string, want map[string]int) {
	t.Helper()
	var got map[string]int
	for end := time.Now().Add(st.Timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		got = readMetrics(t, addr)
		maps.DeleteFunc(got, func(name string, _ int) bool { _, wanted := want[name]; return !wanted })
		if maps.Equal(got, want) {
			return
		}
	}
	t.Fatalf("metrics %v, want %v", got, want)
}

// runningSender is a sender that runs in the test process. stop shuts it down and waits for its end.
type runningSender struct {
	*Sender
	addr string
	stop func()
}

// startSenderIn starts a sender in an environment, some of whose operations may fail, and waits until it listens. edit
// changes the configuration; it may be nil.
func startSenderIn(t *testing.T, env Environment, agent *st.Agent, edit func(c *config.Config)) *runningSender {
	t.Helper()
	s := newTestSenderIn(t, env, agent, edit)
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
	running := &runningSender{Sender: s, stop: sync.OnceFunc(func() {
		cancel()
		if err := st.Receive(t, done); err != nil {
			t.Error(err)
		}
	})}
	t.Cleanup(running.stop)
	running.addr = st.Receive(t, addr)
	return running
}

// platformSocket opens a socket for clients that several processes can use one after another, like the socket that the
// platform passes. It returns the socket's address and a function that listens on a duplicate of its descriptor.
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

// startProcess starts a sender that shares its state directory and its socket with other senders, as the processes of
// an upgrade do, and waits until it is healthy. It returns its admin address and a function that shuts it down.
func startProcess(
	t *testing.T, agent *st.Agent, state string, listen ListenFunc,
) (admin string, stop func()) {
	t.Helper()
	return startProcessIn(t, OperatingSystem(), agent, state, listen)
}

// startProcessIn is like startProcess, but takes the environment.
func startProcessIn(
	t *testing.T, env Environment, agent *st.Agent, state string, listen ListenFunc,
) (admin string, stop func()) {
	t.Helper()
	admin = freeAddress(t)
	s := newTestSenderIn(t, env, agent, func(c *config.Config) { c.State, c.Admin = state, admin })
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

// awaitHealth waits until the admin command HEALTH is answered with want.
func awaitHealth(t *testing.T, admin, want string) {
	t.Helper()
	got := ""
	for end := time.Now().Add(st.Timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if got = adminCommand(t, admin, "HEALTH\n"); got == want {
			return
		}
	}
	t.Fatalf("HEALTH is answered %q, want %q", got, want)
}

// answerAfter returns a function that answers an endpoint's calls with status 200 once release is closed.
func answerAfter(release <-chan struct{}) func(st.Call, net.Conn) bool {
	return func(c st.Call, conn net.Conn) bool {
		<-release
		return st.AnswerStatus(200)(c, conn)
	}
}

// reply holds the status and the header of a response whose body has been read.
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
	resp, body := st.SendRequest(t, r)
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

// sendOn sends a request on a connection that stays open, and returns the response.
func sendOn(t *testing.T, c net.Conn, r *bufio.Reader, req *http.Request) reply {
	t.Helper()
	_ = c.SetDeadline(time.Now().Add(st.Timeout))
	resp, err := exchange(c, r, req)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// exchange writes a request to a connection and reads the whole response.
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

// requestSnapshot acts as a successor: it requests the lock owner's snapshot, and returns it with the link. The test
// itself then acts for the successor on the link.
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

// stoppableSender is a sender that runs in the test process and whose shutdown the test observes.
type stoppableSender struct {
	*Sender
	addr string
	stop context.CancelFunc // requests the shutdown, as SIGTERM does
	done chan error
}

// startStoppable starts a sender and waits until it listens. edit changes the configuration; it may be nil.
func startStoppable(t *testing.T, agent *st.Agent, edit func(c *config.Config)) *stoppableSender {
	t.Helper()
	s, addr := newTestSender(t, agent, edit), make(chan string, 1)
	stoppable := newStoppable(s)
	stoppable.run(func() (net.Listener, error) {
		nl, err := net.Listen("tcp", stoppable.config.Listen)
		if err == nil {
			addr <- nl.Addr().String()
		}
		return nl, err
	})
	stoppable.addr = st.Receive(t, addr)
	return stoppable
}

// newStoppable returns a stoppableSender that has not been started.
func newStoppable(s *Sender) *stoppableSender {
	return &stoppableSender{Sender: s, done: make(chan error, 1)}
}

// run starts the sender. From then on stop requests its shutdown, and done receives the result of Run.
func (s *stoppableSender) run(listen ListenFunc) {
	var ctx context.Context
	ctx, s.stop = context.WithCancel(context.Background())
	go func() { s.done <- s.Run(ctx, listen) }()
}

// awaitEnd waits until Run has returned, and returns the messages, by ID, that the next process finds in the journal.
func (s *stoppableSender) awaitEnd(t *testing.T) map[string]*journal.Message {
	t.Helper()
	if err := st.Receive(t, s.done); err != nil {
		t.Error(err)
	}
	j := openJournal(t, s.upgrade.stateDir)
	defer j.Close()
	pending := map[string]*journal.Message{}
	for _, m := range j.Messages() {
		pending[m.ID] = m
	}
	return pending
}

// openJournal opens the journal in a state directory.
func openJournal(t *testing.T, dir string) *journal.Journal {
	t.Helper()
	const budget = 1 << 20 // bytes
	j, err := journal.Open(journal.OSFileSystem{}, clock.New(time.Now()), dir, budget)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// renderRequest returns a request in its encoding for the wire.
func renderRequest(t *testing.T, r *http.Request) string {
	t.Helper()
	var text bytes.Buffer
	if err := r.Write(&text); err != nil {
		t.Fatal(err)
	}
	return text.String()
}

// dial connects to an address. The connection is closed when the test ends.
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

// awaitDrain waits until the grace period of a shutdown is over. From then on the sender starts no calls and rejects
// new messages, which is how awaitDrain notices it.
func (s *stoppableSender) awaitDrain(t *testing.T) {
	t.Helper()
	for n, status := 0, 0; status != http.StatusServiceUnavailable; n++ {
		resp, _ := do(t, st.Request(t, s.addr, "probe"+strconv.Itoa(n), "safe", 7, 15*time.Second, "body"))
		status = resp.StatusCode
	}
}

// newTestSender returns a sender with a short shutdown. edit changes the configuration; it may be nil.
func newTestSender(t *testing.T, agent *st.Agent, edit func(c *config.Config)) *Sender {
	t.Helper()
	return newTestSenderIn(t, OperatingSystem(), agent, edit)
}

// newTestSenderIn is like newTestSender, but takes the environment.
func newTestSenderIn(t *testing.T, env Environment, agent *st.Agent, edit func(c *config.Config)) *Sender {
	t.Helper()
	raw, err := json.Marshal(st.Config(agent, t.TempDir()))
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

// startSender starts a sender in the test process and returns its address. edit changes the configuration; it may be
// nil.
func startSender(t *testing.T, agent *st.Agent, edit func(c *config.Config)) string {
	t.Helper()
	return startSenderIn(t, OperatingSystem(), agent, edit).addr
}
