package discovery

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"onyxdyke.example/onyxdyke/internal/retry"
)

const (
	// askedFor is how old the last call for the list may be before the list is stale, if no further one can be made. With the
	// time that it takes to find that out, and a hold-up of 0.15 s, a drain's grace of 0.5 s covers it.
	askedFor = 200 * time.Millisecond
	// staleAnswer is when the agent is taken to be silent that has not answered the call that ends staleness. An answer ends it
	// at once; until then there may be one on its way that a busy machine holds up.
	staleAnswer = 300 * time.Millisecond
	// staleMost bounds staleness: a machine that lets no call be made for longer than a moment would stop the sender.
	staleMost = 3 * time.Second
)

// freshness is a lease on the endpoint list where lists are pushed. Whoever has just asked its agent holds a list that is fresh,
// whether the agent answers or is silent, as a silent one tells nobody anything. Who cannot ask, for want of something on
// this machine, does not know: the list is stale then, and nobody may be called by it. It is safe for concurrent use.
type endpointListLease struct {
	changed func(stale bool) // called at each change, with no lock held

	mu      sync.Mutex
	asked   time.Time // when a call was last made
	failing time.Time // since when none can be made, the zero time if one can
	stale   bool
}

// called books that a call has been written, or that nobody listened for it: in either case the agent has been asked.
func (f *endpointListLease) called() {
	f.mu.Lock()
	f.asked, f.failing = time.Now(), time.Time{}
	stale := f.stale
	f.mu.Unlock()
	if stale {
		time.AfterFunc(staleAnswer, f.renew)
	}
}

// renew ends staleness, unless calls fail again: the agent has answered, or is silent.
func (f *endpointListLease) renew() {
	f.set(func() bool { return f.stale && !f.failing.IsZero() })
}

// isStale reports whether the list is stale.
func (f *endpointListLease) isStale() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stale
}

// failed books how a call ended that may not have been made.
func (f *endpointListLease) failed(err error) {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		f.called()
	case retry.IsTransient(err):
		f.set(func() bool {
			now := time.Now()
			if f.failing.IsZero() {
				f.failing = now
			}
			return now.Sub(f.asked) > askedFor && now.Sub(f.failing) < staleMost
		})
	}
}

// set makes the list stale or not as rule says, which is called with the lock held.
func (f *endpointListLease) set(rule func() bool) {
	f.mu.Lock()
	was := f.stale
	f.stale = rule()
	now := f.stale
	f.mu.Unlock()
	if now != was && f.changed != nil {
		f.changed(now)
	}
}
