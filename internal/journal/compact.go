package journal

import (
	"bufio"
	"errors"
	"fmt"
	"iter"
	"os"
	"time"
)

// ioBufferSize is the size in bytes of the buffers that a file is read and compacted through.
const ioBufferSize = 64 << 10

// newFileSuffix names the file that a compaction writes, until it takes the journal's place.
const newFileSuffix = ".new"

// Compact writes a new file of the live state and puts it in the old one's place. A kill before that leaves the old
// file as it was, and beside it at most a part of the new one, which is never read.
func (j *Journal) Compact() error {
	err := j.rewrite()
	j.failed, j.compactedAt = err != nil, time.Now()
	if err != nil {
		// Where it cannot be removed, the next compaction truncates it.
		_ = j.files.Remove(j.path + newFileSuffix)
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// rewrite replaces the file by a compacted one, and leaves everything as it was on an error.
func (j *Journal) rewrite() error {
	file, err := j.files.OpenFile(j.path+newFileSuffix, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	messages := j.liveMessages()
	size, err := writeRecords(file, j.liveRecords(messages))
	if err == nil {
		err = j.files.Rename(j.path+newFileSuffix, j.path)
	}
	if err != nil {
		return errors.Join(err, file.Close())
	}
	if j.file != nil {
		_ = j.file.Close() // The file has been replaced: nothing of it is needed any more.
	}
	j.file, j.size, j.order = file, size, messages
	j.buffer.Reset()
	return nil
}

// liveMessages returns the messages that the journal still has to keep, in the order in which they were accepted.
func (j *Journal) liveMessages() []*Message {
	live := make([]*Message, 0, len(j.byID))
	for _, m := range j.order {
		if j.byID[m.ID] == m {
			live = append(live, m)
		}
	}
	return live
}

// liveRecords yields the records of a compacted file.
func (j *Journal) liveRecords(messages []*Message) iter.Seq[*Record] {
	return func(yield func(*Record) bool) {
		if !yield(&Record{Kind: KindClock, Clock: j.clock.Epoch()}) {
			return
		}
		if r := j.endpointList.record(); r != nil && !yield(r) {
			return
		}
		if r := j.outages.record(); r != nil && !yield(r) {
			return
		}
		for _, generation := range []idGeneration{j.ended.previous, j.ended.current} {
			for id, endedAt := range generation.endedAt {
				if !yield(endedIDRecord(id, endedAt)) {
					return
				}
			}
		}
		for _, m := range messages {
			if r := m.compacted(); !yield(&r) {
				return
			}
		}
	}
}

// writeRecords writes records to a file and returns how many bytes they take.
func writeRecords(file File, records iter.Seq[*Record]) (size int64, err error) {
	w := bufio.NewWriterSize(file, ioBufferSize)
	for r := range records {
		length, err := encode(w, r)
		if err != nil {
			return 0, err
		}
		size += int64(length)
	}
	return size, w.Flush()
}
