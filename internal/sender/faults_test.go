package sender

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/endpointlist"
	"onyxdyke.example/onyxdyke/internal/journal"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// life is a sender in this process, in an environment that a test spoils.
type life struct {
	*Sender
	addr string
	stop func()
}

// live starts a sender in an environment; edit may change its configuration.
func live(t *testing.T, env Environment, p *st.Platform, edit func(c *config.Config)) *life {
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
	l := &life{Sender: s, stop: sync.OnceFunc(func() {
		cancel()
		if err := st.Receive(t, done); err != nil {
			t.Error(err)
		}
	})}
	t.Cleanup(l.stop)
	l.addr = st.Receive(t, addr)
	return l
}

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

// Whatever accept fails with for a moment, the sender goes on to take clients.
func TestAcceptFailsForAMoment(t *testing.T) {
	t.Parallel()
	for _, errno := range []syscall.Errno{syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EPROTO, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.EPERM, syscall.ETIMEDOUT} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			e := st.NewEndpoint(t, st.Status(200))
			env := OperatingSystem()
			env.WrapListener = func(l net.Listener) net.Listener {
				failing := &failingListener{Listener: l, errno: errno}
				failing.left.Store(3)
				return failing
			}
			s := live(t, env, st.NewPlatform(t, e.Addr), nil)
			client := &http.Client{Timeout: 2 * time.Second}
			resp, err := client.Do(st.Message(t, s.addr, "m", "safe", 0, 5*time.Second, "body"))
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != http.StatusAccepted {
				t.Errorf("%s", resp.Status)
			}
		})
	}
}

// everySecondFails is a listener with a long queue, of which every second accept fails.
type everySecondFails struct {
	net.Listener
	calls atomic.Uint32
	errno syscall.Errno
}

func (l *everySecondFails) Accept() (net.Conn, error) {
	if l.calls.Add(1)%2 == 1 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.errno)}
	}
	ours, _ := net.Pipe()
	return ours, nil
}

// A crowd in the queue is worked off also while accept fails for a moment: whoever waits there is owed an error or a close within
// 3 s of having connected, and a request its answer within 0.4 s.
func TestAQueueIsWorkedOffWhileAcceptFails(t *testing.T) {
	t.Parallel()
	const crowd, within = 300, time.Second
	for _, errno := range []syscall.Errno{syscall.ECONNABORTED, syscall.EPROTO, syscall.ENETDOWN, syscall.ENFILE, syscall.ENOBUFS} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			d := newLimitListener(&everySecondFails{errno: errno}, crowd)
			began := time.Now()
			for range crowd {
				if _, err := d.Accept(); err != nil {
					t.Fatal(err)
				}
			}
			if took := time.Since(began); took > within {
				t.Errorf("%d connections are taken in within %v", crowd, took)
			}
		})
	}
}

// stepped is the operating system's environment with its wall clock off by a step.
func stepped(step time.Duration) Environment {
	env := OperatingSystem()
	env.Wall = func() time.Time { return time.Now().Round(0).Add(step) }
	return env
}

// A wall clock that is stepped while no process runs moves no deadline and no window: both are spans of real time.
func TestWallClockStepsAcrossARestart(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		step      time.Duration
		class     string
		deadline  time.Duration
		rest      time.Duration // between the processes
		tried     bool          // by the first, without an answer
		delivered bool          // by the second; else it is given up
	}{
		"back, a deadline that passes":       {step: -time.Hour, class: "safe", deadline: 700 * time.Millisecond, rest: 800 * time.Millisecond},
		"forward, a deadline far away":       {step: time.Hour, class: "safe", deadline: 15 * time.Second, delivered: true},
		"back, a key that is forgotten":      {step: -time.Hour, class: "keyed", deadline: 15 * time.Second, rest: 600 * time.Millisecond, tried: true},
		"a little back, a key forgotten":     {step: -3 * time.Second, class: "keyed", deadline: 15 * time.Second, rest: 600 * time.Millisecond, tried: true},
		"forward, a key that is remembered":  {step: 3 * time.Second, class: "keyed", deadline: 15 * time.Second, tried: true, delivered: true},
		"no step, a key that is remembered":  {class: "keyed", deadline: 15 * time.Second, tried: true, delivered: true},
		"no step, a deadline that is far":    {class: "safe", deadline: 15 * time.Second, delivered: true},
		"back, a deadline that is some away": {step: -time.Hour, class: "safe", deadline: 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			silent, good := st.NewEndpoint(t, st.Silent), st.NewEndpoint(t, st.Status(200))
			p := st.NewPlatform(t)
			if c.tried {
				p.Change(st.Target("s-0", silent.Addr, 0, "SERVING"))
			}
			state := t.TempDir()
			window := 500 * time.Millisecond
			if c.delivered {
				window = 2500 * time.Millisecond
			}
			edit := func(conf *config.Config) { conf.State, conf.Settings.Classes[1].IdempotencyWindow = state, window }
			first := live(t, OperatingSystem(), p, edit)
			st.HandIn(t, first.addr, "m", c.class, 0, c.deadline)
			if c.tried {
				silent.Next(t)
			}
			first.stop()
			time.Sleep(c.rest)
			if c.delivered || c.tried {
				p.Change(st.Target("s-0", good.Addr, 0, "SERVING"))
			}
			live(t, stepped(c.step), p, edit)
			select {
			case call := <-good.Calls:
				if !c.delivered {
					t.Errorf("%s is sent", call.ID)
				}
			case n := <-p.Notices:
				if c.delivered {
					t.Errorf("%+v", n)
				}
			case <-time.After(2200 * time.Millisecond):
				t.Error("it is neither sent nor ended")
			}
		})
	}
}

// silentAddr takes connections and says nothing on them.
func silentAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.Addr().String()
}

// What a process has been told of the list binds the next one too, while discovery is silent and the configuration's
// list is older: an endpoint that drains gets nothing, and one that has come in its place is used.
func TestARestartWhileDiscoveryIsSilentGoesByTheListAsLastTold(t *testing.T) {
	t.Parallel()
	for name, state := range map[string]string{"draining": "DRAINING", "gone": "DELETED"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			old, kept, fresh := st.NewEndpoint(t, st.Status(200)), st.NewEndpoint(t, st.Status(200)), st.NewEndpoint(t, st.Status(200))
			p := st.NewPlatform(t, old.Addr, kept.Addr)
			folder := t.TempDir()
			var known endpointlist.Update
			first := live(t, OperatingSystem(), p, func(c *config.Config) { c.State, known = folder, c.Known })
			p.Change(st.Target("s-0", old.Addr, 0, state))
			p.Change(st.Target("s-2", fresh.Addr, 0, "SERVING"))
			st.HandIn(t, first.addr, "before", "unsafe", 0, 15*time.Second)
			for heeded, n := false, 0; !heeded; n++ {
				select {
				case <-old.Calls:
					st.HandIn(t, first.addr, "again"+strconv.Itoa(n), "unsafe", 0, 15*time.Second)
				case <-fresh.Calls:
					heeded = true
				case <-time.After(st.Wait):
					t.Fatal("no call")
				}
			}
			first.stop()
			second := live(t, OperatingSystem(), p, func(c *config.Config) { c.State, c.Known, c.Discovery = folder, known, silentAddr(t) })
			for _, id := range []string{"a", "b", "c"} {
				st.HandIn(t, second.addr, id, "unsafe", 0, 15*time.Second)
			}
			st.HandIn(t, second.addr, "other", "unsafe", 1, 15*time.Second)
			kept.Next(t)
			for range 3 {
				select {
				case call := <-fresh.Calls:
					t.Log(call.ID, "is sent to the new one")
				case call := <-old.Calls:
					t.Fatalf("%s is sent to the old one", call.ID)
				case <-time.After(3 * time.Second):
					t.Fatal("nothing is sent")
				}
			}
		})
	}
}

// pipeEnds is a connection of a client, as the server has it, and the client's end.
func pipeEnds(t *testing.T) (*clientConn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	theirs, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	ours, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { theirs.Close(); ours.Close() })
	return &clientConn{Conn: ours, cut: new(atomic.Bool), left: func() {}}, theirs
}

// A connection that is let go of in the moment in which a request begins to come goes on until that has come whole.
func TestALetGoThatCrossesARequestLetsItComeWhole(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		before, after bool // parts of the request that are read before the connection is let go of
		want          string
	}{
		"nothing has come":  {},
		"a part has come":   {before: true, want: "first second"},
		"a reader is at it": {before: true, after: true, want: "first second"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g, client := pipeEnds(t)
			got, parts := "", make(chan string, 10)
			read := func() {
				b := make([]byte, 100)
				n, _ := g.Read(b)
				parts <- string(b[:n])
			}
			if c.before {
				io.WriteString(client, "first ")
				read()
				got += <-parts
			}
			if c.after {
				go read()
				time.Sleep(20 * time.Millisecond)
			}
			g.dismiss(closedLeaving)
			time.Sleep(20 * time.Millisecond)
			io.WriteString(client, "second")
			if !c.after {
				go read()
			}
			if got += st.Receive(t, parts); got != c.want {
				t.Errorf("%q is read, want %q", got, c.want)
			}
		})
	}
}

// stallingConn holds its reader up behind a read, as a busy machine does.
type stallingConn struct {
	net.Conn
	reads atomic.Int32
}

const stallTime = 150 * time.Millisecond

func (c *stallingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.reads.Add(1) == 2 {
		time.Sleep(stallTime)
	}
	return n, err
}

func (c *stallingConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

type stallingListener struct{ net.Listener }

func (l stallingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stallingConn{Conn: c}, nil
}

// A request that has been read whole is answered, also where its connection had to make room and the process was held up
// just then.
func TestARequestReadWholeBeforeAStallIsAnswered(t *testing.T) {
	t.Parallel()
	env := OperatingSystem()
	env.WrapListener = func(l net.Listener) net.Listener { return stallingListener{l} }
	s := live(t, env, st.NewPlatform(t), func(c *config.Config) { c.Limits.Sockets = 8 })
	text := written(t, st.Message(t, s.addr, "m", "safe", 0, 5*time.Second, "body"))
	var conns []net.Conn
	for range 3 {
		c := dial(t, s.addr)
		io.WriteString(c, text[:len(text)-4])
		conns = append(conns, c)
		time.Sleep(2 * evictAgain)
	}
	io.WriteString(conns[0], "body")
	time.Sleep(10 * time.Millisecond)
	dial(t, s.addr) // all places are taken now, and the first one has been in the middle of its request for longest
	conns[0].SetReadDeadline(time.Now().Add(st.Wait))
	if resp, err := http.ReadResponse(bufio.NewReader(conns[0]), nil); err != nil || resp.StatusCode != http.StatusAccepted {
		t.Errorf("%+v, %v", resp, err)
	}
}

// failingFiles fails what a test wants to fail, and otherwise is the operating system's.
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

// What fails for a moment at a start, or at a new configuration, is tried again.
func TestSystemCallsFailForAMomentAtAStart(t *testing.T) {
	t.Parallel()
	const times = 3
	fail := func(op string, errno syscall.Errno) func() error {
		return failFirst(times, &os.PathError{Op: op, Path: "x", Err: errno})
	}
	t.Run("the journal", func(t *testing.T) {
		t.Parallel()
		e := st.NewEndpoint(t, st.Status(200))
		p := st.NewPlatform(t)
		state := t.TempDir()
		first := live(t, OperatingSystem(), p, func(c *config.Config) { c.State = state })
		st.HandIn(t, first.addr, "m", "unsafe", 0, 15*time.Second)
		first.stop()
		p.Change(st.Target("s-0", e.Addr, 0, "SERVING"))
		env, failing := OperatingSystem(), fail("open", syscall.ENFILE)
		env.Files = failingFiles{open: func(_ string, flag int) error {
			if flag != os.O_RDONLY {
				return nil
			}
			return failing()
		}}
		live(t, env, p, func(c *config.Config) { c.State = state })
		if c := e.Next(t); c.ID != "m" {
			t.Errorf("%+v", c)
		}
	})
	t.Run("the address", func(t *testing.T) {
		t.Parallel()
		e := st.NewEndpoint(t, st.Status(200))
		raw, err := json.Marshal(st.Config(st.NewPlatform(t, e.Addr), t.TempDir()))
		if err != nil {
			t.Fatal(err)
		}
		c, err := config.Parse(raw)
		if err != nil {
			t.Fatal(err)
		}
		s, err := New(c, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		s.shutdown.gracePeriod, s.shutdown.drainTimeout = 0, 20*time.Millisecond
		ctx, cancel := context.WithCancel(context.Background())
		failing := failFirst(times, &net.OpError{Op: "listen", Err: os.NewSyscallError("bind", syscall.EADDRNOTAVAIL)})
		done, addr := make(chan error, 1), make(chan string, 1)
		go func() {
			done <- s.Run(ctx, func() (net.Listener, error) {
				if err := failing(); err != nil {
					return nil, err
				}
				l, err := net.Listen("tcp", c.Listen)
				if err == nil {
					addr <- l.Addr().String()
				}
				return l, err
			})
		}()
		select {
		case err := <-done:
			t.Fatalf("it ends with %v", err)
		case at := <-addr:
			st.HandIn(t, at, "m", "safe", 0, 5*time.Second)
			e.Next(t)
		}
		cancel()
		if err := st.Receive(t, done); err != nil {
			t.Error(err)
		}
	})
	t.Run("the configuration", func(t *testing.T) {
		t.Parallel()
		p := st.NewPlatform(t)
		raw, err := json.Marshal(st.Config(p, t.TempDir()))
		if err != nil {
			t.Fatal(err)
		}
		file := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(file, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		getenv := func(name string) string { return map[string]string{"EDGE_CONFIG": file}[name] }
		env, failing := OperatingSystem(), fail("open", syscall.EMFILE)
		env.ReadFile = func(path string) ([]byte, error) {
			if err := failing(); err != nil {
				return nil, err
			}
			return os.ReadFile(path)
		}
		if _, err := config.Load(context.Background(), slog.New(slog.DiscardHandler), env.ReadFile, getenv); err != nil {
			t.Errorf("a start: %v", err)
		}
		s := live(t, env, p, nil)
		failing = fail("open", syscall.EMFILE)
		if err := s.Reload(context.Background(), getenv); err != nil {
			t.Errorf("a new configuration: %v", err)
		}
	})
}

// A refusal promises that the message has no effect: it is written down first, so that no later process sends the message;
// where it cannot be, nothing is promised.
func TestARefusalIsWrittenBeforeItIsPromised(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		write func(b []byte) error // of the refusal's record
		want  int
	}{
		"a disk that is slow":  {func([]byte) error { time.Sleep(300 * time.Millisecond); return nil }, http.StatusServiceUnavailable},
		"a disk that is full":  {func([]byte) error { return syscall.ENOSPC }, http.StatusInternalServerError},
		"a disk with an error": {func([]byte) error { return syscall.EIO }, http.StatusInternalServerError},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			hung := st.NewEndpoint(t, st.Silent)
			var done atomic.Bool
			env := OperatingSystem()
			env.Files = failingFiles{write: func(b []byte) error {
				if !bytes.Contains(b, []byte(`"how":"answered"`)) && (!done.Load() || c.want == http.StatusServiceUnavailable) {
					return nil
				}
				err := c.write(b)
				done.Store(true)
				return err
			}}
			s := live(t, env, st.NewPlatform(t, hung.Addr), func(conf *config.Config) { conf.Settings.MaxPendingMessages = 2 })
			st.HandIn(t, s.addr, "out", "unsafe", 0, 15*time.Second)
			hung.Next(t)
			resp, _ := st.Do(t, st.Message(t, s.addr, "refused", "unsafe", 5, 15*time.Second, "body"))
			if resp.StatusCode != c.want {
				t.Errorf("it is answered %s, want %d", resp.Status, c.want)
			}
			if !done.Load() {
				t.Error("it is answered before its end is written")
			}
		})
	}
}

// A wait counts from the line that tells it, also where the answer it stands in never ends.
func TestAWaitWhoseAnswerNeverEndsIsHeeded(t *testing.T) {
	t.Parallel()
	const wait = 1200 * time.Millisecond
	var told atomic.Int64
	e := st.NewEndpoint(t, func(c st.Call, conn net.Conn) bool {
		if c.ID != "first" {
			return st.Status(200)(c, conn)
		}
		told.Store(time.Now().UnixNano())
		io.WriteString(conn, "HTTP/1.1 429 X\r\nX-RateLimit-Wait-Ms: "+strconv.FormatInt(wait.Milliseconds(), 10)+"\r\nContent-Length: 100\r\n\r\nhalf")
		return st.Silent(c, conn)
	})
	admin := freeAddr(t)
	s := live(t, OperatingSystem(), st.NewPlatform(t, e.Addr), func(c *config.Config) { c.Admin = admin })
	st.HandIn(t, s.addr, "first", "unsafe", 0, 15*time.Second)
	e.Next(t)
	for told.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(150 * time.Millisecond)
	st.HandIn(t, s.addr, "second", "safe", 0, 15*time.Second)
	c := e.Next(t)
	if after := time.Since(time.Unix(0, told.Load())); c.ID != "second" || after < wait {
		t.Errorf("%s comes %v after a wait of %v was told", c.ID, after, wait)
	}
	if got := readFigures(t, admin)["violations.wait"]; got != 0 {
		t.Errorf("the guard had to stop %d calls", got)
	}
}

// A disk that takes nothing for a while costs a message time, and none of its attempts.
func TestADiskThatFailsForAWhileCostsNoAttempt(t *testing.T) {
	t.Parallel()
	for _, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EIO} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			e := st.NewEndpoint(t, st.Status(200))
			p := st.NewPlatform(t)
			var failing atomic.Bool
			env := OperatingSystem()
			env.Files = failingFiles{write: func([]byte) error {
				if failing.Load() {
					return errno
				}
				return nil
			}}
			s := live(t, env, p, func(c *config.Config) { c.Settings.MaxAttempts = 2 })
			ids := []string{"a", "b", "c"}
			for _, id := range ids {
				st.HandIn(t, s.addr, id, "unsafe", 0, 15*time.Second)
			}
			failing.Store(true)
			p.Change(st.Target("s-0", e.Addr, 0, "SERVING"))
			time.Sleep(1500 * time.Millisecond)
			select {
			case c := <-e.Calls:
				t.Errorf("%s is sent, and nobody would know after a kill", c.ID)
			case n := <-p.Notices:
				t.Errorf("%+v", n)
			default:
			}
			failing.Store(false)
			for range ids {
				select {
				case <-e.Calls:
				case n := <-p.Notices:
					t.Fatalf("%+v", n)
				case <-time.After(3 * time.Second):
					t.Fatal("nothing is sent when the disk works again")
				}
			}
		})
	}
}

// A destination that returns cold is not pushed over by what a restarted sender held for it: the next process goes on with
// the outage that the one before saw.
func TestASlowStartIsKeptAcrossARestart(t *testing.T) {
	t.Parallel()
	const (
		usual    = 5.0 // calls a second before the outage
		headroom = 2.0 // of the destination over them
		held     = 60
	)
	for name, restart := range map[string]bool{"one process": false, "a restart": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var down atomic.Bool
			e := st.NewEndpoint(t, func(c st.Call, conn net.Conn) bool {
				if down.Load() {
					return st.Reset(c, conn)
				}
				time.Sleep(10 * time.Millisecond)
				return st.Status(200)(c, conn)
			})
			p := st.NewPlatform(t, e.Addr)
			state := t.TempDir()
			edit := func(c *config.Config) {
				c.State, c.Settings.MaxPendingMessages, c.Settings.OverloadWindow = state, 200, 2*time.Second
			}
			s := live(t, OperatingSystem(), p, edit)
			for n := range int(3 * usual) {
				st.HandIn(t, s.addr, "usual"+strconv.Itoa(n), "safe", 0, 15*time.Second)
				e.Next(t)
				time.Sleep(time.Duration(float64(time.Second) / usual))
			}
			down.Store(true)
			for n := range held {
				st.HandIn(t, s.addr, "held"+strconv.Itoa(n), "safe", 0, 15*time.Second)
			}
			time.Sleep(1500 * time.Millisecond) // until the outage has shown
			if restart {
				s.stop()
			}
			down.Store(false)
			for len(e.Calls) > 0 {
				<-e.Calls
			}
			if restart {
				s = live(t, OperatingSystem(), p, edit)
			}
			rules := s.config.Settings
			time.Sleep(rules.OverloadWindow)
			share := rules.SlowStartCapacity + (1-rules.SlowStartCapacity)*rules.OverloadWindow.Seconds()/rules.SlowStartDuration.Seconds()
			n := rules.CollapseLoadFactor * share * usual * headroom * rules.OverloadWindow.Seconds()
			calls := len(e.Calls)
			if bears := n + 3*math.Sqrt(n) + 3; float64(calls) > bears || calls == 0 {
				t.Errorf("%d calls in %v after its return, it bears %.1f", calls, rules.OverloadWindow, bears)
			}
		})
	}
}

// A notice is told as soon as the platform can be reached again: what is owed at a message's end has 0.3 s.
func TestANoticeIsToldAsSoonAsSocketsWorkAgain(t *testing.T) {
	t.Parallel()
	const deadline, failing = 500 * time.Millisecond, 250 * time.Millisecond
	for n := range 8 {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			t.Parallel()
			p := st.NewPlatform(t)
			var from, until atomic.Int64 // Unix ns
			env := OperatingSystem()
			env.Control = func(string, string, syscall.RawConn) error {
				if now := time.Now().UnixNano(); from.Load() <= now && now < until.Load() {
					return os.NewSyscallError("socket", syscall.ENFILE)
				}
				return nil
			}
			s := live(t, env, p, nil)
			at := time.Now()
			from.Store(at.UnixNano())
			until.Store(at.Add(deadline + failing).UnixNano())
			st.HandIn(t, s.addr, "m", "safe", 5, deadline)
			if n := st.Receive(t, p.Notices); n.Message != "m" {
				t.Errorf("%+v", n)
			}
			if late := time.Since(at) - deadline; late > 300*time.Millisecond {
				t.Errorf("it is told %v after the message's time", late)
			}
		})
	}
}

// Messages that have ended stay so for a process that starts while the disk takes nothing: neither what was delivered nor
// what was refused comes back.
func TestAStartOnAFullDiskBringsNoEndedMessageBack(t *testing.T) {
	t.Parallel()
	good, hung := st.NewEndpoint(t, st.Status(200)), st.NewEndpoint(t, st.Silent)
	p := st.NewPlatform(t, good.Addr, hung.Addr)
	state, admin := t.TempDir(), freeAddr(t)
	edit := func(c *config.Config) { c.State, c.Admin, c.Settings.MaxPendingMessages = state, admin, 2 }
	first := live(t, OperatingSystem(), p, edit)
	for _, id := range []string{"safe", "unsafe"} {
		st.HandIn(t, first.addr, id, id, 0, 15*time.Second)
		good.Next(t)
		wantFigures(t, admin, map[string]int{"outstanding": 0}) // there is room for one at a time
	}
	st.HandIn(t, first.addr, "out", "unsafe", 1, 15*time.Second)
	hung.Next(t)
	if resp, _ := st.Do(t, st.Message(t, first.addr, "refused", "unsafe", 5, 15*time.Second, "x")); resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatal(resp.Status)
	}
	first.stop()

	p.Change(st.Target("s-2", good.Addr, 5, "SERVING"))
	var failing atomic.Bool
	failing.Store(true)
	env := OperatingSystem()
	env.Files = failingFiles{open: func(_ string, flag int) error {
		if flag != os.O_RDONLY && failing.Load() {
			return syscall.ENOSPC
		}
		return nil
	}}
	live(t, env, p, edit)
	time.Sleep(300 * time.Millisecond)
	failing.Store(false)
	for until := time.After(time.Second); ; {
		select {
		case c := <-good.Calls:
			t.Errorf("%s has ended, and is sent again with %q", c.ID, c.Body)
		case n := <-p.Notices:
			if n.Message != "out" {
				t.Errorf("it had ended: %+v", n)
			}
		case <-until:
			return
		}
	}
}

// A message's end is told in time also while no socket can be had at all: a connection for notices is kept ready.
func TestANoticeIsToldWhileNoSocketCanBeHad(t *testing.T) {
	t.Parallel()
	const deadline = 1200 * time.Millisecond
	for name, told := range map[string]int{"the first notice": 0, "a later notice": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := st.NewPlatform(t)
			var failing atomic.Bool
			env := OperatingSystem()
			env.Control = func(string, string, syscall.RawConn) error {
				if failing.Load() {
					return os.NewSyscallError("socket", syscall.ENFILE)
				}
				return nil
			}
			s := live(t, env, p, nil)
			for n := range told {
				st.HandIn(t, s.addr, "before"+strconv.Itoa(n), "safe", 5, 50*time.Millisecond)
				st.Receive(t, p.Notices)
			}
			time.Sleep(200 * time.Millisecond)
			failing.Store(true)
			at := time.Now()
			st.HandIn(t, s.addr, "m", "safe", 5, deadline)
			select {
			case n := <-p.Notices:
				if late := time.Since(at) - deadline; n.Message != "m" || late > 300*time.Millisecond {
					t.Errorf("%+v, %v after the message's time", n, late)
				}
			case <-time.After(deadline + 500*time.Millisecond):
				t.Error("it is not told")
			}
			failing.Store(false)
		})
	}
}
