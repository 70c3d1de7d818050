package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// shutFor is how long the destination is shut: 5.9 to 17 s (brief).
	shutFor = 6 * time.Second
	// waitGrace is how long after the answer that tells a wait calls may still arrive: 100 ms, and 50 ms on sockets
	// (protocol).
	waitGrace = 150 * time.Millisecond
)

// shutDestination is a destination that is shut for a while, and tells with each refusal when it opens.
type shutDestination struct {
	mu     sync.Mutex
	opens  time.Time // the zero time before it shuts
	toldAt time.Time // when the first refusal was about to be written
}

// shut shuts the destination for shutFor.
func (d *shutDestination) shut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.opens = time.Now().Add(shutFor)
}

// handle answers a call.
func (d *shutDestination) handle(c *call) answer {
	d.mu.Lock()
	defer d.mu.Unlock()
	left := time.Until(d.opens)
	if left <= 0 {
		return serveSoon(c)
	}
	if d.toldAt.IsZero() {
		d.toldAt = time.Now()
	}
	return answer{status: http.StatusServiceUnavailable, waitMS: int(left.Milliseconds())}
}

// playDeadSuccessor upgrades a sender. The new process is told to wait, and is killed then; the old one, which has had
// its SIGTERM at the new one's yes, serves again for the rest of its time.
func playDeadSuccessor(r *rig) ([]string, error) {
	d := &shutDestination{}
	s, endpoints, err := r.newSender(2, true, d.handle)
	if err != nil {
		return nil, err
	}
	old, err := s.start()
	if err != nil {
		return nil, err
	}
	if err := s.waitHealthy(old); err != nil {
		return nil, err
	}
	clients := &clients{rec: r.rec, addr: s.addr, class: vacancyStatus, deadline: 5 * time.Second}
	stop := clients.every(40 * time.Millisecond)
	time.Sleep(3 * time.Second)
	next, err := s.start()
	if err != nil {
		return nil, err
	}
	if err := s.waitHealthy(next); err != nil {
		return nil, err
	}
	s.signal(old, syscall.SIGTERM)
	d.shut()
	r.rec.printf("the destination is shut")
	if r.trouble {
		time.Sleep(500 * time.Millisecond)
		s.signal(next, syscall.SIGKILL)
		<-next.exited
	}
	<-old.exited
	stop()
	clients.sent()
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []string
	for _, e := range endpoints {
		for _, c := range e.received() {
			if c.at.After(d.toldAt.Add(waitGrace)) && c.at.Before(d.opens.Add(-50*time.Millisecond)) {
				found = append(found, fmt.Sprintf("%s came to %s %v after the wait was told, %v before its end",
					strings.Join(c.ids, ","), e.entry.ID, c.at.Sub(d.toldAt).Round(time.Millisecond),
					d.opens.Sub(c.at).Round(time.Millisecond)))
			}
		}
	}
	return found, nil
}
