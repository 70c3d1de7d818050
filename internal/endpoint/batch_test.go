package endpoint

import (
	"context"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// Guards against a wrong outcome for a message of a batch: messages share the outcome of the call, unless the response
// states the outcome of each.
func TestBatchResponsesBecomeOutcomes(t *testing.T) {
	results := func(outcomes ...dispatch.Outcome) (attempts []dispatch.AttemptResult) {
		for _, o := range outcomes {
			attempts = append(attempts, dispatch.AttemptResult{Outcome: o, Final: o == dispatch.Served})
		}
		return attempts
	}
	withRetryAfter := func(attempts []dispatch.AttemptResult) []dispatch.AttemptResult {
		for i := range attempts {
			attempts[i].RetryAfter = 250 * time.Millisecond
		}
		return attempts
	}
	cut := st.AnswerText(200, `[{"id":"a","state":"ok"}`)
	for name, c := range map[string]struct {
		answer func(st.Call, net.Conn) bool
		want   []dispatch.AttemptResult
	}{
		"a state for each": {
			st.AnswerText(200, `[{"id":"b","state":"later"},{"id":"a","state":"ok"},{"id":"c","state":"error"}]`),
			results(dispatch.Served, dispatch.Rejected, dispatch.Errored),
		},
		"Retry-After": {
			st.AnswerText(200, `[{"id":"a","state":"ok"},{"id":"b","state":"later"},{"id":"c","state":"later"}]`,
				"X-RateLimit-Wait-Ms: 250"),
			withRetryAfter(results(dispatch.Served, dispatch.Rejected, dispatch.Rejected)),
		},
		"exhausted": {
			st.AnswerText(200, `[{"id":"a","state":"ok"},{"id":"b","state":"exhausted"},{"id":"c","state":"ok"}]`),
			results(dispatch.Served, dispatch.NotSent, dispatch.Served),
		},
		"one left out": {
			st.AnswerText(200, `[{"id":"a","state":"ok"},{"id":"c","state":"ok"}]`),
			results(dispatch.Served, dispatch.Errored, dispatch.Served),
		},
		"named twice": {
			st.AnswerText(200, `[{"id":"a","state":"ok"},{"id":"a","state":"later"},{"id":"b","state":"later"},`+
				`{"id":"b","state":"later"},{"id":"c","state":"ok"}]`),
			results(dispatch.Errored, dispatch.Rejected, dispatch.Served),
		},
		"unknown state": {
			st.AnswerText(200, `[{"id":"a","state":"fine"}]`),
			results(dispatch.Errored, dispatch.Errored, dispatch.Errored),
		},
		"no JSON":  {st.AnswerText(200, `<html>`), results(dispatch.Errored, dispatch.Errored, dispatch.Errored)},
		"cut JSON": {cut, results(dispatch.Errored, dispatch.Errored, dispatch.Errored)},
		"cut body": {func(_ st.Call, c net.Conn) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n[{\"id\":\"a\",\"state\":\"ok\"}]")
			return false
		}, results(dispatch.ConnectionBroken, dispatch.ConnectionBroken, dispatch.ConnectionBroken)},
		"cut head": {func(_ st.Call, c net.Conn) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-")
			return false
		}, results(dispatch.ConnectionBroken, dispatch.ConnectionBroken, dispatch.ConnectionBroken)},
		"rate limited": {
			st.AnswerStatus(429, "X-RateLimit-Wait-Ms: 250"),
			withRetryAfter(results(dispatch.Rejected, dispatch.Rejected, dispatch.Rejected)),
		},
		"unavailable": {st.AnswerStatus(503), results(dispatch.Rejected, dispatch.Rejected, dispatch.Rejected)},
		"over slots": {
			st.AnswerStatus(503, "X-Over-Slots: 1"),
			results(dispatch.NotSent, dispatch.NotSent, dispatch.NotSent),
		},
		"too large":  {st.AnswerStatus(413), results(dispatch.NotSent, dispatch.NotSent, dispatch.NotSent)},
		"all failed": {st.AnswerStatus(500), results(dispatch.Errored, dispatch.Errored, dispatch.Errored)},
		"reset": {
			st.ResetConnection,
			results(dispatch.ConnectionBroken, dispatch.ConnectionBroken, dispatch.ConnectionBroken),
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := st.NewEndpoint(t, c.answer)
			ctx, cancel := context.WithTimeout(context.Background(), st.Timeout)
			defer cancel()
			items := []*Item{{ID: "a", Key: "k", Body: []byte{0, 255, '"'}}, {ID: "b"}, {ID: "c"}}
			got := callBatch(ctx, &Endpoint{address: e.Addr}, items, st.Timeout)
			if !slices.Equal(got, c.want) {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
			entries := e.NextCall(t).Entries(t)
			if len(entries) != 3 || entries[0].ID != "a" || entries[0].Key != "k" ||
				string(entries[0].Body) != "\x00\xff\"" || entries[2].ID != "c" {
				t.Errorf("the endpoint got %+v", entries)
			}
		})
	}
}
