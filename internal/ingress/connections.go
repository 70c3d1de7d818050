package ingress

import (
	"container/list"
	"sync"
	"time"

	"onyxdyke.example/onyxdyke/internal/netconn"
)

// connectionState is what a connection is doing.
type connectionState int

const (
	stateIdle           connectionState = iota // without a request
	stateReceivingFirst                        // its first request has begun to arrive
	stateReceivingNext                         // a further request has begun to arrive
	stateAnswering                             // a request has been read completely and waits for its response
	stateDelayed                               // its response is held back, because it exceeds its rate
	stateResponding                            // a response is being written
	stateClosing                               // nothing more is served; its client may still read the last response
	stateCount                                 // the number of states
)

// crowdedDivisor determines when slots are scarce: if fewer than 1/crowdedDivisor of all are free.
const crowdedDivisor = 4

// connectionTable tracks the state of the clients' connections. When the last slot is taken, it evicts a connection
// (eviction.go). Otherwise peers that only hold a connection open would keep out clients that have a request to send.
type connectionTable struct {
	drained chan struct{} // receives a value whenever no request is open while draining

	mu                  sync.Mutex
	limit               int // of open
	open                int
	leaving             int // evicted connections that are still open
	conns               map[*clientConn]*trackedConn
	byState             [stateCount]list.List // the connections that may be evicted, the one longest in its state first
	isEvictionScheduled bool                  // no connection could be evicted, and a timer tries again
	isDraining          bool
}

// trackedConn is what the table knows of a connection.
type trackedConn struct {
	*clientConn
	state    connectionState
	since    time.Time     // when the state began
	isServed bool          // has had a response
	element  *list.Element // in byState; nil for a connection that has been evicted, which leaves
}

func newConnectionTable(limit int) *connectionTable {
	return &connectionTable{limit: limit, drained: make(chan struct{}, 1), conns: map[*clientConn]*trackedConn{}}
}

// enter puts a connection into a state. The caller holds the lock.
func (t *connectionTable) enter(tracked *trackedConn, state connectionState) {
	isLeaving := tracked.element == nil
	if !isLeaving {
		t.byState[tracked.state].Remove(tracked.element)
	}
	tracked.state, tracked.since = state, time.Now()
	if !isLeaving {
		tracked.element = t.byState[state].PushBack(tracked)
	}
}

// receivingState returns the state of a connection on which a request has begun to arrive.
func (c *trackedConn) receivingState() connectionState {
	if c.isServed {
		return stateReceivingNext
	}
	return stateReceivingFirst
}

// isReceiving reports whether a request has begun to arrive and is not complete.
func (c *trackedConn) isReceiving() bool {
	return c.state == stateReceivingFirst || c.state == stateReceivingNext
}

// opened records a new connection. It evicts another one if that took the last slot.
func (t *connectionTable) opened(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open++
	t.evictExcess()
	tracked := &trackedConn{clientConn: c, state: stateIdle, since: time.Now()}
	tracked.element = t.byState[stateIdle].PushBack(tracked)
	t.conns[c] = tracked
	t.reportDrained()
}

// setState records that a connection's state has changed. It has no effect on a connection that is closed.
func (t *connectionTable) setState(c *clientConn, state connectionState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if tracked := t.conns[c]; tracked != nil {
		t.enter(tracked, state)
	}
	t.reportDrained()
}

// requestBegun records that a request has begun to arrive on a connection.
func (t *connectionTable) requestBegun(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if tracked := t.conns[c]; tracked != nil && tracked.state == stateIdle {
		t.enter(tracked, tracked.receivingState())
	}
}

// requestRead records that the request on a connection has been read completely: from now on the client must get a
// response.
func (t *connectionTable) requestRead(c *clientConn) {
	c.isUnanswered.Store(true)
	c.hasBegun.Store(false) // what is read from now on is the next request
	t.setState(c, stateAnswering)
}

// responded records that a response has been written, and whether the next request has been read in part.
func (t *connectionTable) responded(c *clientConn, nextHasBegun bool) {
	c.isUnanswered.Store(false)
	c.hasBegun.Store(nextHasBegun)
	t.mu.Lock()
	defer t.mu.Unlock()
	if tracked := t.conns[c]; tracked != nil {
		tracked.isServed = true
		state := stateIdle
		if nextHasBegun {
			state = tracked.receivingState()
		}
		t.enter(tracked, state)
	}
	t.reportDrained()
}

// closed records that a connection has been closed.
func (t *connectionTable) closed(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked := t.conns[c]
	if tracked == nil {
		return
	}
	delete(t.conns, c)
	t.open--
	if tracked.element == nil {
		t.leaving--
	} else {
		t.byState[tracked.state].Remove(tracked.element)
	}
	t.reportDrained()
}

// isCrowded reports whether slots are scarce.
func (t *connectionTable) isCrowded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open >= t.limit-t.limit/crowdedDivisor
}

// all returns the connections that are open.
func (t *connectionTable) all() []*clientConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*clientConn, 0, len(t.conns))
	for c := range t.conns {
		list = append(list, c)
	}
	return list
}

// drain closes the connections that are idle after a response, gracefully, and from now on sends on drained whenever no
// request is open.
func (t *connectionTable) drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isDraining = true
	for c, tracked := range t.conns {
		if tracked.state == stateIdle && tracked.isServed && netconn.ReadWouldBlock(c) {
			c.closeGracefully(ClosedShutdown)
		}
	}
	t.reportDrained()
}

// finish returns how many connections are open while the process stops. If isLate is set, it closes those without a
// complete request, also the ones that have just been accepted. Unread bytes on an idle connection are a request, which
// will be answered, so that connection is left open.
func (t *connectionTable) finish(isLate bool) (open int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !isLate {
		return t.open
	}
	for c, tracked := range t.conns {
		switch {
		case tracked.isReceiving():
			c.abortRequest(ClosedShutdown)
		case tracked.state == stateIdle && netconn.ReadWouldBlock(c):
			c.closeGracefully(ClosedShutdown)
		}
	}
	return t.open
}

// draining reports whether drain has been called.
func (t *connectionTable) draining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isDraining
}

// hasNoRequests reports whether no request is open.
func (t *connectionTable) hasNoRequests() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open <= t.idle()
}

// idle returns the number of idle connections. The caller holds the lock.
func (t *connectionTable) idle() (count int) {
	for _, tracked := range t.conns {
		if tracked.state == stateIdle {
			count++
		}
	}
	return count
}

// reportDrained sends on drained if no request is open while draining. The caller holds the lock.
func (t *connectionTable) reportDrained() {
	if !t.isDraining || t.open > t.idle() {
		return
	}
	select {
	case t.drained <- struct{}{}:
	default:
	}
}
