package journal

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"onyxdyke.example/onyxdyke/internal/clock"
	"onyxdyke.example/onyxdyke/internal/endpointlist"
)

const (
	// FileName is the name of the journal in the state directory.
	FileName = "messages.journal"
	// RetryInterval is the pause between compactions while they fail.
	RetryInterval = 200 * time.Millisecond

	// clockReserve is how many bytes the record of the clock may take.
	clockReserve = 256
	// recordReserve is how many bytes a record of the endpoint list or of outages adds to its items.
	recordReserve = 128
	// Accept leaves 1/acceptReserveDivisor of the budget free: with less, every further record would take a compaction.
	acceptReserveDivisor = 10
)

// ErrFull says that nothing is written: the budget is used up, or a write has failed and the last compaction was tried
// less than RetryInterval ago.
var ErrFull = errors.New("journal: no space left")

// Journal is an open journal. Only one goroutine may use it.
type Journal struct {
	path   string
	files  FileSystem
	clock  *clock.Clock
	budget int64 // bytes that the old and the new file may take together

	file        File
	size        int64        // bytes in file
	buffer      bytes.Buffer // lines that Flush will write
	failed      bool         // the last write failed: nothing is written until a compaction succeeds
	compactedAt time.Time    // when a compaction was last tried

	byID         map[string]*Message
	order        []*Message // as accepted; messages that are not in byID any more are dropped by a compaction
	messageBytes int64      // the sum of reservedBytes of the messages in byID
	ended        endedIDs
	endpointList endpointListStore
	outages      outageStore

	damagedLines int
}

// Accept writes that a message is accepted. Where it returns an error, ErrFull or that of the file system, the message
// is not accepted.
func (j *Journal) Accept(r Record) (*Message, error) {
	r.Kind = KindMessageAccepted
	var line bytes.Buffer
	if _, err := encode(&line, &r); err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	m := newMessage(r, line.Len())
	if err := j.makeSpace(m); err != nil {
		return nil, err
	}
	j.buffer.Write(line.Bytes())
	j.add(m)
	if err := j.Flush(); err != nil {
		j.remove(m)
		return nil, err
	}
	return m, nil
}

// makeSpace compacts the file if a new message does not fit otherwise, or if the last write failed.
func (j *Journal) makeSpace(m *Message) error {
	// The message takes its bytes in the file, and once more in the file of the next compaction.
	fitsWithFileSize := func(size int64) bool {
		return size+j.liveBytes()+2*m.reservedBytes <= j.budget-j.budget/acceptReserveDivisor
	}
	fitsNow := fitsWithFileSize(j.unflushedSize())
	if !fitsNow && !fitsWithFileSize(j.liveBytes()) {
		return ErrFull
	}
	if j.isRetryTooEarly() {
		return ErrFull
	}
	if j.failed || !fitsNow {
		return j.Compact()
	}
	return nil
}

// AppendAttemptStarted records the next attempt of a message.
func (j *Journal) AppendAttemptStarted(m *Message, attempt Attempt) {
	attempt.Endpoint = attempt.Endpoint[:min(len(attempt.Endpoint), maxEndpointLength)]
	j.appendToMessage(m, Record{Kind: KindAttemptStarted, AttemptIndex: len(m.Attempts), StartedAttempt: &attempt})
}

// AppendAttemptEnded records that an attempt ended without ending its message, and whether it surely had no effect.
func (j *Journal) AppendAttemptEnded(m *Message, attemptIndex int, neverRan bool) {
	j.appendToMessage(m, Record{Kind: KindAttemptEnded, AttemptIndex: attemptIndex, NeverRan: neverRan})
}

// AppendMessageEnded records a message's outcome. After OutcomeDelivered and OutcomeAnswered the journal drops the
// message; after the others it keeps it, without its body, until AppendNoticeDelivered. A returned message may be
// submitted again after retryAfter, which is stored in milliseconds.
func (j *Journal) AppendMessageEnded(m *Message, outcome Outcome, retryAfter time.Duration) {
	j.appendToMessage(m, Record{
		Kind:         KindMessageEnded,
		Outcome:      outcome,
		RetryAfterMS: retryAfter.Milliseconds(),
		EndedAt:      j.clock.Now(),
	})
}

// AppendNoticeDelivered records that the platform has taken the notice of a message's end. The journal drops the
// message.
func (j *Journal) AppendNoticeDelivered(m *Message) {
	j.appendToMessage(m, Record{Kind: KindNoticeDelivered, EndedAt: j.clock.Now()})
}

// appendToMessage buffers a record on a message, and updates the message.
func (j *Journal) appendToMessage(m *Message, r Record) {
	r.ID = m.ID
	j.bufferRecord(&r)
	m.apply(&r)
	if r.isFinal() {
		j.finish(m, &r)
	}
}

// AppendEndpointList records changes of the endpoint list.
func (j *Journal) AppendEndpointList(version int64, changes []endpointlist.Endpoint) {
	if len(changes) == 0 {
		return
	}
	j.endpointList.apply(version, changes)
	// Of more changes than fit only the last are kept; the file need not have the others either.
	kept := j.endpointList.changes[max(0, len(j.endpointList.changes)-len(changes)):]
	j.bufferRecord(&Record{Kind: KindEndpointListDelta, Version: version, Endpoints: kept})
}

// AppendOutages records changes of outages.
func (j *Journal) AppendOutages(changes []Outage) {
	j.bufferRecord(&Record{Kind: KindOutagesDelta, Outages: changes})
	j.outages.apply(changes)
}

func (j *Journal) bufferRecord(r *Record) {
	if _, err := encode(&j.buffer, r); err != nil {
		j.failed = true
	}
}

// Flush writes the buffered records, or compacts the file where they do not fit. After a failed write the file may lack
// records, so that nothing more is added to it: then a compaction writes the state that the records led to.
func (j *Journal) Flush() error {
	if j.buffer.Len() == 0 {
		return nil
	}
	if j.isRetryTooEarly() {
		j.buffer.Reset()
		return ErrFull
	}
	if j.failed || j.unflushedSize()+j.liveBytes() > j.budget {
		j.buffer.Reset()
		return j.Compact() // The state in memory includes the buffered records.
	}
	written, err := j.file.Write(j.buffer.Bytes())
	j.buffer.Reset()
	j.size += int64(written)
	if err != nil {
		j.failed = true
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// isRetryTooEarly reports whether the last write failed and the pause after it is not over.
func (j *Journal) isRetryTooEarly() bool {
	return j.failed && time.Since(j.compactedAt) < RetryInterval
}

// unflushedSize is the size of the file with the buffered records, in bytes.
func (j *Journal) unflushedSize() int64 { return j.size + int64(j.buffer.Len()) }

// liveBytes is an upper bound of a compacted file's size, now and until its messages have ended.
func (j *Journal) liveBytes() int64 {
	return clockReserve + 2*recordReserve + j.messageBytes + j.ended.size() + j.endpointList.size + j.outages.size
}

func (j *Journal) add(m *Message) {
	j.byID[m.ID] = m
	j.order = append(j.order, m)
	j.messageBytes += m.reservedBytes
}

func (j *Journal) remove(m *Message) {
	if j.byID[m.ID] == m {
		delete(j.byID, m.ID)
		j.messageBytes -= m.reservedBytes
		m.Body = nil
	}
}

// finish removes a message after its final record, and remembers its id. One that was rejected, in the answer to its
// client or by a notice, is not remembered, as its client may submit it again.
func (j *Journal) finish(m *Message, final *Record) {
	j.remove(m)
	if final.Outcome != OutcomeAnswered && m.PendingOutcome != OutcomeReturned {
		j.ended.add(m.ID, final.EndedAt)
	}
}

// Close flushes the journal and closes its file.
func (j *Journal) Close() error {
	err := j.Flush()
	if j.file != nil {
		err = errors.Join(err, j.file.Close())
	}
	return err
}

// Failed reports whether the last write failed: nothing is written until a compaction succeeds.
func (j *Journal) Failed() bool { return j.failed }

// DamagedLines returns how many lines of the file were damaged when it was opened.
func (j *Journal) DamagedLines() int { return j.damagedLines }

// Knows reports whether a message was accepted and has not ended, or ended recently otherwise than by a rejection.
func (j *Journal) Knows(id string) bool { return j.byID[id] != nil || j.ended.contains(id) }

// Messages returns the messages that have not ended or whose notice is pending, in the order in which they were
// accepted.
func (j *Journal) Messages() []*Message { return j.order }

// Message returns the message with an id, nil if there is none.
func (j *Journal) Message(id string) *Message { return j.byID[id] }

// Len returns the number of messages that have not ended or whose notice is pending.
func (j *Journal) Len() int { return len(j.byID) }

// MergeEndpointList returns the configuration's endpoint list with the changes that discovery has sent since.
func (j *Journal) MergeEndpointList(configured endpointlist.Update) endpointlist.Update {
	return j.endpointList.mergeInto(configured)
}

// Outages returns the outages that are not resolved, those that changed last at the end.
func (j *Journal) Outages() []Outage { return j.outages.outages }
