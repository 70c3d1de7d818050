package dispatch

import (
	"math"
	"time"
)

const (
	// minSelectionLatency (s) is the least latency that is assumed of an endpoint.
	minSelectionLatency = 0.02
	// minSuccessRate is the least share of successes that is assumed of an endpoint.
	minSuccessRate = 0.05
	// zoneCostFactor scales the settings' costs of zones to the cost of an endpoint.
	zoneCostFactor = 10
	// rendezvousCost is the additional cost of the endpoint that is last in a sender's rendezvous ranking,
	// compared with the first.
	rendezvousCost = 0.5
	// connectFailureCost is the additional cost of an endpoint at which a connect has just failed.
	connectFailureCost = 3
	// connectFailureSpan is the time constant with which that cost decays.
	connectFailureSpan = 5 * time.Second
	// rendezvousRanks is the number of values that a rendezvous rank may have.
	rendezvousRanks = 1000
)

// candidate is a message of a destination that may be sent now, with its endpoint and priority. Its message
// is nil if the destination has none to send.
type candidate struct {
	message  *message
	endpoint *endpoint
	priority float64
}

// sendPending fills the free call slots with pending messages, the one with the highest priority first.
func (d *Dispatcher) sendPending() {
	if d.storageFailing || d.endpointListStale {
		return
	}
	candidates := make([]candidate, len(d.destinationOrder))
	for i, dest := range d.destinationOrder {
		candidates[i] = d.bestCandidate(dest)
	}
	for {
		best, count := highestPriority(candidates)
		if count == 0 {
			return
		}
		if d.settings.MaxConcurrentCalls > 0 && d.callsInFlight >= d.settings.MaxConcurrentCalls {
			d.cancelOverdue(count)
			return
		}
		d.sendCall(candidates[best].message, candidates[best].endpoint)
		candidates[best] = d.bestCandidate(d.destinationOrder[best])
	}
}

// highestPriority returns the index of the candidate with the highest priority, and the number of candidates
// with a message.
func highestPriority(candidates []candidate) (best, count int) {
	best = -1
	for i := range candidates {
		if candidates[i].message == nil {
			continue
		}
		count++
		if best < 0 || candidates[i].priority > candidates[best].priority {
			best = i
		}
	}
	return best, count
}

// bestCandidate returns the best of a destination's waiting messages that may be sent now.
func (d *Dispatcher) bestCandidate(dest *destination) candidate {
	var best candidate
	if len(dest.waiting) == 0 || len(dest.endpoints) == 0 {
		return best
	}
	usable, reusable := d.availableEndpoints(dest)
	for _, m := range dest.waiting {
		e := d.endpointFor(m, usable, reusable)
		if e == nil {
			continue
		}
		next := candidate{message: m, endpoint: e, priority: d.priority(m, e.route)}
		if best.message == nil || precedes(next, best) {
			best = next
		}
	}
	return best
}

// precedes reports whether next is sent before best, for two messages of one destination. In an outage a
// message that may be repeated is preferred as the probe: a non-idempotent one cannot be sent again if its
// call fails.
func precedes(next, best candidate) bool {
	nextIsNonIdempotent := next.message.class.Effect == NonIdempotent
	bestIsNonIdempotent := best.message.class.Effect == NonIdempotent
	if next.endpoint.route.breaker.state == unavailable && nextIsNonIdempotent != bestIsNonIdempotent {
		return bestIsNonIdempotent
	}
	return next.priority > best.priority
}

// availableEndpoints returns the endpoints that may get a call now: those that are usable, and those with a
// connection that the call may reuse.
func (d *Dispatcher) availableEndpoints(dest *destination) (usable, reusable []*endpoint) {
	sharedAccepts := dest.shared == nil || d.acceptsCall(dest.shared)
	for _, e := range dest.endpoints {
		// The caller puts the messages sent to e in one step into one call, up to the batch size. Another
		// Send in this step could therefore join the call that sendCall has already started and filled.
		joinsCall := d.maxBatchSize(e) > 1 && e.lastSentAt == d.now && e.inFlight > 0
		if !joinsCall && d.canReuseConnection(e) {
			reusable = append(reusable, e)
		}
		if joinsCall || d.isFull(e.route) && e.inFlight > 0 {
			continue
		}
		if e.route == dest.shared && sharedAccepts || e.route != dest.shared && d.acceptsCall(e.route) {
			usable = append(usable, e)
		}
	}
	return usable, reusable
}

// endpointFor returns the endpoint for m, nil if m may not be sent now. A message whose last attempt could
// not connect may use a connection that can be reused even during its backoff.
func (d *Dispatcher) endpointFor(m *message, usable, reusable []*endpoint) *endpoint {
	ready := d.isReady(m)
	if ready || m.connectFailed && d.isHeadOfKeyQueue(m) {
		if e := d.selectEndpoint(m, reusable); e != nil {
			return e
		}
	}
	if !ready {
		return nil
	}
	return d.selectEndpoint(m, usable)
}

// isReady reports whether m is past its backoff and the next message of its key.
func (d *Dispatcher) isReady(m *message) bool {
	if d.now < m.notBefore {
		d.wakeAt(m.notBefore)
		return false
	}
	return d.isHeadOfKeyQueue(m)
}

// selectEndpoint returns the endpoint with the lowest cost to which m may be sent, nil if there is none. A
// repeat whose key is remembered in one zone only stays in that zone.
func (d *Dispatcher) selectEndpoint(m *message, candidates []*endpoint) *endpoint {
	var best *endpoint
	lowest := 0.0
	for _, e := range candidates {
		scoped := m.class.KeyScopedToZone && m.class.Effect == IdempotentByKey
		if m.mayHaveRun && scoped && e.Zone != m.firstRunZone {
			continue
		}
		if cost := d.endpointCost(m, e); best == nil || cost < lowest {
			best, lowest = e, cost
		}
	}
	return best
}

// endpointCost returns the cost of sending m to e: the work that this sender has in flight at e, by the
// recent latency and failures, multiplied by the costs of zones.
func (d *Dispatcher) endpointCost(m *message, e *endpoint) float64 {
	latency := e.latency
	// With few calls to each endpoint, the mean latency of the route is more reliable.
	if sparsity := d.trafficSparsity(); sparsity > 0 {
		latency += sparsity * (e.route.traffic.latency - latency)
		connectFailure := math.Exp(-(d.now - e.connectFailedAt).Seconds() / connectFailureSpan.Seconds())
		latency = max(latency, minSelectionLatency) *
			(1 + sparsity*(rendezvousCost*d.rendezvousRank(e)+connectFailureCost*connectFailure))
	}
	cost := float64(e.inFlight+1) * max(latency, minSelectionLatency) / max(minSuccessRate, 1-e.failureRate)
	if e.Zone != d.settings.Zone {
		cost *= 1 + zoneCostFactor*d.settings.CrossZoneCost
	}
	if e.Zone < len(d.settings.ZoneFees) && e.route != m.destination.shared {
		cost *= 1 + zoneCostFactor*d.settings.ZoneFees[e.Zone]
	}
	return cost
}

// rendezvousRank returns the rank of e for this sender, from 0 (first choice) to 1. The ranks differ between
// senders (rendezvous hashing): if all senders followed the order of the list, they would all begin at the
// same endpoint.
func (d *Dispatcher) rendezvousRank(e *endpoint) float64 {
	return float64(mix64(uint64(e.ID)<<32+uint64(d.settings.Number))%rendezvousRanks) / rendezvousRanks
}
