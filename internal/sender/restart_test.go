package sender

import (
	"context"
	"math"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/clock"
	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/ingress"
	"onyxdyke.example/onyxdyke/internal/journal"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// Guards against deadlines and idempotency windows that move with the wall clock when it is stepped while no process
// runs. Both are measured in elapsed time, across the restart as well.
func TestWallClockStepMovesNoDeadline(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		step      time.Duration
		class     string
		deadline  time.Duration
		pause     time.Duration // between the two processes
		tried     bool          // the first process sends the message and gets no response
		delivered bool          // the second process delivers the message; otherwise it is given up
	}{
		"back, the deadline passes between the processes": {
			step:     -time.Hour,
			class:    "safe",
			deadline: 700 * time.Millisecond,
			pause:    800 * time.Millisecond,
		},
		"forward, a distant deadline": {
			step:      time.Hour,
			class:     "safe",
			deadline:  15 * time.Second,
			delivered: true,
		},
		"back, the idempotency window ends": {
			step:     -time.Hour,
			class:    "keyed",
			deadline: 15 * time.Second,
			pause:    600 * time.Millisecond,
			tried:    true,
		},
		"a little back, the idempotency window ends": {
			step:     -3 * time.Second,
			class:    "keyed",
			deadline: 15 * time.Second,
			pause:    600 * time.Millisecond,
			tried:    true,
		},
		"forward, inside the idempotency window": {
			step:      3 * time.Second,
			class:     "keyed",
			deadline:  15 * time.Second,
			tried:     true,
			delivered: true,
		},
		"no step, inside the idempotency window": {
			class:     "keyed",
			deadline:  15 * time.Second,
			tried:     true,
			delivered: true,
		},
		"no step, a distant deadline": {
			class:     "safe",
			deadline:  15 * time.Second,
			delivered: true,
		},
		"back, the deadline passes in the second process": {
			step:     -time.Hour,
			class:    "safe",
			deadline: 1500 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			silent, good := st.NewEndpoint(t, st.NeverAnswer), st.NewEndpoint(t, st.AnswerStatus(200))
			agent := st.NewAgent(t)
			if c.tried {
				agent.UpdateList(st.ListEntry("s-0", silent.Addr, 0, "SERVING"))
			}
			state := t.TempDir()
			window := 500 * time.Millisecond
			if c.delivered {
				window = 2500 * time.Millisecond
			}
			edit := func(conf *config.Config) { conf.State, conf.Settings.Classes[1].IdempotencyWindow = state, window }
			first := startSenderIn(t, OperatingSystem(), agent, edit)
			st.Submit(t, first.addr, "m", c.class, 0, c.deadline)
			if c.tried {
				silent.NextCall(t)
			}
			first.stop()
			time.Sleep(c.pause)
			if c.delivered || c.tried {
				agent.UpdateList(st.ListEntry("s-0", good.Addr, 0, "SERVING"))
			}
			startSenderIn(t, withClockStep(c.step), agent, edit)
			select {
			case call := <-good.Calls:
				if !c.delivered {
					t.Errorf("message %s is sent, want that it is given up", call.ID)
				}
			case n := <-agent.Notices:
				if c.delivered {
					t.Errorf("notice %+v, want that the message is delivered", n)
				}
			case <-time.After(2200 * time.Millisecond):
				t.Error("the message is neither sent nor given up")
			}
		})
	}
}

// Guards against overload of a destination that has just recovered from an outage, by the messages that a restarted
// sender has pending. The journal holds the outage that the earlier process detected, so the next process applies slow
// start.
func TestSlowStartSurvivesARestart(t *testing.T) {
	t.Parallel()
	const (
		usualRate = 5.0 // calls a second before the outage
		headroom  = 2.0 // capacity of the destination, as a multiple of usualRate
		pending   = 60
	)
	for name, restart := range map[string]bool{"one process": false, "a restart": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var down atomic.Bool
			e := st.NewEndpoint(t, func(c st.Call, conn net.Conn) bool {
				if down.Load() {
					return st.ResetConnection(c, conn)
				}
				time.Sleep(10 * time.Millisecond)
				return st.AnswerStatus(200)(c, conn)
			})
			agent := st.NewAgent(t, e.Addr)
			state := t.TempDir()
			edit := func(c *config.Config) {
				c.State, c.Settings.MaxPendingMessages, c.Settings.OverloadWindow = state, 200, 2*time.Second
			}
			s := startSenderIn(t, OperatingSystem(), agent, edit)
			for n := range int(3 * usualRate) {
				st.Submit(t, s.addr, "usual"+strconv.Itoa(n), "safe", 0, 15*time.Second)
				e.NextCall(t)
				time.Sleep(time.Duration(float64(time.Second) / usualRate))
			}
			down.Store(true)
			for n := range pending {
				st.Submit(t, s.addr, "pending"+strconv.Itoa(n), "safe", 0, 15*time.Second)
			}
			time.Sleep(1500 * time.Millisecond) // until the sender has detected the outage
			if restart {
				s.stop()
			}
			down.Store(false)
			for len(e.Calls) > 0 {
				<-e.Calls
			}
			if restart {
				s = startSenderIn(t, OperatingSystem(), agent, edit)
			}
			rules := s.config.Settings
			time.Sleep(rules.OverloadWindow)
			share := rules.SlowStartCapacity +
				(1-rules.SlowStartCapacity)*rules.OverloadWindow.Seconds()/rules.SlowStartDuration.Seconds()
			n := rules.CollapseLoadFactor * share * usualRate * headroom * rules.OverloadWindow.Seconds()
			calls := len(e.Calls)
			if limit := n + 3*math.Sqrt(n) + 3; float64(calls) > limit || calls == 0 {
				t.Errorf("%d calls in %v after the recovery, want 1 to %.1f", calls, rules.OverloadWindow, limit)
			}
		})
	}
}

// Guards against messages that never end because their deadline passes between SIGTERM and the start of the next
// process. One of the two processes ends each of them by a notice, within 1.5 s after the next process is ready, as the
// protocol demands, even for many messages, endpoints that hang and connections on which discovery does not respond.
func TestDeadlinesDuringARestartAreNotified(t *testing.T) {
	t.Parallel()
	hung := st.NewEndpoint(t, st.NeverAnswer)
	addr, noticed := startSilentPlatform(t, 3) // for the list, and for notices before and after the restart
	unnotified := map[string]bool{}
	edit := func(c *config.Config) { c.Settings.MaxPendingMessages = 1e6; c.Limits.DiskMB = 10; c.Discovery = addr }
	s := startStoppable(t, st.NewAgent(t, hung.Addr), edit)
	s.shutdown.gracePeriod, s.shutdown.drainTimeout = 500*time.Millisecond, 700*time.Millisecond
	sendMessages := func(from, to int, class string, left time.Duration) {
		for i := from; i < to; i++ {
			id := class + strconv.Itoa(i)
			st.Submit(t, s.addr, id, class, 0, left)
			unnotified[id] = true
		}
	}
	sendMessages(0, 500, "safe", 900*time.Millisecond)
	sendMessages(0, 500, "unsafe", 900*time.Millisecond)
	s.stop()
	began := time.Now()
	sendMessages(500, 510, "unsafe", 250*time.Millisecond) // some of them reach their deadline during the shutdown
	if err := st.Receive(t, s.done); err != nil {
		t.Error(err)
	}
	const slowMachineMargin = 500 * time.Millisecond
	limit := s.shutdown.drainTimeout + ingress.QueueTimeout + ingress.ResponseTimeout + slowMachineMargin
	if took := time.Since(began); took > limit {
		t.Errorf("the shutdown took %v", took)
	}
	next := startStoppable(t, st.NewAgent(t, hung.Addr), func(c *config.Config) {
		edit(c)
		c.State = s.upgrade.stateDir
	})
	ready := time.Now()
	for len(unnotified) > 0 {
		delete(unnotified, st.Receive(t, noticed))
	}
	if took := time.Since(ready); took > 1500*time.Millisecond {
		t.Errorf("the last notice was delivered %v after ready", took)
	}
	next.stop()
	if err := st.Receive(t, next.done); err != nil {
		t.Error(err)
	}
}

// Guards against a message that is sent twice because its client submits it again, to the same process or to the next
// one, while it is pending or after it has ended. All submissions of an ID are one message with one end: it is not sent
// again if it was delivered, or if it may have run and may not be repeated.
func TestDuplicateIDAcrossARestartIsOneMessage(t *testing.T) {
	t.Parallel()
	hung, quick := st.NewEndpoint(t, st.NeverAnswer), st.NewEndpoint(t, st.AnswerStatus(200))
	agent := st.NewAgent(t, hung.Addr, quick.Addr)
	s := startStoppable(t, agent, nil)
	submitBoth := func(addr string) {
		st.Submit(t, addr, "doubt", "unsafe", 0, 3*time.Second)
		st.Submit(t, addr, "done", "unsafe", 1, 3*time.Second)
	}
	submitBoth(s.addr)
	hung.NextCall(t)
	quick.NextCall(t)
	submitBoth(s.addr)
	s.stop()
	if err := st.Receive(t, s.done); err != nil {
		t.Error(err)
	}
	next := startStoppable(t, agent, func(c *config.Config) { c.State = s.upgrade.stateDir })
	submitBoth(next.addr)
	if n := st.Receive(t, agent.Notices); n.Message != "doubt" || n.Outcome != "given_up" {
		t.Errorf("notice %+v, want that message doubt is given up", n)
	}
	submitBoth(next.addr) // the notice of doubt has been delivered, or is being delivered
	next.stop()
	if err := st.Receive(t, next.done); err != nil {
		t.Error(err)
	}
	if len(hung.Calls)+len(quick.Calls) > 0 {
		t.Errorf("%d calls of doubt and %d calls of done are sent a second time", len(hung.Calls), len(quick.Calls))
	}
}

// Guards against messages that are given up or returned after a restart although they were never tried. They are sent
// at once, whatever their class, even if there are more of them than the message limit allows and discovery does not
// respond.
func TestUntriedMessagesAreSentAtOnceAfterARestart(t *testing.T) {
	t.Parallel()
	const messageCount = 95
	e := st.NewEndpoint(t, st.AnswerStatus(200))
	agent := st.NewAgent(t, e.Addr)
	classes := []string{"safe", "keyed", "unsafe"}
	began := time.Now()
	s := newTestSender(t, agent, func(c *config.Config) {
		j := openJournal(t, c.State)
		for i := range messageCount {
			if _, err := j.Accept(journal.Record{
				ID:       strconv.Itoa(i),
				Key:      "k" + strconv.Itoa(i),
				Class:    classes[i%3],
				Tenant:   "acme",
				Deadline: clock.New(time.Now()).Now() + 15*time.Second,
			}); err != nil {
				t.Fatal(err)
			}
		}
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
		c.Settings.MaxPendingMessages, c.Discovery = 50, "127.0.0.1:1" // a lower limit than at their acceptance
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx, func() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }) }()
	seen := map[string]bool{}
	for range messageCount {
		seen[e.NextCall(t).ID] = true
	}
	if took := time.Since(began); len(seen) != messageCount || took > 5*time.Second {
		t.Errorf("%d of the messages were sent, in %v", len(seen), took)
	}
	cancel()
	if err := st.Receive(t, done); err != nil {
		t.Error(err)
	}
}
