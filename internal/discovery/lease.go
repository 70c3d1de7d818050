package discovery

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"onyxdyke.example/onyxdyke/internal/retry"
)

const (
	// leaseDuration is how old the last call for the list may be before the list is stale, if no further call can be
	// made. With the time that it takes to find that out, and a process that is paused for 0.15 s, it fits in a
	// drain's grace of 0.5 s.
	leaseDuration = 200 * time.Millisecond
	// renewalTimeout is how long the call that ends staleness may go unanswered before the agent is taken to be
	// silent. An answer ends staleness at once; until then one may be on its way that a busy machine delays.
	renewalTimeout = 300 * time.Millisecond
	// maxStaleTime bounds staleness: otherwise a machine that lets no call be made for long would stop the sender.
	maxStaleTime = 3 * time.Second
)

// endpointListLease is the sender's lease on the endpoint list where lists are pushed. A sender that has just called
// its agent holds a fresh list, whether the agent answers or is silent, as a silent one tells no sender anything. A
// sender that cannot make a call, for want of a resource of this machine, does not know what has changed: its list is
// stale, and it may call no endpoint by it. The lease is safe for concurrent use.
type endpointListLease struct {
	onChange StaleFunc // nil for none; called at each change, without the lock

	mu           sync.Mutex
	lastCallAt   time.Time // when a call was last made
	failingSince time.Time // since when no call can be made, the zero time if one can
	stale        bool
}

// noteCall records that the agent has been called: a call was written, or nobody listened for it.
func (l *endpointListLease) noteCall() {
	l.mu.Lock()
	l.lastCallAt, l.failingSince = time.Now(), time.Time{}
	stale := l.stale
	l.mu.Unlock()
	if stale {
		time.AfterFunc(renewalTimeout, l.renew)
	}
}

// renew ends staleness, unless calls fail again: the agent has answered, or is silent.
func (l *endpointListLease) renew() {
	l.update(func() bool { return l.stale && !l.failingSince.IsZero() })
}

// isStale reports whether the list is stale.
func (l *endpointListLease) isStale() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stale
}

// noteFailure records why a call failed. A refused connection counts as a call that was made. A transient error of
// this machine means that no call can be made, and the list becomes stale when the lease has run out.
func (l *endpointListLease) noteFailure(err error) {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		l.noteCall()
	case retry.IsTransient(err):
		l.update(func() bool {
			now := time.Now()
			if l.failingSince.IsZero() {
				l.failingSince = now
			}
			return now.Sub(l.lastCallAt) > leaseDuration && now.Sub(l.failingSince) < maxStaleTime
		})
	}
}

// update makes the list stale or fresh as isStale decides, which is called with the lock held.
func (l *endpointListLease) update(isStale func() bool) {
	l.mu.Lock()
	before := l.stale
	l.stale = isStale()
	after := l.stale
	l.mu.Unlock()
	if after != before && l.onChange != nil {
		l.onChange(after)
	}
}
