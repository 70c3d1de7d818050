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
	maxRetryAfterMsec = 1e9 // longer than any sender waits
)

// interpretHead returns the result that the head of a response states. If the head has a Retry-After and the rest of
// the response is still to come, interpretHead reports the Retry-After at once and returns the time at which it ends as
// retryAt; otherwise retryAt is the zero time.
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
		p.invariants.RetryAfterReceived(e.currentRoute(), wait)
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

// outcomeOf returns the outcome for a status (protocol), and whether the message needs no further call.
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
		// An endpoint that has reached its limit of connections rejects a further one in this way. That does not
		// indicate the limit of the destination, so for the dispatcher it is a failed connect.
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

// loadReport returns the known fields of a load report.
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
