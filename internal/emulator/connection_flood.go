package emulator

import (
	"net"
	"sync"
	"time"
)

// A connection flood is clients that connect and then idle, or stop in the middle of a request: more of them than the
// sender has descriptors.
const (
	floodSize             = 640                    // connections; a sender has 512 descriptors
	floodConnectInterval  = time.Millisecond       // between two of them
	floodReconnectPause   = 200 * time.Millisecond // before one that was released connects again
	floodJudgedOneIn      = 8                      // connections are judged as bad peers
	floodHalfRequestOneIn = 4                      // connections stop in the middle of a request
)

// flood holds floodSize connections to the sender's own address open until a time.
func (c *Clients) flood(addr string, until time.Duration) {
	var connections sync.WaitGroup
	for n := range floodSize {
		connections.Add(1)
		go func() {
			defer connections.Done()
			time.Sleep(time.Duration(n) * floodConnectInterval)
			for c.history.Now() < until {
				c.floodConnection(addr, until, n)
				time.Sleep(floodReconnectPause)
			}
		}()
	}
	connections.Wait()
}

// floodConnection is one connection of a flood.
func (c *Clients) floodConnection(addr string, until time.Duration, n int) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	peer := BadPeer{Sender: c.sender, Kind: "flood", OpenedAt: c.history.Now()}
	if n%floodHalfRequestOneIn == 0 {
		writeQuietly(conn, badPeerPayloads["half head"])
	}
	released := awaitRelease(conn, min(until-c.history.Now(), badPeerPatience))
	if released {
		peer.ReleasedAt = c.history.Now()
	}
	// A peer that leaves before the sender's time to release it is up proves nothing about the sender.
	if n%floodJudgedOneIn == 0 && (released || c.history.Now()-peer.OpenedAt >= badPeerPatience) {
		c.history.RecordBadPeer(peer)
	}
}
