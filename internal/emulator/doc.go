// Package emulator runs a deployment of senders on one machine: real sender processes on loopback addresses, and
// stand-ins for their clients, their endpoints and the platform. A run injects faults that overlap in time, records
// what the stand-ins observe, and checks that record against the protocol's invariants.
//
// The parts:
//
//   - Stand-ins: Agent (serves the endpoint list and accepts notices), Endpoint, Proxy (a network link) and Clients.
//     Process manages the real processes of one sender; RunSender is the program that they run, which injects faults
//     into its own system calls.
//   - Faults: FaultKind and Fault describe them. A plan of faults is drawn from the run's seed, and the runner injects
//     them. The seed alone determines the plan and the messages that the clients submit. It does not determine how the
//     processes interleave.
//   - History: what the stand-ins observed. It owns its records and is safe for concurrent use.
//   - Invariants: Check checks a History once the run is over.
//
// The runner owns every stand-in and process of its run, and waits for them to end. The command soak uses the package,
// and the package's own tests use it for short runs.
package emulator
