// Package config reads what a sender is told at its start and at SIGHUP: the configuration file and the environment.
package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/endpointlist"
	"onyxdyke.example/onyxdyke/internal/retry"
	"onyxdyke.example/onyxdyke/internal/settings"
	"onyxdyke.example/onyxdyke/internal/simprotocol"
)

// Limits is what the sender's machine allows it.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// Config is what a sender is told at its start.
type Config struct {
	Name      string
	Listen    string // where clients connect
	Discovery string
	Admin     string // where operators call; empty for nowhere
	Passed    int    // descriptor of the clients' socket where the platform holds it, 0 where it does not
	State     string // the folder that outlasts the process
	Seed      uint64
	Limits    Limits
	Known     endpointlist.Update // the endpoint list as last had
	Settings  dispatch.Settings

	Classes, Tenants, Kinds, Zones []string // names, in the order of the settings
	Fields                         []string // of load reports
	ConnectTimeout                 time.Duration

	shape any // the file as it was read
}

// File descriptors are divided so that all uses fit at their maximum, whatever else happens: clients get half (they use a
// third, and strangers come beside them), operators a part, ReservedDescriptors stay free, and calls have the rest. Idle
// connections to endpoints have what the calls leave of that.
const (
	// AdminConnectionLimit bounds the operators' connections. Where descriptors are few, there are fewer.
	AdminConnectionLimit = 64
	// adminDivisor is the part of the descriptors that operators get at most.
	adminDivisor = 12
	// ReservedDescriptors are kept for the standard streams, the poller, listeners, the lock, the journal, discovery and
	// its hedged calls, and a successor.
	ReservedDescriptors = 24
)

// MaxClientConnections is how many connections of clients there may be at once.
func (l Limits) MaxClientConnections() int { return max(2, l.Sockets/2) }

// MaxAdminConnections is how many connections of operators there may be at once.
func (l Limits) MaxAdminConnections() int {
	return max(4, min(AdminConnectionLimit, l.Sockets/adminDivisor))
}

// MaxEndpointConnections is how many connections to endpoints there may be at once, idle or not.
func (l Limits) MaxEndpointConnections() int {
	return max(1, l.Sockets-l.MaxClientConnections()-l.MaxAdminConnections()-ReservedDescriptors)
}

// MaxIdleConnections is how many idle connections to endpoints are kept.
func (c *Config) MaxIdleConnections() int {
	return max(0, min(c.Limits.Sockets/4, c.Limits.MaxEndpointConnections()-c.Settings.MaxConcurrentCalls))
}

// ReadFile reads a whole file, as os.ReadFile does.
type ReadFile func(path string) ([]byte, error)

// LoadConfig reads the file that EDGE_CONFIG names. The other variables win over what it says.
func Load(ctx context.Context, log *slog.Logger, readFile ReadFile, getenv func(string) string) (*Config, error) {
	var raw []byte
	err := retry.OnTransient(ctx, log, "the configuration", func() (err error) {
		raw, err = readFile(getenv("EDGE_CONFIG"))
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	for name, field := range map[string]*string{"EDGE_NAME": &c.Name, "EDGE_LISTEN": &c.Listen,
		"EDGE_DISCOVERY": &c.Discovery, "EDGE_STATE": &c.State} {
		if v := getenv(name); v != "" {
			*field = v
		}
		if *field == "" {
			return nil, fmt.Errorf("configuration: %s is not set", name)
		}
	}
	if v := getenv("EDGE_PASSED_SOCKET"); v != "" {
		if c.Passed, err = strconv.Atoi(v); err != nil || c.Passed < 3 {
			return nil, fmt.Errorf("configuration: EDGE_PASSED_SOCKET %q is not a descriptor", v)
		}
	}
	if v := getenv("EDGE_ADMIN_ADDR"); v != "" {
		c.Admin = v
	}
	if c.Admin != "" {
		if _, _, err := net.SplitHostPort(c.Admin); err != nil {
			return nil, fmt.Errorf("configuration: admin_addr: %w", err)
		}
	}
	return c, nil
}

// Listener gives the clients' listener, as often as it is called: the inherited socket, which stays open in the
// platform's hands whatever is closed here, or else one of our own.
func (c *Config) Listener() (func() (net.Listener, error), error) {
	if c.Passed == 0 {
		return func() (net.Listener, error) { return net.Listen("tcp", c.Listen) }, nil
	}
	f := os.NewFile(uintptr(c.Passed), "clients")
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("configuration: EDGE_PASSED_SOCKET: %w", err)
	}
	l.Close()
	return func() (net.Listener, error) { return net.FileListener(f) }, nil
}

// reload reads the file again and gives the configuration that follows this one. Here the file wins over the
// variables, as those are of the start. What a process is by its start (name, addresses of its own, folder,
// limits) stays. A file that lacks anything that the one before had was not written whole: nothing is taken of it.
func (c *Config) Reload(readFile ReadFile, getenv func(string) string) (*Config, error) {
	raw, err := readFile(getenv("EDGE_CONFIG"))
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	n, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if err := lacks(c.shape, n.shape, ""); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if _, _, err := net.SplitHostPort(n.Discovery); err != nil {
		return nil, fmt.Errorf("configuration: discovery: %w", err)
	}
	if c.Settings.MaxAttempts > 0 && n.Settings.MaxAttempts <= 0 {
		return nil, errors.New("configuration: settings.limits.maxAttempts is not a positive number")
	}
	n.Settings.MaxConcurrentCalls = min(n.Settings.MaxConcurrentCalls, c.Limits.MaxEndpointConnections())
	next := *c
	next.Discovery, next.Settings, next.Classes, next.Tenants = n.Discovery, n.Settings, n.Classes, n.Tenants
	next.Kinds, next.Zones, next.shape = n.Kinds, n.Zones, n.shape
	return &next, nil
}

// lacks tells what a value read from JSON has not got of another: a key, or all items of a list. An item must
// have the keys that all items before have.
func lacks(old, now any, path string) error {
	switch old := old.(type) {
	case map[string]any:
		now, ok := now.(map[string]any)
		if !ok {
			return fmt.Errorf("%s is not an object", path)
		}
		for key, v := range old {
			at := strings.TrimPrefix(path+"."+key, ".")
			if _, ok := now[key]; !ok {
				return fmt.Errorf("%s is missing", at)
			}
			if at == "known" { // a list of endpoints, as new as it may be
				continue
			}
			if err := lacks(v, now[key], at); err != nil {
				return err
			}
		}
	case []any:
		now, ok := now.([]any)
		if !ok {
			return fmt.Errorf("%s is not a list", path)
		}
		if len(old) > 0 && len(now) == 0 {
			return fmt.Errorf("%s is empty", path)
		}
		item := common(old)
		for i, v := range now {
			if err := lacks(item, v, fmt.Sprintf("%s.%d", path, i)); err != nil {
				return err
			}
		}
	default:
		switch now.(type) {
		case map[string]any, []any, nil:
			if old != nil {
				return fmt.Errorf("%s is not a plain value", path)
			}
		}
	}
	return nil
}

// common is what all items of a list have, nil if they are no objects.
func common(items []any) any {
	var all map[string]any
	for i, v := range items {
		item, ok := v.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			all = maps.Clone(item)
		}
		maps.DeleteFunc(all, func(key string, _ any) bool { _, has := item[key]; return !has })
	}
	if all == nil {
		return nil
	}
	return all
}

// ParseConfig reads the configuration's JSON.
func Parse(raw []byte) (*Config, error) {
	var file struct {
		Name      string              `json:"name"`
		Listen    string              `json:"listen"`
		Discovery string              `json:"discovery"`
		Admin     string              `json:"admin_addr"`
		State     string              `json:"state"`
		Seed      string              `json:"seed"`
		Limits    Limits              `json:"limits"`
		Known     endpointlist.Update `json:"known"`
		Settings  json.RawMessage     `json:"settings"`
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		return nil, err
	}
	var shape any
	if err := json.Unmarshal(raw, &shape); err != nil {
		return nil, err
	}
	env, err := settings.Flatten(file.Settings)
	if err != nil {
		return nil, err
	}
	// Names as they stand: clients and discovery use them so, while in lines of path and value blanks and commas are replaced.
	var named struct {
		Services, Orgs []struct{ Name string }
		Models, Zones  []string
	}
	if err := json.Unmarshal(file.Settings, &named); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c := &Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Admin: file.Admin, State: file.State,
		Limits: file.Limits, Known: file.Known, Settings: settings.Translate(env),
		Kinds: named.Models, Zones: named.Zones, Fields: env.List("telemetry.fields"),
		shape: shape, ConnectTimeout: settings.Span(env.Float("limits.connectTimeout"))}
	for i := range env.Count("services") {
		if err := env.Err(); err != nil {
			return nil, err
		}
		name := named.Services[i].Name
		if name == "" || slices.Contains(c.Classes, name) {
			return nil, fmt.Errorf("services.%d.name %q is empty or stands twice", i, name)
		}
		// Of what decides whether a message may be sent again nothing is taken for granted.
		needs := []string{"effect", "giveUp", "slo"}
		if c.Settings.Classes[i].Effect == dispatch.IdempotentByKey {
			needs = append(needs, "dedupWindow", "dedupScope")
		}
		for _, key := range needs {
			if key = fmt.Sprintf("services.%d.%s", i, key); env.Text(key) == "" {
				return nil, fmt.Errorf("%s is missing", key)
			}
		}
		if class := c.Settings.Classes[i]; class.Deadline <= 0 || class.LatencyObjective <= 0 {
			return nil, fmt.Errorf("services.%d: giveUp and slo must be positive", i)
		}
		c.Classes = append(c.Classes, name)
	}
	if c.Settings.MaxAttempts < 0 {
		return nil, errors.New("limits.maxAttempts is not a positive number")
	}
	if err := fleet(env, c.Settings.Senders, c.Settings.Number); err != nil {
		return nil, err
	}
	for i := range env.Count("orgs") {
		c.Tenants = append(c.Tenants, named.Orgs[i].Name)
	}
	if err := env.Err(); err != nil {
		return nil, err
	}
	if len(c.Classes) == 0 {
		return nil, errors.New("settings.services is missing or empty")
	}
	if file.Seed != "" {
		if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed: %w", err)
		}
	}
	// What is not stated gets a modest value: nothing may grow without a bound.
	if c.Limits.Sockets <= 0 {
		c.Limits.Sockets = 1024
	}
	if c.Limits.DiskMB <= 0 {
		c.Limits.DiskMB = 3
	}
	c.Settings.MaxConcurrentCalls = min(c.Settings.MaxConcurrentCalls, c.Limits.MaxEndpointConnections())
	if c.ConnectTimeout <= 0 {
		c.ConnectTimeout = 1500 * time.Millisecond
	}
	return c, nil
}

// mostSenders is more than any fleet has. Turns among them are counted in time, which must not overflow.
const mostSenders = 1_000_000

// fleet tells what makes no sense of the number of senders and this one's own among them, where they are stated:
// parts of limits, turns and choices of endpoints go by both.
func fleet(env *simprotocol.Env, senders, number int) error {
	if stated := env.Text("balancers"); stated != "" && (senders < 1 || senders > mostSenders) {
		return fmt.Errorf("balancers: %s is not a number of senders", stated)
	}
	if stated := env.Text("slotNo"); stated != "" && (number < 0 || senders > 0 && number >= senders) {
		return fmt.Errorf("slotNo: %s is not one of %d senders, counted from 0", stated, senders)
	}
	return nil
}

// place is the place of a name in a list of the settings, or def if it is not there.
func IndexOf(list []string, name string, def int) int {
	if i := slices.Index(list, name); i >= 0 {
		return i
	}
	return def
}
