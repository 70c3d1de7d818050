package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	drainDuration        = 1500 * time.Millisecond // from the drain of a replaced endpoint to its deletion
	maxReloads           = 4                       // in one series
	minReloadInterval    = 200 * time.Millisecond  // between two reloads of a series
	reloadIntervalJitter = 400 * time.Millisecond  // upper bound of what is added to minReloadInterval
	maxSignalOffset      = 120 * time.Millisecond  // between a SIGTERM and the signals that accompany it
)

// behaviour returns the current behaviour of a destination's endpoints.
func (r *runner) behaviour(destination int) Behaviour {
	now := r.history.Now()
	for _, f := range r.plan {
		if b, ok := behaviourOf[f.Kind]; ok && f.Destination == destination && f.activeAt(now) {
			return b
		}
	}
	return Healthy
}

// linkFault returns the current fault of a sender's links to endpoints.
func (r *runner) linkFault(sender int) LinkFault {
	now := r.history.Now()
	for _, f := range r.plan {
		if fault, ok := linkFaultOf[f.Kind]; ok && f.activeAt(now) && slices.Contains(f.Senders, sender) {
			return fault
		}
	}
	return LinkHealthy
}

// clientFault returns the current fault of the link between clients and a sender.
func (r *runner) clientFault(sender int) LinkFault {
	if r.isAffected(sender, r.history.Now(), ClientsFragmented) {
		return LinkFragments
	}
	return LinkHealthy
}

// inject waits for the start of a fault and carries it out. It does nothing for faults that stand-ins look up in the
// plan themselves, or that shims inject.
func (r *runner) inject(f Fault) {
	r.sleepUntil(f.From)
	switch f.Kind {
	case DiscoverySilent:
		r.forEachSender(f, func(i int) {
			r.agents[i].SetSilent(true)
			r.sleepUntil(f.Until)
			r.agents[i].SetSilent(false)
		})
	case WatchesLost, AgentConnectionsSilent:
		r.forEachSender(f, func(i int) { r.loseAnswers(i, f.Kind) })
	case EndpointsReplaced:
		r.recordError(r.replaceEndpoints(f))
	case SendersTerminated:
		r.forEachSender(f, func(i int) { r.terminate(i, f.signalRandom(r.Seed, i)) })
	case SendersKilled:
		r.forEachSender(f, r.kill)
	case SendersReloaded:
		r.forEachSender(f, func(i int) { r.reloadInSeries(i, f.signalRandom(r.Seed, i)) })
	case ConnectionFlood:
		r.forEachSender(f, func(i int) { r.clients[i].flood(r.processes[i].Addr, f.Until) })
	case SendersUpgraded:
		r.forEachSender(f, func(i int) { r.upgrade(i, r.processes[i].Upgrade) })
	case SuccessorsKilled:
		r.forEachSender(f, func(i int) { r.upgradeAndLose(i, f.signalRandom(r.Seed, i)) })
	case SendersKilledAtAnswer:
		r.forEachSender(f, func(i int) { r.killAtAnswer(i, f.Until) })
	case DescriptorsExhausted:
		r.forEachSender(f, func(i int) { r.recordError(r.processes[i].LimitDescriptors(f.Until - f.From)) })
	case SendersPaused:
		r.forEachSender(f, func(i int) { r.processes[i].Pause(f.Until - f.From) })
	}
}

// loseAnswers makes an agent lose its answers to the open watches, or all that passes on its open connections.
func (r *runner) loseAnswers(sender int, kind FaultKind) {
	if kind == WatchesLost {
		r.agents[sender].LoseWatches()
	} else {
		r.agents[sender].SilenceConnections()
	}
}

// restart stops a sender's process and starts the next one, unless a restart or an upgrade is in progress already.
func (r *runner) restart(sender int, stop func() error) {
	if !r.restartLocks[sender].TryLock() {
		return
	}
	defer r.restartLocks[sender].Unlock()
	r.recordError(stop())
	time.Sleep(restartPause)
	r.startLocks[sender].Lock()
	defer r.startLocks[sender].Unlock()
	r.recordError(r.processes[sender].Start())
}

// kill kills a sender's process by SIGKILL and starts the next one.
func (r *runner) kill(sender int) {
	r.restart(sender, func() error {
		r.processes[sender].Kill()
		return nil
	})
}

// killAtAnswer kills a sender's process right after its next answer that accepts a message, and starts the next
// process. It does nothing if there is no such answer before a time.
func (r *runner) killAtAnswer(sender int, until time.Duration) {
	select {
	case <-r.clients[sender].nextAccepted():
		r.kill(sender)
	case <-time.After(until - r.history.Now()):
	}
}

// terminate stops a sender's process by SIGTERM and starts the next one. Other signals may be sent shortly before and
// after the SIGTERM. Until the process has exited, the clients submit messages on every connection that is still open.
func (r *runner) terminate(sender int, random *rand.Rand) {
	reloadsBefore, reloadsAfter, terminatesAgain := random.IntN(3) == 0, random.IntN(2) == 0, random.IntN(3) == 0
	r.restart(sender, func() error {
		if reloadsBefore {
			r.recordError(r.reload(sender, true))
			time.Sleep(time.Duration(random.Int64N(int64(maxSignalOffset))))
		}
		ctx, cancel := context.WithCancel(context.Background())
		var concurrent sync.WaitGroup
		concurrent.Add(2)
		go func() {
			defer concurrent.Done()
			r.clients[sender].UseIdleConnections(ctx)
		}()
		go func() {
			defer concurrent.Done()
			time.Sleep(time.Duration(random.Int64N(int64(maxSignalOffset))))
			if reloadsAfter {
				r.reloadInSeries(sender, random)
			}
			if terminatesAgain {
				r.processes[sender].signal(syscall.SIGTERM)
			}
		}()
		err := r.processes[sender].Terminate()
		cancel()
		concurrent.Wait()
		return err
	})
}

// upgradeAndLose upgrades a sender and kills the new process while the old one shuts down. The next one starts after
// that.
func (r *runner) upgradeAndLose(sender int, random *rand.Rand) {
	lifetime := time.Duration(random.Int64N(int64(killAfter)))
	r.upgrade(sender, func() error { return r.processes[sender].UpgradeAndLose(lifetime) })
}

// upgrade carries out an upgrade, which starts a sender's next process while the current one still runs, and then stops
// the latter. It does nothing if the sender's processes are not passed a socket, or if a restart or an upgrade is in
// progress already.
func (r *runner) upgrade(sender int, carryOut func() error) {
	if !r.processes[sender].passesSocket() || !r.restartLocks[sender].TryLock() {
		return
	}
	defer r.restartLocks[sender].Unlock()
	r.startLocks[sender].Lock()
	defer r.startLocks[sender].Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var clientLoop sync.WaitGroup
	clientLoop.Add(1)
	go func() {
		defer clientLoop.Done()
		r.clients[sender].UseIdleConnections(ctx)
	}()
	r.recordError(carryOut())
	cancel()
	clientLoop.Wait()
}

// reloadInSeries reloads a sender's configuration one to four times, one after another. Most of the reloads move the
// agent to a new address.
func (r *runner) reloadInSeries(sender int, random *rand.Rand) {
	for range 1 + random.IntN(maxReloads) {
		r.recordError(r.reload(sender, random.IntN(4) > 0))
		time.Sleep(minReloadInterval + time.Duration(random.Int64N(int64(reloadIntervalJitter))))
	}
}

// reload reloads a sender's configuration, unless the sender is being started or its process is too young for a SIGHUP.
// If it moves the agent to a new address, the old address stops accepting connections, and the open ones are closed
// after oldAddressLinger.
func (r *runner) reload(sender int, movesDiscovery bool) error {
	if !r.startLocks[sender].TryLock() {
		return nil
	}
	defer r.startLocks[sender].Unlock()
	if !r.processes[sender].mayReload() {
		return nil
	}
	old := r.agentServers[sender]
	if !movesDiscovery {
		return r.processes[sender].Reload(old.addr)
	}
	next, err := r.agents[sender].Listen(r.host)
	if err != nil {
		return err
	}
	r.addCloser(next.close)
	r.agentServers[sender] = next
	r.agents[sender].AddressMoved()
	err = r.processes[sender].Reload(next.addr)
	old.retire()
	return err
}

// replaceEndpoints adds a new endpoint for each endpoint that a destination has had so far, and drains the old ones. It
// marks them as deleted in the lists after drainDuration.
func (r *runner) replaceEndpoints(f Fault) error {
	old := r.endpointsOf(f.Destination)
	for n, e := range old {
		id := fmt.Sprintf("e%d-%d-%d", f.Destination, f.From.Milliseconds(), n)
		servers, err := r.addEndpoint(id, f.Destination)
		if err != nil {
			return err
		}
		for i, agent := range r.agents {
			agent.Change(servers[i])
			agent.Change(serverLine(e.ID, r.linkAddr(e, i), e.Destination, Draining))
		}
	}
	time.Sleep(drainDuration)
	for _, e := range old {
		for i, agent := range r.agents {
			agent.Change(serverLine(e.ID, r.linkAddr(e, i), e.Destination, Deleted))
		}
	}
	return nil
}

// endpointsOf returns all endpoints that a destination has had in the run so far, including deleted ones.
func (r *runner) endpointsOf(destination int) []*Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var endpoints []*Endpoint
	for _, e := range r.endpoints {
		if e.Destination == destination {
			endpoints = append(endpoints, e)
		}
	}
	return endpoints
}

// linkAddr returns the address at which a sender reaches an endpoint.
func (r *runner) linkAddr(e *Endpoint, sender int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.links[e.ID][sender].Addr
}
