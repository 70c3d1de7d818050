// Package config reads the configuration of a sender, at its start and at SIGHUP: the file and the environment.
//
// The process reads the configuration and the event loop owns the one in force. A Config is never changed once it is in
// use: a reload makes a new one.
package config

import (
	"os"
	"slices"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/endpointlist"
)

// Limits is what the sender's machine allows it.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // file descriptors
	DiskMB   float64 `json:"disk_mb"`
}

// Config is the configuration of a sender.
type Config struct {
	Name      string
	Listen    string // the address for clients
	Discovery string // the platform's address
	Admin     string // the address for operators; empty for none
	Passed    int    // descriptor of the clients' socket where the platform holds it, 0 where it does not
	State     string // the directory that outlives the process
	Seed      uint64 // of the dispatcher's random draws
	Limits    Limits
	Known     endpointlist.Update // the endpoint list as of when the file was written
	Settings  dispatch.Settings

	passedSocket *os.File // of Passed; nil until a listener is made of it

	// Names, in the order of the settings, and as clients and discovery use them.
	Classes, Tenants, Kinds, Zones []string

	Fields         []string // names of the fields of load reports
	ConnectTimeout time.Duration

	shape any // the file as it was read
}

// File descriptors are divided so that all uses fit at their maximum, whatever else happens: clients get half (they
// use a third, and strangers come beside them), operators a part, ReservedDescriptors stay free, and calls have the
// rest. Idle connections to endpoints have what the calls leave of that.
const (
	// AdminConnectionLimit bounds the operators' connections. Where descriptors are few, there are fewer.
	AdminConnectionLimit = 64
	// ReservedDescriptors are kept for the standard streams, the poller, listeners, the lock, the journal, discovery
	// with its hedged calls and reserved connections, accept's own reserve, and a successor.
	ReservedDescriptors = 28

	adminDivisor           = 12 // operators get this part of the descriptors at most
	idleDivisor            = 4  // and idle connections to endpoints this one
	minAdminConnections    = 4
	minClientConnections   = 2
	minEndpointConnections = 1
)

// MaxClientConnections is how many connections of clients there may be at once.
func (l Limits) MaxClientConnections() int { return max(minClientConnections, l.Sockets/2) }

// MaxAdminConnections is how many connections of operators there may be at once.
func (l Limits) MaxAdminConnections() int {
	return max(minAdminConnections, min(AdminConnectionLimit, l.Sockets/adminDivisor))
}

// MaxEndpointConnections is how many connections to endpoints there may be at once, idle or not.
func (l Limits) MaxEndpointConnections() int {
	free := l.Sockets - l.MaxClientConnections() - l.MaxAdminConnections() - ReservedDescriptors
	return max(minEndpointConnections, free)
}

// MaxIdleConnections is how many idle connections to endpoints are kept.
func (c *Config) MaxIdleConnections() int {
	unused := c.Limits.MaxEndpointConnections() - c.Settings.MaxConcurrentCalls
	return max(0, min(c.Limits.Sockets/idleDivisor, unused))
}

// capCalls keeps the calls in flight to what the descriptors allow.
func (c *Config) capCalls(limits Limits) {
	c.Settings.MaxConcurrentCalls = min(c.Settings.MaxConcurrentCalls, limits.MaxEndpointConnections())
}

// IndexOf is the index of a name in a list of the settings, or fallback if it is not there.
func IndexOf(list []string, name string, fallback int) int {
	if i := slices.Index(list, name); i >= 0 {
		return i
	}
	return fallback
}
