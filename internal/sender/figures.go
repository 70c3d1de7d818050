package sender

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"
)

// figurePrefix names this program in the operators' figures.
const figurePrefix = "edge_edge."

// tally counts the ends of one class's messages.
type tally struct {
	class                        string
	succeeded, declined, aborted uint64
}

// figures is what the sender reports of itself. Each count is made where the event happens; the loop stores the
// gauges after each step. It has a lock of its own, held for no more than a copy, so that reading it never waits
// for the loop.
type figures struct {
	mu       sync.Mutex
	classes  []*tally // in the order first named; a dropped class keeps its place, as a counter never goes back
	byClass  map[string]*tally
	forwards uint64
	applied  uint64 // configurations taken at SIGHUP
	rejected uint64 // and turned down
	gauges
	reasons map[string]uint64 // by kind and reason

	beat time.Time // when the loop last came round
}

// gauges is the state of the loop as of its last step.
type gauges struct{ outstanding, discovered, ejected int }

func newFigures(classes []string) *figures {
	f := &figures{byClass: map[string]*tally{}, reasons: map[string]uint64{}}
	for _, rule := range allRules {
		f.reasons[string(reasonViolation)+"."+string(rule)] = 0
	}
	f.name(classes)
	return f
}

// name adds classes that have not been named yet, at 0.
func (f *figures) name(classes []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range classes {
		f.tally(c)
	}
}

// tally is a class's; the caller holds the lock.
func (f *figures) tally(class string) *tally {
	t := f.byClass[class]
	if t == nil {
		t = &tally{class: class}
		f.byClass[class] = t
		f.classes = append(f.classes, t)
	}
	return t
}

func (f *figures) count(edit func(f *figures)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	edit(f)
}

func (f *figures) succeeded(class string) { f.count(func(f *figures) { f.tally(class).succeeded++ }) }
func (f *figures) declined(class string)  { f.count(func(f *figures) { f.tally(class).declined++ }) }
func (f *figures) aborted(class string)   { f.count(func(f *figures) { f.tally(class).aborted++ }) }
func (f *figures) forwarded(n int)        { f.count(func(f *figures) { f.forwards += uint64(n) }) }

// reloaded books a SIGHUP.
func (f *figures) reloaded(taken bool) {
	f.count(func(f *figures) {
		if taken {
			f.applied++
		} else {
			f.rejected++
		}
	})
}

// reasonKind groups the reasons that are counted.
type reasonKind string

// What is counted by its reason.
const (
	reasonViolation reasonKind = "violations" // a rule that the guard checks was about to be broken
	reasonClosed    reasonKind = "closed"     // a client's connection was closed
	reasonRefused   reasonKind = "refused"    // a request was refused
	reasonRetried   reasonKind = "retried"    // an attempt ended and its message goes on
	reasonAccept    reasonKind = "accept"     // clients that could not be accepted
	reasonDropped   reasonKind = "dropped"    // a connection to an endpoint was closed with its call
	reasonDiscovery reasonKind = "discovery"  // calls for the list that did not go as they should
)

// reason counts something by why it happened. Reasons are few fixed words.
func (f *figures) reason(kind reasonKind, why string) {
	f.count(func(f *figures) { f.reasons[string(kind)+"."+why]++ })
}

// set stores the gauges, and that the loop is alive.
func (f *figures) set(g gauges) { f.count(func(f *figures) { f.gauges, f.beat = g, time.Now() }) }

// lastBeat is when the loop last came round.
func (f *figures) lastBeat() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.beat
}

// dump writes a line for each figure.
func (f *figures) dump(w io.Writer) {
	f.mu.Lock()
	classes := make([]tally, 0, len(f.classes))
	for _, t := range f.classes {
		classes = append(classes, *t)
	}
	forwards, applied, rejected, now := f.forwards, f.applied, f.rejected, f.gauges
	reasons := maps.Clone(f.reasons)
	f.mu.Unlock()
	for _, t := range classes {
		fmt.Fprintf(w, "%ssucceeded.%s=%d\n", figurePrefix, t.class, t.succeeded)
		fmt.Fprintf(w, "%sdeclined.%s=%d\n", figurePrefix, t.class, t.declined)
		fmt.Fprintf(w, "%saborted.%s=%d\n", figurePrefix, t.class, t.aborted)
	}
	for _, l := range []struct {
		name  string
		value any
	}{{"forwards", forwards}, {"outstanding", now.outstanding}, {"discovered", now.discovered},
		{"ejected", now.ejected}, {"sighup_applied", applied}, {"sighup_rejected", rejected}} {
		fmt.Fprintf(w, "%s%s=%d\n", figurePrefix, l.name, l.value)
	}
	for _, name := range slices.Sorted(maps.Keys(reasons)) {
		fmt.Fprintf(w, "%s%s=%d\n", figurePrefix, name, reasons[name])
	}
}
