package sender

import (
	"context"
	"strings"

	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/retry"
)

// Reload reads the configuration again and applies what may change in service: the platform's address and the settings.
// A file that cannot be used changes nothing. It may be called from any goroutine.
func (s *Sender) Reload(ctx context.Context, getenv func(string) string) error {
	var c *config.Config
	err := retry.OnTransient(ctx, s.log, "the new configuration", func() (err error) {
		c, err = s.server.Config().Reload(s.env.ReadFile, getenv)
		return err
	})
	if err != nil {
		s.metrics.ConfigReloaded(false)
		return err
	}
	s.discovery.Move(c.Discovery)
	if s.post(ctx, reloadEvent{c}) {
		s.server.SetConfig(c) // requests are read by it from here on; the loop has it first
	}
	return nil
}

// applyConfig switches to a new configuration. Pending messages keep the rules under which they were accepted.
func (s *Sender) applyConfig(c *config.Config) []dispatch.Event {
	s.config = c
	s.pool.SetMaxIdle(c.MaxIdleConnections())
	s.metrics.RegisterClasses(c.Classes)
	s.metrics.ConfigReloaded(true)
	s.log.Info("reloaded", "discovery", c.Discovery, "classes", strings.Join(c.Classes, ","),
		"attempts", c.Settings.MaxAttempts)
	_, current := s.endpointListEvents()
	return []dispatch.Event{dispatch.SettingsChanged{Settings: c.Settings}, current}
}
