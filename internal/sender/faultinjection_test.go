package sender

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/journal"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// failingListener fails its first calls of Accept.
type failingListener struct {
	net.Listener
	left  atomic.Int32
	errno syscall.Errno
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", l.errno)}
	}
	return l.Listener.Accept()
}

// withClockStep is the operating system's environment with its wall clock off by a step.
func withClockStep(step time.Duration) Environment {
	env := OperatingSystem()
	env.Wall = func() time.Time { return time.Now().Round(0).Add(step) }
	return env
}

// silentAddress accepts connections and never answers on them.
func silentAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// pausingConn pauses its reader after a read, as a busy machine does.
type pausingConn struct {
	net.Conn
	reads atomic.Int32
}

const pauseTime = 150 * time.Millisecond

func (c *pausingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.reads.Add(1) == 2 {
		time.Sleep(pauseTime)
	}
	return n, err
}

func (c *pausingConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// pausingListener accepts connections that pause their reader.
type pausingListener struct{ net.Listener }

func (l pausingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pausingConn{Conn: c}, nil
}

// failingFiles fails where a test's functions do, and is the operating system's otherwise.
type failingFiles struct {
	journal.OSFileSystem
	open  func(path string, flag int) error
	write func(b []byte) error
}

func (f failingFiles) OpenFile(path string, flag int, mode os.FileMode) (File, error) {
	if f.open != nil {
		if err := f.open(path, flag); err != nil {
			return nil, err
		}
	}
	file, err := f.OSFileSystem.OpenFile(path, flag, mode)
	if err != nil || f.write == nil {
		return file, err
	}
	return failingFile{file, f.write}, nil
}

// failingFile fails where its function does.
type failingFile struct {
	File
	write func(b []byte) error
}

func (f failingFile) Write(b []byte) (int, error) {
	if err := f.write(b); err != nil {
		return 0, err
	}
	return f.File.Write(b)
}

// failFirst fails so many calls with an error.
func failFirst(times int32, err error) func() error {
	left := &atomic.Int32{}
	left.Store(times)
	return func() error {
		if left.Add(-1) >= 0 {
			return err
		}
		return nil
	}
}

// startSilentPlatform starts a platform that answers nothing on its first connections, neither for the list nor for
// notices. The IDs of later notices are sent to noticed.
func startSilentPlatform(t *testing.T, connections int) (addr string, noticed <-chan string) {
	t.Helper()
	ids := make(chan string, 10000)
	var mu sync.Mutex
	seen := map[net.Conn]bool{}
	type key struct{}
	p := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if silent := r.Context().Value(key{}).(bool); silent || r.Method != http.MethodPost {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		for lines := bufio.NewScanner(r.Body); lines.Scan(); {
			var n st.Notice
			if err := json.Unmarshal(lines.Bytes(), &n); err != nil {
				t.Error(err)
			}
			ids <- n.Message
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	p.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		mu.Lock()
		defer mu.Unlock()
		seen[c] = true
		return context.WithValue(ctx, key{}, len(seen) <= connections)
	}
	p.Start()
	t.Cleanup(func() { p.CloseClientConnections(); p.Close() })
	return strings.TrimPrefix(p.URL, "http://"), ids
}

// logTo is a log that passes each line to a function.
func logTo(heard func(line string)) slog.Handler {
	return slog.NewTextHandler(writerFunc(heard), nil)
}

// writerFunc is a writer that calls a function.
type writerFunc func(line string)

func (w writerFunc) Write(b []byte) (int, error) { w(string(b)); return len(b), nil }

// writeUnfinishedRetryAfter writes a response with a Retry-After and half of its body.
func writeUnfinishedRetryAfter(conn net.Conn, pause time.Duration) {
	_, _ = io.WriteString(conn, "HTTP/1.1 429 X\r\nX-RateLimit-Wait-Ms: "+strconv.FormatInt(pause.Milliseconds(), 10)+
		"\r\nContent-Length: 100\r\n\r\nhalf")
}
