package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// message is one message that a client handed in. Times count from the start of the run.
type message struct {
	id, class   string
	destination int
	sender      string
	sentAt      time.Duration // when the last byte of the request had been written
	deadline    time.Duration // X-Deadline-Ms
	status      int           // the sender's answer; 0 if the client has heard none
	answeredAt  time.Duration
	calls       []*call
	notices     []notice
}

// notice is a notice as the platform received it.
type notice struct {
	at      time.Duration
	outcome string
}

// call is one call as an endpoint received it. It is out from its arrival until its answer is written or its connection
// has ended.
type call struct {
	messageID, endpoint string
	arrivedAt           time.Duration
	endedAt             time.Duration // 0 while it is out
	status              int           // what was answered; 0 for nothing
}

// world holds what the stand-ins have seen, and writes the record. It is safe for concurrent use.
type world struct {
	began time.Time
	file  *os.File

	mu       sync.Mutex
	record   *bufio.Writer
	messages map[string]*message
	order    []*message
	foreign  []string          // messages of calls that no client handed in
	excused  map[string][]span // by sender
}

// span is a time in which no notice of a sender is overdue: from the SIGKILL of a restart until excuseAfterReady after
// the sender is ready again.
type span struct{ from, until time.Duration }

const (
	excuseAfterReady = 1500 * time.Millisecond
	forever          = time.Duration(1<<63 - 1)
)

func newWorld(recordPath string) (*world, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	return &world{
		began:    time.Now(),
		file:     file,
		record:   bufio.NewWriter(file),
		messages: map[string]*message{},
		excused:  map[string][]span{},
	}, nil
}

func (w *world) now() time.Duration { return time.Since(w.began) }

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.write(format, args...)
}

// write writes a line to the record. The caller holds the lock.
func (w *world) write(format string, args ...any) {
	_, _ = fmt.Fprintf(w.record, "%9.3f ", w.now().Seconds())
	_, _ = fmt.Fprintf(w.record, format+"\n", args...)
}

// close flushes the record.
func (w *world) close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.record.Flush(); err != nil {
		return err
	}
	return w.file.Close()
}

// handedIn records that the last byte of a message's request has been written.
func (w *world) handedIn(m *message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m.sentAt = w.now()
	if w.messages[m.id] == nil {
		w.messages[m.id] = m
		w.order = append(w.order, m)
	}
	w.write("client  %s sends %s class=%s dest=%d deadline=%v", m.sender, m.id, m.class, m.destination, m.deadline)
}

// answered records a sender's answer to a client.
func (w *world) answered(m *message, status int, problem string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m.status, m.answeredAt = status, w.now()
	w.write("client  %s answers %s status=%d %s", m.sender, m.id, status, problem)
}

// noticed records a notice.
func (w *world) noticed(sender, id, outcome string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.write("notice  %s %s %s", sender, id, outcome)
	if m := w.messages[id]; m != nil {
		m.notices = append(m.notices, notice{at: w.now(), outcome: outcome})
	}
}

// arrived records that a call has arrived, and returns it. It returns nil if no client handed the message in.
func (w *world) arrived(endpoint, id string, destination int) (c *call, m message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.messages[id]
	if known == nil || known.destination != destination {
		w.foreign = append(w.foreign, id)
		w.write("call    %s %s FOREIGN", endpoint, id)
		return nil, message{}
	}
	c = &call{messageID: id, endpoint: endpoint, arrivedAt: w.now()}
	out := 0
	for _, earlier := range known.calls {
		if earlier.endedAt == 0 {
			out++
		}
	}
	known.calls = append(known.calls, c)
	w.write("call    %s %s arrives, call %d, %d of the earlier ones out", endpoint, id, len(known.calls), out)
	return c, *known
}

// ended records that a call is out no more. The status is 0 if it was not answered.
func (w *world) ended(c *call, status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c.endedAt, c.status = w.now(), status
	what := fmt.Sprintf("is answered %d", status)
	if status == 0 {
		what = "ends with its connection"
	}
	w.write("call    %s %s %s", c.endpoint, c.messageID, what)
}

// restartBegins records that a sender's process is about to be killed, and restartEnds that the next one is ready.
func (w *world) restartBegins(sender string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.excused[sender] = append(w.excused[sender], span{from: w.now(), until: forever})
	w.write("trouble SIGKILL to %s", sender)
}

func (w *world) restartEnds(sender string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	spans := w.excused[sender]
	spans[len(spans)-1].until = w.now() + excuseAfterReady
	w.write("trouble %s is ready again", sender)
}

// isTaken reports whether the client has heard that its message is taken on.
func (m *message) isTaken() bool { return m.status == 200 || m.status == 202 }

// endAt returns when the message was delivered or ended by a notice, and false if it never was.
func (m *message) endAt() (time.Duration, bool) {
	var ends []time.Duration
	for _, n := range m.notices {
		ends = append(ends, n.at)
	}
	for _, c := range m.calls {
		if c.status == 200 || c.status == 410 {
			ends = append(ends, c.endedAt)
		}
	}
	if len(ends) == 0 {
		return 0, false
	}
	return slices.Min(ends), true
}
