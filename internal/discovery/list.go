package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"onyxdyke.example/onyxdyke/internal/endpointlist"
)

const (
	// noVersion is the version of an unknown list.
	noVersion int64 = -1

	maxListBytes = 8 << 20

	// A long poll is held for pushedLongPoll if lists are pushed, and for polledLongPoll if they are polled. watch.go
	// explains why.
	pushedLongPoll = 150 * time.Millisecond
	polledLongPoll = 2 * time.Second
)

// Errors for an answer that is not a valid list.
var (
	errNoVersion   = errors.New("the endpoint list has no version")
	errNoEndpoints = errors.New("the endpoint list is full, and has no endpoints")
)

// RejectedError is an answer of the platform with a status other than 200, as an overloaded platform sends it.
type RejectedError struct {
	Status string // the answer's status, such as "503 Service Unavailable"
}

func (e *RejectedError) Error() string { return "discovery answers " + e.Status }

// isRejected reports whether err is an answer of the platform with a status other than 200.
func isRejected(err error) bool {
	var rejected *RejectedError
	return errors.As(err, &rejected)
}

// versionRegressionError is the error for a list that is older than the known one.
type versionRegressionError struct {
	known, received int64
}

func (e *versionRegressionError) Error() string {
	return fmt.Sprintf("the endpoint list goes back from version %d to %d", e.known, e.received)
}

// listQuery holds the parameters of a call for the list.
type listQuery struct {
	baseURL      string        // of the platform
	afterVersion int64         // a long poll for changes after this version; noVersion for the full list, at once
	longPoll     time.Duration // how long the platform may hold the call; zero for the full list
}

// url returns the query as a URL.
func (q listQuery) url() string {
	url := q.baseURL + "/api/targets"
	if q.afterVersion >= 0 {
		url += fmt.Sprintf("?after=%d&wait_ms=%d", q.afterVersion, q.longPoll.Milliseconds())
	}
	return url
}

// listClient makes single calls for the list. It keeps no state except connections, and is safe for concurrent use.
type listClient struct {
	http     *http.Client
	lease    *endpointListLease // records each call that was made or could not be made
	longPoll time.Duration      // how long the platform may hold a long poll
}

// newListClient returns a listClient for lists that are polled or pushed.
func newListClient(client *http.Client, lease *endpointListLease, polled bool) *listClient {
	longPoll := pushedLongPoll
	if polled {
		longPoll = polledLongPoll
	}
	return &listClient{http: client, lease: lease, longPoll: longPoll}
}

// query returns the query for changes after a version, or for the full list if the version is noVersion.
func (l *listClient) query(baseURL string, afterVersion int64) listQuery {
	q := listQuery{baseURL: baseURL, afterVersion: afterVersion}
	if afterVersion >= 0 {
		q.longPoll = l.longPoll
	}
	return q
}

// closeIdle closes the idle connections.
func (l *listClient) closeIdle() { l.http.CloseIdleConnections() }

// fetch makes one call for the list. It returns an error if the answer is not a valid list.
func (l *listClient) fetch(ctx context.Context, q listQuery, timeout time.Duration) (endpointlist.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			l.lease.recordCall()
		}
	}})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, q.url(), nil)
	if err != nil {
		return endpointlist.Update{}, fmt.Errorf("create the request for the endpoint list: %w", err)
	}
	resp, err := l.http.Do(req)
	if err != nil {
		l.lease.recordFailure(err)
		return endpointlist.Update{}, fmt.Errorf("request the endpoint list: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		discard(resp.Body)
		return endpointlist.Update{}, &RejectedError{Status: resp.Status}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err != nil {
		return endpointlist.Update{}, fmt.Errorf("read the endpoint list: %w", err)
	}
	return decodeList(body)
}

// decodeList decodes an answer and checks that it is a valid list. A list without a version, or a full list without
// endpoints, would corrupt the known list.
func decodeList(body []byte) (endpointlist.Update, error) {
	var answer struct {
		endpointlist.Update
		Version *int64 `json:"version"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return endpointlist.Update{}, fmt.Errorf("decode the endpoint list: %w", err)
	}
	switch {
	case answer.Version == nil:
		return endpointlist.Update{}, errNoVersion
	case answer.Full && answer.Endpoints == nil:
		return endpointlist.Update{}, errNoEndpoints
	}
	answer.Update.Version = *answer.Version
	return answer.Update, nil
}
