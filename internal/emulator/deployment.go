package emulator

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
)

const (
	endpointsPerDestination = 2
	capacityMultiple        = 2.0 // ratio of a destination's capacity to its mean traffic
	batchDestinationEvery   = 3   // every third destination accepts batches
	clientPort              = "8080"
	adminPort               = "9090"
	zone                    = "a"

	// The kinds of endpoints, as named in settings and endpoint lists.
	plainKind = "plain"
	batchKind = "shared"

	startLeadTime = time.Second // from the start of the processes until the run's clock is at 0
)

// runCount counts the runs that this program has started.
var runCount atomic.Uint32

// loopbackAddress returns the loopback address of one emulated host. It depends on the process ID and the run's number,
// so that programs and runs at the same time use different addresses.
func loopbackAddress(run uint32, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%254, 1+run%254, host)
}

// senderHost returns the address of one sender, which no other sender has, neither in this run nor in another run at
// the same time. A sender listens at the same port again after a restart, so nothing else may be given that port
// meanwhile.
func senderHost(run uint32, sender int) string { return loopbackAddress(run, 1+sender%253) }

// standInHost returns the address at which the stand-ins of a run listen. No other run uses it. Otherwise a connection
// of another run, to a port that its own stand-ins had before, could reach a stand-in of this run.
func standInHost(run uint32) string { return loopbackAddress(run, 254) }

// zipfShares returns the share of the traffic that each of n destinations gets, by Zipf's law.
func zipfShares(n int) []float64 {
	shares, sum := make([]float64, n), 0.0
	for i := range shares {
		shares[i] = 1 / float64(i+1)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// clientRate returns how many messages per second the clients of a sender submit: between 0.5 and 1.5 times the mean.
func (r *runner) clientRate(sender int) float64 { return r.Rate * (0.5 + float64(sender%4)/3) }

// kindOf returns the kind of a destination's endpoints.
func kindOf(destination int) string {
	if destination%batchDestinationEvery == 0 {
		return batchKind
	}
	return plainKind
}

// serverLine returns the endpoint list's line for an endpoint that a sender reaches at addr.
func serverLine(id, addr string, destination int, state string) Server {
	return Server{ID: id, Addr: addr, Zone: zone, Kind: kindOf(destination), Cell: destination, State: state, Weight: 1}
}

// startStandIns starts the endpoints and, for each sender, its links to them, its agent and its clients' link. It also
// prepares the senders' processes, which startSenders starts.
func (r *runner) startStandIns() error {
	r.trafficShares = zipfShares(r.Destinations)
	lists := make([][]Server, r.Senders)
	for destination := range r.Destinations {
		for n := range endpointsPerDestination {
			servers, err := r.addEndpoint(fmt.Sprintf("e%d-%d", destination, n), destination)
			if err != nil {
				return err
			}
			for i := range lists {
				lists[i] = append(lists[i], servers[i])
			}
		}
	}
	for i := range r.Senders {
		if err := r.addSender(i, lists[i]); err != nil {
			return err
		}
	}
	return nil
}

// addEndpoint starts an endpoint and a link to it for each sender. It returns the endpoint's line in each sender's
// list.
func (r *runner) addEndpoint(id string, destination int) ([]Server, error) {
	e, err := NewEndpoint(r.host, r.history, EndpointSpec{
		ID:          id,
		Destination: destination,
		Behaviour:   func() Behaviour { return r.behaviour(destination) },
	})
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpoints = append(r.endpoints, e)
	r.closers = append(r.closers, e.Close)
	var servers []Server
	for i := range r.Senders {
		link, err := NewProxy(r.host, ProxySpec{
			Target:  e.Addr,
			Preface: senderPreface(i),
			Fault:   func() LinkFault { return r.linkFault(i) },
		})
		if err != nil {
			return nil, err
		}
		r.closers = append(r.closers, link.Close)
		r.links[id] = append(r.links[id], link)
		servers = append(servers, serverLine(id, link.Addr, destination, Serving))
	}
	return servers, nil
}

// addSender starts the agent and the clients' link of a sender, and prepares its process and its clients.
func (r *runner) addSender(number int, list []Server) error {
	agent := NewAgent(r.history, number, r.PollsEndpointList, list)
	server, err := agent.Listen(r.host)
	if err != nil {
		return err
	}
	r.addCloser(server.close)
	r.agentServers = append(r.agentServers, server)
	r.agents = append(r.agents, agent)
	process, err := r.newProcess(number, server.addr, agent)
	if err != nil {
		return err
	}
	r.processes = append(r.processes, process)
	proxy, err := NewProxy(r.host, ProxySpec{
		Target:    func() string { return process.Addr },
		Fault:     func() LinkFault { return r.clientFault(number) },
		OnRefused: func(dialled time.Time) { r.history.RecordRefusal(number, dialled) },
	})
	if err != nil {
		return err
	}
	r.addCloser(proxy.Close)
	clients := NewClients(r.history, r.parameters, number, proxy.Addr, r.trafficShares, r.clientRate(number), r.Seed)
	r.addCloser(clients.Close)
	r.clients = append(r.clients, clients)
	return nil
}

// newProcess prepares the process of a sender without starting it. Every second sender is passed its clients' socket,
// as the platform does, so that an upgrade can start its next process while the current one still runs.
func (r *runner) newProcess(number int, discoveryAddr string, agent *Agent) (*Process, error) {
	host := senderHost(r.runNumber, number)
	p := &Process{
		ProcessSpec: ProcessSpec{
			Number:     number,
			Addr:       net.JoinHostPort(host, clientPort),
			AdminAddr:  net.JoinHostPort(host, adminPort),
			Directory:  filepath.Join(r.Directory, fmt.Sprintf("n%d", number)),
			Command:    r.Command,
			Parameters: r.parameters,
			Senders:    r.Senders,
			Agent:      agent,
			Known:      agent.Known(),
			History:    r.history,
		},
		discoveryAddr: discoveryAddr,
	}
	if number%2 == 0 {
		return p, nil
	}
	listener, err := net.Listen("tcp", p.Addr)
	if err != nil {
		return nil, err
	}
	defer listener.Close()
	if p.passedSocket, err = listener.(*net.TCPListener).File(); err != nil {
		return nil, fmt.Errorf("socket of sender %d: %w", number, err)
	}
	r.addCloser(func() { closeQuietly(p.passedSocket) })
	return p, nil
}

// startSenders starts all senders with their shims, and waits until they are ready. It sets the run's clock, to which
// the plan's times refer, so that it reaches 0 startLeadTime after the call.
func (r *runner) startSenders() error {
	r.history.begin(time.Now().Add(startLeadTime)) // the load begins at 0, by when all senders should be ready
	start := monotonicNow() + int64(startLeadTime)
	for _, f := range r.plan {
		kind, isShim := shimKindOf[f.Kind]
		if !isShim {
			continue
		}
		shim := Shim{Kind: kind, From: start + int64(f.From), Until: start + int64(f.Until), Step: f.Step}
		for _, i := range f.Senders {
			r.processes[i].shims = append(r.processes[i].shims, shim)
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
