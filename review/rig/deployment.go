package main

import (
	"context"
	"fmt"
	"math"
	"time"
)

// ratePerSender holds the messages a second that each sender gets.
var ratePerSender = [senderCount]float64{24, 16, 10}

// The deployment: three senders, 13 destinations with 22 endpoints, 50 messages a second in all.
const (
	senderCount      = 3
	destinations     = 13
	endpoints        = 22   // one for each destination, and a second one for the first of them
	usualStatusShare = 0.5  // vacancy-status among the messages
	zipfExponent     = 0.8  // of the destinations' shares of the traffic
	nominalCalls     = 15.0 // calls a second that each destination takes, as the list says
	minService       = 20 * time.Millisecond
	meanService      = 180 * time.Millisecond // on top of that, exponentially distributed
)

// deployment holds the stand-ins and the senders of a run.
type deployment struct {
	world     *world
	endpoints []*endpoint
	agents    []*agent
	proxies   []*proxy // between each sender and its agent
	senders   []*sender
	processes []*process // the first of each sender
	clients   []*clients
	stopLoad  context.CancelFunc
}

// deploy starts the stand-ins and the senders, and waits until all senders are ready.
func deploy(w *world, root, folder string) (*deployment, error) {
	d := &deployment{world: w}
	var entries []listEntry
	for n := range endpoints {
		destination := n % destinations
		id := fmt.Sprintf("s-%d%c", destination, 'a'+n/destinations)
		e, err := newEndpoint(w, id, destination)
		if err != nil {
			return nil, err
		}
		d.endpoints = append(d.endpoints, e)
		entries = append(entries, listEntry{
			ID: e.id, Addr: e.listener.Addr().String(), Zone: "bangna-dc", Kind: "small-employer",
			Cell: destination, State: "SERVING", Weight: nominalCalls,
		})
	}
	for number := range senderCount {
		if err := d.addSender(number, root, folder, entries); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// addSender starts a sender with its agent, and its clients' stand-in.
func (d *deployment) addSender(number int, root, folder string, entries []listEntry) error {
	name := fmt.Sprintf("n%d", number)
	a, err := newAgent(d.world, name, entries)
	if err != nil {
		return err
	}
	p, err := newProxy(a.addr)
	if err != nil {
		return err
	}
	s, err := newSender(d.world, name, root, folder, senderConfig(number, p.addr, a.known()))
	if err != nil {
		return err
	}
	first, err := s.start(name + "-1")
	if err != nil {
		return err
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	d.agents, d.proxies = append(d.agents, a), append(d.proxies, p)
	d.senders, d.processes = append(d.senders, s), append(d.processes, first)
	d.clients = append(d.clients, &clients{
		world: d.world, sender: name, addr: s.addr, perSecond: ratePerSender[number], weights: zipfWeights(),
		statusShare: usualStatusShare,
	})
	return nil
}

// zipfWeights returns the destinations' usual shares of the traffic.
func zipfWeights() (weights [destinations]float64) {
	for n := range weights {
		weights[n] = math.Pow(float64(n+1), -zipfExponent)
	}
	return weights
}

// startLoad has the clients send messages until stopLoad is called.
func (d *deployment) startLoad() {
	var ctx context.Context
	ctx, d.stopLoad = context.WithCancel(context.Background())
	for _, c := range d.clients {
		go c.run(ctx)
	}
}

// partners is a range of destinations.
type partners struct{ first, last int }

// smallest are the six smallest destinations, which get 23% of the traffic.
var smallest = partners{7, destinations - 1}

// hang makes the endpoints of some destinations take calls and answer none, or answer again.
func (d *deployment) hang(which partners, hangs bool) {
	count := 0
	for _, e := range d.endpoints {
		if e.destination >= which.first && e.destination <= which.last {
			e.hangs.Store(hangs)
			count++
		}
	}
	d.world.note("hang    %d of %d endpoints: %v", count, len(d.endpoints), hangs)
}

// sleepUntil waits for a time of the run.
func (w *world) sleepUntil(at time.Duration) { time.Sleep(at - w.now()) }
