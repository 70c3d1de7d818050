package clock

import (
	"encoding/json"
	"testing"
	"time"
)

// newClockOnMachine returns the clock of a process that starts at a time of the wall clock on a machine with the given
// boot ID and uptime.
func newClockOnMachine(bootID string, uptime time.Duration, wall time.Time) *Clock {
	c := &Clock{readAt: time.Now(), uptime: uptime, bootID: bootID}
	c.offset.Store(wall.UnixNano() - int64(uptime))
	return c
}

// Guards against a step of the wall clock between two processes: the second must continue the clock of the first,
// unless the machine has been rebooted in between.
func TestClockContinuesAcrossProcesses(t *testing.T) {
	t.Parallel()
	const firstUptime = time.Hour // of the machine at the start of the first process
	firstStart := time.Date(2026, 12, 2, 10, 0, 0, 0, time.UTC)
	for name, c := range map[string]struct {
		firstBoot, secondBoot string
		secondUptime          time.Duration // of the machine at the start of the second process
		wallElapsed           time.Duration // between the starts, by the wall clock
		want                  time.Duration // between the starts, by the clocks under test
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
		"a reboot": {
			firstBoot: "a", secondBoot: "b", secondUptime: time.Minute,
			wallElapsed: 5 * time.Minute, want: 5 * time.Minute,
		},
		"a reboot, with a longer uptime since": {
			firstBoot: "a", secondBoot: "b", secondUptime: 3 * time.Hour,
			wallElapsed: 5 * time.Minute, want: 5 * time.Minute,
		},
		"no reboot, without boot IDs": {
			firstBoot: "", secondBoot: "", secondUptime: firstUptime + time.Minute,
			wallElapsed: -time.Hour, want: time.Minute,
		},
		"a reboot, without boot IDs": {
			firstBoot: "", secondBoot: "", secondUptime: time.Minute,
			wallElapsed: 5 * time.Minute, want: 5 * time.Minute,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := newClockOnMachine(c.firstBoot, firstUptime, firstStart)
			second := newClockOnMachine(c.secondBoot, c.secondUptime, firstStart.Add(c.wallElapsed))
			second.ContinueFrom(*first.Epoch())
			if got := second.Now() - first.Now(); got < c.want-time.Second || got > c.want+time.Second {
				t.Errorf("the second clock is %v ahead, want %v", got, c.want)
			}
		})
	}
}

// Guards against a change of the JSON of an epoch: journals written by earlier releases contain it.
func TestEpochIsStoredAsReleased(t *testing.T) {
	t.Parallel()
	text, err := json.Marshal(Epoch{Boot: "b", Offset: 1, Uptime: 2})
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"boot":"b","offset":1,"uptime":2}`; string(text) != want {
		t.Errorf("got %s, want %s", text, want)
	}
}
