// Package simprotocol implements the simulator's wire protocol: it decodes frames of records, encodes one reply of
// records for each frame, and parses the settings in the first record of an instance.
//
// It implements the encoding only and makes no decisions. Its only state is the reply that is being written. Its names
// are those of the simulator's protocol. The simulator's adapter (cmd/simadapter) uses it; package settings reads an
// Env, whether that comes from the simulator or from a configuration file.
package simprotocol
