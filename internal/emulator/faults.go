package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind is a kind of fault. Its text is the name of the kind in soak's options and reports.
type FaultKind string

// The kinds of faults. Those named Endpoints affect one destination, the others some of the senders.
const (
	EndpointsHang         FaultKind = "endpoints hang"
	EndpointsFail         FaultKind = "endpoints fail"
	EndpointsUnavailable  FaultKind = "endpoints are unavailable"
	EndpointsRateLimit    FaultKind = "endpoints limit rates"
	EndpointsReset        FaultKind = "endpoints reset connections"
	EndpointsMalformed    FaultKind = "endpoints send malformed responses"
	EndpointsReplaced     FaultKind = "endpoints are replaced"
	LinksConnectLate      FaultKind = "links connect late"
	LinksCut              FaultKind = "links are cut"
	LinksReset            FaultKind = "links reset"
	LinksFragmented       FaultKind = "links fragment streams"
	ClientsFragmented     FaultKind = "clients fragment requests"
	DiscoverySilent       FaultKind = "discovery is silent"
	WatchesLost           FaultKind = "watches are lost"
	SendersTerminated     FaultKind = "senders are terminated"
	SendersKilled         FaultKind = "senders are killed"
	SendersReloaded       FaultKind = "senders are reloaded"
	SendersPaused         FaultKind = "senders are paused"
	SendersUpgraded       FaultKind = "senders are upgraded"
	SendersKilledAtAnswer FaultKind = "senders are killed at an answer"
	DescriptorsExhausted  FaultKind = "descriptors are exhausted"
	ClockForward          FaultKind = "clocks go forward"
	ClockBackward         FaultKind = "clocks go backward"
	DiskFull              FaultKind = "disks are full"
	DiskErrors            FaultKind = "disks have errors"
	DiskTornWrites        FaultKind = "disks tear writes"
	AcceptFails           FaultKind = "accept fails"
	ConnectFails          FaultKind = "connect fails"
	OpenFails             FaultKind = "open fails"
	ConnectionFlood       FaultKind = "connection floods"

	AgentConnectionsSilent FaultKind = "agent connections fall silent"
	EndpointsExcess        FaultKind = "endpoints send excess bytes"
	SuccessorsKilled       FaultKind = "successors are killed"
)

// AllFaultKinds are the kinds from which a plan is drawn by default. Plans are drawn by shuffling this list, so its
// order determines the plan of a seed.
var AllFaultKinds = []FaultKind{
	EndpointsHang, EndpointsFail, EndpointsUnavailable, EndpointsRateLimit, EndpointsReset, EndpointsMalformed,
	EndpointsReplaced, LinksConnectLate, LinksCut, LinksReset, LinksFragmented, ClientsFragmented, DiscoverySilent,
	WatchesLost, SendersTerminated, SendersKilled, SendersReloaded, SendersPaused, SendersUpgraded,
	SendersKilledAtAnswer, DescriptorsExhausted, ClockForward, ClockBackward, DiskFull, DiskErrors, DiskTornWrites,
	AcceptFails, ConnectFails, OpenFails, ConnectionFlood,
}

// SelectableFaultKinds are further kinds, which a plan holds only where they are asked for: a kind more in
// AllFaultKinds would change the plans of all seeds.
var SelectableFaultKinds = []FaultKind{AgentConnectionsSilent, EndpointsExcess, SuccessorsKilled}

// formerKindNames maps the former names of kinds in soak's options to the kinds. They are still accepted, because
// write-ups of earlier runs quote them.
var formerKindNames = map[string]FaultKind{
	"endpoints are shut":            EndpointsUnavailable,
	"endpoints tell waits":          EndpointsRateLimit,
	"endpoints break connections":   EndpointsReset,
	"endpoints babble":              EndpointsMalformed,
	"links come up late":            LinksConnectLate,
	"links pass little at a time":   LinksFragmented,
	"clients send little at a time": ClientsFragmented,
	"senders are held up":           SendersPaused,
	"descriptors are short":         DescriptorsExhausted,
	"clocks go back":                ClockBackward,
	"files cannot be opened":        OpenFails,
	"clients crowd":                 ConnectionFlood,
}

// ParseFaultKind returns the kind with a name, which may be a former one.
func ParseFaultKind(name string) (FaultKind, error) {
	known := slices.Concat(AllFaultKinds, SelectableFaultKinds)
	for _, kind := range known {
		if string(kind) == name {
			return kind, nil
		}
	}
	if kind, found := formerKindNames[name]; found {
		return kind, nil
	}
	return "", fmt.Errorf("unknown kind of fault %q; the kinds are %v", name, known)
}

// shimKindOf holds the shim that injects a kind of fault into a sender's own process.
var shimKindOf = map[FaultKind]ShimKind{
	ClockForward:   ShimWallStep,
	ClockBackward:  ShimWallStep,
	DiskFull:       ShimDiskFull,
	DiskErrors:     ShimDiskError,
	DiskTornWrites: ShimTornWrite,
	AcceptFails:    ShimAccept,
	ConnectFails:   ShimConnect,
	OpenFails:      ShimRead,
}

// behaviourOf holds the behaviour of the affected destination's endpoints during a kind of fault.
var behaviourOf = map[FaultKind]Behaviour{
	EndpointsHang:        Hanging,
	EndpointsFail:        Failing,
	EndpointsUnavailable: Unavailable,
	EndpointsRateLimit:   RateLimiting,
	EndpointsReset:       Resetting,
	EndpointsMalformed:   Malformed,
	EndpointsExcess:      Excessive,
}

// linkFaultOf holds the fault of the links between the affected senders and all endpoints during a kind of fault.
var linkFaultOf = map[FaultKind]LinkFault{
	LinksConnectLate: LinkConnectsLate,
	LinksCut:         LinkCut,
	LinksReset:       LinkResets,
	LinksFragmented:  LinkFragments,
}

// Fault is one fault of a plan. Its times count from the run's start.
type Fault struct {
	Kind        FaultKind
	From, Until time.Duration
	Destination int           // the affected destination, for kinds that affect one
	Senders     []int         // the affected senders, for kinds that affect senders
	Step        time.Duration // the step of the clock, for kinds that set it
}

func (f Fault) String() string {
	text := fmt.Sprintf("%7.3fs to %7.3fs %s", f.From.Seconds(), f.Until.Seconds(), f.Kind)
	switch {
	case f.Step != 0:
		return fmt.Sprintf("%s by %v, senders %v", text, f.Step, f.Senders)
	case f.Senders != nil:
		return fmt.Sprintf("%s, senders %v", text, f.Senders)
	}
	return fmt.Sprintf("%s, destination %d", text, f.Destination)
}

// activeAt reports whether the fault is active at a time.
func (f Fault) activeAt(at time.Duration) bool { return f.From <= at && at < f.Until }

// signalRandom returns the random numbers for what the plan does not fix in a fault that signals a sender: the number,
// the kinds and the times of the signals. They depend only on the seed, the sender and the fault's start.
func (f Fault) signalRandom(seed uint64, sender int) *rand.Rand {
	return rand.New(rand.NewPCG(seed+uint64(sender)<<32, uint64(f.From)))
}
