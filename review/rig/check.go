package main

import "time"

const (
	// protocolSlack is what the protocol lengthens every time limit by.
	protocolSlack = 50 * time.Millisecond
	// By the protocol page, a message is lost that has not ended noticeDue after its time. A later page says of a
	// request that it only earns nothing up to lostAfter.
	noticeDue = 300 * time.Millisecond
	lostAfter = 500 * time.Millisecond
)

// checkLost returns how many messages that were taken on had not ended, by a delivery or a notice, a time after their
// own time was up, lengthened by the slack. It judges those for which that has come.
func (w *world) checkLost(limit time.Duration) (broken, judged int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.order {
		timeUp := m.sentAt + m.deadline
		due := w.dueTime(m, limit)
		if !m.isTaken() || due > w.now() {
			continue
		}
		judged++
		at, ended := m.endAt()
		switch {
		case !ended:
			broken++
			w.write("BROKEN  lost: %s was due at %.3f, and has not ended", m.id, due.Seconds())
		case at > due:
			broken++
			w.write("BROKEN  lost: %s was due at %.3f; it ended at %.3f, %v after its time", m.id, due.Seconds(),
				at.Seconds(), (at - timeUp).Round(time.Millisecond))
		case at > w.dueTime(m, noticeDue):
			w.write("late    %s ended at %.3f, %v after its time", m.id, at.Seconds(),
				(at - timeUp).Round(time.Millisecond))
		}
	}
	return broken, judged
}

// dueTime returns when a message has to have ended: a time after its own time is up, lengthened by the slack, but for
// the restarts of its sender. The caller holds the lock.
func (w *world) dueTime(m *message, limit time.Duration) time.Duration {
	due := m.sentAt + m.deadline + limit + protocolSlack
	for _, s := range w.excused[m.sender] {
		if s.from <= due && due < s.until {
			due = s.until
		}
	}
	return due
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
