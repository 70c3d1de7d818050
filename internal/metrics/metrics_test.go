package metrics

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// dump returns the lines of a dump that start with one of the prefixes, without the common prefix edge_edge.
func dump(t *testing.T, r *Registry, prefixes ...string) []string {
	t.Helper()
	var text bytes.Buffer
	r.Dump(&text)
	var lines []string
	for line := range strings.Lines(text.String()) {
		line, found := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "edge_edge.")
		if !found {
			t.Errorf("the line %q lacks the prefix", line)
		}
		for _, prefix := range prefixes {
			if strings.HasPrefix(line, prefix) {
				lines = append(lines, line)
			}
		}
	}
	return lines
}

func TestDump(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		count    func(*Registry)
		prefixes []string
		want     string
	}{
		"classes and invariants start at 0": {
			count:    func(*Registry) {},
			prefixes: []string{"succeeded", "violations"},
			want:     "succeeded.b=0 succeeded.a=0 violations.repeat=0",
		},
		"message outcomes": {
			count: func(r *Registry) {
				r.MessageSucceeded("a")
				r.MessageSucceeded("a")
				r.MessageDeclined("b")
				r.MessageAborted("a")
			},
			prefixes: []string{"succeeded", "declined", "aborted"},
			want: "succeeded.b=0 declined.b=1 aborted.b=0 " +
				"succeeded.a=2 declined.a=0 aborted.a=1",
		},
		"a class that a reload removes stays, a new one is added": {
			count: func(r *Registry) {
				r.MessageSucceeded("b")
				r.RegisterClasses([]string{"a", "c"})
			},
			prefixes: []string{"succeeded"},
			want:     "succeeded.b=1 succeeded.a=0 succeeded.c=0",
		},
		"a class that was not registered": {
			count:    func(r *Registry) { r.MessageAborted("c") },
			prefixes: []string{"aborted"},
			want:     "aborted.b=0 aborted.a=0 aborted.c=1",
		},
		"forwarded messages and reloads": {
			count: func(r *Registry) {
				r.MessagesForwarded(3)
				r.MessagesForwarded(1)
				r.ConfigReloaded(true)
				r.ConfigReloaded(false)
				r.ConfigReloaded(false)
			},
			prefixes: []string{"forwards", "sighup"},
			want:     "forwards=4 sighup_applied=1 sighup_rejected=2",
		},
		"gauges are replaced": {
			count: func(r *Registry) {
				r.SetGauges(Gauges{Outstanding: 1, Discovered: 1, Ejected: 1})
				r.SetGauges(Gauges{Outstanding: 4, Discovered: 5})
			},
			prefixes: []string{"outstanding", "discovered", "ejected"},
			want:     "outstanding=4 discovered=5 ejected=0",
		},
		"reasons are sorted by name": {
			count: func(r *Registry) {
				r.CountReason(ReasonRetried, "errored")
				r.CountReason(ReasonAccept, "failed")
				r.CountReason(ReasonAccept, "failed")
				r.CountReason(ReasonViolation, "repeat")
			},
			prefixes: []string{"accept", "retried", "violations"},
			want:     "accept.failed=2 retried.errored=1 violations.repeat=1",
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := New([]string{"b", "a"}, "repeat")
			c.count(r)
			if got := strings.Join(dump(t, r, c.prefixes...), " "); got != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
		})
	}
}

func TestReasonCount(t *testing.T) {
	t.Parallel()
	r := New(nil)
	r.CountReason(ReasonDropped, "unread")
	if got := r.ReasonCount(ReasonDropped, "unread"); got != 1 {
		t.Errorf("count %d, want 1", got)
	}
	if got := r.ReasonCount(ReasonClosed, "unread"); got != 0 {
		t.Errorf("count of another kind: %d, want 0", got)
	}
}

func TestGaugesAreAHeartbeat(t *testing.T) {
	t.Parallel()
	r := New(nil)
	if !r.LastHeartbeat().IsZero() {
		t.Error("there is a heartbeat before the gauges are first set")
	}
	started := time.Now()
	r.SetGauges(Gauges{})
	if r.LastHeartbeat().Before(started) {
		t.Error("setting the gauges does not update the heartbeat")
	}
}

func TestRegistryIsSafeForConcurrentUse(t *testing.T) {
	t.Parallel()
	const goroutines, counts = 8, 100
	r := New([]string{"a"})
	var running sync.WaitGroup
	for range goroutines {
		running.Add(1)
		go func() {
			defer running.Done()
			for range counts {
				r.MessageSucceeded("a")
				r.Dump(&bytes.Buffer{})
			}
		}()
	}
	running.Wait()
	if got := dump(t, r, "succeeded"); len(got) != 1 || got[0] != "succeeded.a=800" {
		t.Errorf("got %v, want succeeded.a=800", got)
	}
}
