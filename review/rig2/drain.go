package main

import (
	"fmt"
	"strings"
	"time"
)

// drainGrace is for how long after the news new work to a draining endpoint may continue: 500 ms, and 50 ms on sockets
// (protocol).
const drainGrace = 550 * time.Millisecond

// drainPlan is what happens to discovery before an endpoint drains.
type drainPlan struct {
	senders   int           // of the deployment
	refuseFor time.Duration // the agent answers calls for the list with 503
	pause     time.Duration // then all is well for so long
	silence   bool          // then the open watches fall silent once, just before the drain
	interval  time.Duration // between two messages
}

// playRefusedList lets an overbooked discovery refuse calls for the list for half a second. As soon as it serves again,
// it has a drain.
func playRefusedList(r *rig) ([]string, error) {
	return playDrain(r, drainPlan{senders: 48, refuseFor: 500 * time.Millisecond, interval: 80 * time.Millisecond})
}

// playSilentWatch lets discovery refuse calls for a moment. Some seconds later the open watches fall silent once, just
// before an endpoint drains.
func playSilentWatch(r *rig) ([]string, error) {
	return playDrain(r, drainPlan{
		senders: 2, refuseFor: 300 * time.Millisecond, pause: 3 * time.Second, silence: true,
		interval: 25 * time.Millisecond,
	})
}

// playDrain hands messages in for a destination with two endpoints, and lets one of them drain.
func playDrain(r *rig, plan drainPlan) ([]string, error) {
	s, endpoints, err := r.newSender(plan.senders, false, serveSoon)
	if err != nil {
		return nil, err
	}
	a := s.agent
	p, err := s.start()
	if err != nil {
		return nil, err
	}
	if err := s.waitReady(p); err != nil {
		return nil, err
	}
	clients := &clients{rec: r.rec, addr: s.addr, class: vacancyStatus, deadline: 5 * time.Second}
	stop := clients.every(plan.interval)
	time.Sleep(4 * time.Second)
	if r.trouble {
		a.refuse(true)
		time.Sleep(plan.refuseFor)
		a.refuse(false)
		time.Sleep(plan.pause)
		if plan.silence {
			a.silence()
		}
	}
	drained := endpoints[0] // the one that this sender prefers
	if len(endpoints[1].received()) > len(drained.received()) {
		drained = endpoints[1]
	}
	told := a.set(drained.entry.ID, draining)
	time.Sleep(6 * time.Second)
	stop()
	clients.sent()
	time.Sleep(time.Second)
	var found []string
	for _, c := range drained.received() {
		if after := c.begun.Sub(told); after > drainGrace {
			found = append(found, fmt.Sprintf("%s came to %s %v after the agent had its drain",
				strings.Join(c.ids, ","), drained.entry.ID, after.Round(time.Millisecond)))
		}
	}
	return found, nil
}
