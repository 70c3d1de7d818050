package journal

// messageReserve is the number of bytes that are reserved for what a message's attempts and its end may add to its line
// in a compacted file. Nothing is reserved for the records of the single events, because the next compaction drops
// them.
const messageReserve = 640

// maxReplayedAttempts is the largest attempt index that is used from a record in the file. It bounds the number of
// unknown attempts that a damaged file can add to a message.
const maxReplayedAttempts = 100

// Message is a message in the journal, with the attempts to deliver it.
type Message struct {
	Record // of KindMessageAccepted

	PendingOutcome      Outcome // outcome of a message that has ended and whose notice is pending; empty before the end
	PendingRetryAfterMS int64   // retry time in that notice, in milliseconds

	reservedBytes int64 // upper bound of the size of its line in a compacted file
}

// newMessage creates a message from the record of its acceptance, whose line has lineLength bytes.
func newMessage(r Record, lineLength int) *Message {
	return &Message{
		Record:              r,
		PendingOutcome:      r.Outcome,
		PendingRetryAfterMS: r.RetryAfterMS,
		reservedBytes:       int64(lineLength) + messageReserve,
	}
}

// apply updates the message according to a later record.
func (m *Message) apply(r *Record) {
	switch r.Kind {
	case KindAttemptStarted:
		if r.StartedAttempt == nil {
			return
		}
		// If the record of an earlier attempt is damaged, that attempt may have run at an unknown time.
		for len(m.Attempts) < min(r.AttemptIndex, maxReplayedAttempts) {
			m.addUnknownAttempt()
		}
		m.Attempts = append(m.Attempts, *r.StartedAttempt)
	case KindAttemptEnded:
		if r.AttemptIndex >= 0 && r.AttemptIndex < len(m.Attempts) {
			m.Attempts[r.AttemptIndex].NeverRan = r.NeverRan
		}
	case KindMessageEnded:
		m.PendingOutcome, m.PendingRetryAfterMS, m.Body = r.Outcome, r.RetryAfterMS, nil
	}
}

// addUnknownAttempt adds an attempt that may have run, at an unknown time and endpoint.
func (m *Message) addUnknownAttempt() {
	m.Attempts = append(m.Attempts, Attempt{})
}

// FirstPossibleRun returns the first attempt that may have had an effect, and whether there is one.
func (m *Message) FirstPossibleRun() (first Attempt, found bool) {
	for _, attempt := range m.Attempts {
		if !attempt.NeverRan {
			return attempt, true
		}
	}
	return Attempt{}, false
}

// compacted returns the record of the message for a compacted file, which includes its attempts and its outcome.
func (m *Message) compacted() Record {
	r := m.Record
	r.Outcome, r.RetryAfterMS = m.PendingOutcome, m.PendingRetryAfterMS
	return r
}
