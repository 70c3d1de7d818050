package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	staleOwnerFor       = 60 * time.Second        // unless the rule is broken before
	staleOwnerUpgrades  = 1                       // after the one whose old process is killed
	staleOwnerInterval  = 350 * time.Millisecond  // from one upgrade to the next
	staleOwnerSettles   = 3800 * time.Millisecond // by then a process has ended after its SIGTERM
	staleOwnerEndpoints = 1600                    // of other destinations: 3,200 endpoints at most (FLEET)
)

// addEndpoints adds endpoints of other destinations to the list, which get no messages.
func (s *sender) addEndpoints(count int) {
	s.agent.mu.Lock()
	for n := range count {
		e := s.agent.entries[n%2]
		e.ID, e.Cell = fmt.Sprintf("t-%d", n), 1+n/2
		s.agent.entries = append(s.agent.entries, e)
	}
	s.agent.mu.Unlock()
	s.known = s.agent.known()
}

// openCalls notices a second copy of a message: a call that arrives while an earlier one with it is out on an open
// connection.
type openCalls struct {
	mu    sync.Mutex
	since map[string]time.Time
	found []string
}

// handle answers a call after the time of a slower partner system.
func (o *openCalls) handle(c *call) answer {
	id := c.ids[0]
	o.mu.Lock()
	if since, open := o.since[id]; open {
		o.found = append(o.found, fmt.Sprintf("%s came to %s while a call with it, %v old, was out", id,
			c.endpoint.entry.ID, c.at.Sub(since).Round(time.Millisecond)))
	}
	o.since[id] = c.at
	o.mu.Unlock()
	return answer{after: 300 * time.Millisecond, status: http.StatusOK, whileOpen: true, ended: func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.since, id)
	}}
}

// violations returns what has been noticed.
func (o *openCalls) violations() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string(nil), o.found...)
}

// playStaleOwner upgrades a sender several times in a row. In one of the upgrades the old process is killed, while the
// process before it is still within the time after its SIGTERM.
func playStaleOwner(r *rig) ([]string, error) {
	calls := &openCalls{since: map[string]time.Time{}}
	s, _, err := r.newSender(2, true, calls.handle)
	if err != nil {
		return nil, err
	}
	s.addEndpoints(staleOwnerEndpoints)
	current, err := s.start()
	if err != nil {
		return nil, err
	}
	if err := s.waitHealthy(current); err != nil {
		return nil, err
	}
	clients := &clients{rec: r.rec, addr: s.addr, class: vacancyStatus, deadline: 5 * time.Second}
	stop := clients.every(40 * time.Millisecond)
	time.Sleep(3 * time.Second)
	for until := time.Now().Add(staleOwnerFor); time.Now().Before(until) && len(calls.violations()) == 0; {
		for n := range 2 + staleOwnerUpgrades {
			next, err := s.start()
			if err != nil {
				return nil, err
			}
			if err := s.waitHealthy(next); err != nil {
				return nil, err
			}
			if n == 1 && r.trouble {
				s.signal(current, syscall.SIGKILL)
			} else {
				s.signal(current, syscall.SIGTERM)
			}
			current = next
			time.Sleep(staleOwnerInterval)
		}
		time.Sleep(staleOwnerSettles)
	}
	stop()
	clients.sent()
	time.Sleep(time.Second)
	return calls.violations(), nil
}
