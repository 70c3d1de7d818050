package journal

import (
	"io"
	"time"
)

const (
	// endedIDGenerationPeriod is how long ids are added to a generation.
	endedIDGenerationPeriod = 5 * time.Second
	// maxIDsPerGeneration is the maximum number of ids in a generation.
	maxIDsPerGeneration = 4096
	// endedIDsBudgetDivisor limits the size of a generation: no ids are added to one that takes more than
	// 1/endedIDsBudgetDivisor of the journal's budget.
	endedIDsBudgetDivisor = 32
)

// endedIDs stores the ids of messages that ended recently, to recognize a message that is submitted again: a client
// whose connection is closed while it writes a request submits it once more, under the same id, within the time that it
// waits for a response. The ids are in two generations: new ones are added to the current generation, and when that is
// complete, it becomes the previous one and the former previous one is dropped as a whole.
type endedIDs struct {
	current, previous idGeneration
	maxGenerationSize int64 // in bytes
}

// idGeneration holds the ids of messages that ended within one period.
type idGeneration struct {
	endedAt   map[string]time.Duration // when each message ended
	startedAt time.Time
	size      int64 // in a compacted file, in bytes
}

func (g *idGeneration) contains(id string) bool {
	_, found := g.endedAt[id]
	return found
}

// isCurrentComplete reports whether no further ids may be added to the current generation.
func (e *endedIDs) isCurrentComplete() bool {
	g := &e.current
	return g.endedAt == nil || time.Since(g.startedAt) > endedIDGenerationPeriod ||
		len(g.endedAt) >= maxIDsPerGeneration || g.size > e.maxGenerationSize
}

// add stores the id of a message that ended at a time. It starts a new generation if the current one is complete.
func (e *endedIDs) add(id string, endedAt time.Duration) {
	if e.isCurrentComplete() {
		e.previous = e.current
		e.current = idGeneration{endedAt: map[string]time.Duration{}, startedAt: time.Now()}
	}
	if !e.current.contains(id) {
		lineLength, _ := encode(io.Discard, endedIDRecord(id, endedAt)) // It cannot fail: the values are plain.
		e.current.size += int64(lineLength)
	}
	e.current.endedAt[id] = endedAt
}

// remove removes an id. Its bytes stay counted until its generation is dropped.
func (e *endedIDs) remove(id string) {
	delete(e.current.endedAt, id)
	delete(e.previous.endedAt, id)
}

func (e *endedIDs) contains(id string) bool {
	return e.current.contains(id) || e.previous.contains(id)
}

// size returns an upper bound of the bytes that the ids take in a compacted file.
func (e *endedIDs) size() int64 { return e.current.size + e.previous.size }

func endedIDRecord(id string, endedAt time.Duration) *Record {
	return &Record{Kind: KindEndedID, ID: id, EndedAt: endedAt}
}
