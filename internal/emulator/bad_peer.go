package emulator

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	badPeerInterval    = 700 * time.Millisecond
	badPeerReleaseTime = 3 * time.Second // a sender has to answer or disconnect a bad peer within this time
	badPeerTimeout     = 4 * time.Second // a bad peer waits this long to be released, then it disconnects
)

// badPeerKinds are the kinds of bad peers. They are drawn by index, so their order determines the bad peers of a seed.
var badPeerKinds = [...]string{"silent", "half head", "half body", "garbage"}

// badPeerPayloads holds what a bad peer of each kind sends.
var badPeerPayloads = map[string]string{
	"silent":    "",
	"half head": "POST /api HTTP/1.1\r\nX-Request-",
	"half body": "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: bad\r\nX-Class: safe\r\nX-Deadline-Ms: 500\r\n" +
		"X-Addressing: dest=0\r\nContent-Length: 50\r\n\r\nten bytes.",
	"garbage": "\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
}

// badPeer connects to the sender, sends a payload that is not a complete request, and waits until the sender releases
// it, that is answers or closes the connection.
func (c *Clients) badPeer() {
	kind := badPeerKinds[c.drawIntN(len(badPeerKinds))]
	conn, err := net.DialTimeout("tcp", c.addr, dialTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	peer := BadPeer{Sender: c.sender, Kind: kind, OpenedAt: c.history.Now()}
	writeQuietly(conn, badPeerPayloads[kind])
	if released := awaitRelease(conn, badPeerTimeout); released {
		peer.ReleasedAt = c.history.Now()
	}
	c.history.RecordBadPeer(peer)
}

// awaitRelease reports whether the peer answers or closes a connection before the timeout.
func awaitRelease(conn net.Conn, timeout time.Duration) bool {
	limitRead(conn, timeout)
	_, err := conn.Read(make([]byte, 1))
	return !errors.Is(err, os.ErrDeadlineExceeded)
}
