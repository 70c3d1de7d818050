package ingress

import (
	"os"
	"time"
)

// reserveRetryInterval is the minimum time after its release before a reserved descriptor is opened again: until then,
// others may need the descriptor more.
const reserveRetryInterval = time.Second

// descriptorReserve keeps one descriptor open that it can release for accept when the process has no other left. It
// belongs to the goroutine that accepts.
type descriptorReserve struct {
	file       *os.File // nil for none
	releasedAt time.Time
}

// ensureOpen opens the descriptor, unless it is open or was released less than reserveRetryInterval ago. If that fails,
// it is tried again with the next connection.
func (r *descriptorReserve) ensureOpen() {
	if r.file != nil || time.Since(r.releasedAt) < reserveRetryInterval {
		return
	}
	if file, err := os.Open(os.DevNull); err == nil {
		r.file = file
	}
}

// release closes the descriptor and reports whether it was open.
func (r *descriptorReserve) release() bool {
	if r.file == nil {
		return false
	}
	_ = r.file.Close() // nothing was written
	r.file, r.releasedAt = nil, time.Now()
	return true
}
