package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// FaultKind is something that goes wrong in a run. Its text is what soak's options and reports call it.
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
)

// AllFaultKinds are the kinds that a plan is drawn from by default. The order is part of what a seed means: plans are
// drawn by shuffling this list.
var AllFaultKinds = []FaultKind{
	EndpointsHang, EndpointsFail, EndpointsUnavailable, EndpointsRateLimit, EndpointsReset, EndpointsMalformed,
	EndpointsReplaced, LinksConnectLate, LinksCut, LinksReset, LinksFragmented, ClientsFragmented, DiscoverySilent,
	WatchesLost, SendersTerminated, SendersKilled, SendersReloaded, SendersPaused, SendersUpgraded,
	SendersKilledAtAnswer, DescriptorsExhausted, ClockForward, ClockBackward, DiskFull, DiskErrors, DiskTornWrites,
	AcceptFails, ConnectFails, OpenFails, ConnectionFlood,
}

// formerKindNames are the names that kinds had in soak's options before; they are still accepted, as write-ups of
// earlier runs quote them.
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

// ParseFaultKind is the kind with a name, present or former.
func ParseFaultKind(name string) (FaultKind, error) {
	for _, kind := range AllFaultKinds {
		if string(kind) == name {
			return kind, nil
		}
	}
	if kind, found := formerKindNames[name]; found {
		return kind, nil
	}
	return "", fmt.Errorf("no fault is called %q; there are: %v", name, AllFaultKinds)
}

// shimKindOf is the shim that injects a kind of fault into a sender's own process.
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

// behaviourOf is how the endpoints of an affected destination behave.
var behaviourOf = map[FaultKind]Behaviour{
	EndpointsHang:        Hanging,
	EndpointsFail:        Failing,
	EndpointsUnavailable: Unavailable,
	EndpointsRateLimit:   RateLimiting,
	EndpointsReset:       Resetting,
	EndpointsMalformed:   Malformed,
}

// linkFaultOf is what the links between affected senders and all endpoints do.
var linkFaultOf = map[FaultKind]LinkFault{
	LinksConnectLate: LinkConnectsLate,
	LinksCut:         LinkCut,
	LinksReset:       LinkResets,
	LinksFragmented:  LinkFragments,
}

// Fault is one event of a plan. Times count from the run's start.
type Fault struct {
	Kind        FaultKind
	From, Until time.Duration
	Destination int           // for kinds that affect one
	Senders     []int         // for kinds that affect senders
	Step        time.Duration // of the clock, for kinds that set it
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

// activeAt reports whether a fault lasts at a time.
func (f Fault) activeAt(at time.Duration) bool { return f.From <= at && at < f.Until }

// signalRandom draws what the plan leaves open in a fault that sends signals to a sender.
func (f Fault) signalRandom(seed uint64, sender int) *rand.Rand {
	return rand.New(rand.NewPCG(seed+uint64(sender)<<32, uint64(f.From)))
}
