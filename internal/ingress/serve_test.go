package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// dialServer serves until the end of the test and returns a connection to the server.
func dialServer(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serveOn(t, l)
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(st.Timeout))
	return conn, bufio.NewReader(conn)
}

// submission returns the request that submits a message with a body, with further header fields.
func submission(body, fields string) string {
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nX-Class: safe\r\nX-Tenant: acme\r\n"+
		"X-Deadline-Ms: 5000\r\nX-Addressing: dest=0\r\nContent-Length: %d\r\n%s\r\n%s", len(body), fields, body)
}

// readStatus reads a response and returns its status, or 0 if the connection has ended.
func readStatus(t *testing.T, r *bufio.Reader, method string) int {
	t.Helper()
	response, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Error(err)
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Guards against heads that are answered in another way than a client expects, or that take more memory than is meant
// for a head.
func TestHeadsAreAnswered(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"plain":                 {submission("x", ""), 202},
		"lines without CR":      {strings.ReplaceAll(submission("x", ""), "\r\n", "\n"), 202},
		"as many fields as may": {submission("x", strings.Repeat("a:\r\n", maxHeaderFields-7)), 202},
		"too many fields":       {submission("x", strings.Repeat("a:\r\n", maxHeaderFields)), 431},
		"long field":            {submission("x", "a: "+strings.Repeat("b", 15<<10)+"\r\n"), 202},
		"too long field":        {submission("x", "a: "+strings.Repeat("b", maxHeader)+"\r\n"), 431},
		"no Host":               {strings.Replace(submission("x", ""), "Host: h\r\n", "", 1), 400},
		"two Hosts":             {submission("x", "Host: i\r\n"), 400},
		"space before colon":    {submission("x", "Content-Length : 5\r\n"), 400},
		"control character":     {submission("x", "a: b\x01\r\n"), 400},
		"CR in a line":          {submission("x", "a: b\rc: d\r\n"), 400},
		"two lengths":           {submission("x", "Content-Length: 5\r\n"), 400},
		"no request":            {"hello\r\n\r\n", 400},
		"HTTP/1.0":              {strings.Replace(submission("x", ""), "HTTP/1.1", "HTTP/1.0", 1), 505},
		"HEAD":                  {"HEAD /-/healthy HTTP/1.1\r\nHost: h\r\n\r\n", 200},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, reader := dialServer(t)
			if _, err := io.WriteString(conn, c.text); err != nil {
				t.Fatal(err)
			}
			method, _, _ := strings.Cut(c.text, " ")
			if status := readStatus(t, reader, method); status != c.status {
				t.Errorf("answered %d, want %d", status, c.status)
			}
		})
	}
}

// Guards against requests that are mixed up or left when several arrive together, in whatever pieces, some with bodies
// larger than the buffer.
func TestRequestsThatArriveTogetherAreAnsweredInOrder(t *testing.T) {
	t.Parallel()
	conn, reader := dialServer(t)
	const rounds = 10
	large := strings.Repeat("b", MaxBody)
	go func() {
		for range rounds {
			text := submission("x", "") + submission(large, "") + submission(strings.Repeat("c", 1500), "") +
				"GET /none HTTP/1.1\r\nHost: h\r\n\r\n" + submission("", "a: "+strings.Repeat("d", 3000)+"\r\n")
			for len(text) > 0 {
				n := min(len(text), 700)
				_, _ = io.WriteString(conn, text[:n])
				text = text[n:]
			}
		}
	}()
	for round := range rounds {
		for n, want := range []int{202, 202, 202, 404, 202} {
			// What is far ahead of a message keeps it from being accepted: its client may have left.
			status := readStatus(t, reader, "POST")
			if status != want && (want != 202 || status != 503) {
				t.Fatalf("round %d, request %d: answered %d, want %d", round, n, status, want)
			}
		}
	}
}

// Guards against a client that waits for the interim response before it sends its body.
func TestClientThatExpectsContinueIsAnswered(t *testing.T) {
	t.Parallel()
	conn, reader := dialServer(t)
	text := submission("body", "Expect: 100-continue\r\n")
	head, body := text[:len(text)-4], text[len(text)-4:]
	if _, err := io.WriteString(conn, head); err != nil {
		t.Fatal(err)
	}
	if line, err := reader.ReadString('\n'); err != nil || !strings.Contains(line, "100 Continue") {
		t.Fatalf("the interim response is %q, %v", line, err)
	}
	if _, err := reader.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, body); err != nil {
		t.Fatal(err)
	}
	if status := readStatus(t, reader, "POST"); status != http.StatusAccepted {
		t.Errorf("answered %d", status)
	}
}
