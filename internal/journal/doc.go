// Package journal is the sender's write-ahead journal: one file in the state directory with the state that has to
// survive the process.
//
// The package owns that file and the corresponding state in memory: the messages that have not ended or whose notice is
// pending, the ids of messages that ended recently, the changes of the endpoint list, the outages, and how the clock
// continues that of the previous process. Only the process that holds the lock on the state directory opens the
// journal, and only its event loop calls it, because nothing here is safe for concurrent use. The methods named
// Append... buffer a record, and Flush writes all buffered records with one system call. The event loop flushes before
// it acts on these records. Accept writes its record at once.
//
// # Durability
//
// The file consists of lines, each with a checksum and a record as JSON. Writes are not synchronized to the disk: they
// survive the end of the process, but not a crash of the machine.
//
//   - A kill truncates at most the last line, which is skipped when the file is read. A kill during a compaction leaves
//     the old file unchanged, and at most an incomplete new file next to it, which is never read.
//   - Damage within the file loses only the damaged records. If a damaged record may have been that of a started
//     attempt, its message is treated as one that may have run at an endpoint.
//   - On a full disk the state in memory stays correct, but the file may lack records. Nothing more is appended to the
//     file then: Accept and Flush fail, and Failed reports true until a compaction, retried every RetryInterval, has
//     written the state in memory, which includes the effect of the missing records.
//
// # Disk space
//
// When the file reaches its size limit, it is compacted: it is replaced by a new file with the live state only. The old
// and the new file together have to stay within the budget. So this holds after each successful Accept and Flush:
//
//	size of the file + liveBytes <= budget
//
// where liveBytes is an upper bound of the size of a compacted file, both now and until the messages in it have ended:
// Accept reserves in advance the bytes that a message's attempts and its end may add. The endpoint list, the outages
// and the ids of ended messages are each limited to a fraction of the budget.
package journal
