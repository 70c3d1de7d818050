package sender

import (
	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/ingress"
	"onyxdyke.example/onyxdyke/internal/journal"
)

// message is an accepted message that has not ended, or that still has calls in flight.
type message struct {
	*journal.Message
	number        dispatch.MessageID
	priorAttempts int // attempts made by earlier processes
	ownAttempts   int // attempts made by this process
	// clients are those that wait for the response, several if the message was submitted more than once; nil once the
	// response has been sent.
	clients []chan ingress.Response
	calls   map[int]*inFlightCall // in flight, by the dispatcher's number of the attempt
	ended   bool
}

// removeUnstartedAttempt removes an attempt that was never started because its record could not be written. The
// dispatcher has counted the attempt, so priorAttempts decreases: an attempt's index in the journal is priorAttempts
// plus the dispatcher's number.
func (m *message) removeUnstartedAttempt(index int) {
	if index == len(m.Attempts)-1 {
		m.Attempts = m.Attempts[:index]
		m.priorAttempts--
	}
}

// answerClients sends the response to the clients that still wait for one.
func (m *message) answerClients(response ingress.Response) {
	if m == nil || m.clients == nil {
		return
	}
	for _, client := range m.clients {
		client <- response
	}
	m.clients = nil
}

// messageTable holds the messages by the dispatcher's number and by their own ID.
type messageTable struct {
	byNumber   map[dispatch.MessageID]*message
	byID       map[string]*message
	lastNumber dispatch.MessageID
	pending    int // messages that have not ended
}

func newMessageTable() *messageTable {
	return &messageTable{byNumber: map[dispatch.MessageID]*message{}, byID: map[string]*message{}}
}

// add adds a message from the journal under a new number. The clients wait for its response.
func (t *messageTable) add(stored *journal.Message, clients ...chan ingress.Response) *message {
	t.lastNumber++
	m := &message{
		Message:       stored,
		number:        t.lastNumber,
		priorAttempts: len(stored.Attempts),
		clients:       clients,
		calls:         map[int]*inFlightCall{},
	}
	t.byNumber[m.number], t.byID[m.ID] = m, m
	t.pending++
	return m
}

// markEnded records that a message has ended. Its calls may still be in flight.
func (t *messageTable) markEnded(m *message) {
	m.ended = true
	t.pending--
}

// removeIfDone removes a message that has ended and has no calls in flight.
func (t *messageTable) removeIfDone(m *message) {
	if !m.ended || len(m.calls) > 0 {
		return
	}
	delete(t.byNumber, m.number)
	if t.byID[m.ID] == m {
		delete(t.byID, m.ID)
	}
}

// clear removes all messages. Their numbers are not used again.
func (t *messageTable) clear() {
	t.byNumber, t.byID, t.pending = map[dispatch.MessageID]*message{}, map[string]*message{}, 0
}
