package discovery

import (
	"context"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Guards against a notice that cannot be delivered after a move of the platform because no socket can be opened: the
// connections to the new address must be reserved at once, or as soon as sockets can be opened.
func TestReservedConnectionFollowsAMove(t *testing.T) {
	t.Parallel()
	acceptNotices := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})
	first, second := newServer(t, acceptNotices), newServer(t, acceptNotices)
	var areSocketsExhausted atomic.Bool
	client := New(Options{
		Address: first,
		Senders: fewSenders,
		Control: func(string, string, syscall.RawConn) error {
			if areSocketsExhausted.Load() {
				return syscall.ENOBUFS
			}
			return nil
		},
	})
	t.Cleanup(client.Close)
	client.ReserveConnection()
	awaitReservedConnection(t, client, 100*time.Millisecond)
	areSocketsExhausted.Store(true) // also for a short time after the move
	client.Move(second)
	time.Sleep(100 * time.Millisecond)
	areSocketsExhausted.Store(false)
	awaitReservedConnection(t, client, 200*time.Millisecond)
	areSocketsExhausted.Store(true)
	post := &noticePost{address: second, lines: []byte("{}\n")}
	if err := client.notifier.post(context.Background(), post, client.notifier.connector(), postTimeout); err != nil {
		t.Error(err)
	}
}

// awaitReservedConnection waits until all reserved connections are open.
func awaitReservedConnection(t *testing.T, client *Client, timeout time.Duration) {
	t.Helper()
	for deadline := time.Now().Add(timeout); ; time.Sleep(time.Millisecond) {
		client.reserved.mu.Lock()
		isReserved := len(client.reserved.conns) == reservedConnections
		client.reserved.mu.Unlock()
		if isReserved {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("the reserved connections are not all open after %v", timeout)
		}
	}
}
