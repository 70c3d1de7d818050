package main

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// listEntry is an endpoint in discovery's list.
type listEntry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// The states of an endpoint in the list.
const (
	serving  = "SERVING"
	draining = "DRAINING"
)

// notice is the end of a message as the platform heard it.
type notice struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	at      time.Time
}

// agent stands in for the platform's agent on the sender's machine: it serves the endpoint list and accepts notices.
type agent struct {
	addr string
	rec  *recorder

	mu       sync.Mutex
	version  int
	entries  []listEntry
	changes  map[int][]listEntry // by version
	changed  chan struct{}       // closed and replaced at each change of the list or of the agent's behaviour
	refusing bool                // calls for the list are answered with 503
	silenced int                 // calls for the list that began before the last silence are never answered
	told     map[int]time.Time   // by version: when the agent had the change
	notices  map[string]notice   // by message, the first one
	open     int                 // calls for the list that are not answered yet
}

// newAgent starts an agent with a first list.
func newAgent(rec *recorder, entries []listEntry) (*agent, error) {
	listener, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	a := &agent{
		addr: listener.Addr().String(), rec: rec, version: 1, entries: entries,
		changes: map[int][]listEntry{}, changed: make(chan struct{}),
		told: map[int]time.Time{}, notices: map[string]notice{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", a.handleList)
	mux.HandleFunc("POST /v1/notices", a.handleNotices)
	go func() { _ = http.Serve(listener, mux) }()
	return a, nil
}

// known returns the whole list, as in a configuration.
func (a *agent) known() map[string]any {
	a.mu.Lock()
	defer a.mu.Unlock()
	return map[string]any{"version": a.version, "full": true, "servers": append([]listEntry(nil), a.entries...)}
}

// set changes the state of an endpoint, and returns when the agent had the change.
func (a *agent) set(id, state string) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	for i := range a.entries {
		if a.entries[i].ID == id {
			a.entries[i].State = state
			a.changes[a.version] = []listEntry{a.entries[i]}
		}
	}
	at := time.Now()
	a.told[a.version] = at
	a.rec.printAt(at, "agent: has version %d: %s is %s", a.version, id, state)
	a.wake()
	return at
}

// wake makes the open calls look again. The caller holds the lock.
func (a *agent) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// refuse makes the agent answer calls for the list with 503, or serve it again.
func (a *agent) refuse(refusing bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refusing = refusing
	a.rec.printf("agent: refuses calls for the list: %v", refusing)
	a.wake()
}

// silence makes the calls for the list that are open now fall silent; if there is none, the next one.
func (a *agent) silence() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.open == 0 {
		a.mu.Unlock()
		time.Sleep(time.Millisecond)
		a.mu.Lock()
	}
	a.silenced++
	a.rec.printf("agent: the open watches fall silent")
	a.wake()
}

// handleList answers a call for the list: at once, or as a watch.
func (a *agent) handleList(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	isWatch := err == nil
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	a.mu.Lock()
	silenced := a.silenced
	a.open++
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.open--
	}()
	for {
		a.mu.Lock()
		version, changed, refusing, lost := a.version, a.changed, a.refusing, a.silenced != silenced
		answer := a.answer(after, isWatch)
		a.mu.Unlock()
		switch {
		case lost:
			a.rec.printf("agent: a call for the list is never answered (%s)", r.URL.RawQuery)
			<-r.Context().Done()
			return
		case refusing:
			a.rec.printf("agent: answers 503 to %q", r.URL.RawQuery)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case !isWatch || version > after:
			a.rec.printf("agent: tells version %d to %q", version, r.URL.RawQuery)
			_, _ = w.Write(answer)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			_ = json.NewEncoder(w).Encode(map[string]any{"version": after, "full": false, "servers": []any{}})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// answer returns the changes after a version, or the whole list. The caller holds the lock.
func (a *agent) answer(after int, isWatch bool) []byte {
	list := map[string]any{"version": a.version, "full": true, "servers": a.entries}
	if isWatch {
		changed := []listEntry{}
		for v := after + 1; v <= a.version; v++ {
			changed = append(changed, a.changes[v]...)
		}
		list["full"], list["servers"] = false, changed
	}
	text, _ := json.Marshal(list)
	return text
}

// handleNotices accepts notices.
func (a *agent) handleNotices(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	lines := bufio.NewScanner(r.Body)
	for lines.Scan() {
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		var n notice
		if json.Unmarshal(lines.Bytes(), &n) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n.at = at
		a.mu.Lock()
		if _, known := a.notices[n.Message]; !known {
			a.notices[n.Message] = n
			a.rec.printAt(at, "agent: notice %s %s", n.Message, n.Outcome)
		}
		a.mu.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}

// noticeOf returns the first notice of a message.
func (a *agent) noticeOf(id string) (notice, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n, ok := a.notices[id]
	return n, ok
}
