// Package config reads the configuration of a sender from its file and the environment, at the start and at SIGHUP.
//
// The process reads the configuration, and the event loop owns the current one. A Config is immutable once it is in
// use: a reload creates a new one.
package config

import (
	"os"
	"slices"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/endpointlist"
)

// Limits holds the resources of the machine that the sender may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // file descriptors
	DiskMB   float64 `json:"disk_mb"`
}

// Config holds the configuration of a sender.
type Config struct {
	Name             string
	Listen           string // address that clients connect to
	Discovery        string // address of the platform
	Admin            string // address that operators connect to; empty for none
	PassedDescriptor int    // descriptor of the clients' socket if the platform passes one, else 0
	State            string // directory of the state that is kept across restarts
	Seed             uint64 // seed of the dispatcher's random numbers
	Limits           Limits
	EndpointList     endpointlist.Update // the endpoint list at the time when the file was written
	Settings         dispatch.Settings

	passedSocket *os.File // file of PassedDescriptor; nil until a listener is created from it

	// Names as clients and discovery use them, in the order of the settings.
	Classes, Tenants, Kinds, Zones []string

	LoadReportFields []string // names of the fields in load reports
	ConnectTimeout   time.Duration

	document any // the decoded file, which Reload compares with the next one
}

// File descriptors are divided so that all uses fit even when each is at its maximum: connections to the clients' port
// get half (clients use a third, and the rest is for peers that connect without being proper clients), operators get a
// small part, ReservedDescriptors are set aside, and calls get the rest. Idle connections to endpoints use the part of
// the rest that calls leave over.
const (
	// AdminConnectionLimit is the maximum number of operators' connections. With few descriptors there are fewer.
	AdminConnectionLimit = 64
	// ReservedDescriptors is the number of descriptors for the standard streams, the poller, listeners, the lock, the
	// journal, discovery with its hedged calls and reserved connections, the reserve of accept, and a successor.
	ReservedDescriptors = 28

	adminDivisor           = 12 // operators get at most 1/12 of the descriptors
	idleDivisor            = 4  // idle connections to endpoints get at most 1/4 of the descriptors
	minAdminConnections    = 4
	minClientConnections   = 2
	minEndpointConnections = 1
)

// MaxClientConnections returns the maximum number of concurrent client connections.
func (l Limits) MaxClientConnections() int { return max(minClientConnections, l.Sockets/2) }

// MaxAdminConnections returns the maximum number of concurrent operators' connections.
func (l Limits) MaxAdminConnections() int {
	return max(minAdminConnections, min(AdminConnectionLimit, l.Sockets/adminDivisor))
}

// MaxEndpointConnections returns the maximum number of concurrent connections to endpoints, idle ones included.
func (l Limits) MaxEndpointConnections() int {
	free := l.Sockets - l.MaxClientConnections() - l.MaxAdminConnections() - ReservedDescriptors
	return max(minEndpointConnections, free)
}

// MaxIdleConnections returns the maximum number of idle connections to endpoints that are kept.
func (c *Config) MaxIdleConnections() int {
	unused := c.Limits.MaxEndpointConnections() - c.Settings.MaxConcurrentCalls
	return max(0, min(c.Limits.Sockets/idleDivisor, unused))
}

// capConcurrentCalls lowers the maximum of concurrent calls to the number of endpoint connections that limits allows.
func (c *Config) capConcurrentCalls(limits Limits) {
	c.Settings.MaxConcurrentCalls = min(c.Settings.MaxConcurrentCalls, limits.MaxEndpointConnections())
}

// IndexOf returns the index of name in list, or fallback if it is not there.
func IndexOf(list []string, name string, fallback int) int {
	if i := slices.Index(list, name); i >= 0 {
		return i
	}
	return fallback
}
