package journal

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

	"onyxdyke.example/onyxdyke/internal/clock"
	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/endpointlist"
)

// The journal is one file of lines, each a checksum and a JSON record. A process that is killed leaves at
// most a torn last line: a line whose checksum is wrong is skipped and what stands before it counts.

const (
	FileName = "messages.journal"
	// maxName bounds ids, keys and endpoint names, or what is written of a message would have no bound.
	MaxNameLength = 128
	// tryAgain is the pause between compactions while they fail.
	RetryInterval = 200 * time.Millisecond
)

const (
	// mostTries bounds what is believed of a number of attempts.
	mostTries = 100
	// maxTryName bounds an endpoint's name in an attempt: it is kept for who reads the file.
	MaxEndpointLength = 24
	// overhead is what a message's attempts and end may add to its line in a compacted file. Only that is
	// set aside: the records that lead there go with the next compaction.
	overhead = 640
	// clockCost is what the line that tells how to read times may take.
	clockCost = 256
	// slackPart of the budget is left by what is taken on, or every further record would need a compaction.
	slackPart = 10
)

// record is one line. Times are the clock's, which the first line of a file tells how to read; without it they are Unix time.
type Record struct {
	Op string `json:"op"` // take, send, end, over, told, past, clock, list, outages
	ID string `json:"id"`

	Version int64                   `json:"version,omitempty"` // list: of the endpoint list, and what has changed in it
	Targets []endpointlist.Endpoint `json:"targets,omitempty"`

	Outages []Outage `json:"outages,omitempty"` // outages: changes

	Clock *clock.Epoch `json:"clock,omitempty"` // clock: how the times of all records are to be read

	// take: the message as its client handed it in; in a compacted file with what came of it so far
	Key         string        `json:"key,omitempty"`
	Class       string        `json:"class,omitempty"`
	Tenant      string        `json:"tenant,omitempty"`
	Destination uint32        `json:"dest,omitempty"`
	Deadline    time.Duration `json:"deadline,omitempty"`
	Rules       *Rules        `json:"rules,omitempty"`
	Body        []byte        `json:"body,omitempty"`
	Attempts    []Attempt     `json:"tries,omitempty"`

	Attempt int `json:"try,omitempty"` // send, end: which attempt, from 0
	// send: the new attempt; end: that it never ran
	Sent     *Attempt `json:"sent,omitempty"`
	NeverRan bool     `json:"never,omitempty"`

	Outcome      string `json:"how,omitempty"` // over
	RetryAfterMS int64  `json:"retry_ms,omitempty"`

	At time.Duration `json:"at,omitempty"` // over, told, past: when the message ended
}

// rules are those that a message was taken under. The settings may name its class no more, or otherwise, by the
// time that the record is read.
type Rules struct {
	Effect            dispatch.Effect `json:"e,omitempty"`
	KeyScopedToZone   bool            `json:"z,omitempty"`
	Ordered           bool            `json:"o,omitempty"`
	MaxAttempts       int             `json:"n,omitempty"`
	LatencyObjective  time.Duration   `json:"a,omitempty"`
	Deadline          time.Duration   `json:"d,omitempty"`
	IdempotencyWindow time.Duration   `json:"w,omitempty"`
	PriorityWeight    float64         `json:"v,omitempty"`
	LateWeight        float64         `json:"l,omitempty"`
}

func NewRules(c dispatch.Class, attempts int) *Rules {
	return &Rules{c.Effect, c.KeyScopedToZone, c.Ordered, attempts, c.LatencyObjective, c.Deadline, c.IdempotencyWindow, c.PriorityWeight, c.LateWeight}
}

// forBrain is nil where a record from before rules were written has none: then the settings decide by its class.
func (r *Rules) ForDispatcher() *dispatch.Rules {
	if r == nil {
		return nil
	}
	return &dispatch.Rules{MaxAttempts: r.MaxAttempts, Class: dispatch.Class{LatencyObjective: r.LatencyObjective, Deadline: r.Deadline, Effect: r.Effect,
		KeyScopedToZone: r.KeyScopedToZone, IdempotencyWindow: r.IdempotencyWindow, Ordered: r.Ordered, PriorityWeight: r.PriorityWeight, LateWeight: r.LateWeight}}
}

// try is an attempt of a message. One without an outcome may have run.
type Attempt struct {
	SentAt   time.Duration `json:"at"`
	Endpoint string        `json:"endpoint"`
	Zone     int           `json:"zone,omitempty"`
	NeverRan bool          `json:"never,omitempty"` // it surely never ran
}

// Ends of a message. Those that a notice tells of carry the notice's word.
const (
	OutcomeDelivered = "delivered"
	OutcomeAnswered  = "answered" // refused or failed in the answer to its client, or withdrawn
	OutcomeGivenUp   = "given_up"
	OutcomeReturned  = "handed_back"
)

// stored is a message as the journal holds it.
type Message struct {
	Record                     // of op take
	PendingOutcome      string // its end, if a notice of it is still owed
	PendingRetryAfterMS int64
	cost                int64 // what it may take in a compacted file
}

func (m *Message) apply(r *Record) {
	switch r.Op {
	case "send":
		// Where the record of an attempt before this one is damaged, it may have run, nobody knows when.
		for r.Sent != nil && len(m.Attempts) < min(r.Attempt, mostTries) {
			m.Attempts = append(m.Attempts, Attempt{})
		}
		if r.Sent != nil {
			m.Attempts = append(m.Attempts, *r.Sent)
		}
	case "end":
		if r.Attempt >= 0 && r.Attempt < len(m.Attempts) {
			m.Attempts[r.Attempt].NeverRan = r.NeverRan
		}
	case "over":
		m.PendingOutcome, m.PendingRetryAfterMS, m.Body = r.Outcome, r.RetryAfterMS, nil
	}
}

// firstRun is the first attempt that may have run.
func (m *Message) FirstRun() (Attempt, bool) {
	for _, t := range m.Attempts {
		if !t.NeverRan {
			return t, true
		}
	}
	return Attempt{}, false
}

var ErrFull = errors.New("no room in the journal")

// journal keeps what was taken on. It belongs to the loop.
type Journal struct {
	path         string
	files        FileSystem
	clock        *clock.Clock
	file         File
	budget       int64 // bytes that old and new file may hold together
	size         int64
	liveBytes    int64 // the sum of costs: an upper bound of a compacted file, now and until its messages end
	buf          bytes.Buffer
	failed       bool      // the last write failed: nothing more is written until a compaction succeeds
	compactedAt  time.Time // the last compaction
	endpointList endpointListStore
	outages      outageStore
	byID         map[string]*Message
	order        []*Message // in the order taken; ended ones are dropped when compacting

	damaged int // lines that could not be read

	// Messages that have ended lately, in two generations. A client whose connection is closed across its request writes it
	// once more, under the same id, within the time that it waits for an answer.
	ended, endedBefore idGeneration
}

// generation is the ids of messages that ended one after another, and when each did.
type idGeneration struct {
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
func (j *Journal) rememberEnded(m *Message, last *Record) {
	if last.Outcome != OutcomeAnswered && m.PendingOutcome != OutcomeReturned {
		j.rememberID(m.ID, last.At)
	}
}

func (j *Journal) rememberID(id string, at time.Duration) {
	g := &j.ended
	if g.at == nil || time.Since(g.since) > endedFor || len(g.at) >= endedMost || g.cost > j.budget/endedPart {
		j.liveBytes -= j.endedBefore.cost
		j.endedBefore, *g = *g, idGeneration{at: map[string]time.Duration{}, since: time.Now()}
	}
	if _, again := g.at[id]; !again {
		line, _ := encode(io.Discard, &Record{Op: "past", ID: id, At: at})
		g.cost += int64(line)
		j.liveBytes += int64(line)
	}
	g.at[id] = at
}

// has reports whether a message is held, or has ended lately after it was taken on.
func (j *Journal) Knows(id string) bool {
	_, now := j.ended.at[id]
	_, before := j.endedBefore.at[id]
	return j.byID[id] != nil || now || before
}

func encode(w io.Writer, rec *Record) (int, error) {
	text, err := json.Marshal(rec)
	if err != nil {
		return 0, err
	}
	return fmt.Fprintf(w, "%08x %s\n", crc32.ChecksumIEEE(text), text)
}

func (j *Journal) add(m *Message) {
	j.byID[m.ID] = m
	j.order = append(j.order, m)
	j.liveBytes += m.cost
}

func (j *Journal) remove(m *Message) {
	if j.byID[m.ID] == m {
		delete(j.byID, m.ID)
		j.liveBytes -= m.cost
		m.Body = nil
	}
}

// take writes down a message that is about to be taken on; without room for it, it does not.
func (j *Journal) Accept(rec Record) (*Message, error) {
	rec.Op = "take"
	var line bytes.Buffer
	if _, err := encode(&line, &rec); err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	m := &Message{Record: rec, cost: int64(line.Len()) + overhead}
	fits := func(size int64) bool { return size+j.liveBytes+2*m.cost <= j.budget-j.budget/slackPart }
	if !fits(j.liveBytes) && !fits(j.size+int64(j.buf.Len())) {
		return nil, ErrFull
	}
	if j.failed && time.Since(j.compactedAt) < RetryInterval {
		return nil, ErrFull
	}
	if j.failed || !fits(j.size+int64(j.buf.Len())) {
		if err := j.Compact(); err != nil {
			return nil, err
		}
	}
	j.buf.Write(line.Bytes())
	j.add(m)
	if err := j.Flush(); err != nil {
		j.remove(m)
		return nil, err
	}
	return m, nil
}

// note adds a record on a message; flush writes it.
func (j *Journal) Append(m *Message, rec Record) {
	rec.ID = m.ID
	if rec.Op == "told" || rec.Op == "over" {
		rec.At = j.clock.Now()
	}
	if _, err := encode(&j.buf, &rec); err != nil {
		j.failed = true
	}
	m.apply(&rec)
	if rec.Op == "told" || rec.Op == "over" && (rec.Outcome == OutcomeDelivered || rec.Outcome == OutcomeAnswered) {
		j.remove(m)
		j.rememberEnded(m, &rec)
	}
}

// noteList adds a record on changes of the endpoint list; flush writes it.
func (j *Journal) AppendEndpointList(version int64, changes []endpointlist.Endpoint) {
	if len(changes) == 0 {
		return
	}
	j.tookList(version, changes)
	// Of more than there is room for only the last are kept; the file need not have them either.
	kept := j.endpointList.changes[max(0, len(j.endpointList.changes)-len(changes)):]
	if _, err := encode(&j.buf, &Record{Op: "list", Version: version, Targets: kept}); err != nil {
		j.failed = true
	}
}

// noteOutages adds a record on changes of outages; flush writes it.
func (j *Journal) AppendOutages(changes []Outage) {
	if _, err := encode(&j.buf, &Record{Op: "outages", Outages: changes}); err != nil {
		j.failed = true
	}
	j.tookOutages(changes)
}

func (j *Journal) tookOutages(changes []Outage) {
	j.liveBytes -= j.outages.cost
	j.outages.note(changes)
	j.liveBytes += j.outages.cost
}

func (j *Journal) tookList(version int64, changes []endpointlist.Endpoint) {
	j.liveBytes -= j.endpointList.cost
	j.endpointList.note(version, changes)
	j.liveBytes += j.endpointList.cost
}

// flush writes what was noted. After a failed write the file may lack records, so nothing more is added
// to it: the way on is a compaction, which writes the state that they led to.
func (j *Journal) Flush() error {
	if j.buf.Len() == 0 {
		return nil
	}
	if j.failed && time.Since(j.compactedAt) < RetryInterval {
		j.buf.Reset()
		return ErrFull
	}
	if j.failed || j.size+int64(j.buf.Len())+j.liveBytes > j.budget {
		j.buf.Reset()
		return j.Compact() // it holds what was noted, too
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
func (j *Journal) Compact() error {
	err := j.rewrite()
	j.failed, j.compactedAt = err != nil, time.Now()
	if err != nil {
		j.files.Remove(j.path + ".new")
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

func (j *Journal) rewrite() error {
	f, err := j.files.OpenFile(j.path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	w := bufio.NewWriterSize(f, 1<<16)
	first, err := encode(w, &Record{Op: "clock", Clock: j.clock.Epoch()})
	if err != nil {
		f.Close()
		return err
	}
	size := int64(first)
	if len(j.endpointList.changes) > 0 {
		n, err := encode(w, &Record{Op: "list", Version: j.endpointList.version, Targets: j.endpointList.changes})
		size += int64(n)
		if err != nil {
			f.Close()
			return err
		}
	}
	if len(j.outages.outages) > 0 {
		n, err := encode(w, &Record{Op: "outages", Outages: j.outages.outages})
		size += int64(n)
		if err != nil {
			f.Close()
			return err
		}
	}
	kept := make([]*Message, 0, len(j.byID))
	for _, g := range []idGeneration{j.endedBefore, j.ended} {
		for id, at := range g.at {
			n, err := encode(w, &Record{Op: "past", ID: id, At: at})
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
		rec := m.Record
		rec.Outcome, rec.RetryAfterMS = m.PendingOutcome, m.PendingRetryAfterMS
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

func (j *Journal) Close() error {
	err := j.Flush()
	if j.file != nil {
		err = errors.Join(err, j.file.Close())
	}
	return err
}

// Failed reports whether the last write failed: nothing more is written until a compaction succeeds.
func (j *Journal) Failed() bool { return j.failed }

// DamagedLines is how many lines of the file could not be read when it was opened.
func (j *Journal) DamagedLines() int { return j.damaged }

// Messages are the messages that have not ended or whose end has not been announced, in the order in which they were
// accepted.
func (j *Journal) Messages() []*Message { return j.order }

// Message is the message with an id, nil if there is none.
func (j *Journal) Message(id string) *Message { return j.byID[id] }

// MergeEndpointList is a list of the configuration with the changes that discovery has told since.
func (j *Journal) MergeEndpointList(known endpointlist.Update) endpointlist.Update {
	return j.endpointList.applyTo(known)
}

// Outages are the outages that are known, in the order in which they were last told.
func (j *Journal) Outages() []Outage { return j.outages.outages }

// Len is the number of messages that have not ended or whose end has not been announced.
func (j *Journal) Len() int { return len(j.byID) }
