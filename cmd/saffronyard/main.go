// Command saffronyard is the real sender: it reads its configuration, listens, and serves until SIGTERM. SIGHUP
// makes it read the configuration again.
package main

import (
	"context"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"dockshift.example/dockshift/internal/sender"
)

// memoryPart of the machine's memory is what the collector aims to stay under; the journal's pages and
// the kernel's buffers count as well.
const memoryPart = 0.6

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel(os.Getenv("EDGE_LOG_LEVEL"))}))
	if err := run(log); err != nil {
		log.Error("saffronyard", "err", err)
		os.Exit(1)
	}
}

// logLevel reads a level's name; debug follows each message by its id. Anything else means info.
func logLevel(name string) slog.Level {
	var level slog.Level
	if level.UnmarshalText([]byte(name)) != nil {
		return slog.LevelInfo
	}
	return level
}

func run(log *slog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hup := make(chan os.Signal, 1) // from the first: unheeded it would end the process
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	c, err := sender.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	if c.Limits.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Limits.Cores))))
	}
	if c.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(c.Limits.MemoryMB * 1e6 * memoryPart))
	}
	listen, err := c.Listener()
	if err != nil {
		return err
	}
	s, err := sender.New(c, log)
	if err != nil {
		return err
	}
	serving, ended := context.WithCancel(context.Background()) // for longer than ctx: also while it leaves
	defer ended()
	go func() {
		for {
			select {
			case <-hup:
				if err := s.Reload(serving, os.Getenv); err != nil {
					log.Error("reload: going on as before", "err", err)
				}
			case <-serving.Done():
				return
			}
		}
	}()
	return s.Run(ctx, listen)
}
