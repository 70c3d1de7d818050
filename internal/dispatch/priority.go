package dispatch

// What a message is worth, and which one goes first for a scarce slot.

import (
	"math"
	"sort"
	"time"
)

// worth is what m is worth if served at the time.
func (b *Dispatcher) weightAt(m *message, at time.Duration) float64 {
	c := m.class
	late := at - (m.Deadline - c.Deadline) - c.LatencyObjective
	w := c.PriorityWeight * b.quotaFactor(m.Tenant)
	switch {
	case at >= m.Deadline:
		return 0
	case late <= 0:
		return w
	case b.settings.LateWeightHalves:
		return w * max(c.LateWeight, math.Exp2(-late.Seconds()/c.LatencyObjective.Seconds()))
	}
	return w * (1 - (1-c.LateWeight)*late.Seconds()/(c.Deadline-c.LatencyObjective).Seconds())
}

// tenantWorth is the worth of a tenant's messages as a fraction: beyond its share, the mean of those
// within and those beyond. Our part of the share is judged by what tenants usually send us.
func (b *Dispatcher) quotaFactor(i int) float64 {
	if i < 0 || i >= len(b.tenantRates) || b.settings.Senders == 0 {
		return 1
	}
	parts := make([]float64, 0, len(b.tenantRates))
	for j, t := range b.tenantRates {
		parts = append(parts, t.longTerm/max(b.settings.Tenants[j].QuotaRate, 1e-9))
	}
	sort.Float64s(parts) // the middle one: a tenant that surges does not widen its own share
	part := min(1, max(1/float64(b.settings.Senders), parts[len(parts)/2]))
	beyond := b.tenantRates[i].recent / max(overQuotaFactor*part*b.settings.Tenants[i].QuotaRate, 1e-9)
	if beyond <= 1 {
		return 1
	}
	return (1 + (beyond-1)*b.settings.OverQuotaWeight) / beyond
}

// classFactor is how much more than its worth a message counts. The settings weigh the worst-served class
// beside the whole, and a message is the larger a part of its class the less worth that has in all. Which
// class is the worst is as seen here; one of which nothing has ended yet counts as served.
func (b *Dispatcher) fairnessFactor(m *message) float64 {
	if b.settings.WorstClassWeight <= 0 || b.settings.TotalWeight <= 0 || m.Class < 0 ||
		m.Class >= len(b.classGoodputs) {
		return 1
	}
	all, weights, own := 0.0, 0.0, 0.0
	for i := range b.classGoodputs {
		c := &b.classGoodputs[i]
		first := max(b.settings.Classes[i].PriorityWeight, 1e-9)
		ended := c.ended.at(b.now, arrivalSpan) + first
		weight := math.Exp(-worstClassSharpness * (c.served.at(b.now, arrivalSpan) + first) / ended)
		all, weights = all+ended, weights+weight
		if i == m.Class {
			own = weight / ended
		}
	}
	return 1 + b.settings.WorstClassWeight/b.settings.TotalWeight*all*own/weights
}

// index orders messages for a scarce slot: the worth that a message loses if passed over, and a little of
// its worth, for the slot time that it is likely to hold. Calls failed since one was served count against it.
func (b *Dispatcher) priority(m *message, r *route) float64 {
	takes := max(r.latency, r.mean, 0.05)
	done := b.now + time.Duration(takes*float64(time.Second))
	w := b.weightAt(m, done)
	lost := float64(r.consecutiveLosses) * math.Exp(-(b.now-r.lastSentAt).Seconds()/passedOverDelay.Seconds())
	loss := w - b.weightAt(m, done+passedOverDelay) + baseWeightShare*w
	return loss * b.fairnessFactor(m) * (1 - r.failureRate) / (takes * (1 + lost))
}
