package discovery

// The watch of the endpoint list.
//
// Where lists are pushed, what the agent on this machine has counts as told at once, and a drain leaves 500 ms. An agent that
// is silent answers no call of that time when it speaks again, and nothing else shows that it does. So a call must be on its
// way at any time that is younger than that grace allows: a watch waits only pushedWait for news, and a call that is not
// answered then is hedged by further ones, each on a connection of its own, until one is answered. An agent answers at once
// and at no cost; hedging pauses where a crowded platform shows behind it.
//
// Where the list comes on request, a change binds later (rules.askWithin, bindsBy), and a watch waits askedWait.

import (
	"context"
	"errors"
	"net/http/httptrace"
	"time"

	"onyxdyke.example/onyxdyke/internal/endpointlist"
	"onyxdyke.example/onyxdyke/internal/metrics"
	"onyxdyke.example/onyxdyke/internal/retry"
)

const (
	pushedWait = 150 * time.Millisecond // a watch call waits so long for news where lists are pushed
	askedWait  = 2 * time.Second        // and where they come on request
	answerTime = time.Second            // an answer takes no longer than this besides, unless all take turns
	watchLate  = 2 * time.Second        // and the answer to a watch call never longer than this

	// A call that is overdue by hedgeAfter is followed by another one every hedgeEvery, each of which has hedgeTime. With
	// pushedWait, news is heard within 0.25 s of the moment in which the agent speaks again; a sender may be held up for
	// 0.15 s besides, and a drain's grace is 0.5 s.
	hedgeAfter = 100 * time.Millisecond
	hedgeEvery = 150 * time.Millisecond
	hedgeTime  = 500 * time.Millisecond
	// An answer that has begun is given so long to come whole before its call is hedged again: long lists take their time.
	hedgeBegun = 250 * time.Millisecond
	// An answer that is late by slowAnswer shows a platform that is crowded, as does a refusal; after one no call is hedged for
	// crowdedFor.
	slowAnswer = 400 * time.Millisecond
	crowdedFor = 10 * time.Second

	backOff     = 100 * time.Millisecond // first pause after a refusal; doubles
	backOffTop  = 500 * time.Millisecond
	silencePass = 100 * time.Millisecond // pause after any other failure where lists are pushed
	// A silence that is longer is logged when it ends.
	silenceLogged = time.Second
	// No rest after refusals is longer than lets a further call be answered before news binds.
	restMost = bindsBy - answerTime
)

// What is counted of calls for the list.
const (
	ReasonHedged   = "hedged"  // a further call was made beside one that had no answer
	ReasonRejected = "refused" // by the platform
	ReasonSilent   = "silent"  // a first call had no answer in its time
	ReasonMoved    = "moved"   // to another address
	ReasonStale    = "stale"   // no call could be made for longer than a list is sure
)

// watchWait is how long a watch call waits for news.
func (d *Client) watchWait() time.Duration {
	if d.polled {
		return askedWait
	}
	return pushedWait
}

// pause waits after the n-th failure in a row, a little less or more each time; false if ctx ended.
func (d *Client) pause(ctx context.Context, n int, err error) bool {
	var refused refusedError
	if !d.polled && !errors.As(err, &refused) {
		return retry.WaitJittered(ctx, silencePass)
	}
	return retry.WaitJittered(ctx, max(d.pace, min(backOff<<min(n-1, 10), backOffTop)))
}

// patience is how long an answer to a call is waited for, after so many failures in a row: to one for the whole list no
// longer than half of the time until news binds.
func (d *Client) patience(after int64, failures int) time.Duration {
	if after >= 0 {
		return d.watchWait() + min(answerTime+d.turns, watchLate)
	}
	return min(answerTime+d.turns, bindsBy, max(d.left()/2, answerTime<<min(max(0, failures-1), 10)))
}

// slowDown lengthens the rests after a refusal: the platform goes on with what it has refused meanwhile, and gets
// to nobody while calls come faster than it takes them.
func (d *Client) slowDown(err error) {
	var refused refusedError
	if d.turns > 0 && errors.As(err, &refused) {
		most := restMost
		if d.polled {
			most -= answerTime
		}
		d.pace = min(max(2*d.pace, d.turns/4), d.turns, most)
	}
}

// listAnswer is how a call for the list ended.
type listAnswer struct {
	endpointlist.Update
	err   error
	first bool // it was not a hedge
	late  time.Duration
}

// ask makes a call for the list and hedges it while it stays unanswered. The first list that comes counts, and the failure
// of the first call.
func (d *Client) ask(ctx context.Context, base string, after int64, patience time.Duration) (endpointlist.Update, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	due := time.Duration(0)
	if after >= 0 {
		due = d.watchWait()
	}
	begun := make(chan struct{}, 1)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() {
		select {
		case begun <- struct{}{}:
		default:
		}
	}})
	answers := make(chan listAnswer)
	call := func(limit time.Duration, first bool) {
		began := time.Now()
		t, err := d.list(ctx, base, after, limit)
		select {
		case answers <- listAnswer{t, err, first, time.Since(began) - due}:
		case <-ctx.Done():
		}
	}
	go call(patience, true)
	hedge := time.NewTimer(due + max(hedgeAfter, 2*d.late))
	defer hedge.Stop()
	for {
		select {
		case <-ctx.Done():
			return endpointlist.Update{}, ctx.Err()
		case <-hedge.C:
			if d.mayHedge() {
				d.metrics.CountReason(metrics.ReasonDiscovery, ReasonHedged)
				if d.silentSince.IsZero() {
					d.silentSince = time.Now()
				}
				go call(due+hedgeTime, false)
				hedge.Reset(hedgeEvery)
			}
		case <-begun:
			hedge.Reset(hedgeBegun)
		case a := <-answers:
			var refused refusedError
			switch {
			case errors.As(a.err, &refused):
				d.crowdedUntil = time.Now().Add(crowdedFor)
				d.metrics.CountReason(metrics.ReasonDiscovery, ReasonRejected)
			case a.err == nil:
				d.answered(a.late)
			}
			if a.first || a.err == nil {
				return a.Update, a.err
			}
		}
	}
}

// mayHedge reports whether calls may be hedged.
func (d *Client) mayHedge() bool {
	return !d.polled && !time.Now().Before(d.crowdedUntil)
}

// answered books how late an answer came. Slow ones are not hedged as soon; that passes with prompt ones.
func (d *Client) answered(late time.Duration) {
	d.late = d.late * 3 / 4
	if late >= slowAnswer {
		d.late = max(d.late, late)
	}
	if d.late < slowAnswer/4 {
		d.late = 0
	}
}

// watch follows the list from a version on, -1 for none, until a call fails; then it returns. The next
// call goes out as soon as an answer is passed on: a gap would end the watch. Answers without news are passed on only if
// they are the first.
func (d *Client) watch(ctx context.Context, base string, version int64, failures int, news func(endpointlist.Update)) error {
	for first := true; ; first = false {
		t, err := d.ask(ctx, base, version, d.patience(version, failures))
		if err == nil {
			err = d.accept(t)
		}
		if err != nil {
			return err
		}
		fresh := t.Version != version
		version, failures = t.Version, 0
		if first || fresh || len(t.Endpoints) > 0 {
			news(t)
		}
		d.lease.renew() // behind the news
		// Whoever is answered has had its turn: the rests that refusals have led to get shorter, for the next refusal. Here
		// there is none, whatever work each answer is: what changes between two calls counts as told.
		if fresh {
			if d.pace = d.pace * 3 / 4; d.pace < 2*backOff {
				d.pace = 0
			}
		}
	}
}

// follow watches when asked to. After a failure the list is asked for whole, as changes may have been missed;
// who asks decides when, and failures in a row are told of ever later. A first failure that is mere silence is not told: a watch
// may be broken alone, and the next call is made at once, on a connection of its own.
func (d *Client) Follow(ctx context.Context, version int64, asked <-chan struct{}, news func(endpointlist.Update), failed func(error)) {
	failures := 0
	d.held = version
	d.heard()
	if d.initialDelay > 0 && !retry.Wait(ctx, d.initialDelay) {
		return
	}
	for {
		select {
		case <-asked:
		case <-ctx.Done():
			return
		}
		var err error
		for again := true; again; version = -1 { // at a new address it goes on at once, from the whole list
			base, here, cancel := d.at(ctx)
			err = d.watch(here, base, version, failures, func(t endpointlist.Update) {
				failures = 0
				news(t)
			})
			d.slowDown(err)
			if !errors.As(err, new(refusedError)) {
				d.client.CloseIdleConnections() // they may be as silent
			}
			silent := errors.Is(err, context.DeadlineExceeded)
			if silent {
				d.metrics.CountReason(metrics.ReasonDiscovery, ReasonSilent)
			}
			if failures++; d.pace > 0 || failures > 1 && (d.polled || !silent) {
				d.pause(here, max(1, failures-1), err)
			}
			moved := here.Err() != nil
			again = moved || failures == 1 && silent
			if moved {
				failures = 0
			}
			cancel()
			if ctx.Err() != nil {
				return
			}
		}
		failed(err)
	}
}
