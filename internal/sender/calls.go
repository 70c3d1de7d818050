package sender

// How the sends that the dispatcher decides on become calls: what travels together, and when each part of a call has to end.

import (
	"cmp"
	"context"
	"encoding/base64"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/handover"
	"onyxdyke.example/onyxdyke/internal/invariant"
	"onyxdyke.example/onyxdyke/internal/journal"
)

// outCall is the call that an attempt is out with.
type outCall struct {
	number   uint64
	endpoint dispatch.EndpointID
	timeout  time.Duration
	cancel   func()
	withhold func()         // it ends, unless it has been written
	at       *handover.Link // the process that makes it, nil for this one

	end *dispatch.AttemptResult // it has ended, and a successor was told so
}

// withhold ends calls that have not been written yet.
func (s *Sender) abortUnsent(which func(*outCall) bool) {
	for _, m := range s.messages {
		for _, c := range m.calls {
			if which(c) {
				c.withhold()
			}
		}
	}
}

// maxShared bounds what the messages of one call take in it; a body on the wire holds 64 KiB at most.
const maxShared = maxBody - 4<<10

// send makes the calls of a step, in their order: what goes to one endpoint travels together as far as its
// kind allows, as the module counts it. Messages end alone while their call goes on, but it has to be over when the
// time of its first one is: after that the platform takes no answer to it. So the one that has time for longest leads.
func (s *Sender) startCalls(ctx context.Context, now time.Duration, sends []dispatch.Send, written bool) {
	type shared struct {
		e     *endpoint
		items []batchItem
		size  int
	}
	var calls []*shared
	open := map[*endpoint]*shared{}
	for _, a := range sends {
		m, e := s.messages[a.Message], s.endpoint(a.Endpoint)
		if m == nil || e == nil {
			continue
		}
		it := batchItem{Record: m.Record, message: m, attempt: m.sends, permit: sendPermitFor(m, m.calls, s.clock.Now()), timeout: a.Timeout, startWithin: max(1, now+a.StartWithin-s.clock.Now()), lastAttempt: now+a.Timeout >= m.Deadline}
		m.sends++
		s.trace("attempt", m.ID, "attempt", m.base+it.attempt, "endpoint", e.id, "timeout", a.Timeout, "written", written)
		size := base64.StdEncoding.EncodedLen(len(m.Body)) + len(m.ID) + len(m.Key) + 64
		c := open[e]
		if c == nil || len(c.items) >= e.most || c.size+size > maxShared {
			c = &shared{e: e}
			open[e], calls = c, append(calls, c)
		}
		c.items, c.size = append(c.items, it), c.size+size
	}
	for _, c := range calls {
		slices.SortStableFunc(c.items, func(x, y batchItem) int { return cmp.Compare(y.Deadline, x.Deadline) })
		s.startCall(ctx, c.e, c.items, written)
	}
}

// call starts one call. One that could not be written down is not made: after a kill nobody would know that
// its messages may have run.
//
// Each message has a time-out of its own. One whose time is up then ends alone, and the call goes on for the
// others; so does one for which no connection has come up by the time that its call must begin, and the call is then
// written without it. Where the bytes of an ended message may not have arrived yet, cut off as the endpoint may be, the
// call is abandoned: else they would arrive once the cut is over. Any other time-out ends the call: the message may be sent again at once, and two copies of it
// must not be out together.
func (s *Sender) startCall(ctx context.Context, e *endpoint, items []batchItem, written bool) {
	way := &batchCall{figures: s.metrics}
	timeout, latest, cut := time.Duration(0), time.Duration(0), time.Duration(math.MaxInt64)
	for i := range items {
		it := &items[i]
		it.state, it.call = new(atomic.Int32), way
		if it.startWithin <= 0 || it.startWithin > it.timeout {
			it.startWithin = it.timeout
		}
		timeout, latest = max(timeout, it.timeout), max(latest, it.startWithin)
		if !it.lastAttempt {
			cut = min(cut, it.timeout)
		}
	}
	timeout = min(timeout, cut)
	call, cancel := context.WithTimeout(ctx, timeout)
	begin, withhold := context.WithTimeout(call, latest)
	s.lastCallNumber++
	for _, it := range items {
		it.message.calls[it.attempt] = &outCall{number: s.lastCallNumber, endpoint: e.number, timeout: it.timeout, cancel: cancel, withhold: withhold}
	}
	s.callsInFlight++
	s.batchedMessages += len(items) - 1
	began := time.Now()
	var alone []*time.Timer
	endAlone := func(it batchItem, outcome dispatch.Outcome) {
		end := dispatch.AttemptResult{Endpoint: e.number, Outcome: outcome, Elapsed: time.Since(began)}
		s.post(ctx, callEndedEvent{ends: []attemptEnd{{it.message, it.attempt, end}}})
	}
	for i := range items {
		it := &items[i]
		it.startBy = began.Add(it.startWithin)
		if it.startWithin < latest || it.timeout < timeout {
			alone = append(alone, time.AfterFunc(it.startWithin, func() {
				if it.exclude() {
					endAlone(*it, dispatch.NotSent) // how the call fares is told by those who go along
				}
			}))
		}
		if it.timeout < timeout {
			alone = append(alone, time.AfterFunc(it.timeout, func() {
				if it.state.Load() == itemWritten {
					way.abandon()
					endAlone(*it, dispatch.TimedOut)
				}
			}))
		}
	}
	go func() {
		defer cancel()
		defer withhold()
		ends := make([]dispatch.AttemptResult, len(items))
		switch {
		case !written:
			for i := range ends {
				ends[i] = dispatch.AttemptResult{Endpoint: e.number, Outcome: dispatch.NotStarted}
			}
		case len(items) == 1:
			ends[0] = s.pool.call(call, begin, e, items[0], timeout)
		default:
			ends = s.pool.callMany(call, begin, e, items, timeout)
		}
		for _, t := range alone {
			t.Stop()
		}
		end := callEndedEvent{callDone: true}
		for i, it := range items {
			if ends[i].Outcome == dispatch.TimedOut && it.timeout > timeout {
				ends[i].Outcome = dispatch.Cancelled // by another's time-out, before its own
			}
			ends[i].Elapsed = time.Since(began)
			end.ends = append(end.ends, attemptEnd{it.message, it.attempt, ends[i]})
		}
		s.post(ctx, end)
	}()
}

// permitOf is what is to be known of m, whose newest attempt in the record is the one that asks.
func sendPermitFor(m *message, kept map[int]*outCall, now time.Duration) invariant.SendPermit {
	p := invariant.SendPermit{MessageID: m.ID, InFlight: len(kept)}
	if m.Message == nil || m.Rules == nil || len(m.Attempts) == 0 {
		return p
	}
	earlier := journal.Message{Record: journal.Record{Attempts: m.Attempts[:len(m.Attempts)-1]}}
	first, ran := earlier.FirstRun()
	p.MayHaveRun = ran
	switch m.Rules.Effect {
	case dispatch.NonIdempotent:
		p.NonRepeatable = true
	case dispatch.IdempotentByKey:
		p.RepeatableUntil = time.Now().Add(first.SentAt + m.Rules.IdempotencyWindow - now)
	}
	return p
}
