package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdRate is how many bad clients come in a second, and crowdFor for how long: thousands in all (LATER).
	crowdRate = 400
	crowdFor  = 12 * time.Second
	// crowdBody is what each of them sends at once: more than the 64 KiB of a body.
	crowdBody = 96 << 10

	// A client hands a message in up to 3 times again (brief), after 340 to 990 ms (site).
	handIns     = 4
	handInPause = 600 * time.Millisecond
	// crowdClients is how many clients there are, each with a kept connection and a message at a time.
	crowdClients = 6
)

// crowdSender hands messages in on a kept connection.
type crowdSender struct {
	rec    *recorder
	addr   string
	number int
	conn   net.Conn
	reader *bufio.Reader
}

// handIn hands a message in until it is answered, and reports whether it was.
func (c *crowdSender) handIn(number int) bool {
	for try := range handIns {
		m := &message{
			id:    fmt.Sprintf("c%d-%d-%d", c.number, number, try),
			class: vacancyStatus, deadline: 5 * time.Second, body: "state",
		}
		isKept := c.conn != nil
		c.submit(m)
		if m.status == 0 && isKept { // the sender may have closed the connection between two requests
			c.submit(m)
		}
		if m.status != 0 {
			return true
		}
		time.Sleep(handInPause)
	}
	return false
}

// submit hands a message in on the kept connection, or on a new one.
func (c *crowdSender) submit(m *message) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.addr, answerTimeout)
		if err != nil {
			c.rec.printf("client: %s cannot connect (%v)", m.id, err)
			return
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	m.submitOn(c.rec, c.conn, c.reader)
	if m.status == 0 {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// playCrowd lets a crowd of bad clients come, each of which sends much at once and goes.
func playCrowd(r *rig) ([]string, error) { return playBesideCrowd(r, sendCrowd) }

// playHalfWay lets a crowd of bad clients come, each of which stops half way in its second request.
func playHalfWay(r *rig) ([]string, error) { return playBesideCrowd(r, stopHalfWay) }

// playBesideCrowd lets a crowd of bad clients come to an address, which returns how many have come. The other clients'
// messages have to be answered.
func playBesideCrowd(r *rig, sendCrowd func(addr string) int) ([]string, error) {
	s, _, err := r.newSender(2, false, serveSoon)
	if err != nil {
		return nil, err
	}
	s.limits["sockets"] = 256
	p, err := s.start()
	if err != nil {
		return nil, err
	}
	if err := s.waitReady(p); err != nil {
		return nil, err
	}
	var found []string
	var mu sync.Mutex
	var open group
	until := time.Now().Add(2*time.Second + crowdFor)
	for number := range crowdClients {
		c := &crowdSender{rec: r.rec, addr: s.addr, number: number}
		open.run(func() {
			for n := 0; time.Now().Before(until); n++ {
				if began := time.Now(); !c.handIn(n) {
					mu.Lock()
					found = append(found, fmt.Sprintf("message %d of client %d had no answer in %d hand-ins over %v",
						n, number, handIns, time.Since(began).Round(time.Millisecond)))
					mu.Unlock()
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	if r.trouble {
		r.rec.printf("crowd: %d bad clients came", sendCrowd(s.addr))
	}
	open.Wait()
	return found, nil
}

// sendCrowd sends the crowd of bad clients, and returns how many have connected.
func sendCrowd(addr string) int {
	request := badRequest(crowdBody, crowdBody)
	var came atomic.Int64
	var open group
	slots := make(chan struct{}, 300) // open at once
	ticker := time.NewTicker(time.Second / crowdRate)
	defer ticker.Stop()
	for until := time.Now().Add(crowdFor); time.Now().Before(until); <-ticker.C {
		slots <- struct{}{}
		open.run(func() {
			defer func() { <-slots }()
			conn, err := net.DialTimeout("tcp", addr, 3*time.Second)
			if err != nil {
				return
			}
			defer conn.Close()
			came.Add(1)
			_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
			_, _ = io.WriteString(conn, request)
		})
	}
	open.Wait()
	return int(came.Load())
}

// halfWayPeers is how many bad clients that stop half way there are at a time.
const halfWayPeers = 300

// stopHalfWay lets bad clients come. Each sends a request for a page that is not there, reads the error, sends the
// first half of a request and rests until the sender closes the connection; then it comes again.
func stopHalfWay(addr string) int {
	var came atomic.Int64
	var open group
	until := time.Now().Add(crowdFor)
	for range halfWayPeers {
		open.run(func() {
			for time.Now().Before(until) {
				if stopsHalfWay(addr) {
					came.Add(1)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	open.Wait()
	return int(came.Load())
}

// stopsHalfWay plays one of these bad clients, for 4 s at most, and reports whether it has had its error.
func stopsHalfWay(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, 3*time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: backend.local\r\n\r\n")
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	_, _ = io.WriteString(conn, "POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: half\r\n")
	_, _ = io.Copy(io.Discard, reader)
	return true
}

// badRequest returns the head of a request with a body of a length, and a part of that body.
func badRequest(length, sent int) string {
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: bad\r\nX-Class: %s\r\n"+
		"X-Deadline-Ms: 5000\r\nX-Addressing: dest=0\r\nContent-Length: %d\r\n\r\n%s",
		vacancyStatus, length, strings.Repeat("z", sent))
}
