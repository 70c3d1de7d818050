package sender

import (
	"context"
	"net/http"

	"onyxdyke.example/onyxdyke/internal/handover"
	"onyxdyke.example/onyxdyke/internal/ingress"
	"onyxdyke.example/onyxdyke/internal/journal"
)

// forwardedRequest is a client's request that waits for the successor's response.
type forwardedRequest struct {
	ingress.Submission
	sent bool // to the successor
}

// forwardRequest forwards a request to the successor. Without a successor the request is kept, and this process handles
// it itself once it has taken the lock back. After the grace period of a shutdown, requests no longer wait for that and
// are declined: without a successor, no process can have accepted them.
func (s *Sender) forwardRequest(sub ingress.Submission) {
	if s.upgrade.successor == nil && s.dispatchStopped {
		s.declineSubmission(sub, "shutting down")
		return
	}
	if sub.IsAbandoned() {
		s.declineSubmission(sub, "the client has left")
		return
	}
	s.upgrade.forward(sub)
}

// abandonForwarded answers the forwarded requests when the successor is gone and they no longer wait for this process
// to take the lock back. The dead successor may have accepted the requests that were sent to it, so the responses to
// those do not promise that the message had no effect.
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

// receiveForwarded returns the submission of a request that a client has sent to the predecessor. A goroutine sends the
// response back over the link; it ends with the link or with ctx.
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
		case <-from.Closed():
		case <-ctx.Done():
		}
	}()
	return sub
}
