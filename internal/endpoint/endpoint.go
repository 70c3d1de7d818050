package endpoint

import (
	"sync"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/invariant"
)

// Endpoint is an endpoint that calls go to, with the idle connections to it. It is safe for concurrent use.
type Endpoint struct {
	Number dispatch.EndpointID // the dispatcher's number; never changes
	ID     string              // the id in discovery's list; never changes

	mu        sync.Mutex
	address   string
	idle      []*conn         // the one used last at the end
	drainedAt time.Time       // since when it drains or is gone, the zero time while it serves
	scope     invariant.Scope // what a Retry-After of it binds
}

// SetAddress changes where the endpoint is reached. Connections to another address are not used again.
func (e *Endpoint) SetAddress(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address = address
}

// SetServing stores whether the endpoint serves. One that does not keeps the time at which that became known first.
func (e *Endpoint) SetServing(serving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case serving:
		e.drainedAt = time.Time{}
	case e.drainedAt.IsZero():
		e.drainedAt = time.Now()
	}
}

// SetScope stores what a Retry-After of the endpoint binds.
func (e *Endpoint) SetScope(scope invariant.Scope) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.scope = scope
}

// callTarget is what the invariant checks need to know of a call's endpoint.
func (e *Endpoint) callTarget() invariant.Target {
	e.mu.Lock()
	defer e.mu.Unlock()
	return invariant.Target{ID: e.ID, DrainedAt: e.drainedAt, Scope: e.scope}
}

func (e *Endpoint) currentAddress() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

func (e *Endpoint) retryAfterScope() invariant.Scope {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.scope
}
