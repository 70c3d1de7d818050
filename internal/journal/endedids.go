package journal

import (
	"io"
	"time"
)

const (
	// endedIDRetention is how long the ids of ended messages are kept if there is space for them.
	endedIDRetention = 10 * time.Second
	// minEndedIDRetention is how long the id of a message that may have run is kept in any case: no message is accepted
	// while there is no space for its id. That is longer than a client goes on handing a message in again.
	minEndedIDRetention = 5 * time.Second
	// endedIDsBudgetDivisor limits the space of the ids: they take at most 1/endedIDsBudgetDivisor of the journal's
	// budget.
	endedIDsBudgetDivisor = 8
	// unrunIDsBudgetDivisor limits the space of the ids of messages that never ran in the same way.
	unrunIDsBudgetDivisor = 64
	// endedIDReserve is the space in bytes that is left free for the id of each message that has not ended.
	endedIDReserve = 128
)

// endedIDs stores the ids of messages that ended recently, to recognize a message that is submitted again: a client
// whose connection is closed while it writes a request submits it once more, under the same id, within the time that it
// waits for a response. A message that may have run must not run again. Messages that never ran have a space of their
// own: a client may submit any number of messages that end at once, and must not displace the ids of the others.
type endedIDs struct {
	mayHaveRun, neverRan idQueue
}

// newEndedIDs returns an empty store for a journal with a budget in bytes.
func newEndedIDs(budget int64) endedIDs {
	return endedIDs{
		mayHaveRun: idQueue{maxSize: budget / endedIDsBudgetDivisor},
		neverRan:   idQueue{maxSize: budget / unrunIDsBudgetDivisor},
	}
}

// idQueue holds ids in the order in which their messages have ended.
type idQueue struct {
	entries map[string]endedID
	order   []endedID // may hold ids that have been removed or added again since
	size    int64     // of the entries in a compacted file, in bytes
	maxSize int64
}

// endedID is the id of a message that has ended.
type endedID struct {
	id      string
	endedAt time.Duration
	size    int64 // in a compacted file, in bytes
}

// add stores the id of a message that ended at a time, and drops others that are old enough.
func (e *endedIDs) add(id string, endedAt time.Duration, mayHaveRun bool) {
	if mayHaveRun {
		e.neverRan.remove(id)
		e.mayHaveRun.add(id, endedAt)
		e.mayHaveRun.drop(endedAt, minEndedIDRetention)
		return
	}
	if !e.mayHaveRun.contains(id) {
		e.neverRan.add(id, endedAt)
		e.neverRan.drop(endedAt, 0)
	}
}

// hasSpace reports whether there is space for the ids of a number of messages that may run. It drops ids that are old
// enough for that.
func (e *endedIDs) hasSpace(messages int, now time.Duration) bool {
	q := &e.mayHaveRun
	needed := int64(messages) * endedIDReserve
	for q.size+needed > q.maxSize && q.dropOldest(now-minEndedIDRetention) {
	}
	return q.size+needed <= q.maxSize || q.size == 0
}

// remove removes an id.
func (e *endedIDs) remove(id string) {
	e.mayHaveRun.remove(id)
	e.neverRan.remove(id)
}

func (e *endedIDs) contains(id string) bool {
	return e.mayHaveRun.contains(id) || e.neverRan.contains(id)
}

// size returns the bytes that the ids take in a compacted file.
func (e *endedIDs) size() int64 { return e.mayHaveRun.size + e.neverRan.size }

// all returns the ids, those that ended first before the others, first of the messages that never ran.
func (e *endedIDs) all() []endedID { return append(e.neverRan.all(), e.mayHaveRun.all()...) }

func (q *idQueue) contains(id string) bool {
	_, found := q.entries[id]
	return found
}

// add adds an id, or moves it to the end.
func (q *idQueue) add(id string, endedAt time.Duration) {
	q.remove(id)
	lineLength, _ := encode(io.Discard, endedIDRecord(id, endedAt)) // It cannot fail: the values are plain.
	entry := endedID{id: id, endedAt: endedAt, size: int64(lineLength)}
	if q.entries == nil {
		q.entries = map[string]endedID{}
	}
	q.entries[id] = entry
	q.order = append(q.order, entry)
	q.size += entry.size
}

func (q *idQueue) remove(id string) {
	if entry, found := q.entries[id]; found {
		delete(q.entries, id)
		q.size -= entry.size
	}
}

// drop drops the ids of messages that ended longer than endedIDRetention ago, and as many others as the maximum size
// requires, if they ended at least minRetention ago.
func (q *idQueue) drop(now, minRetention time.Duration) {
	for q.dropOldest(now - endedIDRetention) {
	}
	for q.size > q.maxSize && q.dropOldest(now-minRetention) {
	}
}

// dropOldest drops the oldest id if its message ended by a time, and reports whether it did.
func (q *idQueue) dropOldest(endedBy time.Duration) bool {
	for len(q.order) > 0 {
		oldest := q.order[0]
		if q.entries[oldest.id] == oldest && oldest.endedAt > endedBy {
			return false
		}
		q.order = q.order[1:]
		if q.entries[oldest.id] == oldest {
			q.remove(oldest.id)
			return true
		}
	}
	return false
}

// all returns the entries in order.
func (q *idQueue) all() []endedID {
	list := make([]endedID, 0, len(q.entries))
	for _, entry := range q.order {
		if q.entries[entry.id] == entry {
			list = append(list, entry)
		}
	}
	return list
}

func endedIDRecord(id string, endedAt time.Duration) *Record {
	return &Record{Kind: KindEndedID, ID: id, EndedAt: endedAt}
}
