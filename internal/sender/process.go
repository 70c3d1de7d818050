package sender

import (
	"context"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/retry"
)

// RunProcess runs a sender as a process of its own: it reads its configuration, listens, and serves until SIGTERM. At
// SIGHUP it reads the configuration again.
func RunProcess(env Environment) error {
	log, flush := NewLogger()
	defer flush()
	err := runProcess(env, log)
	if err != nil {
		log.Error("sender failed", "err", err)
	}
	return err
}

func runProcess(env Environment, log *slog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hangups := make(chan os.Signal, 1) // first of all, because without a handler SIGHUP would end the process
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	signal.Ignore(syscall.SIGPIPE) // if the log's reader is gone, a write returns an error instead
	cfg, err := config.Load(ctx, log, env.ReadFile, os.Getenv)
	if err != nil {
		return err
	}
	limitCores(cfg.Limits)
	env.LimitMemory = limitGoMemory
	var listen ListenFunc
	err = retry.OnTransient(ctx, log, "opening the passed socket", func() (err error) {
		listen, err = cfg.Listener()
		return err
	})
	if err != nil {
		return err
	}
	s, err := NewInEnvironment(ctx, env, cfg, log)
	if err != nil {
		return err
	}
	// reloadCtx lasts longer than ctx: the configuration can be reloaded during the shutdown as well.
	reloadCtx, cancelReload := context.WithCancel(context.Background())
	defer cancelReload()
	go s.reloadOn(reloadCtx, hangups) // ends when runProcess returns, which does not wait for it
	return s.Run(ctx, listen)
}

// limitCores applies the configured limit of cores to Go's runtime.
func limitCores(limits config.Limits) {
	if limits.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(limits.Cores))))
	}
}

// limitGoMemory makes Go's runtime collect garbage in time to stay under a number of bytes, as far as it can.
func limitGoMemory(bytes int64) { debug.SetMemoryLimit(bytes) }

// reloadOn reloads the configuration at each signal, until ctx ends.
func (s *Sender) reloadOn(ctx context.Context, hangups <-chan os.Signal) {
	for {
		select {
		case <-hangups:
			if err := s.Reload(ctx, os.Getenv); err != nil {
				s.log.Error("reload: going on as before", "err", err)
			}
		case <-ctx.Done():
			return
		}
	}
}
