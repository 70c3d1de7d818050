package ingress

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"onyxdyke.example/onyxdyke/internal/config"
	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/journal"
)

// MaxBody is the maximum size of the body of a client's request, in bytes (protocol).
const MaxBody = 64 << 10

const maxDeadline = 24 * time.Hour

// The headers of a request (protocol).
const (
	headerMessageID  = "X-Request-Id"
	headerClass      = "X-Class"
	headerTenant     = "X-Tenant"
	headerKey        = "Idempotency-Key"
	headerDeadline   = "X-Deadline-Ms"
	headerAddressing = "X-Addressing"
	destinationField = "dest="
)

// Submission is a message from a client on its way to the event loop.
type Submission struct {
	journal.Record
	ClassIndex  int           // the index of the class in the settings
	TenantIndex int           // the index of the tenant in the settings, -1 for none
	Responses   chan Response // buffered: the event loop never waits for a client
	// HasClientLeft reports whether the client has closed its connection. It may be nil, which stands for no.
	HasClientLeft func() bool
}

// IsAbandoned reports whether the client has closed its connection, so that it cannot learn that its message is
// accepted.
func (s *Submission) IsAbandoned() bool { return s.HasClientLeft != nil && s.HasClientLeft() }

// requestError is the reason why a request is invalid.
type requestError struct {
	status int // the status of the response
	text   string
}

func (e *requestError) Error() string { return e.text }

// errNoRoom rejects a request that is dropped in favour of others. It has had no effect.
var errNoRoom = &requestError{status: http.StatusServiceUnavailable, text: "no room for the request"}

func badRequest(format string, args ...any) error {
	return &requestError{status: http.StatusBadRequest, text: fmt.Sprintf(format, args...)}
}

// checkFraming rejects a request whose end is ambiguous. Clients have to state the length of each body. Where a request
// has both a transfer coding and a length, net/http silently drops the length; what one side reads as the body, the
// other then reads as the next request. HTTP/1.0 has the same ambiguity, as there net/http drops the transfer coding.
func checkFraming(r *http.Request) error {
	if !r.ProtoAtLeast(1, 1) {
		return &requestError{status: http.StatusHTTPVersionNotSupported, text: "HTTP/1.1 is spoken here"}
	}
	if len(r.TransferEncoding) > 0 {
		return &requestError{
			status: http.StatusLengthRequired,
			text:   "a body needs a Content-Length and no Transfer-Encoding",
		}
	}
	return nil
}

// parse parses a request that arrived at arrivedAt. Its errors are of type *requestError.
func parse(r *http.Request, c *config.Config, arrivedAt time.Duration) (*Submission, error) {
	s := &Submission{Responses: make(chan Response, 1), TenantIndex: -1}
	if err := s.readIdentifiers(r); err != nil {
		return nil, err
	}
	if r.Header.Get("Content-Length") == "" {
		return nil, &requestError{status: http.StatusLengthRequired, text: "Content-Length is missing"}
	}
	if s.ID == "" {
		return nil, badRequest("%s is missing", headerMessageID)
	}
	if err := s.resolveClassAndTenant(c); err != nil {
		return nil, err
	}
	deadline := r.Header.Get(headerDeadline)
	ms, err := strconv.ParseInt(deadline, 10, 64)
	if err != nil || ms < 0 || ms > maxDeadline.Milliseconds() {
		return nil, badRequest("%s %q is not a sensible time", headerDeadline, deadline)
	}
	s.Deadline = arrivedAt + time.Duration(ms)*time.Millisecond
	if s.Destination, err = parseDestination(r.Header.Get(headerAddressing)); err != nil {
		return nil, err
	}
	s.Body, err = readBody(r)
	return s, err
}

// readIdentifiers reads the headers that hold identifiers. They are copied unchanged into journal records and calls, so
// their length and characters are checked here.
func (s *Submission) readIdentifiers(r *http.Request) error {
	for header, field := range map[string]*string{
		headerMessageID: &s.ID,
		headerClass:     &s.Class,
		headerTenant:    &s.Tenant,
		headerKey:       &s.Key,
	} {
		value := r.Header.Get(header)
		if len(value) > journal.MaxNameLength {
			return badRequest("%s is longer than %d bytes", header, journal.MaxNameLength)
		}
		for _, c := range []byte(value) {
			if c < ' ' || c > '~' {
				return badRequest("%s holds bytes that are not plain ASCII", header)
			}
		}
		*field = value
	}
	return nil
}

// resolveClassAndTenant looks up the class and the tenant in the settings.
func (s *Submission) resolveClassAndTenant(c *config.Config) error {
	if s.ClassIndex = config.IndexOf(c.Classes, s.Class, -1); s.ClassIndex < 0 {
		return badRequest("%s %q is not among the settings", headerClass, s.Class)
	}
	s.TenantIndex = config.IndexOf(c.Tenants, s.Tenant, -1)
	if s.TenantIndex < 0 && len(c.Tenants) > 0 {
		return badRequest("%s %q is not among the settings", headerTenant, s.Tenant)
	}
	if c.Settings.Classes[s.ClassIndex].Effect == dispatch.IdempotentByKey && s.Key == "" {
		return badRequest("%s is missing, and class %s is keyed", headerKey, s.Class)
	}
	return nil
}

// parseDestination reads the destination's number from the addressing header.
func parseDestination(addressing string) (uint32, error) {
	isSeparator := func(r rune) bool { return r == ',' || r == ';' || r == ' ' }
	for _, part := range strings.FieldsFunc(addressing, isSeparator) {
		number, ok := strings.CutPrefix(part, destinationField)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(number, 10, 16)
		if err != nil {
			return 0, badRequest("%s: dest %q is not a destination's number", headerAddressing, number)
		}
		return uint32(n), nil
	}
	return 0, badRequest("%s names no dest", headerAddressing)
}

// bodyInBudget is a body whose memory is taken from the budget before it is read.
type bodyInBudget interface{ readAll() ([]byte, error) }

// readBody reads the body completely.
func readBody(r *http.Request) ([]byte, error) {
	if r.ContentLength > MaxBody {
		return nil, &requestError{
			status: http.StatusRequestEntityTooLarge,
			text:   fmt.Sprintf("the body is over %d bytes", MaxBody),
		}
	}
	body, err := readWhole(r)
	if err == nil {
		return body, nil
	}
	if c := connectionOf(r); errors.Is(err, errNoMemory) || (c != nil && c.isEvicted.Load()) {
		return nil, errNoRoom
	}
	return nil, badRequest("the body does not come whole: %v", err)
}

func readWhole(r *http.Request) ([]byte, error) {
	if body, ok := r.Body.(bodyInBudget); ok {
		return body.readAll()
	}
	body := make([]byte, max(0, r.ContentLength))
	_, err := io.ReadFull(r.Body, body)
	return body, err
}
