package sender

import (
	"encoding/gob"
	"net"
	"sync"
	"time"

	"dockshift.example/dockshift/brain"
)

// What two processes tell one another in a hand-over, and the connection between them.

// packet is what the processes tell one another; each sets one field.
type packet struct {
	Hello  *hello       // newcomer: hand over
	Estate *snapshot    // holder: here it is (the name is that of the first version, which may be on the other side)
	Submit *relayed     // old one: a request that came on one of my connections
	Answer *relayAnswer // newcomer: its answer
	Ended  *flightEnd   // old one: how an attempt ended
	Wait   *relayedWait // old one: a wait told to a call that has not ended
	Cancel *flightID    // newcomer: call it off

	flush chan struct{} // not sent: closed when all before it has been
}

type hello struct{ Version int }

// snapshot is what a process hands over beside the journal.
type snapshot struct {
	ListVersion int64
	Endpoints   []Target // by the module's number, those that are gone as DELETED
	Flights     []flight
	Rests       map[string]time.Duration // until when messages rest after a failed attempt
	Memory      brain.Memory
}

// flightID names an attempt: both processes know a message by its id, and its attempts by their place.
type flightID struct {
	ID  string
	Try int
}

// flight is an attempt that is out.
type flight struct {
	ID       flightID
	Call     uint64 // attempts of one call share it
	Endpoint brain.EndpointID
	At       time.Duration
	Timeout  time.Duration
}

type flightEnd struct {
	Flight flightID
	End    brain.AttemptEnd
}

// relayedWait is a wait that an endpoint has told, by the endpoint's id and from now on.
type relayedWait struct {
	Endpoint string
	Wait     time.Duration
}

type relayed struct {
	Seq    uint64
	Record record
}

type relayAnswer struct {
	Seq    uint64
	Status int
	Retry  time.Duration
	Text   string
}

// link is the connection to the other process.
type link struct {
	conn net.Conn
	out  chan packet
	once sync.Once
	gone chan struct{}
}

func newLink(c net.Conn) *link {
	l := &link{conn: c, out: make(chan packet, linkRoom), gone: make(chan struct{})}
	go func() {
		enc := gob.NewEncoder(c)
		for {
			select {
			case p := <-l.out:
				if p.flush != nil {
					close(p.flush)
					continue
				}
				c.SetWriteDeadline(time.Now().Add(handTime))
				if enc.Encode(freeze(p)) != nil {
					l.close()
					return
				}
			case <-l.gone:
				return
			}
		}
	}()
	return l
}

// send never waits: a process that takes nothing in is as good as dead.
func (l *link) send(p packet) {
	select {
	case l.out <- p:
	default:
		l.close()
	}
}

// isGone reports whether the link has ended.
func (l *link) isGone() bool {
	select {
	case <-l.gone:
		return true
	default:
		return false
	}
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.gone)
		l.conn.Close()
	})
}

// drain waits until what was sent is on its way, or has had its time.
func (l *link) drain() {
	done := make(chan struct{})
	l.send(packet{flush: done})
	select {
	case <-done:
	case <-l.gone:
	case <-time.After(cutTime):
	}
	l.close()
}

// listen passes on what the other process says, and then that it is gone.
func (l *link) listen(dec *gob.Decoder, post func(any)) {
	for {
		p, err := readPacket(dec)
		if err != nil {
			break
		}
		post(linkEvent{link: l, packet: p})
	}
	l.close()
	time.Sleep(deathTime)
	post(linkEvent{link: l, lost: true})
}
