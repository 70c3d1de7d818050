package clock

import (
	"encoding/json"
	"testing"
	"time"
)

// onMachine returns the clock of a process that starts at a time of the wall clock on a machine with the given uptime.
func onMachine(bootID string, uptime time.Duration, wall time.Time) *Clock {
	c := &Clock{readAt: time.Now(), uptime: uptime, bootID: bootID}
	c.offset.Store(wall.UnixNano() - int64(uptime))
	return c
}

// A process continues the clock of the one before, unless the machine has been restarted in between.
func TestClockContinuesAcrossProcesses(t *testing.T) {
	t.Parallel()
	const firstUptime = time.Hour // of the machine, at the start of the first process
	firstStart := time.Date(2026, 12, 2, 10, 0, 0, 0, time.UTC)
	for name, c := range map[string]struct {
		firstBoot, secondBoot string
		secondUptime          time.Duration // of the machine, at the start of the second process
		wallElapsed           time.Duration // between the starts, by the wall clock
		want                  time.Duration // between the starts, by the clock
	}{
		"no step": {
			firstBoot: "a", secondBoot: "a", secondUptime: firstUptime + time.Minute,
			wallElapsed: time.Minute, want: time.Minute,
		},
		"a step forward": {
			firstBoot: "a", secondBoot: "a", secondUptime: firstUptime + time.Minute,
			wallElapsed: 2 * time.Hour, want: time.Minute,
		},
		"a step back": {
			firstBoot: "a", secondBoot: "a", secondUptime: firstUptime + time.Minute,
			wallElapsed: -time.Hour, want: time.Minute,
		},
		"a restart of the machine": {
			firstBoot: "a", secondBoot: "b", secondUptime: time.Minute,
			wallElapsed: 5 * time.Minute, want: 5 * time.Minute,
		},
		"a restart of the machine, with a longer uptime since": {
			firstBoot: "a", secondBoot: "b", secondUptime: 3 * time.Hour,
			wallElapsed: 5 * time.Minute, want: 5 * time.Minute,
		},
		"no restart, without boot ids": {
			firstBoot: "", secondBoot: "", secondUptime: firstUptime + time.Minute,
			wallElapsed: -time.Hour, want: time.Minute,
		},
		"a restart of the machine, without boot ids": {
			firstBoot: "", secondBoot: "", secondUptime: time.Minute,
			wallElapsed: 5 * time.Minute, want: 5 * time.Minute,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := onMachine(c.firstBoot, firstUptime, firstStart)
			second := onMachine(c.secondBoot, c.secondUptime, firstStart.Add(c.wallElapsed))
			second.Follow(*first.Epoch())
			if got := second.Now() - first.Now(); got < c.want-time.Second || got > c.want+time.Second {
				t.Errorf("the second clock is %v ahead, want %v", got, c.want)
			}
		})
	}
}

// The JSON of an epoch is stored in the journal, which outlives a release.
func TestEpochIsStoredAsReleased(t *testing.T) {
	t.Parallel()
	text, err := json.Marshal(Epoch{Boot: "b", Offset: 1, Uptime: 2})
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"boot":"b","offset":1,"uptime":2}`; string(text) != want {
		t.Errorf("%s, want %s", text, want)
	}
}
