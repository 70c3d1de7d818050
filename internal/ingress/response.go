package ingress

import (
	"net/http"
	"strconv"
	"time"
)

// defaultRetryAfter is the Retry-After of a rejection if the settings give none.
const defaultRetryAfter = time.Second

// Response is the final response to a client's request.
type Response struct {
	Status     int
	RetryAfter time.Duration // for a rejection; 0 for the default
	Text       string
}

// write writes the response. Errors are ignored: a client that does not get the whole response treats its request as
// unanswered.
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
