package main

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

// listEntry is an entry of discovery's list.
type listEntry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// list is discovery's list, or the changes of it.
type list struct {
	Version int         `json:"version"`
	Full    bool        `json:"full"`
	Servers []listEntry `json:"servers"`
}

// agent stands in for the platform's agent on a sender's machine. It answers the list at once, holds watches, and
// accepts notices at once.
type agent struct {
	world   *world
	sender  string
	entries []listEntry
	addr    string
}

// listVersion is the version of the list. The configuration's is older by one, and lacks the last endpoint.
const listVersion = 2

func newAgent(w *world, sender string, entries []listEntry) (*agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{world: w, sender: sender, entries: entries, addr: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", a.handleList)
	mux.HandleFunc("POST /v1/notices", a.handleNotices)
	go func() { _ = http.Serve(listener, mux) }() //nolint:gosec // it serves until the process ends
	return a, nil
}

// current returns the whole list.
func (a *agent) current() list { return list{Version: listVersion, Full: true, Servers: a.entries} }

// known returns the list of the sender's configuration.
func (a *agent) known() list {
	return list{Version: listVersion - 1, Full: true, Servers: a.entries[:len(a.entries)-1]}
}

// handleList answers a call for the list. The list never changes, so a watch ends when its wait is over.
func (a *agent) handleList(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || after < listVersion {
		_ = json.NewEncoder(w).Encode(a.current())
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	select {
	case <-time.After(time.Duration(wait) * time.Millisecond):
		_ = json.NewEncoder(w).Encode(list{Version: listVersion, Servers: []listEntry{}})
	case <-r.Context().Done():
	}
}

// handleNotices accepts notices.
func (a *agent) handleNotices(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(r.Body)
	for {
		var n struct{ Message, Outcome string }
		err := decoder.Decode(&n)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a.world.noticed(a.sender, n.Message, n.Outcome)
	}
	w.WriteHeader(http.StatusNoContent)
}

// proxy stands between a sender and its agent. silence makes all connections that are open fall silent.
type proxy struct {
	addr, target string

	mu    sync.Mutex
	links []*link
}

// link is one connection through a proxy, with its two ends.
type link struct {
	near, far net.Conn
	silent    chan struct{} // closed when it falls silent
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{addr: listener.Addr().String(), target: target}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			p.connect(near)
		}
	}()
	return p, nil
}

// connect connects a new connection with the target.
func (p *proxy) connect(near net.Conn) {
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = near.Close()
		return
	}
	l := &link{near: near, far: far, silent: make(chan struct{})}
	p.mu.Lock()
	p.links = append(p.links, l)
	p.mu.Unlock()
	go l.copy(l.far, l.near)
	go l.copy(l.near, l.far)
}

// copy passes on what comes from one end until that ends. Once the link is silent it passes on nothing, not even the
// end.
func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-l.silent:
			return
		default:
		}
		if n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			_ = l.near.Close()
			_ = l.far.Close()
			return
		}
	}
}

// silence makes the links that are open fall silent: they stay open, and nothing passes on them any more. It returns
// their number; those that have ended before count, too.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		close(l.silent)
	}
	silenced := len(p.links)
	p.links = nil
	return silenced
}
