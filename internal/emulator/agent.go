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
	// polledChangeTimeout is the longest time after which a change takes effect for a sender that polls its list,
	// counted from when the agent knows the change.
	polledChangeTimeout = 6 * time.Second
	// addressMoveGrace is the time after a move of the agent's address during which changes do not take effect yet.
	// They take effect at its end.
	addressMoveGrace = 4 * time.Second
	// oldAddressLinger is how long connections to the agent's old address stay open after a move.
	oldAddressLinger = 1500 * time.Millisecond
	// maxWatchMS is the longest time, in milliseconds, for which a watch stays open, even if it asks for a longer one.
	maxWatchMS = 60_000
)

// Agent stands in for the platform's agent on one sender's machine, which serves the endpoint list and accepts notices.
// While it is silent, it answers no request for the list and learns of no change. Requests that are open during a
// silence stay unanswered after it. The agent accepts notices at any time.
//
// A change takes effect for a sender when the invariants require the sender to honour it.
type Agent struct {
	history *History
	sender  int
	// pollsEndpointList is set if the sender polls the list, which is not pushed to it. A change then takes effect when
	// a poll is answered with it, and at the latest polledChangeTimeout after the agent knows it.
	pollsEndpointList bool

	mu                  sync.Mutex
	servers             []Server // in the order in which they were added
	changedVersions     []int    // of each server: the list's version at its last change
	version             int
	addressMoveGraceEnd time.Duration // changes take effect no earlier, as the agent's address has moved
	wake                chan struct{} // closed and replaced when the list or the agent's behaviour changes
	silent              bool
	missedChanges       []Server // changes that happened while the agent was silent
	watchLosses         int      // requests that began before the last loss are never answered
	listeners           []*silenceableListener
}

// NewAgent returns an agent whose list holds some servers, as version 1. It serves no address before Listen.
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

// agentServer serves an agent at one address. It owns the server's goroutine and the timer that closes its connections.
type agentServer struct {
	addr     string
	listener net.Listener
	server   *http.Server
	served   chan struct{} // closed when the server has stopped accepting connections

	mu         sync.Mutex
	closeTimer *time.Timer // closes the open connections; nil before retire is called
}

// Listen starts serving the agent at a further address on host. The agent's earlier addresses keep working.
func (a *Agent) Listen(host string) (*agentServer, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", a.handleList)
	mux.HandleFunc("POST /v1/notices", a.handleNotices)
	s := &agentServer{
		addr:     listener.Addr().String(),
		listener: listener,
		server:   &http.Server{Handler: mux},
		served:   make(chan struct{}),
	}
	silenceable := newSilenceableListener(listener)
	a.mu.Lock()
	a.listeners = append(a.listeners, silenceable)
	a.mu.Unlock()
	go func() {
		defer close(s.served)
		_ = s.server.Serve(silenceable) // returns an error whenever the listener is closed
	}()
	return s, nil
}

// retire stops accepting connections at once, and closes the open ones after oldAddressLinger.
func (s *agentServer) retire() {
	closeQuietly(s.listener)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeTimer = time.AfterFunc(oldAddressLinger, func() { closeQuietly(s.server) })
}

// close closes all connections and waits until the server has stopped.
func (s *agentServer) close() {
	s.mu.Lock()
	if s.closeTimer != nil {
		s.closeTimer.Stop()
	}
	s.mu.Unlock()
	closeQuietly(s.server)
	<-s.served
}

// Known returns all lines of the current list.
func (a *Agent) Known() List {
	a.mu.Lock()
	defer a.mu.Unlock()
	return List{Version: a.version, Full: true, Servers: append([]Server(nil), a.servers...)}
}

// Change adds or replaces a line of the list. If the agent is silent, it does so when the silence ends.
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

// apply adds or replaces a line of the list, and records from when on a drain or deletion has to be honoured. Callers
// hold the mutex.
func (a *Agent) apply(s Server) {
	a.version++
	if s.State != Serving {
		effectiveAt := a.history.Now()
		if a.pollsEndpointList {
			effectiveAt += polledChangeTimeout
		}
		a.recordDrain(s, max(effectiveAt, a.addressMoveGraceEnd))
	}
	for i := range a.servers {
		if a.servers[i].ID == s.ID {
			a.servers[i], a.changedVersions[i] = s, a.version
			return
		}
	}
	a.servers, a.changedVersions = append(a.servers, s), append(a.changedVersions, a.version)
}

// recordDrain records the time from which on the sender has to honour the drain or deletion of an endpoint.
func (a *Agent) recordDrain(s Server, effectiveAt time.Duration) {
	a.history.RecordListChange(ListChange{Sender: a.sender, Endpoint: s.ID, EffectiveAt: effectiveAt})
}

// wakeWatches makes all open requests for the list look at the agent's state again. Callers hold the mutex.
func (a *Agent) wakeWatches() {
	close(a.wake)
	a.wake = make(chan struct{})
}

// SetSilent makes the agent silent, or ends the silence and applies the changes that the agent has missed. Requests for
// the list that are open when the silence begins, or arrive during it, are never answered.
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

// LoseWatches makes the agent never answer the watches that are open now. While the sender waits for such a watch, the
// agent still learns of changes, so they take effect as usual.
func (a *Agent) LoseWatches() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watchLosses++
	a.wakeWatches()
}

// SilenceConnections makes the connections that are open to the agent fall silent: they stay open, and neither requests
// nor answers pass on them. New connections work, so changes take effect as usual, and notices can be delivered.
func (a *Agent) SilenceConnections() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, listener := range a.listeners {
		listener.silence()
	}
}

// AddressMoved starts the grace period in which changes do not take effect yet, because the sender has to learn them at
// the agent's new address. Further moves in that period do not extend it.
func (a *Agent) AddressMoved() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now := a.history.Now(); a.addressMoveGraceEnd < now {
		a.addressMoveGraceEnd = now + addressMoveGrace
	}
}

// handleList answers a request for the list: a poll at once, a watch when the list has changed or the watch times out.
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
	lossesAtStart, silent := a.watchLosses, a.silent
	a.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	for timedOut := false; ; {
		a.mu.Lock()
		lost, wake := a.watchLosses != lossesAtStart, a.wake
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

// listSince returns the full list without deleted endpoints, or the lines that changed after a version. Callers hold
// the mutex.
func (a *Agent) listSince(after int, full bool) List {
	list := List{Version: a.version, Full: full, Servers: []Server{}}
	for i, s := range a.servers {
		if full && s.State != Deleted || !full && a.changedVersions[i] > after {
			list.Servers = append(list.Servers, s)
		}
	}
	return list
}

// writeList answers a request for the list. For a sender that polls, the drains in the answer take effect now.
func (a *Agent) writeList(w http.ResponseWriter, list List) {
	for _, s := range list.Servers {
		if a.pollsEndpointList && s.State != Serving {
			a.recordDrain(s, a.history.Now())
		}
	}
	_ = json.NewEncoder(w).Encode(list) // fails only if the sender has closed the connection
}

// handleNotices accepts a request with any number of notices, one JSON value each.
func (a *Agent) handleNotices(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(r.Body)
	for {
		var notice struct {
			Message string `json:"message"`
			Outcome string `json:"outcome"`
		}
		err := decoder.Decode(&notice)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil || notice.Message == "" || notice.Outcome == "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a.history.RecordNotice(Notice{ID: notice.Message, Outcome: notice.Outcome, Sender: a.sender})
	}
	w.WriteHeader(http.StatusNoContent)
}
