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

// Every client whose request waits for the event loop is answered, however many wait at once, as they do after the
// process was stopped for a moment. A step used to receive one event more than it handled when it reached
// maxEventBatch: the 257th submission that waited had no response, and an end of a call in that place kept the count of
// calls in flight too high for good. Shown by this test: of 300 submissions that wait, one was never answered.
func TestAllQueuedEventsAreHandled(t *testing.T) {
	t.Parallel()
	const waiting = 2*maxEventBatch + 10
	l := newStoppable(newTestSender(t, st.NewAgent(t, st.NewEndpoint(t, st.Status(200)).Addr), nil))
	responses := make([]chan ingress.Response, waiting)
	for i := range responses {
		responses[i] = make(chan ingress.Response, 1)
		l.events <- submissionEvent{ingress.Submission{
			Record: journal.Record{
				ID:       fmt.Sprint("m", i),
				Class:    "safe",
				Deadline: l.clock.Now() + 15*time.Second,
			},
			Responses: responses[i],
		}}
	}
	l.run(func() (net.Listener, error) { return net.Listen("tcp", l.config.Listen) })
	for i, response := range responses {
		select {
		case <-response:
		case <-time.After(st.Timeout):
			t.Fatalf("submission %d of %d has no response", i, waiting)
		}
	}
	l.stop()
	l.awaitEnd(t)
}
