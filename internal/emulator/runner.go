package emulator

import (
	"context"
	"slices"
	"sync"
	"time"
)

// settleTime is the time from the end of the load to the end of a run, in which every message has to end.
const settleTime = 8 * time.Second

// Options configures a run.
type Options struct {
	Seed              uint64
	Senders           int
	Destinations      int
	Rate              float64       // mean number of messages per second that a sender gets
	LoadDuration      time.Duration // time for which messages are submitted
	PollsEndpointList bool          // senders poll endpoint lists, which are not pushed
	FaultKinds        []FaultKind   // kinds from which a plan is drawn
	Plan              []Fault       // used instead of a drawn plan, unless it is nil
	Directory         string        // for the senders' states, configurations and logs
	Command           Command       // starts a sender; its program has to call RunSender
	Tolerance         time.Duration // added to the invariants' limits, for delays of the machine itself
}

// runner is a run in progress. It owns all stand-ins and processes.
type runner struct {
	Options
	runNumber     uint32 // among the runs of this program
	host          string // address at which the stand-ins listen
	parameters    Parameters
	history       *History
	plan          []Fault
	trafficShares []float64 // by destination

	agents       []*Agent
	processes    []*Process
	clients      []*Clients
	restartLocks []sync.Mutex   // by sender; held during a restart or an upgrade
	startLocks   []sync.Mutex   // by sender; held while a process starts, so that no SIGHUP is sent meanwhile
	agentServers []*agentServer // the current server of each sender's agent; guarded by startLocks

	mu        sync.Mutex
	endpoints []*Endpoint
	links     map[string][]*Proxy // by the endpoint's ID, one link for each sender
	errors    []string
	closers   []func()
}

// Run performs a run, checks it by the invariants and returns the report. The error reports that the run could not be
// performed.
func Run(o Options) (*Report, error) {
	r := newRunner(o)
	defer r.close()
	if err := r.startStandIns(); err != nil {
		return nil, err
	}
	if err := r.startSenders(); err != nil {
		return nil, err
	}
	r.execute()
	return r.report(), nil
}

// newRunner returns a runner with the plan from the options or, if they hold none, a plan drawn from the seed.
func newRunner(o Options) *runner {
	number := runCount.Add(1)
	r := &runner{
		Options:      o,
		runNumber:    number,
		host:         standInHost(number),
		parameters:   DefaultParameters(),
		history:      NewHistory(),
		plan:         o.Plan,
		links:        map[string][]*Proxy{},
		restartLocks: make([]sync.Mutex, o.Senders),
		startLocks:   make([]sync.Mutex, o.Senders),
	}
	if r.plan == nil {
		r.plan = drawPlan(o)
	}
	return r
}

// execute applies the load and the faults, and waits until settleTime after the end of the load.
func (r *runner) execute() {
	r.sleepUntil(0)
	load, endLoad := context.WithCancel(context.Background())
	defer endLoad()
	var clients, faults sync.WaitGroup
	for _, c := range r.clients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c.Run(load)
		}()
	}
	for _, f := range r.plan {
		faults.Add(1)
		go func() {
			defer faults.Done()
			r.inject(f)
		}()
	}
	r.sleepUntil(r.LoadDuration)
	endLoad()
	clients.Wait()
	faults.Wait()
	r.sleepUntil(r.LoadDuration + settleTime)
}

// sleepUntil sleeps until the run's clock has reached a time.
func (r *runner) sleepUntil(at time.Duration) { time.Sleep(at - r.history.Now()) }

// forEachSender calls do for all senders that a fault affects, concurrently, and waits for the calls.
func (r *runner) forEachSender(f Fault, do func(sender int)) {
	var senders sync.WaitGroup
	for _, i := range f.Senders {
		senders.Add(1)
		go func() {
			defer senders.Done()
			do(i)
		}()
	}
	senders.Wait()
}

// recordError keeps an error, unless it is nil, for the report.
func (r *runner) recordError(err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errors = append(r.errors, err.Error())
}

// addCloser adds a function that closes something that the run has started.
func (r *runner) addCloser(closer func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closers = append(r.closers, closer)
}

// close stops everything that the run has started, the processes first, and waits for it to stop.
func (r *runner) close() {
	for _, p := range r.processes {
		p.stop()
	}
	r.mu.Lock()
	closers := slices.Clone(r.closers)
	r.mu.Unlock()
	for _, closer := range closers {
		closer()
	}
}
