package emulator

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	badPeerInterval    = 700 * time.Millisecond
	badPeerReleaseTime = 3 * time.Second // a sender has to release a bad peer within this
	badPeerPatience    = 4 * time.Second // a bad peer waits so long for it
)

// badPeerKinds are drawn from in this order.
var badPeerKinds = [...]string{"silent", "half head", "half body", "garbage"}

// badPeerPayloads is what peers send that submit nothing.
var badPeerPayloads = map[string]string{
	"silent":    "",
	"half head": "POST /api HTTP/1.1\r\nX-Request-",
	"half body": "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: bad\r\nX-Class: safe\r\nX-Deadline-Ms: 500\r\n" +
		"X-Addressing: dest=0\r\nContent-Length: 50\r\n\r\nten bytes.",
	"garbage": "\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
}

// badPeer connects, sends something that is no request, and waits until it is released.
func (c *Clients) badPeer() {
	kind := badPeerKinds[c.drawIntN(len(badPeerKinds))]
	conn, err := net.DialTimeout("tcp", c.addr, dialTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	peer := BadPeer{Sender: c.sender, Kind: kind, OpenedAt: c.history.Now()}
	writeQuietly(conn, badPeerPayloads[kind])
	if released := awaitRelease(conn, badPeerPatience); released {
		peer.ReleasedAt = c.history.Now()
	}
	c.history.RecordBadPeer(peer)
}

// awaitRelease reports whether the other side answers or ends a connection within a time.
func awaitRelease(conn net.Conn, patience time.Duration) bool {
	limitRead(conn, patience)
	_, err := conn.Read(make([]byte, 1))
	return !errors.Is(err, os.ErrDeadlineExceeded)
}
