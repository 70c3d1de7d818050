package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/ingress"
)

// Guards against peers that keep all clients out by heads that are as long as they may be, in front of half a body: the
// buffers of such heads take the memory for requests while the bodies are waited for.
func TestClientsAreServedBesideLongHeadsAndHalfBodies(t *testing.T) {
	const fields, valueBytes = 90, 150
	var head strings.Builder
	for n := range fields {
		fmt.Fprintf(&head, "%x:%s\r\n", n, strings.Repeat("v", valueBytes))
	}
	kind := crowdKind{name: "long head and half a body", play: sendAndWait(
		requestHead(ingress.MaxBody, head.String()) + "\r\n" + strings.Repeat("b", ingress.MaxBody-1))}
	limits := senderLimits{memoryMB: 32, descriptors: 1024}
	sender := newLimitedSender(t, limits)
	sender.start(t)
	clients := startGoodClients(t, sender.addr, strings.Repeat("s", 32<<10))
	crowd := startCrowd(sender.addr, limits.descriptors, kind)
	time.Sleep(crowdTime)
	clients.check(t)
	crowd.leave()
	sender.usage.stop()
	sender.usage.check(t, limits)
}
