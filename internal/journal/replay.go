package journal

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"

	"onyxdyke.example/onyxdyke/internal/clock"
)

// Open replays the journal that an earlier process left in a directory and starts a compacted file. It makes the clock
// continue that of the earlier process. The old and the new file together never take more than budget bytes.
//
// On a full disk it succeeds all the same: the old file stays as it is, and Failed reports true until a compacted one
// can be written.
func Open(files FileSystem, clock *clock.Clock, directory string, budget int64) (*Journal, error) {
	j := &Journal{
		files:        files,
		clock:        clock,
		path:         filepath.Join(directory, FileName),
		budget:       budget,
		byID:         map[string]*Message{},
		endpointList: endpointListStore{maxSize: budget / endpointListBudgetDivisor},
		outages:      outageStore{maxSize: budget / outagesBudgetDivisor},
		ended:        endedIDs{maxGenerationSize: budget / endedIDsBudgetDivisor},
	}
	if err := j.replayFile(); err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	// Messages that have ended are dropped here and not only by the compaction, which may fail: this process must not
	// resume them.
	j.order = slices.DeleteFunc(j.order, func(m *Message) bool { return j.byID[m.ID] != m })
	_ = j.Compact() // Failed reports an error until a later compaction succeeds.
	return j, nil
}

// replayFile reads the file of an earlier process, if there is one.
func (j *Journal) replayFile() error {
	file, err := j.files.OpenFile(j.path, os.O_RDONLY, 0)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer file.Close()
	return j.replay(file)
}

func (j *Journal) replay(r io.Reader) error {
	lines := bufio.NewReaderSize(r, ioBufferSize)
	for {
		line, err := lines.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return nil // A line without its newline was torn by a kill.
		}
		if err != nil {
			return err
		}
		record, damaged, found := decodeDamaged(line)
		if len(damaged) > 0 {
			j.damagedLines++
			j.assumeAttempt(damaged)
		}
		if found {
			j.replayRecord(&record, len(line))
		}
	}
}

// replayRecord takes in a record read from a line of the given length in bytes.
func (j *Journal) replayRecord(r *Record, lineLength int) {
	switch r.Kind {
	case KindClock:
		if r.Clock != nil {
			j.clock.Follow(*r.Clock)
		}
	case KindEndpointListDelta:
		j.endpointList.apply(r.Version, r.Endpoints)
	case KindOutagesDelta:
		j.outages.apply(r.Outages)
	case KindEndedID:
		if age := j.clock.Now() - r.EndedAt; age < 2*endedIDsLifetime {
			j.ended.add(r.ID, r.EndedAt)
		}
	case KindMessageAccepted:
		j.ended.remove(r.ID) // The id was submitted again after it had been forgotten.
		if earlier := j.byID[r.ID]; earlier != nil {
			j.remove(earlier) // An id is accepted again only after its message has ended.
		}
		j.add(newMessage(*r, lineLength))
	default:
		j.replayMessageRecord(r)
	}
}

// replayMessageRecord takes in a record on a message that was accepted before it.
func (j *Journal) replayMessageRecord(r *Record) {
	m := j.byID[r.ID]
	if m == nil {
		return
	}
	if r.isFinal() {
		j.finish(m, r)
	} else {
		m.apply(r)
	}
}

// decodeDamaged reads a line, or the record at the end of a damaged one: where the end of a line is lost, the record
// after it is still intact behind its own checksum. It also returns the part of the line that cannot be read, and
// whether it found a record.
func decodeDamaged(line []byte) (record Record, damaged []byte, found bool) {
	for start := 0; ; {
		record = Record{}
		if decode(line[start:], &record) {
			return record, line[:start], true
		}
		// The next record that may be intact starts with a checksum before " {".
		searchFrom := start + minLineLength
		next := bytes.Index(line[min(len(line), searchFrom):], []byte(" {"))
		if next < 0 {
			return record, line, false
		}
		start = searchFrom + next - checksumLength
	}
}

// damagedID finds the ids of messages in a damaged line.
var damagedID = regexp.MustCompile(`"id":("(?:[^"\\]|\\.)*")`)

// assumeAttempt adds an unknown attempt to the messages that a damaged line names, unless it is surely no record of a
// started attempt: the message may have run.
func (j *Journal) assumeAttempt(line []byte) {
	if namesOtherKind(line) {
		return
	}
	for _, match := range damagedID.FindAllSubmatch(line, -1) {
		var id string
		if json.Unmarshal(match[1], &id) != nil {
			continue
		}
		if m := j.byID[id]; m != nil {
			m.addUnknownAttempt()
		}
	}
}

// namesOtherKind reports whether a damaged line names a kind of record on a message that is no started attempt.
func namesOtherKind(line []byte) bool {
	otherKinds := []RecordKind{
		KindMessageAccepted, KindAttemptEnded, KindMessageEnded, KindNoticeDelivered, KindEndedID,
	}
	return slices.ContainsFunc(otherKinds, func(kind RecordKind) bool {
		return bytes.Contains(line, []byte(`"op":"`+string(kind)+`"`))
	})
}
