package discovery

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"onyxdyke.example/onyxdyke/internal/retry"
)

const (
	// leaseDuration is the maximum age of the last call for the list if no further call can be made; after that the
	// list is stale. Together with the time to detect that calls fail, and a pause of the process of 0.15 s, it is
	// shorter than the grace period of a drain of 0.5 s.
	leaseDuration = 200 * time.Millisecond
	// renewalTimeout is how long a call on a stale list may be unanswered before the agent is considered unresponsive,
	// which makes the list fresh. An answer makes it fresh at once. The wait allows for an answer that a busy machine
	// delays.
	renewalTimeout = 300 * time.Millisecond
	// maxStaleTime bounds how long the list is stale. Without it, a machine on which no call can be made for a long
	// time would stop the sender.
	maxStaleTime = 3 * time.Second
)

// endpointListLease is the sender's lease on the endpoint list if lists are pushed. The list is fresh if the sender has
// just called its agent, even if the agent does not answer, because an unresponsive agent delivers no changes to any
// sender. If the sender cannot make a call, because this machine is short of a resource, it cannot know what has
// changed: the list is stale, and the sender must not call any endpoint. The lease is safe for concurrent use.
type endpointListLease struct {
	onChange StaleFunc // called at each change without the lock held; may be nil

	mu           sync.Mutex
	lastCallAt   time.Time // when the last call was made
	failingSince time.Time // since when no call can be made; the zero time if calls can be made
	stale        bool
}

// recordCall records that the agent has been called: a request was written, or the connection was refused.
func (l *endpointListLease) recordCall() {
	l.mu.Lock()
	l.lastCallAt, l.failingSince = time.Now(), time.Time{}
	stale := l.stale
	l.mu.Unlock()
	if stale {
		time.AfterFunc(renewalTimeout, l.renew)
	}
}

// renew makes a stale list fresh, unless calls fail again. It is called when the agent has answered, or when it has not
// answered within renewalTimeout.
func (l *endpointListLease) renew() {
	l.update(func() bool { return l.stale && !l.failingSince.IsZero() })
}

// isStale reports whether the list is stale.
func (l *endpointListLease) isStale() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stale
}

// recordFailure records a failed call. A refused connection counts as a call that was made. A transient error of this
// machine means that no call can be made: the list becomes stale when the lease has expired.
func (l *endpointListLease) recordFailure(err error) {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		l.recordCall()
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

// update calls isStale with the lock held, records its result as the state of the list, and calls onChange if the state
// has changed.
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
