package emulator

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// polledListBinds is how long after the agent knows a change that is not pushed it binds at the latest.
	polledListBinds = 6 * time.Second
	// movedListBinds is how long after a move of discovery's address changes bind at the earliest.
	movedListBinds = 4 * time.Second
	// oldAddressLinger is how long after a move the open connections at the old address are closed.
	oldAddressLinger = 1500 * time.Millisecond
	// maxWatchMS is the longest time, in milliseconds, for which a watch stays open, whatever it asks for.
	maxWatchMS = 60_000
)

// Agent is discovery on one sender's machine. While it is silent it answers no request for the list and learns
// nothing, and requests that are open meanwhile stay unanswered when it answers again. It accepts notices at any time.
type Agent struct {
	history *History
	sender  int
	// pollsEndpointList says that the list is not pushed: a change binds when a poll is answered with it, and at the
	// latest polledListBinds after the agent knows it.
	pollsEndpointList bool

	mu              sync.Mutex
	servers         []Server // in the order in which they were added
	changedVersions []int    // of each server: the version of its last change
	version         int
	movedUntil      time.Duration // what changes before then binds then, as the agent's address has moved
	wake            chan struct{} // closed when something changes
	silent          bool
	missedChanges   []Server // those that come while it is silent
	watchLosses     int      // requests that began before the last loss are never answered
}

// NewAgent makes an agent that has a list from the start on.
func NewAgent(h *History, sender int, pollsEndpointList bool, servers []Server) *Agent {
	a := &Agent{
		history:           h,
		sender:            sender,
		pollsEndpointList: pollsEndpointList,
		version:           1,
		wake:              make(chan struct{}),
	}
	for _, s := range servers {
		a.servers, a.changedVersions = append(a.servers, s), append(a.changedVersions, 1)
	}
	return a
}

// agentAddress is an address at which an agent is served. It owns the server's goroutine and the timer of its end.
type agentAddress struct {
	addr     string
	listener net.Listener
	server   *http.Server
	served   chan struct{} // closed when the server has stopped accepting connections

	mu     sync.Mutex
	linger *time.Timer // closes the open connections; nil before the address is retired
}

// Listen serves at an address of its own on host, beside those that the agent has.
func (a *Agent) Listen(host string) (*agentAddress, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", a.handleList)
	mux.HandleFunc("POST /v1/notices", a.handleNotices)
	address := &agentAddress{
		addr:     listener.Addr().String(),
		listener: listener,
		server:   &http.Server{Handler: mux},
		served:   make(chan struct{}),
	}
	go func() {
		defer close(address.served)
		_ = address.server.Serve(listener) // it ends when the listener is closed
	}()
	return address, nil
}

// retire accepts no new connection from now on, and closes the open ones a moment later.
func (d *agentAddress) retire() {
	closeQuietly(d.listener)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.linger = time.AfterFunc(oldAddressLinger, func() { closeQuietly(d.server) })
}

// close ends all connections and waits for the server.
func (d *agentAddress) close() {
	d.mu.Lock()
	if d.linger != nil {
		d.linger.Stop()
	}
	d.mu.Unlock()
	closeQuietly(d.server)
	<-d.served
}

// Known is the list as it stands.
func (a *Agent) Known() List {
	a.mu.Lock()
	defer a.mu.Unlock()
	return List{Version: a.version, Full: true, Servers: append([]Server(nil), a.servers...)}
}

// Change adds or replaces a line of the list, at once or when the agent is no longer silent.
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

// apply puts a line into the list.
func (a *Agent) apply(s Server) {
	a.version++
	if s.State != Serving {
		binds := a.history.Now()
		if a.pollsEndpointList {
			binds += polledListBinds
		}
		a.recordDrain(s, max(binds, a.movedUntil))
	}
	for i := range a.servers {
		if a.servers[i].ID == s.ID {
			a.servers[i], a.changedVersions[i] = s, a.version
			return
		}
	}
	a.servers, a.changedVersions = append(a.servers, s), append(a.changedVersions, a.version)
}

func (a *Agent) recordDrain(s Server, effectiveAt time.Duration) {
	a.history.RecordListChange(ListChange{Sender: a.sender, Endpoint: s.ID, EffectiveAt: effectiveAt})
}

func (a *Agent) wakeWatches() {
	close(a.wake)
	a.wake = make(chan struct{})
}

// SetSilent stops the agent from answering, or makes it answer again with every change that it has missed. Requests
// that are open when it falls silent, or arrive while it is, are lost.
func (a *Agent) SetSilent(silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.silent == silent {
		return
	}
	a.silent = silent
	a.history.SetSilent(a.sender, silent)
	if silent {
		a.watchLosses++
	} else {
		for _, s := range a.missedChanges {
			a.apply(s)
		}
		a.missedChanges = nil
	}
	a.wakeWatches()
}

// LoseWatches leaves the open watches unanswered for good. What changes meanwhile binds at once all the same, as the
// agent knows it.
func (a *Agent) LoseWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watchLosses++
	a.wakeWatches()
}

// AddressMoved starts the time for which changes bind later, as the sender has to learn them at the new address.
// Further moves in that time do not extend it.
func (a *Agent) AddressMoved() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now := a.history.Now(); a.movedUntil < now {
		a.movedUntil = now + movedListBinds
	}
}

// handleList answers a request for the list: a poll at once, a watch when something has changed or its time is up.
func (a *Agent) handleList(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	full := err != nil
	waitMS, err := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil {
		waitMS = 0
	}
	watchEnd := time.NewTimer(time.Duration(min(waitMS, maxWatchMS)) * time.Millisecond)
	defer watchEnd.Stop()
	a.mu.Lock()
	began, silent := a.watchLosses, a.silent
	a.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	for timedOut := false; ; {
		a.mu.Lock()
		lost, wake := a.watchLosses != began, a.wake
		ready := full || a.version > after || timedOut
		list := a.listSince(after, full)
		a.mu.Unlock()
		switch {
		case lost:
			<-r.Context().Done()
			return
		case ready:
			a.writeList(w, list)
			return
		}
		select {
		case <-wake:
		case <-watchEnd.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

// listSince returns the full list, or the lines that changed after a version. Callers hold the mutex.
func (a *Agent) listSince(after int, full bool) List {
	list := List{Version: a.version, Full: full, Servers: []Server{}}
	for i, s := range a.servers {
		if full && s.State != Deleted || !full && a.changedVersions[i] > after {
			list.Servers = append(list.Servers, s)
		}
	}
	return list
}

// writeList answers a request for the list. What is written binds.
func (a *Agent) writeList(w http.ResponseWriter, list List) {
	for _, s := range list.Servers {
		if a.pollsEndpointList && s.State != Serving {
			a.recordDrain(s, a.history.Now())
		}
	}
	_ = json.NewEncoder(w).Encode(list) // fails only if the sender has gone
}

// handleNotices accepts notices, one JSON value each.
func (a *Agent) handleNotices(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(r.Body)
	for {
		var n struct {
			Message string `json:"message"`
			Outcome string `json:"outcome"`
		}
		err := decoder.Decode(&n)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil || n.Message == "" || n.Outcome == "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a.history.RecordNotice(Notice{ID: n.Message, Outcome: n.Outcome, Sender: a.sender})
	}
	w.WriteHeader(http.StatusNoContent)
}
