package sendertest

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// Notice is the final outcome of a message, as the agent received it.
type Notice struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	RetryMS int64  `json:"retry_in_ms"`
}

// Agent stands in for the platform's agent on the sender's machine. It serves the endpoint list to polls and watches
// (requests that wait for the next change), and accepts notices.
type Agent struct {
	Addr         string
	Notices      chan Notice // each notice that was accepted
	ListRequests chan string // the URL query of each request for the list

	mu                 sync.Mutex
	version            int
	entries            []map[string]any // the entries of the endpoint list
	changed            chan struct{}    // closed and replaced when the list or the agent's behaviour changes
	listUnavailable    bool             // requests for the list are answered with 503
	noticesUnavailable bool             // notices are answered with 503
	watchLosses        int              // watches that began before the last loss are never answered
}

// NewAgent starts an agent whose list has one endpoint for each address. The endpoint at index i belongs to destination
// i.
func NewAgent(t testing.TB, addrs ...string) *Agent {
	a := &Agent{
		Notices:      make(chan Notice, queueSize),
		ListRequests: make(chan string, queueSize),
		version:      1,
		changed:      make(chan struct{}),
	}
	for i, addr := range addrs {
		a.entries = append(a.entries, ListEntry("s-"+strconv.Itoa(i), addr, i, "SERVING"))
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", a.handleList)
	mux.HandleFunc("POST /v1/notices", a.handleNotices)
	server := httptest.NewServer(mux)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	a.Addr = strings.TrimPrefix(server.URL, "http://")
	return a
}

// ListEntry returns an entry of the endpoint list.
func ListEntry(id, addr string, destination int, state string) map[string]any {
	return map[string]any{
		"id":         id,
		"addr":       addr,
		"cell":       destination,
		"state":      state,
		"zone":       "a",
		"kind":       "plain",
		"weight":     1.0,
		"started_ms": 0,
	}
}

// EndpointList returns the current list in the form of a configuration's "known" section.
func (a *Agent) EndpointList() map[string]any {
	a.mu.Lock()
	defer a.mu.Unlock()
	return map[string]any{"version": a.version, "full": true, "servers": a.entries}
}

// UpdateList adds an entry to the list, or replaces the entry of the same endpoint, and answers the open watches.
func (a *Agent) UpdateList(entry map[string]any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	for i := range a.entries {
		if a.entries[i]["id"] == entry["id"] {
			a.entries = append(a.entries[:i:i], a.entries[i+1:]...)
			break
		}
	}
	a.entries = append(a.entries, entry)
	a.wakeWatches()
}

// wakeWatches makes all open requests for the list look at the agent's state again. Callers hold the mutex.
func (a *Agent) wakeWatches() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// SetListUnavailable makes the agent answer requests for the list, and the open watches, with 503, or serve the list
// again.
func (a *Agent) SetListUnavailable(unavailable bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listUnavailable = unavailable
	a.wakeWatches()
}

// LoseWatches makes the agent never answer the watches that are open now. Their connections stay open.
func (a *Agent) LoseWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watchLosses++
	a.wakeWatches()
}

// SetNoticesUnavailable makes the agent answer notices with 503, or accept them again.
func (a *Agent) SetNoticesUnavailable(unavailable bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.noticesUnavailable = unavailable
}

// handleList answers a request for the list: a poll at once, a watch when the list has changed or the watch times out.
func (a *Agent) handleList(w http.ResponseWriter, r *http.Request) {
	a.ListRequests <- r.URL.RawQuery
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	isPoll := err != nil
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	a.mu.Lock()
	lossesAtStart := a.watchLosses
	a.mu.Unlock()
	for {
		a.mu.Lock()
		version, changed, unavailable, lost := a.version, a.changed, a.listUnavailable, a.watchLosses != lossesAtStart
		list, _ := json.Marshal(map[string]any{"version": a.version, "full": true, "servers": a.entries})
		a.mu.Unlock()
		switch {
		case lost:
			<-r.Context().Done()
			return
		case unavailable:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case isPoll || version > after:
			_, _ = w.Write(list) // fails only if the sender has closed the connection
			return
		}
		select {
		case <-changed:
		case <-timeout:
			unchanged := map[string]any{"version": after, "full": false, "servers": []any{}}
			_ = json.NewEncoder(w).Encode(unchanged) // fails only if the sender has closed the connection
			return
		case <-r.Context().Done():
			return
		}
	}
}

// handleNotices accepts a request with any number of notices, one JSON value each.
func (a *Agent) handleNotices(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	unavailable := a.noticesUnavailable
	a.mu.Unlock()
	if unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	decoder := json.NewDecoder(r.Body)
	for {
		var notice Notice
		err := decoder.Decode(&notice)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a.Notices <- notice
	}
	w.WriteHeader(http.StatusNoContent)
}
