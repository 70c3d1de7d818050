package config

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"strings"
)

// Reload reads the file again and returns the configuration that follows this one. Here the file wins over the
// variables, as those are of the start. What a process is by its start (name, its own addresses, state directory,
// limits) stays. A file that lacks anything that the one in force has was not written completely, and is rejected as
// a whole.
func (c *Config) Reload(readFile ReadFile, getenv func(string) string) (*Config, error) {
	raw, err := readFile(getenv(envFile))
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	read, err := Parse(raw)
	if err == nil {
		err = c.checkSuccessor(read)
	}
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	read.capCalls(c.Limits)
	next := *c
	next.Discovery, next.Settings, next.shape = read.Discovery, read.Settings, read.shape
	next.Classes, next.Tenants = read.Classes, read.Tenants
	next.Kinds, next.Zones = read.Kinds, read.Zones
	return &next, nil
}

// checkSuccessor says why a configuration cannot follow this one.
func (c *Config) checkSuccessor(next *Config) error {
	if err := checkShape(c.shape, next.shape, ""); err != nil {
		return err
	}
	if _, _, err := net.SplitHostPort(next.Discovery); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	if c.Settings.MaxAttempts > 0 && next.Settings.MaxAttempts <= 0 {
		return errors.New("settings.limits.maxAttempts is not a positive number")
	}
	return nil
}

// knownListKey is a list of endpoints, which may be of any age: it is not compared.
const knownListKey = "known"

// checkShape says what a JSON value lacks of another: a key, or all items of a list. An item must have the keys that
// all earlier items have.
func checkShape(earlier, value any, path string) error {
	switch earlier := earlier.(type) {
	case map[string]any:
		return checkObject(earlier, value, path)
	case []any:
		return checkList(earlier, value, path)
	}
	switch value.(type) {
	case map[string]any, []any, nil:
		if earlier != nil {
			return fmt.Errorf("%s is not a plain value", path)
		}
	}
	return nil
}

func checkObject(earlier map[string]any, value any, path string) error {
	object, ok := value.(map[string]any)
	if !ok {
		return fmt.Errorf("%s is not an object", path)
	}
	for key, item := range earlier {
		itemPath := strings.TrimPrefix(path+"."+key, ".")
		if _, ok := object[key]; !ok {
			return fmt.Errorf("%s is missing", itemPath)
		}
		if itemPath == knownListKey {
			continue
		}
		if err := checkShape(item, object[key], itemPath); err != nil {
			return err
		}
	}
	return nil
}

func checkList(earlier []any, value any, path string) error {
	list, ok := value.([]any)
	if !ok {
		return fmt.Errorf("%s is not a list", path)
	}
	if len(earlier) > 0 && len(list) == 0 {
		return fmt.Errorf("%s is empty", path)
	}
	required := commonKeys(earlier)
	for i, item := range list {
		if err := checkShape(required, item, fmt.Sprintf("%s.%d", path, i)); err != nil {
			return err
		}
	}
	return nil
}

// commonKeys is an object with the keys that all items of a list have, nil if they are no objects.
func commonKeys(items []any) any {
	var common map[string]any
	for i, value := range items {
		object, ok := value.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			common = maps.Clone(object)
		}
		maps.DeleteFunc(common, func(key string, _ any) bool {
			_, ok := object[key]
			return !ok
		})
	}
	if common == nil {
		return nil
	}
	return common
}
