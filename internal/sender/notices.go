package sender

import (
	"slices"

	"onyxdyke.example/onyxdyke/internal/discovery"
	"onyxdyke.example/onyxdyke/internal/journal"
)

// noticeQueue holds the notices that discovery has not accepted yet. One batch is delivered at a time.
type noticeQueue struct {
	pending    []discovery.Notice
	delivering bool                    // a batch is being delivered
	batches    chan []discovery.Notice // to the goroutine that delivers them
}

func newNoticeQueue() *noticeQueue {
	return &noticeQueue{batches: make(chan []discovery.Notice, 1)}
}

func (q *noticeQueue) add(n discovery.Notice) { q.pending = append(q.pending, n) }

// deliver starts the delivery of the next batch, unless one is being delivered.
func (q *noticeQueue) deliver() {
	if q.delivering || len(q.pending) == 0 {
		return
	}
	q.delivering = true
	batch := q.pending[:min(len(q.pending), discovery.MaxNoticeBatch)]
	q.batches <- slices.Clone(batch) // the queue changes while the batch is being delivered
}

// remove removes the notices of these messages.
func (q *noticeQueue) remove(delivered map[string]bool) {
	q.pending = slices.DeleteFunc(q.pending, func(n discovery.Notice) bool { return delivered[n.Message] })
}

// handleNoticesDelivered records that discovery has accepted notices.
func (s *Sender) handleNoticesDelivered(notices []discovery.Notice) {
	s.notices.delivering = false
	delivered := map[string]bool{}
	for _, n := range notices {
		delivered[n.Message] = true
		s.trace("notice delivered", n.Message, "outcome", n.Outcome)
		if m := s.journal.Message(n.Message); m != nil && m.PendingOutcome != "" {
			s.journal.AppendNoticeDelivered(m)
		}
	}
	s.notices.remove(delivered)
}

// noticeOf returns the notice of a message that has ended.
func noticeOf(m *journal.Message) discovery.Notice {
	n := discovery.Notice{Message: m.ID, Outcome: string(m.PendingOutcome)}
	if m.PendingOutcome == journal.OutcomeReturned && m.PendingRetryAfterMS > 0 {
		n.RetryMS = &m.PendingRetryAfterMS
	}
	return n
}
