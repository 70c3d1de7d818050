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

// A step of the wall clock while no process runs moves no deadline and no idempotency window: both are spans of real
// time.
func TestWallClockStepMovesNoDeadline(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		step      time.Duration
		class     string
		deadline  time.Duration
		pause     time.Duration // between the processes
		tried     bool          // by the first, without a response
		delivered bool          // by the second; else it is given up
	}{
		"back, a deadline that passes": {
			step:     -time.Hour,
			class:    "safe",
			deadline: 700 * time.Millisecond,
			pause:    800 * time.Millisecond,
		},
		"forward, a deadline far away": {
			step:      time.Hour,
			class:     "safe",
			deadline:  15 * time.Second,
			delivered: true,
		},
		"back, a key that is forgotten": {
			step:     -time.Hour,
			class:    "keyed",
			deadline: 15 * time.Second,
			pause:    600 * time.Millisecond,
			tried:    true,
		},
		"a little back, a key forgotten": {
			step:     -3 * time.Second,
			class:    "keyed",
			deadline: 15 * time.Second,
			pause:    600 * time.Millisecond,
			tried:    true,
		},
		"forward, a key that is remembered": {
			step:      3 * time.Second,
			class:     "keyed",
			deadline:  15 * time.Second,
			tried:     true,
			delivered: true,
		},
		"no step, a key that is remembered": {
			class:     "keyed",
			deadline:  15 * time.Second,
			tried:     true,
			delivered: true,
		},
		"no step, a deadline that is far": {
			class:     "safe",
			deadline:  15 * time.Second,
			delivered: true,
		},
		"back, a deadline that is some away": {
			step:     -time.Hour,
			class:    "safe",
			deadline: 1500 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			silent, good := st.NewEndpoint(t, st.Hang), st.NewEndpoint(t, st.Status(200))
			p := st.NewAgent(t)
			if c.tried {
				p.Change(st.Server("s-0", silent.Addr, 0, "SERVING"))
			}
			state := t.TempDir()
			window := 500 * time.Millisecond
			if c.delivered {
				window = 2500 * time.Millisecond
			}
			edit := func(conf *config.Config) { conf.State, conf.Settings.Classes[1].IdempotencyWindow = state, window }
			first := startSenderIn(t, OperatingSystem(), p, edit)
			st.Submit(t, first.addr, "m", c.class, 0, c.deadline)
			if c.tried {
				silent.Next(t)
			}
			first.stop()
			time.Sleep(c.pause)
			if c.delivered || c.tried {
				p.Change(st.Server("s-0", good.Addr, 0, "SERVING"))
			}
			startSenderIn(t, withClockStep(c.step), p, edit)
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

// A destination that returns cold is not overloaded by the messages that a restarted sender has pending: the next
// process goes on with the outage that the earlier one saw.
func TestSlowStartSurvivesARestart(t *testing.T) {
	t.Parallel()
	const (
		usual    = 5.0 // calls a second before the outage
		headroom = 2.0 // of the destination over the usual rate
		pending  = 60
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
			p := st.NewAgent(t, e.Addr)
			state := t.TempDir()
			edit := func(c *config.Config) {
				c.State, c.Settings.MaxPendingMessages, c.Settings.OverloadWindow = state, 200, 2*time.Second
			}
			s := startSenderIn(t, OperatingSystem(), p, edit)
			for n := range int(3 * usual) {
				st.Submit(t, s.addr, "usual"+strconv.Itoa(n), "safe", 0, 15*time.Second)
				e.Next(t)
				time.Sleep(time.Duration(float64(time.Second) / usual))
			}
			down.Store(true)
			for n := range pending {
				st.Submit(t, s.addr, "pending"+strconv.Itoa(n), "safe", 0, 15*time.Second)
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
				s = startSenderIn(t, OperatingSystem(), p, edit)
			}
			rules := s.config.Settings
			time.Sleep(rules.OverloadWindow)
			share := rules.SlowStartCapacity +
				(1-rules.SlowStartCapacity)*rules.OverloadWindow.Seconds()/rules.SlowStartDuration.Seconds()
			n := rules.CollapseLoadFactor * share * usual * headroom * rules.OverloadWindow.Seconds()
			calls := len(e.Calls)
			if limit := n + 3*math.Sqrt(n) + 3; float64(calls) > limit || calls == 0 {
				t.Errorf("%d calls in %v after its return, its limit is %.1f", calls, rules.OverloadWindow, limit)
			}
		})
	}
}

// A message whose deadline passes between SIGTERM and the next process's start is ended by one of the two within the
// protocol's 1.5 s of ready, however many there are, with endpoints hanging and connections to discovery silent.
func TestDeadlinesDuringARestartAreNotified(t *testing.T) {
	t.Parallel()
	hung := st.NewEndpoint(t, st.Hang)
	addr, noticed := startSilentPlatform(t, 3) // the list, and notices before and after the restart
	open := map[string]bool{}
	edit := func(c *config.Config) { c.Settings.MaxPendingMessages = 1e6; c.Limits.DiskMB = 10; c.Discovery = addr }
	l := startStoppable(t, st.NewAgent(t, hung.Addr), edit)
	l.shutdown.gracePeriod, l.shutdown.drainTimeout = 500*time.Millisecond, 700*time.Millisecond
	sendMessages := func(from, to int, class string, left time.Duration) {
		for i := from; i < to; i++ {
			id := class + strconv.Itoa(i)
			st.Submit(t, l.addr, id, class, 0, left)
			open[id] = true
		}
	}
	sendMessages(0, 500, "safe", 900*time.Millisecond)
	sendMessages(0, 500, "unsafe", 900*time.Millisecond)
	l.stop()
	began := time.Now()
	sendMessages(500, 510, "unsafe", 250*time.Millisecond) // some end during the shutdown
	if err := st.Receive(t, l.done); err != nil {
		t.Error(err)
	}
	const slowMachine = 500 * time.Millisecond
	limit := l.shutdown.drainTimeout + ingress.QueueTimeout + ingress.ResponseTimeout + slowMachine
	if took := time.Since(began); took > limit {
		t.Errorf("it ended after %v", took)
	}
	next := startStoppable(t, st.NewAgent(t, hung.Addr), func(c *config.Config) {
		edit(c)
		c.State = l.upgrade.stateDir
	})
	ready := time.Now()
	for len(open) > 0 {
		delete(open, st.Receive(t, noticed))
	}
	if took := time.Since(ready); took > 1500*time.Millisecond {
		t.Errorf("the last notice came %v after ready", took)
	}
	next.stop()
	if err := st.Receive(t, next.done); err != nil {
		t.Error(err)
	}
}

// A client that sends an ID again, to the same process or the next, pending or ended, has one message with one end:
// what may have run and may not be repeated is not sent a second time, nor what was delivered.
func TestDuplicateIDAcrossARestartIsOneMessage(t *testing.T) {
	t.Parallel()
	hung, quick := st.NewEndpoint(t, st.Hang), st.NewEndpoint(t, st.Status(200))
	p := st.NewAgent(t, hung.Addr, quick.Addr)
	l := startStoppable(t, p, nil)
	again := func(addr string) {
		st.Submit(t, addr, "doubt", "unsafe", 0, 3*time.Second)
		st.Submit(t, addr, "done", "unsafe", 1, 3*time.Second)
	}
	again(l.addr)
	hung.Next(t)
	quick.Next(t)
	again(l.addr)
	l.stop()
	if err := st.Receive(t, l.done); err != nil {
		t.Error(err)
	}
	next := startStoppable(t, p, func(c *config.Config) { c.State = l.upgrade.stateDir })
	again(next.addr)
	if n := st.Receive(t, p.Notices); n.Message != "doubt" || n.Outcome != "given_up" {
		t.Errorf("notice %+v", n)
	}
	again(next.addr) // its notice is delivered, or on its way
	next.stop()
	if err := st.Receive(t, next.done); err != nil {
		t.Error(err)
	}
	if len(hung.Calls)+len(quick.Calls) > 0 {
		t.Errorf("sent a second time: %d, %d", len(hung.Calls), len(quick.Calls))
	}
}

// Messages that a restart finds untried are sent at once, whatever their class and however many there are, also while
// discovery is silent and the limit is reached: none of them is given up or returned first.
func TestUntriedMessagesAreSentAtOnceAfterARestart(t *testing.T) {
	t.Parallel()
	const many = 95
	e := st.NewEndpoint(t, st.Status(200))
	p := st.NewAgent(t, e.Addr)
	classes := []string{"safe", "keyed", "unsafe"}
	began := time.Now()
	s := newTestSender(t, p, func(c *config.Config) {
		j := openJournal(t, c.State)
		for i := range many {
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
		c.Settings.MaxPendingMessages, c.Discovery = 50, "127.0.0.1:1" // a lower limit than before
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx, func() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }) }()
	seen := map[string]bool{}
	for range many {
		seen[e.Next(t).ID] = true
	}
	if took := time.Since(began); len(seen) != many || took > 5*time.Second {
		t.Errorf("%d messages were tried, in %v", len(seen), took)
	}
	cancel()
	if err := st.Receive(t, done); err != nil {
		t.Error(err)
	}
}
