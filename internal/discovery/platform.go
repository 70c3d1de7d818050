package discovery

import (
	"context"
	"sync"
	"time"
)

const (
	// A change binds at the latest changeBindsAfter after the platform had it, whether its answer has arrived or not,
	// and changeBindsAfterMove after a new configuration has moved the platform (STANDING; the first one is among the
	// protocol's figures, too). Where lists are pushed a change binds as soon as the agent has it, see watch.go.
	changeBindsAfter     = 6 * time.Second
	changeBindsAfterMove = 4 * time.Second
)

// platformState is what the watcher and the notifier both know of the platform: its address, and by when the changes
// that it has not yet answered bind. The listener of signals changes the address. It is safe for concurrent use.
type platformState struct {
	reserved *connectionReserve // follows the address

	mu            sync.Mutex
	baseURL       string
	untilMove     context.Context // ends when the platform moves from baseURL
	cancelCalls   context.CancelFunc
	changesBindAt time.Time // by then a change of which no answer has come binds all the same
}

// move makes address that of the platform and cancels the calls to the old one. It reports whether there was another
// address before.
func (p *platformState) move(address string) (moved bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	baseURL := "http://" + address
	if p.baseURL == baseURL {
		return false
	}
	if p.cancelCalls != nil {
		p.cancelCalls()
	}
	moved = p.baseURL != ""
	p.baseURL = baseURL
	p.reserved.setAddress(address)
	if moved {
		p.changesBindAt = time.Now().Add(changeBindsAfterMove)
	}
	p.untilMove, p.cancelCalls = context.WithCancel(context.Background())
	return moved
}

// noteContact records that the platform has answered, or that following it begins: a change from now on binds later.
func (p *platformState) noteContact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changesBindAt = time.Now().Add(changeBindsAfter)
}

// untilChangesBind returns the time until a change of which no answer has come binds.
func (p *platformState) untilChangesBind() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Until(p.changesBindAt)
}

// location is where the platform is, for the calls of one attempt.
type location struct {
	baseURL string
	ctx     context.Context    // ends with the caller's context, or when the platform moves
	release context.CancelFunc // ends ctx; the caller calls it
}

// hasMoved reports whether the platform has moved, or the caller's context has ended.
func (l location) hasMoved() bool { return l.ctx.Err() != nil }

// locate returns where the platform is now.
func (p *platformState) locate(ctx context.Context) location {
	p.mu.Lock()
	baseURL, untilMove := p.baseURL, p.untilMove
	p.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(untilMove, cancel)
	return location{baseURL: baseURL, ctx: ctx, release: func() { stop(); cancel() }}
}
