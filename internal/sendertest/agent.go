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

// Notice is the final outcome of a message, as discovery received it.
type Notice struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	RetryMS int64  `json:"retry_in_ms"`
}

// Agent is discovery on the sender's machine: the endpoint list, its watches and the notices.
type Agent struct {
	Addr         string
	Notices      chan Notice
	ListRequests chan string // the query of each request for the list

	mu             sync.Mutex
	version        int
	servers        []map[string]any
	changed        chan struct{} // closed when something changes
	down           bool          // requests for the list are answered 503
	rejectsNotices bool          // notices are answered 503
	losses         int           // watches that began before the last loss are never answered
}

// NewAgent starts discovery with a list of endpoints: that at index i is for destination i.
func NewAgent(t testing.TB, addrs ...string) *Agent {
	a := &Agent{
		Notices:      make(chan Notice, queueSize),
		ListRequests: make(chan string, queueSize),
		version:      1,
		changed:      make(chan struct{}),
	}
	for i, addr := range addrs {
		a.servers = append(a.servers, Server("s-"+strconv.Itoa(i), addr, i, "SERVING"))
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

// Server is a line of the endpoint list.
func Server(id, addr string, destination int, state string) map[string]any {
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

// Known is the list as a configuration holds it.
func (a *Agent) Known() map[string]any {
	a.mu.Lock()
	defer a.mu.Unlock()
	return map[string]any{"version": a.version, "full": true, "servers": a.servers}
}

// Change adds a line, or replaces that of the same endpoint, and answers the watches.
func (a *Agent) Change(line map[string]any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	for i := range a.servers {
		if a.servers[i]["id"] == line["id"] {
			a.servers = append(a.servers[:i:i], a.servers[i+1:]...)
			break
		}
	}
	a.servers = append(a.servers, line)
	a.wakeWatches()
}

func (a *Agent) wakeWatches() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// SetDown makes requests for the list fail, open watches too, or lets them work again.
func (a *Agent) SetDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = down
	a.wakeWatches()
}

// LoseWatches leaves the open watches unanswered for good, with their connections open.
func (a *Agent) LoseWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.losses++
	a.wakeWatches()
}

// RejectNotices makes notices fail, or lets them work again.
func (a *Agent) RejectNotices(rejects bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rejectsNotices = rejects
}

// handleList answers a request for the list: a poll at once, a watch when something has changed or its time is up.
func (a *Agent) handleList(w http.ResponseWriter, r *http.Request) {
	a.ListRequests <- r.URL.RawQuery
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	isPoll := err != nil
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	a.mu.Lock()
	began := a.losses
	a.mu.Unlock()
	for {
		a.mu.Lock()
		version, changed, down, lost := a.version, a.changed, a.down, a.losses != began
		list, _ := json.Marshal(map[string]any{"version": a.version, "full": true, "servers": a.servers})
		a.mu.Unlock()
		switch {
		case lost:
			<-r.Context().Done()
			return
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case isPoll || version > after:
			_, _ = w.Write(list) // fails only if the sender has gone
			return
		}
		select {
		case <-changed:
		case <-timeout:
			unchanged := map[string]any{"version": after, "full": false, "servers": []any{}}
			_ = json.NewEncoder(w).Encode(unchanged) // fails only if the sender has gone
			return
		case <-r.Context().Done():
			return
		}
	}
}

// handleNotices accepts notices, one JSON value each.
func (a *Agent) handleNotices(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	rejects := a.rejectsNotices
	a.mu.Unlock()
	if rejects {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	decoder := json.NewDecoder(r.Body)
	for {
		var n Notice
		err := decoder.Decode(&n)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a.Notices <- n
	}
	w.WriteHeader(http.StatusNoContent)
}
