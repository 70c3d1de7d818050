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

// Platform is discovery: the endpoint list, its watches and the notices.
type Platform struct {
	Addr    string
	Notices chan Notice
	Lists   chan string // the query of each request for the list

	mu      sync.Mutex
	version int
	targets []map[string]any
	changed chan struct{} // closed when something changes
	down    bool          // requests for the list are answered 503
	deaf    bool          // notices are answered 503
	losses  int           // watches that began before the last loss are never answered
}

// NewPlatform starts discovery with a list of endpoints: that at index i is for destination i.
func NewPlatform(t testing.TB, addrs ...string) *Platform {
	p := &Platform{
		Notices: make(chan Notice, queueSize),
		Lists:   make(chan string, queueSize),
		version: 1,
		changed: make(chan struct{}),
	}
	for i, addr := range addrs {
		p.targets = append(p.targets, Target("s-"+strconv.Itoa(i), addr, i, "SERVING"))
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", p.handleList)
	mux.HandleFunc("POST /v1/notices", p.handleNotices)
	server := httptest.NewServer(mux)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	p.Addr = strings.TrimPrefix(server.URL, "http://")
	return p
}

// Target is a line of the endpoint list.
func Target(id, addr string, destination int, state string) map[string]any {
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
func (p *Platform) Known() map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	return map[string]any{"version": p.version, "full": true, "servers": p.targets}
}

// Change adds a line, or replaces that of the same endpoint, and answers the watches.
func (p *Platform) Change(line map[string]any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	for i := range p.targets {
		if p.targets[i]["id"] == line["id"] {
			p.targets = append(p.targets[:i:i], p.targets[i+1:]...)
			break
		}
	}
	p.targets = append(p.targets, line)
	p.wakeWatches()
}

func (p *Platform) wakeWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Down makes requests for the list fail, open watches too, or lets them work again.
func (p *Platform) Down(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.wakeWatches()
}

// Lose leaves the open watches unanswered for good, with their connections open.
func (p *Platform) Lose() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.losses++
	p.wakeWatches()
}

// Deaf makes notices fail, or lets them work again.
func (p *Platform) Deaf(deaf bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deaf = deaf
}

// handleList answers a request for the list: a poll at once, a watch when something has changed or its time is up.
func (p *Platform) handleList(w http.ResponseWriter, r *http.Request) {
	p.Lists <- r.URL.RawQuery
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	isPoll := err != nil
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	p.mu.Lock()
	began := p.losses
	p.mu.Unlock()
	for {
		p.mu.Lock()
		version, changed, down, lost := p.version, p.changed, p.down, p.losses != began
		list, _ := json.Marshal(map[string]any{"version": p.version, "full": true, "servers": p.targets})
		p.mu.Unlock()
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
func (p *Platform) handleNotices(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	deaf := p.deaf
	p.mu.Unlock()
	if deaf {
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
		p.Notices <- n
	}
	w.WriteHeader(http.StatusNoContent)
}
