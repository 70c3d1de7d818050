package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// TroubleKind is something that goes wrong in a run.
type FaultKind string

// The kinds of trouble. Those named endpoints strike one destination, the others some of the senders.
const (
	EndpointsHang     FaultKind = "endpoints hang"
	EndpointsFail     FaultKind = "endpoints fail"
	EndpointsUnavailable     FaultKind = "endpoints are shut"
	EndpointsRateLimit    FaultKind = "endpoints tell waits"
	EndpointsReset    FaultKind = "endpoints break connections"
	EndpointsMalformed   FaultKind = "endpoints babble"
	EndpointsReplaced FaultKind = "endpoints are replaced"
	LinksConnectLate         FaultKind = "links come up late"
	LinksCut          FaultKind = "links are cut"
	LinksReset        FaultKind = "links reset"
	LinksFragmented      FaultKind = "links pass little at a time"
	ClientsFragmented    FaultKind = "clients send little at a time"
	DiscoverySilent   FaultKind = "discovery is silent"
	WatchesLost       FaultKind = "watches are lost"
	SendersTerminated FaultKind = "senders are terminated"
	SendersKilled     FaultKind = "senders are killed"
	SendersReloaded   FaultKind = "senders are reloaded"
	SendersPaused     FaultKind = "senders are held up"
	SendersUpgraded   FaultKind = "senders are upgraded"
	SendersKilledAtAnswer  FaultKind = "senders are killed at an answer"
	DescriptorsExhausted  FaultKind = "descriptors are short"
	ClockForward      FaultKind = "clocks go forward"
	ClockBackward         FaultKind = "clocks go back"
	DiskFull          FaultKind = "disks are full"
	DiskErrors        FaultKind = "disks have errors"
	DiskTornWrites          FaultKind = "disks tear writes"
	AcceptFails       FaultKind = "accept fails"
	ConnectFails      FaultKind = "connect fails"
	OpenFails         FaultKind = "files cannot be opened"
	ConnectionFlood      FaultKind = "clients crowd"
)

// AllTroubles are the kinds that a plan draws from unless it is told others.
var AllFaultKinds = []FaultKind{EndpointsHang, EndpointsFail, EndpointsUnavailable, EndpointsRateLimit, EndpointsReset, EndpointsMalformed,
	EndpointsReplaced, LinksConnectLate, LinksCut, LinksReset, LinksFragmented, ClientsFragmented, DiscoverySilent, WatchesLost, SendersTerminated,
	SendersKilled, SendersReloaded, SendersPaused, SendersUpgraded, SendersKilledAtAnswer, DescriptorsExhausted, ClockForward, ClockBackward, DiskFull, DiskErrors, DiskTornWrites, AcceptFails,
	ConnectFails, OpenFails, ConnectionFlood}

// lasting is the span, least and most, of the kinds that have one other than the usual.
var durationRanges = map[FaultKind][2]time.Duration{
	DiscoverySilent:  {2 * time.Second, 5 * time.Second},
	EndpointsHang:    {time.Second, 5 * time.Second},
	LinksCut:         {500 * time.Millisecond, 2 * time.Second},
	SendersPaused:    {50 * time.Millisecond, 150 * time.Millisecond},
	DescriptorsExhausted: {200 * time.Millisecond, 1500 * time.Millisecond},
	AcceptFails:      {300 * time.Millisecond, time.Second},
	ConnectFails:     {300 * time.Millisecond, 1500 * time.Millisecond},
	OpenFails:        {300 * time.Millisecond, 1200 * time.Millisecond},
	ConnectionFlood:     {2 * time.Second, 6 * time.Second},
}

var defaultDurationRange = [2]time.Duration{600 * time.Millisecond, 2500 * time.Millisecond}

// shimOf is the shim that makes a kind of trouble in a sender's own process.
var shimKindOf = map[FaultKind]ShimKind{ClockForward: ShimWallStep, ClockBackward: ShimWallStep, DiskFull: ShimDiskFull,
	DiskErrors: ShimDiskError, DiskTornWrites: ShimTornWrite, AcceptFails: ShimAccept, ConnectFails: ShimConnect, OpenFails: ShimRead}

// behaviourOf is how the endpoints of a struck destination behave.
var behaviourOf = map[FaultKind]Behaviour{EndpointsHang: Hanging, EndpointsFail: Failing, EndpointsUnavailable: Unavailable,
	EndpointsRateLimit: RateLimiting, EndpointsReset: Resetting, EndpointsMalformed: Malformed}

// linkFaultOf is what links between struck senders and all endpoints do.
var linkFaultOf = map[FaultKind]LinkFault{LinksConnectLate: LinkConnectsLate, LinksCut: LinkCut, LinksReset: LinkResets, LinksFragmented: LinkFragments}

// Trouble is one event of a plan.
type Fault struct {
	Kind        FaultKind
	From, Until time.Duration
	Destination int           // of kinds that strike one
	Senders     []int         // of kinds that strike senders
	Step        time.Duration // of clocks
}

func (t Fault) String() string {
	at := fmt.Sprintf("%7.3fs to %7.3fs %s", t.From.Seconds(), t.Until.Seconds(), t.Kind)
	switch {
	case t.Step != 0:
		return fmt.Sprintf("%s by %v, senders %v", at, t.Step, t.Senders)
	case t.Senders != nil:
		return fmt.Sprintf("%s, senders %v", at, t.Senders)
	}
	return fmt.Sprintf("%s, destination %d", at, t.Destination)
}

// signals draws what is left open by a trouble that sends signals to a sender.
func (t Fault) signalRandom(seed uint64, sender int) *rand.Rand {
	return rand.New(rand.NewPCG(seed+uint64(sender)<<32, uint64(t.From)))
}

// active reports whether a trouble lasts at a time.
func (t Fault) activeAt(now time.Duration) bool { return t.From <= now && now < t.Until }

const (
	firstWave  = 1500 * time.Millisecond // troubles begin then,
	waveInterval   = 3 * time.Second         // and again after each such span, two or three overlapping
	waveJitter = 800 * time.Millisecond
	faultFreeTail   = 2 * time.Second // before the end of the load
	maxFloodedSenders  = 3               // senders that have a crowd at a time: it takes descriptors here, too
)

// drawPlan draws the troubles of a run.
func drawPlan(o Options) []Fault {
	r := rand.New(rand.NewPCG(o.Seed, 0x736f616b))
	var plan []Fault
	for knot := firstWave; knot < o.LoadDuration-faultFreeTail; knot += waveInterval {
		kinds := slices.Clone(o.FaultKinds)
		r.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
		for _, kind := range kinds[:min(len(kinds), 2+r.IntN(2))] {
			plan = append(plan, drawFault(r, o, kind, knot))
		}
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.From - b.From) })
	return plan
}

func drawFault(r *rand.Rand, o Options, kind FaultKind, knot time.Duration) Fault {
	span, known := durationRanges[kind]
	if !known {
		span = defaultDurationRange
	}
	t := Fault{Kind: kind, From: knot + time.Duration(r.Int64N(int64(waveJitter)))}
	t.Until = t.From + span[0] + time.Duration(r.Int64N(int64(span[1]-span[0])))
	if _, strikes := behaviourOf[kind]; strikes || kind == EndpointsReplaced {
		t.Destination = r.IntN(o.Destinations)
		return t
	}
	struck := 1 + r.IntN(o.Senders)
	if kind == ConnectionFlood {
		struck = min(struck, maxFloodedSenders)
	}
	t.Senders = r.Perm(o.Senders)[:struck]
	slices.Sort(t.Senders)
	switch kind {
	case ClockForward, ClockBackward:
		steps := []time.Duration{2 * time.Second, 30 * time.Second, time.Hour}
		t.Step = steps[r.IntN(len(steps))]
		if kind == ClockBackward {
			t.Step = -t.Step
		}
	}
	return t
}
