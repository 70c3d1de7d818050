package config

import "testing"

// Guards against two processes of an upgrade that together may hold more than the limits: each divided the whole as if
// it were alone. What each use may take at most has to fit, in the overlap and before the successor has taken over.
func TestSharesFitTheLimitsTogether(t *testing.T) {
	t.Parallel()
	for _, limits := range []Limits{
		{MemoryMB: 32, Sockets: 256, DiskMB: 3},
		{MemoryMB: 32, Sockets: 1024, DiskMB: 3},
		{MemoryMB: 64, Sockets: 384, DiskMB: 3},
		{MemoryMB: 192, Sockets: 1024, DiskMB: 3},
	} {
		descriptors := 2*limits.ClientConnections(ShareHalf) + limits.MaxEndpointConnections() +
			2*limits.MaxAdminConnections() + 2*ReservedDescriptors
		beforeTakeover := limits.ClientConnections(ShareWhole) + limits.MaxEndpointConnections() +
			2*limits.MaxAdminConnections() + 2*ReservedDescriptors
		if max(descriptors, beforeTakeover) > limits.Sockets {
			t.Errorf("%+v: the processes may hold %d or %d descriptors", limits, descriptors, beforeTakeover)
		}
		shared := programMemory + int64(limits.DiskMB*bytesPerMB)
		overlap := shared + 2*(limits.GoMemory(ShareHalf)+runtimeReserve)
		alone := shared + limits.GoMemory(ShareWhole) + runtimeReserve + idleProcessMemory
		if limit := limits.memory(); max(overlap, alone) > limit {
			t.Errorf("%+v: the processes may hold %d or %d of %d bytes", limits, overlap, alone, limit)
		}
		for _, share := range []Share{ShareWhole, ShareHalf, ShareRemainder} {
			if limits.RequestMemory(share) > limits.GoMemory(share)/3 {
				t.Errorf("%+v: requests may take %d of %d bytes", limits, limits.RequestMemory(share),
					limits.GoMemory(share))
			}
		}
	}
}
