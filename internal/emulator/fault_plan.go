package emulator

import (
	"math/rand/v2"
	"slices"
	"time"
)

// All values in this file and the order of the draws determine the plan of a seed; TestPlansOfASeedAreAsRecorded checks
// that the plans stay the same.
//
// Faults begin in waves, that is groups of two or three faults that begin at about the same time, so that they overlap.
const (
	planStream    = 0x736f616b              // selects the random stream of plans; clients draw from other streams
	firstWave     = 1500 * time.Millisecond // the first wave begins at this time of the run
	waveInterval  = 3 * time.Second         // from one wave to the next
	waveJitter    = 800 * time.Millisecond  // upper bound of the delay of a fault within its wave
	faultFreeTail = 2 * time.Second         // before the end of the load, in which no wave begins

	// maxFloodedSenders is the highest number of senders that one fault floods. A flood uses descriptors of the
	// emulator's own process, too.
	maxFloodedSenders = 3
)

// durationRange holds the shortest and the longest duration of a kind of fault.
type durationRange struct{ shortest, longest time.Duration }

// durationRanges holds the durations of the kinds that differ from defaultDurationRange.
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

// drawFault draws the times of a fault and the destination or the senders that it affects.
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
	affectedCount := 1 + random.IntN(o.Senders)
	if kind == ConnectionFlood {
		affectedCount = min(affectedCount, maxFloodedSenders)
	}
	f.Senders = random.Perm(o.Senders)[:affectedCount]
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
