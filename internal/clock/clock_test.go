package clock

import (
	"testing"
	"time"
)

// machine is a clock as a process on a machine has it that has been up for so long, its wall clock at a time.
func machine(boot string, uptime time.Duration, wall time.Time) *Clock {
	c := &Clock{readAt: time.Now(), uptime: uptime, bootID: boot}
	c.offset.Store(wall.UnixNano() - int64(uptime))
	return c
}

// A process goes on with the clock of the one before, unless the machine has been started anew in between.
func TestAClockGoesOnAcrossProcesses(t *testing.T) {
	t.Parallel()
	began := time.Date(2026, 12, 2, 10, 0, 0, 0, time.UTC)
	for name, c := range map[string]struct {
		bootBefore, boot string
		uptime           time.Duration // of the second process, where the first had an hour
		wall             time.Duration // that its wall clock shows after the first one's
		want             time.Duration // that its clock shows after the first one's
	}{
		"no step":                     {"a", "a", time.Hour + time.Minute, time.Minute, time.Minute},
		"a step forward":              {"a", "a", time.Hour + time.Minute, 2 * time.Hour, time.Minute},
		"a step back":                 {"a", "a", time.Hour + time.Minute, -time.Hour, time.Minute},
		"another start":               {"a", "b", time.Minute, 5 * time.Minute, 5 * time.Minute},
		"another start, long ago":     {"a", "b", 3 * time.Hour, 5 * time.Minute, 5 * time.Minute},
		"the starts cannot be told":   {"", "", time.Hour + time.Minute, -time.Hour, time.Minute},
		"nor can they, and it is new": {"", "", time.Minute, 5 * time.Minute, 5 * time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := machine(c.bootBefore, time.Hour, began)
			second := machine(c.boot, c.uptime, began.Add(c.wall))
			second.Follow(*first.Epoch())
			if got := second.Now() - first.Now(); got < c.want-time.Second || got > c.want+time.Second {
				t.Errorf("it goes on %v later, want %v", got, c.want)
			}
		})
	}
}
