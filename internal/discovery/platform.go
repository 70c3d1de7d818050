package discovery

import (
	"context"
	"strings"
	"sync"
	"time"
)

const (
	// A change takes effect no later than changeEffectiveAfter after the platform has it, whether or not the answer
	// with the change has arrived. After a new configuration has moved the platform, changes take effect no later than
	// changeEffectiveAfterMove after the move. The protocol defines both times. If lists are pushed, a change takes
	// effect as soon as the agent has it, see watch.go.
	changeEffectiveAfter     = 6 * time.Second
	changeEffectiveAfterMove = 4 * time.Second
)

// platformState is the state of the platform that the watcher and the notifier share: its address, and the time at
// which changes that the sender has not yet received take effect. The signal handler changes the address. It is safe
// for concurrent use.
type platformState struct {
	reserved *connectionReserve // its address is changed together with baseURL

	mu                 sync.Mutex
	baseURL            string
	untilMove          context.Context // ends when the platform moves from baseURL
	cancelCalls        context.CancelFunc
	changesEffectiveAt time.Time // the latest time at which changes not yet received take effect
}

// move sets the address of the platform and cancels the calls to the old one. It reports whether there was a different
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
		p.changesEffectiveAt = time.Now().Add(changeEffectiveAfterMove)
	}
	p.untilMove, p.cancelCalls = context.WithCancel(context.Background())
	return moved
}

// recordContact records that the platform has answered, or that the sender starts to follow it: a change after this
// time takes effect no later than changeEffectiveAfter after it.
func (p *platformState) recordContact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changesEffectiveAt = time.Now().Add(changeEffectiveAfter)
}

// untilEffective returns the time until changes that the sender has not yet received take effect.
func (p *platformState) untilEffective() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Until(p.changesEffectiveAt)
}

// location is the address of the platform for the calls of one attempt.
type location struct {
	baseURL string
	ctx     context.Context    // ends with the caller's context, or when the platform moves
	release context.CancelFunc // ends ctx; the caller of locate must call it
}

// address returns the host and port of the platform.
func (l location) address() string { return strings.TrimPrefix(l.baseURL, "http://") }

// hasMoved reports whether the platform has moved, or the caller's context has ended.
func (l location) hasMoved() bool { return l.ctx.Err() != nil }

// locate returns the current location of the platform.
func (p *platformState) locate(ctx context.Context) location {
	p.mu.Lock()
	baseURL, untilMove := p.baseURL, p.untilMove
	p.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(untilMove, cancel)
	return location{baseURL: baseURL, ctx: ctx, release: func() { stop(); cancel() }}
}
