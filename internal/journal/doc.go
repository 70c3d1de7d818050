// Package journal is the sender's write-ahead journal: one file in the state directory that holds what has to outlive
// the process.
//
// It owns that file and its state in memory: the messages that have not ended or whose notice is pending, the ids of
// messages that ended recently, the changes of the endpoint list, the outages, and how the clock continues that of the
// process before. The event loop alone calls it, as nothing here is safe for concurrent use; the process that has the
// lock on the state directory opens it. The methods named Append buffer a record, and Flush writes all of them with one
// system call: the event loop flushes before it acts on what they state. Accept writes at once.
//
// # What survives
//
// The file consists of lines, each a checksum and a record as JSON. Writes are not synchronized to the disk: they
// outlive the process, not a crash of the machine.
//
//   - A kill tears at most the last line, which is skipped when the file is read. A kill within a compaction leaves the
//     old file as it was, and at most a part of a new one beside it, which is never read.
//   - Damage within the file costs the damaged records only. A message that may have been sent in a damaged record
//     counts as one that may have run.
//   - On a full disk the state in memory stays right, while the file may lack records. Nothing more is written to it
//     then: Accept and Flush fail, and Failed reports true until a compaction, tried every RetryInterval, has written
//     the state that the lost records led to.
//
// # Disk space
//
// The file is compacted when it has grown to its bound: a new file with the live state only takes its place. Old and
// new file together have to stay within the budget. So this holds after each Accept and Flush that succeeds:
//
//	size of the file + liveBytes <= budget
//
// where liveBytes is an upper bound of a compacted file's size, both now and until the messages in it have ended:
// Accept reserves beforehand what a message's attempts and its end may add. The endpoint list, the outages and the ids
// of ended messages are bounded by parts of the budget.
package journal
