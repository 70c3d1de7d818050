package journal

// How the journal of an earlier process is read, damaged as it may be.

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"

	"onyxdyke.example/onyxdyke/internal/clock"
)

// openJournal reads what an earlier process left and begins a compacted file.
// It sets the clock to that of the earlier process.
func Open(files FileSystem, clock *clock.Clock, dir string, budget int64) (*Journal, error) {
	j := &Journal{files: files, clock: clock, path: filepath.Join(dir, FileName), budget: budget, byID: map[string]*Message{}, liveBytes: clockCost + 2*lineCost,
		endpointList: endpointListStore{most: budget / listPart}, outages: outageStore{most: budget / outagePart}}
	old, err := files.OpenFile(j.path, os.O_RDONLY, 0)
	if err == nil {
		err = j.replay(old)
		old.Close()
	} else if errors.Is(err, os.ErrNotExist) {
		err = nil
	}
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	// What has ended is dropped here and not by the compaction only, which may fail: this process must not take it up again.
	j.order = slices.DeleteFunc(j.order, func(m *Message) bool { return j.byID[m.ID] != m })
	// On a full disk it goes on without: the old file stays as it is, and nothing new is taken or sent
	// until a compacted one can be written.
	j.Compact()
	return j, nil
}

func (j *Journal) replay(r io.Reader) error {
	lines := bufio.NewReaderSize(r, 1<<16)
	for {
		line, err := lines.ReadBytes('\n')
		if err == io.EOF {
			return nil // a line without its end was not written whole
		}
		if err != nil {
			return err
		}
		rec, lost, ok := salvage(line)
		if len(lost) > 0 {
			j.damaged++
			j.doubt(lost)
		}
		if !ok {
			continue
		}
		switch m := j.byID[rec.ID]; {
		case rec.Op == "clock":
			if rec.Clock != nil {
				j.clock.Follow(*rec.Clock)
			}
		case rec.Op == "list":
			j.tookList(rec.Version, rec.Targets)
		case rec.Op == "outages":
			j.tookOutages(rec.Outages)
		case rec.Op == "past":
			if age := j.clock.Now() - rec.At; age < 2*endedFor {
				j.rememberID(rec.ID, rec.At)
			}
		case rec.Op == "take":
			delete(j.ended.at, rec.ID) // it came again, when it was no longer known
			delete(j.endedBefore.at, rec.ID)
			if m != nil { // an id is used again only once its message is over
				j.remove(m)
			}
			j.add(&Message{Record: rec, PendingOutcome: rec.Outcome, PendingRetryAfterMS: rec.RetryAfterMS, cost: int64(len(line)) + overhead})
		case m == nil:
		case rec.Op == "told" || rec.Op == "over" && (rec.Outcome == OutcomeDelivered || rec.Outcome == OutcomeAnswered):
			j.remove(m)
			j.rememberEnded(m, &rec)
		default:
			m.apply(&rec)
		}
	}
}

// salvage reads a line, or the record at the end of a damaged one: where the end of a line is lost, the record
// after it still stands whole, behind its own checksum. What cannot be read is given back.
func salvage(line []byte) (rec Record, lost []byte, ok bool) {
	for from := 0; ; {
		rec = Record{}
		if decode(line[from:], &rec) {
			return rec, line[:from], true
		}
		next := bytes.Index(line[min(len(line), from+10):], []byte(" {"))
		if next < 0 {
			return rec, line, false
		}
		from += 10 + next - 8
	}
}

// doubt books an attempt for the message that a damaged record names, if that may be the record of one: it may have run,
// nobody knows when.
func (j *Journal) doubt(line []byte) {
	for _, op := range []string{"take", "end", "over", "told", "past"} {
		if bytes.Contains(line, []byte(`"op":"`+op+`"`)) {
			return
		}
	}
	for _, named := range damagedID.FindAllSubmatch(line, -1) {
		var id string
		if json.Unmarshal(named[1], &id) != nil {
			continue
		}
		if m := j.byID[id]; m != nil {
			m.Attempts = append(m.Attempts, Attempt{})
		}
	}
}

var damagedID = regexp.MustCompile(`"id":("(?:[^"\\]|\\.)*")`)

func decode(line []byte, rec *Record) bool {
	if len(line) < 10 {
		return false
	}
	sum, err := strconv.ParseUint(string(line[:8]), 16, 32)
	text := line[9 : len(line)-1]
	return err == nil && uint32(sum) == crc32.ChecksumIEEE(text) && json.Unmarshal(text, rec) == nil
}
