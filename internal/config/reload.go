package config

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"strings"
)

// Reload reads the file again and returns the configuration that replaces this one. The file takes precedence over the
// environment variables here, as those date from the start of the process. Properties that are fixed at the start
// (name, the sender's own addresses, state directory, limits) stay. A file that lacks anything that the current one has
// is taken as incompletely written and is rejected as a whole.
func (c *Config) Reload(readFile ReadFile, getenv func(string) string) (*Config, error) {
	raw, err := readFile(getenv(envFile))
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	read, err := Parse(raw)
	if err == nil {
		err = c.checkReplacement(read)
	}
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	read.capConcurrentCalls(c.Limits)
	next := *c
	next.Discovery, next.Settings, next.document = read.Discovery, read.Settings, read.document
	next.Classes, next.Tenants = read.Classes, read.Tenants
	next.Kinds, next.Zones = read.Kinds, read.Zones
	return &next, nil
}

// checkReplacement returns an error if next cannot replace this configuration.
func (c *Config) checkReplacement(next *Config) error {
	if err := checkComplete(c.document, next.document, ""); err != nil {
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

// knownListKey is the key of the list of known endpoints. It is not compared, as the list may be of any age.
const knownListKey = "known"

// checkComplete returns an error if a JSON value lacks something that the earlier value has: a key, or the items of a
// list that is empty now. Each item of a list must have the keys that all items of the earlier list have.
func checkComplete(earlier, value any, path string) error {
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
		if err := checkComplete(item, object[key], itemPath); err != nil {
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
		if err := checkComplete(required, item, fmt.Sprintf("%s.%d", path, i)); err != nil {
			return err
		}
	}
	return nil
}

// commonKeys returns an object with the keys that all items of a list have in common, or nil if an item is not an
// object.
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
