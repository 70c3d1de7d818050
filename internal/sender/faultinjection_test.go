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

// failingListener is a listener whose first calls of Accept fail.
type failingListener struct {
	net.Listener
	failuresLeft atomic.Int32
	errno        syscall.Errno
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failuresLeft.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", l.errno)}
	}
	return l.Listener.Accept()
}

// withClockStep returns the operating system's environment with a wall clock that is off by step.
func withClockStep(step time.Duration) Environment {
	env := OperatingSystem()
	env.Wall = func() time.Time { return time.Now().Round(0).Add(step) }
	return env
}

// silentAddress returns an address that accepts connections and never responds on them.
func silentAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// pausingConn is a connection that delays the result of its second read by pauseTime, as on a busy machine.
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

// pausingListener wraps each connection that it accepts in a pausingConn.
type pausingListener struct{ net.Listener }

func (l pausingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pausingConn{Conn: c}, nil
}

// failingFiles is the operating system's file system, except that opening a file or writing to one fails if the
// function for that returns an error. A nil function never fails.
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

// failingFile is a file to which a write fails if its function returns an error.
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

// failFirst returns a function that returns err on its first calls, as many as times, and nil on later ones.
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

// startSilentPlatform starts a platform that does not respond on its first connections, neither to requests for the
// list nor to notices. On later connections it accepts notices, and sends the IDs of their messages to noticed.
func startSilentPlatform(t *testing.T, connections int) (addr string, noticed <-chan string) {
	t.Helper()
	ids := make(chan string, 10000)
	var mu sync.Mutex
	seen := map[net.Conn]bool{}
	type key struct{}
	platform := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
	platform.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		mu.Lock()
		defer mu.Unlock()
		seen[c] = true
		return context.WithValue(ctx, key{}, len(seen) <= connections)
	}
	platform.Start()
	t.Cleanup(func() { platform.CloseClientConnections(); platform.Close() })
	return strings.TrimPrefix(platform.URL, "http://"), ids
}

// logTo returns a log handler that passes each line to a function.
func logTo(handleLine func(line string)) slog.Handler {
	return slog.NewTextHandler(writerFunc(handleLine), nil)
}

// writerFunc is a function that implements io.Writer.
type writerFunc func(line string)

func (w writerFunc) Write(b []byte) (int, error) { w(string(b)); return len(b), nil }

// writeUnfinishedRetryAfter writes a response that asks for a pause, up to half of its body.
func writeUnfinishedRetryAfter(conn net.Conn, pause time.Duration) {
	_, _ = io.WriteString(conn, "HTTP/1.1 429 X\r\nX-RateLimit-Wait-Ms: "+strconv.FormatInt(pause.Milliseconds(), 10)+
		"\r\nContent-Length: 100\r\n\r\nhalf")
}
