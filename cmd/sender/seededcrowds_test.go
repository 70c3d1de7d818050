package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// seedsVariable and firstSeedVariable are the environment variables for how many seeds are played, and from which
	// on.
	seedsVariable     = "CROWD_SEEDS"
	firstSeedVariable = "CROWD_SEED"
	// disturbances is how many things happen to the sender with each seed.
	disturbances = 3
)

// defaultSeeds are played if no others are asked for; the last one has found a fault.
var defaultSeeds = []uint64{1, 2, 51010}

// crowdPlan is what happens with one seed.
type crowdPlan struct {
	limits       senderLimits
	kinds        []crowdKind
	peers        int
	bodyBytes    int // of the good clients' messages
	disturbances []disturbance
}

// disturbance is something that happens to a sender, after which a process of it serves.
type disturbance struct {
	name string
	play func(*testing.T, *limitedSender, *process) *process
}

var allDisturbances = []disturbance{
	{"upgrade", func(t *testing.T, s *limitedSender, p *process) *process { return s.upgrade(t, p) }},
	{"reload", func(t *testing.T, _ *limitedSender, p *process) *process {
		raw, err := os.ReadFile(p.config)
		if err != nil {
			t.Fatal(err)
		}
		p.reload(t, raw)
		return p
	}},
	{"kill", func(t *testing.T, s *limitedSender, p *process) *process {
		_ = p.Process.Kill()
		_ = p.Wait()
		return s.start(t)
	}},
	{"terminate", func(t *testing.T, s *limitedSender, p *process) *process {
		_ = p.Process.Signal(syscall.SIGTERM)
		_ = p.Wait()
		return s.start(t)
	}},
	{"pause", func(t *testing.T, _ *limitedSender, p *process) *process {
		whileStopped(t, p, func() { time.Sleep(150 * time.Millisecond) })
		return p
	}},
	{"dead successor", func(t *testing.T, s *limitedSender, p *process) *process {
		successor := s.start(t)
		_ = successor.Process.Kill()
		_ = successor.Wait()
		return p
	}},
}

// newCrowdPlan draws a plan. Every plan has an upgrade.
func newCrowdPlan(seed uint64) crowdPlan {
	random := rand.New(rand.NewPCG(seed, seed))
	descriptors := 256 + random.IntN(769)
	plan := crowdPlan{
		limits:    senderLimits{memoryMB: 32 + random.IntN(2)*random.IntN(161), descriptors: descriptors},
		peers:     descriptors/2 + random.IntN(descriptors),
		bodyBytes: 1 + random.IntN(64<<10),
	}
	for _, index := range random.Perm(len(crowdKinds))[:1+random.IntN(4)] {
		plan.kinds = append(plan.kinds, crowdKinds[index])
	}
	plan.disturbances = append(plan.disturbances, allDisturbances[0])
	for len(plan.disturbances) < disturbances {
		plan.disturbances = append(plan.disturbances, allDisturbances[random.IntN(len(allDisturbances))])
	}
	random.Shuffle(len(plan.disturbances), func(i, j int) {
		plan.disturbances[i], plan.disturbances[j] = plan.disturbances[j], plan.disturbances[i]
	})
	return plan
}

func (p crowdPlan) String() string {
	var names []string
	for _, kind := range p.kinds {
		names = append(names, kind.name)
	}
	for _, d := range p.disturbances {
		names = append(names, "*"+d.name)
	}
	return fmt.Sprintf("%+v, %d peers, %d bytes: %s", p.limits, p.peers, p.bodyBytes, strings.Join(names, ", "))
}

// environmentNumber returns the number in an environment variable, or fallback.
func environmentNumber(name string, fallback uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return fallback
}

// Guards against combinations of crowds and of what happens to a sender that exceed its limits or keep clients out.
// The plan of a seed is always the same; CROWD_SEEDS and CROWD_SEED play more seeds or others.
func TestSeededCrowds(t *testing.T) {
	for _, seed := range seedsToPlay() {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { playPlan(t, newCrowdPlan(seed)) })
	}
}

// seedsToPlay returns the seeds that the environment asks for, or the default ones.
func seedsToPlay() (seeds []uint64) {
	count := environmentNumber(seedsVariable, 0)
	if count == 0 {
		return defaultSeeds
	}
	first := environmentNumber(firstSeedVariable, 1)
	for seed := first; seed < first+count; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

func playPlan(t *testing.T, plan crowdPlan) {
	t.Helper()
	t.Log(plan)
	sender := newLimitedSender(t, plan.limits)
	current := sender.start(t)
	clients := startGoodClients(t, sender.addr, strings.Repeat("s", plan.bodyBytes))
	crowd := startCrowd(sender.addr, plan.peers, plan.kinds...)
	for _, d := range plan.disturbances {
		time.Sleep(crowdTime / 2)
		current = d.play(t, sender, current)
	}
	time.Sleep(crowdTime / 2)
	clients.check(t)
	crowd.leave()
	sender.usage.stop()
	sender.usage.check(t, plan.limits)
}
