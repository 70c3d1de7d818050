package emulator

import (
	"sync"
	"sync/atomic"
	"time"
)

// Effect is what a repeat of a message does.
type Effect int

// The effects of the classes that the emulator uses.
const (
	Idempotent Effect = iota
	IdempotentByKey
	NonIdempotent
)

var classNames = [...]string{Idempotent: "safe", IdempotentByKey: "keyed", NonIdempotent: "unsafe"}

func (e Effect) String() string { return classNames[e] }

// Submission is one occasion on which a client hands in a message. Times are counted from the run's start.
type Submission struct {
	ID          string
	Key         string // of the message: it stays when the message is handed in again
	Effect      Effect
	Destination int
	Sender      int
	SentAt      time.Duration // its last byte was written
	FreshConnection       bool          // on a new connection
	DeliveryTimeout    time.Duration // until when it may be delivered
	Status      int           // of the answer, 0 for none
	AnsweredAt  time.Duration
	ConnectionClosed      bool // its connection, a fresh one, ended without an answer while the client still waited
	ClosedAt    time.Duration
	ClientTimedOut    bool // its client stopped waiting
	CloseError  string
}

// Attempt is one call for one message as an endpoint got it.
type Attempt struct {
	ID          string
	Endpoint    string
	Destination int
	Sender      int
	Body        string
	Call        uint64        // at this endpoint; attempts that travel together share it
	At          time.Duration // its last byte arrived
	ConnectDelay     time.Duration // its link kept its first byte back for so long, as if the connection came up late
	EndedAt     time.Duration // it was answered or its connection ended; 0 while it is out
	Status      int           // of the answer, 0 for none
	MayHaveRun      bool          // the endpoint did the work, or may have
	RetryAfter        time.Duration // told with the answer
}

// sentAt is when its sender began to write the call.
func (a *Attempt) sentAt() time.Duration { return a.At - a.ConnectDelay }

// mayHaveRun reports whether the endpoint did the work of a call, or may have, or may yet.
func (a *Attempt) mayTakeEffect() bool { return a.MayHaveRun || a.EndedAt == 0 }

// Notice is what the platform was told of a message.
type Notice struct {
	ID      string
	Outcome string
	Sender  int
	At      time.Duration
}

// LifeEvent is a step in the life of a sender's process.
type IncarnationPhase string

// The steps of a process.
const (
	Started    IncarnationPhase = "started"
	Ready      IncarnationPhase = "ready"
	Terminated IncarnationPhase = "terminated" // SIGTERM was sent
	Killed     IncarnationPhase = "killed"     // SIGKILL was sent
	Exited     IncarnationPhase = "exited"
)

// Life is one step of one sender.
type IncarnationEvent struct {
	Sender int
	Phase  IncarnationPhase
	At     time.Duration
	Detail string
}

// ListChange is when a sender was told that an endpoint takes nothing new any more.
type ListChange struct {
	Sender   int
	Endpoint string
	EffectiveAt   time.Duration
}

// BadPeer is a peer that sent something that is no request.
type BadPeer struct {
	Sender   int
	Kind     string
	OpenedAt time.Duration
	ReleasedAt   time.Duration // it got an error or its connection was closed; 0 for neither
}

// Refusal is a connection that a sender did not take.
type Refusal struct {
	Sender int
	At     time.Duration
}

// Silence is a span in which a sender's agent says nothing; Until is 0 while it lasts.
type Silence struct {
	Sender      int
	From, Until time.Duration
}

// Ledger is everything that the stand-ins saw in a run. It is safe for concurrent use.
type History struct {
	start atomic.Pointer[time.Time]

	mu          sync.Mutex
	submissions map[string]*Submission
	attempts    []*Attempt
	notices     []Notice
	incarnationEvents       []IncarnationEvent
	listChanges     []ListChange
	badPeers    []BadPeer
	refusals    []Refusal
	silences    []Silence
	counters    map[string]int // of the senders' own figures, summed over all processes at their end
}

// NewLedger begins a run.
func NewHistory() *History {
	l := &History{submissions: map[string]*Submission{}, counters: map[string]int{}}
	l.begin(time.Now())
	return l
}

// begin sets the time from which all others are counted.
func (l *History) begin(start time.Time) { l.start.Store(&start) }

// Now is the time since the run's start.
func (l *History) Now() time.Duration { return time.Since(*l.start.Load()) }

// Submit books a request that has been written whole.
func (l *History) RecordSubmission(s Submission) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.submissions[s.ID]; known != nil { // written once more on a new connection, as the first one had ended
		known.FreshConnection = s.FreshConnection
		return
	}
	l.submissions[s.ID] = &s
}

// Answer books how a request was answered.
func (l *History) RecordAnswer(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.submissions[id]; s != nil {
		s.Status, s.AnsweredAt = status, l.Now()
	}
}

// Close books that a fresh connection ended without an answer to its first request.
func (l *History) RecordClose(id string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.submissions[id]; s != nil {
		s.ConnectionClosed, s.ClosedAt, s.CloseError = true, l.Now(), err.Error()
	}
}

// TimeOut books that a request had no answer in the time that its client waits.
func (l *History) RecordTimeout(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.submissions[id]; s != nil {
		s.ClientTimedOut = true
	}
}

// Begin books a call's arrival.
func (l *History) BeginAttempt(a Attempt) *Attempt {
	a.At = l.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, &a)
	return &a
}

// End books how a call ended; status 0 stands for a connection that ended.
func (l *History) EndAttempt(a *Attempt, status int, mayRun bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.EndedAt == 0 {
		a.EndedAt, a.Status, a.MayHaveRun, a.RetryAfter = l.Now(), status, mayRun, wait
	}
}

// Tell books a notice.
func (l *History) RecordNotice(n Notice) {
	n.At = l.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notices = append(l.notices, n)
}

// Live books a step of a process.
func (l *History) RecordIncarnationEvent(sender int, event IncarnationPhase, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.incarnationEvents = append(l.incarnationEvents, IncarnationEvent{sender, event, l.Now(), detail})
}

// Change books that an endpoint drains or is gone, as told to a sender.
func (l *History) RecordListChange(c ListChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listChanges = append(l.listChanges, c)
}

// Peer books how a bad peer fared.
func (l *History) RecordBadPeer(p BadPeer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.badPeers = append(l.badPeers, p)
}

// Silence books that a sender's agent says nothing, or that it speaks again.
func (l *History) SetSilent(sender int, silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if silent {
		l.silences = append(l.silences, Silence{Sender: sender, From: l.Now()})
		return
	}
	for i := range l.silences {
		if s := &l.silences[i]; s.Sender == sender && s.Until == 0 {
			s.Until = l.Now()
		}
	}
}

// Refuse books a connection that a sender did not take, at the time at which it was tried.
func (l *History) RecordRefusal(sender int, dialled time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusals = append(l.refusals, Refusal{sender, dialled.Sub(*l.start.Load())})
}

// Count adds to the sum of a figure that a sender reports.
func (l *History) AddCounter(name string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters[name] += n
}
