package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"onyxdyke.example/onyxdyke/internal/netconn"
)

const (
	// EvictionGrace is how long a first request may take to arrive before its connection can be evicted.
	EvictionGrace = 20 * time.Millisecond
	// evictionCloseDelay is how long after its eviction a connection with an incomplete first request is closed, if
	// nothing else has closed it. It is longer than a process may be paused, so that the handler of a request that was
	// read meanwhile has been called.
	evictionCloseDelay = 500 * time.Millisecond

	// If the process runs out of descriptors rather than slots, there is not necessarily a flood of connections. So no
	// connection is evicted whose client may still wait for its response, which it does for 0.4 s from its request on:
	// the connection must have been open for minEvictionAge, and a request must have taken longer to arrive
	// (minPartialTime) than a process may be paused.
	minEvictionAge = 500 * time.Millisecond
	minPartialTime = 200 * time.Millisecond
)

// connectionTable tracks the state of the clients' connections. When the last slot is taken, it evicts the connection
// that has been without a request for longest, or, if all have one, the connection whose first request has been
// incomplete for longest. Otherwise peers that only hold a connection open would keep out clients that have a request
// to send.
type connectionTable struct {
	limit   int
	drained chan struct{} // receives a value whenever no request is open while draining

	mu                  sync.Mutex
	open                int
	idle                map[*clientConn]time.Time // without a request, and the time since which
	partial             map[*clientConn]time.Time // with an incomplete request, and the time since which
	served              map[*clientConn]bool      // have had a response: a further request is never evicted
	isEvictionScheduled bool                      // no connection could be evicted, and a timer tries again
	isDraining          bool
}

func newConnectionTable(limit int) *connectionTable {
	return &connectionTable{
		limit:   limit,
		drained: make(chan struct{}, 1),
		idle:    map[*clientConn]time.Time{},
		partial: map[*clientConn]time.Time{},
		served:  map[*clientConn]bool{},
	}
}

// connectionKey is the context key of the connection that a request arrived on.
type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// connectionOf returns the connection of a request, or nil if it did not come through the limitListener.
func connectionOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(connectionKey{}).(*clientConn)
	return c
}

// track records a change of a connection's state. It is the ConnState callback of net/http.
func (t *connectionTable) track(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*clientConn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		t.open++
		t.evict()
		t.idle[c] = time.Now()
	case http.StateIdle:
		t.served[c] = true
		delete(t.partial, c)
		if c.hasBegun.Load() { // a part of the next request was read together with the answered one
			t.partial[c] = time.Now()
		} else {
			t.idle[c] = time.Now()
		}
		c.isUnanswered.Store(false)
		c.hasHandler.Store(false)
	case http.StateActive:
		delete(t.idle, c)
		if _, hasBegun := t.partial[c]; !hasBegun {
			t.partial[c] = time.Now()
		}
	case http.StateClosed, http.StateHijacked:
		t.open--
		delete(t.idle, c)
		delete(t.partial, c)
		delete(t.served, c)
	}
	t.reportDrained()
}

// requestBegun records that a request has begun to arrive on a connection. net/http reports that (StateActive) only
// when it has read the complete head.
func (t *connectionTable) requestBegun(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, isIdle := t.idle[c]; isIdle {
		delete(t.idle, c)
		t.partial[c] = time.Now()
	}
}

// requestRead records that the request on a connection has been read completely: from now on the client must get a
// response. c may be nil.
func (t *connectionTable) requestRead(c *clientConn) {
	if c == nil {
		return
	}
	c.isUnanswered.Store(true)
	c.hasBegun.Store(false) // what is read from now on is the next request
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.partial, c)
}

// drain closes the connections that are idle after a response, gracefully, and from now on sends on drained whenever no
// request is open.
func (t *connectionTable) drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isDraining = true
	for c := range t.idle {
		if t.served[c] && netconn.ReadWouldBlock(c) {
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
	if isLate {
		for c := range t.idle {
			if netconn.ReadWouldBlock(c) {
				c.closeGracefully(ClosedShutdown)
			}
		}
		for c := range t.partial {
			c.abortRequest(ClosedShutdown)
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
	return t.open <= len(t.idle)
}

// reportDrained sends on drained if no request is open while draining. The caller holds the lock.
func (t *connectionTable) reportDrained() {
	if !t.isDraining || t.open > len(t.idle) {
		return
	}
	select {
	case t.drained <- struct{}{}:
	default:
	}
}

// evict evicts a connection if all slots are taken. The caller holds the lock.
func (t *connectionTable) evict() {
	if t.open < t.limit || t.evictIdle(0) || t.evictPartial(0, EvictionGrace) || t.isEvictionScheduled {
		return
	}
	// All remaining requests have only just begun. No further connection is accepted until a slot is free, so no other
	// event would cause another attempt.
	t.isEvictionScheduled = true
	time.AfterFunc(EvictionGrace, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.isEvictionScheduled = false; t.open >= t.limit && !t.evictPartial(0, EvictionGrace) {
			t.evict()
		}
	})
}

// evictForDescriptor evicts a connection so that another one can use its descriptor, and reports whether there was one
// to evict. A connection's age includes its time in the listener's queue: during a flood peers can be evicted as soon
// as they are accepted.
func (t *connectionTable) evictForDescriptor() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evictIdle(minEvictionAge) || t.evictPartial(minEvictionAge, minPartialTime)
}

// evictIdle evicts the connection that has been idle for longest, among those that have been open for minAge, and
// reports whether there was one. A connection with unread bytes has a request, so it is not evicted. The caller holds
// the lock.
func (t *connectionTable) evictIdle(minAge time.Duration) bool {
	openedBefore := time.Now().Add(-minAge)
	for checked := map[*clientConn]bool{}; ; {
		var oldest *clientConn
		for c, since := range t.idle {
			isCandidate := !checked[c] && !c.openedAt.After(openedBefore)
			if isCandidate && (oldest == nil || since.Before(t.idle[oldest])) {
				oldest = c
			}
		}
		switch {
		case oldest == nil:
			return false
		case netconn.ReadWouldBlock(oldest): // nearly always true for the first candidate
			delete(t.idle, oldest)
			oldest.closeGracefully(ClosedEvictedIdle)
			return true
		}
		checked[oldest] = true
	}
}

// evictPartial evicts the connection whose first request has been incomplete for longest, if that is at least minTime,
// among those that have been open for minAge, and reports whether there was one. Its client gets an error response and
// a moment to read it, but no longer, because the slot is needed. If the rest of the request has been read just now, it
// is answered like any other request. The caller holds the lock.
func (t *connectionTable) evictPartial(minAge, minTime time.Duration) bool {
	openedBefore := time.Now().Add(-minAge)
	var oldest *clientConn
	for c, since := range t.partial {
		isOld := !t.served[c] && time.Since(since) >= minTime && !c.openedAt.After(openedBefore)
		if isOld && (oldest == nil || since.Before(t.partial[oldest])) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	delete(t.partial, oldest)
	oldest.abortRequest(ClosedEvictedPartial)
	time.AfterFunc(evictionCloseDelay, func() {
		if !oldest.isUnanswered.Load() && !oldest.hasHandler.Load() {
			_ = oldest.Close() // net/http may have closed it meanwhile
		}
	})
	return true
}
