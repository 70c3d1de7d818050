package ingress

import "sync"

// slots counts the connections that are open. Their number is limited, and the limit may change. Only one goroutine may
// call acquire.
type slots struct {
	mu      sync.Mutex
	limit   int
	used    int
	changed chan struct{} // receives a value when a slot has become free
}

func newSlots(limit int) *slots { return &slots{limit: limit, changed: make(chan struct{}, 1)} }

// acquire waits for a free slot and takes it. It returns false if closed is closed first.
func (s *slots) acquire(closed <-chan struct{}) bool {
	for !s.tryAcquire() {
		select {
		case <-s.changed:
		case <-closed:
			return false
		}
	}
	return true
}

func (s *slots) tryAcquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.used >= s.limit {
		return false
	}
	s.used++
	return true
}

// release frees a slot.
func (s *slots) release() {
	s.mu.Lock()
	s.used--
	s.mu.Unlock()
	s.signal()
}

// setLimit changes the limit. Slots in use above a lower limit stay in use until they are released.
func (s *slots) setLimit(limit int) {
	s.mu.Lock()
	s.limit = limit
	s.mu.Unlock()
	s.signal()
}

// isWithinLimit reports whether no more slots are taken than the limit allows.
func (s *slots) isWithinLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used <= s.limit
}

func (s *slots) signal() {
	select {
	case s.changed <- struct{}{}:
	default: // a signal is pending already
	}
}
