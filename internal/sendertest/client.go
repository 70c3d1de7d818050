package sendertest

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Request is a request that submits a message.
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

// Response is an answer whose body has been read.
type Response struct {
	Status     string
	StatusCode int
	Header     http.Header
	Close      bool // the connection ends with it
}

// client has a transport of its own: the end of any httptest.Server closes the idle connections of the default one,
// also under a request that has just taken one.
var client = &http.Client{Transport: &http.Transport{}}

// Do makes a request and returns the answer and its body.
func Do(t testing.TB, request *http.Request) (*Response, string) {
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

// Submit submits a message, and fails the test if it is not accepted.
func Submit(t testing.TB, addr, id, class string, destination int, deadline time.Duration) {
	t.Helper()
	request := Request(t, addr, id, class, destination, deadline, "body of "+id)
	if response, body := Do(t, request); response.StatusCode != http.StatusAccepted {
		t.Fatalf("%s is answered %s: %s", id, response.Status, body)
	}
}
