package netconn

import (
	"io"
	"net"
	"testing"
	"time"
)

// Guards against an age that leaves out the time in the queue, or that starts again when the client sends something: it
// counts from the establishment of the connection.
func TestAgeCountsTheTimeInTheQueue(t *testing.T) {
	t.Parallel()
	const queued, sentAfter, imprecision = 300 * time.Millisecond, 200 * time.Millisecond, 20 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	began := time.Now()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	time.Sleep(sentAfter)
	if _, err := io.WriteString(client, "half a request"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(queued - sentAfter)
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	age, longest := Age(conn), time.Since(began)
	if age < queued-imprecision || age > longest+imprecision {
		t.Errorf("age is %v, want between %v and %v", age, queued, longest)
	}
	local, _ := net.Pipe()
	defer local.Close()
	if age := Age(local); age != 0 {
		t.Errorf("age of a connection without a socket is %v, want 0", age)
	}
}
