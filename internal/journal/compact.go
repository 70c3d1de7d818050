package journal

import (
	"bufio"
	"errors"
	"fmt"
	"iter"
	"os"
	"time"
)

// ioBufferSize is the size in bytes of the buffers for reading a file and for writing a compacted one.
const ioBufferSize = 64 << 10

// newFileSuffix is appended to the journal's name for the file that a compaction writes, until that file replaces the
// journal.
const newFileSuffix = ".new"

// Compact writes the live state to a new file and replaces the old one by it. A kill before the replacement leaves the
// old file unchanged, and at most an incomplete new file next to it, which is never read.
func (j *Journal) Compact() error {
	err := j.rewrite()
	j.failed, j.compactedAt = err != nil, time.Now()
	if err != nil {
		// If the new file cannot be removed, the next compaction truncates it.
		_ = j.files.Remove(j.path + newFileSuffix)
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// rewrite replaces the file by a compacted one. On an error it leaves the file and the state in memory unchanged.
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
		_ = j.file.Close() // The file has been replaced, so an error loses nothing.
	}
	j.file, j.size, j.order = file, size, messages
	j.buffer.Reset()
	return nil
}

// liveMessages returns the messages that have not ended or whose notice is pending, in the order of their acceptance.
func (j *Journal) liveMessages() []*Message {
	live := make([]*Message, 0, len(j.byID))
	for _, m := range j.order {
		if j.byID[m.ID] == m {
			live = append(live, m)
		}
	}
	return live
}

// liveRecords returns an iterator over the records of a compacted file.
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
		for _, ended := range j.ended.all() {
			if !yield(endedIDRecord(ended.id, ended.endedAt)) {
				return
			}
		}
		for _, m := range messages {
			if r := m.compacted(); !yield(&r) {
				return
			}
		}
	}
}

// writeRecords writes records to a file and returns their size in bytes.
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
