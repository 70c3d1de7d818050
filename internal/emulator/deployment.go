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
	capacityMultiple        = 2.0 // a destination's capacity over its mean traffic
	batchDestinationEvery   = 3   // every third destination accepts batches
	clientPort              = "8080"
	adminPort               = "9090"
	zone                    = "a"

	// The kinds of endpoints, as settings and endpoint lists call them.
	plainKind = "plain"
	batchKind = "shared"

	startLeadTime = time.Second // from the start of the processes to the begin of the run's time
)

// runCount counts the runs of this program.
var runCount atomic.Uint32

// loopbackAddress is a loopback address of this program and run, for one host of the emulated deployment.
func loopbackAddress(run uint32, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%254, 1+run%254, host)
}

// senderHost is an address for one sender that no other has, of this run or of another one beside it. A sender comes
// back under its address, so its port may not be one that others are given meanwhile.
func senderHost(run uint32, sender int) string { return loopbackAddress(run, 1+sender%253) }

// standInHost is where the stand-ins of a run listen: no other run reaches them by a port that was its own before.
func standInHost(run uint32) string { return loopbackAddress(run, 254) }

// zipfShares is the share of the traffic that each of some destinations gets, by Zipf's law.
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

// rateOf is how many messages a second the clients of a sender submit: from half to one and a half of the mean.
func (r *runner) rateOf(sender int) float64 { return r.Rate * (0.5 + float64(sender%4)/3) }

func kindOf(destination int) string {
	if destination%batchDestinationEvery == 0 {
		return batchKind
	}
	return plainKind
}

// serverLine is the line of the endpoint list for an endpoint that a sender reaches at an address.
func serverLine(id, addr string, destination int, state string) Server {
	return Server{ID: id, Addr: addr, Zone: zone, Kind: kindOf(destination), Cell: destination, State: state, Weight: 1}
}

// build starts the endpoints and, for each sender, its links to them, its agent and its clients' link. The senders
// themselves are started by startSenders.
func (r *runner) build() error {
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

// addEndpoint starts an endpoint with its links and returns its line of each sender's list.
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

// addSender prepares a sender with its agent and its clients.
func (r *runner) addSender(number int, list []Server) error {
	agent := NewAgent(r.history, number, r.PollsEndpointList, list)
	address, err := agent.Listen(r.host)
	if err != nil {
		return err
	}
	r.addCloser(address.close)
	r.agentAddresses = append(r.agentAddresses, address)
	r.agents = append(r.agents, agent)
	process, err := r.newProcess(number, address.addr, agent)
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
	clients := NewClients(r.history, r.rules, number, proxy.Addr, r.trafficShares, r.rateOf(number), r.Seed)
	r.addCloser(clients.Close)
	r.clients = append(r.clients, clients)
	return nil
}

// newProcess prepares a sender's process. Every second sender has the socket for its clients from the platform, and can
// be upgraded beside itself.
func (r *runner) newProcess(number int, discoveryAddr string, agent *Agent) (*Process, error) {
	host := senderHost(r.number, number)
	p := &Process{
		ProcessSpec: ProcessSpec{
			Number:    number,
			Addr:      net.JoinHostPort(host, clientPort),
			AdminAddr: net.JoinHostPort(host, adminPort),
			Directory: filepath.Join(r.Directory, fmt.Sprintf("n%d", number)),
			Command:   r.Command,
			Rules:     r.rules,
			Senders:   r.Senders,
			Agent:     agent,
			Known:     agent.Known(),
			History:   r.history,
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

// startSenders starts all senders with their shims. The plan's times count from startLeadTime after its call.
func (r *runner) startSenders() error {
	r.history.begin(time.Now().Add(startLeadTime)) // the load begins when all are ready
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
