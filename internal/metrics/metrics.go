// Package metrics holds the sender's counters and gauges and writes them in reply to the operators' DUMP call.
//
// Each package counts its own events; the event loop stores the gauges after each step. The names of the metrics are
// part of the operators' interface and never change.
package metrics

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"
)

// namePrefix is the prefix of all metrics of this program.
const namePrefix = "edge_edge."

// classCounters counts how the messages of one class ended.
type classCounters struct {
	class                        string
	succeeded, declined, aborted uint64
}

// Registry holds all counters and gauges. Its lock is held only for a copy, so that a reader never waits for the event
// loop. It is safe for concurrent use.
type Registry struct {
	mu       sync.Mutex
	classes  []*classCounters // in order of registration; removed classes stay, as a counter must never decrease
	byClass  map[string]*classCounters
	forwards uint64
	applied  uint64 // configurations applied at SIGHUP
	rejected uint64 // configurations rejected at SIGHUP
	gauges   Gauges
	reasons  map[string]uint64 // counts by kind and reason

	lastHeartbeat time.Time // when the event loop last stored the gauges
}

// Gauges holds the state of the event loop after its last step.
type Gauges struct {
	Outstanding int // messages that were accepted and have not ended
	Discovered  int // endpoints on the list
	Ejected     int // listed endpoints that get only probes
}

// ReasonKind groups events that are counted by their reason. It is the first part of the metric's name.
type ReasonKind string

// The kinds of events that are counted by their reason.
const (
	ReasonViolation ReasonKind = "violations" // an invariant was or would have been violated
	ReasonClosed    ReasonKind = "closed"     // a client's connection was closed
	ReasonRejected  ReasonKind = "refused"    // a request was rejected
	ReasonRetried   ReasonKind = "retried"    // an attempt ended without ending its message
	ReasonAccept    ReasonKind = "accept"     // a client could not be accepted
	ReasonDropped   ReasonKind = "dropped"    // a connection to an endpoint was closed together with its call
	ReasonDiscovery ReasonKind = "discovery"  // a problem with discovery, or its move to another address
)

// New returns a registry with the given classes. The violations of the given invariants are reported from the start,
// at 0.
func New(classes []string, invariants ...string) *Registry {
	r := &Registry{byClass: map[string]*classCounters{}, reasons: map[string]uint64{}}
	for _, invariant := range invariants {
		r.reasons[reasonName(ReasonViolation, invariant)] = 0
	}
	r.RegisterClasses(classes)
	return r
}

func reasonName(kind ReasonKind, reason string) string { return string(kind) + "." + reason }

// RegisterClasses adds the classes that are not registered yet, at 0.
func (r *Registry) RegisterClasses(classes []string) {
	r.update(func() {
		for _, class := range classes {
			r.counters(class)
		}
	})
}

// counters returns the counters of a class and registers the class if necessary. The caller holds the lock.
func (r *Registry) counters(class string) *classCounters {
	c := r.byClass[class]
	if c == nil {
		c = &classCounters{class: class}
		r.byClass[class] = c
		r.classes = append(r.classes, c)
	}
	return c
}

// update calls edit with the lock held.
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

// CountReason counts an event by its reason. Each kind has a small, fixed set of reasons.
func (r *Registry) CountReason(kind ReasonKind, reason string) {
	r.update(func() { r.reasons[reasonName(kind, reason)]++ })
}

// ReasonCount returns the number of events that were counted with a reason.
func (r *Registry) ReasonCount(kind ReasonKind, reason string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reasons[reasonName(kind, reason)]
}

// SetGauges stores the gauges. It is also the heartbeat of the event loop.
func (r *Registry) SetGauges(g Gauges) {
	r.update(func() { r.gauges, r.lastHeartbeat = g, time.Now() })
}

// LastHeartbeat returns the time at which the event loop last stored the gauges.
func (r *Registry) LastHeartbeat() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastHeartbeat
}

// metric is one line of a dump.
type metric struct {
	name  string
	value int64
}

// Dump writes a line for each metric: the classes in order of registration, the totals, then the reasons sorted by
// name.
func (r *Registry) Dump(w io.Writer) {
	for _, m := range r.metrics() {
		// The callers pass a buffer in memory, so the write cannot fail.
		_, _ = fmt.Fprintf(w, "%s%s=%d\n", namePrefix, m.name, m.value)
	}
}

func (r *Registry) metrics() []metric {
	r.mu.Lock()
	defer r.mu.Unlock()
	var metrics []metric
	for _, c := range r.classes {
		metrics = append(metrics,
			metric{name: "succeeded." + c.class, value: int64(c.succeeded)},
			metric{name: "declined." + c.class, value: int64(c.declined)},
			metric{name: "aborted." + c.class, value: int64(c.aborted)})
	}
	metrics = append(metrics,
		metric{name: "forwards", value: int64(r.forwards)},
		metric{name: "outstanding", value: int64(r.gauges.Outstanding)},
		metric{name: "discovered", value: int64(r.gauges.Discovered)},
		metric{name: "ejected", value: int64(r.gauges.Ejected)},
		metric{name: "sighup_applied", value: int64(r.applied)},
		metric{name: "sighup_rejected", value: int64(r.rejected)})
	for _, name := range slices.Sorted(maps.Keys(r.reasons)) {
		metrics = append(metrics, metric{name: name, value: int64(r.reasons[name])})
	}
	return metrics
}
