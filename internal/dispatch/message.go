package dispatch

import (
	"slices"
	"time"
)

// message is a submitted message. It is kept until it and all its attempts have ended.
type message struct {
	Message
	class         *Class
	maxAttempts   int // 0 for no limit
	destination   *destination
	keyQueue      *keyQueue // nil if the message is not ordered
	attempts      []attempt
	inFlight      int  // attempts without a result
	closed        bool // the message has ended; attempts may still be in flight
	served        bool
	mayHaveRun    bool          // an attempt may have run
	firstRunAt    time.Duration // when the first attempt that may have run was sent
	firstRunZone  int           // the zone that this attempt was sent to
	notBefore     time.Duration // no attempt before this time (backoff after a failed one)
	connectFailed bool          // no connection could be made for its last attempt
}

// attempt is one attempt to deliver a message.
type attempt struct {
	call           *call
	timeout        time.Duration
	untilDeadline  bool    // its timeout is the message's time left, not τ (see timeoutEstimator)
	sampleWeight   float64 // weight of its latency sample, 0 if it gives none
	ended          bool
	outcomeUnknown bool // it ended by a timeout or a broken connection
}

// keyQueue holds the messages with one ordering key, in order. Only the first of them may be sent.
type keyQueue struct {
	key         uint64
	messages    []*message
	settleUntil time.Duration // an attempt of unknown outcome may still run until then
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

// lastCall returns the call of the message's last attempt.
func (m *message) lastCall() *call { return m.attempts[len(m.attempts)-1].call }

// attemptCount returns the number of attempts made, including those before a restart of the sender.
func (m *message) attemptCount() int { return m.PriorAttempts + len(m.attempts) }

// likelyRoute returns the route that m was sent to last, or the first route of its destination.
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

// recordNeverRan records that the last attempt of m never ran: m may have run only if an earlier one may
// have.
func (m *message) recordNeverRan() {
	if m.firstRunAt == m.lastCall().sentAt {
		m.mayHaveRun = false
	}
}

// isHeadOfKeyQueue reports whether m is the next message of its key, and no earlier one of the key may still
// run.
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

// joinKeyQueue adds an ordered message to the end of its key's queue.
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
		q.extendSettleTime(d.now + d.settings.OrderedKeySettleTime)
	}
}

// extendSettleTime delays the first attempts of the key's later messages until a time.
func (q *keyQueue) extendSettleTime(until time.Duration) { q.settleUntil = max(q.settleUntil, until) }

// leaveKeyQueue removes m, which has ended, from its key's queue.
func (d *Dispatcher) leaveKeyQueue(m *message) {
	if m.keyQueue == nil {
		return
	}
	m.keyQueue.messages = remove(m.keyQueue.messages, m)
	d.settlingKeyQueues = append(d.settlingKeyQueues, m.keyQueue)
}

// dropKeyQueues deletes the key queues that are empty and past their settle time.
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

// remove returns the list without x. It does not change the list that it is given.
func remove[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		return append(list[:i:i], list[i+1:]...)
	}
	return list
}
