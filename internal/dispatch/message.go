package dispatch

import (
	"slices"
	"time"
)

// message is a submitted message, until it and all its attempts have ended.
type message struct {
	Message
	class         *Class
	maxAttempts   int // 0 for no bound
	destination   *destination
	keyQueue      *keyQueue // nil if it is not ordered
	attempts      []attempt
	inFlight      int  // attempts without a result
	closed        bool // it has ended; attempts may still be in flight
	served        bool
	mayHaveRun    bool          // an attempt may have run
	firstRunAt    time.Duration // when the first that may have run was sent
	firstRunZone  int           // the zone that it was sent to
	notBefore     time.Duration // backoff after a failed attempt
	connectFailed bool          // its last attempt found no place for a connection
}

// attempt is one attempt to deliver a message.
type attempt struct {
	call           *call
	timeout        time.Duration
	untilDeadline  bool    // its timeout is the message's time left, not τ
	sampleWeight   float64 // weight of its latency sample, 0 if it gives none
	ended          bool
	outcomeUnknown bool // it ended by a timeout or a broken connection
}

// keyQueue is the order of the messages with one key. Only the first of them may be sent.
type keyQueue struct {
	key         uint64
	messages    []*message
	settleUntil time.Duration // until then an attempt of unknown outcome may still run
}

// call is one call in flight to an endpoint. Several messages may share it.
type call struct {
	route          *route
	endpoint       *endpoint
	messages       []*message
	sentAt         time.Duration
	connectionIdle time.Duration // how long its connection had been idle, 0 for a new one
	pendingResults int           // messages without a result
	isProbe        bool          // sent during an outage
	healthRecorded bool          // its outcome has been recorded with its route and endpoint
	cancelled      bool
}

// lastCall is the call of the message's last attempt.
func (m *message) lastCall() *call { return m.attempts[len(m.attempts)-1].call }

// attemptCount counts the attempts made, those before a restart included.
func (m *message) attemptCount() int { return m.PriorAttempts + len(m.attempts) }

// likelyRoute is the route that m was sent to last, or the first of its destination.
func (m *message) likelyRoute() *route {
	if len(m.attempts) > 0 {
		return m.lastCall().route
	}
	if shared := m.destination.shared; shared != nil {
		return shared
	}
	if len(m.destination.endpoints) == 0 {
		return &route{}
	}
	return m.destination.endpoints[0].route
}

// recordNeverRan takes back that m may have run, if only its last attempt could have.
func (m *message) recordNeverRan() {
	if m.firstRunAt == m.lastCall().sentAt {
		m.mayHaveRun = false
	}
}

// isHeadOfKeyQueue reports whether no other message of m's key goes first.
func (d *Dispatcher) isHeadOfKeyQueue(m *message) bool {
	q := m.keyQueue
	if q == nil {
		return true
	}
	if q.messages[0] != m {
		return false
	}
	if d.now < q.settleUntil && len(m.attempts) == 0 {
		d.wakeAt(q.settleUntil)
		return false
	}
	return true
}

// joinKeyQueue puts an ordered message at the end of its key's queue.
func (d *Dispatcher) joinKeyQueue(m *message) {
	if !m.class.Ordered || m.Key == 0 {
		return
	}
	q := d.keyQueues[m.Key]
	if q == nil {
		q = &keyQueue{key: m.Key}
		d.keyQueues[m.Key] = q
	}
	m.keyQueue = q
	q.messages = append(q.messages, m)
	if m.mayHaveRun { // an attempt from before a restart may still run
		q.settle(d.now + d.settings.OrderedKeySettleTime)
	}
}

// settle keeps later messages of the key back until a time.
func (q *keyQueue) settle(until time.Duration) { q.settleUntil = max(q.settleUntil, until) }

// leaveKeyQueue takes m, which has ended, out of its key's queue.
func (d *Dispatcher) leaveKeyQueue(m *message) {
	if m.keyQueue == nil {
		return
	}
	m.keyQueue.messages = remove(m.keyQueue.messages, m)
	d.settlingKeyQueues = append(d.settlingKeyQueues, m.keyQueue)
}

// dropKeyQueues forgets the key queues that are empty and have settled.
func (d *Dispatcher) dropKeyQueues() {
	for len(d.settlingKeyQueues) > 0 {
		q := d.settlingKeyQueues[0]
		if len(q.messages) == 0 && q.settleUntil > d.now {
			return
		}
		if len(q.messages) == 0 {
			delete(d.keyQueues, q.key)
		}
		d.settlingKeyQueues = d.settlingKeyQueues[1:]
	}
}

// remove returns the list without x. The given list stays as it is.
func remove[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		return append(list[:i:i], list[i+1:]...)
	}
	return list
}
