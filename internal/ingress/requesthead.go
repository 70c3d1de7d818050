package ingress

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
)

const (
	// maxHeader is the maximum size of the head of a request in bytes.
	maxHeader = 16 << 10
	// maxHeaderFields is the maximum number of lines of a head. A field takes far more memory once it is parsed than
	// the few bytes in which it may arrive.
	maxHeaderFields = 100
)

var (
	errHeadTooLarge = &requestError{
		status: http.StatusRequestHeaderFieldsTooLarge,
		text:   fmt.Sprintf("the head is over %d bytes or %d fields", maxHeader, maxHeaderFields),
	}
	errMalformedHead = &requestError{status: http.StatusBadRequest, text: "the head of the request is malformed"}
)

// headScanner finds the end of a request's head in what has been read so far.
type headScanner struct {
	scanned   int // bytes that have been scanned
	lineStart int
	lines     int // complete lines before the empty one
}

// scan continues with the bytes read since the last call. It returns the length of the head, the empty line at its end
// included, or 0 if the head is not complete. It returns errHeadTooLarge for a head that exceeds a limit.
func (s *headScanner) scan(text []byte) (length int, err error) {
	for {
		next := bytes.IndexByte(text[s.scanned:], '\n')
		if next < 0 {
			s.scanned = len(text)
			if len(text) >= maxHeader {
				return 0, errHeadTooLarge
			}
			return 0, nil
		}
		end := s.scanned + next
		s.scanned = end + 1
		line := bytes.TrimSuffix(text[s.lineStart:end], []byte{'\r'})
		s.lineStart = s.scanned
		if len(line) == 0 {
			return s.scanned, nil
		}
		s.lines++
		if s.lines > maxHeaderFields+1 || s.scanned > maxHeader {
			return 0, errHeadTooLarge
		}
	}
}

// headReaders holds buffered readers for parseHead.
var headReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, minHeadBuffer) }}

// parseHead parses a complete head. The request has no body yet.
func parseHead(head []byte) (*http.Request, error) {
	if hasControlBytes(head) {
		return nil, errMalformedHead
	}
	reader := headReaders.Get().(*bufio.Reader)
	defer headReaders.Put(reader)
	reader.Reset(bytes.NewReader(head))
	request, err := http.ReadRequest(reader)
	reader.Reset(nil)
	if err != nil {
		return nil, errMalformedHead
	}
	for name := range request.Header {
		if strings.ContainsAny(name, " \t") { // where such a field ends its name is read in different ways
			return nil, errMalformedHead
		}
	}
	if request.ProtoAtLeast(1, 1) && countHosts(head) != 1 {
		return nil, &requestError{status: http.StatusBadRequest, text: "the request needs one Host"}
	}
	return request, nil
}

// hasControlBytes reports whether a head holds control characters other than tabs and the ends of its lines.
func hasControlBytes(head []byte) bool {
	for i, c := range head {
		isLineEnd := c == '\n' || c == '\r' && head[i+1] == '\n' // a head ends with \n, so there is a next byte
		if (c < ' ' && c != '\t' && !isLineEnd) || c == 0x7f {
			return true
		}
	}
	return false
}

// countHosts returns the number of Host fields.
func countHosts(head []byte) (count int) {
	for line := range bytes.Lines(head) {
		name, _, found := bytes.Cut(line, []byte{':'})
		if found && bytes.EqualFold(name, []byte("Host")) {
			count++
		}
	}
	return count
}
