package emulator

import (
	"net"
	"sync"
	"time"
)

// In a connection flood, clients open more connections than the sender has descriptors. They then stay idle or stop in
// the middle of a request.
const (
	floodSize             = 640                    // connections; a sender has 512 descriptors
	floodConnectInterval  = time.Millisecond       // between the first attempts of successive connections
	floodReconnectPause   = 200 * time.Millisecond // before a connection that was closed is opened again
	floodCheckedOneIn     = 8                      // one connection in this many is recorded as a bad peer
	floodHalfRequestOneIn = 4                      // one connection in this many stops in the middle of a request
)

// flood keeps floodSize connections to the sender's own address open until a time. It reopens each connection that ends
// before then.
func (c *Clients) flood(addr string, until time.Duration) {
	var connections sync.WaitGroup
	for n := range floodSize {
		connections.Add(1)
		go func() {
			defer connections.Done()
			time.Sleep(time.Duration(n) * floodConnectInterval)
			for c.history.Now() < until {
				c.runFloodConnection(addr, until, n)
				time.Sleep(floodReconnectPause)
			}
		}()
	}
	connections.Wait()
}

// runFloodConnection opens one connection of a flood and keeps it open until the sender releases it, the flood ends or
// badPeerTimeout is over.
func (c *Clients) runFloodConnection(addr string, until time.Duration, n int) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	peer := BadPeer{Sender: c.sender, Kind: "flood", OpenedAt: c.history.Now()}
	if n%floodHalfRequestOneIn == 0 {
		writeQuietly(conn, badPeerPayloads["half head"])
	}
	released := awaitRelease(conn, min(until-c.history.Now(), badPeerTimeout))
	if released {
		peer.ReleasedAt = c.history.Now()
	}
	// A peer that disconnects while the sender still has time to release it shows nothing about the sender.
	if n%floodCheckedOneIn == 0 && (released || c.history.Now()-peer.OpenedAt >= badPeerTimeout) {
		c.history.RecordBadPeer(peer)
	}
}
