package config

// File descriptors are divided so that all uses fit even when each is at its maximum, and even while two processes
// overlap in an upgrade, which share the descriptors. Connections to the clients' port get two fifths (clients use a
// third, and the rest is for peers that connect without being proper clients), operators get a small part for each of
// the processes, ReservedDescriptors are set aside for each, and calls get the rest. Idle connections to endpoints use
// the part of the rest that calls leave over.
const (
	// AdminConnectionLimit is the maximum number of operators' connections. With few descriptors there are fewer.
	AdminConnectionLimit = 64
	// ReservedDescriptors is the number of descriptors for the standard streams, the poller, listeners, the lock, the
	// journal, discovery with its hedged calls and reserved connections, the reserve of accept, and a successor.
	ReservedDescriptors = 28

	// overlappingProcesses is the number of processes that run at a time in an upgrade.
	overlappingProcesses = 2

	clientNumerator        = 2 // connections to the clients' port get 2/5 of the descriptors
	clientDivisor          = 5
	adminDivisor           = 24 // operators get at most 1/24 of the descriptors of each process
	idleDivisor            = 4  // idle connections to endpoints get at most 1/4 of the descriptors
	minAdminConnections    = 4
	minClientConnections   = 2
	minEndpointConnections = 1
)

// Memory is divided as well: the pages of the program, which the processes share, the files in the state directory, and
// for each process what Go's runtime holds. Part of that are the requests that are not answered yet; the rest is for
// the messages of the journal, and for the stacks and buffers of the connections.
const (
	bytesPerMB = 1_000_000
	// programMemory is the size of the pages of the program and its libraries in bytes.
	programMemory = 9 * bytesPerMB
	// runtimeReserve is the part of a process's memory, in bytes, that Go's memory limit does not count.
	runtimeReserve = 1 * bytesPerMB
	// idleProcessMemory is what a process holds, in bytes, before it takes over from another.
	idleProcessMemory = 3 * bytesPerMB
	// minGoMemory is what Go's runtime gets at least in bytes: with less it would do little but collect garbage.
	minGoMemory = 6 * bytesPerMB
	// defaultMemoryMB takes the place of a memory limit that is not given.
	defaultMemoryMB = 192

	requestMemoryDivisor       = 10 // of the memory, for the requests of a process that is alone
	sharedRequestMemoryDivisor = 24 // for each of two processes
	leftRequestMemoryDivisor   = 40 // beside a process that does not keep to a share
	// minRequestMemory is the memory of one request of the maximum size, in bytes.
	minRequestMemory = 128 << 10
	// leftMemoryShare is the part of the memory for a process beside one of an earlier release, which aims at 0.6.
	leftMemoryShare = 0.4
)

// Share is the part of the limits that one process may use.
type Share int

const (
	// ShareWhole is for a process that is alone. It leaves room for a successor that starts.
	ShareWhole Share = iota
	// ShareHalf is for each of two processes that overlap in an upgrade, if both keep to it.
	ShareHalf
	// ShareRemainder is for a process that overlaps with one of an earlier release, which knows of no shares and uses
	// what ShareRemainder leaves.
	ShareRemainder
)

// clientShareDivisor is the divisor of the connections to the clients' port for each share.
var clientShareDivisor = map[Share]int{ShareWhole: 1, ShareHalf: overlappingProcesses, ShareRemainder: 4}

// MaxClientConnections returns the maximum number of concurrent client connections of all processes together.
func (l Limits) MaxClientConnections() int {
	return max(minClientConnections, l.Sockets*clientNumerator/clientDivisor)
}

// ClientConnections returns the maximum number of concurrent client connections of a process with a share.
func (l Limits) ClientConnections(share Share) int {
	return max(minClientConnections, l.MaxClientConnections()/clientShareDivisor[share])
}

// MaxAdminConnections returns the maximum number of concurrent operators' connections of a process.
func (l Limits) MaxAdminConnections() int {
	return max(minAdminConnections, min(AdminConnectionLimit, l.Sockets/adminDivisor))
}

// MaxEndpointConnections returns the maximum number of concurrent connections to endpoints, idle ones included, of all
// processes together.
func (l Limits) MaxEndpointConnections() int {
	perProcess := l.MaxAdminConnections() + ReservedDescriptors
	return max(minEndpointConnections, l.Sockets-l.MaxClientConnections()-overlappingProcesses*perProcess)
}

// RequestMemory returns how many bytes the requests of a process with a share may hold together until they are
// answered.
func (l Limits) RequestMemory(share Share) int64 {
	divisor := map[Share]int64{
		ShareWhole:     requestMemoryDivisor,
		ShareHalf:      sharedRequestMemoryDivisor,
		ShareRemainder: leftRequestMemoryDivisor,
	}[share]
	return max(minRequestMemory, l.memory()/divisor)
}

// GoMemory returns the memory limit, in bytes, for Go's runtime in a process with a share.
func (l Limits) GoMemory(share Share) int64 {
	files := int64(l.DiskMB * bytesPerMB)
	available := l.memory() - files - programMemory
	memory := available - idleProcessMemory
	switch share {
	case ShareHalf:
		memory = available / overlappingProcesses
	case ShareRemainder:
		memory = int64(float64(l.memory())*leftMemoryShare) - files
	}
	return max(minGoMemory, memory-runtimeReserve)
}

// memory returns the memory limit in bytes.
func (l Limits) memory() int64 {
	if l.MemoryMB <= 0 {
		return defaultMemoryMB * bytesPerMB
	}
	return int64(l.MemoryMB * bytesPerMB)
}
