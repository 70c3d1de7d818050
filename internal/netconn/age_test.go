package netconn

import (
	"io"
	"net"
	"testing"
	"time"
)

// The age of an accepted connection counts from when it was established, also where its client has sent something.
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
		t.Errorf("its age is %v, after %v to %v in the queue", age, queued, longest)
	}
	local, _ := net.Pipe()
	defer local.Close()
	if age := Age(local); age != 0 {
		t.Errorf("a connection without a socket has the age %v", age)
	}
}
