package ingress

import (
	"errors"
	"sync"
	"time"
)

// errNoMemory is returned to a request that did not get its memory in time.
var errNoMemory = errors.New("no memory is free for the request")

// memoryBudget limits how many bytes the requests of all connections hold together, from the time at which they are
// read until they are answered. Requests that have to wait get their bytes in order of arrival.
type memoryBudget struct {
	// onShortage is called without the lock whenever a request has to wait, and after each further shortageInterval
	// while one waits. It may be nil.
	onShortage func()

	mu       sync.Mutex
	limit    int64
	used     int64
	waiters  []*memoryWaiter
	isTimed  bool // a timer will call onShortage
	interval time.Duration
}

// memoryWaiter is a request that waits for memory.
type memoryWaiter struct {
	bytes   int64
	granted chan struct{} // closed once the bytes belong to the request
}

// newMemoryBudget returns a budget of limit bytes.
func newMemoryBudget(limit int64) *memoryBudget {
	return &memoryBudget{limit: limit, interval: EvictionGrace}
}

// acquire waits until bytes are free and takes them. It returns errNoMemory if abandoned is closed or the deadline
// passes before.
func (b *memoryBudget) acquire(bytes int64, abandoned <-chan struct{}, deadline time.Time) error {
	waiter := b.enqueue(bytes)
	if waiter == nil {
		return nil
	}
	b.reportShortage()
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	select {
	case <-waiter.granted:
		return nil
	case <-abandoned:
	case <-timeout.C:
	}
	if b.leaveQueue(waiter) {
		return errNoMemory
	}
	return nil // the bytes were granted meanwhile
}

// enqueue takes the bytes at once and returns nil, or returns the waiter for them.
func (b *memoryBudget) enqueue(bytes int64) *memoryWaiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiters) == 0 && b.used+bytes <= b.limit {
		b.used += bytes
		return nil
	}
	waiter := &memoryWaiter{bytes: bytes, granted: make(chan struct{})}
	b.waiters = append(b.waiters, waiter)
	return waiter
}

// leaveQueue removes a waiter and reports whether it was still waiting.
func (b *memoryBudget) leaveQueue(waiter *memoryWaiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, w := range b.waiters {
		if w == waiter {
			b.waiters = append(b.waiters[:i], b.waiters[i+1:]...)
			b.grant() // those behind it may need less
			return true
		}
	}
	return false
}

// release returns bytes to the budget.
func (b *memoryBudget) release(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
	b.grant()
}

// setLimit changes the limit. Bytes in use above a lower limit stay in use until they are released.
func (b *memoryBudget) setLimit(limit int64) {
	b.mu.Lock()
	b.limit = limit
	b.grant()
	b.mu.Unlock()
	b.reportShortage()
}

// shortage returns how many bytes have to be released for the first waiter to get its bytes, or for the limit to be
// kept.
func (b *memoryBudget) shortage() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.shortageLocked()
}

func (b *memoryBudget) shortageLocked() int64 {
	missing := b.used - b.limit
	if len(b.waiters) > 0 {
		missing += b.waiters[0].bytes
	}
	return max(0, missing)
}

// grant gives the waiters their bytes, in order, as far as the limit allows. The caller holds the lock.
func (b *memoryBudget) grant() {
	for len(b.waiters) > 0 && b.used+b.waiters[0].bytes <= b.limit {
		b.used += b.waiters[0].bytes
		close(b.waiters[0].granted)
		b.waiters = b.waiters[1:]
	}
}

// reportShortage calls onShortage if there is one, and arranges for a further call.
func (b *memoryBudget) reportShortage() {
	b.mu.Lock()
	isShort := b.shortageLocked() > 0 && b.onShortage != nil
	startTimer := isShort && !b.isTimed
	if startTimer {
		b.isTimed = true
	}
	b.mu.Unlock()
	if startTimer {
		time.AfterFunc(b.interval, func() {
			b.mu.Lock()
			b.isTimed = false
			b.mu.Unlock()
			b.reportShortage()
		})
	}
	if isShort {
		b.onShortage()
	}
}
