package sender

import (
	"context"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/retry"
)

// memoryPart of the machine's memory is what the collector aims to stay under; the journal's pages and
// the kernel's buffers count as well.
const memoryPart = 0.6

// RunProcess is a sender as a process of its own: it reads its configuration, listens, and serves until SIGTERM. SIGHUP
// makes it read the configuration again.
func RunProcess(env Environment) error {
	log, flush := NewLogger()
	defer flush()
	err := runProcess(env, log)
	if err != nil {
		log.Error("the sender ends", "err", err)
	}
	return err
}

func runProcess(env Environment, log *slog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hup := make(chan os.Signal, 1) // from the first: unheeded it would end the process
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	signal.Ignore(syscall.SIGPIPE) // whoever reads the log may go: the write fails then, as any other
	c, err := config.Load(ctx, log, env.ReadFile, os.Getenv)
	if err != nil {
		return err
	}
	if c.Limits.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Limits.Cores))))
	}
	if c.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(c.Limits.MemoryMB * 1e6 * memoryPart))
	}
	var listen func() (net.Listener, error)
	err = retry.OnTransient(ctx, log, "the passed socket", func() (err error) {
		listen, err = c.Listener()
		return err
	})
	if err != nil {
		return err
	}
	s, err := NewIn(ctx, env, c, log)
	if err != nil {
		return err
	}
	serving, ended := context.WithCancel(context.Background()) // for longer than ctx: also while it leaves
	defer ended()
	go s.reloadOn(serving, hup)
	return s.Run(ctx, listen)
}

// reloadOn takes a new configuration at each signal.
func (s *Sender) reloadOn(ctx context.Context, hup <-chan os.Signal) {
	for {
		select {
		case <-hup:
			if err := s.Reload(ctx, os.Getenv); err != nil {
				s.log.Error("reload: going on as before", "err", err)
			}
		case <-ctx.Done():
			return
		}
	}
}
