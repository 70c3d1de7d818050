package sender

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/clock"
	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/endpointlist"
	"onyxdyke.example/onyxdyke/internal/journal"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// newTest makes a sender that leaves quickly; edit may change its configuration.
func newTest(t *testing.T, p *st.Platform, edit func(c *Config)) *Sender {
	t.Helper()
	return newTestIn(t, OperatingSystem(), p, edit)
}

// newTestIn is newTest in an environment that a test may spoil.
func newTestIn(t *testing.T, env Environment, p *st.Platform, edit func(c *Config)) *Sender {
	t.Helper()
	raw, err := json.Marshal(st.Config(p, t.TempDir()))
	if err != nil {
		t.Fatal(err)
	}
	c, err := ParseConfig(raw)
	if err != nil {
		t.Fatal(err)
	}
	if edit != nil {
		edit(c)
	}
	s, err := NewIn(context.Background(), env, c, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	s.gracePeriod, s.drainTimeout = 0, 100*time.Millisecond
	return s
}

// run starts a sender in this process and gives its address.
func run(t *testing.T, p *st.Platform, edit func(c *Config)) string {
	t.Helper()
	return live(t, OperatingSystem(), p, edit).addr
}

func TestDelivery(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	addr := run(t, st.NewPlatform(t, e.Addr), nil)
	body := string([]byte{0, 255, '\r', '\n'}) + strings.Repeat("x", maxBody-4)
	r := st.Message(t, addr, "m1", "keyed", 0, 5*time.Second, body)
	r.Header.Set("X-Addressing", "other=1, dest=0")
	if resp, text := st.Do(t, r); resp.StatusCode != http.StatusAccepted {
		t.Fatalf("%s %s", resp.Status, text)
	}
	if c := e.Next(t); c.ID != "m1" || c.Key != "key-m1" || c.Body != body {
		t.Errorf("%s %s, %d bytes", c.ID, c.Key, len(c.Body))
	}
}

// Names are the settings' business: they may hold blanks and commas.
func TestNamesWithBlanks(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, e.Addr)
	text := st.Config(p, t.TempDir())
	settings := text["settings"].(map[string]any)
	settings["services"].([]any)[1].(map[string]any)["name"] = "order, new"
	settings["orgs"].([]any)[0].(map[string]any)["name"] = "acme & sons"
	raw, err := json.Marshal(text)
	if err != nil {
		t.Fatal(err)
	}
	addr := run(t, p, func(c *Config) {
		parsed, err := ParseConfig(raw)
		if err != nil {
			t.Fatal(err)
		}
		*c = *parsed
	})
	r := st.Message(t, addr, "m", "order, new", 0, 5*time.Second, "x")
	r.Header.Set("X-Tenant", "acme & sons")
	if resp, text := st.Do(t, r); resp.StatusCode != http.StatusAccepted {
		t.Fatalf("%s %s", resp.Status, text)
	}
	if c := e.Next(t); c.ID != "m" {
		t.Errorf("the endpoint got %s", c.ID)
	}
}

// Input that is not sound gets a plain line, goes no further, and leaves the sender serving.
func TestBadInput(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	addr := run(t, st.NewPlatform(t, e.Addr), nil)
	for name, c := range map[string]struct {
		edit   func(*http.Request)
		status int
	}{
		"no id":            {func(r *http.Request) { r.Header.Del("X-Request-Id") }, 400},
		"endless id":       {func(r *http.Request) { r.Header.Set("X-Request-Id", strings.Repeat("i", 200)) }, 400},
		"id not ASCII":     {func(r *http.Request) { r.Header.Set("X-Request-Id", "\xff") }, 400},
		"no class":         {func(r *http.Request) { r.Header.Del("X-Class") }, 400},
		"unknown class":    {func(r *http.Request) { r.Header.Set("X-Class", "other") }, 400},
		"unknown tenant":   {func(r *http.Request) { r.Header.Set("X-Tenant", "other") }, 400},
		"no key":           {func(r *http.Request) { r.Header.Del("Idempotency-Key") }, 400},
		"no deadline":      {func(r *http.Request) { r.Header.Del("X-Deadline-Ms") }, 400},
		"deadline a word":  {func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "soon") }, 400},
		"deadline below 0": {func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "-5") }, 400},
		"deadline endless": {func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "9223372036854775807") }, 400},
		"no dest":          {func(r *http.Request) { r.Header.Del("X-Addressing") }, 400},
		"dest a word":      {func(r *http.Request) { r.Header.Set("X-Addressing", "dest=here") }, 400},
		"dest too high":    {func(r *http.Request) { r.Header.Set("X-Addressing", "dest=70000") }, 400},
		"body too long": {func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, maxBody+1))), maxBody+1
		}, 413},
		"chunked": {func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, maxBody+1))), -1
		}, 411},
		"wrong path":   {func(r *http.Request) { r.URL.Path = "/other" }, 404},
		"wrong method": {func(r *http.Request) { r.Method = http.MethodPut }, 405},
	} {
		r := st.Message(t, addr, "bad", "keyed", 0, 5*time.Second, "x")
		c.edit(r)
		resp, text := st.Do(t, r)
		if resp.StatusCode != c.status || strings.Count(text, "\n") != 1 || len(text) < 5 {
			t.Errorf("%s: %s %q", name, resp.Status, text)
		}
	}
	st.HandIn(t, addr, "good", "keyed", 0, 5*time.Second)
	if c := e.Next(t); c.ID != "good" {
		t.Errorf("the endpoint got %s", c.ID)
	}
}

// A body is bytes, whatever it looks like. Where a request leaves its own end in doubt it is not taken on, and
// what follows it on the connection is not read as another.
func TestBodyIsNeverReadAsARequest(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	addr := run(t, st.NewPlatform(t, e.Addr), nil)
	head := func(id, more string) string {
		return "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Class: safe\r\nX-Tenant: acme\r\n" +
			"X-Deadline-Ms: 9000\r\nX-Addressing: dest=0\r\n" + more + "\r\n"
	}
	inner := head("inner", "Content-Length: 0\r\n")
	long := "Content-Length: " + strconv.Itoa(len("0\r\n\r\n"+inner)) + "\r\n"
	for name, c := range map[string]struct{ text, status string }{
		"length and coding": {head("m", long+"Transfer-Encoding: chunked\r\n") + "0\r\n\r\n" + inner, "411"},
		"coding and length": {head("m", "Transfer-Encoding: chunked\r\n"+long) + "0\r\n\r\n" + inner, "411"},
		"on another path": {strings.Replace(head("m", long+"Transfer-Encoding: chunked\r\n"), "POST /api", "GET /-/ready", 1) +
			"0\r\n\r\n" + inner, "411"},
		"no length":   {head("m", "") + inner, "411"},
		"two lengths": {head("m", "Content-Length: 0\r\n"+long) + inner, "400"},
		"old version": {strings.Replace(head("m", "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n"),
			"HTTP/1.1", "HTTP/1.0", 1) + "0\r\n\r\n" + inner, "505"},
		"unsound class": {strings.Replace(head("m", "Content-Length: 0\r\n"), "safe", "other", 1) + inner, "400"},
	} {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(st.Wait))
		io.WriteString(nc, c.text)
		got, _ := io.ReadAll(nc) // to its close, by which all that the peer sent has been read or dropped
		if nc.Close(); len(got) < 12 || string(got[9:12]) != c.status || strings.Count(string(got), "Content-Type: ") != 1 {
			t.Errorf("%s: answered %q", name, got)
		}
	}
	st.HandIn(t, addr, "good", "safe", 0, 9*time.Second)
	if c := e.Next(t); c.ID != "good" || c.Body != "body of good" {
		t.Errorf("the endpoint got %s %q", c.ID, c.Body)
	}
}

// A peer that says nothing, or stops half-way, is answered or left within 3 s, and nothing of it is taken on.
func TestPeersThatStopHalfWayAreLeft(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	addr := run(t, st.NewPlatform(t, e.Addr), nil)
	head := "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: m\r\nX-Class: safe\r\nX-Tenant: acme\r\n" +
		"X-Deadline-Ms: 9000\r\nX-Addressing: dest=0\r\nContent-Length: 100\r\n"
	left := map[string]chan time.Duration{}
	for name, text := range map[string]string{
		"nothing":          "",
		"half a head":      head,
		"half a body":      head + "\r\nbegun",
		"no request after": "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		done := make(chan time.Duration, 1)
		left[name] = done
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			defer nc.Close()
			began := time.Now()
			io.WriteString(nc, text)
			io.Copy(io.Discard, nc)
			done <- time.Since(began)
		}()
	}
	for name, done := range left {
		if took := st.Receive(t, done); took > 4500*time.Millisecond { // with room for a slow machine
			t.Errorf("%s: left after %v", name, took)
		}
	}
	if len(e.Calls) != 0 {
		t.Error("half a message was taken on")
	}
}

// visitor is a connection as the server is told of it.
func visitor(t *testing.T) *clientConn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); peer.Close() })
	return &clientConn{Conn: c, left: func() {}, cut: new(atomic.Bool)}
}

// letGo reports whether a connection is closed or will be, as nothing more is read from it.
func (g *clientConn) letGo() bool {
	g.SetDeadline(time.Now().Add(-time.Second))
	_, err := g.Write([]byte{0})
	return g.gone.Load() || !errors.Is(err, os.ErrDeadlineExceeded)
}

// Peers that only hold their connections make room for those that come: first who has been quiet for longest,
// and nobody whose request is being answered.
func TestHeldConnectionsMakeRoom(t *testing.T) {
	t.Parallel()
	s := newServer(&Config{Limits: Limits{Sockets: 6}}, clock.New(time.Now()), slog.New(slog.DiscardHandler), nil)
	conns := map[string]*clientConn{}
	open := func(name string) {
		conns[name] = visitor(t)
		s.track(conns[name], http.StateNew)
	}
	open("busy")
	s.track(conns["busy"], http.StateActive)
	open("held")
	if conns["held"].letGo() {
		t.Error("let go with room left")
	}
	open("new")
	for name, want := range map[string]bool{"busy": false, "held": true, "new": false} {
		if conns[name].letGo() != want {
			t.Errorf("%s: let go %v", name, !want)
		}
	}
	s.track(conns["held"], http.StateClosed)
	s.track(conns["busy"], http.StateIdle) // quiet for less long than the new one
	open("newer")
	for name, want := range map[string]bool{"busy": false, "new": true, "newer": false} {
		if conns[name].letGo() != want {
			t.Errorf("%s: let go %v", name, !want)
		}
	}
}

// Where no silent peer is left to make room, one that stops in the middle of its first request does; not a request
// that has been read whole, nor a client's further one, nor one that has only just begun to come.
func TestHalfSpokenPeersMakeRoom(t *testing.T) {
	t.Parallel()
	s := newServer(&Config{Limits: Limits{Sockets: 8}}, clock.New(time.Now()), slog.New(slog.DiscardHandler), nil)
	conns := map[string]*clientConn{}
	for _, name := range []string{"client", "whole", "half"} {
		conns[name] = visitor(t)
		s.track(conns[name], http.StateNew)
		s.track(conns[name], http.StateActive)
		if name == "client" {
			s.track(conns[name], http.StateIdle)
			s.track(conns[name], http.StateActive)
		}
	}
	s.whole((&http.Request{}).WithContext(withConn(context.Background(), conns["whole"])))
	s.track(visitor(t), http.StateNew)
	if conns["half"].letGo() {
		t.Error("a request that has just begun to come is cut off")
	}
	for until := time.Now().Add(st.Wait); !conns["half"].letGo(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("half a request holds its place")
		}
	}
	for _, name := range []string{"client", "whole"} {
		if conns[name].letGo() {
			t.Errorf("%s: let go", name)
		}
	}
}

// A request whose end is read in the moment in which its connection makes room is owed its answer: it may have been taken on,
// however long the answer takes.
func TestARequestReadWholeAsItMakesRoomIsAnswered(t *testing.T) {
	t.Parallel()
	s := newServer(&Config{Limits: Limits{Sockets: 4}}, clock.New(time.Now()), slog.New(slog.DiscardHandler), nil)
	half, other := visitor(t), visitor(t)
	for _, g := range []*clientConn{half, other} {
		s.track(g, http.StateNew)
		s.track(g, http.StateActive)
	}
	closed := make(chan struct{})
	other.left = sync.OnceFunc(func() { close(closed) })
	s.track(visitor(t), http.StateNew)
	for until := time.Now().Add(st.Wait); !half.gone.Load(); {
		if time.Now().After(until) {
			t.Fatal("half a request holds its place")
		}
	}
	s.whole((&http.Request{}).WithContext(withConn(context.Background(), half)))
	s.mu.Lock()
	s.evictHalf()
	s.mu.Unlock()
	st.Receive(t, closed) // the next one makes room, later than this one would have been closed
	if _, err := half.Write([]byte("HTTP/1.1 202 Accepted\r\n\r\n")); err != nil {
		t.Errorf("its answer: %v", err)
	}
}

// Whoever makes room in the middle of a request is told so, before the connection is closed.
func TestAHalfSpokenPeerThatMakesRoomIsTold(t *testing.T) {
	t.Parallel()
	addr := run(t, st.NewPlatform(t), func(c *Config) { c.Limits.Sockets = 8 })
	said := time.Now()
	first := make(chan string, 4)
	for range 4 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		r := st.Message(t, addr, "half", "safe", 0, 9*time.Second, "")
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader("half")), 4
		var text bytes.Buffer
		if err := r.Write(&text); err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(said.Add(st.Wait))
		c.Write(text.Bytes()[:text.Len()-2])
		go func() {
			line, err := bufio.NewReader(c).ReadString('\n')
			first <- fmt.Sprint(line, err)
		}()
	}
	if got := st.Receive(t, first); !strings.HasPrefix(got, "HTTP/1.1 400 ") {
		t.Errorf("it got %s", got)
	}
	if took := time.Since(said); took > headerTime {
		t.Errorf("it made room after %v", took)
	}
}

// What cannot be held is refused before it is sent, and its client is told when to come back.
func TestNoRoomIsARefusal(t *testing.T) {
	t.Parallel()
	for name, edit := range map[string]func(*Config){
		"held limit": func(c *Config) { c.Settings.MaxPendingMessages = 3 },
		"disk":       func(c *Config) { c.Limits.DiskMB = 0.012 },
	} {
		e := st.NewEndpoint(t, st.Silent)
		addr := run(t, st.NewPlatform(t, e.Addr), edit)
		refused := false
		for i := 0; i < 20 && !refused; i++ {
			resp, _ := st.Do(t, st.Message(t, addr, "m"+strconv.Itoa(i), "safe", 0, 15*time.Second, "body"))
			switch resp.StatusCode {
			case http.StatusAccepted:
			case http.StatusServiceUnavailable:
				refused = true
				if wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err != nil || wait != 2 {
					t.Errorf("%s: Retry-After %q", name, resp.Header.Get("Retry-After"))
				}
			default:
				t.Fatalf("%s: %s", name, resp.Status)
			}
			if i == 0 && refused {
				t.Errorf("%s: the first is refused", name)
			}
		}
		if !refused {
			t.Errorf("%s: nothing is refused", name)
		}
	}
}

// What the module gives up ends at once: in the answer if that is not given yet, else by a notice, which
// is repeated until it is taken.
func TestEnds(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(500))
	p := st.NewPlatform(t, e.Addr)
	p.Deaf(true)
	addr := run(t, p, nil)
	if resp, _ := st.Do(t, st.Message(t, addr, "late", "safe", 0, 0, "")); resp.StatusCode != http.StatusInternalServerError {
		t.Errorf("a message out of time is answered %s", resp.Status)
	}
	began := time.Now()
	st.HandIn(t, addr, "doubt", "unsafe", 0, 19*time.Second)
	e.Next(t)
	p.Deaf(false)
	if n := st.Receive(t, p.Notices); n.Message != "doubt" || n.Outcome != "given_up" {
		t.Errorf("notice %+v", n)
	}
	if took := time.Since(began); took > 10*time.Second {
		t.Errorf("it was held back for %v", took)
	}
	if len(e.Calls) != 0 {
		t.Error("an unsafe message that may have run was sent again")
	}
}

// Whether an answer in the last moments of a message's time was in time only the client's clock tells: a notice is sent,
// too. It stays owed until it is taken, and none is sent of what was delivered before.
func TestADeliveryInTheLastMomentIsToldAsWell(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, e.Addr)
	addr := run(t, p, nil)
	st.HandIn(t, addr, "early", "safe", 0, 20*time.Second)
	e.Next(t)
	st.HandIn(t, addr, "close", "safe", 0, clockSlack-10*time.Millisecond)
	if n := st.Receive(t, p.Notices); n.Message != "close" || n.Outcome != "given_up" {
		t.Errorf("notice %+v", n)
	}
	if len(p.Notices) > 0 {
		t.Errorf("a further notice: %+v", <-p.Notices)
	}
}

// A message that the module hands back after it was taken on is told of with the time to come back.
func TestHandedBack(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Silent)
	p := st.NewPlatform(t, e.Addr)
	addr := run(t, p, func(c *Config) { c.Settings.MaxPendingMessages = 20 })
	for i := range 20 { // the module makes room from 95% on
		resp, body := st.Do(t, st.Message(t, addr, "m"+strconv.Itoa(i), "safe", 0, 15*time.Second, ""))
		if resp.StatusCode != http.StatusAccepted && resp.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("%s %s", resp.Status, body)
		}
		if resp.StatusCode == http.StatusServiceUnavailable {
			if resp.Header.Get("Retry-After") != "2.000" {
				t.Errorf("Retry-After %q", resp.Header.Get("Retry-After"))
			}
			return
		}
	}
	if n := st.Receive(t, p.Notices); n.Outcome != "handed_back" || n.RetryMS != 2000 {
		t.Errorf("notice %+v", n)
	}
}

// Told to wait, nothing goes to that destination before the wait is over.
func TestWait(t *testing.T) {
	t.Parallel()
	var first atomic.Bool
	told := make(chan time.Time, 1)
	e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		if first.CompareAndSwap(false, true) {
			told <- time.Now()
			return st.Status(429, "X-RateLimit-Wait-Ms: 700")(c, nc)
		}
		return st.Status(200)(c, nc)
	})
	addr := run(t, st.NewPlatform(t, e.Addr), nil)
	st.HandIn(t, addr, "a", "keyed", 0, 15*time.Second)
	e.Next(t)
	from := st.Receive(t, told)
	st.HandIn(t, addr, "b", "keyed", 0, 15*time.Second)
	e.Next(t)
	if waited := time.Since(from); waited < 700*time.Millisecond {
		t.Errorf("a call after %v", waited)
	}
}

// What the module sends to one endpoint at once travels as one call where its kind allows it: each call counts
// against the destination's limit and takes a slot.
func TestMessagesShareACall(t *testing.T) {
	t.Parallel()
	first, held := make(chan struct{}), false
	e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		if !held {
			held = true
			<-first
			return st.Status(200)(c, nc)
		}
		var states []string
		for _, p := range c.Parts(t) {
			states = append(states, `{"id":"`+p.ID+`","state":"ok"}`)
		}
		return st.Text(200, "["+strings.Join(states, ",")+"]")(c, nc)
	})
	addr := run(t, st.NewPlatform(t, e.Addr), func(c *Config) { c.Settings.Kinds[0].MaxBatchSize = 20 })
	st.HandIn(t, addr, "m0", "keyed", 0, 15*time.Second)
	if c := e.Next(t); c.Path != "/hook" || c.ID != "m0" {
		t.Errorf("one message goes to %s as %s", c.Path, c.ID)
	}
	for i := range 5 { // they wait: a window starts at one call
		st.HandIn(t, addr, "m"+strconv.Itoa(i+1), "keyed", 0, 15*time.Second)
	}
	close(first)
	parts := e.Next(t).Parts(t)
	for _, p := range parts {
		if p.Key != "key-"+p.ID || string(p.Body) != "body of "+p.ID {
			t.Errorf("the endpoint got %+v", p)
		}
	}
	if len(parts) != 5 {
		t.Errorf("%d messages in the call", len(parts))
	}
}

// A call counts as over when the time of its first message is, whoever else is in it: so that has time for longest,
// in whatever order they came and the module sends them, and the others are not lost with an answer that comes after a shorter one's end.
func TestTheMessageWithMostTimeLeadsASharedCall(t *testing.T) {
	t.Parallel()
	hold := make(chan struct{})
	e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		if c.Path == "/hook" {
			<-hold
			return st.Status(200)(c, nc)
		}
		return st.Silent(c, nc)
	})
	addr := run(t, st.NewPlatform(t, e.Addr), func(c *Config) { c.Settings.Kinds[0].MaxBatchSize = 20 })
	st.HandIn(t, addr, "holds", "unsafe", 0, 15*time.Second)
	e.Next(t)
	for id, left := range map[string]time.Duration{"short": 16, "long": 20, "middle": 18} {
		st.HandIn(t, addr, id, "unsafe", 0, left*time.Second)
	}
	close(hold)
	if parts := e.Next(t).Parts(t); len(parts) != 3 || parts[0].ID != "long" {
		t.Errorf("the call is %+v", parts)
	}
}

// Of messages in one call, one whose time is up ends alone. A time-out after which it might be sent again ends
// the call, as two copies must not be out at once.
func TestTimeOutsInASharedCall(t *testing.T) {
	t.Parallel()
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		items []batchItem
		want  [][]dispatch.Outcome // of the events in turn, by message
		over  []bool
	}{
		"time up": {[]batchItem{{timeout: 50 * ms, lastAttempt: true}, {timeout: 150 * ms, lastAttempt: true}},
			[][]dispatch.Outcome{{dispatch.TimedOut}, {dispatch.TimedOut, dispatch.TimedOut}}, []bool{false, true}},
		"restart": {[]batchItem{{timeout: 50 * ms}, {timeout: time.Hour, lastAttempt: true}},
			[][]dispatch.Outcome{{dispatch.TimedOut, dispatch.Cancelled}}, []bool{true}},
	} {
		e := st.NewEndpoint(t, st.Silent)
		s := newTest(t, st.NewPlatform(t), nil)
		for i := range c.items {
			c.items[i].ID = "m" + strconv.Itoa(i)
			c.items[i].message = &message{Message: &journal.Message{}, ended: true, calls: map[int]*outCall{}}
		}
		s.startCall(context.Background(), &endpoint{addr: e.Addr}, c.items, true)
		for i, want := range c.want {
			end := st.Receive(t, s.events).(callEndedEvent)
			var got []dispatch.Outcome
			for _, it := range end.ends {
				got = append(got, it.Outcome)
			}
			if !slices.Equal(got, want) || end.callDone != c.over[i] {
				t.Errorf("%s: event %d: %v, over %v", name, i, got, end.callDone)
			}
		}
	}
}

// watching waits until the sender watches from that version on.
func watching(t *testing.T, p *st.Platform, version int) {
	t.Helper()
	for !strings.HasPrefix(st.Receive(t, p.Lists), "after="+strconv.Itoa(version)+"&") {
	}
}

// byDiscovery runs a test where the module asks for the list and where it is pushed: on sockets the sender
// watches either way.
func byDiscovery(t *testing.T, test func(t *testing.T, edit func(*Config))) {
	t.Parallel()
	for name, asks := range map[string]bool{"on request": true, "pushed": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(t, func(c *Config) { c.Settings.PollsEndpointList = asks })
		})
	}
}

func TestDrain(t *testing.T) { byDiscovery(t, testDrain) }

func testDrain(t *testing.T, edit func(*Config)) {
	old, other := st.NewEndpoint(t, st.Status(200)), st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, old.Addr)
	addr := run(t, p, edit)
	st.HandIn(t, addr, "a", "keyed", 0, 15*time.Second)
	old.Next(t)
	watching(t, p, 1)
	p.Change(st.Target("s-0", old.Addr, 0, "DRAINING"))
	watching(t, p, 2)
	st.HandIn(t, addr, "b", "keyed", 0, 15*time.Second)
	p.Change(st.Target("s-9", other.Addr, 0, "SERVING"))
	if c := other.Next(t); c.ID != "b" {
		t.Errorf("the new endpoint got %s", c.ID)
	}
	if len(old.Calls) != 0 {
		t.Error("the draining endpoint got a call")
	}
}

// While discovery is down the sender goes on with what it knows; then it asks for the whole list, as the
// changes in between never come, and watches from there.
func TestDiscoveryOutage(t *testing.T) { byDiscovery(t, testDiscoveryOutage) }

func testDiscoveryOutage(t *testing.T, edit func(*Config)) {
	e, other := st.NewEndpoint(t, st.Status(200)), st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, e.Addr)
	addr := run(t, p, edit)
	watching(t, p, 1)
	p.Down(true)
	for st.Receive(t, p.Lists) != "" { // it asks for the whole, in vain
	}
	st.HandIn(t, addr, "a", "keyed", 0, 15*time.Second)
	e.Next(t)
	p.Change(st.Target("s-0", other.Addr, 0, "SERVING"))
	p.Down(false)
	watching(t, p, 2)
	st.HandIn(t, addr, "b", "keyed", 0, 15*time.Second)
	if c := other.Next(t); c.ID != "b" {
		t.Errorf("the new address got %s", c.ID)
	}
}

// A watch may stay unanswered for good after discovery was down. It is given up in time, and the list is asked
// for anew, before much is sent to endpoints that are gone.
func TestLostWatch(t *testing.T) { byDiscovery(t, testLostWatch) }

func testLostWatch(t *testing.T, edit func(*Config)) {
	e, other := st.NewEndpoint(t, st.Status(200)), st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, e.Addr)
	addr := run(t, p, edit)
	watching(t, p, 1)
	p.Lose()
	began := time.Now()
	p.Change(st.Target("s-0", other.Addr, 0, "SERVING"))
	watching(t, p, 2)
	if took := time.Since(began); took > 6*time.Second {
		t.Errorf("it took %v", took)
	}
	st.HandIn(t, addr, "a", "keyed", 0, 15*time.Second)
	if c := other.Next(t); c.ID != "a" {
		t.Errorf("the new address got %s", c.ID)
	}
}

// The configuration's list may be older than what the earlier process was told: what it resumes does not go
// to an endpoint that has drained since.
func TestResumedMessageHeedsAnEarlierDrain(t *testing.T) {
	t.Parallel()
	old, other := st.NewEndpoint(t, st.Status(200)), st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, old.Addr)
	p.Change(st.Target("s-0", old.Addr, 0, "DRAINING"))
	p.Change(st.Target("s-1", other.Addr, 0, "SERVING"))
	run(t, p, func(c *Config) {
		c.Known = endpointlist.Update{Version: 1, Full: true, Endpoints: []endpointlist.Endpoint{{ID: "s-0", Addr: old.Addr, State: "SERVING", Zone: "a", Kind: "plain"}}}
		j := openJournal(t, c.State, 1<<20)
		if _, err := j.Accept(journal.Record{ID: "m", Class: "keyed", Key: "k", Tenant: "acme", Deadline: clock.New(time.Now()).Now() + 15*time.Second}); err != nil {
			t.Fatal(err)
		}
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
	})
	if c := other.Next(t); c.ID != "m" {
		t.Errorf("the new endpoint got %s", c.ID)
	}
	if len(old.Calls) != 0 {
		t.Error("the drained endpoint got a call")
	}
}

// A machine that was cut off leaves idle connections that say nothing any more: after a call there timed
// out, the next opens a new one.
func TestIdleConnectionsGoAfterATimeOut(t *testing.T) {
	t.Parallel()
	var cut atomic.Bool
	both := make(chan struct{}, 2)
	answer := make(chan struct{})
	e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		if c.Conn <= 2 && cut.Load() {
			return st.Silent(c, nc)
		}
		if c.Conn <= 2 {
			both <- struct{}{}
			<-answer // two connections are needed
		}
		return st.Status(200)(c, nc)
	})
	p := st.NewPlatform(t, e.Addr)
	s := newTest(t, p, nil)
	at := &endpoint{addr: e.Addr}
	s.list.byNumber = append(s.list.byNumber, at)
	served := make(chan struct{}, 2)
	for range 2 {
		go func() { callOnce(s.pool, at, st.Wait, ""); served <- struct{}{} }()
	}
	st.Receive(t, both)
	st.Receive(t, both)
	close(answer)
	st.Receive(t, served)
	st.Receive(t, served)
	if n := s.pool.idle.Load(); n != 2 {
		t.Fatalf("%d idle connections", n)
	}
	cut.Store(true)
	began := time.Now()
	end := callOnce(s.pool, at, 30*time.Millisecond, "")
	end.Elapsed = time.Since(began)
	m := &message{Message: &journal.Message{}, ended: true, calls: map[int]*outCall{0: {cancel: func() {}}}}
	s.handleCallEnd(callEndedEvent{[]attemptEnd{{m, 0, end}}, true})
	if n := s.pool.idle.Load(); n != 0 {
		t.Errorf("%d idle connections after a time-out", n)
	}
	if got := callOnce(s.pool, at, st.Wait, ""); !got.Final {
		t.Errorf("the next call: %+v", got)
	}
}

// A notice that came to be owed while others were under way is still told: the batch that is out and the list of
// what is owed share nothing.
func TestNoticesOwedMeanwhileAreTold(t *testing.T) {
	t.Parallel()
	s := newTest(t, st.NewPlatform(t), nil)
	for _, id := range []string{"a", "b", "c", "d"} {
		m, err := s.journal.Accept(journal.Record{ID: id, Class: "safe"})
		if err != nil {
			t.Fatal(err)
		}
		s.journal.AppendMessageEnded(m, journal.OutcomeGivenUp, 0)
		s.pendingNotices = append(s.pendingNotices, noticeOf(m))
		if id == "c" {
			s.deliverNotices()
		}
	}
	batch := st.Receive(t, s.noticeBatches)
	s.handleEvent(context.Background(), noticesDeliveredEvent{batch})
	if len(s.pendingNotices) != 1 || s.pendingNotices[0].Message != "d" || s.journal.Message("d") == nil || s.journal.Len() != 1 {
		t.Errorf("told %v, still owed %v, in the journal %d", batch, s.pendingNotices, s.journal.Len())
	}
}

// Whether a message's key is still remembered is judged when its repeat is written, not when that was decided: one whose
// connection comes up after the window is not written at all.
func TestARepeatWhoseConnectionComesUpAfterItsWindowIsNotWritten(t *testing.T) {
	t.Parallel()
	const window = 500 * time.Millisecond
	e := st.NewEndpoint(t, st.Status(500, "Connection: close"))
	p := st.NewPlatform(t, e.Addr)
	s := newTest(t, p, func(c *Config) {
		c.Settings.Classes[1].IdempotencyWindow = window
		c.Settings.MaxAttempts = 2 // the repeat is the last, and has all the time that is left
	})
	var dials atomic.Int32
	again, up := make(chan struct{}), make(chan struct{})
	s.pool.dialer.Control = func(string, string, syscall.RawConn) error {
		if dials.Add(1) == 2 {
			close(again)
			<-up
		}
		return nil
	}
	addr, listen := platformSocket(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx, listen) }()
	st.HandIn(t, addr, "m", "keyed", 0, 15*time.Second)
	e.Next(t)
	first := time.Now()
	st.Receive(t, again)
	<-time.After(time.Until(first.Add(window)))
	close(up)
	if n := st.Receive(t, p.Notices); n.Message != "m" || n.Outcome != "given_up" {
		t.Errorf("notice %+v", n)
	}
	cancel()
	if err := st.Receive(t, done); err != nil {
		t.Error(err)
	}
	if len(e.Calls) > 0 {
		t.Error("its repeat has been written")
	}
}

// A call that still waits for its connection when its endpoint drains or goes is not written any more, though it was
// decided before: it could arrive when the drain binds.
func TestACallThatWaitsForItsConnectionIsWithheld(t *testing.T) {
	t.Parallel()
	for name, news := range map[string]func(s *Sender, list endpointlist.Update) []dispatch.Event{
		"the endpoint drains": func(s *Sender, list endpointlist.Update) []dispatch.Event {
			list.Endpoints[0].State = "DRAINING"
			return []dispatch.Event{s.applyEndpointList(list, false)}
		},
		"the endpoint is gone": func(s *Sender, list endpointlist.Update) []dispatch.Event {
			return []dispatch.Event{s.applyEndpointList(endpointlist.Update{Endpoints: list.Endpoints[1:]}, true)}
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := st.NewEndpoint(t, st.Status(200))
			p := st.NewPlatform(t, e.Addr, e.Addr)
			s := newTest(t, p, nil)
			dialing, up := make(chan struct{}, 1), make(chan struct{})
			s.pool.dialer.Control = func(string, string, syscall.RawConn) error {
				dialing <- struct{}{}
				<-up
				return nil
			}
			ctx, list := context.Background(), s.config.Known
			list.Endpoints[1].Cell = 0
			s.dispatch(ctx, []dispatch.Event{s.applyEndpointList(list, true)})
			r := journal.Record{ID: "m1", Class: "safe", Tenant: "acme", Deadline: s.clock.Now() + st.Wait}
			s.dispatch(ctx, s.handleEvent(ctx, submission{Record: r, answer: make(chan clientResponse, 1)}))
			st.Receive(t, dialing)
			s.dispatch(ctx, news(s, list))
			close(up)
			end := st.Receive(t, s.events).(callEndedEvent)
			if got := end.ends[0]; got.message.ID != "m1" || got.Outcome != dispatch.NotSent {
				t.Errorf("%+v", got)
			}
			if len(e.Calls) > 0 {
				t.Errorf("the endpoint got %+v", <-e.Calls)
			}
		})
	}
}

// A request that has been read whole goes to the loop also where reading on its connection has ended meanwhile, as when that had
// to make room: net/http ends the request's context then.
func TestARequestReadWholeIsHandedOnThoughItsContextHasEnded(t *testing.T) {
	t.Parallel()
	c, err := ParseConfig(rawConfig(t, st.Config(st.NewPlatform(t), t.TempDir())))
	if err != nil {
		t.Fatal(err)
	}
	s := newServer(c, clock.New(time.Now()), slog.New(slog.DiscardHandler), func(ctx context.Context, sub submission) bool {
		sub.answer <- clientResponse{status: http.StatusAccepted}
		return ctx.Err() == nil
	})
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	w := httptest.NewRecorder()
	r := st.Message(t, "x", "m", "safe", 0, 5*time.Second, "body")
	r.Header.Set("Content-Length", "4")
	s.take(w, r.WithContext(ended))
	if w.Code != http.StatusAccepted {
		t.Errorf("answered %d", w.Code)
	}
	s.close()
	w = httptest.NewRecorder()
	r = st.Message(t, "x", "m2", "safe", 0, 5*time.Second, "body")
	r.Header.Set("Content-Length", "4")
	s.take(w, r)
	if w.Code != http.StatusServiceUnavailable {
		t.Errorf("answered %d after the end", w.Code)
	}
}

func rawConfig(t *testing.T, text map[string]any) []byte {
	t.Helper()
	raw, err := json.Marshal(text)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}
