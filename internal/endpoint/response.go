package endpoint

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
)

// The headers of a response (protocol).
const (
	headerRetryAfter  = "X-RateLimit-Wait-Ms"
	headerLoadReport  = "X-Load"
	headerNoSlot      = "X-Over-Slots"
	reportQuotaLeft   = "x0"
	reportRateLimit   = "x1"
	maxRetryAfterMsec = 1e9 // more than any sender waits
)

// interpretHead is what a response's head says. Where it holds a Retry-After and its rest is still to come, that is
// passed on at once, and its end returned as retryAt; else that is the zero time.
func (p *Pool) interpretHead(
	e *Endpoint,
	c *conn,
	response *http.Response,
) (result dispatch.AttemptResult, retryAt time.Time) {
	result.Endpoint = e.Number
	result.Outcome, result.Final = outcomeOf(c, response)
	wait, ok := retryAfterOf(response)
	if ok {
		result.RetryAfter = wait
		p.invariants.RetryAfterReceived(e.retryAfterScope(), wait)
		if response.ContentLength < 0 || response.ContentLength > int64(c.reader.Buffered()) {
			retryAt = time.Now().Add(wait)
			p.onRetryAfter(e, wait)
		}
	}
	report := p.loadReport(response)
	result.QuotaLeft, result.HasLoadReport = report[reportQuotaLeft]
	result.RateLimit = report[reportRateLimit]
	return result, retryAt
}

// outcomeOf is the outcome that a status stands for (protocol), and whether the message needs no further call.
func outcomeOf(c *conn, response *http.Response) (outcome dispatch.Outcome, isFinal bool) {
	switch response.StatusCode {
	case http.StatusOK:
		return dispatch.Served, true
	case http.StatusTooManyRequests:
		return dispatch.Rejected, false
	case http.StatusServiceUnavailable:
		return unavailableOutcome(c, response), false
	case http.StatusGatewayTimeout:
		return dispatch.NotSent, false
	case http.StatusGone:
		return dispatch.NotSent, true
	}
	return dispatch.Errored, false
}

func unavailableOutcome(c *conn, response *http.Response) dispatch.Outcome {
	switch {
	case response.Header.Get(headerNoSlot) == "1":
		return dispatch.NotSent
	case c.calls == 1 && response.Close:
		// An endpoint with all the connections that it takes rejects a further one like this. It says nothing of the
		// destination's limit; to the dispatcher it is a connect that failed.
		return dispatch.ConnectFailed
	}
	return dispatch.Rejected
}

func retryAfterOf(response *http.Response) (wait time.Duration, ok bool) {
	ms, err := strconv.ParseFloat(response.Header.Get(headerRetryAfter), 64)
	if err != nil || ms <= 0 || ms >= maxRetryAfterMsec {
		return 0, false
	}
	return time.Duration(ms * float64(time.Millisecond)), true
}

// loadReport reads the fields of a load report that are known.
func (p *Pool) loadReport(response *http.Response) map[string]float64 {
	report := map[string]float64{}
	for _, part := range strings.Split(response.Header.Get(headerLoadReport), ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		if value, err := strconv.ParseFloat(text, 64); err == nil && slices.Contains(p.reportFields, name) {
			report[name] = value
		}
	}
	return report
}
