package journal

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"strconv"
	"time"

	"onyxdyke.example/onyxdyke/internal/clock"
	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/endpointlist"
)

// The format of the file has to stay compatible across releases: the kinds of records, the keys of their JSON, and the
// words and numbers stored under these keys must never change.

// RecordKind is the type of a record.
type RecordKind string

// The kinds of records, as they are stored.
const (
	KindMessageAccepted   RecordKind = "take"
	KindAttemptStarted    RecordKind = "send"
	KindAttemptEnded      RecordKind = "end"
	KindMessageEnded      RecordKind = "over"
	KindNoticeDelivered   RecordKind = "told"
	KindEndedID           RecordKind = "past"
	KindClock             RecordKind = "clock"
	KindEndpointListDelta RecordKind = "list"
	KindOutagesDelta      RecordKind = "outages"
)

// Outcome is the stored outcome of a message.
type Outcome string

// The outcomes of a message. The platform receives a notice of OutcomeGivenUp and OutcomeReturned, and the notice
// contains the same values.
const (
	OutcomeDelivered Outcome = "delivered"
	OutcomeAnswered  Outcome = "answered" // rejected, failed or cancelled, and reported in the response to the client
	OutcomeGivenUp   Outcome = "given_up"
	OutcomeReturned  Outcome = "handed_back"
)

// MaxNameLength is the maximum length in bytes of ids, keys and endpoint names. It bounds the size of a record.
const MaxNameLength = 128

// maxEndpointLength is the length in bytes to which an endpoint's name is truncated in an attempt. The name is stored
// only for people who read the file.
const maxEndpointLength = 24

// Record is one line of the file. Its kind determines which fields it has. Its times are those of the sender's clock.
// The first line of a file, a record of KindClock, states how that clock is read by another process; without that line
// the times are Unix time.
type Record struct {
	Kind RecordKind `json:"op"`
	ID   string     `json:"id"` // of the message

	// KindEndpointListDelta: the list's version and the entries that changed with it.
	Version   int64                   `json:"version,omitempty"`
	Endpoints []endpointlist.Endpoint `json:"targets,omitempty"`

	// KindOutagesDelta: the outages that changed.
	Outages []Outage `json:"outages,omitempty"`

	// KindClock: the epoch of the clock that the times of all records refer to.
	Clock *clock.Epoch `json:"clock,omitempty"`

	// KindMessageAccepted: the message as its client submitted it. In a compacted file, Attempts, Outcome and
	// RetryAfterMS hold its later state.
	Key         string        `json:"key,omitempty"`
	Class       string        `json:"class,omitempty"`
	Tenant      string        `json:"tenant,omitempty"`
	Destination uint32        `json:"dest,omitempty"`
	Deadline    time.Duration `json:"deadline,omitempty"`
	Rules       *Rules        `json:"rules,omitempty"`
	Body        []byte        `json:"body,omitempty"`
	Attempts    []Attempt     `json:"tries,omitempty"`

	// KindAttemptStarted and KindAttemptEnded: the index of the attempt among those of the message, from 0.
	AttemptIndex   int      `json:"try,omitempty"`
	StartedAttempt *Attempt `json:"sent,omitempty"`  // KindAttemptStarted
	NeverRan       bool     `json:"never,omitempty"` // KindAttemptEnded: the attempt surely had no effect

	// KindMessageEnded: the outcome, and for a returned message the time after which its client may submit it again.
	Outcome      Outcome `json:"how,omitempty"`
	RetryAfterMS int64   `json:"retry_ms,omitempty"` // in milliseconds

	// KindMessageEnded, KindNoticeDelivered and KindEndedID: when the message ended.
	EndedAt time.Duration `json:"at,omitempty"`
}

// isFinal reports whether the journal needs to keep only the id of the message after this record, because no notice of
// its end is pending.
func (r *Record) isFinal() bool {
	switch r.Kind {
	case KindNoticeDelivered:
		return true
	case KindMessageEnded:
		return r.Outcome == OutcomeDelivered || r.Outcome == OutcomeAnswered
	default:
		return false
	}
}

// Rules are the rules of a message's class at the time of its acceptance. When the record is read, the settings may
// define that class differently, or not at all.
type Rules struct {
	Effect            dispatch.Effect `json:"e,omitempty"`
	KeyScopedToZone   bool            `json:"z,omitempty"`
	Ordered           bool            `json:"o,omitempty"`
	MaxAttempts       int             `json:"n,omitempty"`
	LatencyObjective  time.Duration   `json:"a,omitempty"`
	Deadline          time.Duration   `json:"d,omitempty"`
	IdempotencyWindow time.Duration   `json:"w,omitempty"`
	PriorityWeight    float64         `json:"v,omitempty"`
	LateWeight        float64         `json:"l,omitempty"`
}

// NewRules returns the rules of a class, with the maximum number of attempts.
func NewRules(class dispatch.Class, maxAttempts int) *Rules {
	return &Rules{
		Effect:            class.Effect,
		KeyScopedToZone:   class.KeyScopedToZone,
		Ordered:           class.Ordered,
		MaxAttempts:       maxAttempts,
		LatencyObjective:  class.LatencyObjective,
		Deadline:          class.Deadline,
		IdempotencyWindow: class.IdempotencyWindow,
		PriorityWeight:    class.PriorityWeight,
		LateWeight:        class.LateWeight,
	}
}

// ForDispatcher translates the rules for the dispatcher. It returns nil for nil rules. A record has nil rules if it was
// written before rules were stored; the current settings of the message's class apply then.
func (r *Rules) ForDispatcher() *dispatch.Rules {
	if r == nil {
		return nil
	}
	return &dispatch.Rules{
		MaxAttempts: r.MaxAttempts,
		Class: dispatch.Class{
			LatencyObjective:  r.LatencyObjective,
			Deadline:          r.Deadline,
			Effect:            r.Effect,
			KeyScopedToZone:   r.KeyScopedToZone,
			IdempotencyWindow: r.IdempotencyWindow,
			Ordered:           r.Ordered,
			PriorityWeight:    r.PriorityWeight,
			LateWeight:        r.LateWeight,
		},
	}
}

// Attempt is one attempt to deliver a message. An attempt whose end is not recorded may have run.
type Attempt struct {
	SentAt   time.Duration `json:"at"`
	Endpoint string        `json:"endpoint"`
	Zone     int           `json:"zone,omitempty"`
	NeverRan bool          `json:"never,omitempty"` // the attempt surely had no effect
}

// A line is the CRC-32 of the record's JSON in hexadecimal, a space, the JSON and a newline.
const (
	checksumLength = 8
	prefixLength   = checksumLength + 1 // the checksum and the space
	// minLineLength is the length of a line without a record: the prefix and the newline.
	minLineLength = prefixLength + 1
)

// encode writes a record as a line and returns the line's length in bytes.
func encode(w io.Writer, r *Record) (int, error) {
	text, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	return fmt.Fprintf(w, "%08x %s\n", crc32.ChecksumIEEE(text), text)
}

// decode decodes a line, including its newline, into r. It reports whether the line is intact.
func decode(line []byte, r *Record) bool {
	if len(line) < minLineLength {
		return false
	}
	checksum, err := strconv.ParseUint(string(line[:checksumLength]), 16, 32)
	text := line[prefixLength : len(line)-1]
	return err == nil && uint32(checksum) == crc32.ChecksumIEEE(text) && json.Unmarshal(text, r) == nil
}

// encodedItemSize returns the size in bytes of an item in a record's list, including its separator.
func encodedItemSize(item any) int64 {
	text, err := json.Marshal(item)
	if err != nil {
		return recordReserve // This cannot happen: items consist of plain values.
	}
	return int64(len(text)) + 1
}
