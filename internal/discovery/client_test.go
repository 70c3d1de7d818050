package discovery

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/endpointlist"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

// fewSenders and manySenders are the sizes of deployments without and with a queue at the platform.
const (
	fewSenders  = 3
	manySenders = 300
)

// newTestClient returns the client of a sender in a deployment of the given size, for lists that are pushed.
func newTestClient(address string, senders int) *Client {
	return New(Options{Address: address, Senders: senders})
}

// newServer starts a server that runs until the end of the test, and returns its host and port.
func newServer(t *testing.T, handler http.Handler) (address string) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// scriptedAgent is an agent that answers each call for the list with the next script, and all further ones with the
// last.
type scriptedAgent struct {
	address string
	called  chan struct{} // receives a value for each call
}

// newScriptedAgent starts an agent that runs until the end of the test.
func newScriptedAgent(t *testing.T, scripts ...http.HandlerFunc) *scriptedAgent {
	t.Helper()
	agent := &scriptedAgent{called: make(chan struct{}, 1000)}
	var calls atomic.Int32
	agent.address = newServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := int(calls.Add(1))
		agent.called <- struct{}{}
		scripts[min(call, len(scripts))-1](w, r)
	}))
	return agent
}

// write writes a part of an answer and flushes it.
func write(w http.ResponseWriter, text string) {
	_, _ = io.WriteString(w, text) // the client may have cancelled the call
	w.(http.Flusher).Flush()
}

// neverAnswer is the script of an unresponsive agent.
func neverAnswer(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// answerPartially is the script of an agent that becomes unresponsive in the middle of an answer.
func answerPartially(w http.ResponseWriter, r *http.Request) {
	write(w, `{"version":9,"full":true,"ser`)
	<-r.Context().Done()
}

// reject is the script of an overloaded platform.
func reject(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }

// answerText returns the script of an agent that answers with a text.
func answerText(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, text) // the client may have cancelled the call
	}
}

// answerVersion returns the script of an agent that answers with an empty full list of a version.
func answerVersion(version int64) http.HandlerFunc {
	return answerText(fmt.Sprintf(`{"version":%d,"full":true,"servers":[]}`, version))
}

// follow follows the list from a version on until the end of the test, requesting a new watch after each failure. It
// returns a channel with the updates.
func follow(t *testing.T, client *Client, version int64) <-chan endpointlist.Update {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	requests := make(chan struct{}, 1)
	updates := make(chan endpointlist.Update, 1000)
	done := make(chan struct{})
	requests <- struct{}{}
	go func() {
		defer close(done)
		client.Follow(ctx, version, requests,
			func(update endpointlist.Update) { updates <- update },
			func(error) { requests <- struct{}{} })
	}()
	t.Cleanup(func() {
		cancel()
		st.Receive(t, done)
	})
	return updates
}

// awaitVersion waits for an update to the given version or a later one.
func awaitVersion(t *testing.T, updates <-chan endpointlist.Update, version int64) {
	t.Helper()
	for st.Receive(t, updates).Version < version {
	}
}

// Guards against senders that call draining endpoints after their start. The agent's list is in effect for a sender
// from its start, and a draining endpoint may get calls for only 500 ms more. When three hundred senders called one
// after the other, the last ones did so after 15 s and used an old list until then. Few senders must call without a
// delay.
func TestInitialDelayIsRandomAndShorterThanTheGracePeriodOfADrain(t *testing.T) {
	t.Parallel()
	for _, senders := range []int{maxUncontendedSenders + 1, 80, manySenders, 100_000} {
		delays := map[time.Duration]bool{}
		for range 100 {
			delay := newTestClient("127.0.0.1:1", senders).watcher.initialDelay
			if delay > 200*time.Millisecond {
				t.Fatalf("one of %d senders has an initial delay of %v", senders, delay)
			}
			delays[delay] = true
		}
		if len(delays) < 10 {
			t.Errorf("%d senders have only %d different initial delays", senders, len(delays))
		}
	}
	if delay := newTestClient("127.0.0.1:1", maxUncontendedSenders).watcher.initialDelay; delay != 0 {
		t.Errorf("one of few senders has an initial delay of %v", delay)
	}
}
