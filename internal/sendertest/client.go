package sendertest

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Request returns a request that submits a message of tenant "acme" to the sender at addr. Its idempotency key is
// derived from the message's ID.
func Request(t testing.TB, addr, id, class string, destination int, deadline time.Duration, body string) *http.Request {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+addr+"/api", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]string{
		"X-Request-Id":    id,
		"X-Class":         class,
		"X-Tenant":        "acme",
		"Idempotency-Key": "key-" + id,
		"X-Deadline-Ms":   strconv.FormatInt(deadline.Milliseconds(), 10),
		"X-Addressing":    "dest=" + strconv.Itoa(destination),
	} {
		request.Header.Set(name, value)
	}
	return request
}

// Response is a sender's response to a client. The body has been read already, and SendRequest returns it separately.
type Response struct {
	Status     string
	StatusCode int
	Header     http.Header
	Close      bool // the response announces that the connection is closed after it
}

// client has a transport of its own, because closing any httptest.Server closes the idle connections of the default
// transport, including a connection that another request has just picked for reuse. That request would fail.
var client = &http.Client{Transport: &http.Transport{}}

// SendRequest sends a request and returns the response and its body. It fails the test if there is no complete
// response.
func SendRequest(t testing.TB, request *http.Request) (*Response, string) {
	t.Helper()
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return &Response{
		Status:     response.Status,
		StatusCode: response.StatusCode,
		Header:     response.Header,
		Close:      response.Close,
	}, string(body)
}

// Submit submits a message with the body "body of ID". It fails the test if the sender does not accept the message.
func Submit(t testing.TB, addr, id, class string, destination int, deadline time.Duration) {
	t.Helper()
	request := Request(t, addr, id, class, destination, deadline, "body of "+id)
	if response, body := SendRequest(t, request); response.StatusCode != http.StatusAccepted {
		t.Fatalf("message %s was not accepted: %s: %s", id, response.Status, body)
	}
}
