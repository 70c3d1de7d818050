package dispatch

import (
	"testing"
	"time"
)

// Each message must end exactly once and before its deadline, even if its destination has no endpoint or its
// call is never answered.
func TestEveryMessageEndsBeforeItsDeadline(t *testing.T) {
	h := newHarness(t, testSettings())
	undeliverable, nonIdempotent := h.newMessage(0, 9, 0), h.newMessage(2, 0, 0)
	sends := h.step(undeliverable, nonIdempotent)
	if len(sends) != 1 || sends[0].Message != nonIdempotent.ID || sends[0].Timeout != 20*time.Second {
		t.Fatalf("sends %+v, want one of the non-idempotent message, with its time left (20 s) as timeout",
			sends)
	}
	deadline := h.now + 20*time.Second
	h.now = h.dispatcher.timerAt
	for !h.failed[undeliverable.ID] && h.now < deadline {
		h.step(TimerFired{})
		h.now = max(h.dispatcher.timerAt, h.now+ms)
	}
	if !h.failed[undeliverable.ID] {
		t.Fatal("a message to a destination without endpoints was not failed before its deadline")
	}
	h.now = deadline
	h.step(h.newResult(sends[0], TimedOut))
	if !h.failed[nonIdempotent.ID] || len(h.dispatcher.messages) != 0 || len(h.dispatcher.pending) != 0 {
		t.Fatalf("failed messages %v; %d messages are not deleted", h.failed, len(h.dispatcher.messages))
	}
}

func TestLoadIsShedNearTheBoundOfPendingMessages(t *testing.T) {
	settings := testSettings()
	settings.MaxPendingMessages = 10
	h := newHarness(t, settings)
	for range 12 {
		h.step(h.newMessage(2, 9, 0))
	}
	if len(h.rejected) == 0 || len(h.dispatcher.pending) > 10 {
		t.Fatalf("%d messages rejected, want some; %d pending, want at most 10",
			len(h.rejected), len(h.dispatcher.pending))
	}
}

// Messages that an earlier process admitted must not be rejected to shed load, however many they are. Each
// new message allows at most one rejection.
func TestResumedMessagesAreNotRejectedToShedLoad(t *testing.T) {
	settings := testSettings()
	settings.MaxPendingMessages = 10
	h := newHarness(t, settings)
	var events []Event
	for range 30 {
		m := h.newMessage(2, 9, 0)
		m.Resumed = true
		events = append(events, m)
	}
	h.step(events...)
	if len(h.rejected) > 0 {
		t.Errorf("%d resumed messages rejected to shed load", len(h.rejected))
	}
	h.step(h.newMessage(2, 9, 0))
	h.step(TimerFired{})
	if len(h.rejected) != 1 {
		t.Errorf("%d messages rejected after one new message, want 1", len(h.rejected))
	}
}

// Guards against rejecting other tenants' messages during a surge of one tenant. That happens if the surge
// raises the estimate of this sender's share of the quotas: the tenant then does not count as beyond its own
// quota.
func TestSurgingTenantIsRejectedFirst(t *testing.T) {
	settings := testSettings()
	settings.MaxPendingMessages = 60
	settings.OverQuotaWeight = 0.05
	settings.Tenants = []Tenant{{QuotaRate: 10}, {QuotaRate: 10}, {QuotaRate: 10}}
	h := newHarness(t, settings)
	tenantOf := map[MessageID]int{}
	for i := range 400 {
		m := h.newMessage(2, 9, 0)
		if i%10 < 2 {
			m.Tenant = 1 + i%2
		}
		tenantOf[m.ID] = m.Tenant
		h.step(m)
		h.now += 10 * ms
	}
	rejectedOfOthers := 0
	for id := range h.rejected {
		if tenantOf[id] > 0 {
			rejectedOfOthers++
		}
	}
	if len(h.rejected) < 100 || rejectedOfOthers > len(h.rejected)/10 {
		t.Fatalf("%d of %d rejected messages belong to the other tenants", rejectedOfOthers, len(h.rejected))
	}
}
