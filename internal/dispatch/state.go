package dispatch

// What a sender remembers, and plain book-keeping on it. Nothing is decided here: that is dispatcher.go.

import (
	"fmt"
	"math"
	"time"
)

// bucket holds the weighted samples of one bucket and their times (s).
type histogramBucket struct{ weight, sum float64 }

type timeoutEstimator struct {
	buckets          []histogramBucket // up to the last in use
	samples          int               // samples taken
	unansweredWeight float64           // weighted calls unanswered past tauMax
	optimalTau       time.Duration     // argmin of Ê
	median           time.Duration     // of the samples
	needsUpdate      bool
	mean             float64       // of all samples, s
	minLatency       time.Duration // call ever served
	doubledTau       time.Duration // the time-out while doubled, 0 if not
	doubledAt        time.Duration
}

type circuitState uint8

const (
	healthy     circuitState = iota
	unavailable              // an outage: one call at a time, spaced by a growing back-off
	warmingUp                // returned: a ramp until it is warm
)

// fading is a count that fades over a span.
type decayingCounter struct {
	value     float64
	updatedAt time.Duration
}

func (f *decayingCounter) at(now, span time.Duration) float64 {
	return f.value * math.Exp(-(now-f.updatedAt).Seconds()/span.Seconds())
}

func (f *decayingCounter) add(n float64, now, span time.Duration) {
	f.value, f.updatedAt = f.at(now, span)+n, now
}

type route struct {
	timeoutEstimator
	sentCalls, servedCalls decayingCounter // calls sent, and served
	name                   uint32
	destination            DestinationID
	endpoint               EndpointID // where routes are apart
	perEndpoint            bool
	window                 float64
	inFlight               int // out now
	halvedAt               time.Duration
	backoffUntil           time.Duration // told to wait, or paused
	backoffStep            time.Duration
	rejectedAt             time.Duration
	reopensAt              time.Duration // told in an outage that it is over then, 0 if not
	failureRate            float64       // mean share of failed calls
	consecutiveFailures    int           // calls in a row that were not served
	consecutiveLosses      int           // those of them that were not refused
	latency                float64       // recent latency, s
	lastServedAt           time.Duration
	lastSentAt             time.Duration // of the last call
	lastServedSentAt       time.Duration // latest sending of a call that was served
	unanswered             []*call       // sent, in order
	cancelledCalls         int           // calls called off since one was served
	recentServed           float64       // calls served, fading over rateSpan
	firstServedAt          time.Duration
	rateBefore             float64       // our calls a second before the outage
	outageStartedAt        time.Duration // begin of the outage
	state                  circuitState
	stateSince             time.Duration // of the state
	probesInFlight         int           // calls out that were sent during this outage
	lastProbeAt            time.Duration
	limit                  float64 // calls a second that all senders may send, 0 if unknown
	pace                   float64 // our part of it
	tokens                 float64 // calls that the pace allows now
	refilledAt             time.Duration
	lastLoggedAt           time.Duration
	maxBatchSize           int // messages that may travel in one call
}

func (b *Dispatcher) newRoute(line Endpoint, apart bool) *route {
	r := &route{name: uint32(line.Destination), destination: line.Destination, window: 1, tokens: 1,
		refilledAt: b.now, lastServedAt: b.now, rejectedAt: -never / 2, lastLoggedAt: -never / 2}
	if apart {
		r.name, r.endpoint, r.perEndpoint = uint32(line.ID), line.ID, true
	}
	b.routes = append(b.routes, r)
	return r
}

type endpoint struct {
	Endpoint
	route            *route
	inFlight         int
	latency          float64 // recent latency, s
	failureRate      float64
	lastSentAt       time.Duration // last round with a call to it
	connectFailedAt  time.Duration // the last connect that failed
	idleTimeoutCut   time.Duration // by so much its idle connections are kept shorter than its kind's
	idleSince        time.Duration // since then there is no call to it, 0 if no connection may be open
	freedAt          time.Duration // last time that a call was served, and
	freedConnections int           // so many connections it left then that have had no further call
}

type destination struct {
	endpoints []*endpoint
	shared    *route // nil where routes are apart
	waiting   []*message
}

type call struct {
	route          *route
	endpoint       *endpoint
	sentAt         time.Duration
	unresolved     int           // messages without an outcome
	isProbe        bool          // sent during an outage
	recorded       bool          // its fate has been counted
	connectionIdle time.Duration // how long the connection had had no call, 0 for a fresh one

	messages  []*message
	cancelled bool
}

type attempt struct {
	*call
	timeout        time.Duration
	untilDeadline  bool    // it ran to the time left
	sampleWeight   float64 // of its sample, 0 if it gives none
	ended          bool
	outcomeUnknown bool // it ended by a time-out or a break
}

type message struct {
	Message
	class         *Class
	maxAttempts   int // attempts
	destination   *destination
	attempts      []attempt
	inFlight      int // attempts without an outcome
	closed        bool
	served        bool
	mayHaveRun    bool
	firstRunAt    time.Duration // first send that may have run
	firstRunZone  int
	notBefore     time.Duration
	connectFailed bool // its last attempt found no place for a connection
	keyQueue      *keyQueue
}

// turn is the order of one key.
type keyQueue struct {
	messages    []*message
	settleUntil time.Duration
	key         uint64
}

// classCount is the worth of a class's messages that have ended, over arrivalSpan, and what of it was served.
type classGoodput struct{ ended, served decayingCounter }

// messages a second, over shareSpan and over ten times that
type tenantRate struct{ recent, longTerm float64 }

// Dispatcher is one sender's decisions.
type Dispatcher struct {
	settings             Settings
	randomState          uint64
	now, nextWake        time.Duration
	timerAt              time.Duration // the earliest alarm set, never if none
	actions              []Action
	messages             map[MessageID]*message
	pending              []*message // not over, in order of arrival
	destinations         map[DestinationID]*destination
	destinationOrder     []*destination // in order of first mention
	endpoints            map[EndpointID]*endpoint
	keyQueues            map[uint64]*keyQueue
	settlingKeyQueues    []*keyQueue
	callsInFlight        int // slots in use
	routes               []*route
	overallEstimator     timeoutEstimator // of all routes together, for what is usual here
	cancelledInFlight    int              // calls called off, without an outcome
	tenantRates          []tenantRate
	classGoodputs        []classGoodput
	tenantRatesDecayedAt time.Duration
	watchListAt          time.Duration
	idleEndpoints        []*endpoint      // perhaps with an idle connection
	idleTimeouts         []time.Duration  // how long to keep those, by kind of destination
	startedAt            time.Duration    // first batch
	arrivals             decayingCounter  // messages taken
	newInBatch           int              // of them in this batch
	inheritedCalls       map[uint64]*call // calls that another process had out
	storageFailing       bool             // nothing may be sent: it could not be written down
	listStale            bool             // nothing may be sent: its endpoint may drain by now
	changedRoutes        []*route         // whose state has changed in this batch
}

// New makes the decisions of one sender that knows nothing yet but its settings.
func New(s Settings, seed uint64) *Dispatcher {
	b := &Dispatcher{settings: s, randomState: seed, now: -never, startedAt: -never, timerAt: never,
		watchListAt: never, messages: map[MessageID]*message{},
		destinations: map[DestinationID]*destination{}, endpoints: map[EndpointID]*endpoint{},
		keyQueues: map[uint64]*keyQueue{}, tenantRates: make([]tenantRate, len(s.Tenants)),
		classGoodputs: make([]classGoodput, len(s.Classes))}
	if s.PollsEndpointList {
		b.watchListAt = -never
	}
	return b
}

func (b *Dispatcher) wakeAt(t time.Duration) { b.nextWake = min(b.nextWake, t) }

// draw is the next random number below n (splitmix64).
func (b *Dispatcher) randomBelow(n uint64) uint64 {
	b.randomState += 0x9e3779b97f4a7c15
	return mix64(b.randomState) % n
}

// mix makes a number that looks random of any (the finalizer of splitmix64).
func mix64(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

func (b *Dispatcher) destinationByID(id DestinationID) *destination {
	d := b.destinations[id]
	if d == nil {
		d = &destination{}
		b.destinations[id] = d
		b.destinationOrder = append(b.destinationOrder, d)
	}
	return d
}

func (b *Dispatcher) removeEndpoint(id EndpointID) {
	if e := b.endpoints[id]; e != nil {
		d := b.destinationByID(e.Destination)
		d.endpoints = remove(d.endpoints, e)
	}
}

func (b *Dispatcher) addEndpoint(line Endpoint) {
	line.Kind, line.Zone = max(0, line.Kind), max(0, line.Zone)
	d := b.destinationByID(line.Destination)
	e := b.endpoints[line.ID]
	// what was told of its place before is not of this destination
	if e == nil || e.Destination != line.Destination {
		if e == nil {
			e = &endpoint{connectFailedAt: -never / 2}
			b.endpoints[line.ID] = e
		}
		if line.Kind < len(b.settings.Kinds) && b.settings.Kinds[line.Kind].PerEndpoint {
			e.route = b.newRoute(line, true)
		} else {
			if d.shared == nil {
				d.shared = b.newRoute(line, false)
			}
			e.route = d.shared
		}
	}
	e.Endpoint = line
	e.route.maxBatchSize = b.maxBatchSize(e)
	if b.settings.RatingIsRateLimit && isPositiveFinite(line.Rating) {
		b.updateRateLimit(e.route, line.Rating)
	}
	d.endpoints = append(d.endpoints, e)
}

// Avoided is how many listed endpoints get no traffic now but single calls that look whether they answer
// again.
func (b *Dispatcher) EjectedEndpoints() int {
	n := 0
	for _, d := range b.destinationOrder {
		for _, e := range d.endpoints {
			if e.route.state == unavailable {
				n++
			}
		}
	}
	return n
}

func remove[T comparable](list []T, x T) []T {
	for i, y := range list {
		if y == x {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

// route is the one that m was sent to last, or the first of its destination.
func (m *message) likelyRoute() *route {
	if n := len(m.attempts); n > 0 {
		return m.attempts[n-1].route
	}
	if m.destination.shared != nil || len(m.destination.endpoints) == 0 {
		return routeOrEmpty(m.destination.shared)
	}
	return m.destination.endpoints[0].route
}

func routeOrEmpty(r *route) *route {
	if r == nil {
		return &route{}
	}
	return r
}

func (b *Dispatcher) maxBatchSize(e *endpoint) int {
	if e.Kind < len(b.settings.Kinds) {
		return max(1, b.settings.Kinds[e.Kind].MaxBatchSize)
	}
	return 1
}

func (b *Dispatcher) logRoute(r *route, text string) {
	if b.now-r.lastLoggedAt >= 5*time.Second {
		r.lastLoggedAt = b.now
		b.actions = append(b.actions, Log{fmt.Sprintf("%d %s", r.name, text)})
	}
}

func (b *Dispatcher) decayTenantRates() {
	dt := (b.now - b.tenantRatesDecayedAt).Seconds()
	b.tenantRatesDecayedAt = b.now
	for i := range b.tenantRates {
		b.tenantRates[i].recent *= math.Exp(-dt / tenantRateSpan.Seconds())
		b.tenantRates[i].longTerm *= math.Exp(-dt / (10 * tenantRateSpan.Seconds()))
	}
}

// withhold stops what is not written yet to e: by the time that it is, a drain or a wait may bind.
func (b *Dispatcher) abortUnsent(e *endpoint) {
	if e != nil && e.inFlight > 0 {
		b.actions = append(b.actions, AbortUnsent{e.ID})
	}
}

// news takes in the list. What drains or is gone gets nothing new from this batch on.
func (b *Dispatcher) updateEndpointList(n EndpointListUpdate) {
	listed := map[EndpointID]bool{}
	for _, e := range n.Endpoints {
		listed[e.ID] = e.Ready
		b.removeEndpoint(e.ID)
		if e.Ready {
			b.addEndpoint(e)
		} else {
			b.abortUnsent(b.endpoints[e.ID])
		}
	}
	if n.Full {
		for _, d := range b.destinationOrder {
			for _, e := range append([]*endpoint(nil), d.endpoints...) {
				if !listed[e.ID] {
					b.removeEndpoint(e.ID)
					b.abortUnsent(e)
				}
			}
		}
	}
}

// retune takes in new settings. What was learnt of destinations stays, and the messages held have their
// rules.
func (b *Dispatcher) updateSettings(s Settings) {
	b.settings = s
	if len(s.Classes) != len(b.classGoodputs) {
		b.classGoodputs = make([]classGoodput, len(s.Classes))
	}
	b.tenantRates = append(b.tenantRates, make([]tenantRate, max(0,
		len(s.Tenants)-len(b.tenantRates)))...)[:len(s.Tenants)]
}

// positive reports whether x is of use as a figure: a report or a list may hold anything.
func isPositiveFinite(x float64) bool { return x > 0 && !math.IsInf(x, 1) }

func (b *Dispatcher) recordServed(r *route) {
	if r.recentServed == 0 {
		r.firstServedAt = b.now
	}
	r.recentServed = r.recentServed*math.Exp(-(b.now-r.lastServedAt).Seconds()/servedRateSpan.Seconds()) + 1
	r.lastServedAt = b.now
	r.servedCalls.add(1, b.now, arrivalSpan)
}

// rateServed is the rate of calls served as of the last of them.
func (r *route) servedRate() float64 {
	seen := max(r.lastServedAt-r.firstServedAt, time.Second).Seconds()
	return r.recentServed / (servedRateSpan.Seconds() * (1 - math.Exp(-seen/servedRateSpan.Seconds())))
}

// fill books the calls that the rate has allowed since the last look.
func (b *Dispatcher) refill(r *route) {
	rate, burst := b.allowedRate(r)
	if math.IsInf(rate, 1) {
		r.tokens = 1
	} else {
		r.tokens = min(burst, r.tokens+rate*(b.now-r.refilledAt).Seconds())
	}
	r.refilledAt = b.now
}
