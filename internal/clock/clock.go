// Package clock is the clock that deadlines, idempotency windows and waits are measured by: steps of the wall clock do
// not move it, and a new process continues the clock of the one before.
//
// A Clock owns no more than its offset from the machine's monotonic clock. The journal stores that as an Epoch and has
// the clock of the next process follow it; the event loop, the HTTP server and the hand-over read the time.
package clock

import (
	"bytes"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// bootIDFile holds an identifier that changes with each start of the machine.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// Clock is Unix time as the wall clock had it when the state directory was first used, and advances with the machine's
// monotonic clock from there. The wall clock is read again only after a restart of the machine. It is safe for
// concurrent use.
type Clock struct {
	readAt time.Time     // when uptime was read
	uptime time.Duration // the machine's monotonic clock at readAt, 0 if it cannot be read
	bootID string        // identifies the machine's start; empty if it is unknown: then only the uptime is compared
	offset atomic.Int64  // nanoseconds from the monotonic clock to this one
}

// Epoch is what another process needs to continue a clock. It is stored in the journal, so that its JSON never changes.
type Epoch struct {
	Boot   string        `json:"boot"`   // identifies the machine's start
	Offset time.Duration `json:"offset"` // from the machine's monotonic clock to the clock
	Uptime time.Duration `json:"uptime"` // of the machine when this was written
}

// New starts a clock at a time of the wall clock.
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

// monotonic reads the machine's monotonic clock.
func (c *Clock) monotonic() time.Duration { return c.uptime + time.Since(c.readAt) }

// Now returns the time since the Unix epoch.
func (c *Clock) Now() time.Duration { return time.Duration(c.offset.Load()) + c.monotonic() }

// Epoch returns what another process needs to continue this clock.
func (c *Clock) Epoch() *Epoch {
	return &Epoch{Boot: c.bootID, Offset: time.Duration(c.offset.Load()), Uptime: c.monotonic()}
}

// Follow continues the clock of an earlier process, unless the machine has been restarted since.
func (c *Clock) Follow(e Epoch) {
	if c.uptime > 0 && e.Uptime > 0 && e.Boot == c.bootID && e.Uptime <= c.monotonic() {
		c.offset.Store(int64(e.Offset))
	}
}
