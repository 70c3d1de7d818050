package dispatch

import (
	"fmt"
	"math"
	"time"
)

const (
	// never is a time that is never reached; -never is before all others.
	never = time.Duration(math.MaxInt64)
	// longAgo is a time in the distant past that can be subtracted from any time without an overflow.
	longAgo = -never / 2
	// listRetryInterval is the delay before the endpoint list is requested again after a failed request.
	listRetryInterval = time.Second
	// logInterval is the least time between two log lines about one route.
	logInterval = 5 * time.Second
)

// Dispatcher makes the decisions of one sender.
type Dispatcher struct {
	settings    Settings
	randomState uint64
	startedAt   time.Duration // time of the first step

	// State of the current step.
	now           time.Duration
	nextWake      time.Duration // earliest time at which another step is needed
	actions       []Action
	newInStep     int      // messages submitted in this step, resumed ones not counted
	changedRoutes []*route // routes whose circuit has changed state in this step

	timerAt     time.Duration // time of the earliest timer that is set, never if none is
	watchListAt time.Duration // when to request the endpoint list, never if no request is due

	messages          map[MessageID]*message // those that have not ended or have attempts in flight
	pending           []*message             // those that have not ended, in order of arrival
	keyQueues         map[uint64]*keyQueue   // by ordering key
	settlingKeyQueues []*keyQueue            // those to delete once empty and past their settle time
	callsInFlight     int
	cancelledInFlight int              // calls in flight that have been cancelled
	inheritedCalls    map[uint64]*call // calls in flight of another process, by InFlightAttempt.Call

	endpoints        map[EndpointID]*endpoint
	destinations     map[DestinationID]*destination
	destinationOrder []*destination // in the order in which they became known
	routes           []*route

	overallEstimator     timeoutEstimator // over all routes, for the usual latency of this sender
	arrivals             decayingCounter  // messages submitted, over arrivalSpan
	tenantRates          []tenantRate
	tenantRatesDecayedAt time.Duration
	classGoodputs        []classGoodput
	idleEndpoints        []*endpoint     // endpoints that may have an idle connection
	idleTimeouts         []time.Duration // of idle connections, by kind of destination

	storageFailing    bool // nothing may be sent, as it could not be recorded
	endpointListStale bool // nothing may be sent, as any endpoint may be draining by now
}

// New returns a Dispatcher for one sender, with its settings and a seed for its random numbers.
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

// Step handles all events, then decides once. The caller must carry out the actions in order. Time never goes
// back: a step with a time before that of the last step takes place at the time of the last.
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

// LearnRetryAfter takes in a Retry-After without deciding anything, for a caller that carries out no more
// actions and hands over with Snapshot.
func (d *Dispatcher) LearnRetryAfter(now time.Duration, received RetryAfterReceived) {
	d.startStep(max(now, d.now))
	d.handleEvent(received)
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

// handleTimer clears the timer that has fired. The caller's clock may have a coarser resolution than the
// dispatcher's times, so a TimerFired that comes up to StepInterval early counts as that of the timer set.
func (d *Dispatcher) handleTimer() {
	if d.timerAt <= d.now+d.settings.StepInterval {
		d.timerAt = never
	}
}

// watchEndpointList requests the endpoint list when a request is due.
func (d *Dispatcher) watchEndpointList() {
	if d.watchListAt <= d.now {
		d.watchListAt = never
		d.emit(WatchEndpointList{})
	}
	d.wakeAt(d.watchListAt)
}

// setTimer requests a timer for the next step that is needed, unless one is set that fires early enough.
func (d *Dispatcher) setTimer() {
	if d.nextWake < d.timerAt {
		d.timerAt = max(d.nextWake, d.now+d.settings.StepInterval)
		d.emit(SetTimer{At: d.timerAt})
	}
}

// updateSettings replaces the settings. What the dispatcher has learnt is kept, and pending messages keep the
// rules of their admission.
func (d *Dispatcher) updateSettings(s Settings) {
	d.settings = s
	if len(s.Classes) != len(d.classGoodputs) {
		d.classGoodputs = make([]classGoodput, len(s.Classes))
	}
	added := make([]tenantRate, max(0, len(s.Tenants)-len(d.tenantRates)))
	d.tenantRates = append(d.tenantRates, added...)[:len(s.Tenants)]
}

// emit adds an action to those that this step returns.
func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

// wakeAt makes sure that there is another step at t or before.
func (d *Dispatcher) wakeAt(t time.Duration) { d.nextWake = min(d.nextWake, t) }

// logRoute logs a line about a route, at most one in logInterval.
func (d *Dispatcher) logRoute(r *route, text string) {
	if d.now-r.lastLoggedAt < logInterval {
		return
	}
	r.lastLoggedAt = d.now
	d.emit(Log{Line: fmt.Sprintf("%s %s", r.name(), text)})
}
