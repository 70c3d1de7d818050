// Package emulator plays a deployment of senders on one machine: real sender processes on loopback addresses, and
// stand-ins for all that they talk to. A run injects faults that overlap in time, records what the stand-ins see, and
// checks that record against the protocol's invariants.
//
// The parts:
//
//   - Stand-ins: Agent (discovery), Endpoint, Proxy (a network link), Clients. Process is a sender's real process;
//     RunSender is the program that it runs, with faults in its own system calls.
//   - Faults: FaultKind and Fault describe them, a plan of them is drawn from the run's seed, and the runner injects
//     them. The plan and what the clients submit follow from the seed alone; how the processes interleave does not.
//   - History: what the stand-ins saw. It owns its records and is safe for concurrent use.
//   - Invariants: Check judges a History once the run is over.
//
// The runner owns every stand-in and process of its run and waits for their end. The package is called by the command
// soak, and by its own tests for a short run.
package emulator
