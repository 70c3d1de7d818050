package sender

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"time"

	"dockshift.example/dockshift/brain"
)

// The journal is one file of lines, each a checksum and a JSON record. A process that is killed leaves at
// most a torn last line: a line whose checksum is wrong is skipped and what stands before it counts.

const (
	journalName = "messages.journal"
	// maxName bounds ids, keys and endpoint names, or what is written of a message would have no bound.
	maxName = 128
	// tryAgain is the pause between compactions while they fail.
	tryAgain = 200 * time.Millisecond
)

const (
	// mostTries bounds what is believed of a number of attempts.
	mostTries = 100
	// maxTryName bounds an endpoint's name in an attempt: it is kept for who reads the file.
	maxTryName = 24
	// overhead is what a message's attempts and end may add to its line in a compacted file. Only that is
	// set aside: the records that lead there go with the next compaction.
	overhead = 640
	// clockCost is what the line that tells how to read times may take.
	clockCost = 256
	// slackPart of the budget is left by what is taken on, or every further record would need a compaction.
	slackPart = 10
)

// record is one line. Times are the clock's, which the first line of a file tells how to read; without it they are Unix time.
type record struct {
	Op string `json:"op"` // take, send, end, over, told, past, clock, list, outages
	ID string `json:"id"`

	Version int64    `json:"version,omitempty"` // list: of the endpoint list, and what has changed in it
	Targets []Target `json:"targets,omitempty"`

	Outages []storedOutage `json:"outages,omitempty"` // outages: changes

	Clock *epoch `json:"clock,omitempty"` // clock: how the times of all records are to be read

	// take: the message as its client handed it in; in a compacted file with what came of it so far
	Key      string        `json:"key,omitempty"`
	Class    string        `json:"class,omitempty"`
	Tenant   string        `json:"tenant,omitempty"`
	Dest     uint32        `json:"dest,omitempty"`
	Deadline time.Duration `json:"deadline,omitempty"`
	Rules    *rules        `json:"rules,omitempty"`
	Body     []byte        `json:"body,omitempty"`
	Tries    []try         `json:"tries,omitempty"`

	Try int `json:"try,omitempty"` // send, end: which attempt, from 0
	// send: the new attempt; end: that it never ran
	Sent  *try `json:"sent,omitempty"`
	Never bool `json:"never,omitempty"`

	How     string `json:"how,omitempty"` // over
	RetryMS int64  `json:"retry_ms,omitempty"`

	At time.Duration `json:"at,omitempty"` // over, told, past: when the message ended
}

// rules are those that a message was taken under. The settings may name its class no more, or otherwise, by the
// time that the record is read.
type rules struct {
	Effect    brain.Effect  `json:"e,omitempty"`
	InZone    bool          `json:"z,omitempty"`
	Ordered   bool          `json:"o,omitempty"`
	Attempts  int           `json:"n,omitempty"`
	Aim       time.Duration `json:"a,omitempty"`
	Deadline  time.Duration `json:"d,omitempty"`
	Window    time.Duration `json:"w,omitempty"`
	Worth     float64       `json:"v,omitempty"`
	LateWorth float64       `json:"l,omitempty"`
}

func rulesOf(c brain.Class, attempts int) *rules {
	return &rules{c.Effect, c.KeyInZone, c.Ordered, attempts, c.Aim, c.Deadline, c.KeyWindow, c.Worth, c.LateWorth}
}

// forBrain is nil where a record from before rules were written has none: then the settings decide by its class.
func (r *rules) forBrain() *brain.Rules {
	if r == nil {
		return nil
	}
	return &brain.Rules{MaxAttempts: r.Attempts, Class: brain.Class{Aim: r.Aim, Deadline: r.Deadline, Effect: r.Effect,
		KeyInZone: r.InZone, KeyWindow: r.Window, Ordered: r.Ordered, Worth: r.Worth, LateWorth: r.LateWorth}}
}

// try is an attempt of a message. One without an outcome may have run.
type try struct {
	At       time.Duration `json:"at"`
	Endpoint string        `json:"endpoint"`
	Zone     int           `json:"zone,omitempty"`
	Never    bool          `json:"never,omitempty"` // it surely never ran
}

// Ends of a message. Those that a notice tells of carry the notice's word.
const (
	delivered  = "delivered"
	answered   = "answered" // refused or failed in the answer to its client, or withdrawn
	givenUp    = "given_up"
	handedBack = "handed_back"
)

// stored is a message as the journal holds it.
type stored struct {
	record        // of op take
	how    string // its end, if a notice of it is still owed
	retry  int64
	cost   int64 // what it may take in a compacted file
}

func (m *stored) apply(r *record) {
	switch r.Op {
	case "send":
		// Where the record of an attempt before this one is damaged, it may have run, nobody knows when.
		for r.Sent != nil && len(m.Tries) < min(r.Try, mostTries) {
			m.Tries = append(m.Tries, try{})
		}
		if r.Sent != nil {
			m.Tries = append(m.Tries, *r.Sent)
		}
	case "end":
		if r.Try >= 0 && r.Try < len(m.Tries) {
			m.Tries[r.Try].Never = r.Never
		}
	case "over":
		m.how, m.retry, m.Body = r.How, r.RetryMS, nil
	}
}

// takeBackTry forgets an attempt that was never begun, as its record could not be written.
func (m *message) takeBackTry(place int) {
	if place == len(m.Tries)-1 {
		m.Tries = m.Tries[:place]
		m.base--
	}
}

// firstRun is the first attempt that may have run.
func (m *stored) firstRun() (try, bool) {
	for _, t := range m.Tries {
		if !t.Never {
			return t, true
		}
	}
	return try{}, false
}

var errNoRoom = errors.New("no room in the journal")

// journal keeps what was taken on. It belongs to the loop.
type journal struct {
	path   string
	files  FileSystem
	clock  *clock
	file   File
	budget int64 // bytes that old and new file may hold together
	size   int64
	live   int64 // the sum of costs: an upper bound of a compacted file, now and until its messages end
	buf    bytes.Buffer
	failed bool      // the last write failed: nothing more is written until a compaction succeeds
	tried  time.Time // the last compaction
	list   listMemory
	outage outageMemory
	byID   map[string]*stored
	order  []*stored // in the order taken; ended ones are dropped when compacting

	damaged int // lines that could not be read

	// Messages that have ended lately, in two generations. A client whose connection is closed across its request writes it
	// once more, under the same id, within the time that it waits for an answer.
	ended, endedBefore generation
}

// generation is the ids of messages that ended one after another, and when each did.
type generation struct {
	at    map[string]time.Duration
	since time.Time
	cost  int64 // what they take in a compacted file
}

const (
	endedFor  = 5 * time.Second // a generation lasts so long,
	endedMost = 4096            // or until so many have ended,
	endedPart = 32              // or they take this part of the budget
)

// remember keeps the id of a message that has ended after it was taken on. One that was refused, in the answer or by a
// notice, may come again.
func (j *journal) remember(m *stored, last *record) {
	if last.How != answered && m.how != handedBack {
		j.keep(m.ID, last.At)
	}
}

func (j *journal) keep(id string, at time.Duration) {
	g := &j.ended
	if g.at == nil || time.Since(g.since) > endedFor || len(g.at) >= endedMost || g.cost > j.budget/endedPart {
		j.live -= j.endedBefore.cost
		j.endedBefore, *g = *g, generation{at: map[string]time.Duration{}, since: time.Now()}
	}
	if _, again := g.at[id]; !again {
		line, _ := encode(io.Discard, &record{Op: "past", ID: id, At: at})
		g.cost += int64(line)
		j.live += int64(line)
	}
	g.at[id] = at
}

// has reports whether a message is held, or has ended lately after it was taken on.
func (j *journal) has(id string) bool {
	_, now := j.ended.at[id]
	_, before := j.endedBefore.at[id]
	return j.byID[id] != nil || now || before
}

func encode(w io.Writer, rec *record) (int, error) {
	text, err := json.Marshal(rec)
	if err != nil {
		return 0, err
	}
	return fmt.Fprintf(w, "%08x %s\n", crc32.ChecksumIEEE(text), text)
}

func (j *journal) add(m *stored) {
	j.byID[m.ID] = m
	j.order = append(j.order, m)
	j.live += m.cost
}

func (j *journal) remove(m *stored) {
	if j.byID[m.ID] == m {
		delete(j.byID, m.ID)
		j.live -= m.cost
		m.Body = nil
	}
}

// take writes down a message that is about to be taken on; without room for it, it does not.
func (j *journal) take(rec record) (*stored, error) {
	rec.Op = "take"
	var line bytes.Buffer
	if _, err := encode(&line, &rec); err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	m := &stored{record: rec, cost: int64(line.Len()) + overhead}
	fits := func(size int64) bool { return size+j.live+2*m.cost <= j.budget-j.budget/slackPart }
	if !fits(j.live) && !fits(j.size+int64(j.buf.Len())) {
		return nil, errNoRoom
	}
	if j.failed && time.Since(j.tried) < tryAgain {
		return nil, errNoRoom
	}
	if j.failed || !fits(j.size+int64(j.buf.Len())) {
		if err := j.compact(); err != nil {
			return nil, err
		}
	}
	j.buf.Write(line.Bytes())
	j.add(m)
	if err := j.flush(); err != nil {
		j.remove(m)
		return nil, err
	}
	return m, nil
}

// note adds a record on a message; flush writes it.
func (j *journal) note(m *stored, rec record) {
	rec.ID = m.ID
	if rec.Op == "told" || rec.Op == "over" {
		rec.At = j.clock.now()
	}
	if _, err := encode(&j.buf, &rec); err != nil {
		j.failed = true
	}
	m.apply(&rec)
	if rec.Op == "told" || rec.Op == "over" && (rec.How == delivered || rec.How == answered) {
		j.remove(m)
		j.remember(m, &rec)
	}
}

// noteList adds a record on changes of the endpoint list; flush writes it.
func (j *journal) noteList(version int64, changes []Target) {
	if len(changes) == 0 {
		return
	}
	j.tookList(version, changes)
	// Of more than there is room for only the last are kept; the file need not have them either.
	kept := j.list.changes[max(0, len(j.list.changes)-len(changes)):]
	if _, err := encode(&j.buf, &record{Op: "list", Version: version, Targets: kept}); err != nil {
		j.failed = true
	}
}

// noteOutages adds a record on changes of outages; flush writes it.
func (j *journal) noteOutages(changes []storedOutage) {
	if _, err := encode(&j.buf, &record{Op: "outages", Outages: changes}); err != nil {
		j.failed = true
	}
	j.tookOutages(changes)
}

func (j *journal) tookOutages(changes []storedOutage) {
	j.live -= j.outage.cost
	j.outage.note(changes)
	j.live += j.outage.cost
}

func (j *journal) tookList(version int64, changes []Target) {
	j.live -= j.list.cost
	j.list.note(version, changes)
	j.live += j.list.cost
}

// flush writes what was noted. After a failed write the file may lack records, so nothing more is added
// to it: the way on is a compaction, which writes the state that they led to.
func (j *journal) flush() error {
	if j.buf.Len() == 0 {
		return nil
	}
	if j.failed && time.Since(j.tried) < tryAgain {
		j.buf.Reset()
		return errNoRoom
	}
	if j.failed || j.size+int64(j.buf.Len())+j.live > j.budget {
		j.buf.Reset()
		return j.compact() // it holds what was noted, too
	}
	n, err := j.file.Write(j.buf.Bytes())
	j.buf.Reset()
	j.size += int64(n)
	if err != nil {
		j.failed = true
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// compact writes a new file of what is still owed and puts it in the old one's place. A kill in between
// leaves the old file whole, and beside it at most a new one that nobody reads.
func (j *journal) compact() error {
	err := j.rewrite()
	j.failed, j.tried = err != nil, time.Now()
	if err != nil {
		j.files.Remove(j.path + ".new")
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

func (j *journal) rewrite() error {
	f, err := j.files.OpenFile(j.path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	w := bufio.NewWriterSize(f, 1<<16)
	first, err := encode(w, &record{Op: "clock", Clock: j.clock.epoch()})
	if err != nil {
		f.Close()
		return err
	}
	size := int64(first)
	if len(j.list.changes) > 0 {
		n, err := encode(w, &record{Op: "list", Version: j.list.version, Targets: j.list.changes})
		size += int64(n)
		if err != nil {
			f.Close()
			return err
		}
	}
	if len(j.outage.outages) > 0 {
		n, err := encode(w, &record{Op: "outages", Outages: j.outage.outages})
		size += int64(n)
		if err != nil {
			f.Close()
			return err
		}
	}
	kept := make([]*stored, 0, len(j.byID))
	for _, g := range []generation{j.endedBefore, j.ended} {
		for id, at := range g.at {
			n, err := encode(w, &record{Op: "past", ID: id, At: at})
			size += int64(n)
			if err != nil {
				f.Close()
				return err
			}
		}
	}
	for _, m := range j.order {
		if j.byID[m.ID] != m {
			continue
		}
		kept = append(kept, m)
		rec := m.record
		rec.How, rec.RetryMS = m.how, m.retry
		n, err := encode(w, &rec)
		size += int64(n)
		if err != nil {
			f.Close()
			return err
		}
	}
	if err := w.Flush(); err != nil {
		f.Close()
		return err
	}
	if err := j.files.Rename(j.path+".new", j.path); err != nil {
		f.Close()
		return err
	}
	if j.file != nil {
		j.file.Close()
	}
	j.file, j.size, j.order = f, size, kept
	j.buf.Reset()
	return nil
}

func (j *journal) close() error {
	err := j.flush()
	if j.file != nil {
		err = errors.Join(err, j.file.Close())
	}
	return err
}
