// Package clock provides the clock that deadlines, idempotency windows and waits are measured by. Steps of the wall
// clock do not affect it, and a new process continues the clock of its predecessor.
//
// The state of a Clock is its offset from the machine's monotonic clock. The journal stores the offset as an Epoch, and
// the clock of the next process continues from it. The event loop, the HTTP server and the hand-over read the time.
package clock

import (
	"bytes"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// bootIDFile is the file with an identifier that changes at each boot of the machine.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// Clock measures Unix time. It starts at the wall clock's time when the state directory is first used, and advances
// with the machine's monotonic clock from there. The wall clock is read again only after a reboot of the machine. A
// Clock is safe for concurrent use.
type Clock struct {
	readAt time.Time     // when uptime was read
	uptime time.Duration // the machine's monotonic clock at readAt, 0 if it cannot be read
	bootID string        // identifies the boot of the machine; empty if unknown: then only the uptime is compared
	offset atomic.Int64  // nanoseconds to add to the monotonic clock
}

// Epoch holds what another process needs to continue a clock. It is stored in the journal, so its JSON must not change.
type Epoch struct {
	Boot   string        `json:"boot"`   // identifies the boot of the machine
	Offset time.Duration `json:"offset"` // to add to the machine's monotonic clock
	Uptime time.Duration `json:"uptime"` // of the machine when this was written
}

// New returns a clock that starts at the given time of the wall clock.
func New(wall time.Time) *Clock {
	c := &Clock{readAt: time.Now()}
	var monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) == nil {
		c.uptime = time.Duration(monotonic.Nano())
	}
	if id, err := os.ReadFile(bootIDFile); err == nil {
		c.bootID = string(bytes.TrimSpace(id))
	}
	c.offset.Store(wall.UnixNano() - int64(c.uptime))
	return c
}

// monotonic returns the time of the machine's monotonic clock.
func (c *Clock) monotonic() time.Duration { return c.uptime + time.Since(c.readAt) }

// Now returns the time since the Unix epoch.
func (c *Clock) Now() time.Duration { return time.Duration(c.offset.Load()) + c.monotonic() }

// Epoch returns what another process needs to continue this clock.
func (c *Clock) Epoch() *Epoch {
	return &Epoch{Boot: c.bootID, Offset: time.Duration(c.offset.Load()), Uptime: c.monotonic()}
}

// ContinueFrom makes c continue the clock of an earlier process, unless the machine has been rebooted since.
func (c *Clock) ContinueFrom(e Epoch) {
	if c.uptime > 0 && e.Uptime > 0 && e.Boot == c.bootID && e.Uptime <= c.monotonic() {
		c.offset.Store(int64(e.Offset))
	}
}
