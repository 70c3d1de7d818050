package dispatch

// What follows from the number of senders. They share nothing, so each goes by its own part of what all do:
// what is harmless from one must be so from all at once, and one of many sees too little to find out itself.

import (
	"math"
	"time"
)

const (
	smallFleet         = 4               // whose idle connections may be kept in full time
	fleetProbeBudget   = 24              // calls in the time to warm that all senders may send anywhere
	awareLoadShare     = 0.3             // part of the calls of the unaware that those add who saw failures
	rendezvousCost     = 0.5             // cost of a sender's last choice of endpoint, beside its first
	connectFailureCost = 3               // cost of an endpoint at which a connect has just failed, besides
	connectFailureSpan = 5 * time.Second // span over which that is forgotten
	idleTimeoutDivisor = 4               // idle connections are kept so many times shorter where they harm
	idleTimeoutGrowth  = 0.002           // and longer again by this part of the full time, by call served
)

// many is how far the senders are so many that each sees little of any endpoint: 0 for few, towards 1.
func (b *Dispatcher) sparsity() float64 {
	return 1 - smallFleet/float64(max(smallFleet, b.settings.Senders))
}

// part is our even part of a limit.
func (b *Dispatcher) fairShare(limit float64) float64 {
	return limit / float64(max(1, b.settings.Senders))
}

// even is the pace at which we begin: our even part of a limit; among many senders, where that is far below
// one call and few have messages there at a time, up to a call in the time that limits are counted over.
func (b *Dispatcher) initialPace(limit float64) float64 {
	n := float64(max(1, b.settings.Senders))
	return min(limit, max(b.fairShare(limit), min(1, n/fleetProbeBudget)/backoffMax.Seconds()))
}

// spread is what a route's tokens are set to when it fails: senders that fail in step do not go on in step.
func (b *Dispatcher) jitter() float64 { return float64(b.randomBelow(1000))/1000 - 0.5 }

// usual is the rate of what was counted at a route: that, and one more in the time that a route takes to
// get one in the mean, so that a sender which has seen few yet is not misled by them.
func (b *Dispatcher) smoothedRate(n decayingCounter) float64 {
	counted := arrivalSpan.Seconds() * (1 - math.Exp(-(b.now-b.startedAt).Seconds()/arrivalSpan.Seconds()))
	each := float64(max(1, len(b.routes))) * (counted + 1) / (b.arrivals.at(b.now, arrivalSpan) + 1)
	return (n.at(b.now, arrivalSpan) + 1) / (counted + each)
}

// enough is how many failures in a row are an outage: as many calls as we make in an overload span, for a
// sender with few there would not see eight fail before it is over; and more where senders are few.
func (b *Dispatcher) failureThreshold(r *route) int {
	n := max(minFailureThreshold+int(b.smoothedRate(r.sentCalls)*b.settings.OverloadWindow.Seconds()),
		fleetProbeBudget/max(1, b.settings.Senders))
	return min(maxFailureThreshold, n)
}

// bearable is our part of the calls a second that r bears in an outage, when it may return any moment, and
// so long after its return. A sender's part is that of its usual traffic, whatever the number of senders.
// Where we usually get no message in such a time, most others have seen no failure and send as ever: the
// few who have may together send a part of that. Any destination bears a few calls from all of us.
func (b *Dispatcher) recoveryRate(r *route) float64 {
	share := b.settings.SlowStartCapacity
	if r.state == warmingUp && b.settings.SlowStartDuration > 0 {
		share += (1 - share) * min(1, (b.now-r.stateSince).Seconds()/b.settings.SlowStartDuration.Seconds())
	}
	unaware := awareLoadShare / max(math.Expm1(r.rateBefore*(b.now-r.outageStartedAt).Seconds()), 1e-9)
	few := fleetProbeBudget / max(b.settings.SlowStartDuration.Seconds(), 1) / float64(max(1,
		b.settings.Senders))
	return max(few, r.rateBefore*max(max(1, b.settings.CollapseLoadFactor)*share, unaware))
}

// home places e for this sender, from 0 (first choice) to 1, differently at each: by the order of the list
// all of many senders begin at the same one. (Rendezvous hashing.)
func (b *Dispatcher) rendezvousRank(e *endpoint) float64 {
	return float64(mix64(uint64(e.ID)<<32+uint64(b.settings.Number))%1000) / 1000
}

// keepFor is how long idle connections to e are kept, and to all of its kind. It is not known how many an
// endpoint takes: that shows in connects that fail, and none is kept there then. What a sender with few calls
// sees at one holds for the kind, as others see the same; one with many has seen for itself.
func (b *Dispatcher) idleTimeout(e *endpoint) (kept time.Duration, kind *time.Duration) {
	for len(b.idleTimeouts) <= e.Kind {
		senders := time.Duration(max(smallFleet, b.settings.Senders))
		b.idleTimeouts = append(b.idleTimeouts, b.settings.IdleConnectionTimeout*smallFleet/senders)
	}
	kept, kind = b.settings.IdleConnectionTimeout, &b.idleTimeouts[e.Kind]
	if !b.hasOwnEvidence(e.route) {
		kept = *kind
	}
	return max(0, kept-e.idleTimeoutCut), kind
}

// oftenHere: r gets enough of our calls to judge it by them alone, and so large a part of all that it takes
// that only a few senders can say so. Places for connections are scarce: eighty idle ones fill them.
func (b *Dispatcher) hasOwnEvidence(r *route) bool {
	few := b.settings.Senders <= smallFleet || r.limit > 0 &&
		smallFleet*b.smoothedRate(r.sentCalls) >= r.limit
	return few && b.failureThreshold(r) >= maxFailureThreshold/2
}

// follows: the next call to e may go on a connection that has just served one. It takes that one's place, so
// that e has no more at once than before, and where places are scarce there is hardly another: neither pace
// nor the rest after a failed connect is of use. Not where calls are refused, as there they are counted.
func (b *Dispatcher) canReuseConnection(e *endpoint) bool {
	r := e.route
	mayCall := r.state == healthy && b.now >= r.backoffUntil && r.inFlight < b.concurrencyLimit(r)
	freed := b.sparsity() > 0 && e.freedConnections > 0 && e.freedAt == b.now
	return freed && mayCall && b.now-r.rejectedAt > b.settings.OverloadWindow
}
