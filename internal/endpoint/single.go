package endpoint

import (
	"context"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/invariant"
)

const singlePath = "/hook"

// callSingle makes one attempt with one message and says how it ended. It never makes a second one: an endpoint
// counts each call whose last byte has arrived. ctx ends it early, its deadline being the timeout; start does until
// the last byte is written. A response that begins after the time told in the call is late, however soon the timeout
// is noticed: the endpoint's side has given the call up, and does not count the message as delivered.
func (p *Pool) callSingle(
	ctx, start context.Context,
	e *Endpoint,
	item *Item,
	timeout time.Duration,
) dispatch.AttemptResult {
	until := time.Now().Add(timeout)
	x := p.exchange(ctx, start, e, func(address string) (request, error) {
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
	// A status line of 200 is true whatever follows, if it comes in time. Any other response counts only if it is
	// complete: that a call never ran is not to be concluded from half a response.
	_, isComplete := p.readBody(e, x.conn, x.response)
	if !retryAt.IsZero() {
		result.RetryAfter = max(0, time.Until(retryAt))
	}
	switch {
	case isLate:
		return withoutVerdict(result, dispatch.TimedOut)
	case !isComplete && result.Outcome != dispatch.Served:
		return withoutVerdict(result, unreadOutcome(ctx))
	}
	return result
}

// connectionIdle is how long the connection had been idle before the call, 0 if the call was not written.
func (x exchange) connectionIdle() time.Duration {
	if x.conn == nil {
		return 0
	}
	return x.conn.idleFor
}

// withoutVerdict is a result of which only the Retry-After and the connection's idle time are to be believed.
func withoutVerdict(r dispatch.AttemptResult, outcome dispatch.Outcome) dispatch.AttemptResult {
	return dispatch.AttemptResult{Endpoint: r.Endpoint, Outcome: outcome, RetryAfter: r.RetryAfter,
		ConnectionIdle: r.ConnectionIdle}
}
