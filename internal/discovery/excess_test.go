package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"onyxdyke.example/onyxdyke/internal/netconn"
	st "onyxdyke.example/onyxdyke/internal/sendertest"
)

const (
	accepted    = "HTTP/1.1 204 No Content\r\n\r\n"
	unavailable = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
)

// excessAgent is an agent on real sockets that sends more than belongs to its answers.
type excessAgent struct {
	address string
	// answer returns the answer to a request, "" for none. It is called on the connection's goroutine.
	answer func(request *http.Request, body []byte) string
	// sendExcess sends an answer and what follows it.
	sendExcess func(conn net.Conn, reader *bufio.Reader, answer string)
	conns      chan net.Conn
}

// start serves the agent until the end of the test.
func (a *excessAgent) start(t *testing.T) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a.address, a.conns = listener.Addr().String(), make(chan net.Conn, 10_000)
	served := make(chan struct{})
	go func() {
		defer close(served)
		var conns []net.Conn
		for {
			conn, err := listener.Accept()
			if err != nil {
				break
			}
			conns = append(conns, conn)
			a.conns <- conn
			go a.serve(conn)
		}
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-served
	})
}

// serve answers the requests on a connection.
func (a *excessAgent) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			_ = conn.Close()
			return
		}
		body, _ := io.ReadAll(request.Body)
		if answer := a.answer(request, body); answer != "" {
			a.sendExcess(conn, reader, answer)
		}
	}
}

// excessModes are the ways in which an agent sends excess bytes: they come with an answer or behind it, but not once
// the next request waits. They set hasCrossed if a request waits right after that: then it may have done so before, and
// the sender cannot tell the bytes from an answer.
func excessModes(
	excess func(answer string) string, hasCrossed *atomic.Bool,
) map[string]func(net.Conn, *bufio.Reader, string) {
	sendUnlessCalled := func(conn net.Conn, reader *bufio.Reader, text string) {
		if reader.Buffered() == 0 && netconn.ReadWouldBlock(conn) {
			_, _ = io.WriteString(conn, text)
			hasCrossed.Store(!netconn.ReadWouldBlock(conn))
		}
	}
	return map[string]func(net.Conn, *bufio.Reader, string){
		"with the answer": func(conn net.Conn, _ *bufio.Reader, answer string) {
			_, _ = io.WriteString(conn, answer+excess(answer))
		},
		"right behind it": func(conn net.Conn, reader *bufio.Reader, answer string) {
			_, _ = io.WriteString(conn, answer)
			sendUnlessCalled(conn, reader, excess(answer))
		},
		"a little later": func(conn net.Conn, reader *bufio.Reader, answer string) {
			_, _ = io.WriteString(conn, answer)
			time.Sleep(500 * time.Microsecond)
			sendUnlessCalled(conn, reader, excess(answer))
		},
	}
}

// excesses are what an agent sends in addition to an answer.
var excesses = map[string]func(answer string) string{
	"second copy": func(answer string) string { return answer },
	"noise":       func(string) string { return "\x00noise\r\n\r\n" },
	"line end":    func(string) string { return "\r\n" },
}

// Guards against notices that are lost because excess bytes behind an answer are taken for the answer to the next post,
// on a connection that is used again at once or later: the platform rejects that post.
func TestExcessBytesBehindAnAnswerAcceptNoNotices(t *testing.T) {
	t.Parallel()
	for excessName, excess := range excesses {
		for modeName := range excessModes(excess, nil) {
			for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s %s, used again after %v", excessName, modeName, pause), func(t *testing.T) {
					t.Parallel()
					const rounds = 50
					var hasCrossed atomic.Bool
					send := excessModes(excess, &hasCrossed)[modeName]
					rejected := map[string]int{} // by message; the first two posts of every second message are rejected
					var mu sync.Mutex
					agent := &excessAgent{sendExcess: send, answer: func(_ *http.Request, body []byte) string {
						mu.Lock()
						defer mu.Unlock()
						var notice Notice
						_ = json.Unmarshal(body, &notice)
						if number, _ := strconv.Atoi(notice.Message); number%2 == 1 {
							if rejected[notice.Message]++; rejected[notice.Message] <= 2 {
								return unavailable
							}
						}
						return accepted
					}}
					agent.start(t)
					client := newTestClient(agent.address, fewSenders)
					t.Cleanup(client.Close)
					batches, delivered := deliverNotices(t, client)
					for number := range rounds {
						batch := []Notice{{Message: strconv.Itoa(number), Outcome: "given_up"}}
						batches <- batch
						for len(st.Receive(t, delivered)) == 0 {
							batches <- batch
						}
						mu.Lock()
						posts := rejected[batch[0].Message]
						mu.Unlock()
						if number%2 == 0 || posts > 2 {
							time.Sleep(pause)
							continue
						}
						time.Sleep(50 * time.Millisecond) // until the agent has looked
						if !hasCrossed.Load() {
							t.Fatalf("notice %d counts as accepted after %d posts, all rejected", number, posts)
						}
						time.Sleep(pause)
					}
				})
			}
		}
	}
}

// crossingConn is a connection on which something happens while a request is about to be written.
type crossingConn struct {
	*net.TCPConn
	beforeWrite func()
}

func (c *crossingConn) Write(b []byte) (int, error) {
	c.beforeWrite()
	return c.TCPConn.Write(b)
}

// Guards against a notice that is lost because a second copy of an answer crosses its post: the copy arrives when the
// connection has been looked at, and before the post is written. The sender may be paused between the two.
func TestSecondCopyThatCrossesAPostAcceptsNoNotice(t *testing.T) {
	t.Parallel()
	for _, reusedAfter := range []time.Duration{0, 50 * time.Millisecond} {
		for _, pause := range []time.Duration{time.Millisecond, 30 * time.Millisecond} {
			t.Run(fmt.Sprintf("used again after %v, paused for %v", reusedAfter, pause), func(t *testing.T) {
				t.Parallel()
				var mu sync.Mutex
				posts := map[string]int{} // by message
				agent := &excessAgent{
					sendExcess: func(conn net.Conn, _ *bufio.Reader, answer string) {
						_, _ = io.WriteString(conn, answer)
					},
					answer: func(_ *http.Request, body []byte) string {
						mu.Lock()
						defer mu.Unlock()
						var notice Notice
						_ = json.Unmarshal(body, &notice)
						posts[notice.Message]++
						if notice.Message == "second" && posts["second"] == 1 {
							return "" // it is lost
						}
						return accepted
					},
				}
				agent.start(t)
				client := newTestClient(agent.address, fewSenders)
				t.Cleanup(client.Close)
				dial := client.reserved.dial
				var writes int
				client.reserved.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := dial(ctx, network, address)
					if err != nil {
						return nil, err
					}
					agentSide := <-agent.conns
					return &crossingConn{TCPConn: conn.(*net.TCPConn), beforeWrite: func() {
						mu.Lock()
						writes++
						isSecond := writes == 2
						mu.Unlock()
						if isSecond {
							_, _ = io.WriteString(agentSide, accepted)
							time.Sleep(pause) // by then it has arrived
						}
					}}, nil
				}
				batches, delivered := deliverNotices(t, client)
				for _, message := range []string{"first", "second"} {
					batch := []Notice{{Message: message, Outcome: "given_up"}}
					batches <- batch
					for len(st.Receive(t, delivered)) == 0 {
						batches <- batch
					}
					time.Sleep(reusedAfter)
				}
				mu.Lock()
				defer mu.Unlock()
				if posts["second"] < 2 {
					t.Errorf("the second notice counts as accepted after %d posts; the first is lost", posts["second"])
				}
			})
		}
	}
}

// deliverNotices delivers the batches that are sent on the first channel until the end of the test. What the platform
// has accepted is received from the second one after each.
func deliverNotices(t *testing.T, client *Client) (chan<- []Notice, <-chan []Notice) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	batches, delivered := make(chan []Notice, 1), make(chan []Notice, 100)
	done := make(chan struct{})
	go func() {
		defer close(done)
		client.DeliverNotices(ctx, batches, func(n []Notice) { delivered <- n })
	}()
	t.Cleanup(func() {
		cancel()
		st.Receive(t, done)
	})
	return batches, delivered
}

// Guards against a list that is late or goes back because excess bytes behind an answer are taken for the next answer.
// A drain has a grace period of 500 ms, of which the sender may be paused for 150 ms.
func TestListIsFollowedThroughExcessBytes(t *testing.T) {
	t.Parallel()
	const receivedWithin = 350 * time.Millisecond
	for excessName, excess := range excesses {
		for modeName, send := range excessModes(excess, new(atomic.Bool)) {
			t.Run(excessName+" "+modeName, func(t *testing.T) {
				t.Parallel()
				list := &versionedList{version: 1, changed: make(chan struct{})}
				agent := &excessAgent{sendExcess: send, answer: list.answer}
				agent.start(t)
				updates := follow(t, newTestClient(agent.address, fewSenders), noVersion)
				known := st.Receive(t, updates).Version
				for range 20 {
					time.Sleep(37 * time.Millisecond) // so that the changes come at different times of a watch
					version := list.change()
					began := time.Now()
					for known < version {
						update := st.Receive(t, updates)
						if update.Version < known {
							t.Fatalf("the list goes back from version %d to %d", known, update.Version)
						}
						known = update.Version
					}
					if took := time.Since(began); took > receivedWithin {
						t.Errorf("version %d is received after %v", version, took)
					}
				}
			})
		}
	}
}

// versionedList is an agent's list without endpoints, whose version grows.
type versionedList struct {
	mu      sync.Mutex
	version int64
	changed chan struct{} // closed and replaced at each change
}

// change makes a new version of the list and returns it.
func (l *versionedList) change() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	close(l.changed)
	l.changed = make(chan struct{})
	return l.version
}

// answer answers a call for the list, a long poll at its end or at the next change.
func (l *versionedList) answer(request *http.Request, _ []byte) string {
	after, err := strconv.ParseInt(request.URL.Query().Get("after"), 10, 64)
	isFull := err != nil
	waitMS, _ := strconv.Atoi(request.URL.Query().Get("wait_ms")) // 0 for the full list
	l.mu.Lock()
	version, changed := l.version, l.changed
	l.mu.Unlock()
	if !isFull && version <= after {
		select {
		case <-changed:
		case <-time.After(time.Duration(waitMS) * time.Millisecond):
		}
		l.mu.Lock()
		version = l.version
		l.mu.Unlock()
	}
	body := fmt.Sprintf(`{"version":%d,"full":%v,"servers":[]}`, version, isFull)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}
