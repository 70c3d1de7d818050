package sender

import (
	"cmp"
	"context"
	"encoding/base64"
	"slices"
	"syscall"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/endpoint"
	"onyxdyke.example/onyxdyke/internal/handover"
	"onyxdyke.example/onyxdyke/internal/invariant"
	"onyxdyke.example/onyxdyke/internal/journal"
)

// inFlightCall is a call in flight that carries an attempt.
type inFlightCall struct {
	number      uint64
	endpoint    dispatch.EndpointID
	timeout     time.Duration
	cancel      func()
	abortUnsent func()         // ends the call unless it has been written
	remote      *handover.Link // to the process that makes the call; nil if this process makes it

	reportedEnd *dispatch.AttemptResult // how the attempt ended, if it ended after a hand-over; nil otherwise
}

// abortUnsent ends the calls in flight that match and have not been written yet.
func (s *Sender) abortUnsent(matches func(*inFlightCall) bool) {
	for _, m := range s.messages.byNumber {
		for _, c := range m.calls {
			if matches(c) {
				c.abortUnsent()
			}
		}
	}
}

// maxBatchBytes bounds the encoded size of the messages in one call.
const maxBatchBytes = endpoint.MaxBody - 4<<10

// batchEntryBytes is the size of an entry in a batch without its id, its key and its body.
const batchEntryBytes = 64

// callItem is one message of a call.
type callItem struct {
	*endpoint.Item
	message *message
	attempt int // the dispatcher's number of the attempt
}

// plannedCall is a call that is about to be started.
type plannedCall struct {
	to    *listedEndpoint
	items []callItem
	bytes int // the encoded size of the items
}

// startCalls starts the calls of a step, in the order of the sends. Messages to one endpoint share a call up to the
// batch size of the endpoint's kind, which is how the dispatcher counts calls, too. Each message ends at its own
// deadline while its call continues, but the call has to be over at the deadline of its first message, because the
// platform accepts no response to it after that. So the message with the latest deadline comes first.
func (s *Sender) startCalls(ctx context.Context, now time.Duration, sends []dispatch.Send, written bool) {
	var calls []*plannedCall
	openCalls := map[*listedEndpoint]*plannedCall{}
	for _, send := range sends {
		m, to := s.messages.byNumber[send.Message], s.endpoint(send.Endpoint)
		if m == nil || to == nil {
			continue
		}
		item := s.newCallItem(m, send, now)
		s.trace("starting attempt", m.ID, "attempt", m.priorAttempts+item.attempt, "endpoint", to.ID,
			"timeout", send.Timeout, "written", written)
		size := base64.StdEncoding.EncodedLen(len(m.Body)) + len(m.ID) + len(m.Key) + batchEntryBytes
		call := openCalls[to]
		if call == nil || len(call.items) >= to.maxBatchSize || call.bytes+size > maxBatchBytes {
			call = &plannedCall{to: to}
			openCalls[to], calls = call, append(calls, call)
		}
		call.items, call.bytes = append(call.items, item), call.bytes+size
	}
	for _, call := range calls {
		slices.SortStableFunc(call.items, func(x, y callItem) int {
			return cmp.Compare(y.message.Deadline, x.message.Deadline)
		})
		s.startCall(ctx, call.to, call.items, written)
	}
}

// newCallItem returns the item for a message that the dispatcher has decided to send, and counts the attempt.
func (s *Sender) newCallItem(m *message, send dispatch.Send, now time.Duration) callItem {
	item := callItem{message: m, attempt: m.ownAttempts, Item: &endpoint.Item{
		ID:          m.ID,
		Key:         m.Key,
		Body:        m.Body,
		Permit:      sendPermitFor(m, m.calls, s.clock.Now()),
		Timeout:     send.Timeout,
		StartWithin: max(1, now+send.StartWithin-s.clock.Now()),
		LastAttempt: now+send.Timeout >= m.Deadline,
	}}
	m.ownAttempts++
	return item
}

// startCall starts one call. The call's goroutine posts its results as events, and ends with ctx at the latest.
func (s *Sender) startCall(ctx context.Context, to *listedEndpoint, items []callItem, written bool) {
	endpointItems := make([]*endpoint.Item, len(items))
	for i, item := range items {
		endpointItems[i] = item.Item
	}
	call := s.pool.NewCall(ctx, to.Endpoint, endpointItems)
	s.lastCallNumber++
	for _, item := range items {
		item.message.calls[item.attempt] = &inFlightCall{
			number:      s.lastCallNumber,
			endpoint:    to.Number,
			timeout:     item.Timeout,
			cancel:      call.Cancel,
			abortUnsent: call.AbortUnsent,
		}
	}
	s.callsInFlight++
	s.batchedMessages += len(items) - 1
	call.Start(written, func(results []endpoint.Result, isDone bool) {
		ended := callEndedEvent{callDone: isDone}
		for _, r := range results {
			item := items[r.Item]
			ended.ends = append(ended.ends, attemptEnd{
				message:       item.message,
				attempt:       item.attempt,
				AttemptResult: r.AttemptResult,
			})
		}
		s.post(ctx, ended)
	})
}

// callEndedEvent reports how a call ended for some of its messages.
type callEndedEvent struct {
	ends     []attemptEnd
	callDone bool // the call itself has ended, too
}

// attemptEnd holds how an attempt to deliver a message ended.
type attemptEnd struct {
	message *message
	attempt int
	dispatch.AttemptResult
}

// newPool returns the pool of connections to endpoints.
func (s *Sender) newPool(control func(network, address string, c syscall.RawConn) error) *endpoint.Pool {
	return endpoint.NewPool(endpoint.Options{
		ConnectTimeout:   s.config.ConnectTimeout,
		IdleTimeout:      s.config.Settings.IdleConnectionTimeout,
		MaxIdle:          s.config.MaxIdleConnections(),
		LoadReportFields: s.config.LoadReportFields,
		Invariants:       s.invariants,
		Metrics:          s.metrics,
		Control:          control,
	})
}

// sendPermitFor returns what the invariant checker needs to know about a message whose newest attempt is about to be
// sent, given the message's attempts that are in flight.
func sendPermitFor(m *message, inFlight map[int]*inFlightCall, now time.Duration) invariant.SendPermit {
	permit := invariant.SendPermit{MessageID: m.ID, InFlight: len(inFlight)}
	if m.Message == nil || m.Rules == nil || len(m.Attempts) == 0 {
		return permit
	}
	earlier := journal.Message{Record: journal.Record{Attempts: m.Attempts[:len(m.Attempts)-1]}}
	firstRun, mayHaveRun := earlier.FirstPossibleRun()
	permit.MayHaveRun = mayHaveRun
	switch m.Rules.Effect {
	case dispatch.NonIdempotent:
		permit.NonRepeatable = true
	case dispatch.IdempotentByKey:
		permit.RepeatableUntil = time.Now().Add(firstRun.SentAt + m.Rules.IdempotencyWindow - now)
	}
	return permit
}
