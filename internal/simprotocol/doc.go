// Package simprotocol reads and writes the simulator's wire: frames of records in, one reply of records out for
// each, and the settings that come with the first record of an instance.
//
// It knows layouts only and decides nothing, and owns no state beyond a reply that is being written. Its names are
// those of the simulator's protocol. The simulator's adapter (cmd/simadapter) calls it; the package settings reads
// an Env, whichever way that came.
package simprotocol
