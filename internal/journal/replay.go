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

// Open replays the journal that an earlier process left in a directory and writes a compacted file. It makes the clock
// continue that of the earlier process. The old and the new file together never take more than budget bytes.
//
// Open also succeeds on a full disk: the old file stays unchanged, and Failed reports true until a compacted file can
// be written.
func Open(files FileSystem, clock *clock.Clock, directory string, budget int64) (*Journal, error) {
	j := &Journal{
		files:        files,
		clock:        clock,
		path:         filepath.Join(directory, FileName),
		budget:       budget,
		byID:         map[string]*Message{},
		endpointList: endpointListStore{maxSize: budget / endpointListBudgetDivisor},
		outages:      outageStore{maxSize: budget / outagesBudgetDivisor},
		ended:        newEndedIDs(budget),
	}
	if err := j.replayFile(); err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	// Messages that have ended are dropped here, not only by the compaction, because this process must not resume them
	// even if the compaction fails.
	j.order = slices.DeleteFunc(j.order, func(m *Message) bool { return j.byID[m.ID] != m })
	_ = j.Compact() // After an error, Failed reports true until a later compaction succeeds.
	return j, nil
}

// replayFile replays the file of an earlier process, if there is one.
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

// replay replays the lines of a file. Damaged lines are counted and skipped.
func (j *Journal) replay(r io.Reader) error {
	lines := bufio.NewReaderSize(r, ioBufferSize)
	for {
		line, err := lines.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return nil // A line without its newline was truncated by a kill.
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

// replayRecord applies a record from the file, whose line has lineLength bytes.
func (j *Journal) replayRecord(r *Record, lineLength int) {
	switch r.Kind {
	case KindClock:
		if r.Clock != nil {
			j.clock.ContinueFrom(*r.Clock)
		}
	case KindEndpointListDelta:
		j.endpointList.apply(r.Version, r.Endpoints)
	case KindOutagesDelta:
		j.outages.apply(r.Outages)
	case KindEndedID:
		if age := j.clock.Now() - r.EndedAt; age < endedIDRetention {
			j.ended.add(r.ID, r.EndedAt, true)
		}
	case KindMessageAccepted:
		j.ended.remove(r.ID) // The earlier process had dropped the id of the ended message when it was submitted again.
		if earlier := j.byID[r.ID]; earlier != nil {
			j.remove(earlier) // An id is accepted again only after its message has ended.
		}
		j.add(newMessage(*r, lineLength))
	default:
		j.replayMessageRecord(r)
	}
}

// replayMessageRecord applies a record about a message that was accepted earlier.
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

// decodeDamaged decodes a line that may be damaged. If the end of a line is missing, its newline is missing too, and
// the intact record that follows, with its own checksum, is at the end of the same line. decodeDamaged returns that
// record, the damaged part of the line before it, and whether it found an intact record.
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

// damagedID matches the ids of messages in a damaged line.
var damagedID = regexp.MustCompile(`"id":("(?:[^"\\]|\\.)*")`)

// assumeAttempt adds an unknown attempt to each message whose id is in a damaged line, because the line may have been
// the record of a started attempt and the message may have run. It adds none if the line is surely a record of another
// kind.
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

// namesOtherKind reports whether a damaged line contains the kind of a record about a message other than that of a
// started attempt.
func namesOtherKind(line []byte) bool {
	otherKinds := []RecordKind{
		KindMessageAccepted, KindAttemptEnded, KindMessageEnded, KindNoticeDelivered, KindEndedID,
	}
	return slices.ContainsFunc(otherKinds, func(kind RecordKind) bool {
		return bytes.Contains(line, []byte(`"op":"`+string(kind)+`"`))
	})
}
