package emulator

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Every figure here and the order of the draws are part of what a seed means; TestPlansOfASeedAreAsRecorded pins them.
const (
	planStream    = 0x736f616b              // the random stream of plans, apart from those of clients
	firstWave     = 1500 * time.Millisecond // faults begin then,
	waveInterval  = 3 * time.Second         // and again after each such span, two or three that overlap
	waveJitter    = 800 * time.Millisecond
	faultFreeTail = 2 * time.Second // no wave begins so shortly before the end of the load

	// maxFloodedSenders is how many senders one fault floods: a flood takes descriptors of this process, too.
	maxFloodedSenders = 3
)

// durationRange is the shortest and the longest time for which a kind of fault lasts.
type durationRange struct{ shortest, longest time.Duration }

// durationRanges are those of the kinds that differ from the default.
var durationRanges = map[FaultKind]durationRange{
	DiscoverySilent:      {2 * time.Second, 5 * time.Second},
	EndpointsHang:        {time.Second, 5 * time.Second},
	LinksCut:             {500 * time.Millisecond, 2 * time.Second},
	SendersPaused:        {50 * time.Millisecond, 150 * time.Millisecond},
	DescriptorsExhausted: {200 * time.Millisecond, 1500 * time.Millisecond},
	AcceptFails:          {300 * time.Millisecond, time.Second},
	ConnectFails:         {300 * time.Millisecond, 1500 * time.Millisecond},
	OpenFails:            {300 * time.Millisecond, 1200 * time.Millisecond},
	ConnectionFlood:      {2 * time.Second, 6 * time.Second},
}

var defaultDurationRange = durationRange{600 * time.Millisecond, 2500 * time.Millisecond}

// drawPlan draws the faults of a run.
func drawPlan(o Options) []Fault {
	random := rand.New(rand.NewPCG(o.Seed, planStream))
	var plan []Fault
	for wave := firstWave; wave < o.LoadDuration-faultFreeTail; wave += waveInterval {
		kinds := slices.Clone(o.FaultKinds)
		random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
		for _, kind := range kinds[:min(len(kinds), 2+random.IntN(2))] {
			plan = append(plan, drawFault(random, o, kind, wave))
		}
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.From - b.From) })
	return plan
}

// drawFault draws the times of a fault and whom it affects.
func drawFault(random *rand.Rand, o Options, kind FaultKind, wave time.Duration) Fault {
	durations, known := durationRanges[kind]
	if !known {
		durations = defaultDurationRange
	}
	f := Fault{Kind: kind, From: wave + time.Duration(random.Int64N(int64(waveJitter)))}
	f.Until = f.From + durations.shortest + time.Duration(random.Int64N(int64(durations.longest-durations.shortest)))
	if _, changesBehaviour := behaviourOf[kind]; changesBehaviour || kind == EndpointsReplaced {
		f.Destination = random.IntN(o.Destinations)
		return f
	}
	affected := 1 + random.IntN(o.Senders)
	if kind == ConnectionFlood {
		affected = min(affected, maxFloodedSenders)
	}
	f.Senders = random.Perm(o.Senders)[:affected]
	slices.Sort(f.Senders)
	if kind == ClockForward || kind == ClockBackward {
		steps := []time.Duration{2 * time.Second, 30 * time.Second, time.Hour}
		f.Step = steps[random.IntN(len(steps))]
		if kind == ClockBackward {
			f.Step = -f.Step
		}
	}
	return f
}
