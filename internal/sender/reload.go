package sender

import (
	"context"
	"strings"

	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/retry"
)

// Reload reads the configuration again and applies what may change while the sender runs: the platform's address and
// the settings. If the file cannot be used, nothing changes. Reload may be called from any goroutine.
func (s *Sender) Reload(ctx context.Context, getenv func(string) string) error {
	var cfg *config.Config
	err := retry.OnTransient(ctx, s.log, "reading the new configuration", func() (err error) {
		cfg, err = s.server.Config().Reload(s.env.ReadFile, getenv)
		return err
	})
	if err != nil {
		s.metrics.ConfigReloaded(false)
		return err
	}
	s.discovery.Move(cfg.Discovery)
	if s.post(ctx, reloadEvent{cfg}) {
		s.server.SetConfig(cfg) // new requests are read with it; the loop has received it before them
	}
	return nil
}

// applyConfig switches to a new configuration. Pending messages keep the rules under which they were accepted.
func (s *Sender) applyConfig(cfg *config.Config) []dispatch.Event {
	s.config = cfg
	s.pool.SetMaxIdle(cfg.MaxIdleConnections())
	s.metrics.RegisterClasses(cfg.Classes)
	s.metrics.ConfigReloaded(true)
	s.log.Info("reloaded", "discovery", cfg.Discovery, "classes", strings.Join(cfg.Classes, ","),
		"attempts", cfg.Settings.MaxAttempts)
	_, current := s.endpointListEvents()
	return []dispatch.Event{dispatch.SettingsChanged{Settings: cfg.Settings}, current}
}
