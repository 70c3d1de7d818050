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

// The format of the file outlives a release: neither the kinds of records, nor the keys of their JSON, nor the words
// and numbers stored under them ever change.

// RecordKind is what a record states.
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

// Outcome is how a message ended, as it is stored.
type Outcome string

// The outcomes of a message. Those that the platform gets a notice of are the notice's words.
const (
	OutcomeDelivered Outcome = "delivered"
	OutcomeAnswered  Outcome = "answered" // in the response to its client: rejected, failed or cancelled
	OutcomeGivenUp   Outcome = "given_up"
	OutcomeReturned  Outcome = "handed_back"
)

// MaxNameLength bounds ids, keys and endpoint names in bytes: without it a record would have no bound.
const MaxNameLength = 128

// maxEndpointLength bounds an endpoint's name in an attempt, in bytes: it is stored for whoever reads the file only.
const maxEndpointLength = 24

// Record is one line of the file. Which fields it has depends on its kind. Its times are those of the sender's clock,
// and the first line of a file states how to read them; without that line they are Unix time.
type Record struct {
	Kind RecordKind `json:"op"`
	ID   string     `json:"id"` // of the message

	// KindEndpointListDelta: the list's version and the entries that changed with it.
	Version   int64                   `json:"version,omitempty"`
	Endpoints []endpointlist.Endpoint `json:"targets,omitempty"`

	// KindOutagesDelta: the outages that changed.
	Outages []Outage `json:"outages,omitempty"`

	// KindClock: how the times of all records are to be read.
	Clock *clock.Epoch `json:"clock,omitempty"`

	// KindMessageAccepted: the message as its client submitted it. In a compacted file Attempts, Outcome and
	// RetryAfterMS state what has become of it since.
	Key         string        `json:"key,omitempty"`
	Class       string        `json:"class,omitempty"`
	Tenant      string        `json:"tenant,omitempty"`
	Destination uint32        `json:"dest,omitempty"`
	Deadline    time.Duration `json:"deadline,omitempty"`
	Rules       *Rules        `json:"rules,omitempty"`
	Body        []byte        `json:"body,omitempty"`
	Attempts    []Attempt     `json:"tries,omitempty"`

	// KindAttemptStarted and KindAttemptEnded: which attempt of the message, counted from 0.
	AttemptIndex   int      `json:"try,omitempty"`
	StartedAttempt *Attempt `json:"sent,omitempty"`  // KindAttemptStarted
	NeverRan       bool     `json:"never,omitempty"` // KindAttemptEnded: the attempt surely had no effect

	// KindMessageEnded: one of the outcomes, and for a returned message when its client may submit it again.
	Outcome      Outcome `json:"how,omitempty"`
	RetryAfterMS int64   `json:"retry_ms,omitempty"` // in milliseconds

	// KindMessageEnded, KindNoticeDelivered and KindEndedID: when the message ended.
	EndedAt time.Duration `json:"at,omitempty"`
}

// isFinal reports whether the journal has nothing to keep of the message after this record but its id: no notice of
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

// Rules are the rules that a message was accepted under. By the time that the record is read the settings may define
// its class otherwise, or not at all.
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

// NewRules copies the rules of a class.
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

// ForDispatcher translates the rules for the dispatcher. It returns nil for nil rules, which a record has that was
// written before rules were stored: the settings of the message's class decide then.
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

// Attempt is one attempt to deliver a message. One whose end is not recorded may have run.
type Attempt struct {
	SentAt   time.Duration `json:"at"`
	Endpoint string        `json:"endpoint"`
	Zone     int           `json:"zone,omitempty"`
	NeverRan bool          `json:"never,omitempty"` // it surely had no effect
}

// A line is the CRC-32 of the record's JSON in hexadecimal, a space, the JSON and a newline.
const (
	checksumLength = 8
	prefixLength   = checksumLength + 1 // with the space
	// minLineLength is the length of a line with an empty record.
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

// decode reads a line, its newline included, into r. It reports whether the line is intact.
func decode(line []byte, r *Record) bool {
	if len(line) < minLineLength {
		return false
	}
	checksum, err := strconv.ParseUint(string(line[:checksumLength]), 16, 32)
	text := line[prefixLength : len(line)-1]
	return err == nil && uint32(checksum) == crc32.ChecksumIEEE(text) && json.Unmarshal(text, r) == nil
}

// encodedItemSize is how many bytes an item of a record's list takes, with its separator.
func encodedItemSize(item any) int64 {
	text, err := json.Marshal(item)
	if err != nil {
		return recordReserve // Items consist of plain values: this cannot happen.
	}
	return int64(len(text)) + 1
}
