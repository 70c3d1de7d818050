package ingress

import (
	"time"

	"onyxdyke.example/onyxdyke/internal/netconn"
)

const (
	// EvictionGrace is how long a first request may take to arrive before its connection can be evicted.
	EvictionGrace = 20 * time.Millisecond

	// If the process runs out of descriptors rather than slots, there is not necessarily a flood of connections. So no
	// connection is evicted whose client may still wait for its response, which it does for 0.4 s from its request on:
	// the connection must have been open for minEvictionAge, and a request must have taken longer to arrive
	// (minPartialTime) than a process may be paused.
	minEvictionAge = 500 * time.Millisecond
	minPartialTime = 200 * time.Millisecond

	// servedEvictionGrace is how long a further request of a peer that has had a response may take to arrive, or a
	// response to be written, before the connection can be evicted.
	servedEvictionGrace = 50 * time.Millisecond

	// headroomDivisor determines how many slots an eviction frees at most: 1/headroomDivisor of all.
	headroomDivisor = 16

	// maxIdleChecks is how many idle connections are checked for unread bytes before an eviction gives up.
	maxIdleChecks = 16
)

// setLimit changes how many connections may be open, and evicts those in excess as soon as they can be.
func (t *connectionTable) setLimit(limit int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = limit
	if t.open > limit {
		t.evictExcess()
	}
}

// evictExcess evicts connections until a slot will be free once those that were evicted have closed. If there are peers
// that hold up others, it makes room for several connections: during a flood one at a time would free slots more slowly
// than clients arrive. The caller holds the lock.
func (t *connectionTable) evictExcess() {
	hasIdle := true
	for t.open-t.leaving >= t.limit {
		if t.evictHindering() {
			continue
		}
		hasIdle = t.evictIdle(0)
		if !hasIdle && !t.evictIncomplete() {
			t.scheduleEviction()
			return
		}
	}
	for headroom := t.limit / headroomDivisor; !hasIdle && t.open-t.leaving >= t.limit-headroom; {
		if !t.evictHindering() && !t.evictIncomplete() {
			return
		}
	}
}

// scheduleEviction tries again after EvictionGrace to evict those in excess. No further connection is accepted until a
// slot is free, so no other event would cause another attempt. An incomplete request comes before an idle connection
// then, which may be the one that has just been accepted. The caller holds the lock.
func (t *connectionTable) scheduleEviction() {
	if t.isEvictionScheduled {
		return
	}
	t.isEvictionScheduled = true
	time.AfterFunc(EvictionGrace, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.isEvictionScheduled = false
		if t.open-t.leaving >= t.limit {
			t.evictReceiving(stateReceivingFirst, 0, EvictionGrace)
		}
		t.evictExcess()
	})
}

// evictHindering evicts a connection whose peer holds up others, and reports whether there was one: one that only waits
// for its client to read the last response, or one that exceeds its rate. The caller holds the lock.
func (t *connectionTable) evictHindering() bool { return t.evictClosing() || t.evictDelayed() }

// evictIncomplete evicts a connection whose request or response is incomplete, and reports whether there was one: one
// whose first request arrives, then one whose peer does not read its response, and last one with a further request of
// its client. The caller holds the lock.
func (t *connectionTable) evictIncomplete() bool {
	return t.evictReceiving(stateReceivingFirst, 0, EvictionGrace) ||
		t.evictBlocked() ||
		t.evictReceiving(stateReceivingNext, 0, servedEvictionGrace)
}

// evictForDescriptor evicts a connection so that another one can use its descriptor, and reports whether there was one
// to evict. A connection's age includes its time in the listener's queue: during a flood peers can be evicted as soon
// as they are accepted.
func (t *connectionTable) evictForDescriptor() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evictIdle(minEvictionAge) || t.evictReceiving(stateReceivingFirst, minEvictionAge, minPartialTime)
}

// evictForMemory evicts connections with incomplete requests, the one that began first before the others, until those
// that were evicted hold at least bytes.
func (t *connectionTable) evictForMemory(bytes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, tracked := range t.conns {
		if tracked.element == nil {
			bytes -= c.heldMemory.Load()
		}
	}
	bytes = t.evictHolders(stateReceivingFirst, EvictionGrace, bytes)
	t.evictHolders(stateReceivingNext, servedEvictionGrace, bytes)
}

// evictHolders evicts connections that hold memory and have been in a state for at least grace, until they hold at
// least bytes. It returns how many bytes are still missing. The caller holds the lock.
func (t *connectionTable) evictHolders(state connectionState, grace time.Duration, bytes int64) (missing int64) {
	for element := t.byState[state].Front(); element != nil && bytes > 0; {
		tracked := element.Value.(*trackedConn)
		element = element.Next()
		if time.Since(tracked.since) < grace {
			break
		}
		if held := tracked.heldMemory.Load(); held > 0 {
			bytes -= held
			t.evictConn(tracked, ClosedEvictedPartial, tracked.abortRequest)
		}
	}
	return bytes
}

// longestIn returns the connection that has been in a state for longest, among those that have not been evicted, if
// that is at least minTime; nil if there is none. The caller holds the lock.
func (t *connectionTable) longestIn(state connectionState, minTime time.Duration) *trackedConn {
	front := t.byState[state].Front()
	if front == nil {
		return nil
	}
	if tracked := front.Value.(*trackedConn); time.Since(tracked.since) >= minTime {
		return tracked
	}
	return nil
}

// evictConn evicts a connection, which closeConn makes its goroutine close. The caller holds the lock.
func (t *connectionTable) evictConn(tracked *trackedConn, reason string, closeConn func(reason string)) {
	t.byState[tracked.state].Remove(tracked.element)
	tracked.element = nil
	t.leaving++
	tracked.isEvicted.Store(true)
	closeConn(reason)
}

// evictClosing evicts a connection that waits for its client to read the last response.
func (t *connectionTable) evictClosing() bool {
	tracked := t.longestIn(stateClosing, EvictionGrace)
	if tracked != nil {
		t.evictConn(tracked, ClosedOther, tracked.cutOff)
	}
	return tracked != nil
}

// evictDelayed evicts a connection that exceeds its rate. Its client gets the response that is held back.
func (t *connectionTable) evictDelayed() bool {
	tracked := t.longestIn(stateDelayed, 0)
	if tracked != nil {
		t.evictConn(tracked, ClosedEvicted, tracked.dropUnread)
	}
	return tracked != nil
}

// evictBlocked evicts a connection whose peer does not read its response.
func (t *connectionTable) evictBlocked() bool {
	tracked := t.longestIn(stateResponding, servedEvictionGrace)
	if tracked != nil {
		t.evictConn(tracked, ClosedEvicted, tracked.cutOff)
	}
	return tracked != nil
}

// evictIdle evicts the connection that has been idle for longest, among those that have been open for minAge, and
// reports whether there was one. A connection with unread bytes has a request, so it is not evicted. It looks at
// maxIdleChecks connections at most. The caller holds the lock.
func (t *connectionTable) evictIdle(minAge time.Duration) bool {
	openedBefore := time.Now().Add(-minAge)
	element := t.byState[stateIdle].Front()
	for checks := 0; element != nil && checks < maxIdleChecks; element = element.Next() {
		tracked := element.Value.(*trackedConn)
		if tracked.openedAt.After(openedBefore) {
			continue
		}
		checks++
		if netconn.ReadWouldBlock(tracked) { // nearly always true for the first candidate
			t.evictConn(tracked, ClosedEvicted, tracked.closeGracefully)
			return true
		}
	}
	return false
}

// evictReceiving evicts the connection whose request has been incomplete for longest, if that is at least minTime,
// among those in a state that have been open for minAge, and reports whether there was one. The client gets an error
// response and a moment to read it, but no longer, because the slot is needed. If the rest of the request has been read
// just now, it is answered like any other request. The caller holds the lock.
func (t *connectionTable) evictReceiving(state connectionState, minAge, minTime time.Duration) bool {
	openedBefore := time.Now().Add(-minAge)
	for element := t.byState[state].Front(); element != nil; element = element.Next() {
		tracked := element.Value.(*trackedConn)
		if time.Since(tracked.since) < minTime {
			return false
		}
		if !tracked.openedAt.After(openedBefore) {
			t.evictConn(tracked, ClosedEvictedPartial, tracked.abortRequest)
			return true
		}
	}
	return false
}
