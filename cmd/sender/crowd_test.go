package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"onyxdyke.example/onyxdyke/internal/ingress"
)

const (
	// peerPause is how long a peer waits before it connects again.
	peerPause = 20 * time.Millisecond
	// peerTimeout is how long a peer stays on one connection at most.
	peerTimeout = 4 * time.Second
	// peerWriteInterval is the pause of a slow peer between two pieces of its request.
	peerWriteInterval = 50 * time.Millisecond
)

// crowdKind is what the peers of a crowd do on each of their connections. It returns when the peer leaves.
type crowdKind struct {
	name       string
	isHeaviest bool // is among those that have taken most of a sender
	play       func(conn net.Conn)
}

// crowdKinds are the kinds of peers that hold as much of a sender's resources as they can.
var crowdKinds = []crowdKind{
	{name: "silent", play: awaitClose},
	{name: "half head", play: sendAndWait(requestHead(0, "X-Request-Id: half\r\n"))},
	{name: "long half head", play: sendAndWait(requestHead(0, "X-Filler: "+strings.Repeat("f", 15<<10)))},
	{name: "many short fields", play: sendAndWait(requestHead(0, manyShortFields(16<<10)))},
	{name: "many different fields", play: sendAndWait(requestHead(0, manyDifferentFields(15<<10)))},
	{name: "many fields and half a body", isHeaviest: true, play: sendAndWait(
		requestHead(ingress.MaxBody, manyDifferentFields(14<<10)) + "\r\n" + strings.Repeat("b", ingress.MaxBody-1))},
	{name: "half body", play: sendAndWait(
		requestHead(ingress.MaxBody, "") + "\r\n" + strings.Repeat("b", ingress.MaxBody-1))},
	{name: "slow body", play: sendSlowly(requestHead(ingress.MaxBody, "")+"\r\n"+strings.Repeat("b", ingress.MaxBody-1),
		ingress.MaxBody/40)},
	{name: "slow head", play: sendSlowly(requestHead(0, manyShortFields(16<<10)), 400)},
	{name: "too large", play: sendAndWait(requestHead(1<<20, "") + "\r\n" + strings.Repeat("b", 96<<10))},
	{name: "half second request", isHeaviest: true, play: func(conn net.Conn) {
		_, _ = io.WriteString(conn, "GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n")
		sendAndWait(requestHead(ingress.MaxBody, "") + "\r\n" + strings.Repeat("b", ingress.MaxBody-1))(conn)
	}},
	{name: "answers unread", play: func(conn net.Conn) {
		for range 100 {
			if _, err := conn.Write(manySmallRequests); err != nil {
				return
			}
		}
	}},
}

// manySmallRequests are requests that a sender answers without effort.
var manySmallRequests = []byte(strings.Repeat("GET /-/healthy HTTP/1.1\r\nHost: h\r\n\r\n", 100))

// requestHead returns the head of a request without its final empty line.
func requestHead(contentLength int, more string) string {
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: bad\r\nX-Class: safe\r\nX-Tenant: acme\r\n"+
		"X-Deadline-Ms: 5000\r\nX-Addressing: dest=0\r\nContent-Length: %d\r\n%s", contentLength, more)
}

// manyShortFields returns header fields of the shortest form, of size bytes together.
func manyShortFields(size int) string { return strings.Repeat("a:\n", size/len("a:\n")) }

// manyDifferentFields returns short header fields with different names, of about size bytes together.
func manyDifferentFields(size int) string {
	var fields strings.Builder
	for n := 0; fields.Len() < size; n++ {
		fmt.Fprintf(&fields, "%x:\n", n)
	}
	return fields.String()
}

// awaitClose reads until the sender closes the connection.
func awaitClose(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// sendAndWait returns a play that sends a text and then waits until the sender closes the connection.
func sendAndWait(text string) func(net.Conn) {
	raw := []byte(text)
	return func(conn net.Conn) {
		_, _ = conn.Write(raw)
		awaitClose(conn)
	}
}

// sendSlowly returns a play that sends a text in pieces, and then waits until the sender closes the connection.
func sendSlowly(text string, piece int) func(net.Conn) {
	raw := []byte(text)
	return func(conn net.Conn) {
		for rest := raw; len(rest) > 0; time.Sleep(peerWriteInterval) {
			n := min(piece, len(rest))
			if _, err := conn.Write(rest[:n]); err != nil {
				return
			}
			rest = rest[n:]
		}
		awaitClose(conn)
	}
}

// crowd is a number of peers that connect again and again.
type crowd struct {
	gone chan struct{}
	open sync.WaitGroup
}

// startCrowd starts peers that connect to addr. The peer with index i is of the kind i modulo the number of kinds.
func startCrowd(addr string, peers int, kinds ...crowdKind) *crowd {
	c := &crowd{gone: make(chan struct{})}
	for i := range peers {
		kind := kinds[i%len(kinds)]
		c.open.Add(1)
		go func() {
			defer c.open.Done()
			c.keepConnecting(addr, kind)
		}()
	}
	return c
}

func (c *crowd) keepConnecting(addr string, kind crowdKind) {
	for {
		select {
		case <-c.gone:
			return
		case <-time.After(peerPause):
		}
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(peerTimeout))
		kind.play(conn)
		_ = conn.Close()
	}
}

// leave waits until all peers are gone.
func (c *crowd) leave() {
	close(c.gone)
	c.open.Wait()
}
