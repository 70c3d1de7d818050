package endpoint

import (
	"sync"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/invariant"
)

// Endpoint is an endpoint that receives calls, with the idle connections to it. It is safe for concurrent use.
type Endpoint struct {
	Number dispatch.EndpointID // the dispatcher's number; never changes
	ID     string              // the id in discovery's list; never changes

	mu        sync.Mutex
	address   string
	idle      []*conn         // the most recently used one last
	drainedAt time.Time       // since when it is draining or deleted; the zero time while it serves
	route     invariant.Route // what a Retry-After from it applies to
}

// SetAddress changes the address of the endpoint. Connections to another address are not used again.
func (e *Endpoint) SetAddress(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address = address
}

// SetServing stores whether the endpoint serves. If it does not, the time at which that first became known is kept.
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

// SetRoute stores the route that a Retry-After from the endpoint applies to.
func (e *Endpoint) SetRoute(route invariant.Route) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.route = route
}

// callTarget returns what the invariant checks need to know about the endpoint of a call.
func (e *Endpoint) callTarget() invariant.Target {
	e.mu.Lock()
	defer e.mu.Unlock()
	return invariant.Target{ID: e.ID, DrainedAt: e.drainedAt, Route: e.route}
}

func (e *Endpoint) currentAddress() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

func (e *Endpoint) currentRoute() invariant.Route {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.route
}
