package dispatch

import (
	"math"
	"time"
)

const (
	// minExpectedLatency (s) is the least time that a call is expected to hold its slot.
	minExpectedLatency = 0.05
	// passedOverDelay is how long a message that is passed over is expected to wait.
	passedOverDelay = 2 * time.Second
	// baseWeightShare is the share of a message's weight that counts beside its loss by waiting.
	baseWeightShare = 0.1
	// worstClassSharpness: classes whose goodput differs by less than its inverse share the worst class's
	// weight.
	worstClassSharpness = 10
	// minClassWeight keeps a class without weight from dividing by zero.
	minClassWeight = 1e-9
)

// classGoodput is the weight of a class's messages that have ended, over arrivalSpan, and what of it was
// served.
type classGoodput struct{ ended, served decayingCounter }

// priority orders messages for a scarce slot: the weight that a message loses if it is passed over, and a
// little of its weight, for the slot time that its call is likely to take. Calls lost since one was served
// count against it.
func (d *Dispatcher) priority(m *message, r *route) float64 {
	seconds := max(r.traffic.latency, r.estimator.mean, minExpectedLatency)
	servedAt := d.now + time.Duration(seconds*float64(time.Second))
	weight := d.weightAt(m, servedAt)
	sinceLastSent := (d.now - r.traffic.lastSentAt).Seconds()
	losses := float64(r.traffic.consecutiveLosses) * math.Exp(-sinceLastSent/passedOverDelay.Seconds())
	loss := weight - d.weightAt(m, servedAt+passedOverDelay) + baseWeightShare*weight
	return loss * d.fairnessFactor(m) * (1 - r.breaker.failureRate) / (seconds * (1 + losses))
}

// weightAt is the weight of m if it is served at a time: its class's priority weight until the latency
// objective, less after it, and nothing from the deadline on.
func (d *Dispatcher) weightAt(m *message, at time.Duration) float64 {
	c := m.class
	late := at - (m.Deadline - c.Deadline) - c.LatencyObjective
	weight := c.PriorityWeight * d.quotaFactor(m.Tenant)
	switch {
	case at >= m.Deadline:
		return 0
	case late <= 0:
		return weight
	case d.settings.LateWeightHalves:
		return weight * max(c.LateWeight, math.Exp2(-late.Seconds()/c.LatencyObjective.Seconds()))
	}
	return weight * (1 - (1-c.LateWeight)*late.Seconds()/(c.Deadline-c.LatencyObjective).Seconds())
}

// fairnessFactor is how much more than its weight a message counts. The settings weigh the worst-served
// class beside the total, and a message is the larger a part of its class the less weight that has in all.
// Which class is the worst is as seen here; one of which nothing has ended yet counts as served.
func (d *Dispatcher) fairnessFactor(m *message) float64 {
	isWeighed := d.settings.WorstClassWeight > 0 && d.settings.TotalWeight > 0
	if !isWeighed || m.Class < 0 || m.Class >= len(d.classGoodputs) {
		return 1
	}
	total, shares, ownClass := 0.0, 0.0, 0.0
	for i := range d.classGoodputs {
		goodput := &d.classGoodputs[i]
		initialWeight := max(d.settings.Classes[i].PriorityWeight, minClassWeight)
		ended := goodput.ended.at(d.now) + initialWeight
		served := goodput.served.at(d.now) + initialWeight
		share := math.Exp(-worstClassSharpness * served / ended)
		total, shares = total+ended, shares+share
		if i == m.Class {
			ownClass = share / ended
		}
	}
	return 1 + d.settings.WorstClassWeight/d.settings.TotalWeight*total*ownClass/shares
}

// recordClassGoodput counts m, which has ended, with its class.
func (d *Dispatcher) recordClassGoodput(m *message) {
	if m.Class < 0 || m.Class >= len(d.classGoodputs) { // of settings that are no longer in force
		return
	}
	goodput := &d.classGoodputs[m.Class]
	goodput.ended.add(m.class.PriorityWeight, d.now)
	if m.served {
		goodput.served.add(d.weightAt(m, d.now), d.now)
	}
}
