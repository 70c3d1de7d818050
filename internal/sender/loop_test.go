package sender

import (
	"fmt"
	"net"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/ingress"
	"onyxdyke.example/onyxdyke/internal/journal"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// Guards against events that are taken from the queue and not handled, when more than maxEventBatch of them wait, as
// they do after the process was paused. A step used to receive one event more than it handled when it reached
// maxEventBatch: the 257th waiting submission got no response, and the end of a call in its place left the count of
// calls in flight too high forever. This test failed then: of 300 waiting submissions, one was never answered.
func TestAllQueuedEventsAreHandled(t *testing.T) {
	t.Parallel()
	const waiting = 2*maxEventBatch + 10
	s := newStoppable(newTestSender(t, st.NewAgent(t, st.NewEndpoint(t, st.AnswerStatus(200)).Addr), nil))
	responses := make([]chan ingress.Response, waiting)
	for i := range responses {
		responses[i] = make(chan ingress.Response, 1)
		s.events <- submissionEvent{ingress.Submission{
			Record: journal.Record{
				ID:       fmt.Sprint("m", i),
				Class:    "safe",
				Deadline: s.clock.Now() + 15*time.Second,
			},
			Responses: responses[i],
		}}
	}
	s.run(func() (net.Listener, error) { return net.Listen("tcp", s.config.Listen) })
	for i, response := range responses {
		select {
		case <-response:
		case <-time.After(st.Timeout):
			t.Fatalf("submission %d of %d has no response", i, waiting)
		}
	}
	s.stop()
	s.awaitEnd(t)
}
