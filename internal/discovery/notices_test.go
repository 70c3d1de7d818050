package discovery

import (
	"context"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// The reserved connection for notices follows the platform to a new address at once: sockets may be short there right
// after.
func TestReservedConnectionFollowsAMove(t *testing.T) {
	t.Parallel()
	acceptNotices := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})
	first, second := newServer(t, acceptNotices), newServer(t, acceptNotices)
	var areSocketsShort atomic.Bool
	client := New(Options{
		Address: first,
		Senders: fewSenders,
		Control: func(string, string, syscall.RawConn) error {
			if areSocketsShort.Load() {
				return syscall.ENOBUFS
			}
			return nil
		},
	})
	t.Cleanup(client.Close)
	client.ReserveConnection()
	awaitReservedConnection(t, client, 100*time.Millisecond)
	areSocketsShort.Store(true) // for a moment also at the move
	client.Move(second)
	time.Sleep(100 * time.Millisecond)
	areSocketsShort.Store(false)
	awaitReservedConnection(t, client, 200*time.Millisecond)
	areSocketsShort.Store(true)
	if err := client.notifier.post(context.Background(), "http://"+second, []byte("{}\n"), maxPostTimeout); err != nil {
		t.Error(err)
	}
}

// awaitReservedConnection waits until the reserved connections stand.
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
			t.Fatalf("no connection is reserved after %v", timeout)
		}
	}
}
