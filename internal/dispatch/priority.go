package dispatch

// What a message is worth, and which one goes first for a scarce slot.

import (
	"math"
	"sort"
	"time"
)

// worth is what m is worth if served at the time.
func (b *Dispatcher) worth(m *message, at time.Duration) float64 {
	c := m.class
	late := at - (m.Deadline - c.Deadline) - c.LatencyObjective
	w := c.PriorityWeight * b.tenantWorth(m.Tenant)
	switch {
	case at >= m.Deadline:
		return 0
	case late <= 0:
		return w
	case b.s.LateWeightHalves:
		return w * max(c.LateWeight, math.Exp2(-late.Seconds()/c.LatencyObjective.Seconds()))
	}
	return w * (1 - (1-c.LateWeight)*late.Seconds()/(c.Deadline-c.LatencyObjective).Seconds())
}

// tenantWorth is the worth of a tenant's messages as a fraction: beyond its share, the mean of those
// within and those beyond. Our part of the share is judged by what tenants usually send us.
func (b *Dispatcher) tenantWorth(i int) float64 {
	if i < 0 || i >= len(b.tenants) || b.s.Senders == 0 {
		return 1
	}
	parts := make([]float64, 0, len(b.tenants))
	for j, t := range b.tenants {
		parts = append(parts, t.usual/max(b.s.Tenants[j].QuotaRate, 1e-9))
	}
	sort.Float64s(parts) // the middle one: a tenant that surges does not widen its own share
	part := min(1, max(1/float64(b.s.Senders), parts[len(parts)/2]))
	beyond := b.tenants[i].recent / max(shareBeyond*part*b.s.Tenants[i].QuotaRate, 1e-9)
	if beyond <= 1 {
		return 1
	}
	return (1 + (beyond-1)*b.s.OverQuotaWeight) / beyond
}

// classFactor is how much more than its worth a message counts. The settings weigh the worst-served class
// beside the whole, and a message is the larger a part of its class the less worth that has in all. Which
// class is the worst is as seen here; one of which nothing has ended yet counts as served.
func (b *Dispatcher) classFactor(m *message) float64 {
	if b.s.WorstClassWeight <= 0 || b.s.TotalWeight <= 0 || m.Class < 0 || m.Class >= len(b.classes) {
		return 1
	}
	all, weights, own := 0.0, 0.0, 0.0
	for i := range b.classes {
		c := &b.classes[i]
		first := max(b.s.Classes[i].PriorityWeight, 1e-9)
		ended := c.ended.at(b.now, arrivalSpan) + first
		weight := math.Exp(-worstBy * (c.served.at(b.now, arrivalSpan) + first) / ended)
		all, weights = all+ended, weights+weight
		if i == m.Class {
			own = weight / ended
		}
	}
	return 1 + b.s.WorstClassWeight/b.s.TotalWeight*all*own/weights
}

// index orders messages for a scarce slot: the worth that a message loses if passed over, and a little of
// its worth, for the slot time that it is likely to hold. Calls failed since one was served count against it.
func (b *Dispatcher) index(m *message, r *route) float64 {
	takes := max(r.recent, r.mean, 0.05)
	done := b.now + time.Duration(takes*float64(time.Second))
	w := b.worth(m, done)
	lost := float64(r.lost) * math.Exp(-(b.now-r.sentAt).Seconds()/passedOver.Seconds())
	loss := w - b.worth(m, done+passedOver) + anyWorth*w
	return loss * b.classFactor(m) * (1 - r.fails) / (takes * (1 + lost))
}
