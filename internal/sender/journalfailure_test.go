package sender

import (
	"bytes"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/clock"
	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/journal"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// Guards against a rejected message that the next process sends. A rejection promises the client that the message has
// no effect, so it is written to the journal before the response. If it cannot be written, the response is a 500, which
// promises nothing.
func TestRejectionIsWrittenBeforeItIsAnswered(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		write func(b []byte) error // called to write the rejection's record
		want  int
	}{
		"a disk that is slow": {
			func([]byte) error { time.Sleep(300 * time.Millisecond); return nil }, http.StatusServiceUnavailable,
		},
		"a disk that is full":  {func([]byte) error { return syscall.ENOSPC }, http.StatusInternalServerError},
		"a disk with an error": {func([]byte) error { return syscall.EIO }, http.StatusInternalServerError},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			hung := st.NewEndpoint(t, st.NeverAnswer)
			var done atomic.Bool
			env := OperatingSystem()
			env.Files = failingFiles{write: func(b []byte) error {
				isRejection := bytes.Contains(b, []byte(`"how":"answered"`))
				if !isRejection && (!done.Load() || c.want == http.StatusServiceUnavailable) {
					return nil
				}
				err := c.write(b)
				done.Store(true)
				return err
			}}
			s := startSenderIn(t, env, st.NewAgent(t, hung.Addr), func(conf *config.Config) {
				conf.Settings.MaxPendingMessages = 2
			})
			st.Submit(t, s.addr, "out", "unsafe", 0, 15*time.Second)
			hung.NextCall(t)
			resp, _ := do(t, st.Request(t, s.addr, "refused", "unsafe", 5, 15*time.Second, "body"))
			if resp.StatusCode != c.want {
				t.Errorf("the message is answered %s, want %d", resp.Status, c.want)
			}
			if !done.Load() {
				t.Error("the message is answered before its end is written")
			}
		})
	}
}

// Guards against messages that are given up because of the disk. While the journal cannot be written, no message is
// sent, because after a kill the next process would not know of the attempt, and no attempt is counted. When the
// journal can be written again, the messages are sent.
func TestDiskFailureCostsNoAttempt(t *testing.T) {
	t.Parallel()
	for _, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EIO} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			e := st.NewEndpoint(t, st.AnswerStatus(200))
			agent := st.NewAgent(t)
			var failing atomic.Bool
			env := OperatingSystem()
			env.Files = failingFiles{write: func([]byte) error {
				if failing.Load() {
					return errno
				}
				return nil
			}}
			s := startSenderIn(t, env, agent, func(c *config.Config) { c.Settings.MaxAttempts = 2 })
			ids := []string{"a", "b", "c"}
			for _, id := range ids {
				st.Submit(t, s.addr, id, "unsafe", 0, 15*time.Second)
			}
			failing.Store(true)
			agent.UpdateList(st.ListEntry("s-0", e.Addr, 0, "SERVING"))
			time.Sleep(1500 * time.Millisecond)
			select {
			case c := <-e.Calls:
				t.Errorf("message %s is sent although its attempt cannot be written to the journal", c.ID)
			case n := <-agent.Notices:
				t.Errorf("notice %+v while the disk fails, want none", n)
			default:
			}
			failing.Store(false)
			for range ids {
				select {
				case <-e.Calls:
				case n := <-agent.Notices:
					t.Fatalf("notice %+v, want that all messages are sent", n)
				case <-time.After(3 * time.Second):
					t.Fatal("a message is not sent when the disk works again")
				}
			}
		})
	}
}

// Guards against a successor that sends delivered messages again. While the journal cannot be written, it lacks the
// ends of messages, so it is not handed over. A successor that waits gets the journal once it is complete.
func TestNoHandOverWhileTheDiskFails(t *testing.T) {
	t.Parallel()
	good := st.NewEndpoint(t, st.AnswerStatus(200))
	agent := st.NewAgent(t, good.Addr)
	state, admin := t.TempDir(), freeAddress(t)
	var failing atomic.Bool
	env := OperatingSystem()
	env.Files = failingFiles{write: func([]byte) error {
		if failing.Load() {
			return syscall.ENOSPC
		}
		return nil
	}}
	release := make(chan struct{})
	slow := st.NewEndpoint(t, answerAfter(release))
	agent.UpdateList(st.ListEntry("s-1", slow.Addr, 1, "SERVING"))
	first := startSenderIn(t, env, agent, func(c *config.Config) { c.State, c.Admin = state, admin })
	st.Submit(t, first.addr, "m", "unsafe", 1, 15*time.Second)
	slow.NextCall(t)
	failing.Store(true)
	close(release) // m is delivered, and its end cannot be written
	awaitMetrics(t, admin, map[string]int{"succeeded.unsafe": 1, "outstanding": 0})

	handedOver := make(chan struct{})
	go func() {
		defer close(handedOver)
		link, _ := requestSnapshot(t, state)
		defer link.Close()
		j, err := journal.Open(journal.OSFileSystem{}, clock.New(time.Now()), state, 1<<20)
		if err != nil {
			t.Error(err)
			return
		}
		if m := j.Message("m"); m != nil {
			t.Errorf("a message that was delivered is handed over as pending, with the attempts %+v", m.Attempts)
		}
	}()
	select {
	case <-handedOver:
		t.Error("the journal is handed over while it cannot be written")
	case <-time.After(500 * time.Millisecond):
	}
	failing.Store(false)
	st.Receive(t, handedOver)
}
