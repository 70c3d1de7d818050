package emulator

import (
	"context"
	"slices"
	"sync"
	"time"
)

// settleTime is how long a run goes on after the load, so that every message has its end.
const settleTime = 8 * time.Second

// Options is what a run is made of.
type Options struct {
	Seed              uint64
	Senders           int
	Destinations      int
	Rate              float64       // messages per second that a sender gets on average
	LoadDuration      time.Duration // for which messages are submitted
	PollsEndpointList bool          // senders poll endpoint lists, which are not pushed
	FaultKinds        []FaultKind   // to draw a plan from
	Plan              []Fault       // in place of a drawn one
	Directory         string        // for states, configurations and logs
	Command           Command       // starts a sender that calls RunSender
	Tolerance         time.Duration // for delays of the machine itself
}

// runner is a run in progress. It owns all stand-ins and processes.
type runner struct {
	Options
	runNumber     uint32 // of this program's runs
	host          string // where the stand-ins listen
	parameters    Parameters
	history       *History
	plan          []Fault
	trafficShares []float64 // by destination

	agents       []*Agent
	processes    []*Process
	clients      []*Clients
	restartLocks []sync.Mutex   // held while a sender's process is ended and started
	startLocks   []sync.Mutex   // held while one starts: there is no SIGHUP then
	agentServers []*agentServer // the present one of each sender's agent; guarded by startLocks

	mu        sync.Mutex
	endpoints []*Endpoint
	links     map[string][]*Proxy // by endpoint, one for each sender
	errors    []string
	closers   []func()
}

// Run plays a run and judges it. The error is for what kept it from being played.
func Run(o Options) (*Report, error) {
	r := newRunner(o)
	defer r.close()
	if err := r.startStandIns(); err != nil {
		return nil, err
	}
	if err := r.startSenders(); err != nil {
		return nil, err
	}
	r.play()
	return r.report(), nil
}

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

// play runs the load and the faults, and waits until their effects have settled.
func (r *runner) play() {
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

// sleepUntil sleeps until a time of the run.
func (r *runner) sleepUntil(at time.Duration) { time.Sleep(at - r.history.Now()) }

// forEachSender does something for all senders that a fault affects, side by side.
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

// noteError keeps an error for the report.
func (r *runner) recordError(err error) {
	if err == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errors = append(r.errors, err.Error())
}

// addCloser adds what ends something that the run has started.
func (r *runner) addCloser(closer func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closers = append(r.closers, closer)
}

// close ends everything that the run has started, the processes first, and waits for it.
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
