// Package clock tells the time that deadlines, windows and waits are stated in: a clock that steps of the wall clock do
// not move, also across processes. The journal stores how to read its times; the event loop, the HTTP server and the
// hand-over use it.
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
// monotonic clock from there. Only where the machine has been restarted in between is the wall clock read again. It is
// safe for concurrent use.
type Clock struct {
	readAt time.Time     // when the monotonic clock was read
	uptime time.Duration // what the monotonic clock said then, 0 if it cannot be read
	bootID string        // identifies the machine's start, empty if it is unknown: then only the uptime is compared
	offset atomic.Int64  // nanoseconds from the monotonic clock to this one
}

// Epoch is how a clock's times are to be read by another process. It is stored in the journal.
type Epoch struct {
	Boot   string        `json:"boot"`
	Offset time.Duration `json:"offset"` // from the machine's monotonic clock to the clock
	Uptime time.Duration `json:"uptime"` // of the machine when this was written
}

// New starts a clock at the time of the wall clock.
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

// monotonic is the machine's monotonic clock.
func (c *Clock) monotonic() time.Duration { return c.uptime + time.Since(c.readAt) }

// Now is the time since the Unix epoch.
func (c *Clock) Now() time.Duration { return time.Duration(c.offset.Load()) + c.monotonic() }

// Epoch is what another process needs to continue this clock.
func (c *Clock) Epoch() *Epoch {
	return &Epoch{Boot: c.bootID, Offset: time.Duration(c.offset.Load()), Uptime: c.monotonic()}
}

// Follow continues the clock of an earlier process, if the machine has not been restarted since.
func (c *Clock) Follow(e Epoch) {
	if c.uptime > 0 && e.Uptime > 0 && e.Boot == c.bootID && e.Uptime <= c.monotonic() {
		c.offset.Store(int64(e.Offset))
	}
}
