package endpoint

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/invariant"
)

// Item is a message's part in a call.
type Item struct {
	ID     string
	Key    string
	Body   []byte
	Permit invariant.SendPermit

	Timeout     time.Duration // the attempt ends then at the latest
	StartWithin time.Duration // it is not written later than this; 0 for no bound but Timeout
	LastAttempt bool          // its deadline is reached with the timeout: it will not be sent again

	startBy time.Time // StartWithin as a time
	state   atomic.Int32
}

// Whether an item is part of what its call writes or ends before that is settled by who comes first: the bytes may
// have to wait for a connection, and the item's time be up meanwhile.
const (
	itemUndecided int32 = iota
	itemWritten
	itemExcluded
)

func (i *Item) markWritten() bool { return i.state.CompareAndSwap(itemUndecided, itemWritten) }

func (i *Item) exclude() bool { return i.state.CompareAndSwap(itemUndecided, itemExcluded) }

func (i *Item) isWritten() bool { return i.state.Load() == itemWritten }

// Result is how an attempt ended for one item of a call.
type Result struct {
	Item int // its place among the call's items
	dispatch.AttemptResult
}

// Call is one call to an endpoint, with one message or several.
//
// Each message has a timeout of its own. One whose time is up ends alone, and the call goes on for the others; so
// does one for which no connection has come up by the time that its call must start, and the call is then written
// without it. Where the bytes of an ended message may not have arrived yet, as the endpoint may be cut off, the call
// is abandoned: else they would arrive once the cut is over. A timeout after which the message may be sent again at
// once ends the whole call, as two copies of it must not be in flight together.
type Call struct {
	pool     *Pool
	to       *Endpoint
	items    []*Item
	batch    *batch
	timeout  time.Duration // of the call
	startIn  time.Duration // the longest StartWithin
	ctx      context.Context
	startCtx context.Context // ends when the call may no longer be written

	// Cancel ends the call.
	Cancel context.CancelFunc
	// AbortUnsent ends the call unless it has been written.
	AbortUnsent context.CancelFunc
}

// NewCall prepares a call. Start makes it; ctx ends it.
func (p *Pool) NewCall(ctx context.Context, to *Endpoint, items []*Item) *Call {
	c := &Call{pool: p, to: to, items: items, batch: &batch{metrics: p.metrics}}
	restartIn := time.Duration(math.MaxInt64) // the first timeout after which a message may be sent again
	for _, item := range items {
		if item.StartWithin <= 0 || item.StartWithin > item.Timeout {
			item.StartWithin = item.Timeout
		}
		c.timeout, c.startIn = max(c.timeout, item.Timeout), max(c.startIn, item.StartWithin)
		if !item.LastAttempt {
			restartIn = min(restartIn, item.Timeout)
		}
	}
	c.timeout = min(c.timeout, restartIn)
	c.ctx, c.Cancel = context.WithTimeout(ctx, c.timeout)
	c.startCtx, c.AbortUnsent = context.WithTimeout(c.ctx, c.startIn)
	return c
}

// Start makes the call and returns at once. ended hears the results of items as they come, each item's once, and with
// isDone that the call itself is over, from other goroutines. With isRecorded false the call is not made: after a kill
// nobody would know that its messages may have run. The goroutine ends with the call, which ctx and the timeout bound.
func (c *Call) Start(isRecorded bool, ended func(results []Result, isDone bool)) {
	began := time.Now()
	timers := c.startItemTimers(began, func(place int, outcome dispatch.Outcome) {
		result := dispatch.AttemptResult{Endpoint: c.to.Number, Outcome: outcome, Elapsed: time.Since(began)}
		ended([]Result{{Item: place, AttemptResult: result}}, false)
	})
	go func() {
		defer c.Cancel()
		defer c.AbortUnsent()
		attempts := c.attempt(isRecorded)
		for _, timer := range timers {
			timer.Stop()
		}
		results := make([]Result, len(attempts))
		for i, attempt := range attempts {
			if attempt.Outcome == dispatch.TimedOut && c.items[i].Timeout > c.timeout {
				attempt.Outcome = dispatch.Cancelled // by another's timeout, before its own
			}
			attempt.Elapsed = time.Since(began)
			results[i] = Result{Item: i, AttemptResult: attempt}
		}
		ended(results, true)
	}()
}

// startItemTimers starts the timers of the items that may end before their call.
func (c *Call) startItemTimers(began time.Time, end func(place int, outcome dispatch.Outcome)) []*time.Timer {
	var timers []*time.Timer
	for place, item := range c.items {
		item.startBy = began.Add(item.StartWithin)
		endsEarly := item.Timeout < c.timeout
		if item.StartWithin < c.startIn || endsEarly {
			timers = append(timers, time.AfterFunc(item.StartWithin, func() {
				if item.exclude() {
					end(place, dispatch.NotSent) // how the call fares is told by the items that are written
				}
			}))
		}
		if endsEarly {
			timers = append(timers, time.AfterFunc(item.Timeout, func() {
				if item.isWritten() {
					c.batch.abandon()
					end(place, dispatch.TimedOut)
				}
			}))
		}
	}
	return timers
}

// attempt makes the call and waits for its end.
func (c *Call) attempt(isRecorded bool) []dispatch.AttemptResult {
	switch {
	case !isRecorded:
		results := make([]dispatch.AttemptResult, len(c.items))
		for i := range results {
			results[i] = dispatch.AttemptResult{Endpoint: c.to.Number, Outcome: dispatch.NotStarted}
		}
		return results
	case len(c.items) == 1:
		return []dispatch.AttemptResult{c.pool.callSingle(c.ctx, c.startCtx, c.to, c.items[0], c.timeout)}
	}
	return c.pool.callBatch(c.ctx, c.startCtx, c.to, c.batch, c.items, c.timeout)
}
