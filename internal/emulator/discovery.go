package emulator

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Server is a line of the endpoint list, in discovery's form.
type Server struct {
	ID     string  `json:"id"`
	Addr   string  `json:"addr"`
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Cell   int     `json:"cell"`
	State  string  `json:"state"`
	Weight float64 `json:"weight"`
	Start  int64   `json:"started_ms"`
}

// List is discovery's answer.
type List struct {
	Version int      `json:"version"`
	Full    bool     `json:"full"`
	Servers []Server `json:"servers"`
}

// The states of an endpoint in the list.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED"
)

// Agent is discovery on one sender's machine. While it is silent it answers no call for the list and learns
// nothing, and calls that are out meanwhile stay unanswered when it speaks again. It takes notices at any time unless it
// is told to refuse them.
type Agent struct {
	ledger    *History
	sender    int
	pollsEndpointList bool // the list is not pushed: a change binds when it is written, and at the latest onRequestBinds later

	mu      sync.Mutex
	servers []Server // in the order first told
	changedVersions []int    // by place: the version of its last change
	version int
	movedUntil time.Duration // what changes before then counts as told then, as its address has moved
	wake    chan struct{}
	silent  bool
	ignoresNotices    bool     // notices get no answer
	missedChanges []Server // changes that come while it is silent
	watchLosses    int      // calls that began before the last of so many losses are never answered
}

// NewAgent holds a list from the start on.
func NewAgent(l *History, sender int, onRequest bool, servers []Server) *Agent {
	a := &Agent{ledger: l, sender: sender, pollsEndpointList: onRequest, version: 1, wake: make(chan struct{})}
	for _, s := range servers {
		a.servers, a.changedVersions = append(a.servers, s), append(a.changedVersions, 1)
	}
	return a
}

// address is one at which an agent is served.
type address struct {
	addr     string
	listener net.Listener
	server   *http.Server
}

// retire takes no new connection from now on, and closes the open ones a moment later.
func (d *address) retire() {
	d.listener.Close()
	time.AfterFunc(oldAddressLinger, d.close)
}

func (d *address) close() { d.server.Close() }

// Listen serves at an address of its own on host, beside those that it has.
func (a *Agent) Listen(host string) (*address, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", a.list)
	mux.HandleFunc("POST /v1/notices", a.notices)
	server := &http.Server{Handler: mux}
	go server.Serve(listener)
	return &address{listener.Addr().String(), listener, server}, nil
}

// Known is the list as it stands.
func (a *Agent) Known() List {
	a.mu.Lock()
	defer a.mu.Unlock()
	return List{a.version, true, append([]Server(nil), a.servers...)}
}

// Change gives the agent a line, at once or when it is no longer silent.
func (a *Agent) Change(s Server) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.silent {
		a.missedChanges = append(a.missedChanges, s)
		return
	}
	a.apply(s)
	a.wakeWatches()
}

func (a *Agent) apply(s Server) {
	a.version++
	if s.State != Serving {
		binds := a.ledger.Now()
		if a.pollsEndpointList {
			binds += polledListBinds
		}
		a.ledger.RecordListChange(ListChange{a.sender, s.ID, max(binds, a.movedUntil)})
	}
	for i := range a.servers {
		if a.servers[i].ID == s.ID {
			a.servers[i], a.changedVersions[i] = s, a.version
			return
		}
	}
	a.servers, a.changedVersions = append(a.servers, s), append(a.changedVersions, a.version)
}

func (a *Agent) wakeWatches() {
	close(a.wake)
	a.wake = make(chan struct{})
}

// Silence makes the agent say nothing, or lets it speak again with all that it has missed. Calls that are out when it
// falls silent, or come while it is, are lost.
func (a *Agent) SetSilent(silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.silent == silent {
		return
	}
	a.silent = silent
	a.ledger.SetSilent(a.sender, silent)
	if silent {
		a.watchLosses++
		a.wakeWatches()
	} else {
		for _, s := range a.missedChanges {
			a.apply(s)
		}
		a.missedChanges = nil
		a.wakeWatches()
	}
}

// Deafen makes notices go unanswered, or lets them be taken again.
func (a *Agent) SetIgnoresNotices(deaf bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ignoresNotices = deaf
}

// LoseWatches leaves the watches that are out unanswered for good. What changes meanwhile counts as told at once all the same,
// as the agent has it.
func (a *Agent) LoseWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watchLosses++
	a.wakeWatches()
}

// Move closes the books on the old address: what changes soon after is told by the new one. Further moves in that time do
// not put it off.
func (a *Agent) AddressMoved() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now := a.ledger.Now(); a.movedUntil < now {
		a.movedUntil = now + movedListBinds
	}
}

const (
	polledListBinds = 6 * time.Second         // what is not pushed counts at the latest so long after the agent has it
	movedListBinds     = 4 * time.Second         // what is told counts so long after a new configuration
	oldAddressLinger = 1500 * time.Millisecond // after which open connections at the old address are closed
)

func (a *Agent) list(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	whole := err != nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	until := time.NewTimer(time.Duration(min(wait, 60_000)) * time.Millisecond)
	defer until.Stop()
	a.mu.Lock()
	began, silent := a.watchLosses, a.silent
	a.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	for over := false; ; {
		a.mu.Lock()
		lost, wake := a.watchLosses != began, a.wake
		ready := whole || a.version > after || over
		answer := List{Version: a.version, Full: whole}
		for i, s := range a.servers {
			if whole && s.State != Deleted || !whole && a.changedVersions[i] > after {
				answer.Servers = append(answer.Servers, s)
			}
		}
		a.mu.Unlock()
		switch {
		case lost:
			<-r.Context().Done()
			return
		case ready:
			a.write(w, answer)
			return
		}
		select {
		case <-wake:
		case <-until.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// write answers a call for the list. What is written is told.
func (a *Agent) write(w http.ResponseWriter, answer List) {
	if answer.Servers == nil {
		answer.Servers = []Server{}
	}
	for _, s := range answer.Servers {
		if a.pollsEndpointList && s.State != Serving {
			a.ledger.RecordListChange(ListChange{a.sender, s.ID, a.ledger.Now()})
		}
	}
	json.NewEncoder(w).Encode(answer)
}

func (a *Agent) notices(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	deaf := a.ignoresNotices
	a.mu.Unlock()
	if deaf {
		<-r.Context().Done()
		return
	}
	for lines := json.NewDecoder(r.Body); ; {
		var n struct {
			Message string `json:"message"`
			Outcome string `json:"outcome"`
		}
		err := lines.Decode(&n)
		if err == io.EOF {
			break
		}
		if err != nil || n.Message == "" || n.Outcome == "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a.ledger.RecordNotice(Notice{ID: n.Message, Outcome: n.Outcome, Sender: a.sender})
	}
	w.WriteHeader(http.StatusNoContent)
}
