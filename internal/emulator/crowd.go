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
	crowdSize   = 640                    // connections; a sender has 512 descriptors
	crowdEach   = time.Millisecond       // between two of them
	crowdJudged = 8                      // one of so many is judged as a bad peer
	crowdRest   = 200 * time.Millisecond // before one that was let go of comes again
)

// crowd connects a crowd to the sender's own address until a time.
func (c *Clients) crowd(addr string, until time.Duration) {
	var all sync.WaitGroup
	for n := range crowdSize {
		all.Add(1)
		go func() {
			defer all.Done()
			time.Sleep(time.Duration(n) * crowdEach)
			for c.ledger.Now() < until {
				c.idleUntil(addr, until, n)
				time.Sleep(crowdRest)
			}
		}()
	}
	all.Wait()
}

// idleUntil is one connection of a crowd.
func (c *Clients) idleUntil(addr string, until time.Duration, n int) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	peer := BadPeer{Sender: c.sender, Kind: "crowd", OpenedAt: c.ledger.Now()}
	if n%4 == 0 {
		io.WriteString(conn, badPeers["half head"])
	}
	conn.SetReadDeadline(time.Now().Add(min(until-c.ledger.Now(), badPeerGivesUp)))
	_, err = conn.Read(make([]byte, 1))
	gaveUp := errors.Is(err, os.ErrDeadlineExceeded)
	if !gaveUp {
		peer.LeftAt = c.ledger.Now()
	}
	// Whoever leaves before the sender's time for it is up says nothing of the sender.
	if n%crowdJudged == 0 && (!gaveUp || c.ledger.Now()-peer.OpenedAt >= badPeerGivesUp) {
		c.ledger.Peer(peer)
	}
}
