package main

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// endLateness is how long after its time a message may end: 300 ms, and 50 ms on sockets (protocol).
	endLateness = 350 * time.Millisecond
	// restartAfter is the time from a SIGKILL to the next start (protocol).
	restartAfter = 600 * time.Millisecond
	// hangFor is how long the destination hangs: 8.8 to 22 s (brief).
	hangFor = 9500 * time.Millisecond

	lateAcceptRounds   = 4
	lateAcceptInterval = 20 * time.Millisecond // between two messages
)

// playLateAccept restarts a sender by SIGKILL while the platform holds the clients' socket, and a destination hangs
// meanwhile. Clients go on handing in messages; those that are answered 202 have to end in time.
func playLateAccept(r *rig) ([]string, error) {
	var hanging atomic.Bool
	s, endpoints, err := r.newSender(2, true, func(c *call) answer {
		if hanging.Load() {
			return answer{never: true}
		}
		return serveSoon(c)
	})
	if err != nil {
		return nil, err
	}
	s.settings["limits"].(map[string]any)["mostHeld"] = 175 // 3.5 s of 50 messages a second
	p, err := s.start()
	if err != nil {
		return nil, err
	}
	if err := s.waitHealthy(p); err != nil {
		return nil, err
	}
	clients := &clients{rec: r.rec, addr: s.addr, class: vacancyStatus, deadline: 5 * time.Second}
	for range lateAcceptRounds {
		began := time.Now()
		stop := clients.every(lateAcceptInterval)
		if r.trouble {
			hanging.Store(true)
			r.rec.printf("endpoint s-0 hangs")
			s.signal(p, syscall.SIGKILL)
			<-p.exited
			time.Sleep(time.Until(began.Add(restartAfter)))
			if p, err = s.start(); err != nil {
				return nil, err
			}
		}
		err = s.waitHealthy(p)
		time.Sleep(max(300*time.Millisecond, time.Until(began.Add(restartAfter))))
		stop()
		if err != nil {
			return nil, err
		}
		time.Sleep(time.Until(began.Add(hangFor)))
		hanging.Store(false)
		time.Sleep(2 * time.Second)
	}
	return lateEnds(clients.sent(), s.agent, endpoints), nil
}

// lateEnds returns the messages that were taken on and have not ended in time.
func lateEnds(all []*message, a *agent, endpoints []*endpoint) []string {
	var found []string
	for _, m := range all {
		if !m.takenOn() {
			continue
		}
		due := m.sentAt.Add(m.deadline + endLateness)
		isDelivered := slices.ContainsFunc(endpoints, func(e *endpoint) bool {
			at, ok := e.deliveredAt(m.id)
			return ok && !at.After(due)
		})
		if isDelivered {
			continue
		}
		n, ok := a.noticeOf(m.id)
		switch {
		case !ok:
			found = append(found, fmt.Sprintf("%s was taken on, and has no end", m.id))
		case n.at.After(due):
			found = append(found, fmt.Sprintf("%s was answered 202 %v after it was sent, and ended by a notice "+
				"%v after its time was up", m.id, m.answeredAt.Sub(m.sentAt).Round(time.Millisecond),
				n.at.Sub(m.sentAt.Add(m.deadline)).Round(time.Millisecond)))
		}
	}
	return found
}

// clients hand messages in, each on a new connection.
type clients struct {
	rec      *recorder
	addr     string
	class    string
	deadline time.Duration
	body     string

	mu   sync.Mutex
	all  []*message
	open group
}

// every hands in a message at each interval, until the function that it returns is called.
func (c *clients) every(interval time.Duration) (stop func()) {
	stopped := make(chan struct{})
	ticker := time.NewTicker(interval)
	c.open.run(func() {
		for {
			select {
			case <-ticker.C:
				c.submit()
			case <-stopped:
				return
			}
		}
	})
	return func() {
		ticker.Stop()
		close(stopped)
	}
}

// submit hands in a message.
func (c *clients) submit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := fmt.Sprintf("m%d", len(c.all)+1)
	m := &message{id: id, key: "k-" + id, class: c.class, deadline: c.deadline, body: c.body}
	c.all = append(c.all, m)
	c.open.run(func() { m.submit(c.rec, c.addr) })
}

// sent returns all messages, once their clients have heard or given up.
func (c *clients) sent() []*message {
	c.open.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.all
}
