package dispatch

import (
	"math"
	"time"
)

const (
	// minExpectedLatency (s) is the least time that a call is expected to occupy its slot.
	minExpectedLatency = 0.05
	// passedOverDelay is how long a message that is not sent now is expected to wait.
	passedOverDelay = 2 * time.Second
	// baseWeightShare is the share of a message's weight that is added to the weight that it loses by
	// waiting.
	baseWeightShare = 0.1
	// worstClassSharpness is how sharply the worst class is distinguished from the others: classes whose
	// goodput differs by less than its inverse share the weight of the worst class.
	worstClassSharpness = 10
	// minClassWeight avoids a division by zero for a class without weight.
	minClassWeight = 1e-9
)

// classGoodput counts the weight of a class's messages that have ended, over arrivalSpan, and the part of it
// that was served.
type classGoodput struct{ ended, served decayingCounter }

// priority returns the priority of m for a scarce slot: the weight that m loses if it is passed over, plus a
// small share of its weight, divided by the time that its call is likely to occupy the slot. The priority is
// lower on a route with a high failure rate. Calls in a row that were neither served nor rejected lower it,
// too; their effect fades with the time since the last call.
func (d *Dispatcher) priority(m *message, r *route) float64 {
	seconds := max(r.traffic.latency, r.estimator.mean, minExpectedLatency)
	servedAt := d.now + time.Duration(seconds*float64(time.Second))
	weight := d.weightAt(m, servedAt)
	sinceLastSent := (d.now - r.traffic.lastSentAt).Seconds()
	recentLosses := float64(r.traffic.consecutiveLosses) * math.Exp(-sinceLastSent/passedOverDelay.Seconds())
	weightLoss := weight - d.weightAt(m, servedAt+passedOverDelay) + baseWeightShare*weight
	return weightLoss * d.fairnessFactor(m) * (1 - r.breaker.failureRate) / (seconds * (1 + recentLosses))
}

// weightAt returns the weight of m if it is served at a given time: its class's priority weight until the
// latency objective, less after it, and 0 from the deadline on.
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

// fairnessFactor returns the factor by which the priority of a message exceeds what its weight gives it. The
// settings weigh the goodput of the worst-served class against the total goodput, and the less weight a class
// has in total, the more one message adds to that class's goodput. The worst class is determined from the
// messages of this sender alone; a class of which no message has ended yet counts as served.
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

// recordClassGoodput adds m, which has ended, to the goodput of its class.
func (d *Dispatcher) recordClassGoodput(m *message) {
	if m.Class < 0 || m.Class >= len(d.classGoodputs) { // its class belongs to earlier settings
		return
	}
	goodput := &d.classGoodputs[m.Class]
	goodput.ended.add(m.class.PriorityWeight, d.now)
	if m.served {
		goodput.served.add(d.weightAt(m, d.now), d.now)
	}
}
