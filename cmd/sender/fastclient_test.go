package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// fastTime is how long a fast client sends.
	fastTime = 2 * time.Second
	// fastConnections is how many fast clients there are, each with one connection; with ALL_CROWDS also one alone.
	fastConnections = 20
	// fastBatch is how many requests a fast client writes at once.
	fastBatch = 50
	// maxLateShare is the share of the other clients' messages that may be answered late while a fast client sends.
	maxLateShare = 0.05
)

// fastClients are what a client sends at full speed, by name: the request with a number.
var fastClients = map[string]func(number int) string{
	"small requests":     func(int) string { return "GET /-/healthy HTTP/1.1\r\nHost: h\r\n\r\n" },
	"unsound requests":   func(n int) string { return fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", n) },
	"unknown classes":    func(n int) string { return fastSubmission(n, fmt.Sprintf("class-%d", n), 0, 5000) },
	"new ids":            func(n int) string { return fastSubmission(n, "safe", 0, 5000) },
	"new ids, no time":   func(n int) string { return fastSubmission(n, "safe", 0, 1) },
	"new destinations":   func(n int) string { return fastSubmission(n, "safe", 1+n%60_000, 5000) },
	"no time left there": func(n int) string { return fastSubmission(n, "safe", 1+n%60_000, 1) },
}

// fastSubmission returns the request that submits a message under a new id.
func fastSubmission(number int, class string, destination, deadlineMS int) string {
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: h\r\nX-Request-Id: fast-%d\r\nX-Class: %s\r\nX-Tenant: acme\r\n"+
		"X-Deadline-Ms: %d\r\nX-Addressing: dest=%d\r\nContent-Length: 1\r\n\r\nx",
		number, class, deadlineMS, destination)
}

// sendFast sends requests on one connection as fast as it can until a time, and reads the responses. It connects again
// when the sender closes the connection.
func sendFast(addr string, until time.Time, request func(number int) string) {
	for sent := 0; time.Now().Before(until); {
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(until)
		var reading sync.WaitGroup
		reading.Add(1)
		go func() {
			defer reading.Done()
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close() // interrupts the writes
		}()
		for isOpen := true; isOpen; {
			var batch bytes.Buffer
			for range fastBatch {
				sent++
				batch.WriteString(request(sent))
			}
			_, err := conn.Write(batch.Bytes())
			isOpen = err == nil
		}
		_ = conn.Close()
		reading.Wait()
	}
}

// Guards against one client that keeps others from their answers, or makes memory grow without end, by small or unsound
// requests at full speed on one connection, also under ever new names; and against several such clients.
func TestFastClientsHoldUpNobody(t *testing.T) {
	for name, request := range fastClients {
		connectionCounts := []int{fastConnections}
		if os.Getenv(allCrowds) != "" {
			connectionCounts = append(connectionCounts, 1)
		}
		for _, connections := range connectionCounts {
			t.Run(fmt.Sprintf("%s/%d", name, connections), func(t *testing.T) {
				playFastClients(t, connections, request)
			})
		}
	}
}

// playFastClients lets clients send at full speed, and checks the other clients' answers and the limits.
func playFastClients(t *testing.T, connections int, request func(number int) string) {
	t.Helper()
	limits := senderLimits{memoryMB: 32, descriptors: 256}
	sender := newLimitedSender(t, limits)
	process := sender.start(t)
	clients := startGoodClients(t, sender.addr, strings.Repeat("s", 200))
	until := time.Now().Add(fastTime)
	var sending sync.WaitGroup
	for first := range connections {
		sending.Add(1)
		go func() {
			defer sending.Done()
			sendFast(sender.addr, until, func(n int) string { return request(n*connections + first) })
		}()
	}
	sending.Wait()
	clients.check(t)
	anonymous, _ := residentMemory(process.Process.Pid)
	t.Logf("%.1f MB at the end; %d hand-ins were late", float64(anonymous)/1e6, clients.late.Load())
	if late := float64(clients.late.Load()); late > maxLateShare*float64(clients.answered.Load()) {
		t.Errorf("%.0f hand-ins were answered late, %d messages were answered", late, clients.answered.Load())
	}
	sender.usage.stop()
	sender.usage.check(t, limits)
}
