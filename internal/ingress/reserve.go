package ingress

import (
	"os"
	"time"
)

// reserveRetryInterval is how long after it was given up a reserved descriptor is opened again at the earliest: before
// that, others may need it more.
const reserveRetryInterval = time.Second

// descriptorReserve keeps one descriptor open that accept can have where the process has no other left. It belongs to
// the goroutine that accepts.
type descriptorReserve struct {
	file      *os.File // nil for none
	givenUpAt time.Time
}

// hold opens the descriptor, unless it is open or was given up a moment ago. Where that fails it is tried again with
// the next connection.
func (r *descriptorReserve) hold() {
	if r.file != nil || time.Since(r.givenUpAt) < reserveRetryInterval {
		return
	}
	if file, err := os.Open(os.DevNull); err == nil {
		r.file = file
	}
}

// giveUp closes the descriptor. It reports whether there was one.
func (r *descriptorReserve) giveUp() bool {
	if r.file == nil {
		return false
	}
	_ = r.file.Close() // nothing was written
	r.file, r.givenUpAt = nil, time.Now()
	return true
}
