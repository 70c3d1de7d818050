package sender

import (
	"context"
	"net/http"

	"onyxdyke.example/onyxdyke/internal/handover"
	"onyxdyke.example/onyxdyke/internal/ingress"
	"onyxdyke.example/onyxdyke/internal/journal"
)

// forwardedRequest is a request that waits for the successor's response.
type forwardedRequest struct {
	ingress.Submission
	sent bool // to the successor
}

// forwardRequest forwards a request to the successor. Without one the request waits: if this process takes the lock
// again, the request is its own. During a shutdown it takes the lock no more, so nobody can have accepted the
// request.
func (s *Sender) forwardRequest(sub ingress.Submission) {
	if s.upgrade.successor == nil && s.dispatchStopped {
		s.declineSubmission(sub, "shutting down")
		return
	}
	s.upgrade.forward(sub)
}

// abandonForwarded answers the requests whose successor is gone, where this process does not go on either. The dead
// successor may have accepted what was sent to it, so nothing is promised of that.
func (s *Sender) abandonForwarded() {
	for _, request := range s.upgrade.takeForwarded() {
		if request.sent {
			s.metrics.MessageAborted(request.Class)
			request.Responses <- ingress.Response{
				Status: http.StatusInternalServerError,
				Text:   string(journal.OutcomeGivenUp),
			}
			continue
		}
		s.declineSubmission(request.Submission, "shutting down")
	}
}

// receiveForwarded makes a submission of a request that arrived at the predecessor. A goroutine sends its response
// back; it ends with the link or with ctx.
func (s *Sender) receiveForwarded(
	ctx context.Context, from *handover.Link, request handover.ForwardedRequest,
) ingress.Submission {
	sub := ingress.Submission{Record: request.Record, Responses: make(chan ingress.Response, 1)}
	go func() {
		select {
		case response := <-sub.Responses:
			from.Send(handover.ForwardedResponse{
				Sequence:   request.Sequence,
				Status:     response.Status,
				RetryAfter: response.RetryAfter,
				Text:       response.Text,
			})
		case <-from.Gone():
		case <-ctx.Done():
		}
	}()
	return sub
}
