// Package handover moves the ownership of a state directory from one process to the next without a pause.
//
// In an upgrade a second process, the successor, starts while the first one, the lock owner, still serves. At any
// moment one of them holds the lock on the state directory (lock.go). It alone writes the journal and makes
// decisions. The successor asks for the owner's Snapshot over a Unix socket (upgrade.go). The owner stops accepting,
// closes the journal, frees the lock and sends it; from then on it is the predecessor. Both keep the connection, the
// Link, for what belongs to the other one: forwarded requests and their responses, the results of attempts that the
// predecessor has in flight, and their cancellations. Connections to the platform go with the snapshot as descriptors
// (descriptors.go).
//
// The wire format is gob and outlives a release: processes of two releases hand over to one another. frozen.go holds
// its types, to and from which each Packet is translated.
//
// The event loop (internal/sender) is the only caller. It owns the lock's file and each link that it is given.
package handover
