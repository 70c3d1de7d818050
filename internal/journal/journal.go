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
	// RetryInterval is the minimum time between two attempts to compact the file while they fail.
	RetryInterval = 200 * time.Millisecond

	// clockReserve is the maximum size in bytes of the record of the clock.
	clockReserve = 256
	// recordReserve is the maximum size in bytes of a record of the endpoint list or of outages without its items.
	recordReserve = 128
	// maxEndedInOrder is how many messages that have ended are kept in memory before they are dropped together.
	maxEndedInOrder = 256
	// acceptReserveDivisor limits what Accept uses: it leaves 1/acceptReserveDivisor of the budget free for the later
	// records of accepted messages. With less free space, every further record would require a compaction.
	acceptReserveDivisor = 10
)

// ErrFull is returned when nothing was written because the budget is used up, or because a write has failed and the
// last attempt to compact the file was less than RetryInterval ago.
var ErrFull = errors.New("journal: no space left")

// Journal is an open journal. Only one goroutine may use it.
type Journal struct {
	path   string
	files  FileSystem
	clock  *clock.Clock
	budget int64 // maximum size of the old and the new file together, in bytes

	file        File
	size        int64        // of file, in bytes
	buffer      bytes.Buffer // lines that the next Flush writes
	failed      bool         // the last write failed: nothing is appended until a compaction succeeds
	compactedAt time.Time    // time of the last attempt to compact the file

	byID         map[string]*Message
	order        []*Message // in order of acceptance, with some that are no longer in byID
	messageBytes int64      // sum of reservedBytes of the messages in byID
	ended        endedIDs
	endpointList endpointListStore
	outages      outageStore

	damagedLines int
}

// Accept writes the record of a message that is accepted. If it returns an error, which is ErrFull or an error of the
// file system, the message is not accepted.
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

// makeSpace compacts the file if the last write failed or if a new message does not fit otherwise. It returns ErrFull
// if the message does not fit after a compaction either, or if there is no space for its id once it has ended.
func (j *Journal) makeSpace(m *Message) error {
	// The message needs its bytes twice: in the current file and in the file that the next compaction writes.
	fitsWithFileSize := func(size int64) bool {
		return size+j.liveBytes()+2*m.reservedBytes <= j.budget-j.budget/acceptReserveDivisor
	}
	fitsNow := fitsWithFileSize(j.unflushedSize())
	if !fitsNow && !fitsWithFileSize(j.liveBytes()) {
		return ErrFull
	}
	if j.isRetryTooEarly() || !j.ended.hasSpace(len(j.byID)+1, j.clock.Now()) {
		return ErrFull
	}
	if j.failed || !fitsNow {
		return j.Compact()
	}
	return nil
}

// AppendAttemptStarted records the start of a message's next attempt.
func (j *Journal) AppendAttemptStarted(m *Message, attempt Attempt) {
	attempt.Endpoint = attempt.Endpoint[:min(len(attempt.Endpoint), maxEndpointLength)]
	j.appendToMessage(m, Record{Kind: KindAttemptStarted, AttemptIndex: len(m.Attempts), StartedAttempt: &attempt})
}

// AppendAttemptEnded records that an attempt ended without ending its message. neverRan states that the attempt surely
// had no effect.
func (j *Journal) AppendAttemptEnded(m *Message, attemptIndex int, neverRan bool) {
	j.appendToMessage(m, Record{Kind: KindAttemptEnded, AttemptIndex: attemptIndex, NeverRan: neverRan})
}

// AppendMessageEnded records the outcome of a message. After OutcomeDelivered and OutcomeAnswered the journal drops the
// message. After the other outcomes it keeps the message without its body until AppendNoticeDelivered is called. The
// client may submit a returned message again after retryAfter, which is stored in milliseconds.
func (j *Journal) AppendMessageEnded(m *Message, outcome Outcome, retryAfter time.Duration) {
	j.appendToMessage(m, Record{
		Kind:         KindMessageEnded,
		Outcome:      outcome,
		RetryAfterMS: retryAfter.Milliseconds(),
		EndedAt:      j.clock.Now(),
	})
}

// AppendNoticeDelivered records that the platform has accepted the notice of a message's end. The journal drops the
// message.
func (j *Journal) AppendNoticeDelivered(m *Message) {
	j.appendToMessage(m, Record{Kind: KindNoticeDelivered, EndedAt: j.clock.Now()})
}

// appendToMessage buffers a record about a message, and updates the message accordingly.
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
	// If the changes exceed the limit, the store keeps only the last ones, and the file does not need the others
	// either.
	kept := j.endpointList.changes[max(0, len(j.endpointList.changes)-len(changes)):]
	j.bufferRecord(&Record{Kind: KindEndpointListDelta, Version: version, Endpoints: kept})
}

// AppendOutages records changes of outages.
func (j *Journal) AppendOutages(changes []Outage) {
	j.bufferRecord(&Record{Kind: KindOutagesDelta, Outages: changes})
	j.outages.apply(changes)
}

// bufferRecord adds a record to the buffer. A record that cannot be encoded counts as a failed write.
func (j *Journal) bufferRecord(r *Record) {
	if _, err := encode(&j.buffer, r); err != nil {
		j.failed = true
	}
}

// Flush writes the buffered records, or compacts the file if they do not fit. After a failed write the file may lack
// records, so nothing more is appended to it: a compaction writes the state in memory instead.
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

// isRetryTooEarly reports whether the last write failed and RetryInterval has not yet passed since the last attempt to
// compact the file.
func (j *Journal) isRetryTooEarly() bool {
	return j.failed && time.Since(j.compactedAt) < RetryInterval
}

// unflushedSize returns the size of the file including the buffered records, in bytes.
func (j *Journal) unflushedSize() int64 { return j.size + int64(j.buffer.Len()) }

// liveBytes returns an upper bound of the size of a compacted file in bytes, both now and until its messages have
// ended.
func (j *Journal) liveBytes() int64 {
	return clockReserve + 2*recordReserve + j.messageBytes + j.ended.size() + j.endpointList.size + j.outages.size
}

// add adds a message to the state in memory.
func (j *Journal) add(m *Message) {
	j.byID[m.ID] = m
	j.order = append(j.order, m)
	j.messageBytes += m.reservedBytes
}

// remove removes a message from the state in memory. It stays in order until enough others are no longer needed there,
// or until the next compaction.
func (j *Journal) remove(m *Message) {
	if j.byID[m.ID] != m {
		return
	}
	delete(j.byID, m.ID)
	j.messageBytes -= m.reservedBytes
	m.Body = nil
	if len(j.order) > 2*len(j.byID)+maxEndedInOrder {
		j.order = j.liveMessages()
	}
}

// finish removes a message after its final record and stores its id among those of ended messages. The id of a message
// that was rejected, in the response to its client or by a notice, is not stored, because the client may submit it
// again.
func (j *Journal) finish(m *Message, final *Record) {
	j.remove(m)
	if final.Outcome != OutcomeAnswered && m.PendingOutcome != OutcomeReturned {
		_, mayHaveRun := m.FirstPossibleRun()
		j.ended.add(m.ID, final.EndedAt, mayHaveRun || final.Outcome == OutcomeDelivered)
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

// Failed reports whether the last write failed. If so, nothing is appended until a compaction succeeds.
func (j *Journal) Failed() bool { return j.failed }

// DamagedLines returns the number of damaged lines that were found when the file was opened.
func (j *Journal) DamagedLines() int { return j.damagedLines }

// Knows reports whether a message with this id was accepted and either has not ended or ended recently with an outcome
// other than a rejection.
func (j *Journal) Knows(id string) bool { return j.byID[id] != nil || j.ended.contains(id) }

// Messages returns the messages that have not ended or whose notice is pending, in the order of their acceptance.
func (j *Journal) Messages() []*Message { return j.order }

// Message returns the message with an id, or nil if there is none.
func (j *Journal) Message(id string) *Message { return j.byID[id] }

// Len returns the number of messages that have not ended or whose notice is pending.
func (j *Journal) Len() int { return len(j.byID) }

// MergeEndpointList returns the configuration's endpoint list with the changes applied that discovery has sent since.
func (j *Journal) MergeEndpointList(configured endpointlist.Update) endpointlist.Update {
	return j.endpointList.mergeInto(configured)
}

// Outages returns the unresolved outages, ordered by their last change from the oldest to the newest.
func (j *Journal) Outages() []Outage { return j.outages.outages }
