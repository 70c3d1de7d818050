package dispatch

import (
	"testing"
	"time"
)

// Rule 1: each message ends once, before its deadline, also with no endpoint and with no answer.
func TestEveryMessageEndsBeforeItsDeadline(t *testing.T) {
	r := newRig(t, testSettings())
	a, b := r.message(0, 9, 0), r.message(2, 0, 0)
	sends := r.step(a, b)
	if len(sends) != 1 || sends[0].Message != b.ID || sends[0].Timeout != 20*time.Second {
		t.Fatalf("a non-idempotent message has its time left as its timeout: %+v", sends)
	}
	deadline := r.now + 20*time.Second
	r.now = r.dispatcher.timerAt
	for !r.failed[a.ID] && r.now < deadline {
		r.step(TimerFired{})
		r.now = max(r.dispatcher.timerAt, r.now+ms)
	}
	if !r.failed[a.ID] {
		t.Fatal("a message with no endpoint was not failed in time")
	}
	r.now = deadline
	r.step(r.end(sends[0], TimedOut))
	if !r.failed[b.ID] || len(r.dispatcher.messages) != 0 || len(r.dispatcher.pending) != 0 {
		t.Fatalf("failed %v, still known %d", r.failed, len(r.dispatcher.messages))
	}
}

func TestLoadIsShedNearTheBoundOfPendingMessages(t *testing.T) {
	set := testSettings()
	set.MaxPendingMessages = 10
	r := newRig(t, set)
	for range 12 {
		r.step(r.message(2, 9, 0))
	}
	if len(r.rejected) == 0 || len(r.dispatcher.pending) > 10 {
		t.Fatalf("%d rejected, %d pending", len(r.rejected), len(r.dispatcher.pending))
	}
}

// What an earlier process has admitted is not rejected to shed load, however much it is, and a new message
// displaces no more than one of them.
func TestResumedMessagesAreNotRejectedToShedLoad(t *testing.T) {
	set := testSettings()
	set.MaxPendingMessages = 10
	r := newRig(t, set)
	var events []Event
	for range 30 {
		m := r.message(2, 9, 0)
		m.Resumed = true
		events = append(events, m)
	}
	r.step(events...)
	if len(r.rejected) > 0 {
		t.Errorf("%d are rejected", len(r.rejected))
	}
	r.step(r.message(2, 9, 0))
	r.step(TimerFired{})
	if len(r.rejected) != 1 {
		t.Errorf("%d are rejected for one new message", len(r.rejected))
	}
}

// A tenant that surged widened its own share, and the others' messages were rejected with it.
func TestSurgingTenantIsRejectedFirst(t *testing.T) {
	set := testSettings()
	set.MaxPendingMessages = 60
	set.OverQuotaWeight = 0.05
	set.Tenants = []Tenant{{QuotaRate: 10}, {QuotaRate: 10}, {QuotaRate: 10}}
	r := newRig(t, set)
	owner := map[MessageID]int{}
	for i := range 400 {
		m := r.message(2, 9, 0)
		if i%10 < 2 {
			m.Tenant = 1 + i%2
		}
		owner[m.ID] = m.Tenant
		r.step(m)
		r.now += 10 * ms
	}
	others := 0
	for id := range r.rejected {
		if owner[id] > 0 {
			others++
		}
	}
	if len(r.rejected) < 100 || others > len(r.rejected)/10 {
		t.Fatalf("%d of %d rejected are of the other tenants", others, len(r.rejected))
	}
}
