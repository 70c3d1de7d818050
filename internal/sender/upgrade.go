package sender

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"

	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/handover"
	"onyxdyke.example/onyxdyke/internal/ingress"
	"onyxdyke.example/onyxdyke/internal/invariant"
	"onyxdyke.example/onyxdyke/internal/retry"
)

// relockInterval is the pause before the lock is taken again, after it was released because the journal could not be
// opened.
const relockInterval = time.Second

// upgrade is this process's part in upgrades: as the successor of a process that serves, as the lock owner, and as
// the predecessor of a process that has taken over. Package handover describes how an upgrade proceeds.
//
// The predecessor keeps its attempts in flight and reports their ends. To the successor's dispatcher they are attempts
// like any other. Requests that still arrive on the predecessor's connections are forwarded to the successor, and the
// predecessor sends the responses.
type upgrade struct {
	log        *slog.Logger
	invariants *invariant.Checker
	post       func(context.Context, event) bool
	stateDir   string

	lock        *os.File       // on the state directory; nil if it could not be taken, or after a hand-over
	predecessor *handover.Link // the process that this one has taken over from; nil once it is gone
	successor   *handover.Link // the process that has taken over from this one; nil once it is gone

	handedOver             bool // a successor has the ownership
	handedOverSnapshot     dispatch.Snapshot
	handedOverBackoffUntil map[string]time.Duration // by message ID, as in the snapshot

	forwarded     map[uint64]forwardedRequest // requests that wait for the successor's response, by sequence number
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

// start receives from the predecessor, if there is one, and waits for a successor, on goroutines that end with workCtx.
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
	err = retry.OnTransient(ctx, u.log, "locking the state directory", func() (err error) {
		lock, err = handover.LockStateDir(u.stateDir)
		return err
	})
	return lock, err
}

// tryOwnership takes the lock on the state directory and reports whether this process is the owner. If the directory
// cannot be locked at all, this process is the owner without a lock. After a transient error it is not the owner,
// because without the lock it might not be the only one.
func (u *upgrade) tryOwnership(ctx context.Context) (owned bool, err error) {
	lock, err := u.tryLock(ctx)
	if retry.IsTransient(err) {
		return false, fmt.Errorf("lock the state directory: %w", err)
	}
	if err != nil {
		u.log.Warn("the state directory cannot be locked: an upgrade will not be noticed", "err", err)
		u.invariants.CheckOwnership(false)
	}
	u.lock = lock
	return lock != nil || err != nil, nil
}

// acquireOwnership waits until this process is the owner: immediately if no other process holds the lock, otherwise
// after the lock owner has handed over or died. The snapshot is nil unless the lock owner sent one.
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
		return nil, nil // this process has been the owner since New
	}
	snapshot, err := s.upgrade.acquireOwnership(ctx)
	if err != nil {
		return nil, err
	}
	if snapshot == nil {
		s.setShare(config.ShareWhole)
	} else {
		s.setShare(overlapShare(snapshot.KeepsShare))
	}
	return snapshot, s.openJournal(ctx)
}

// releaseLock releases the lock, if this process holds it.
func (u *upgrade) releaseLock() {
	if u.lock != nil {
		_ = u.lock.Close() // closing a directory cannot lose data
		u.lock = nil
	}
}

// removeSocket removes the socket for successors. The socket belongs to this process as long as it holds the lock.
func (u *upgrade) removeSocket() {
	_ = handover.WithSocket(u.stateDir, os.Remove) // the next owner removes it if this fails
}

// awaitLock takes the lock once no other process holds it, and posts it. If another process holds it at first,
// awaitLock posts that, and goes on only if keepTrying is set. It ends with ctx.
func (u *upgrade) awaitLock(ctx context.Context, keepTrying bool) {
	for isFirst := true; ; isFirst = false {
		if lock, err := u.tryLock(ctx); lock != nil || err != nil {
			u.post(ctx, lockAcquiredEvent{lock})
			return
		}
		if isFirst {
			u.post(ctx, lockHeldEvent{})
		}
		if !keepTrying || !retry.Wait(ctx, handover.LockPollInterval) {
			return
		}
	}
}

// awaitSuccessor waits for a successor, posts its link and receives from it. It is called with the lock held, and ends
// with ctx.
func (u *upgrade) awaitSuccessor(ctx context.Context) {
	link, err := handover.AwaitSuccessor(ctx, u.log, u.stateDir)
	if err != nil {
		return
	}
	u.post(ctx, successorEvent{link})
	go u.receiveFromPeer(ctx, link)
}

// receiveFromPeer posts the packets of the other process, and then the loss of its link. It ends with the link.
func (u *upgrade) receiveFromPeer(ctx context.Context, link *handover.Link) {
	link.Listen(
		func(p handover.Packet) { u.post(ctx, packetEvent{link: link, packet: p}) },
		func() { u.post(ctx, linkLostEvent{link}) })
}

// forward sends a request to the successor, if there is one; otherwise the request waits.
func (u *upgrade) forward(sub ingress.Submission) {
	u.lastForwarded++
	successor := u.successor
	if successor != nil && successor.IsClosed() { // its loss is about to be posted
		successor = nil
	}
	u.forwarded[u.lastForwarded] = forwardedRequest{Submission: sub, sent: successor != nil}
	if successor != nil {
		successor.Send(handover.ForwardedRequest{Sequence: u.lastForwarded, Record: sub.Record})
	}
}

// respond passes the successor's response to the client of a forwarded request.
func (u *upgrade) respond(r handover.ForwardedResponse) {
	if sub, ok := u.forwarded[r.Sequence]; ok {
		delete(u.forwarded, r.Sequence)
		sub.Responses <- ingress.Response{Status: r.Status, RetryAfter: r.RetryAfter, Text: r.Text}
	}
}

// takeForwarded removes and returns the requests that wait for a response.
func (u *upgrade) takeForwarded() map[uint64]forwardedRequest {
	forwarded := u.forwarded
	u.forwarded = map[uint64]forwardedRequest{}
	return forwarded
}
