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

// Messages of a batch share its fate, unless the response tells how each one fared.
func TestBatchResponsesBecomeOutcomes(t *testing.T) {
	each := func(outcomes ...dispatch.Outcome) (ends []dispatch.AttemptResult) {
		for _, o := range outcomes {
			ends = append(ends, dispatch.AttemptResult{Outcome: o, Final: o == dispatch.Served})
		}
		return ends
	}
	wait := func(ends []dispatch.AttemptResult) []dispatch.AttemptResult {
		for i := range ends {
			ends[i].RetryAfter = 250 * time.Millisecond
		}
		return ends
	}
	cut := st.Text(200, `[{"id":"a","state":"ok"}`)
	for name, c := range map[string]struct {
		answer func(st.Call, net.Conn) bool
		want   []dispatch.AttemptResult
	}{
		"each its own": {
			st.Text(200, `[{"id":"b","state":"later"},{"id":"a","state":"ok"},{"id":"c","state":"error"}]`),
			each(dispatch.Served, dispatch.Rejected, dispatch.Errored),
		},
		"with a wait": {st.Text(200, `[{"id":"a","state":"ok"},{"id":"b","state":"later"},{"id":"c","state":"later"}]`,
			"X-RateLimit-Wait-Ms: 250"), wait(each(dispatch.Served, dispatch.Rejected, dispatch.Rejected))},
		"spent": {st.Text(200, `[{"id":"a","state":"ok"},{"id":"b","state":"exhausted"},{"id":"c","state":"ok"}]`),
			each(dispatch.Served, dispatch.NotSent, dispatch.Served)},
		"one left out": {
			st.Text(200, `[{"id":"a","state":"ok"},{"id":"c","state":"ok"}]`),
			each(dispatch.Served, dispatch.Errored, dispatch.Served),
		},
		"named twice": {
			st.Text(200, `[{"id":"a","state":"ok"},{"id":"a","state":"later"},{"id":"b","state":"later"},`+
				`{"id":"b","state":"later"},{"id":"c","state":"ok"}]`),
			each(dispatch.Errored, dispatch.Rejected, dispatch.Served),
		},
		"unknown state": {
			st.Text(200, `[{"id":"a","state":"fine"}]`),
			each(dispatch.Errored, dispatch.Errored, dispatch.Errored),
		},
		"no JSON":  {st.Text(200, `<html>`), each(dispatch.Errored, dispatch.Errored, dispatch.Errored)},
		"cut JSON": {cut, each(dispatch.Errored, dispatch.Errored, dispatch.Errored)},
		"cut body": {func(_ st.Call, c net.Conn) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n[{\"id\":\"a\",\"state\":\"ok\"}]")
			return false
		}, each(dispatch.ConnectionBroken, dispatch.ConnectionBroken, dispatch.ConnectionBroken)},
		"cut head": {func(_ st.Call, c net.Conn) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-")
			return false
		}, each(dispatch.ConnectionBroken, dispatch.ConnectionBroken, dispatch.ConnectionBroken)},
		"told to wait": {
			st.Status(429, "X-RateLimit-Wait-Ms: 250"),
			wait(each(dispatch.Rejected, dispatch.Rejected, dispatch.Rejected)),
		},
		"turned away": {st.Status(503), each(dispatch.Rejected, dispatch.Rejected, dispatch.Rejected)},
		"over slots":  {st.Status(503, "X-Over-Slots: 1"), each(dispatch.NotSent, dispatch.NotSent, dispatch.NotSent)},
		"too many":    {st.Status(413), each(dispatch.NotSent, dispatch.NotSent, dispatch.NotSent)},
		"all failed":  {st.Status(500), each(dispatch.Errored, dispatch.Errored, dispatch.Errored)},
		"reset": {
			st.Reset,
			each(dispatch.ConnectionBroken, dispatch.ConnectionBroken, dispatch.ConnectionBroken),
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
			parts := e.Next(t).Entries(t)
			if len(parts) != 3 || parts[0].ID != "a" || parts[0].Key != "k" || string(parts[0].Body) != "\x00\xff\"" ||
				parts[2].ID != "c" {
				t.Errorf("the endpoint got %+v", parts)
			}
		})
	}
}
