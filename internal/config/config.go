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
