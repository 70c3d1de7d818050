package endpoint

import (
	"context"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/invariant"
)

const singlePath = "/hook"

// callSingle makes one attempt with one message and returns its result. It never makes a second attempt: an endpoint
// counts each call whose last byte has arrived. ctx, whose deadline is the timeout, ends the attempt at any time;
// startCtx ends it only until the last byte is written. A response that begins after the time stated in the call is
// late, even if the timeout has not been noticed yet: the endpoint has abandoned the call by then, and does not count
// the message as delivered.
func (p *Pool) callSingle(
	ctx, startCtx context.Context,
	e *Endpoint,
	item *Item,
	timeout time.Duration,
) dispatch.AttemptResult {
	until := time.Now().Add(timeout)
	x := p.roundTrip(ctx, startCtx, e, func(address string) (request, error) {
		left := remaining(until)
		until = time.Now().Add(left)
		head := requestHead{path: singlePath, messageID: item.ID, key: item.Key, remainingAtWriting: left}
		text, err := renderRequest(address, head, item.Body)
		return request{text: text, permits: []invariant.SendPermit{item.Permit}, single: true}, err
	})
	isLate := x.conn != nil && x.conn.hasFirstLine() && !x.conn.firstLineAt.Before(until)
	if x.response == nil {
		if isLate {
			x.outcome = dispatch.TimedOut
		}
		return dispatch.AttemptResult{Endpoint: e.Number, Outcome: x.outcome, Final: x.outcome == dispatch.Served,
			ConnectionIdle: x.connectionIdle()}
	}
	result, retryAt := p.interpretHead(e, x.conn, x.response)
	result.ConnectionIdle = x.connectionIdle()
	// A status line of 200 is valid whatever follows, if it arrives in time. Any other response counts only if it is
	// complete: half a response does not prove that the call never ran.
	isComplete := p.skipBody(e, x.conn, x.response)
	if !retryAt.IsZero() {
		result.RetryAfter = max(0, time.Until(retryAt))
	}
	switch {
	case isLate:
		return withOutcome(result, dispatch.TimedOut)
	case !isComplete && result.Outcome != dispatch.Served:
		return withOutcome(result, unreadOutcome(ctx))
	}
	return result
}

// connectionIdle returns how long the connection had been idle before the call, 0 if the call was not written.
func (x exchange) connectionIdle() time.Duration {
	if x.conn == nil {
		return 0
	}
	return x.conn.idleFor
}

// withOutcome returns a result with the given outcome that takes only the endpoint, the Retry-After and the
// connection's idle time from r. The response is late or incomplete, so nothing else in it counts.
func withOutcome(r dispatch.AttemptResult, outcome dispatch.Outcome) dispatch.AttemptResult {
	return dispatch.AttemptResult{Endpoint: r.Endpoint, Outcome: outcome, RetryAfter: r.RetryAfter,
		ConnectionIdle: r.ConnectionIdle}
}
