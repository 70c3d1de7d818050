package dispatch

import (
	"fmt"
	"math"
	"time"
)

const (
	// never is a time that does not come; -never one that has long passed.
	never = time.Duration(math.MaxInt64)
	// longAgo is a time before all others that can still be subtracted from any time.
	longAgo = -never / 2
	// listRetryInterval is the delay before a failed request for the endpoint list is repeated.
	listRetryInterval = time.Second
	// logInterval is the least time between two log lines about one route.
	logInterval = 5 * time.Second
)

// Dispatcher makes the decisions of one sender.
type Dispatcher struct {
	settings    Settings
	randomState uint64
	startedAt   time.Duration // time of the first batch

	// The batch at hand.
	now           time.Duration
	nextWake      time.Duration // earliest time at which something is to be decided
	actions       []Action
	newInStep     int      // messages submitted in it, resumed ones not counted
	changedRoutes []*route // routes whose circuit has changed state in it

	timerAt     time.Duration // the earliest timer that is set, never if none is
	watchListAt time.Duration // when to ask for the endpoint list, never if not at all

	messages          map[MessageID]*message // until they and their attempts have ended
	pending           []*message             // those that have not ended, in order of arrival
	keyQueues         map[uint64]*keyQueue   // by ordering key
	settlingKeyQueues []*keyQueue            // that may be dropped once they are empty and have settled
	callsInFlight     int
	cancelledInFlight int              // calls in flight that are cancelled
	inheritedCalls    map[uint64]*call // calls of another process that are in flight, by its number

	endpoints        map[EndpointID]*endpoint
	destinations     map[DestinationID]*destination
	destinationOrder []*destination // in order of first mention
	routes           []*route

	overallEstimator     timeoutEstimator // over all routes, for the usual latency of this sender
	arrivals             decayingCounter  // messages submitted, over arrivalSpan
	tenantRates          []tenantRate
	tenantRatesDecayedAt time.Duration
	classGoodputs        []classGoodput
	idleEndpoints        []*endpoint     // those that may have an idle connection
	idleTimeouts         []time.Duration // of idle connections, by kind of destination

	storageFailing    bool // nothing may be sent: it could not be recorded
	endpointListStale bool // nothing may be sent: its endpoint may be draining by now
}

// New returns the Dispatcher of one sender that knows nothing yet but its settings.
func New(s Settings, seed uint64) *Dispatcher {
	d := &Dispatcher{
		settings:      s,
		randomState:   seed,
		now:           -never,
		startedAt:     -never,
		timerAt:       never,
		watchListAt:   never,
		messages:      map[MessageID]*message{},
		destinations:  map[DestinationID]*destination{},
		endpoints:     map[EndpointID]*endpoint{},
		keyQueues:     map[uint64]*keyQueue{},
		tenantRates:   make([]tenantRate, len(s.Tenants)),
		classGoodputs: make([]classGoodput, len(s.Classes)),
	}
	if s.PollsEndpointList {
		d.watchListAt = -never
	}
	return d
}

// Step takes in all events of a batch, then decides once. The actions are to be carried out in order.
// Time never goes back; a batch dated before the last is taken as of the last.
func (d *Dispatcher) Step(now time.Duration, events []Event) []Action {
	d.startStep(max(now, d.now))
	for _, event := range events {
		d.handleEvent(event)
	}
	d.watchEndpointList()
	d.failUndeliverable()
	d.shedLoad()
	d.sendPending()
	d.closeIdleConnections()
	d.persistOutages()
	d.setTimer()
	return d.actions
}

func (d *Dispatcher) startStep(now time.Duration) {
	d.now, d.nextWake, d.actions, d.newInStep = now, never, nil, 0
	if d.startedAt == -never {
		d.startedAt = now
	}
	if d.timerAt <= now {
		d.timerAt = never
	}
}

func (d *Dispatcher) handleEvent(event Event) {
	switch event := event.(type) {
	case Message:
		d.admit(event)
	case AttemptResult:
		d.handleResult(event)
	case StorageStatus:
		d.storageFailing = event.Failing
	case EndpointListStale:
		d.endpointListStale = event.Stale
	case OutagesRestored:
		d.restoreOutages(event.Outages)
	case RetryAfterReceived:
		if e := d.endpoints[event.Endpoint]; e != nil {
			d.applyRetryAfter(d.destinations[e.Destination], e.route, event.RetryAfter)
		}
	case TimerFired:
		d.handleTimer()
	case MessageCancelled:
		if m := d.messages[event.Message]; m != nil {
			d.closeMessage(m)
		}
	case SettingsChanged:
		d.updateSettings(event.Settings)
	case EndpointListUpdate:
		d.updateEndpointList(event)
	}
}

// handleTimer clears the timer that has fired. The caller's clock may be coarser than ours: a timer that
// fires a little early is the one set.
func (d *Dispatcher) handleTimer() {
	if d.timerAt <= d.now+d.settings.StepInterval {
		d.timerAt = never
	}
}

// watchEndpointList asks for the endpoint list when that is due.
func (d *Dispatcher) watchEndpointList() {
	if d.watchListAt <= d.now {
		d.watchListAt = never
		d.emit(WatchEndpointList{})
	}
	d.wakeAt(d.watchListAt)
}

// setTimer asks for a timer, unless one is set that fires early enough.
func (d *Dispatcher) setTimer() {
	if d.nextWake < d.timerAt {
		d.timerAt = max(d.nextWake, d.now+d.settings.StepInterval)
		d.emit(SetTimer{At: d.timerAt})
	}
}

// updateSettings replaces the settings. What was learnt stays, and pending messages have their own rules.
func (d *Dispatcher) updateSettings(s Settings) {
	d.settings = s
	if len(s.Classes) != len(d.classGoodputs) {
		d.classGoodputs = make([]classGoodput, len(s.Classes))
	}
	added := make([]tenantRate, max(0, len(s.Tenants)-len(d.tenantRates)))
	d.tenantRates = append(d.tenantRates, added...)[:len(s.Tenants)]
}

func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

// wakeAt makes sure that a batch comes at t or before.
func (d *Dispatcher) wakeAt(t time.Duration) { d.nextWake = min(d.nextWake, t) }

// logRoute writes a log line about a route, at most one in logInterval.
func (d *Dispatcher) logRoute(r *route, text string) {
	if d.now-r.lastLoggedAt < logInterval {
		return
	}
	r.lastLoggedAt = d.now
	d.emit(Log{Line: fmt.Sprintf("%s %s", r.name(), text)})
}
