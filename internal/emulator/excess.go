package emulator

import (
	"bufio"
	"io"
	"net"
	"time"

	"onyxdyke.example/onyxdyke/internal/netconn"
)

// maxExcessDelay is the longest time between an answer and excess bytes behind it.
const maxExcessDelay = 30 * time.Millisecond

// excessBytes is what an endpoint sends in addition to an answer.
type excessBytes struct {
	text       string
	isSeparate bool          // it is not written together with the answer
	delay      time.Duration // from the answer, if it is separate
}

// excessOf returns what follows an answer, chosen by the message's ID: a second copy of it or noise.
func excessOf(id, answer string) excessBytes {
	hash := stableHash(id)
	excess := excessBytes{text: answer}
	if hash%2 == 0 {
		excess.text = "noise\r\n\r\n"
	}
	excess.isSeparate = hash/2%3 > 0
	if hash/2%3 == 2 {
		excess.delay = time.Duration(hash) % maxExcessDelay
	}
	return excess
}

// replyWithExcess answers a call and sends excess bytes. It sends nothing behind the answer once a further call waits.
// It reports whether the connection stays open.
func (e *Endpoint) replyWithExcess(
	conn net.Conn, r *bufio.Reader, call *endpointCall, end AttemptEnd, body string,
) (keepOpen bool) {
	answer := answerText(end.Status, body)
	excess := excessOf(call.attempts[0].ID, answer)
	if !excess.isSeparate {
		return e.write(conn, call, end, answer+excess.text)
	}
	if !e.write(conn, call, end, answer) {
		return false
	}
	time.Sleep(excess.delay)
	if r.Buffered() > 0 || !netconn.ReadWouldBlock(conn) {
		return true
	}
	_, err := io.WriteString(conn, excess.text)
	return err == nil
}
