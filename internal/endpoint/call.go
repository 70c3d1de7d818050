package endpoint

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/invariant"
)

// Item is one message in a call.
type Item struct {
	ID     string
	Key    string
	Body   []byte
	Permit invariant.SendPermit

	Timeout     time.Duration // bounds the duration of the attempt
	StartWithin time.Duration // bounds the time until it is written; 0 means Timeout
	LastAttempt bool          // its deadline is reached at the timeout, so it is not sent again

	startBy time.Time // when StartWithin is over
	state   atomic.Int32
}

// The states of an item. An item may have to wait for a connection, and its StartWithin may be over before the call is
// written. Whichever comes first decides whether it is written as a part of the call or excluded from it.
const (
	itemUndecided int32 = iota
	itemWritten
	itemExcluded
)

func (i *Item) markWritten() bool { return i.state.CompareAndSwap(itemUndecided, itemWritten) }

func (i *Item) exclude() bool { return i.state.CompareAndSwap(itemUndecided, itemExcluded) }

func (i *Item) isWritten() bool { return i.state.Load() == itemWritten }

// Result is the outcome of an attempt for one item of a call.
type Result struct {
	Item int // its index among the call's items
	dispatch.AttemptResult
}

// Call is one call to an endpoint, with one message or several.
//
// Each message has a timeout of its own. When it expires, only that message's attempt ends, and the call continues for
// the others. In the same way, an attempt ends alone if there is no connection by the time that it has to be written;
// the call is then written without that message.
//
// If a message ends whose bytes may not have arrived yet, because the endpoint may be unreachable, the whole call is
// abandoned: otherwise the bytes would arrive once the endpoint is reachable again. A timeout after which the message
// may be sent again at once ends the whole call, because two copies of the message must not be in flight together.
type Call struct {
	pool        *Pool
	target      *Endpoint
	items       []*Item
	batch       *batch
	timeout     time.Duration // of the whole call
	startWithin time.Duration // the longest StartWithin
	ctx         context.Context
	startCtx    context.Context // ends when the call may not be written any more

	// Cancel ends the call.
	Cancel context.CancelFunc
	// AbortUnsent ends the call unless it has been written.
	AbortUnsent context.CancelFunc
}

// NewCall prepares a call, which Start makes. ctx ends it.
func (p *Pool) NewCall(ctx context.Context, target *Endpoint, items []*Item) *Call {
	c := &Call{pool: p, target: target, items: items, batch: &batch{metrics: p.metrics}}
	resendIn := time.Duration(math.MaxInt64) // the shortest timeout after which a message may be sent again
	for _, item := range items {
		if item.StartWithin <= 0 || item.StartWithin > item.Timeout {
			item.StartWithin = item.Timeout
		}
		c.timeout, c.startWithin = max(c.timeout, item.Timeout), max(c.startWithin, item.StartWithin)
		if !item.LastAttempt {
			resendIn = min(resendIn, item.Timeout)
		}
	}
	c.timeout = min(c.timeout, resendIn)
	c.ctx, c.Cancel = context.WithTimeout(ctx, c.timeout)
	c.startCtx, c.AbortUnsent = context.WithTimeout(c.ctx, c.startWithin)
	return c
}

// Start makes the call and returns at once. It calls ended, from other goroutines, with the results of items as they
// become available, each item's once; isDone is set when the call itself has ended. If isRecorded is false, the call is
// not made: after a crash there would be no record that its messages may have run. The goroutine ends with the call,
// which ctx and the timeout bound.
func (c *Call) Start(isRecorded bool, ended func(results []Result, isDone bool)) {
	began := time.Now()
	timers := c.startItemTimers(began, func(index int, outcome dispatch.Outcome) {
		result := dispatch.AttemptResult{Endpoint: c.target.Number, Outcome: outcome, Elapsed: time.Since(began)}
		ended([]Result{{Item: index, AttemptResult: result}}, false)
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
				attempt.Outcome = dispatch.Cancelled // another item's timeout has ended the call before its own
			}
			attempt.Elapsed = time.Since(began)
			results[i] = Result{Item: i, AttemptResult: attempt}
		}
		ended(results, true)
	}()
}

// startItemTimers starts the timers of the items that may end before their call.
func (c *Call) startItemTimers(began time.Time, end func(index int, outcome dispatch.Outcome)) []*time.Timer {
	var timers []*time.Timer
	for index, item := range c.items {
		item.startBy = began.Add(item.StartWithin)
		endsEarly := item.Timeout < c.timeout
		if item.StartWithin < c.startWithin || endsEarly {
			timers = append(timers, time.AfterFunc(item.StartWithin, func() {
				if item.exclude() {
					end(index, dispatch.NotSent) // the written items report the outcome of the call
				}
			}))
		}
		if endsEarly {
			timers = append(timers, time.AfterFunc(item.Timeout, func() {
				if item.isWritten() {
					c.batch.abandon()
					end(index, dispatch.TimedOut)
				}
			}))
		}
	}
	return timers
}

// attempt makes the call and waits until it ends.
func (c *Call) attempt(isRecorded bool) []dispatch.AttemptResult {
	switch {
	case !isRecorded:
		results := make([]dispatch.AttemptResult, len(c.items))
		for i := range results {
			results[i] = dispatch.AttemptResult{Endpoint: c.target.Number, Outcome: dispatch.NotStarted}
		}
		return results
	case len(c.items) == 1:
		return []dispatch.AttemptResult{c.pool.callSingle(c.ctx, c.startCtx, c.target, c.items[0], c.timeout)}
	}
	return c.pool.callBatch(c.ctx, c.startCtx, c.target, c.batch, c.items, c.timeout)
}
