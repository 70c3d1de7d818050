package sender

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/clock"
	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/journal"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// Guards against a start or a reload that fails for good because of a transient error: the operation is retried.
func TestTransientErrorsAtStartAreRetried(t *testing.T) {
	t.Parallel()
	const times = 3
	fail := func(op string, errno syscall.Errno) func() error {
		return failFirst(times, &os.PathError{Op: op, Path: "x", Err: errno})
	}
	t.Run("the journal", func(t *testing.T) {
		t.Parallel()
		e := st.NewEndpoint(t, st.AnswerStatus(200))
		agent := st.NewAgent(t)
		state := t.TempDir()
		first := startSenderIn(t, OperatingSystem(), agent, func(c *config.Config) { c.State = state })
		st.Submit(t, first.addr, "m", "unsafe", 0, 15*time.Second)
		first.stop()
		agent.UpdateList(st.ListEntry("s-0", e.Addr, 0, "SERVING"))
		env, failing := OperatingSystem(), fail("open", syscall.ENFILE)
		env.Files = failingFiles{open: func(_ string, flag int) error {
			if flag != os.O_RDONLY {
				return nil
			}
			return failing()
		}}
		startSenderIn(t, env, agent, func(c *config.Config) { c.State = state })
		if c := e.NextCall(t); c.ID != "m" {
			t.Errorf("the endpoint got %+v, want m", c)
		}
	})
	t.Run("the address", func(t *testing.T) {
		t.Parallel()
		e := st.NewEndpoint(t, st.AnswerStatus(200))
		raw, err := json.Marshal(st.Config(st.NewAgent(t, e.Addr), t.TempDir()))
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
			t.Fatalf("Run returned %v", err)
		case at := <-addr:
			st.Submit(t, at, "m", "safe", 0, 5*time.Second)
			e.NextCall(t)
		}
		cancel()
		if err := st.Receive(t, done); err != nil {
			t.Error(err)
		}
	})
	t.Run("the configuration", func(t *testing.T) {
		t.Parallel()
		agent := st.NewAgent(t)
		raw, err := json.Marshal(st.Config(agent, t.TempDir()))
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
		_, err = config.Load(context.Background(), slog.New(slog.DiscardHandler), env.ReadFile, getenv)
		if err != nil {
			t.Errorf("loading the configuration: %v", err)
		}
		s := startSenderIn(t, env, agent, nil)
		failing = fail("open", syscall.EMFILE)
		if err := s.Reload(context.Background(), getenv); err != nil {
			t.Errorf("reloading the configuration: %v", err)
		}
	})
}

// Guards against a process that resumes messages that have ended, because it starts while the disk is full. Neither
// delivered nor rejected messages are resumed.
func TestStartOnAFullDiskResumesNoEndedMessage(t *testing.T) {
	t.Parallel()
	good, hung := st.NewEndpoint(t, st.AnswerStatus(200)), st.NewEndpoint(t, st.NeverAnswer)
	agent := st.NewAgent(t, good.Addr, hung.Addr)
	state, admin := t.TempDir(), freeAddress(t)
	edit := func(c *config.Config) { c.State, c.Admin, c.Settings.MaxPendingMessages = state, admin, 2 }
	first := startSenderIn(t, OperatingSystem(), agent, edit)
	for _, id := range []string{"safe", "unsafe"} {
		st.Submit(t, first.addr, id, id, 0, 15*time.Second)
		good.NextCall(t)
		awaitMetrics(t, admin, map[string]int{"outstanding": 0}) // the limit allows one at a time
	}
	st.Submit(t, first.addr, "out", "unsafe", 1, 15*time.Second)
	hung.NextCall(t)
	resp, _ := do(t, st.Request(t, first.addr, "refused", "unsafe", 5, 15*time.Second, "x"))
	if resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatal(resp.Status)
	}
	first.stop()

	agent.UpdateList(st.ListEntry("s-2", good.Addr, 5, "SERVING"))
	var failing atomic.Bool
	failing.Store(true)
	env := OperatingSystem()
	env.Files = failingFiles{open: func(_ string, flag int) error {
		if flag != os.O_RDONLY && failing.Load() {
			return syscall.ENOSPC
		}
		return nil
	}}
	startSenderIn(t, env, agent, edit)
	time.Sleep(300 * time.Millisecond)
	failing.Store(false)
	for until := time.After(time.Second); ; {
		select {
		case c := <-good.Calls:
			t.Errorf("message %s has ended, and is sent again with the body %q", c.ID, c.Body)
		case n := <-agent.Notices:
			if n.Message != "out" {
				t.Errorf("notice of a message that had ended already: %+v", n)
			}
		case <-until:
			return
		}
	}
}

// Guards against messages that are lost or sent by a sender whose shutdown is requested before it is ready. It resumes
// nothing and does not listen, and the next process finds its messages in the journal.
func TestShutdownRequestedBeforeTheStart(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.NeverAnswer)
	agent := st.NewAgent(t, e.Addr)
	s := newTestSender(t, agent, func(c *config.Config) {
		j := openJournal(t, c.State)
		deadline := clock.New(time.Now()).Now() + time.Minute
		record := journal.Record{ID: "m", Class: "unsafe", Tenant: "acme", Deadline: deadline}
		if _, err := j.Accept(record); err != nil {
			t.Fatal(err)
		}
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	err := s.Run(ctx, func() (net.Listener, error) { t.Error("the sender listens"); return nil, net.ErrClosed })
	if err != nil {
		t.Error(err)
	}
	j := openJournal(t, s.upgrade.stateDir)
	if m := j.Message("m"); m == nil || len(m.Attempts) > 0 {
		t.Errorf("the next process finds the message %+v, want m without attempts", m)
	}
	_ = j.Close()
	startSender(t, agent, func(c *config.Config) { c.State = s.upgrade.stateDir })
	if c := e.NextCall(t); c.ID != "m" {
		t.Errorf("the endpoint got %s, want m", c.ID)
	}
}
