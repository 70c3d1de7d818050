package sender

import (
	"encoding/gob"
	"net"
	"sync"
	"time"

	"onyxdyke.example/onyxdyke/internal/dispatch"
	"onyxdyke.example/onyxdyke/internal/endpointlist"
	"onyxdyke.example/onyxdyke/internal/journal"
)

// What two processes tell one another in a hand-over, and the connection between them.

// packet is what the processes tell one another; each sets one field.
type packet struct {
	Hello        *hello               // newcomer: hand over
	Snapshot     *snapshot            // holder: here it is (the name is that of the first version, which may be on the other side)
	Submit       *forwardedSubmission // old one: a request that came on one of my connections
	Answer       *forwardedResponse   // newcomer: its answer
	AttemptEnded *attemptReport       // old one: how an attempt ended
	RetryAfter   *retryAfterReport    // old one: a wait told to a call that has not ended
	Cancel       *attemptID           // newcomer: call it off

	flush chan struct{} // not sent: closed when all before it has been
}

type hello struct{ Version int }

// snapshot is what a process hands over beside the journal.
type snapshot struct {
	ListVersion  int64
	Endpoints    []endpointlist.Endpoint // by the module's number, those that are gone as DELETED
	InFlight     []inFlightAttempt
	BackoffUntil map[string]time.Duration // until when messages rest after a failed attempt
	Dispatcher   dispatch.Snapshot
}

// flightID names an attempt: both processes know a message by its id, and its attempts by their place.
type attemptID struct {
	Message string
	Attempt int
}

// flight is an attempt that is out.
type inFlightAttempt struct {
	ID       attemptID
	Call     uint64 // attempts of one call share it
	Endpoint dispatch.EndpointID
	SentAt   time.Duration
	Timeout  time.Duration
}

type attemptReport struct {
	Attempt attemptID
	Result  dispatch.AttemptResult
}

// relayedWait is a wait that an endpoint has told, by the endpoint's id and from now on.
type retryAfterReport struct {
	Endpoint   string
	RetryAfter time.Duration
}

type forwardedSubmission struct {
	Sequence uint64
	Record   journal.Record
}

type forwardedResponse struct {
	Sequence   uint64
	Status     int
	RetryAfter time.Duration
	Text       string
}

// link is the connection to the other process.
type link struct {
	conn net.Conn
	out  chan packet
	once sync.Once
	gone chan struct{}
}

func newLink(c net.Conn) *link {
	l := &link{conn: c, out: make(chan packet, linkQueue), gone: make(chan struct{})}
	go func() {
		enc := gob.NewEncoder(c)
		for {
			select {
			case p := <-l.out:
				if p.flush != nil {
					close(p.flush)
					continue
				}
				c.SetWriteDeadline(time.Now().Add(linkTimeout))
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
	case <-time.After(cancelTimeout):
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
	time.Sleep(peerDeathDelay)
	post(linkEvent{link: l, lost: true})
}
