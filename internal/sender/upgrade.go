package sender

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/handover"
	"onyxdyke.example/onyxdyke/internal/ingress"
	"onyxdyke.example/onyxdyke/internal/invariant"
	"onyxdyke.example/onyxdyke/internal/retry"
)

// relockInterval is the pause before the lock is tried again whose journal could not be opened.
const relockInterval = time.Second

// upgrade is this process's part in upgrades: as the successor of a process that serves, as the lock owner, and as
// the predecessor of a process that has taken over. Package handover says how an upgrade goes.
//
// An attempt that the predecessor has in flight stays there. To the successor's dispatcher it is an attempt like any
// other; the predecessor reports its end. Requests that still arrive on the predecessor's connections are forwarded
// and answered there.
type upgrade struct {
	log        *slog.Logger
	invariants *invariant.Checker
	post       func(context.Context, event) bool
	stateDir   string

	lock        *os.File       // on the state directory; nil if it could not be had, or after a hand-over
	predecessor *handover.Link // the process that this one has taken over from; nil once it is gone
	successor   *handover.Link // the process that has taken over from this one; nil once it is gone

	handedOver             bool // a successor decides
	handedOverSnapshot     dispatch.Snapshot
	handedOverBackoffUntil map[string]time.Duration // by message ID, as in the snapshot

	forwarded     map[uint64]forwardedRequest // requests without a response from the successor, by sequence number
	lastForwarded uint64                      // sequence number
}

func newUpgrade(
	stateDir string, log *slog.Logger, invariants *invariant.Checker, post func(context.Context, event) bool,
) *upgrade {
	return &upgrade{
		log:        log,
		invariants: invariants,
		post:       post,
		stateDir:   stateDir,
		forwarded:  map[uint64]forwardedRequest{},
	}
}

// start listens to the predecessor, if there is one, and waits for a successor. The goroutines end with workCtx.
func (u *upgrade) start(workCtx context.Context) {
	if u.predecessor != nil {
		go u.receiveFromPeer(workCtx, u.predecessor)
	}
	u.startAwaitingSuccessor(workCtx)
}

// startAwaitingSuccessor waits for a successor on a goroutine that ends with ctx, if this process holds the lock.
func (u *upgrade) startAwaitingSuccessor(ctx context.Context) {
	if u.lock != nil {
		go u.awaitSuccessor(ctx)
	}
}

// tryLock takes the lock on the state directory. The lock is nil if another process holds it.
func (u *upgrade) tryLock(ctx context.Context) (lock *os.File, err error) {
	err = retry.OnTransient(ctx, u.log, "the lock on the state directory", func() (err error) {
		lock, err = handover.LockStateDir(u.stateDir)
		return err
	})
	return lock, err
}

// tryOwnership takes the lock on the state directory and reports whether this process is the owner. It is, too, where
// the directory cannot be locked at all. After a transient error it is not: without a lock it might not be the only
// owner.
func (u *upgrade) tryOwnership(ctx context.Context) (owned bool, err error) {
	lock, err := u.tryLock(ctx)
	if retry.IsTransient(err) {
		return false, fmt.Errorf("the state directory: %w", err)
	}
	if err != nil {
		u.log.Warn("the state directory cannot be locked: an upgrade will not be noticed", "err", err)
		u.invariants.CheckOwnership(false)
	}
	u.lock = lock
	return lock != nil || err != nil, nil
}

// acquireOwnership waits until this process is the owner: at once if nobody holds the lock, else after the lock owner
// has handed over or died. The snapshot is nil unless the lock owner gave one.
func (u *upgrade) acquireOwnership(ctx context.Context) (*handover.Snapshot, error) {
	var snapshot *handover.Snapshot
	for logged := false; ; {
		owned, err := u.tryOwnership(ctx)
		if err != nil {
			return nil, err
		}
		if owned {
			return snapshot, nil
		}
		if u.predecessor == nil {
			link, received, err := handover.RequestSnapshot(ctx, u.stateDir)
			if err == nil {
				u.predecessor, snapshot = link, received
				continue
			}
			if !logged {
				logged = true
				u.log.Info("another process holds the state directory", "err", err)
			}
		}
		select {
		case <-time.After(handover.LockPollInterval):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// acquireOwnership waits until this process owns the state directory, and opens the journal.
func (s *Sender) acquireOwnership(ctx context.Context) (*handover.Snapshot, error) {
	if s.journal != nil {
		return nil, nil // it has been the owner since New
	}
	snapshot, err := s.upgrade.acquireOwnership(ctx)
	if err != nil {
		return nil, err
	}
	return snapshot, s.openJournal(ctx)
}

// releaseLock frees the lock, if this process holds it.
func (u *upgrade) releaseLock() {
	if u.lock != nil {
		_ = u.lock.Close() // a directory: nothing was written
		u.lock = nil
	}
}

// removeSocket removes the socket for successors. It is ours as long as this process holds the lock.
func (u *upgrade) removeSocket() {
	_ = handover.WithSocket(u.stateDir, os.Remove) // a next owner would remove it as well
}

// awaitLock waits for the lock that a dead successor has left, and posts it. It ends with ctx.
func (u *upgrade) awaitLock(ctx context.Context) {
	for {
		if lock, err := u.tryLock(ctx); lock != nil || err != nil {
			u.post(ctx, lockAcquiredEvent{lock})
			return
		}
		select {
		case <-time.After(handover.LockPollInterval):
		case <-ctx.Done():
			return
		}
	}
}

// awaitSuccessor waits for a successor, posts its link and listens to it. It is called with the lock held, and ends
// with ctx.
func (u *upgrade) awaitSuccessor(ctx context.Context) {
	link, err := handover.AwaitSuccessor(ctx, u.log, u.stateDir)
	if err != nil {
		return
	}
	u.post(ctx, successorEvent{link})
	go u.receiveFromPeer(ctx, link)
}

// receiveFromPeer posts what the other process sends, and that its link is lost. It ends with the link.
func (u *upgrade) receiveFromPeer(ctx context.Context, link *handover.Link) {
	link.Listen(
		func(p handover.Packet) { u.post(ctx, packetEvent{link: link, packet: p}) },
		func() { u.post(ctx, linkLostEvent{link}) })
}

// forward gives a request to the successor, if there is one; else the request waits.
func (u *upgrade) forward(sub ingress.Submission) {
	u.lastForwarded++
	successor := u.successor
	if successor != nil && successor.IsGone() { // its loss is about to be posted
		successor = nil
	}
	u.forwarded[u.lastForwarded] = forwardedRequest{Submission: sub, sent: successor != nil}
	if successor != nil {
		successor.Send(handover.ForwardedRequest{Sequence: u.lastForwarded, Record: sub.Record})
	}
}

// respond gives the successor's response to the client of a forwarded request.
func (u *upgrade) respond(r handover.ForwardedResponse) {
	if sub, ok := u.forwarded[r.Sequence]; ok {
		delete(u.forwarded, r.Sequence)
		sub.Responses <- ingress.Response{Status: r.Status, RetryAfter: r.RetryAfter, Text: r.Text}
	}
}

// takeForwarded returns the requests that wait for a response, and forgets them.
func (u *upgrade) takeForwarded() map[uint64]forwardedRequest {
	forwarded := u.forwarded
	u.forwarded = map[uint64]forwardedRequest{}
	return forwarded
}
