package config

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strconv"

	"onyxdyke.example/onyxdyke/internal/netconn"
	"onyxdyke.example/onyxdyke/internal/retry"
)

// The environment variables. At the start, all but envFile take precedence over the file.
const (
	envFile         = "EDGE_CONFIG"
	envName         = "EDGE_NAME"
	envListen       = "EDGE_LISTEN"
	envDiscovery    = "EDGE_DISCOVERY"
	envState        = "EDGE_STATE"
	envPassedSocket = "EDGE_PASSED_SOCKET"
	envAdminAddress = "EDGE_ADMIN_ADDR"
)

// firstPassedDescriptor is the first descriptor after the standard streams.
const firstPassedDescriptor = 3

// ReadFile reads a whole file, as os.ReadFile does.
type ReadFile func(path string) ([]byte, error)

// Load reads the file that EDGE_CONFIG names and applies the other environment variables. It retries transient errors
// as retry.OnTransient does, and stops when ctx ends.
func Load(ctx context.Context, log *slog.Logger, readFile ReadFile, getenv func(string) string) (*Config, error) {
	var raw []byte
	err := retry.OnTransient(ctx, log, "the configuration", func() (err error) {
		raw, err = readFile(getenv(envFile))
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c, err := Parse(raw)
	if err == nil {
		err = c.applyEnvironment(getenv)
	}
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return c, nil
}

// applyEnvironment overwrites the fields whose environment variables are set.
func (c *Config) applyEnvironment(getenv func(string) string) error {
	for name, field := range map[string]*string{
		envName:      &c.Name,
		envListen:    &c.Listen,
		envDiscovery: &c.Discovery,
		envState:     &c.State,
	} {
		if value := getenv(name); value != "" {
			*field = value
		}
		if *field == "" {
			return fmt.Errorf("%s is not set", name)
		}
	}
	if value := getenv(envPassedSocket); value != "" {
		descriptor, err := strconv.Atoi(value)
		if err != nil || descriptor < firstPassedDescriptor {
			return fmt.Errorf("%s %q is not a descriptor", envPassedSocket, value)
		}
		c.PassedDescriptor = descriptor
	}
	if value := getenv(envAdminAddress); value != "" {
		c.Admin = value
	}
	if c.Admin != "" {
		if _, _, err := net.SplitHostPort(c.Admin); err != nil {
			return fmt.Errorf("admin_addr: %w", err)
		}
	}
	return nil
}

// Listener returns a function that creates a new listener for clients at each call: on the inherited socket if there is
// one, which the platform keeps open whatever this process closes, or else on a socket of its own.
func (c *Config) Listener() (func() (net.Listener, error), error) {
	if c.PassedDescriptor == 0 {
		return func() (net.Listener, error) { return net.Listen("tcp", c.Listen) }, nil
	}
	f := c.passedFile()
	probe, err := netconn.NewSharedListener(f)
	if err != nil {
		return nil, fmt.Errorf("configuration: %s: %w", envPassedSocket, err)
	}
	_ = probe.Close() // it only checks that the descriptor is a listener; the socket itself stays open
	return func() (net.Listener, error) { return netconn.NewSharedListener(f) }, nil
}

// passedFile returns the file of the inherited socket. It creates the file only once: a file without references, such
// as one left from a failed attempt, closes the descriptor when it is garbage collected, and the next attempt would
// find no socket.
func (c *Config) passedFile() *os.File {
	if c.passedSocket == nil {
		c.passedSocket = os.NewFile(uintptr(c.PassedDescriptor), "clients")
	}
	return c.passedSocket
}
