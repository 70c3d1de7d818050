// Package metrics counts what the sender does and prints it for the operators' DUMP.
//
// Each package counts where the event happens; the event loop stores the gauges after each step. The names of the
// figures are part of the operators' interface and never change.
package metrics

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"
)

// namePrefix names this program in the operators' figures.
const namePrefix = "edge_edge."

// classCounters counts the ends of one class's messages.
type classCounters struct {
	class                        string
	succeeded, declined, aborted uint64
}

// Registry holds all counters and gauges. Its lock is held for no more than a copy, so that reading it never waits for
// the event loop. It is safe for concurrent use.
type Registry struct {
	mu       sync.Mutex
	classes  []*classCounters // in the order first named; a removed class keeps its place, as a counter never goes back
	byClass  map[string]*classCounters
	forwards uint64
	applied  uint64 // configurations applied at SIGHUP
	rejected uint64 // configurations rejected at SIGHUP
	gauges   Gauges
	reasons  map[string]uint64 // by kind and reason

	lastHeartbeat time.Time // when the event loop last stored the gauges
}

// Gauges is the state of the event loop after its last step.
type Gauges struct {
	Outstanding int // messages accepted and not ended
	Discovered  int // endpoints on the list
	Ejected     int // listed endpoints that get probes only
}

// ReasonKind groups the events that are counted by their reason. It is the first part of a figure's name.
type ReasonKind string

// The kinds of events that are counted by their reason.
const (
	ReasonViolation ReasonKind = "violations" // an invariant was about to be broken
	ReasonClosed    ReasonKind = "closed"     // a client's connection was closed
	ReasonRejected  ReasonKind = "refused"    // a request was rejected
	ReasonRetried   ReasonKind = "retried"    // an attempt ended without ending its message
	ReasonAccept    ReasonKind = "accept"     // a client could not be accepted
	ReasonDropped   ReasonKind = "dropped"    // a connection to an endpoint was closed with its call
	ReasonDiscovery ReasonKind = "discovery"  // a call for the endpoint list did not go as it should
)

// New makes a registry that knows the given classes. The violations of the invariants named are reported from the
// start, at 0.
func New(classes []string, invariants ...string) *Registry {
	r := &Registry{byClass: map[string]*classCounters{}, reasons: map[string]uint64{}}
	for _, invariant := range invariants {
		r.reasons[reasonName(ReasonViolation, invariant)] = 0
	}
	r.RegisterClasses(classes)
	return r
}

func reasonName(kind ReasonKind, reason string) string { return string(kind) + "." + reason }

// RegisterClasses adds the classes that are not known yet, at 0.
func (r *Registry) RegisterClasses(classes []string) {
	r.update(func() {
		for _, class := range classes {
			r.counters(class)
		}
	})
}

// counters is the counters of a class, which it adds if need be; the caller holds the lock.
func (r *Registry) counters(class string) *classCounters {
	c := r.byClass[class]
	if c == nil {
		c = &classCounters{class: class}
		r.byClass[class] = c
		r.classes = append(r.classes, c)
	}
	return c
}

func (r *Registry) update(edit func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	edit()
}

// MessageSucceeded counts a message that was delivered.
func (r *Registry) MessageSucceeded(class string) { r.update(func() { r.counters(class).succeeded++ }) }

// MessageDeclined counts a message that was rejected, or returned by a notice.
func (r *Registry) MessageDeclined(class string) { r.update(func() { r.counters(class).declined++ }) }

// MessageAborted counts a message that was given up.
func (r *Registry) MessageAborted(class string) { r.update(func() { r.counters(class).aborted++ }) }

// MessagesForwarded counts messages that were written to an endpoint, repeats included.
func (r *Registry) MessagesForwarded(messages int) {
	r.update(func() { r.forwards += uint64(messages) })
}

// ConfigReloaded counts a configuration that was read at SIGHUP.
func (r *Registry) ConfigReloaded(applied bool) {
	r.update(func() {
		if applied {
			r.applied++
		} else {
			r.rejected++
		}
	})
}

// CountReason counts an event by why it happened. The reasons of a kind are few fixed words.
func (r *Registry) CountReason(kind ReasonKind, reason string) {
	r.update(func() { r.reasons[reasonName(kind, reason)]++ })
}

// ReasonCount is how often an event was counted with a reason.
func (r *Registry) ReasonCount(kind ReasonKind, reason string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reasons[reasonName(kind, reason)]
}

// SetGauges stores the gauges, and that the event loop is alive.
func (r *Registry) SetGauges(g Gauges) {
	r.update(func() { r.gauges, r.lastHeartbeat = g, time.Now() })
}

// LastHeartbeat is when the event loop last stored the gauges.
func (r *Registry) LastHeartbeat() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastHeartbeat
}

// figure is one line of a dump.
type figure struct {
	name  string
	value int64
}

// Dump writes a line for each figure: the classes in the order in which they were registered, the totals, then the
// reasons in the order of their names.
func (r *Registry) Dump(w io.Writer) {
	for _, f := range r.figures() {
		// The reply is written to memory, which takes all of it.
		_, _ = fmt.Fprintf(w, "%s%s=%d\n", namePrefix, f.name, f.value)
	}
}

func (r *Registry) figures() []figure {
	r.mu.Lock()
	defer r.mu.Unlock()
	var figures []figure
	for _, c := range r.classes {
		figures = append(figures,
			figure{name: "succeeded." + c.class, value: int64(c.succeeded)},
			figure{name: "declined." + c.class, value: int64(c.declined)},
			figure{name: "aborted." + c.class, value: int64(c.aborted)})
	}
	figures = append(figures,
		figure{name: "forwards", value: int64(r.forwards)},
		figure{name: "outstanding", value: int64(r.gauges.Outstanding)},
		figure{name: "discovered", value: int64(r.gauges.Discovered)},
		figure{name: "ejected", value: int64(r.gauges.Ejected)},
		figure{name: "sighup_applied", value: int64(r.applied)},
		figure{name: "sighup_rejected", value: int64(r.rejected)})
	for _, name := range slices.Sorted(maps.Keys(r.reasons)) {
		figures = append(figures, figure{name: name, value: int64(r.reasons[name])})
	}
	return figures
}
