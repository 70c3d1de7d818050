package ingress

import (
	"net/http"
	"strconv"
	"time"
)

// defaultRetryAfter is the Retry-After of a rejection where the settings name none.
const defaultRetryAfter = time.Second

// Response is the final answer to a client's request.
type Response struct {
	Status     int
	RetryAfter time.Duration // of a rejection, 0 for the default
	Text       string
}

// write sends the response. What fails here the client takes for no answer.
func (r Response) write(w http.ResponseWriter) {
	if r.Status == http.StatusServiceUnavailable {
		retryAfter := r.RetryAfter
		if retryAfter <= 0 {
			retryAfter = defaultRetryAfter
		}
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	if r.Status == http.StatusAccepted {
		w.WriteHeader(r.Status)
		return
	}
	http.Error(w, r.Text, r.Status)
}
