package emulator

import (
	"sync"
	"sync/atomic"
	"time"
)

// History holds everything that the stand-ins observed in a run. It is safe for concurrent use.
type History struct {
	start atomic.Pointer[time.Time]

	mu                sync.Mutex
	submissions       map[string]*Submission
	attempts          []*Attempt // in order of arrival
	notices           []Notice
	incarnationEvents []IncarnationEvent
	listChanges       []ListChange
	badPeers          []BadPeer
	refusals          []Refusal
	silences          []Silence
	counters          map[string]int // sums of the senders' own metrics, read at the end of the run
}

// NewHistory returns an empty history whose times count from now.
func NewHistory() *History {
	h := &History{submissions: map[string]*Submission{}, counters: map[string]int{}}
	h.begin(time.Now())
	return h
}

// begin sets the start of the run, from which all times are counted.
func (h *History) begin(start time.Time) { h.start.Store(&start) }

// Now returns the time since the run's start.
func (h *History) Now() time.Duration { return time.Since(*h.start.Load()) }

// RecordSubmission records a request whose last part is about to be written.
func (h *History) RecordSubmission(s Submission) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if known := h.submissions[s.ID]; known != nil { // written again on a new connection, as the first one was closed
		known.FreshConnection = s.FreshConnection
		return
	}
	h.submissions[s.ID] = &s
}

// RecordAnswer records how a request was answered.
func (h *History) RecordAnswer(id string, status int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.submissions[id]; s != nil {
		s.Status = status
	}
}

// RecordClose records that a fresh connection was closed without an answer to its first request.
func (h *History) RecordClose(id string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.submissions[id]; s != nil {
		s.ConnectionClosed, s.ClosedAt, s.CloseError = true, h.Now(), err.Error()
	}
}

// RecordTimeout records that a request got no answer before its client's timeout.
func (h *History) RecordTimeout(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.submissions[id]; s != nil {
		s.ClientTimedOut = true
	}
}

// BeginAttempt records the arrival of an attempt, and returns it for EndAttempt.
func (h *History) BeginAttempt(a Attempt) *Attempt {
	a.At = h.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts = append(h.attempts, &a)
	return &a
}

// AttemptEnd describes how an attempt ended.
type AttemptEnd struct {
	Status     int  // of the answer; 0 if there was none
	MayHaveRun bool // the endpoint did the work, or may have done it
	RetryAfter time.Duration
}

// EndAttempt records how an attempt ended. Only the first end of an attempt is kept.
func (h *History) EndAttempt(a *Attempt, end AttemptEnd) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a.EndedAt == 0 {
		a.EndedAt, a.Status, a.MayHaveRun, a.RetryAfter = h.Now(), end.Status, end.MayHaveRun, end.RetryAfter
	}
}

// RecordNotice records a notice.
func (h *History) RecordNotice(n Notice) {
	n.At = h.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notices = append(h.notices, n)
}

// RecordIncarnationEvent records that a sender's process has reached a phase.
func (h *History) RecordIncarnationEvent(sender int, phase IncarnationPhase, detail string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	event := IncarnationEvent{Sender: sender, Phase: phase, At: h.Now(), Detail: detail}
	h.incarnationEvents = append(h.incarnationEvents, event)
}

// RecordListChange records from when on a sender has to honour that an endpoint drains or is deleted.
func (h *History) RecordListChange(c ListChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listChanges = append(h.listChanges, c)
}

// RecordBadPeer records when a bad peer connected and when it was released.
func (h *History) RecordBadPeer(p BadPeer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.badPeers = append(h.badPeers, p)
}

// SetSilent records that a sender's agent becomes silent, or that it answers again.
func (h *History) SetSilent(sender int, silent bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if silent {
		h.silences = append(h.silences, Silence{Sender: sender, From: h.Now()})
		return
	}
	for i := range h.silences {
		if s := &h.silences[i]; s.Sender == sender && s.Until == 0 {
			s.Until = h.Now()
		}
	}
}

// RecordRefusal records a connection that a sender did not accept, with the time at which it was dialled.
func (h *History) RecordRefusal(sender int, dialled time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refusals = append(h.refusals, Refusal{Sender: sender, At: dialled.Sub(*h.start.Load())})
}

// AddCounter adds to the sum of a metric that the senders report.
func (h *History) AddCounter(name string, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counters[name] += n
}
