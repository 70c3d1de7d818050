package main

import "time"

const (
	// protocolSlack is what the protocol lengthens every time limit by.
	protocolSlack = 50 * time.Millisecond
	// By the protocol page, a message is lost that has not ended noticeDue after its time. A later page says of a
	// request that it only earns nothing up to lostAfter. A message counts as lost here if it is lost by both.
	noticeDue = 300 * time.Millisecond
	lostAfter = 500 * time.Millisecond
)

// checkLost returns how many messages that were taken on had not ended lostAfter after their time, by a delivery or a
// notice. It judges those for which that has come.
func (w *world) checkLost() (broken, judged int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.order {
		timeUp := m.sentAt + m.deadline
		if !m.isTaken() || timeUp+lostAfter+protocolSlack > w.now() {
			continue
		}
		judged++
		at, ended := m.endAt()
		after := (at - timeUp).Round(time.Millisecond)
		switch {
		case !ended:
			broken++
			w.write("BROKEN  lost: the time of %s was up at %.3f, and it has not ended", m.id, timeUp.Seconds())
		case after > lostAfter+protocolSlack:
			broken++
			w.write("BROKEN  lost: %s ended at %.3f, %v after its time", m.id, at.Seconds(), after)
		case after > noticeDue+protocolSlack:
			w.write("late    %s ended at %.3f, %v after its time", m.id, at.Seconds(), after)
		}
	}
	return broken, judged
}

// checkConcurrent returns how many calls arrived while an earlier one with the same message was out on an open
// connection, for longer than the 50 ms by which the protocol lengthens every limit.
func (w *world) checkConcurrent() (broken, judged int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.order {
		for i, later := range m.calls {
			judged++
			for _, earlier := range m.calls[:i] {
				end := earlier.endedAt
				if end == 0 {
					end = w.now()
				}
				if both := min(end, w.callEnd(later)) - later.arrivedAt; end-later.arrivedAt > protocolSlack {
					broken++
					w.write("BROKEN  two at once: %s (%s) arrived at %s at %.3f; its call to %s of %.3f was out until "+
						"%.3f; both were out for %v", m.id, m.class, later.endpoint, later.arrivedAt.Seconds(),
						earlier.endpoint, earlier.arrivedAt.Seconds(), end.Seconds(), both.Round(time.Millisecond))
				}
			}
		}
	}
	return broken, judged
}

// callEnd returns when a call ended, now if it is out. The caller holds the lock.
func (w *world) callEnd(c *call) time.Duration {
	if c.endedAt == 0 {
		return w.now()
	}
	return c.endedAt
}
