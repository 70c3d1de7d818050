// Package emulator plays what a deployment of senders meets: discovery, endpoints, networks, clients and the
// machine itself, with troubles that overlap in time. The senders are real processes on loopback addresses. What
// the stand-ins see is kept in a ledger and judged by invariants, those of the protocol. A run's plan follows from
// its seed alone; how the processes interleave does not.
package emulator

import (
	"bufio"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Options is what a run is made of.
type Options struct {
	Seed         uint64
	Senders      int
	Destinations int
	Rate         float64       // messages a second that a sender gets in the mean
	LoadDuration         time.Duration // messages are handed in for so long
	PollsEndpointList    bool          // lists come on request, and are not pushed
	FaultKinds     []FaultKind // to draw from
	Plan         []Fault     // in place of a drawn one
	Directory       string        // for states, configurations and logs
	Command      Command       // starts a sender that calls RunSender
	Tolerance    time.Duration // for the machine's own delays
}

// Report is the outcome of a run.
type Report struct {
	Plan       []Fault
	Violations []Violation
	Counts     map[string]int
	Latency    *hdrhistogram.Histogram // ms from handing in to delivery
}

const (
	endpointsPerDestination = 2
	capacityMultiple    = 2.0 // a destination's capacity over its mean traffic
	settleTime     = 8 * time.Second
	drainDuration     = 1500 * time.Millisecond // from draining to gone
	maxReloads    = 4                       // signals in a row,
	minReloadInterval   = 200 * time.Millisecond  // so far apart
	reloadIntervalJitter  = 400 * time.Millisecond  // and up to so much further
	maxSignalOffset    = 120 * time.Millisecond  // between a SIGTERM and the signals beside it
	batchDestinationEvery    = 3                       // every such destination takes several messages in one call
	maxLatencyMS   = 60_000
)

// run is a run under way.
type runner struct {
	Options
	number uint32 // of this program's runs
	host   string // where its stand-ins listen
	rules  Rules
	ledger *History
	plan   []Fault
	trafficShares  []float64 // of the traffic, by destination

	agents    []*Agent
	processes []*Process
	clients   []*Clients
	restartLocks      []sync.Mutex // held while a sender's process is ended and started
	startLocks  []sync.Mutex // held while one starts: there is no SIGHUP then
	addresses []*address   // of each sender's agent; guarded by starting

	mu        sync.Mutex
	endpoints []*Endpoint
	links     map[string][]*Proxy // by endpoint, one for each sender
	errors    []string
	closers   []func()
}

// Run plays a run and judges it. The error is for what kept it from being played.
func Run(o Options) (*Report, error) {
	r := &runner{Options: o, number: runCount.Add(1), rules: DefaultRules(), ledger: NewHistory(), links: map[string][]*Proxy{}, restartLocks: make([]sync.Mutex, o.Senders), startLocks: make([]sync.Mutex, o.Senders)}
	defer r.close()
	r.host = standInHost(r.number)
	if r.plan = o.Plan; r.plan == nil {
		r.plan = drawPlan(o)
	}
	if err := r.build(); err != nil {
		return nil, err
	}
	if err := r.startSenders(); err != nil {
		return nil, err
	}
	r.play()
	return r.report(), nil
}

// zipf is the part of the traffic that each destination gets.
func zipfShares(n int) []float64 {
	parts, sum := make([]float64, n), 0.0
	for i := range parts {
		parts[i] = 1 / float64(i+1)
		sum += parts[i]
	}
	for i := range parts {
		parts[i] /= sum
	}
	return parts
}

func (r *runner) kindOf(destination int) string {
	if destination%batchDestinationEvery == 0 {
		return "shared"
	}
	return "plain"
}

// build starts the endpoints and, for each sender, its links to them and its agent.
func (r *runner) build() error {
	r.trafficShares = zipfShares(r.Destinations)
	lists := make([][]Server, r.Senders)
	for d := range r.Destinations {
		for n := range endpointsPerDestination {
			servers, err := r.addEndpoint(fmt.Sprintf("e%d-%d", d, n), d)
			if err != nil {
				return err
			}
			for i := range lists {
				lists[i] = append(lists[i], servers[i])
			}
		}
	}
	for i := range r.Senders {
		agent := NewAgent(r.ledger, i, r.PollsEndpointList, lists[i])
		at, err := agent.Listen(r.host)
		if err != nil {
			return err
		}
		r.closers = append(r.closers, at.close)
		r.addresses = append(r.addresses, at)
		r.agents = append(r.agents, agent)
		process, err := r.newProcess(i, at.addr, agent)
		if err != nil {
			return err
		}
		r.processes = append(r.processes, process)
		proxy, err := NewProxy(r.host, func() string { return process.Addr }, "", func() LinkFault { return r.clientFault(i) }, func(dialled time.Time) { r.ledger.RecordRefusal(i, dialled) })
		if err != nil {
			return err
		}
		r.closers = append(r.closers, proxy.Close)
		uneven := 0.5 + float64(i%4)/3 // half to one and a half of the mean
		r.clients = append(r.clients, NewClients(r.ledger, r.rules, i, proxy.Addr, r.trafficShares, r.Rate*uneven, r.Seed))
	}
	return nil
}

// addEndpoint starts an endpoint and gives its line of each sender's list.
func (r *runner) addEndpoint(id string, destination int) ([]Server, error) {
	e, err := NewEndpoint(r.host, r.ledger, id, destination, r.kindOf(destination) == "shared", func() Behaviour { return r.behaviour(destination) })
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpoints = append(r.endpoints, e)
	r.closers = append(r.closers, e.Close)
	var servers []Server
	for i := range r.Senders {
		link, err := NewProxy(r.host, e.Addr, senderPreface(i), func() LinkFault { return r.linkFault(i) }, nil)
		if err != nil {
			return nil, err
		}
		r.closers = append(r.closers, link.Close)
		r.links[id] = append(r.links[id], link)
		servers = append(servers, Server{ID: id, Addr: link.Addr, Zone: "a", Kind: r.kindOf(destination), Cell: destination, State: Serving, Weight: 1})
	}
	return servers, nil
}

// runs counts the runs of this program.
var runCount atomic.Uint32

// host is an address for one sender that no other has, of this run or of another one beside it. A sender comes back
// under its address, so that may not be a port that others are given meanwhile.
func senderHost(run uint32, sender int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%254, 1+run%254, 1+sender%253)
}

// standInHost is where the stand-ins of a run listen: no other run can reach them by a port that was its own before.
func standInHost(run uint32) string {
	return fmt.Sprintf("127.%d.%d.254", 1+os.Getpid()%254, 1+run%254)
}

const (
	clientPort = "8080"
	adminPort  = "9090"
)

// Every second sender has the socket for its clients from the platform, and can be upgraded beside itself.
func (r *runner) newProcess(number int, discovery string, agent *Agent) (*Process, error) {
	at := senderHost(r.number, number)
	p := &Process{Number: number, Addr: net.JoinHostPort(at, clientPort), Admin: net.JoinHostPort(at, adminPort), ledger: r.ledger,
		command: r.Command, agent: agent, known: agent.Known(), directory: filepath.Join(r.Directory, fmt.Sprintf("n%d", number)), rules: r.rules,
		senders: r.Senders, discovery: discovery}
	if number%2 == 0 {
		return p, nil
	}
	l, err := net.Listen("tcp", p.Addr)
	if err != nil {
		return nil, err
	}
	defer l.Close()
	if p.passedSocket, err = l.(*net.TCPListener).File(); err != nil {
		return nil, err
	}
	r.closers = append(r.closers, func() { p.passedSocket.Close() })
	return p, nil
}

// startSenders starts all and gives each its shims: the plan's times count from here on.
func (r *runner) startSenders() error {
	r.ledger.begin(time.Now().Add(time.Second)) // the load begins when all are ready
	zero := monotonicNow() + int64(time.Second)
	for _, t := range r.plan {
		kind, ok := shimKindOf[t.Kind]
		for _, i := range t.Senders {
			if ok {
				r.processes[i].Shims = append(r.processes[i].Shims, Shim{Kind: kind, From: zero + int64(t.From), Until: zero + int64(t.Until), Step: t.Step})
			}
		}
	}
	errs := make(chan error, r.Senders)
	for _, p := range r.processes {
		go func() { errs <- p.Start() }()
	}
	var first error
	for range r.processes {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// behaviour is how the endpoints of a destination behave now.
func (r *runner) behaviour(destination int) Behaviour {
	now := r.ledger.Now()
	for _, t := range r.plan {
		if b, ok := behaviourOf[t.Kind]; ok && t.Destination == destination && t.activeAt(now) {
			return b
		}
	}
	return Healthy
}

// linkFault is what the links of a sender to endpoints do now.
func (r *runner) linkFault(sender int) LinkFault {
	now := r.ledger.Now()
	for _, t := range r.plan {
		if fault, ok := linkFaultOf[t.Kind]; ok && t.activeAt(now) && slices.Contains(t.Senders, sender) {
			return fault
		}
	}
	return LinkHealthy
}

// clientFault is what the links of clients to a sender do now.
func (r *runner) clientFault(sender int) LinkFault {
	now := r.ledger.Now()
	for _, t := range r.plan {
		if t.Kind == ClientsFragmented && t.activeAt(now) && slices.Contains(t.Senders, sender) {
			return LinkFragments
		}
	}
	return LinkHealthy
}

// play lets the load and the troubles run, and what they leave.
func (r *runner) play() {
	time.Sleep(-r.ledger.Now())
	stop := make(chan struct{})
	var clients, troubles sync.WaitGroup
	for _, c := range r.clients {
		clients.Add(1)
		go func() { defer clients.Done(); c.Run(stop) }()
	}
	for _, t := range r.plan {
		troubles.Add(1)
		go func() { defer troubles.Done(); r.inject(t) }()
	}
	time.Sleep(r.LoadDuration - r.ledger.Now())
	close(stop)
	clients.Wait()
	troubles.Wait()
	time.Sleep(r.LoadDuration + settleTime - r.ledger.Now())
}

// strike carries out a trouble that is not simply a state of the stand-ins or a shim.
func (r *runner) inject(t Fault) {
	time.Sleep(t.From - r.ledger.Now())
	rest := func() { time.Sleep(t.Until - r.ledger.Now()) }
	switch t.Kind {
	case DiscoverySilent:
		r.forEachSender(t, func(i int) {
			r.agents[i].SetSilent(true)
			rest()
			r.agents[i].SetSilent(false)
		})
	case WatchesLost:
		r.forEachSender(t, func(i int) { r.agents[i].LoseWatches() })
	case EndpointsReplaced:
		r.noteError(r.replaceEndpoints(t))
	case SendersTerminated:
		r.forEachSender(t, func(i int) { r.terminate(i, t.signalRandom(r.Seed, i)) })
	case SendersKilled:
		r.forEachSender(t, func(i int) { r.restart(i, func() error { r.processes[i].Kill(); return nil }) })
	case SendersReloaded:
		r.forEachSender(t, func(i int) { r.reloadInSeries(i, t.signalRandom(r.Seed, i)) })
	case ConnectionFlood:
		r.forEachSender(t, func(i int) { r.clients[i].flood(r.processes[i].Addr, t.Until) })
	case SendersUpgraded:
		r.forEachSender(t, func(i int) { r.upgrade(i) })
	case SendersKilledAtAnswer:
		r.forEachSender(t, func(i int) { r.killAtAnswer(i, t.Until) })
	case DescriptorsExhausted:
		r.forEachSender(t, func(i int) { r.noteError(r.processes[i].LimitDescriptors(t.Until - t.From)) })
	case SendersPaused:
		r.forEachSender(t, func(i int) { r.processes[i].Pause(t.Until - t.From) })
	}
}

// each does something for all senders that a trouble strikes, side by side.
func (r *runner) forEachSender(t Fault, do func(sender int)) {
	var all sync.WaitGroup
	for _, i := range t.Senders {
		all.Add(1)
		go func() { defer all.Done(); do(i) }()
	}
	all.Wait()
}

// note keeps an error for the report.
func (r *runner) noteError(err error) {
	if err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.errors = append(r.errors, err.Error())
	}
}

// restart ends a sender's process and starts the next one, unless that is under way.
func (r *runner) restart(sender int, end func() error) {
	if !r.restartLocks[sender].TryLock() {
		return
	}
	defer r.restartLocks[sender].Unlock()
	r.noteError(end())
	time.Sleep(restartPause)
	r.startLocks[sender].Lock()
	defer r.startLocks[sender].Unlock()
	r.noteError(r.processes[sender].Start())
}

// terminate restarts a sender by SIGTERM, which may come amid other signals. Clients use every connection that stays open
// until the process is gone.
func (r *runner) terminate(sender int, draw *rand.Rand) {
	before, after, again := draw.IntN(3) == 0, draw.IntN(2) == 0, draw.IntN(3) == 0
	r.restart(sender, func() error {
		if before {
			r.noteError(r.reload(sender, true))
			time.Sleep(time.Duration(draw.Int64N(int64(maxSignalOffset))))
		}
		gone := make(chan struct{})
		var others sync.WaitGroup
		others.Add(2)
		go func() { defer others.Done(); r.clients[sender].UseIdleConnections(gone) }()
		go func() {
			defer others.Done()
			time.Sleep(time.Duration(draw.Int64N(int64(maxSignalOffset))))
			if after {
				r.reloadInSeries(sender, draw)
			}
			if again {
				r.processes[sender].signal(syscall.SIGTERM)
			}
		}()
		err := r.processes[sender].Terminate()
		close(gone)
		others.Wait()
		return err
	})
}

// upgrade starts a sender's next process beside the one that runs, where it has a socket to pass, and ends that.
func (r *runner) upgrade(sender int) {
	if !r.processes[sender].passesSocket() || !r.restartLocks[sender].TryLock() {
		return
	}
	defer r.restartLocks[sender].Unlock()
	r.startLocks[sender].Lock()
	defer r.startLocks[sender].Unlock()
	r.noteError(r.processes[sender].Upgrade())
}

// killAtAnswer kills a sender right behind its next answer that takes a message on.
func (r *runner) killAtAnswer(sender int, until time.Duration) {
	armed := r.clients[sender].nextAccepted()
	select {
	case <-armed:
		r.restart(sender, func() error { r.processes[sender].Kill(); return nil })
	case <-time.After(until - r.ledger.Now()):
	}
}

// reloadInSeries gives a sender one to four new configurations in a row, most of which move discovery.
func (r *runner) reloadInSeries(sender int, draw *rand.Rand) {
	for range 1 + draw.IntN(maxReloads) {
		r.noteError(r.reload(sender, draw.IntN(4) > 0))
		time.Sleep(minReloadInterval + time.Duration(draw.Int64N(int64(reloadIntervalJitter))))
	}
}

// reload gives a sender a new configuration, unless it is just starting. Where that moves discovery, the old address takes no
// new connections any more and ends a moment later.
func (r *runner) reload(sender int, moves bool) error {
	if !r.startLocks[sender].TryLock() {
		return nil
	}
	defer r.startLocks[sender].Unlock()
	if !r.processes[sender].mayReload() {
		return nil
	}
	if !moves {
		return r.processes[sender].Reload(r.addresses[sender].addr)
	}
	at, err := r.agents[sender].Listen(r.host)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.closers = append(r.closers, at.close)
	r.mu.Unlock()
	old := r.addresses[sender]
	r.addresses[sender] = at
	r.agents[sender].AddressMoved()
	err = r.processes[sender].Reload(at.addr)
	old.retire()
	return err
}

// replace drains the endpoints of a destination one after another and puts new ones in their place.
func (r *runner) replaceEndpoints(t Fault) error {
	r.mu.Lock()
	var old []*Endpoint
	for _, e := range r.endpoints {
		if e.Destination == t.Destination && !strings.HasPrefix(e.ID, "gone ") {
			old = append(old, e)
		}
	}
	r.mu.Unlock()
	for n, e := range old {
		servers, err := r.addEndpoint(fmt.Sprintf("e%d-%d-%d", t.Destination, t.From.Milliseconds(), n), t.Destination)
		if err != nil {
			return err
		}
		for i, a := range r.agents {
			a.Change(servers[i])
			a.Change(Server{ID: e.ID, Addr: r.linkAddr(e, i), Zone: "a", Kind: r.kindOf(e.Destination), Cell: e.Destination, State: Draining, Weight: 1})
		}
	}
	time.Sleep(drainDuration)
	for _, e := range old {
		for i, a := range r.agents {
			a.Change(Server{ID: e.ID, Addr: r.linkAddr(e, i), Zone: "a", Kind: r.kindOf(e.Destination), Cell: e.Destination, State: Deleted, Weight: 1})
		}
	}
	return nil
}

func (r *runner) linkAddr(e *Endpoint, sender int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.links[e.ID][sender].Addr
}

// outages are the spans from which destinations return cold.
func (r *runner) outages() []Outage {
	var list []Outage
	for _, t := range r.plan {
		switch t.Kind {
		case EndpointsHang, EndpointsFail, EndpointsUnavailable, EndpointsReset:
			list = append(list, Outage{t.Destination, t.From, t.Until})
		}
	}
	return list
}

// struck reports whether one of some troubles strikes a sender at a time.
func (r *runner) isAffected(sender int, at time.Duration, kinds ...FaultKind) bool {
	for _, t := range r.plan {
		if slices.Contains(kinds, t.Kind) && t.activeAt(at) && slices.Contains(t.Senders, sender) {
			return true
		}
	}
	return false
}

// mayNotKnow reports whether answers may not come to a sender at a time, or its disk takes nothing.
func (r *runner) outcomeUncertain(sender int, at time.Duration) bool {
	return r.isAffected(sender, at, DiskFull, DiskErrors, DiskTornWrites, LinksCut, LinksReset)
}

// heldUp reports whether a sender's machine keeps it from taking or answering clients at a time.
func (r *runner) impaired(sender int, at time.Duration) bool {
	return r.isAffected(sender, at, AcceptFails, DescriptorsExhausted, SendersPaused, ClientsFragmented)
}

// crowded reports whether a crowd keeps a sender from taking new connections at a time, or has just done so.
func (r *runner) flooded(sender int, at time.Duration) bool {
	return r.isAffected(sender, at, ConnectionFlood) || r.isAffected(sender, at-floodDrainTime, ConnectionFlood)
}

// report judges the run and ends the senders.
func (r *runner) report() *Report {
	end := r.ledger.Now()
	for _, p := range r.processes {
		figures, err := p.Metrics()
		r.noteError(err)
		for name, n := range figures {
			if strings.HasPrefix(name, "edge_edge.") {
				r.ledger.AddCounter(strings.TrimPrefix(name, "edge_edge."), n)
			}
		}
	}
	var all sync.WaitGroup
	for _, p := range r.processes {
		all.Add(1)
		go func() { defer all.Done(); r.noteError(p.Terminate()) }()
	}
	all.Wait()
	total := r.Rate * float64(r.Senders)
	facts := RunFacts{Rules: r.rules, Tolerance: r.Tolerance, Outages: r.outages(), End: end, OutcomeUncertain: r.outcomeUncertain, Impaired: r.impaired, Flooded: r.flooded}
	for _, part := range r.trafficShares {
		facts.Capacity = append(facts.Capacity, capacityMultiple*part*total)
	}
	report := &Report{Plan: r.plan, Violations: Check(r.ledger, facts), Latency: hdrhistogram.New(1, maxLatencyMS, 3)}
	for _, e := range r.errors {
		report.Violations = append(report.Violations, Violation{"process", end, e})
	}
	report.Violations = append(report.Violations, r.loggedViolations(end)...)
	report.count(r.ledger)
	return report
}

var violationLogLine = regexp.MustCompile(`msg="rule violated" rule=(\S+)`)

// guardLines is what the senders' own guards have logged, which no stand-in may have seen.
func (r *runner) loggedViolations(end time.Duration) []Violation {
	var found []Violation
	for _, p := range r.processes {
		log, err := os.Open(filepath.Join(p.directory, "log"))
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(log)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			if m := violationLogLine.FindStringSubmatch(lines.Text()); m != nil {
				found = append(found, Violation{"guard " + m[1], end, fmt.Sprintf("sender %d: %s", p.Number, lines.Text())})
			}
		}
		log.Close()
	}
	return found
}

// count sums up what happened.
func (report *Report) count(l *History) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := map[string]int{"submissions": len(l.submissions), "calls": len(l.attempts), "notices": len(l.notices), "bad peers": len(l.badPeers)}
	for _, s := range l.submissions {
		switch {
		case s.Status == 200 || s.Status == 202:
			c["taken on"]++
		case s.Status == 429 || s.Status == 503:
			c["refused"]++
		case s.Status != 0:
			c["failed"]++
		case s.ConnectionClosed:
			c["closed"]++
		default:
			c["unanswered"]++
		}
	}
	delivered := map[string]bool{}
	for _, a := range l.attempts {
		if s := l.submissions[a.ID]; a.Status == 200 && s != nil && !delivered[a.ID] {
			delivered[a.ID] = true
			report.Latency.RecordValue(min(maxLatencyMS, max(1, (a.EndedAt-s.SentAt).Milliseconds())))
		}
	}
	c["delivered"] = len(delivered)
	for _, n := range l.notices {
		c["notice "+n.Outcome]++
	}
	for name, n := range l.counters {
		if strings.HasPrefix(name, "violations.") && n > 0 {
			c[name] = n
		}
	}
	for _, e := range l.incarnationEvents {
		c["process "+string(e.Phase)]++
	}
	report.Counts = c
}

// Quantile is a latency that a part of the deliveries did not exceed, in milliseconds.
func (report *Report) Quantile(part float64) int64 {
	return report.Latency.ValueAtQuantile(math.Min(100, part*100))
}

// close ends everything that the run has started.
func (r *runner) close() {
	for _, p := range r.processes {
		p.stop()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.closers {
		f()
	}
}
