package dispatch

// The course of a decision: Step takes in events, ends what cannot be served, and sends. Beside it
// stand admission (state.go), oracle.go, health.go, worth.go, choice.go and outcomes.go. The interface
// (settings, events, actions) is in api.go.

import (
	"math"
	"time"
)

const (
	servedRateSpan = 10 * time.Second       // span over which the served rate is seen
	backoffInitial = 100 * time.Millisecond // first pause after a refusal with no wait told; doubles
	// and its end: about the span over which limits are counted
	backoffMax    = time.Second
	probeInterval = 300 * time.Millisecond // least spacing of calls in an outage
	// span over which the messages for a destination are counted
	arrivalSpan  = time.Minute
	retryBackoff = 150 * time.Millisecond // pause of one message after a failed attempt; doubles
	// growth of the pace, in our even parts of the limit, by call served
	paceIncrease = 0.1
	paceDecrease = 0.7 // the pace after a refusal
	// of our even part: the pace left by a refusal among served calls
	isolatedRejectionFloor = 0.9
	// share of the allowance left from which the pace may grow
	growthQuota     = 0.3
	passedOverDelay = 2 * time.Second // how long a message passed over is thought to wait
	baseWeightShare = 0.1             // weight of the worth itself beside its loss by waiting
	// classes served alike to 1/worstBy share the worst's weight
	worstClassSharpness = 10
	// share of the room for messages from which some are refused
	shedThreshold     = 0.95
	listRetryInterval = time.Second     // pause before a failed request for the list is repeated
	tenantRateSpan    = 3 * time.Second // span over which a tenant's rate is seen
	// holdUp is how long a sender may be held up between reading its clock and writing (the
	// operators' terms). A repeat has to arrive within its key's window all the same.
	processPauseAllowance = 150 * time.Millisecond
	overQuotaFactor       = 1.5 // a tenant's rate over its share from which it is beyond it
	never                 = time.Duration(math.MaxInt64)
)

// Step takes in all events of a batch, then decides once. The actions are to be carried out in order.
// Time never goes back; a batch dated before the last is taken as of the last.
func (b *Dispatcher) Step(now time.Duration, events []Event) []Action {
	now = max(now, b.now)
	b.now, b.nextWake, b.actions, b.newInBatch = now, never, nil, 0
	if b.startedAt == -never {
		b.startedAt = now
	}
	if b.timerAt <= now {
		b.timerAt = never
	}
	for _, e := range events {
		switch e := e.(type) {
		case Message:
			b.admit(e)
		case AttemptResult:
			b.handleResult(e)
		case StorageStatus:
			b.storageFailing = e.Failing
		case EndpointListStale:
			b.listStale = e.Stale
		case OutagesRestored:
			b.restoreOutages(e.Outages)
		case RetryAfterReceived:
			if at := b.endpoints[e.Endpoint]; at != nil {
				b.applyRetryAfter(b.destinations[at.Destination], at.route, e.RetryAfter)
			}
		case TimerFired: // the clock may be coarser than ours: one that comes a little early is the one set
			if b.timerAt <= now+b.settings.StepInterval {
				b.timerAt = never
			}
		case MessageCancelled:
			if m := b.messages[e.Message]; m != nil {
				b.closeMessage(m)
			}
		case SettingsChanged:
			b.updateSettings(e.Settings)
		case EndpointListUpdate:
			if !e.Failed {
				b.updateEndpointList(e)
			} else if b.settings.PollsEndpointList {
				b.watchListAt = b.now + listRetryInterval
			}
		}
	}
	if b.watchListAt <= now {
		b.watchListAt = never
		b.actions = append(b.actions, WatchEndpointList{})
	}
	b.wakeAt(b.watchListAt)
	b.failHopeless()
	b.shedLoad()
	b.sendAll()
	b.closeIdleConnections()
	b.persistOutages()
	if b.nextWake < b.timerAt {
		b.timerAt = max(b.nextWake, now+b.settings.StepInterval)
		b.actions = append(b.actions, SetTimer{b.timerAt})
	}
	return b.actions
}

// mayRepeat: no attempt may have run, or a repeat sent now surely does no harm.
func (b *Dispatcher) mayRepeat(m *message, at time.Duration) bool {
	if !m.mayHaveRun || m.class.Effect == Idempotent {
		return true
	}
	arrival := at + processPauseAllowance + b.settings.StepInterval + m.likelyRoute().minLatency
	return m.class.Effect == IdempotentByKey && arrival < m.firstRunAt+m.class.IdempotencyWindow
}

// lastBegin is the latest time at which a call of m to r may begin: it takes as long as the quickest one
// served there, and has to be over at m's deadline, or a repeat while m's key is remembered.
func (b *Dispatcher) latestStart(m *message, r *route) time.Duration {
	last := m.Deadline - max(r.minLatency, b.settings.StepInterval)
	if m.mayHaveRun && m.class.Effect == IdempotentByKey {
		last = min(last,
			m.firstRunAt+m.class.IdempotencyWindow-processPauseAllowance-r.minLatency-b.settings.StepInterval)
	}
	return last
}

// expire fails what cannot be served any more, in time: too little time left for the quickest call
// served there, no attempt left, or a repeat that would not be lawful.
func (b *Dispatcher) failHopeless() {
	for _, m := range append([]*message(nil), b.pending...) {
		if m.inFlight > 0 {
			continue
		}
		last := b.latestStart(m, m.likelyRoute())
		spent := m.maxAttempts > 0 && m.attemptCount() >= m.maxAttempts
		if b.now >= last || spent || !b.mayRepeat(m, b.now) {
			b.actions = append(b.actions, Fail{m.ID})
			b.closeMessage(m)
			continue
		}
		b.wakeAt(last)
	}
	for len(b.settlingKeyQueues) > 0 && (len(b.settlingKeyQueues[0].messages) > 0 ||
		b.settlingKeyQueues[0].settleUntil <= b.now) {
		if t := b.settlingKeyQueues[0]; len(t.messages) == 0 {
			delete(b.keyQueues, t.key)
		}
		b.settlingKeyQueues = b.settlingKeyQueues[1:]
	}
}

// makeRoom refuses, when the room for messages is nearly full, the newest message of the destination
// with the longest queue, of a tenant beyond its share first: its client can come back, and others would
// be turned away unseen. One goes for each that has come: what was held before has been promised, also
// where the room has become less since.
func (b *Dispatcher) shedLoad() {
	most := shedThreshold * float64(b.settings.MaxPendingMessages)
	for ; b.newInBatch > 0 && most > 0 && float64(len(b.pending)) > most; b.newInBatch-- {
		var victim *message
		longest := 0.0
		for _, d := range b.destinationOrder {
			for _, m := range d.waiting {
				w := b.quotaFactor(m.Tenant)
				wait := float64(len(d.waiting)) / (0.1 + m.likelyRoute().servedRate()) / (w * w)
				if !m.mayHaveRun && wait >= longest {
					victim, longest = m, wait
				}
			}
		}
		if victim == nil {
			return
		}
		hold := time.Duration(0)
		if b.settings.SendsRetryAfter {
			hold = b.settings.MaxRetryAfter
		}
		b.actions = append(b.actions, Reject{victim.ID, hold})
		b.closeMessage(victim)
	}
}
