package endpoint

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/metrics"
)

const (
	batchPath        = "/hook/batch"
	batchContentType = "application/json"
)

// The states of a message in the response to a batch (protocol). Any other state leaves open whether the message has
// run.
const (
	batchStateDelivered = "ok"
	batchStateRejected  = "later"
	batchStateGone      = "gone"
	batchStateExhausted = "exhausted"
)

// batchEntry is a message in the request of a batch.
type batchEntry struct {
	ID   string `json:"id"`
	Key  string `json:"key,omitempty"`
	Body []byte `json:"body"`
}

// batchStatus is a message in the response to a batch.
type batchStatus struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// batch holds the connection of a batch call while the call is in flight, so that abandon can close it.
type batch struct {
	metrics   *metrics.Registry
	mu        sync.Mutex
	conn      *conn
	isWritten bool
}

// setConn stores the connection. b may be nil.
func (b *batch) setConn(c *conn, isWritten bool) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conn, b.isWritten = c, isWritten
}

// abandon ends the call, unless all of it has arrived: no byte of a message that has ended may arrive later.
func (b *batch) abandon() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.conn == nil || b.isWritten && b.conn.isAcknowledged() {
		return
	}
	b.conn.drop(b.metrics, DroppedAbandoned)
}

// batchResults assembles the results of a batch's items, in the order of the items.
type batchResults struct {
	items  []*Item
	unsent dispatch.AttemptResult // the result of the items that were not written
}

// uniform returns the same result for each written item, and unsent for the others.
func (r batchResults) uniform(result dispatch.AttemptResult) []dispatch.AttemptResult {
	results := make([]dispatch.AttemptResult, len(r.items))
	for i, item := range r.items {
		results[i] = result
		if !item.isWritten() {
			results[i] = r.unsent
		}
	}
	return results
}

// callBatch makes one attempt with several messages. They share its outcome, unless the response states the outcome of
// each. Messages that have ended before the call is written are left out.
func (p *Pool) callBatch(ctx, startCtx context.Context, e *Endpoint, b *batch, items []*Item,
	timeout time.Duration) []dispatch.AttemptResult {
	until := time.Now().Add(timeout)
	x := p.roundTrip(ctx, startCtx, e, func(address string) (request, error) {
		req, body, err := batchBody(items)
		if err != nil {
			return request{}, err
		}
		left := remaining(until)
		until = time.Now().Add(left)
		req.batch = b
		head := requestHead{path: batchPath, contentType: batchContentType, remainingAtWriting: left}
		req.text, err = renderRequest(address, head, body)
		return req, err
	})
	results := batchResults{items: items,
		unsent: dispatch.AttemptResult{Endpoint: e.Number, Outcome: dispatch.NotSent}}
	if x.response == nil {
		if x.outcome == dispatch.Served { // the status line alone does not contain the outcome of any message
			x.outcome = dispatch.ConnectionBroken
		}
		if x.conn == nil {
			results.unsent.Outcome = x.outcome
		}
		return results.uniform(
			dispatch.AttemptResult{Endpoint: e.Number, Outcome: x.outcome, ConnectionIdle: x.connectionIdle()},
		)
	}
	result, retryAt := p.interpretHead(e, x.conn, x.response)
	result.ConnectionIdle = x.connectionIdle()
	body, isComplete := p.readBody(e, x.conn, x.response)
	if !retryAt.IsZero() {
		result.RetryAfter = max(0, time.Until(retryAt))
	}
	switch {
	case !time.Now().Before(until): // only a complete response counts, so all of it has to arrive in time
		return results.uniform(withOutcome(result, dispatch.TimedOut))
	case !isComplete:
		return results.uniform(withOutcome(result, unreadOutcome(ctx)))
	}
	switch x.response.StatusCode {
	case http.StatusOK:
		return results.perItem(result, body)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		result.Outcome = dispatch.NotSent // none of them has run (protocol)
	}
	return results.uniform(result)
}

// batchBody returns the body of a request for all items that have not ended yet, and a request with their permits and
// their earliest write deadline.
func batchBody(items []*Item) (req request, body []byte, err error) {
	var entries []batchEntry
	for _, item := range items {
		if !item.markWritten() {
			continue
		}
		message := item.Body
		if message == nil {
			message = []byte{}
		}
		entries = append(entries, batchEntry{ID: item.ID, Key: item.Key, Body: message})
		req.permits = append(req.permits, item.Permit)
		if req.writeBy.IsZero() || item.startBy.Before(req.writeBy) {
			req.writeBy = item.startBy
		}
	}
	if len(entries) == 0 {
		return request{}, nil, errEmptyCall
	}
	body, err = json.Marshal(entries)
	return req, body, err
}

// perItem returns for each written item the result that the response states, and unsent for the others.
func (r batchResults) perItem(result dispatch.AttemptResult, body []byte) []dispatch.AttemptResult {
	result.Outcome, result.Final = dispatch.Errored, false // an item without a known state may have run
	results := r.uniform(result)
	var statuses []batchStatus
	if json.Unmarshal(body, &statuses) != nil {
		return results
	}
	states := make(map[string]string, len(statuses))
	for _, s := range statuses {
		if state, isRepeated := states[s.ID]; isRepeated && state != s.State {
			s.State = "" // the states contradict each other: it may have run
		}
		states[s.ID] = s.State
	}
	for i, item := range r.items {
		if !item.isWritten() {
			continue
		}
		switch states[item.ID] {
		case batchStateDelivered:
			results[i].Outcome, results[i].Final = dispatch.Served, true
		case batchStateRejected:
			results[i].Outcome = dispatch.Rejected
		case batchStateGone:
			results[i].Outcome, results[i].Final = dispatch.NotSent, true
		case batchStateExhausted:
			results[i].Outcome = dispatch.NotSent
		}
	}
	return results
}
