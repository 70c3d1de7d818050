package emulator

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// A crowd is clients that connect and then idle or stop in the middle of a request: more of them than the sender has
// descriptors.

const (
	floodSize   = 640                    // connections; a sender has 512 descriptors
	floodConnectInterval   = time.Millisecond       // between two of them
	floodJudgedOneIn = 8                      // one of so many is judged as a bad peer
	floodReconnectPause   = 200 * time.Millisecond // before one that was let go of comes again
)

// crowd connects a crowd to the sender's own address until a time.
func (c *Clients) flood(addr string, until time.Duration) {
	var all sync.WaitGroup
	for n := range floodSize {
		all.Add(1)
		go func() {
			defer all.Done()
			time.Sleep(time.Duration(n) * floodConnectInterval)
			for c.ledger.Now() < until {
				c.floodConnection(addr, until, n)
				time.Sleep(floodReconnectPause)
			}
		}()
	}
	all.Wait()
}

// idleUntil is one connection of a crowd.
func (c *Clients) floodConnection(addr string, until time.Duration, n int) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	peer := BadPeer{Sender: c.sender, Kind: "crowd", OpenedAt: c.ledger.Now()}
	if n%4 == 0 {
		io.WriteString(conn, badPeerPayloads["half head"])
	}
	conn.SetReadDeadline(time.Now().Add(min(until-c.ledger.Now(), badPeerPatience)))
	_, err = conn.Read(make([]byte, 1))
	gaveUp := errors.Is(err, os.ErrDeadlineExceeded)
	if !gaveUp {
		peer.ReleasedAt = c.ledger.Now()
	}
	// Whoever leaves before the sender's time for it is up says nothing of the sender.
	if n%floodJudgedOneIn == 0 && (!gaveUp || c.ledger.Now()-peer.OpenedAt >= badPeerPatience) {
		c.ledger.RecordBadPeer(peer)
	}
}
