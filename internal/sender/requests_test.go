package sender

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/ingress"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// Guards against a sender that accepts no more clients after a transient error of accept.
func TestTransientAcceptErrorsAreRetried(t *testing.T) {
	t.Parallel()
	for _, errno := range []syscall.Errno{
		syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EPROTO, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.EPERM, syscall.ETIMEDOUT,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			e := st.NewEndpoint(t, st.AnswerStatus(200))
			env := OperatingSystem()
			env.WrapListener = func(l net.Listener) net.Listener {
				failing := &failingListener{Listener: l, errno: errno}
				failing.failuresLeft.Store(3)
				return failing
			}
			s := startSenderIn(t, env, st.NewAgent(t, e.Addr), nil)
			client := &http.Client{Timeout: 2 * time.Second}
			resp, err := client.Do(st.Request(t, s.addr, "m", "safe", 0, 5*time.Second, "body"))
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusAccepted {
				t.Errorf("the message is answered %s, want 202", resp.Status)
			}
		})
	}
}

// Guards against a complete request that gets no response because its connection is evicted. The process is paused
// after the request has arrived and before it is handled, and meanwhile the connection limit is reached.
func TestCompleteRequestIsAnsweredAfterAPause(t *testing.T) {
	t.Parallel()
	env := OperatingSystem()
	env.WrapListener = func(l net.Listener) net.Listener { return pausingListener{l} }
	s := startSenderIn(t, env, st.NewAgent(t), func(c *config.Config) { c.Limits.Sockets = 10 })
	text := renderRequest(t, st.Request(t, s.addr, "m", "safe", 0, 5*time.Second, "body"))
	var conns []net.Conn
	for range 3 {
		c := dial(t, s.addr)
		_, _ = io.WriteString(c, text[:len(text)-4])
		conns = append(conns, c)
		time.Sleep(2 * ingress.EvictionGrace)
	}
	_, _ = io.WriteString(conns[0], "body")
	time.Sleep(10 * time.Millisecond)
	dial(t, s.addr) // reaches the connection limit, while the first connection has the oldest incomplete request
	_ = conns[0].SetReadDeadline(time.Now().Add(st.Timeout))
	resp, err := readReply(bufio.NewReader(conns[0]))
	if err != nil || resp.StatusCode != http.StatusAccepted {
		t.Errorf("the complete request is answered %+v, %v, want 202", resp, err)
	}
}

// Guards against invalid requests that are accepted or that stop the sender: each is answered with an error status and
// one line of text, no endpoint gets it, and a valid request after it is served.
func TestInvalidRequestsAreRejected(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.AnswerStatus(200))
	addr := startSender(t, st.NewAgent(t, e.Addr), nil)
	for name, c := range map[string]struct {
		edit   func(*http.Request)
		status int
	}{
		"no id":             {func(r *http.Request) { r.Header.Del("X-Request-Id") }, 400},
		"id too long":       {func(r *http.Request) { r.Header.Set("X-Request-Id", strings.Repeat("i", 200)) }, 400},
		"id not ASCII":      {func(r *http.Request) { r.Header.Set("X-Request-Id", "\xff") }, 400},
		"no class":          {func(r *http.Request) { r.Header.Del("X-Class") }, 400},
		"unknown class":     {func(r *http.Request) { r.Header.Set("X-Class", "other") }, 400},
		"unknown tenant":    {func(r *http.Request) { r.Header.Set("X-Tenant", "other") }, 400},
		"no key":            {func(r *http.Request) { r.Header.Del("Idempotency-Key") }, 400},
		"no deadline":       {func(r *http.Request) { r.Header.Del("X-Deadline-Ms") }, 400},
		"deadline as text":  {func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "soon") }, 400},
		"negative deadline": {func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "-5") }, 400},
		"deadline too high": {func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "9223372036854775807") }, 400},
		"no dest":           {func(r *http.Request) { r.Header.Del("X-Addressing") }, 400},
		"dest as text":      {func(r *http.Request) { r.Header.Set("X-Addressing", "dest=here") }, 400},
		"dest too high":     {func(r *http.Request) { r.Header.Set("X-Addressing", "dest=70000") }, 400},
		"body too long": {func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, ingress.MaxBody+1))), ingress.MaxBody+1
		}, 413},
		"chunked": {func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, ingress.MaxBody+1))), -1
		}, 411},
		"wrong path":   {func(r *http.Request) { r.URL.Path = "/other" }, 404},
		"wrong method": {func(r *http.Request) { r.Method = http.MethodPut }, 405},
	} {
		r := st.Request(t, addr, "bad", "keyed", 0, 5*time.Second, "x")
		c.edit(r)
		resp, text := do(t, r)
		if resp.StatusCode != c.status || strings.Count(text, "\n") != 1 || len(text) < 5 {
			t.Errorf("%s: answered %s %q", name, resp.Status, text)
		}
	}
	st.Submit(t, addr, "good", "keyed", 0, 5*time.Second)
	if c := e.NextCall(t); c.ID != "good" {
		t.Errorf("the endpoint got %s, want good", c.ID)
	}
}

// Guards against request smuggling: the bytes of a body are never parsed as a request. A request whose end is ambiguous
// is not accepted, and what follows it on the connection is not parsed as another request.
func TestBodyIsNotParsedAsARequest(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.AnswerStatus(200))
	addr := startSender(t, st.NewAgent(t, e.Addr), nil)
	head := func(id, more string) string {
		return "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Class: safe\r\nX-Tenant: acme\r\n" +
			"X-Deadline-Ms: 9000\r\nX-Addressing: dest=0\r\n" + more + "\r\n"
	}
	inner := head("inner", "Content-Length: 0\r\n")
	long := "Content-Length: " + strconv.Itoa(len("0\r\n\r\n"+inner)) + "\r\n"
	for name, c := range map[string]struct{ text, status string }{
		"length and coding": {head("m", long+"Transfer-Encoding: chunked\r\n") + "0\r\n\r\n" + inner, "411"},
		"coding and length": {head("m", "Transfer-Encoding: chunked\r\n"+long) + "0\r\n\r\n" + inner, "411"},
		"on another path": {
			strings.Replace(head("m", long+"Transfer-Encoding: chunked\r\n"), "POST /api", "GET /-/ready", 1) +
				"0\r\n\r\n" + inner, "411",
		},
		"no length":   {head("m", "") + inner, "411"},
		"two lengths": {head("m", "Content-Length: 0\r\n"+long) + inner, "400"},
		"old version": {
			strings.Replace(head("m", "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n"),
				"HTTP/1.1", "HTTP/1.0", 1) + "0\r\n\r\n" + inner, "505",
		},
		"unknown class": {strings.Replace(head("m", "Content-Length: 0\r\n"), "safe", "other", 1) + inner, "400"},
	} {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		_ = nc.SetDeadline(time.Now().Add(st.Timeout))
		_, _ = io.WriteString(nc, c.text)
		// The sender closes the connection only when all that the client sent has been read or dropped.
		got, _ := io.ReadAll(nc)
		_ = nc.Close()
		if len(got) < 12 || string(got[9:12]) != c.status || strings.Count(string(got), "Content-Type: ") != 1 {
			t.Errorf("%s: answered %q", name, got)
		}
	}
	st.Submit(t, addr, "good", "safe", 0, 9*time.Second)
	if c := e.NextCall(t); c.ID != "good" || c.Body != "body of good" {
		t.Errorf("the endpoint got %s with the body %q, want good", c.ID, c.Body)
	}
}

// Guards against clients that hold a connection forever. A client that sends nothing, or half a request, is answered or
// disconnected within 3 s, and nothing that it sent is accepted.
func TestIncompleteRequestsTimeOut(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.AnswerStatus(200))
	addr := startSender(t, st.NewAgent(t, e.Addr), nil)
	head := "POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: m\r\nX-Class: safe\r\nX-Tenant: acme\r\n" +
		"X-Deadline-Ms: 9000\r\nX-Addressing: dest=0\r\nContent-Length: 100\r\n"
	disconnected := map[string]chan time.Duration{}
	for name, text := range map[string]string{
		"nothing":          "",
		"half a head":      head,
		"half a body":      head + "\r\nbegun",
		"no request after": "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		done := make(chan time.Duration, 1)
		disconnected[name] = done
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			defer nc.Close()
			began := time.Now()
			_, _ = io.WriteString(nc, text)
			_, _ = io.Copy(io.Discard, nc)
			done <- time.Since(began)
		}()
	}
	for name, done := range disconnected {
		if took := st.Receive(t, done); took > 4500*time.Millisecond { // 3 s and a margin for a slow machine
			t.Errorf("%s: disconnected after %v", name, took)
		}
	}
	if len(e.Calls) != 0 {
		t.Error("half a message was accepted")
	}
}

// Guards against clients that do not learn why they are disconnected: a client whose connection is evicted in the
// middle of a request gets a response before the connection is closed, which tells it that it may try again.
func TestEvictedIncompleteRequestIsAnswered(t *testing.T) {
	t.Parallel()
	addr := startSender(t, st.NewAgent(t), func(c *config.Config) { c.Limits.Sockets = 8 })
	began := time.Now()
	firstLines := make(chan string, 4)
	for range 4 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		r := st.Request(t, addr, "half", "safe", 0, 9*time.Second, "")
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader("half")), 4
		var text bytes.Buffer
		if err := r.Write(&text); err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(began.Add(st.Timeout))
		_, _ = c.Write(text.Bytes()[:text.Len()-2])
		go func() {
			line, err := bufio.NewReader(c).ReadString('\n')
			firstLines <- fmt.Sprint(line, err)
		}()
	}
	if got := st.Receive(t, firstLines); !strings.HasPrefix(got, "HTTP/1.1 503 ") {
		t.Errorf("the evicted client got %s, want status 503", got)
	}
	if took := time.Since(began); took > ingress.HeaderTimeout {
		t.Errorf("the client was evicted after %v", took)
	}
}
