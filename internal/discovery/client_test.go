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

// fewSenders and manySenders are deployments without and with a queue in front of the platform.
const (
	fewSenders  = 3
	manySenders = 300
)

// newTestClient makes a client of one of so many senders, for lists that are pushed.
func newTestClient(address string, senders int) *Client {
	return New(Options{Address: address, Senders: senders})
}

// newServer starts a server until the end of the test, and returns its host and port.
func newServer(t *testing.T, handler http.Handler) (address string) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// scriptedAgent answers the calls for the list by one script after another, and all further ones by the last script.
type scriptedAgent struct {
	address string
	called  chan struct{} // one value for each call
}

// newScriptedAgent starts an agent.
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

// write writes a part of an answer and sends it at once.
func write(w http.ResponseWriter, text string) {
	_, _ = io.WriteString(w, text) // the client may have given up the call
	w.(http.Flusher).Flush()
}

// answerNothing is the script of an agent that is silent.
func answerNothing(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// answerInPart is the script of an agent that falls silent in the middle of an answer.
func answerInPart(w http.ResponseWriter, r *http.Request) {
	write(w, `{"version":9,"full":true,"ser`)
	<-r.Context().Done()
}

// reject is the script of a platform that is overloaded.
func reject(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }

// answerText makes the script of an agent that answers with a text.
func answerText(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, text) // the client may have given up the call
	}
}

// answerVersion makes the script of an agent that answers with a full list of no endpoints.
func answerVersion(version int64) http.HandlerFunc {
	return answerText(fmt.Sprintf(`{"version":%d,"full":true,"servers":[]}`, version))
}

// follow follows the list from a version on until the end of the test, requests a new watch after each failure, and
// returns the updates.
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

// awaitVersion waits for an update to a version or a later one.
func awaitVersion(t *testing.T, updates <-chan endpointlist.Update, version int64) {
	t.Helper()
	for st.Receive(t, updates).Version < version {
	}
}

// The list that the agent holds binds a sender from its start on, and a draining endpoint may get calls for 500 ms
// more. Of three hundred senders those that called after 15 s, in turn, sent by an old list until then. Few senders
// call at once.
func TestInitialDelayIsRandomAndShorterThanADrainsGrace(t *testing.T) {
	t.Parallel()
	for _, senders := range []int{maxUncontendedSenders + 1, 80, manySenders, 100_000} {
		delays := map[time.Duration]bool{}
		for range 100 {
			delay := newTestClient("127.0.0.1:1", senders).watcher.initialDelay
			if delay > 200*time.Millisecond {
				t.Fatalf("one of %d senders calls after %v", senders, delay)
			}
			delays[delay] = true
		}
		if len(delays) < 10 {
			t.Errorf("%d senders call at %d different times", senders, len(delays))
		}
	}
	if delay := newTestClient("127.0.0.1:1", maxUncontendedSenders).watcher.initialDelay; delay != 0 {
		t.Errorf("one of few senders waits for %v", delay)
	}
}
