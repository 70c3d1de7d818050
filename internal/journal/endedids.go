package journal

import (
	"io"
	"time"
)

const (
	// endedIDsLifetime is how long a generation of ids takes in further ones.
	endedIDsLifetime = 5 * time.Second
	// maxEndedIDs is how many ids a generation takes in at most.
	maxEndedIDs = 4096
	// A generation takes in no more ids after it takes 1/endedIDsBudgetDivisor of the journal's budget.
	endedIDsBudgetDivisor = 32
)

// endedIDs remembers the ids of messages that ended recently, in two generations: ids are added to the current one, and
// the previous one is forgotten as a whole when the current one is complete. A client whose connection is closed while
// it writes a request submits it once more, under the same id, within the time that it waits for an answer.
type endedIDs struct {
	current, previous idGeneration
	maxGenerationSize int64 // in bytes
}

// idGeneration is the ids of messages that ended one after the other.
type idGeneration struct {
	endedAt   map[string]time.Duration // when each message ended
	startedAt time.Time
	size      int64 // bytes in a compacted file
}

func (g *idGeneration) contains(id string) bool {
	_, found := g.endedAt[id]
	return found
}

// isCurrentComplete reports whether the current generation takes in no further ids.
func (e *endedIDs) isCurrentComplete() bool {
	g := &e.current
	return g.endedAt == nil || time.Since(g.startedAt) > endedIDsLifetime || len(g.endedAt) >= maxEndedIDs ||
		g.size > e.maxGenerationSize
}

func (e *endedIDs) add(id string, endedAt time.Duration) {
	if e.isCurrentComplete() {
		e.previous = e.current
		e.current = idGeneration{endedAt: map[string]time.Duration{}, startedAt: time.Now()}
	}
	if !e.current.contains(id) {
		lineLength, _ := encode(io.Discard, endedIDRecord(id, endedAt)) // Plain values only: it cannot fail.
		e.current.size += int64(lineLength)
	}
	e.current.endedAt[id] = endedAt
}

// remove forgets an id. Its bytes stay counted until its generation is forgotten.
func (e *endedIDs) remove(id string) {
	delete(e.current.endedAt, id)
	delete(e.previous.endedAt, id)
}

func (e *endedIDs) contains(id string) bool {
	return e.current.contains(id) || e.previous.contains(id)
}

// size is an upper bound of the bytes that the ids take in a compacted file.
func (e *endedIDs) size() int64 { return e.current.size + e.previous.size }

func endedIDRecord(id string, endedAt time.Duration) *Record {
	return &Record{Kind: KindEndedID, ID: id, EndedAt: endedAt}
}
