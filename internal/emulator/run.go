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
	Load         time.Duration // messages are handed in for so long
	OnRequest    bool          // lists come on request, and are not pushed
	Troubles     []TroubleKind // to draw from
	Plan         []Trouble     // in place of a drawn one
	Folder       string        // for states, configurations and logs
	Command      Command       // starts a sender that calls RunSender
	Tolerance    time.Duration // for the machine's own delays
}

// Report is the outcome of a run.
type Report struct {
	Plan       []Trouble
	Violations []Violation
	Counts     map[string]int
	Latency    *hdrhistogram.Histogram // ms from handing in to delivery
}

const (
	endpointsEach = 2
	capacityBy    = 2.0 // a destination's capacity over its mean traffic
	afterLoad     = 8 * time.Second
	goneAfter     = 1500 * time.Millisecond // from draining to gone
	seriesMost    = 4                       // signals in a row,
	seriesLeast   = 200 * time.Millisecond  // so far apart
	seriesSpread  = 400 * time.Millisecond  // and up to so much further
	besideMost    = 120 * time.Millisecond  // between a SIGTERM and the signals beside it
	sharesEach    = 3                       // every such destination takes several messages in one call
	latencyMost   = 60_000
)

// run is a run under way.
type run struct {
	Options
	number uint32 // of this program's runs
	host   string // where its stand-ins listen
	rules  Rules
	ledger *Ledger
	plan   []Trouble
	parts  []float64 // of the traffic, by destination

	agents    []*Agent
	processes []*Process
	clients   []*Clients
	busy      []sync.Mutex // held while a sender's process is ended and started
	starting  []sync.Mutex // held while one starts: there is no SIGHUP then
	addresses []*address   // of each sender's agent; guarded by starting

	mu        sync.Mutex
	endpoints []*Endpoint
	links     map[string][]*Proxy // by endpoint, one for each sender
	errors    []string
	closers   []func()
}

// Run plays a run and judges it. The error is for what kept it from being played.
func Run(o Options) (*Report, error) {
	r := &run{Options: o, number: runs.Add(1), rules: DefaultRules(), ledger: NewLedger(), links: map[string][]*Proxy{}, busy: make([]sync.Mutex, o.Senders), starting: make([]sync.Mutex, o.Senders)}
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
func zipf(n int) []float64 {
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

func (r *run) kindOf(destination int) string {
	if destination%sharesEach == 0 {
		return "shared"
	}
	return "plain"
}

// build starts the endpoints and, for each sender, its links to them and its agent.
func (r *run) build() error {
	r.parts = zipf(r.Destinations)
	lists := make([][]Server, r.Senders)
	for d := range r.Destinations {
		for n := range endpointsEach {
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
		agent := NewAgent(r.ledger, i, r.OnRequest, lists[i])
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
		proxy, err := NewProxy(r.host, func() string { return process.Addr }, "", func() LinkFault { return r.clientFault(i) }, func(dialled time.Time) { r.ledger.Refuse(i, dialled) })
		if err != nil {
			return err
		}
		r.closers = append(r.closers, proxy.Close)
		uneven := 0.5 + float64(i%4)/3 // half to one and a half of the mean
		r.clients = append(r.clients, NewClients(r.ledger, r.rules, i, proxy.Addr, r.parts, r.Rate*uneven, r.Seed))
	}
	return nil
}

// addEndpoint starts an endpoint and gives its line of each sender's list.
func (r *run) addEndpoint(id string, destination int) ([]Server, error) {
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
		link, err := NewProxy(r.host, e.Addr, prefaceOf(i), func() LinkFault { return r.linkFault(i) }, nil)
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
var runs atomic.Uint32

// host is an address for one sender that no other has, of this run or of another one beside it. A sender comes back
// under its address, so that may not be a port that others are given meanwhile.
func host(run uint32, sender int) string {
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
func (r *run) newProcess(number int, discovery string, agent *Agent) (*Process, error) {
	at := host(r.number, number)
	p := &Process{Number: number, Addr: net.JoinHostPort(at, clientPort), Admin: net.JoinHostPort(at, adminPort), ledger: r.ledger,
		command: r.Command, agent: agent, known: agent.Known(), folder: filepath.Join(r.Folder, fmt.Sprintf("n%d", number)), rules: r.rules,
		senders: r.Senders, discovery: discovery}
	if number%2 == 0 {
		return p, nil
	}
	l, err := net.Listen("tcp", p.Addr)
	if err != nil {
		return nil, err
	}
	defer l.Close()
	if p.socket, err = l.(*net.TCPListener).File(); err != nil {
		return nil, err
	}
	r.closers = append(r.closers, func() { p.socket.Close() })
	return p, nil
}

// startSenders starts all and gives each its shims: the plan's times count from here on.
func (r *run) startSenders() error {
	r.ledger.begin(time.Now().Add(time.Second)) // the load begins when all are ready
	zero := monotonicNow() + int64(time.Second)
	for _, t := range r.plan {
		kind, ok := shimOf[t.Kind]
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
func (r *run) behaviour(destination int) Behaviour {
	now := r.ledger.Now()
	for _, t := range r.plan {
		if b, ok := behaviourOf[t.Kind]; ok && t.Destination == destination && t.active(now) {
			return b
		}
	}
	return Well
}

// linkFault is what the links of a sender to endpoints do now.
func (r *run) linkFault(sender int) LinkFault {
	now := r.ledger.Now()
	for _, t := range r.plan {
		if fault, ok := linkFaultOf[t.Kind]; ok && t.active(now) && slices.Contains(t.Senders, sender) {
			return fault
		}
	}
	return LinkWell
}

// clientFault is what the links of clients to a sender do now.
func (r *run) clientFault(sender int) LinkFault {
	now := r.ledger.Now()
	for _, t := range r.plan {
		if t.Kind == ClientsChopped && t.active(now) && slices.Contains(t.Senders, sender) {
			return LinkChopped
		}
	}
	return LinkWell
}

// play lets the load and the troubles run, and what they leave.
func (r *run) play() {
	time.Sleep(-r.ledger.Now())
	stop := make(chan struct{})
	var clients, troubles sync.WaitGroup
	for _, c := range r.clients {
		clients.Add(1)
		go func() { defer clients.Done(); c.Run(stop) }()
	}
	for _, t := range r.plan {
		troubles.Add(1)
		go func() { defer troubles.Done(); r.strike(t) }()
	}
	time.Sleep(r.Load - r.ledger.Now())
	close(stop)
	clients.Wait()
	troubles.Wait()
	time.Sleep(r.Load + afterLoad - r.ledger.Now())
}

// strike carries out a trouble that is not simply a state of the stand-ins or a shim.
func (r *run) strike(t Trouble) {
	time.Sleep(t.From - r.ledger.Now())
	rest := func() { time.Sleep(t.Until - r.ledger.Now()) }
	switch t.Kind {
	case DiscoverySilent:
		r.each(t, func(i int) {
			r.agents[i].Silence(true)
			rest()
			r.agents[i].Silence(false)
		})
	case WatchesLost:
		r.each(t, func(i int) { r.agents[i].LoseWatches() })
	case EndpointsReplaced:
		r.note(r.replace(t))
	case SendersTerminated:
		r.each(t, func(i int) { r.terminate(i, t.signals(r.Seed, i)) })
	case SendersKilled:
		r.each(t, func(i int) { r.restart(i, func() error { r.processes[i].Kill(); return nil }) })
	case SendersReloaded:
		r.each(t, func(i int) { r.reloadInSeries(i, t.signals(r.Seed, i)) })
	case ClientsCrowd:
		r.each(t, func(i int) { r.clients[i].crowd(r.processes[i].Addr, t.Until) })
	case SendersUpgraded:
		r.each(t, func(i int) { r.upgrade(i) })
	case KilledAtAnAnswer:
		r.each(t, func(i int) { r.killAtAnswer(i, t.Until) })
	case DescriptorsShort:
		r.each(t, func(i int) { r.note(r.processes[i].LimitDescriptors(t.Until - t.From)) })
	case SendersPaused:
		r.each(t, func(i int) { r.processes[i].Pause(t.Until - t.From) })
	}
}

// each does something for all senders that a trouble strikes, side by side.
func (r *run) each(t Trouble, do func(sender int)) {
	var all sync.WaitGroup
	for _, i := range t.Senders {
		all.Add(1)
		go func() { defer all.Done(); do(i) }()
	}
	all.Wait()
}

// note keeps an error for the report.
func (r *run) note(err error) {
	if err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.errors = append(r.errors, err.Error())
	}
}

// restart ends a sender's process and starts the next one, unless that is under way.
func (r *run) restart(sender int, end func() error) {
	if !r.busy[sender].TryLock() {
		return
	}
	defer r.busy[sender].Unlock()
	r.note(end())
	time.Sleep(restartRest)
	r.starting[sender].Lock()
	defer r.starting[sender].Unlock()
	r.note(r.processes[sender].Start())
}

// terminate restarts a sender by SIGTERM, which may come amid other signals. Clients use every connection that stays open
// until the process is gone.
func (r *run) terminate(sender int, draw *rand.Rand) {
	before, after, again := draw.IntN(3) == 0, draw.IntN(2) == 0, draw.IntN(3) == 0
	r.restart(sender, func() error {
		if before {
			r.note(r.reload(sender, true))
			time.Sleep(time.Duration(draw.Int64N(int64(besideMost))))
		}
		gone := make(chan struct{})
		var others sync.WaitGroup
		others.Add(2)
		go func() { defer others.Done(); r.clients[sender].UseAll(gone) }()
		go func() {
			defer others.Done()
			time.Sleep(time.Duration(draw.Int64N(int64(besideMost))))
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
func (r *run) upgrade(sender int) {
	if !r.processes[sender].passes() || !r.busy[sender].TryLock() {
		return
	}
	defer r.busy[sender].Unlock()
	r.starting[sender].Lock()
	defer r.starting[sender].Unlock()
	r.note(r.processes[sender].Upgrade())
}

// killAtAnswer kills a sender right behind its next answer that takes a message on.
func (r *run) killAtAnswer(sender int, until time.Duration) {
	armed := r.clients[sender].atNextAnswer()
	select {
	case <-armed:
		r.restart(sender, func() error { r.processes[sender].Kill(); return nil })
	case <-time.After(until - r.ledger.Now()):
	}
}

// reloadInSeries gives a sender one to four new configurations in a row, most of which move discovery.
func (r *run) reloadInSeries(sender int, draw *rand.Rand) {
	for range 1 + draw.IntN(seriesMost) {
		r.note(r.reload(sender, draw.IntN(4) > 0))
		time.Sleep(seriesLeast + time.Duration(draw.Int64N(int64(seriesSpread))))
	}
}

// reload gives a sender a new configuration, unless it is just starting. Where that moves discovery, the old address takes no
// new connections any more and ends a moment later.
func (r *run) reload(sender int, moves bool) error {
	if !r.starting[sender].TryLock() {
		return nil
	}
	defer r.starting[sender].Unlock()
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
	r.agents[sender].Move()
	err = r.processes[sender].Reload(at.addr)
	old.retire()
	return err
}

// replace drains the endpoints of a destination one after another and puts new ones in their place.
func (r *run) replace(t Trouble) error {
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
			a.Change(Server{ID: e.ID, Addr: r.addrOf(e, i), Zone: "a", Kind: r.kindOf(e.Destination), Cell: e.Destination, State: Draining, Weight: 1})
		}
	}
	time.Sleep(goneAfter)
	for _, e := range old {
		for i, a := range r.agents {
			a.Change(Server{ID: e.ID, Addr: r.addrOf(e, i), Zone: "a", Kind: r.kindOf(e.Destination), Cell: e.Destination, State: Deleted, Weight: 1})
		}
	}
	return nil
}

func (r *run) addrOf(e *Endpoint, sender int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.links[e.ID][sender].Addr
}

// outages are the spans from which destinations return cold.
func (r *run) outages() []Outage {
	var list []Outage
	for _, t := range r.plan {
		switch t.Kind {
		case EndpointsHang, EndpointsFail, EndpointsShut, EndpointsBreak:
			list = append(list, Outage{t.Destination, t.From, t.Until})
		}
	}
	return list
}

// struck reports whether one of some troubles strikes a sender at a time.
func (r *run) struck(sender int, at time.Duration, kinds ...TroubleKind) bool {
	for _, t := range r.plan {
		if slices.Contains(kinds, t.Kind) && t.active(at) && slices.Contains(t.Senders, sender) {
			return true
		}
	}
	return false
}

// mayNotKnow reports whether answers may not come to a sender at a time, or its disk takes nothing.
func (r *run) mayNotKnow(sender int, at time.Duration) bool {
	return r.struck(sender, at, DiskFull, DiskErrors, DiskTorn, LinksCut, LinksReset)
}

// heldUp reports whether a sender's machine keeps it from taking or answering clients at a time.
func (r *run) heldUp(sender int, at time.Duration) bool {
	return r.struck(sender, at, AcceptFails, DescriptorsShort, SendersPaused, ClientsChopped)
}

// crowded reports whether a crowd keeps a sender from taking new connections at a time, or has just done so.
func (r *run) crowded(sender int, at time.Duration) bool {
	return r.struck(sender, at, ClientsCrowd) || r.struck(sender, at-crowdPasses, ClientsCrowd)
}

// report judges the run and ends the senders.
func (r *run) report() *Report {
	end := r.ledger.Now()
	for _, p := range r.processes {
		figures, err := p.Figures()
		r.note(err)
		for name, n := range figures {
			if strings.HasPrefix(name, "edge_edge.") {
				r.ledger.Count(strings.TrimPrefix(name, "edge_edge."), n)
			}
		}
	}
	var all sync.WaitGroup
	for _, p := range r.processes {
		all.Add(1)
		go func() { defer all.Done(); r.note(p.Terminate()) }()
	}
	all.Wait()
	total := r.Rate * float64(r.Senders)
	facts := Facts{Rules: r.rules, Tolerance: r.Tolerance, Outages: r.outages(), End: end, MayNotKnow: r.mayNotKnow, HeldUp: r.heldUp, Crowded: r.crowded}
	for _, part := range r.parts {
		facts.Capacity = append(facts.Capacity, capacityBy*part*total)
	}
	report := &Report{Plan: r.plan, Violations: Check(r.ledger, facts), Latency: hdrhistogram.New(1, latencyMost, 3)}
	for _, e := range r.errors {
		report.Violations = append(report.Violations, Violation{"process", end, e})
	}
	report.Violations = append(report.Violations, r.guardLines(end)...)
	report.count(r.ledger)
	return report
}

var guardLine = regexp.MustCompile(`msg="rule violated" rule=(\S+)`)

// guardLines is what the senders' own guards have logged, which no stand-in may have seen.
func (r *run) guardLines(end time.Duration) []Violation {
	var found []Violation
	for _, p := range r.processes {
		log, err := os.Open(filepath.Join(p.folder, "log"))
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(log)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			if m := guardLine.FindStringSubmatch(lines.Text()); m != nil {
				found = append(found, Violation{"guard " + m[1], end, fmt.Sprintf("sender %d: %s", p.Number, lines.Text())})
			}
		}
		log.Close()
	}
	return found
}

// count sums up what happened.
func (report *Report) count(l *Ledger) {
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
		case s.Closed:
			c["closed"]++
		default:
			c["unanswered"]++
		}
	}
	delivered := map[string]bool{}
	for _, a := range l.attempts {
		if s := l.submissions[a.ID]; a.Status == 200 && s != nil && !delivered[a.ID] {
			delivered[a.ID] = true
			report.Latency.RecordValue(min(latencyMost, max(1, (a.EndedAt-s.SentAt).Milliseconds())))
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
	for _, e := range l.lives {
		c["process "+string(e.Event)]++
	}
	report.Counts = c
}

// Quantile is a latency that a part of the deliveries did not exceed, in milliseconds.
func (report *Report) Quantile(part float64) int64 {
	return report.Latency.ValueAtQuantile(math.Min(100, part*100))
}

// close ends everything that the run has started.
func (r *run) close() {
	for _, p := range r.processes {
		p.end()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.closers {
		f()
	}
}
