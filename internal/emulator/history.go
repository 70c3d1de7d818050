package emulator

import (
	"sync"
	"sync/atomic"
	"time"
)

// History is everything that the stand-ins saw in a run. It is safe for concurrent use.
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
	counters          map[string]int // of the senders' own figures, summed over all processes at their end
}

// NewHistory begins a run.
func NewHistory() *History {
	h := &History{submissions: map[string]*Submission{}, counters: map[string]int{}}
	h.begin(time.Now())
	return h
}

// begin sets the time from which all others are counted.
func (h *History) begin(start time.Time) { h.start.Store(&start) }

// Now is the time since the run's start.
func (h *History) Now() time.Duration { return time.Since(*h.start.Load()) }

// RecordSubmission records a request that has been written completely.
func (h *History) RecordSubmission(s Submission) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if known := h.submissions[s.ID]; known != nil { // written again on a new connection, as the first one had ended
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

// RecordClose records that a fresh connection ended without an answer to its first request.
func (h *History) RecordClose(id string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.submissions[id]; s != nil {
		s.ConnectionClosed, s.ClosedAt, s.CloseError = true, h.Now(), err.Error()
	}
}

// RecordTimeout records that a request had no answer in the time for which its client waits.
func (h *History) RecordTimeout(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.submissions[id]; s != nil {
		s.ClientTimedOut = true
	}
}

// BeginAttempt records a call's arrival.
func (h *History) BeginAttempt(a Attempt) *Attempt {
	a.At = h.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts = append(h.attempts, &a)
	return &a
}

// AttemptEnd is how a call ended.
type AttemptEnd struct {
	Status     int  // 0 if its connection ended
	MayHaveRun bool // the endpoint did the work, or may have done it
	RetryAfter time.Duration
}

// EndAttempt records how a call ended. Only the first end counts.
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

// RecordIncarnationEvent records a phase of a sender's process.
func (h *History) RecordIncarnationEvent(sender int, phase IncarnationPhase, detail string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	event := IncarnationEvent{Sender: sender, Phase: phase, At: h.Now(), Detail: detail}
	h.incarnationEvents = append(h.incarnationEvents, event)
}

// RecordListChange records that an endpoint drains or is gone, as a sender learns it.
func (h *History) RecordListChange(c ListChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listChanges = append(h.listChanges, c)
}

// RecordBadPeer records how a bad peer fared.
func (h *History) RecordBadPeer(p BadPeer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.badPeers = append(h.badPeers, p)
}

// SetSilent records that a sender's agent falls silent, or that it answers again.
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

// RecordRefusal records a connection that a sender did not accept, at the time at which it was tried.
func (h *History) RecordRefusal(sender int, dialled time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refusals = append(h.refusals, Refusal{Sender: sender, At: dialled.Sub(*h.start.Load())})
}

// AddCounter adds to the sum of a figure that the senders report.
func (h *History) AddCounter(name string, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counters[name] += n
}
