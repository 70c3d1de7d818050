package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// TroubleKind is something that goes wrong in a run.
type TroubleKind string

// The kinds of trouble. Those named endpoints strike one destination, the others some of the senders.
const (
	EndpointsHang     TroubleKind = "endpoints hang"
	EndpointsFail     TroubleKind = "endpoints fail"
	EndpointsShut     TroubleKind = "endpoints are shut"
	EndpointsLimit    TroubleKind = "endpoints tell waits"
	EndpointsBreak    TroubleKind = "endpoints break connections"
	EndpointsBabble   TroubleKind = "endpoints babble"
	EndpointsReplaced TroubleKind = "endpoints are replaced"
	LinksLate         TroubleKind = "links come up late"
	LinksCut          TroubleKind = "links are cut"
	LinksReset        TroubleKind = "links reset"
	LinksChopped      TroubleKind = "links pass little at a time"
	ClientsChopped    TroubleKind = "clients send little at a time"
	DiscoverySilent   TroubleKind = "discovery is silent"
	WatchesLost       TroubleKind = "watches are lost"
	SendersTerminated TroubleKind = "senders are terminated"
	SendersKilled     TroubleKind = "senders are killed"
	SendersReloaded   TroubleKind = "senders are reloaded"
	SendersPaused     TroubleKind = "senders are held up"
	SendersUpgraded   TroubleKind = "senders are upgraded"
	KilledAtAnAnswer  TroubleKind = "senders are killed at an answer"
	DescriptorsShort  TroubleKind = "descriptors are short"
	ClockForward      TroubleKind = "clocks go forward"
	ClockBack         TroubleKind = "clocks go back"
	DiskFull          TroubleKind = "disks are full"
	DiskErrors        TroubleKind = "disks have errors"
	DiskTorn          TroubleKind = "disks tear writes"
	AcceptFails       TroubleKind = "accept fails"
	ConnectFails      TroubleKind = "connect fails"
	OpenFails         TroubleKind = "files cannot be opened"
	ClientsCrowd      TroubleKind = "clients crowd"
)

// AllTroubles are the kinds that a plan draws from unless it is told others.
var AllTroubles = []TroubleKind{EndpointsHang, EndpointsFail, EndpointsShut, EndpointsLimit, EndpointsBreak, EndpointsBabble,
	EndpointsReplaced, LinksLate, LinksCut, LinksReset, LinksChopped, ClientsChopped, DiscoverySilent, WatchesLost, SendersTerminated,
	SendersKilled, SendersReloaded, SendersPaused, SendersUpgraded, KilledAtAnAnswer, DescriptorsShort, ClockForward, ClockBack, DiskFull, DiskErrors, DiskTorn, AcceptFails,
	ConnectFails, OpenFails, ClientsCrowd}

// lasting is the span, least and most, of the kinds that have one other than the usual.
var lasting = map[TroubleKind][2]time.Duration{
	DiscoverySilent:  {2 * time.Second, 5 * time.Second},
	EndpointsHang:    {time.Second, 5 * time.Second},
	LinksCut:         {500 * time.Millisecond, 2 * time.Second},
	SendersPaused:    {50 * time.Millisecond, 150 * time.Millisecond},
	DescriptorsShort: {200 * time.Millisecond, 1500 * time.Millisecond},
	AcceptFails:      {300 * time.Millisecond, time.Second},
	ConnectFails:     {300 * time.Millisecond, 1500 * time.Millisecond},
	OpenFails:        {300 * time.Millisecond, 1200 * time.Millisecond},
	ClientsCrowd:     {2 * time.Second, 6 * time.Second},
}

var usuallyLasting = [2]time.Duration{600 * time.Millisecond, 2500 * time.Millisecond}

// shimOf is the shim that makes a kind of trouble in a sender's own process.
var shimOf = map[TroubleKind]ShimKind{ClockForward: ShimWallStep, ClockBack: ShimWallStep, DiskFull: ShimDiskFull,
	DiskErrors: ShimDiskError, DiskTorn: ShimTornWrite, AcceptFails: ShimAccept, ConnectFails: ShimConnect, OpenFails: ShimRead}

// behaviourOf is how the endpoints of a struck destination behave.
var behaviourOf = map[TroubleKind]Behaviour{EndpointsHang: Hanging, EndpointsFail: Failing, EndpointsShut: Shut,
	EndpointsLimit: Limiting, EndpointsBreak: Breaking, EndpointsBabble: Babbling}

// linkFaultOf is what links between struck senders and all endpoints do.
var linkFaultOf = map[TroubleKind]LinkFault{LinksLate: LinkLate, LinksCut: LinkCut, LinksReset: LinkResets, LinksChopped: LinkChopped}

// Trouble is one event of a plan.
type Trouble struct {
	Kind        TroubleKind
	From, Until time.Duration
	Destination int           // of kinds that strike one
	Senders     []int         // of kinds that strike senders
	Step        time.Duration // of clocks
}

func (t Trouble) String() string {
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
func (t Trouble) signals(seed uint64, sender int) *rand.Rand {
	return rand.New(rand.NewPCG(seed+uint64(sender)<<32, uint64(t.From)))
}

// active reports whether a trouble lasts at a time.
func (t Trouble) active(now time.Duration) bool { return t.From <= now && now < t.Until }

const (
	firstKnot  = 1500 * time.Millisecond // troubles begin then,
	knotEach   = 3 * time.Second         // and again after each such span, two or three overlapping
	knotSpread = 800 * time.Millisecond
	knotsEnd   = 2 * time.Second // before the end of the load
	crowdMost  = 3               // senders that have a crowd at a time: it takes descriptors here, too
)

// drawPlan draws the troubles of a run.
func drawPlan(o Options) []Trouble {
	r := rand.New(rand.NewPCG(o.Seed, 0x736f616b))
	var plan []Trouble
	for knot := firstKnot; knot < o.Load-knotsEnd; knot += knotEach {
		kinds := slices.Clone(o.Troubles)
		r.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
		for _, kind := range kinds[:min(len(kinds), 2+r.IntN(2))] {
			plan = append(plan, drawTrouble(r, o, kind, knot))
		}
	}
	slices.SortStableFunc(plan, func(a, b Trouble) int { return int(a.From - b.From) })
	return plan
}

func drawTrouble(r *rand.Rand, o Options, kind TroubleKind, knot time.Duration) Trouble {
	span, known := lasting[kind]
	if !known {
		span = usuallyLasting
	}
	t := Trouble{Kind: kind, From: knot + time.Duration(r.Int64N(int64(knotSpread)))}
	t.Until = t.From + span[0] + time.Duration(r.Int64N(int64(span[1]-span[0])))
	if _, strikes := behaviourOf[kind]; strikes || kind == EndpointsReplaced {
		t.Destination = r.IntN(o.Destinations)
		return t
	}
	struck := 1 + r.IntN(o.Senders)
	if kind == ClientsCrowd {
		struck = min(struck, crowdMost)
	}
	t.Senders = r.Perm(o.Senders)[:struck]
	slices.Sort(t.Senders)
	switch kind {
	case ClockForward, ClockBack:
		steps := []time.Duration{2 * time.Second, 30 * time.Second, time.Hour}
		t.Step = steps[r.IntN(len(steps))]
		if kind == ClockBack {
			t.Step = -t.Step
		}
	}
	return t
}
