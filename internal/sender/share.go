package sender

import (
	"context"
	"runtime/debug"
	"time"

	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/handover"
)

// shareTimeout bounds how long a hand-over waits until this process is within its share of the limits.
const shareTimeout = time.Second

// setShare limits this process to a share of the configured limits. The two processes of an upgrade count as one: while
// both run, each has to leave the other its part.
func (s *Sender) setShare(share config.Share) {
	s.server.SetShare(share)
	if s.env.LimitMemory != nil && s.config.Limits.MemoryMB > 0 {
		s.env.LimitMemory(s.config.Limits.GoMemory(share))
	}
}

// overlapShare returns the share of a process while another one runs. That other one may be of an earlier release,
// which does not keep to a share.
func overlapShare(otherKeepsShare bool) config.Share {
	if otherKeepsShare {
		return config.ShareHalf
	}
	return config.ShareRemainder
}

// prepareHandOver reduces what this process holds to its share, and then posts the request of the successor, which is
// to start with its own share. It runs beside the loop, which serves meanwhile, and ends with ctx.
func (s *Sender) prepareHandOver(ctx context.Context, successor *handover.Link) {
	waitCtx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	if !s.server.AwaitShare(waitCtx) {
		s.log.Warn("handing over although clients' connections exceed the share of this process")
	}
	if s.env.LimitMemory != nil {
		debug.FreeOSMemory() // the successor is about to need what is free here
	}
	s.post(ctx, shareReachedEvent{successor})
}

// handlePredecessorExit takes over the whole of the limits when the process before this one has ended.
func (s *Sender) handlePredecessorExit(link *handover.Link) {
	if s.upgrade.predecessor != link {
		return
	}
	s.upgrade.predecessor = nil
	if !s.upgrade.handedOver {
		s.setShare(config.ShareWhole)
	}
}
