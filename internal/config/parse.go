package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/endpointlist"
	"onyxdyke.example/onyxdyke/internal/settings"
	"onyxdyke.example/onyxdyke/internal/simprotocol"
)

const (
	// maxSenders is more than any deployment has. The senders' turns are computed as durations, which must not
	// overflow.
	maxSenders = 1_000_000
	// Limits that are not set get a modest default, so that nothing can grow without a bound.
	defaultSockets        = 1024
	defaultDiskMB         = 3
	defaultConnectTimeout = 1500 * time.Millisecond
)

// file is the JSON of the configuration file.
type file struct {
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

// settingsNames holds the names in the settings as they are written in the file, which is how clients and discovery use
// them. The path=value lines don't serve for this, as blanks and commas are replaced there.
type settingsNames struct {
	Services, Orgs []struct{ Name string }
	Models, Zones  []string
}

// Parse decodes the JSON of a configuration and checks it.
func Parse(raw []byte) (*Config, error) {
	var f file
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, err
	}
	var document any
	if err := json.Unmarshal(raw, &document); err != nil {
		return nil, err
	}
	env, err := settings.Flatten(f.Settings)
	if err != nil {
		return nil, err
	}
	var names settingsNames
	if err := json.Unmarshal(f.Settings, &names); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c := &Config{
		Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Admin: f.Admin, State: f.State,
		Limits: f.Limits, EndpointList: f.Known, Settings: settings.Translate(env),
		Kinds: names.Models, Zones: names.Zones, LoadReportFields: env.List("telemetry.fields"),
		ConnectTimeout: settings.DurationFromMilliseconds(env.Float("limits.connectTimeout")),
		document:       document,
	}
	if err := c.readSettings(env, names); err != nil {
		return nil, err
	}
	if f.Seed != "" {
		if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed: %w", err)
		}
	}
	if c.Limits.Sockets <= 0 {
		c.Limits.Sockets = defaultSockets
	}
	if c.Limits.DiskMB <= 0 {
		c.Limits.DiskMB = defaultDiskMB
	}
	c.capConcurrentCalls(c.Limits)
	if c.ConnectTimeout <= 0 {
		c.ConnectTimeout = defaultConnectTimeout
	}
	return c, nil
}

// readSettings checks the settings and stores the names of classes and tenants.
func (c *Config) readSettings(env *simprotocol.Env, names settingsNames) error {
	for i := range env.Count("services") {
		if err := env.Err(); err != nil {
			return err
		}
		if err := c.addClass(env, i, names.Services[i].Name); err != nil {
			return err
		}
	}
	if c.Settings.MaxAttempts < 0 {
		return errors.New("limits.maxAttempts is not a positive number")
	}
	if err := checkSenderNumbers(env, c.Settings.Senders, c.Settings.Number); err != nil {
		return err
	}
	for i := range env.Count("orgs") {
		c.Tenants = append(c.Tenants, names.Orgs[i].Name)
	}
	if err := env.Err(); err != nil {
		return err
	}
	if len(c.Classes) == 0 {
		return errors.New("settings.services is missing or empty")
	}
	return nil
}

// addClass checks the class at an index of the settings and stores its name. The settings that decide whether a message
// may be sent again have no defaults: they are required.
func (c *Config) addClass(env *simprotocol.Env, index int, name string) error {
	if name == "" || slices.Contains(c.Classes, name) {
		return fmt.Errorf("services.%d.name %q is empty or stands twice", index, name)
	}
	class := c.Settings.Classes[index]
	required := []string{"effect", "giveUp", "slo"}
	if class.Effect == dispatch.IdempotentByKey {
		required = append(required, "dedupWindow", "dedupScope")
	}
	for _, key := range required {
		if key = fmt.Sprintf("services.%d.%s", index, key); env.Text(key) == "" {
			return fmt.Errorf("%s is missing", key)
		}
	}
	if class.Deadline <= 0 || class.LatencyObjective <= 0 {
		return fmt.Errorf("services.%d: giveUp and slo must be positive", index)
	}
	c.Classes = append(c.Classes, name)
	return nil
}

// checkSenderNumbers returns an error if the number of senders or this sender's own number among them is set to an
// invalid value. The shares of limits, turns and the choice of endpoints depend on both.
func checkSenderNumbers(env *simprotocol.Env, senders, number int) error {
	if value := env.Text("balancers"); value != "" && (senders < 1 || senders > maxSenders) {
		return fmt.Errorf("balancers: %s is not a number of senders", value)
	}
	if value := env.Text("slotNo"); value != "" && (number < 0 || senders > 0 && number >= senders) {
		return fmt.Errorf("slotNo: %s is not one of %d senders, counted from 0", value, senders)
	}
	return nil
}
