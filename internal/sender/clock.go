package sender

import (
	"bytes"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// clock tells the time that deadlines, windows and waits are stated in. It is Unix time as the wall clock had it once,
// when the state folder was first used, and goes on with the machine's monotonic clock from there, also across processes:
// so a step of the wall clock moves nothing. Only where the machine has been started anew in between is the wall clock
// asked again. It is safe for concurrent use.
type clock struct {
	read   time.Time     // when the monotonic clock was read,
	uptime time.Duration // and what it said
	boot   string        // identifies the machine's start, empty if it cannot be told: then an uptime that goes on does
	offset atomic.Int64  // of this clock to the monotonic one
}

// epoch is how a clock's times are to be read by another process.
type epoch struct {
	Boot   string        `json:"boot"`
	Offset time.Duration `json:"offset"` // of the clock to the machine's monotonic clock
	Uptime time.Duration `json:"uptime"` // of the machine when this was written
}

// bootIDFile changes with each start of the machine.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// newClock begins a clock by the wall clock.
func newClock(wall time.Time) *clock {
	c := &clock{read: time.Now()}
	var monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) == nil {
		c.uptime = time.Duration(monotonic.Nano())
	}
	if id, err := os.ReadFile(bootIDFile); err == nil {
		c.boot = string(bytes.TrimSpace(id))
	}
	c.offset.Store(wall.UnixNano() - int64(c.uptime))
	return c
}

// monotonic is the machine's monotonic clock.
func (c *clock) monotonic() time.Duration { return c.uptime + time.Since(c.read) }

func (c *clock) now() time.Duration { return time.Duration(c.offset.Load()) + c.monotonic() }

// epoch is what another process needs to go on with this clock.
func (c *clock) epoch() *epoch {
	return &epoch{Boot: c.boot, Offset: time.Duration(c.offset.Load()), Uptime: c.monotonic()}
}

// follow goes on with the clock of an earlier process, if the machine still runs as it did then.
func (c *clock) follow(e epoch) {
	if c.uptime > 0 && e.Uptime > 0 && e.Boot == c.boot && e.Uptime <= c.monotonic() {
		c.offset.Store(int64(e.Offset))
	}
}
