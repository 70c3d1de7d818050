// Package handover moves the ownership of a state directory from one process to the next without a pause.
//
// In an upgrade a second process, the successor, starts while the first one, the lock owner, still serves. At most one
// of them at a time holds the lock on the state directory (lock.go). Only that process writes the journal and makes
// decisions. The successor requests the owner's Snapshot over a Unix socket (upgrade.go). The owner stops accepting
// messages, closes the journal, releases the lock and sends the snapshot. From then on it is the predecessor. Both
// processes keep the connection, a Link, open to exchange forwarded requests and their responses, the results of
// attempts that the predecessor still has in flight, and the cancellations of such attempts. Connections to the
// platform are passed with the snapshot as file descriptors (descriptors.go).
//
// The wire format is gob. It has to stay compatible across releases, because processes of two different releases hand
// over to one another. frozen.go defines its types; every Packet is translated to and from them.
//
// The event loop (internal/sender) is the only caller. It owns the lock file and each Link that it receives.
package handover
