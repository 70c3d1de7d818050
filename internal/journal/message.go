package journal

// messageReserve is how many bytes a message's attempts and its end may add to its line in a compacted file. No more is
// reserved for them: the records of the single events are dropped by the next compaction.
const messageReserve = 640

// maxReplayedAttempts bounds the number of attempts that a record read from the file may claim.
const maxReplayedAttempts = 100

// Message is a message as the journal stores it, with the attempts that were made.
type Message struct {
	Record // of KindMessageAccepted

	PendingOutcome      Outcome // how the message ended, while the notice of that is pending; empty before the end
	PendingRetryAfterMS int64   // what that notice tells the client, in milliseconds

	reservedBytes int64 // upper bound of its line in a compacted file
}

// newMessage makes a message of the record that it was accepted, as a line of lineLength bytes.
func newMessage(r Record, lineLength int) *Message {
	return &Message{
		Record:              r,
		PendingOutcome:      r.Outcome,
		PendingRetryAfterMS: r.RetryAfterMS,
		reservedBytes:       int64(lineLength) + messageReserve,
	}
}

// apply updates the message by a later record.
func (m *Message) apply(r *Record) {
	switch r.Kind {
	case KindAttemptStarted:
		if r.StartedAttempt == nil {
			return
		}
		// Where the record of an earlier attempt is damaged, that one may have run, at an unknown time.
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

// FirstPossibleRun returns the first attempt that may have run, and whether there is one.
func (m *Message) FirstPossibleRun() (first Attempt, found bool) {
	for _, attempt := range m.Attempts {
		if !attempt.NeverRan {
			return attempt, true
		}
	}
	return Attempt{}, false
}

// compacted returns the record that states the message and all that has become of it.
func (m *Message) compacted() Record {
	r := m.Record
	r.Outcome, r.RetryAfterMS = m.PendingOutcome, m.PendingRetryAfterMS
	return r
}
